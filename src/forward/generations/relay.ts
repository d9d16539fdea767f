/**
 * Forwards the events of one response until the stream ends or breaks, another engine takes over, or
 * the request is aborted. Silence alone does not end it.
 */
import type { DeadlineSignal } from "../requests";
import { EventSplitter, type StreamEvent } from "./events";
import type { OpenResponse } from "../endpoints";

/** Maximum size of one event, in bytes; a longer one is no event of an engine. */
export const MAX_EVENT_BYTES = 256 * 1024;

/** How a relayed stream ended. */
export const RelayEnd = {
  complete: "complete",
  broken: "broken",
  /** Another engine takes the place of the one that writes the stream. */
  replaced: "replaced",
  /** An event exceeds the maximum size, or is not the next one. */
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

/** The stream to relay, what ends it early, and its consumer. */
export interface RelayOptions {
  readonly response: OpenResponse;
  readonly deadlineSignal: DeadlineSignal;
  /** Fires once another engine takes the place of this one; undefined if none can. */
  readonly replaced: AbortSignal | undefined;
  /** Id of the last event that the caller got; undefined if it got none with one. */
  readonly lastId: string | undefined;
  /** Checks whether an event is the next one after the one of an id. */
  readonly follows: (event: StreamEvent, lastId: string | undefined) => boolean;
  /** Receives whole events in order. */
  readonly onEvents: (events: readonly StreamEvent[]) => void;
}

/**
 * Relays events until the stream ends; closes the body then. Rejects if the consumer of the events throws:
 * it runs in an event of the socket, where nobody else could catch the error.
 *
 * @example
 * const { end } = await relayEvents({ response, deadlineSignal, replaced, lastId, follows, onEvents });
 */
export function relayEvents(options: RelayOptions): Promise<RelayResult> {
  const { response, deadlineSignal, replaced, follows, onEvents } = options;
  const { body } = response;
  const splitter = new EventSplitter();
  let { lastId } = options;
  let hasEvents = false;
  const isNext = (event: StreamEvent) => {
    const isFollowing = follows(event, lastId);
    if (isFollowing) lastId = event.id ?? lastId;
    return isFollowing;
  };
  return new Promise((resolve, reject) => {
    const close = () => {
      deadlineSignal.signal.removeEventListener("abort", onAbort);
      replaced?.removeEventListener("abort", onReplaced);
      body.removeAllListeners("data");
      body.destroy();
    };
    const finish = (end: RelayEnd, message: string) => {
      resolve({ end, message });
      close();
    };
    const onAbort = () => {
      finish(RelayEnd.aborted, deadlineSignal.cause ?? "ended");
    };
    const onReplaced = () => {
      finish(RelayEnd.replaced, "the engine is silent, and another one goes on");
    };
    if (deadlineSignal.signal.aborted) {
      onAbort();
      return;
    }
    if (body.errored !== null) {
      finish(RelayEnd.broken, body.errored.message);
      return;
    }
    deadlineSignal.signal.addEventListener("abort", onAbort, { once: true });
    replaced?.addEventListener("abort", onReplaced, { once: true });
    const onData = (bytes: Buffer) => {
      const received = splitter.push(bytes);
      const own = listEventsBeforeCopy(received, response);
      const foreignAt = own.findIndex((event) => !isNext(event));
      const events = foreignAt < 0 ? own : own.slice(0, foreignAt);
      if (events.length > 0) {
        hasEvents = true;
        onEvents(events);
      }
      if (foreignAt >= 0) {
        finish(RelayEnd.malformed, "an event is not the next one of the stream");
        return;
      }
      if (own.length < received.length) {
        finish(RelayEnd.broken, "a copy of the stream came within it");
        return;
      }
      if (splitter.partialBytes > MAX_EVENT_BYTES)
        finish(RelayEnd.malformed, `an event exceeds ${MAX_EVENT_BYTES} bytes`);
    };
    body.on("data", (bytes: Buffer) => {
      try {
        onData(bytes);
      } catch (error) {
        reject(error as Error);
        close();
      }
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
