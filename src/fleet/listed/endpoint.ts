/**
 * What the directory keeps of an endpoint: its newest record, its entry, and what outlives the entry.
 */
import type { Moment } from "../../core/clock";
import { type EndpointEntry, MAX_COLD_MS } from "../entries";
import type { FeedRecord } from "../store";

/** An endpoint of which a record was applied. */
export interface ListedEndpoint {
  readonly record: FeedRecord;
  readonly entry: EndpointEntry | undefined;
  /** Set where the entry expired around an outage of the store: the entry may return until then. */
  readonly doubtDeadline: Moment | undefined;
  /** The newest entry that an endpoint of this id published; kept after the entry is removed. */
  readonly latestEntry: EndpointEntry | undefined;
  /** Until when the process of the newest entry is cold, as its entries say. */
  readonly coldEndsAt: Moment;
}

/**
 * Creates what is kept after an entry was accepted.
 *
 * @example
 * createListed(record, entry, listed.get(entry.id), clock.now());
 */
export function createListed(
  record: FeedRecord,
  entry: EndpointEntry,
  before: ListedEndpoint | undefined,
  now: Moment,
): ListedEndpoint {
  const saidColdEnd = now + Math.min(entry.coldRemainingMs ?? 0, MAX_COLD_MS);
  const coldEndsAt = Math.max(readColdEnd(before, entry), saidColdEnd);
  return { record, entry, doubtDeadline: undefined, latestEntry: entry, coldEndsAt };
}

/**
 * Creates what is kept after an entry was removed.
 *
 * @example
 * createRemoved(record, undefined).coldEndsAt; // -Infinity
 */
export function createRemoved(
  record: FeedRecord,
  before: ListedEndpoint | undefined,
): ListedEndpoint {
  return {
    record,
    entry: undefined,
    doubtDeadline: undefined,
    latestEntry: before?.latestEntry,
    coldEndsAt: before?.coldEndsAt ?? Number.NEGATIVE_INFINITY,
  };
}

/**
 * Reads until when the process of an entry is cold, by the entries before it.
 *
 * @example
 * readColdEnd(undefined, entry); // -Infinity
 */
export function readColdEnd(
  before: ListedEndpoint | undefined,
  { processStartedAt }: EndpointEntry,
): Moment {
  const isSameProcess = before?.latestEntry?.processStartedAt === processStartedAt;
  return isSameProcess ? before.coldEndsAt : Number.NEGATIVE_INFINITY;
}
