/**
 * Passes the events of one answer on to the caller, until the stream ends, breaks or goes silent.
 */
import type { DeadlineSignal } from "./abort";
import type { OpenResponse } from "./client";
import { EventSplitter, type StreamEvent } from "./events";

/** How the events of an answer ended. */
export const RelayEnd = {
  complete: "complete",
  broken: "broken",
  /** Nothing came for too long. */
  silent: "silent",
  /** The caller left, or the deadline passed. */
  aborted: "aborted",
} as const;
export type RelayEnd = (typeof RelayEnd)[keyof typeof RelayEnd];

/** The end of a relayed stream. */
export interface RelayResult {
  readonly end: RelayEnd;
  readonly message: string;
}

/** What a relay has to know. */
export interface RelayOptions {
  readonly response: OpenResponse;
  readonly deadlineSignal: DeadlineSignal;
  /** How long the first event may take, in milliseconds; undefined where nothing can be done. */
  readonly firstEventTimeoutMs: number | undefined;
  /** How long any other event may take, in milliseconds; undefined likewise. */
  readonly silenceTimeoutMs: number | undefined;
  /** Takes whole events in their order. */
  readonly onEvents: (events: readonly StreamEvent[]) => void;
}

/**
 * Relays events.
 *
 * @example
 * const { end } = await relayEvents({ answer, watch, firstMs: 2500, silenceMs: 1200, onEvents });
 */
export function relayEvents(options: RelayOptions): Promise<RelayResult> {
  const { response, deadlineSignal, firstEventTimeoutMs, silenceTimeoutMs, onEvents } = options;
  const { body } = response;
  const splitter = new EventSplitter();
  return new Promise((resolve) => {
    let timer: NodeJS.Timeout | undefined;
    const finish = (end: RelayEnd, message: string) => {
      clearTimeout(timer);
      deadlineSignal.signal.removeEventListener("abort", onAbort);
      body.removeAllListeners("data");
      resolve({ end, message });
      body.destroy();
    };
    const onAbort = () => {
      finish(RelayEnd.aborted, deadlineSignal.cause ?? "ended");
    };
    const restartTimer = (timeoutMs: number | undefined) => {
      clearTimeout(timer);
      if (timeoutMs === undefined) return;
      timer = setTimeout(() => {
        finish(RelayEnd.silent, `no event for ${timeoutMs} ms`);
      }, timeoutMs);
    };
    if (deadlineSignal.signal.aborted) {
      onAbort();
      return;
    }
    deadlineSignal.signal.addEventListener("abort", onAbort, { once: true });
    restartTimer(firstEventTimeoutMs);
    body.on("data", (bytes: Buffer) => {
      restartTimer(silenceTimeoutMs);
      const events = splitter.push(bytes);
      if (events.length > 0) onEvents(events);
    });
    body.on("end", () => {
      if (response.isBroken()) finish(RelayEnd.broken, "the connection broke within the stream");
      else if (splitter.hasPartialEvent)
        finish(RelayEnd.broken, "the stream ended within an event");
      else finish(RelayEnd.complete, "complete");
    });
    body.on("error", (error: Error) => {
      finish(RelayEnd.broken, error.message);
    });
  });
}
