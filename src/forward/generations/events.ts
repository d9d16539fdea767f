/**
 * Splits a stream into whole server-sent events: only whole events are forwarded to a caller, so
 * that a stream can be resumed after the last of them.
 */

const LINE_FEED = 10;
const ID_FIELD = "id:";
/** How much of the end of an event may have been received before its last byte. */
const MAX_SPLIT_BYTES = 2;

/** One whole event as received, including the blank line that ends it. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** The event's id; undefined if it has none. */
  readonly id: string | undefined;
}

/** Splits the bytes of a stream into whole events; reads each byte once. */
export class EventSplitter {
  /** The incomplete event, in the first `length` bytes; the rest is room for more. */
  private pending: Buffer = Buffer.alloc(0);
  private length = 0;

  /** Number of bytes received of the last event if it is incomplete; otherwise 0. */
  get partialBytes(): number {
    return this.length;
  }

  /** Adds bytes; returns the events that they complete. */
  push(bytes: Buffer): readonly StreamEvent[] {
    const scanFrom = Math.max(0, this.length - MAX_SPLIT_BYTES);
    const received = this.append(bytes);
    const events: StreamEvent[] = [];
    let start = 0;
    let end = findEventEnd(received, scanFrom);
    while (end !== undefined) {
      const event = received.subarray(start, end);
      events.push({ bytes: event, id: readEventId(event) });
      start = end;
      end = findEventEnd(received, start);
    }
    if (start > 0) this.keep(received.subarray(start));
    return events;
  }

  private append(bytes: Buffer): Buffer {
    if (this.length === 0) {
      this.keep(bytes);
      return bytes;
    }
    const length = this.length + bytes.length;
    if (length > this.pending.length) {
      this.pending = Buffer.concat([this.pending.subarray(0, this.length)], 2 * length);
    }
    bytes.copy(this.pending, this.length);
    this.length = length;
    return this.pending.subarray(0, length);
  }

  private keep(rest: Buffer): void {
    this.pending = rest;
    this.length = rest.length;
  }
}

/**
 * Finds the end of the first event after a position: a blank line; lines end with a line feed, with
 * or without a carriage return.
 */
function findEventEnd(bytes: Buffer, start: number): number | undefined {
  let from = start;
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
