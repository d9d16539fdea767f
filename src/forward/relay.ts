/**
 * Forwards the events of one response until the stream ends, breaks or goes silent, or the request
 * is aborted.
 */
import type { DeadlineSignal } from "./abort";
import type { OpenResponse } from "./client";
import { EventSplitter, type StreamEvent } from "./events";

/** Maximum size of one event, in bytes; a longer one is no event of an engine. */
export const MAX_EVENT_BYTES = 256 * 1024;

/** How a relayed stream ended. */
export const RelayEnd = {
  complete: "complete",
  broken: "broken",
  /** No whole event was received within the timeout. */
  silent: "silent",
  /** An event exceeds the maximum size. */
  malformed: "malformed",
  /** The caller left, or the deadline passed. */
  aborted: "aborted",
} as const;
export type RelayEnd = (typeof RelayEnd)[keyof typeof RelayEnd];

/** The result of relaying a stream. */
export interface RelayResult {
  readonly end: RelayEnd;
  readonly message: string;
}

/** The stream to relay, its timeouts and its consumer. */
export interface RelayOptions {
  readonly response: OpenResponse;
  readonly deadlineSignal: DeadlineSignal;
  /**
   * Timeout of the first event, in milliseconds; undefined if the stream can't be resumed
   * elsewhere.
   */
  readonly firstEventTimeoutMs: number | undefined;
  /**
   * Maximum silence after it, in milliseconds; undefined if the stream can't be resumed elsewhere.
   */
  readonly silenceTimeoutMs: number | undefined;
  /** Receives whole events in order. */
  readonly onEvents: (events: readonly StreamEvent[]) => void;
}

/**
 * Relays events until the stream ends; closes the body then.
 *
 * @example
 * const timeouts = { firstEventTimeoutMs: 2500, silenceTimeoutMs: 1200 };
 * const { end } = await relayEvents({ response, deadlineSignal, ...timeouts, onEvents });
 */
export function relayEvents(options: RelayOptions): Promise<RelayResult> {
  const { response, deadlineSignal, firstEventTimeoutMs, silenceTimeoutMs, onEvents } = options;
  const { body } = response;
  const splitter = new EventSplitter();
  let hasEvents = false;
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
      const received = splitter.push(bytes);
      const events = listEventsBeforeCopy(received, response);
      if (events.length > 0) {
        hasEvents = true;
        restartTimer(silenceTimeoutMs);
        onEvents(events);
      }
      if (events.length < received.length) {
        finish(RelayEnd.broken, "a copy of the stream came within it");
        return;
      }
      if (splitter.partialBytes > MAX_EVENT_BYTES)
        finish(RelayEnd.malformed, `an event exceeds ${MAX_EVENT_BYTES} bytes`);
    });
    body.on("end", () => {
      const fault = findFaultOfEnd(response, splitter, hasEvents);
      if (fault === undefined) finish(RelayEnd.complete, "complete");
      else finish(RelayEnd.broken, fault);
    });
    body.on("error", (error: Error) => {
      finish(RelayEnd.broken, error.message);
    });
  });
}

/** Lists the events before the one, if any, that the head of a copy has filled up. */
function listEventsBeforeCopy(
  events: readonly StreamEvent[],
  response: OpenResponse,
): readonly StreamEvent[] {
  const copied = events.findIndex(({ bytes }) => response.containsCopy(bytes));
  return copied < 0 ? events : events.slice(0, copied);
}

/** Finds out why a stream that has ended is not whole; returns undefined if it may be. */
function findFaultOfEnd(
  response: OpenResponse,
  splitter: EventSplitter,
  hasEvents: boolean,
): string | undefined {
  if (response.isBroken()) return "the connection broke within the stream";
  if (splitter.partialBytes > 0) return "the stream ended within an event";
  if (!response.isFramed && !hasEvents) return "the connection ended before an event";
  return undefined;
}
