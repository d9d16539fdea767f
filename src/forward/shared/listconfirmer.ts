/**
 * Confirms the list of endpoints by a read of the store that starts after a given moment. The store is
 * linearizable and instances learn of endpoints only from its list, so whatever was in use anywhere
 * before the read began is among the records up to the end that it sees.
 */
import * as E from "fp-ts/Either";
import { type Clock, type Moment, pause } from "../../core/clock";
import type { Logger } from "../../core/log";
import { waitAtMost } from "../../core/readfirst";
import { runTask } from "../../core/tasks";
import type { EndpointDirectory } from "../../fleet/directory";
import type { EndpointDecoder, EndpointEntry } from "../../fleet/entries";
import { chooseLater, isAfter, type LogPosition, type ReadRange } from "../../fleet/position";
import { type Feed, type FeedPage, type FeedRecord, StoreFault } from "../../fleet/store";
import type { VersionHistory } from "../../fleet/versionhistory";
import type { Meter } from "../requests";

/** Shortest time between the starts of two reads, in milliseconds: those who ask wait for longer. */
const MIN_READ_INTERVAL_MS = 50;
/** How long no read begins after one that failed, in milliseconds; callers are told to wait for as long. */
export const FAILED_READ_PAUSE_MS = 300;
/** How long a read of a list that is too old may hold up its use, in milliseconds. */
const REFRESH_TIMEOUT_MS = 150;
/** Maximum number of pages in one read: a few seconds of 5,000 endpoints. */
const MAX_PAGES = 8;

/** A read of the list up to its end. */
export interface ConfirmedList {
  /** When the read began. */
  readonly readAt: Moment;
  /** The end of the feed that it saw. */
  readonly next: LogPosition;
}

/** Dependencies of the confirmer. */
export interface ListConfirmerParts {
  readonly feed: Feed;
  readonly decode: EndpointDecoder;
  readonly directory: EndpointDirectory;
  readonly versionHistory: VersionHistory;
  /** Computes the time since the list was last confirmed, in milliseconds. */
  readonly computeListAgeMs: () => number;
  /** Returns whether the last call to the store failed. */
  readonly isStoreLost: () => boolean;
  /** Applies a page that was read from an offset on. */
  readonly apply: (page: FeedPage, from: number) => void;
  /** Applies a page with the newest record of each endpoint. */
  readonly applySnapshot: (page: FeedPage) => void;
  /** Confirms the list as of a moment. */
  readonly onConfirmed: (at: Moment) => void;
  readonly clock: Clock;
  readonly meter: Meter;
  readonly logger: Logger;
}

/** A read that has begun. */
interface StartedRead {
  readonly readAt: Moment;
  readonly result: Promise<ConfirmedList | undefined>;
}

/** Confirms the list for all who ask at about the same time by one read. */
export class ListConfirmer {
  private started: StartedRead | undefined;
  private next: Promise<ConfirmedList | undefined> | undefined;
  private pausedUntil: Moment = Number.NEGATIVE_INFINITY;

  constructor(private readonly parts: ListConfirmerParts) {}

  /**
   * Confirms the list by a read that begins after a moment; each record that was not counted yet
   * is counted in the version history, whose watch begins anew if the store no longer has them all.
   *
   * @returns undefined if the store could not be read, also for a while after that
   * @example
   * const list = await listConfirmer.confirm(arrivedAt);
   */
  confirm(since: Moment): Promise<ConfirmedList | undefined> {
    if (this.started !== undefined && this.started.readAt > since) return this.started.result;
    if (this.isPaused()) return Promise.resolve(undefined);
    this.next ??= this.readNext(this.started);
    return this.next;
  }

  /**
   * Confirms the list if it is known only as of an earlier moment. Without the store, which may be
   * down for long, the list is used as it is.
   *
   * @example
   * await listConfirmer.refresh(clock.now() - 2000);
   */
  async refresh(asOf: Moment): Promise<void> {
    const { clock, computeListAgeMs, isStoreLost } = this.parts;
    if (isStoreLost() || clock.now() - computeListAgeMs() >= asOf) return;
    await waitAtMost(this.confirm(asOf), REFRESH_TIMEOUT_MS);
  }

  /** Computes the time since the list was last confirmed, in milliseconds, for the log. */
  computeAgeMs(): number {
    return this.parts.computeListAgeMs();
  }

