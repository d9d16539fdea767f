/**
 * Passes the events of one answer on to the caller, until the stream ends, breaks or goes silent.
 */
import type { DeadlineSignal } from "./abort";
import type { OpenResponse } from "./client";
import { EventCutter, type StreamEvent } from "./events";

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
  readonly answer: OpenResponse;
  readonly watch: DeadlineSignal;
  /** How long the first event may take, in milliseconds; undefined where nothing can be done. */
  readonly firstMs: number | undefined;
  /** How long any other event may take, in milliseconds; undefined likewise. */
  readonly silenceMs: number | undefined;
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
  const { answer, watch, firstMs, silenceMs, onEvents } = options;
  const { body } = answer;
  const cutter = new EventCutter();
  return new Promise((resolve) => {
    let timer: NodeJS.Timeout | undefined;
    const finish = (end: RelayEnd, message: string) => {
      clearTimeout(timer);
      watch.signal.removeEventListener("abort", onAbort);
      body.removeAllListeners("data");
      resolve({ end, message });
      body.destroy();
    };
    const onAbort = () => {
      finish(RelayEnd.aborted, watch.cause ?? "ended");
    };
    const waitFor = (ms: number | undefined) => {
      clearTimeout(timer);
      if (ms === undefined) return;
      timer = setTimeout(() => {
        finish(RelayEnd.silent, `no event for ${ms} ms`);
      }, ms);
    };
    if (watch.signal.aborted) {
      onAbort();
      return;
    }
    watch.signal.addEventListener("abort", onAbort, { once: true });
    waitFor(firstMs);
    body.on("data", (bytes: Buffer) => {
      waitFor(silenceMs);
      const events = cutter.push(bytes);
      if (events.length > 0) onEvents(events);
    });
    body.on("end", () => {
      if (answer.isBroken()) finish(RelayEnd.broken, "the connection broke within the stream");
      else if (cutter.isMidEvent) finish(RelayEnd.broken, "the stream ended within an event");
      else finish(RelayEnd.complete, "complete");
    });
    body.on("error", (error: Error) => {
      finish(RelayEnd.broken, error.message);
    });
  });
}
