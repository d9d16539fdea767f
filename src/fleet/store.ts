/**
 * The interface to the store that all instances share: feeds of keyed records, and a log to which a
 * record is appended only at its expected end.
 */
import type * as TE from "fp-ts/TaskEither";
import type { LogPosition } from "./position";

/** How a call to the store failed. */
export const StoreFault = {
  /** The store did not carry out the call. */
  refused: "refused",
  /** The store may have carried out the call, or may still do so. */
  unknown: "unknown",
  /** The requested records have been trimmed from the store. */
  trimmed: "trimmed",
  /** The log no longer ends at the expected offset. */
  moved: "moved",
  /**
   * The store was restored from an earlier copy since the call began, so its result means nothing;
   * the store may have carried the call out before or after.
   */
  restored: "restored",
} as const;
export type StoreFault = (typeof StoreFault)[keyof typeof StoreFault];

/** A failed call to the store. */
export class StoreError extends Error {
  override readonly name = "StoreError";

  constructor(
    readonly fault: StoreFault,
    message: string,
    /** For trimmed records: the lowest offset that the store still keeps. */
    readonly first?: number,
  ) {
    super(message);
  }
}

/** A record of a feed. */
export interface FeedRecord {
  readonly key: string;
  /** Undefined where the key was removed. */
  readonly value: Buffer | undefined;
  readonly position: LogPosition;
}

/** Records of a feed, and the offset to read from next. */
export interface FeedPage {
  readonly records: readonly FeedRecord[];
  /** The position to read from next. */
  readonly next: LogPosition;
  /** The offset of the next record to be appended, if the store tells it; a page may end before. */
  readonly end?: number;
}

/** A feed of keyed records that keeps the newest record of each key. */
export interface Feed {
  /** Reads the newest record of each key. */
  readNewest(): TE.TaskEither<StoreError, FeedPage>;
  /** Reads records from an offset of the current era on, waiting up to `waitMs` milliseconds for the first. */
  read(from: number, waitMs: number): TE.TaskEither<StoreError, FeedPage>;
}

/** A feed of which the store keeps for a while the records that newer ones have replaced. */
export interface HistoryFeed extends Feed {
  /** Reads all records that the store keeps, in the order of their offsets. */
  readHistory(): TE.TaskEither<StoreError, FeedPage>;
}

/** A feed that instances write to. */
export interface WritableFeed extends Feed {
  append(key: string, value: Buffer): TE.TaskEither<StoreError, void>;
}

/** A record of a log. */
export interface OrderRecord {
  readonly value: Buffer;
  readonly offset: number;
}

/** Records from an offset on. */
export interface OrderPage {
  readonly records: readonly OrderRecord[];
  /** The offset of the next record to be appended. */
  readonly end: number;
}

/** A log that appends a record only if the log still ends at the expected offset. */
export interface OrderLog {
  read(from: number): TE.TaskEither<StoreError, OrderPage>;
  /** Appends one record at offset `end`; returns the record's position. */
  appendAt(end: number, value: Buffer): TE.TaskEither<StoreError, LogPosition>;
}

/** A log to which any instance appends. */
export interface AppendLog {
  /** Reads records from an offset on; a page may end before the end of the log. */
  read(from: number): TE.TaskEither<StoreError, OrderPage>;
  append(value: Buffer): TE.TaskEither<StoreError, void>;
}

/** The store that all instances share. */
export interface Store {
  readonly configuration: Feed;
  readonly endpoints: HistoryFeed;
  readonly members: WritableFeed;
  readonly orders: OrderLog;
  /** Origins of streams, while a service has several versions. */
  readonly origins: AppendLog;
  /**
   * Calls a listener each time that a response shows a later era than the one before: the store was
   * restored from an earlier copy. Offsets of the earlier era are of no use from then on, and what
   * this instance wrote may be gone.
   */
  onRestored(listener: (era: number) => void): void;
  /** Makes later calls use new connections. */
  reset(): void;
  close(): Promise<void>;
}