  private async readNext(before: StartedRead | undefined): Promise<ConfirmedList | undefined> {
    // Those who ask in the same turn share the read, too.
    await Promise.resolve();
    const leftMs = (before?.readAt ?? 0) + MIN_READ_INTERVAL_MS - this.parts.clock.now();
    if (before !== undefined && leftMs > 0) await pause(leftMs);
    this.next = undefined;
    if (this.isPaused()) return undefined;
    const readAt = this.parts.clock.now();
    const result = this.read(readAt);
    this.started = { readAt, result };
    return result;
  }

  private isPaused(): boolean {
    return this.parts.clock.now() < this.pausedUntil;
  }

  private async read(readAt: Moment): Promise<ConfirmedList | undefined> {
    const { clock, logger } = this.parts;
    let confirmed: ConfirmedList | undefined;
    await runTask("confirm list", logger, async () => {
      confirmed = await this.readToEnd(readAt);
    });
    if (confirmed === undefined) this.pausedUntil = clock.now() + FAILED_READ_PAUSE_MS;
    return confirmed;
  }

  private async readToEnd(readAt: Moment): Promise<ConfirmedList | undefined> {
    const { feed, meter } = this.parts;
    const from = this.findStart();
    const entries: EndpointEntry[] = [];
    let next = from;
    for (let count = 0; count < MAX_PAGES; count += 1) {
      meter.storeCalls.inc();
      const read = await feed.read(next.offset, 0)();
      if (E.isLeft(read)) {
        if (read.left.fault === StoreFault.trimmed) return this.readAnew(readAt);
        this.recordFailure(read.left.fault, read.left.message);
        return undefined;
      }
      const page = read.right;
      if (page.next.era !== from.era) {
        this.recordFailure(StoreFault.restored, "the store was restored");
        return undefined;
      }
      this.parts.apply(page, next.offset);
      entries.push(...this.decodeAll(page.records));
      next = chooseLater(page.next, next);
      if (isLastPage(page)) return this.recordEnd(entries, { from, next }, readAt);
    }
    // The next read begins where this one ended.
    this.record(entries, { from, next }, readAt);
    this.recordFailure(StoreFault.refused, "too many pages");
    return undefined;
  }

  /** A read begins with the first record that either is not counted or not in the list. */
  private findStart(): LogPosition {
    const { directory, versionHistory } = this.parts;
    const counted = versionHistory.position ?? directory.next;
    return isAfter(counted, directory.next) ? directory.next : counted;
  }

  /** Reads the newest records, as the store no longer has those that were not counted. */
  private async readAnew(readAt: Moment): Promise<ConfirmedList | undefined> {
    const { feed, directory, meter, logger, applySnapshot } = this.parts;
    meter.storeCalls.inc();
    const read = await feed.readNewest()();
    if (E.isLeft(read)) {
      this.recordFailure(read.left.fault, read.left.message);
      return undefined;
    }
    const { records, next } = read.right;
    applySnapshot(read.right);
    directory.recordGap();
    logger.info("history trimmed", { offset: next.offset });
    return this.recordEnd(this.decodeAll(records), { from: next, next }, readAt);
  }

  private recordEnd(
    entries: readonly EndpointEntry[],
    range: ReadRange,
    readAt: Moment,
  ): ConfirmedList {
    const { onConfirmed, clock, logger } = this.parts;
    const { from, next } = range;
    this.record(entries, range, readAt);
    onConfirmed(readAt);
    const tookMs = Math.round(clock.now() - readAt);
    const offsets = { from: from.offset, offset: next.offset };
    logger.info("list confirmed", { records: entries.length, ...offsets, tookMs });
    return { readAt, next };
  }

  /** Counts all entries that were read, also those that a later one replaced. */
  private record(entries: readonly EndpointEntry[], read: ReadRange, readAt: Moment): void {
    const { directory, versionHistory } = this.parts;
    const seen = { next: read.next, gaps: directory.gaps, read };
    versionHistory.record([...directory.listAll(), ...entries], readAt, seen);
  }

  private decodeAll(records: readonly FeedRecord[]): readonly EndpointEntry[] {
    return records.flatMap(({ key, value }) =>
      value === undefined ? [] : (this.parts.decode(key, value) ?? []),
    );
  }

  private recordFailure(fault: StoreFault, error: string): void {
    const { meter, logger } = this.parts;
    meter.storeFailures.inc();
    logger.warn("list not confirmed", { fault, error });
  }
}

/** Checks whether a page reaches the end of the feed; a store that does not tell sends an empty one. */
function isLastPage({ records, next, end }: FeedPage): boolean {
  return end === undefined ? records.length === 0 : next.offset >= end;
}
