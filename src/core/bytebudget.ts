/**
 * Counts the bytes that a process holds for others: answers that are not read to their end or not taken by
 * their callers yet. All that is held has a share of one budget, so that one endpoint that writes without
 * end, or one caller that does not read, costs its own requests and never the process.
 */
import type { Clock, Moment } from "./clock";

/** The budget where none is configured, in bytes; fits a process that may have 200 MB. */
export const DEFAULT_HELD_BYTES = 20 * 1024 * 1024;
/** The part of the budget that one endpoint or one stream may take. */
const HOLDER_SHARE = 0.8;
/** Up to this size there is always room, in bytes: usual answers do not suffer from large ones. */
const SMALL_BYTES = 64 * 1024;
/**
 * What a holder that found no room has for a while, in bytes, where the size is not known before: an endpoint
 * that writes without end does so again, and what was thrown away takes memory until it is collected.
 */
const LIMITED_BYTES = 512 * 1024;
/** How long it has only that, in milliseconds. */
const LIMITED_MS = 5000;

/** Told of each time that there was no room. */
export type NoRoomListener = (holder: string, bytes: number) => void;

/** Bytes that are held for one request. */
export interface ByteLease {
  /**
   * Sets the number of bytes; a number above the present one needs room, unless it is small.
   *
   * @param isWhole - true if no more bytes will come
   * @returns false if there is no room: the number stays
   */
  tryResize(bytes: number, isWhole?: boolean): boolean;
  /** Sets the number of bytes without asking for room, for what must be delivered. */
  update(bytes: number): void;
  /** Gives the bytes back. */
  close(): void;
}

/**
 * The bytes that a process may hold for others.
 *
 * @example
 * const lease = new ByteBudget(clock).open("endpoint e1");
 * if (!lease.tryResize(100_000)) lease.close();
 */
export class ByteBudget {
  private heldBytes = 0;
  private readonly heldByHolder = new Map<string, number>();
  /** Until when a holder that found no room is limited. */
  private readonly limitedUntil = new Map<string, Moment>();

  /** @param maxBytes - how many bytes all together may be held, beside small numbers */
  constructor(
    private readonly clock: Clock,
    readonly maxBytes = DEFAULT_HELD_BYTES,
    private readonly onNoRoom: NoRoomListener = () => undefined,
  ) {}

  /** Number of bytes that are held. */
  get held(): number {
    return this.heldBytes;
  }

  /** Opens a lease of no bytes. */
  open(holder: string): ByteLease {
    let own = 0;
    let isClosed = false;
    const set = (bytes: number) => {
      if (isClosed) return;
      this.add(holder, bytes - own);
      own = bytes;
    };
    return {
      tryResize: (bytes, isWhole = false) => {
        const isFree = bytes <= Math.max(own, SMALL_BYTES);
        if (!isFree && !this.hasRoom(holder, { own, bytes, isWhole })) {
          this.limit(holder);
          this.onNoRoom(holder, bytes);
          return false;
        }
        set(bytes);
        return true;
      },
      update: set,
      close: () => {
        set(0);
        isClosed = true;
      },
    };
  }

  private hasRoom(
    holder: string,
    { own, bytes, isWhole }: { own: number; bytes: number; isWhole: boolean },
  ): boolean {
    if (!isWhole && bytes > LIMITED_BYTES && this.isLimited(holder)) return false;
    const more = bytes - own;
    const held = this.heldByHolder.get(holder) ?? 0;
    return this.heldBytes + more <= this.maxBytes && held + more <= this.maxBytes * HOLDER_SHARE;
  }

  private isLimited(holder: string): boolean {
    return (this.limitedUntil.get(holder) ?? Number.NEGATIVE_INFINITY) > this.clock.now();
  }

  private limit(holder: string): void {
    const now = this.clock.now();
    this.limitedUntil.set(holder, now + LIMITED_MS);
    for (const [other, until] of this.limitedUntil)
      if (until <= now) this.limitedUntil.delete(other);
  }

  private add(holder: string, bytes: number): void {
    this.heldBytes += bytes;
    const held = (this.heldByHolder.get(holder) ?? 0) + bytes;
    if (held === 0) this.heldByHolder.delete(holder);
    else this.heldByHolder.set(holder, held);
  }
}
