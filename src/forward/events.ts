/**
 * The events of a stream, cut at their ends: only whole events go on to a caller, so that a stream
 * can be taken up again after the last of them.
 */

const LINE_FEED = 10;
const ID_FIELD = "id:";

/** One whole event as it was sent, with the blank line that ends it. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Its id, where it has one. */
  readonly id: string | undefined;
}

/** Cuts the bytes of a stream into whole events. */
export class EventSplitter {
  private pending: Buffer = Buffer.alloc(0);

  /** True while an event has begun and not ended. */
  get hasPartialEvent(): boolean {
    return this.pending.length > 0;
  }

  /** Takes bytes, and lists the events that they complete. */
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

/** An event ends with a blank line; lines end with a line feed, with or without a carriage return. */
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
 * Reads the id of an event.
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
