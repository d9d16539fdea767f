/**
 * Splits a stream into whole server-sent events: only whole events are forwarded to a caller, so
 * that a stream can be resumed after the last of them.
 */

const LINE_FEED = 10;
const ID_FIELD = "id:";

/** One whole event as received, including the blank line that ends it. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** The event's id; undefined if it has none. */
  readonly id: string | undefined;
}

/** Splits the bytes of a stream into whole events. */
export class EventSplitter {
  private pending: Buffer = Buffer.alloc(0);

  /** True while the last event is incomplete. */
  get hasPartialEvent(): boolean {
    return this.pending.length > 0;
  }

  /** Adds bytes; returns the events that they complete. */
  push(bytes: Buffer): readonly StreamEvent[] {
    let pending = this.pending.length === 0 ? bytes : Buffer.concat([this.pending, bytes]);
    const events: StreamEvent[] = [];
    for (;;) {
      const end = findEventEnd(pending);
      if (end === undefined) break;
      const event = pending.subarray(0, end);
      events.push({ bytes: event, id: readEventId(event) });
      pending = pending.subarray(end);
    }
    this.pending = pending;
    return events;
  }
}

/**
 * Finds the end of the first event: a blank line; lines end with a line feed, with or without a
 * carriage return.
 */
function findEventEnd(bytes: Buffer): number | undefined {
  let from = 0;
  for (;;) {
    const feed = bytes.indexOf(LINE_FEED, from);
    if (feed < 0) return undefined;
    const next = bytes[feed + 1];
    if (next === LINE_FEED) return feed + 2;
    if (next === 13 && bytes[feed + 2] === LINE_FEED) return feed + 3;
    from = feed + 1;
  }
}

/**
 * Reads the id of an event; undefined if it has none.
 *
 * @example
 * readEventId(Buffer.from("id: 7\ndata: x\n\n")); // "7"
 */
export function readEventId(event: Buffer): string | undefined {
  const line = event
    .toString("latin1")
    .split(/\r?\n/)
    .find((text) => text.startsWith(ID_FIELD));
  return line?.slice(ID_FIELD.length).trim();
}
