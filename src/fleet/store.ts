/**
 * What the product needs of the store that all instances share: feeds of keyed records, and a log
 * that takes a record only at its end.
 */
import type * as TE from "fp-ts/TaskEither";

/** How a call to the store failed. */
export const StoreFault = {
  /** The store did nothing. */
  refused: "refused",
  /** The store may have done it, or may still do it. */
  unknown: "unknown",
  /** The records that were asked for are no longer kept. */
  trimmed: "trimmed",
  /** The log no longer ends at the expected offset. */
  moved: "moved",
} as const;
export type StoreFault = (typeof StoreFault)[keyof typeof StoreFault];

/** A failed call to the store. */
export class StoreError extends Error {
  override readonly name = "StoreError";

  constructor(
    readonly fault: StoreFault,
    message: string,
    /** For trimmed records: the lowest offset that is still kept. */
    readonly first?: number,
  ) {
    super(message);
  }
}

/** A record of a feed. */
export interface FeedRecord {
  readonly key: string;
  /** Absent where the key was dropped. */
  readonly value: Buffer | undefined;
  readonly offset: number;
}

/** Records of a feed, and where to read on. */
export interface FeedPage {
  readonly records: readonly FeedRecord[];
  /** The offset to read from next. */
  readonly next: number;
}

/** A feed of keyed records, of which the newest of each key is kept. */
export interface Feed {
  /** Reads the newest record of each key. */
  readNewest(): TE.TaskEither<StoreError, FeedPage>;
  /** Reads records from an offset on, waiting up to `waitMs` for the first. */
  read(from: number, waitMs: number): TE.TaskEither<StoreError, FeedPage>;
}

/** A feed that the system itself writes. */
export interface WritableFeed extends Feed {
  append(key: string, value: Buffer): TE.TaskEither<StoreError, void>;
}

/** A record of the log of orders. */
export interface OrderRecord {
  readonly value: Buffer;
  readonly offset: number;
}

/** The end of the log of orders. */
export interface OrderPage {
  readonly records: readonly OrderRecord[];
  /** The offset that the next record gets. */
  readonly end: number;
}

/** A log to which a record is added only where it still ends at a known offset. */
export interface OrderLog {
  read(from: number): TE.TaskEither<StoreError, OrderPage>;
  /** Appends one record at `end`, and gives its offset. */
  appendAt(end: number, value: Buffer): TE.TaskEither<StoreError, number>;
}

/** The store. */
export interface Store {
  readonly configuration: Feed;
  readonly endpoints: Feed;
  readonly members: WritableFeed;
  readonly orders: OrderLog;
  /** Opens new connections for the calls to come. */
  reset(): void;
  close(): Promise<void>;
}
