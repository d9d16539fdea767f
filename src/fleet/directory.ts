/**
 * The directory of endpoints: the list in the store, corrected by what this instance has observed,
 * such as misdirected requests and outages of the store.
 */
import type { Moment } from "../core/clock";
import { type Departure, DepartureTracker } from "./departures";
import type { FeedPage, FeedRecord } from "./store";

/** The stages of an engine. */
export const EngineStage = { prefill: "prefill", decode: "decode" } as const;
export type EngineStage = (typeof EngineStage)[keyof typeof EngineStage];

/** An endpoint's own description, published in the store. */
export interface EndpointEntry {
  readonly id: string;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly dataCentre: string;
  readonly slots: number;
  /** True where the endpoint has announced that it will leave. */
  readonly isLeaving: boolean;
  /** Undefined for an endpoint of a plain service. */
  readonly stage: EngineStage | undefined;
  /**
   * When the endpoint's process started, in milliseconds of its own wall clock; distinguishes
   * restarts.
   */
  readonly processStartedAt: number;
  /**
   * Sequence number of the entries that this process published; an entry with a lower number is out
   * of date.
   */
  readonly sequence: number;
}

/** Decodes an endpoint's entry; undefined where it does not describe a usable endpoint. */
export type EndpointDecoder = (id: string, value: Buffer) => EndpointEntry | undefined;

/**
 * How long an entry that expired around an outage of the store may still return, in milliseconds;
 * based on the platform's promise of about two seconds.
 */
export const OUTAGE_GRACE_MS = 2200;

/** Offset that stands for no record. */
const NO_OFFSET = -1;

interface ListedEndpoint {
  readonly record: FeedRecord;
  readonly entry: EndpointEntry | undefined;
  /** Set where the entry expired around an outage of the store: the entry may return until then. */
  readonly doubtDeadline: Moment | undefined;
  /** The newest entry that an endpoint of this id published; kept after the entry is removed. */
  readonly latestEntry: EndpointEntry | undefined;
}

/** A change of the directory, as it is logged. */
export interface DirectoryChange {
  readonly endpoint: string;
  readonly change:
    "added" | "changed" | "leaving" | "in doubt" | "gone" | "unreadable" | "out of date";
  readonly offset: number;
}

/** The directory of endpoints. */
export class EndpointDirectory {
  private readonly listed = new Map<string, ListedEndpoint>();
  /** By endpoint: the sequence number of the entry that proved wrong. */
  private readonly misdirected = new Map<string, number>();
  private readonly departures = new DepartureTracker();
  private nextOffset = 0;
  private changedOffset = NO_OFFSET;
  private outageEndedAt: Moment = Number.NEGATIVE_INFINITY;
  private usableCache: readonly EndpointEntry[] | undefined;

  constructor(private readonly decode: EndpointDecoder) {}

  /** The offset to read from next. */
  get next(): number {
    return this.nextOffset;
  }

  /**
   * The offset of the newest record that changed more than a sequence number; -1 where there is
   * none.
   */
  get lastChangeOffset(): number {
    return this.changedOffset;
  }

  /** Records that the store responds again after an outage. */
  recordStoreRecovery(now: Moment): void {
    this.outageEndedAt = now;
  }

  /** Applies records that follow those already applied; returns the changes. */
  apply(page: FeedPage, now: Moment): readonly DirectoryChange[] {
    const changes: DirectoryChange[] = [];
    for (const record of page.records) {
      const change = this.applyRecord(record, now);
      if (change === undefined) continue;
      changes.push(change);
      this.changedOffset = Math.max(this.changedOffset, record.offset);
    }
    this.nextOffset = Math.max(this.nextOffset, page.next);
    return changes;
  }

  /** Applies a snapshot of the whole list: endpoints that it does not contain are removed. */
  applySnapshot(page: FeedPage, now: Moment): readonly DirectoryChange[] {
    const listedIds = new Set(page.records.map((record) => record.key));
    const changes: DirectoryChange[] = [];
    for (const [id, { record, entry }] of this.listed) {
      if (listedIds.has(id) || entry === undefined || record.offset >= page.next) continue;
      const removal = { key: id, value: undefined, offset: page.next - 1 };
      const change = this.applyRecord(removal, now);
      if (change !== undefined) changes.push(change);
    }
    return [...changes, ...this.apply(page, now)];
  }

  /**
   * Marks an endpoint's entry as wrong, since another endpoint responds at its address or its
   * stage differs. The entry is ignored until a newer one arrives.
   */
  markMisdirected(endpoint: EndpointEntry): void {
    this.misdirected.set(endpoint.id, endpoint.sequence);
    this.usableCache = undefined;
  }

  /**
   * Marks an endpoint's process as leaving, as its own response says; the list may say so later or
   * not at all.
   *
   * @returns false if it was known already
   */
  markLeaving(endpoint: EndpointEntry, now: Moment): boolean {
    return this.recordLeaving(createDeparture(endpoint, true), true, now);
  }

  /** Applies what a peer knows of endpoints that left. */
  applyDepartures(departures: readonly Departure[], now: Moment): readonly string[] {
    const isNew = (departure: Departure) =>
      departure.isLeaving
        ? this.recordLeaving(departure, false, now)
        : this.departures.record(departure, false, now);
    return departures.filter(isNew).map(({ endpoint }) => endpoint);
  }

  /** Lists the departures that peers may not know. */
  listAnnouncedDepartures(now: Moment): readonly Departure[] {
    return this.departures.listAnnounced(now);
  }

  /** Checks whether this process of an endpoint is leaving or was removed. */
  hasLeft(endpoint: EndpointEntry): boolean {
    const departure = this.departures.find(endpoint.id);
    return (
      departure?.processStartedAt === endpoint.processStartedAt &&
      (departure.isLeaving || departure.sequence >= endpoint.sequence)
    );
  }

  /** Lists the newest record of each endpoint, for a peer that cannot read the store. */
  listRecords(): readonly FeedRecord[] {
    return [...this.listed.values()].map(({ record }) => record);
  }

  /**
   * Lists the usable endpoints: not leaving, not misdirected, and not superseded at their address.
   * An entry in doubt is usable until its deadline, and is removed after it.
   */
  listUsable(now: Moment): readonly EndpointEntry[] {
    if (this.usableCache !== undefined) return this.usableCache;
    let hasDoubt = false;
    const newestStarts = this.findNewestStarts();
    const usable: EndpointEntry[] = [];
    for (const [id, listed] of this.listed) {
      if (listed.entry === undefined || listed.entry.isLeaving) continue;
      if (this.misdirected.get(id) === listed.entry.sequence) continue;
      if ((newestStarts.get(listed.entry.address) ?? 0) > listed.entry.processStartedAt) continue;
      if (listed.doubtDeadline !== undefined) {
        hasDoubt = true;
        if (listed.doubtDeadline <= now) {
          this.listed.set(id, { ...listed, entry: undefined, doubtDeadline: undefined });
          continue;
        }
      }
      usable.push(listed.entry);
    }
    if (!hasDoubt) this.usableCache = usable;
    return usable;
  }

  /** Finds an endpoint, including one that is leaving. */
  find(id: string): EndpointEntry | undefined {
    return this.listed.get(id)?.entry;
  }

  /** Checks whether an endpoint is listed and not leaving. */
  isUsable(id: string): boolean {
    const entry = this.listed.get(id)?.entry;
    return entry !== undefined && !entry.isLeaving;
  }

  /** Checks whether an endpoint's entry expired around an outage of the store. */
  isInDoubt(id: string): boolean {
    return this.listed.get(id)?.doubtDeadline !== undefined;
  }

  /**
   * By address: when the newest process started there. Earlier processes at the address no longer
   * exist.
   */
  private findNewestStarts(): ReadonlyMap<string, number> {
    const newest = new Map<string, number>();
    for (const { entry } of this.listed.values()) {
      if (entry === undefined) continue;
      newest.set(entry.address, Math.max(entry.processStartedAt, newest.get(entry.address) ?? 0));
    }
    return newest;
  }

  private applyRecord(record: FeedRecord, now: Moment): DirectoryChange | undefined {
    const before = this.listed.get(record.key);
    if (before !== undefined && before.record.offset >= record.offset) return undefined;
    this.usableCache = undefined;
    const { offset } = record;
    if (record.value === undefined) return this.applyRemoval(record, before, now);
    const entry = this.decode(record.key, record.value);
    if (entry === undefined) return { endpoint: record.key, change: "unreadable", offset };
    const departure = this.departures.find(record.key);
    const latestKnown = [before?.latestEntry, departure].filter((known) => known !== undefined);
    if (latestKnown.some((known) => isOutOfDate(entry, known))) {
      return { endpoint: record.key, change: "out of date", offset };
    }
    const isLeaving =
      entry.isLeaving ||
      latestKnown.some(
        (known) => known.processStartedAt === entry.processStartedAt && known.isLeaving,
      );
    const accepted = { ...entry, isLeaving };
    if (isLeaving) this.departures.record(createDeparture(accepted, true), false, now);
    this.listed.set(record.key, {
      record,
      entry: accepted,
      doubtDeadline: undefined,
      latestEntry: accepted,
    });
    return compareEntries(before?.entry, accepted, offset);
  }

  private applyRemoval(
    record: FeedRecord,
    before: ListedEndpoint | undefined,
    now: Moment,
  ): DirectoryChange | undefined {
    const entry = before?.entry;
    const latestEntry = before?.latestEntry;
    const mayReturn =
      entry !== undefined && !entry.isLeaving && now < this.outageEndedAt + OUTAGE_GRACE_MS;
    if (mayReturn) {
      const doubtDeadline = this.outageEndedAt + OUTAGE_GRACE_MS;
      this.listed.set(record.key, { record, entry, doubtDeadline, latestEntry });
      return { endpoint: record.key, change: "in doubt", offset: record.offset };
    }
    this.listed.set(record.key, {
      record,
      entry: undefined,
      doubtDeadline: undefined,
      latestEntry,
    });
    if (entry === undefined) return undefined;
    this.departures.record(createDeparture(entry, entry.isLeaving), false, now);
    return { endpoint: record.key, change: "gone", offset: record.offset };
  }

  private recordLeaving(departure: Departure, isAnnounced: boolean, now: Moment): boolean {
    if (!this.departures.record(departure, isAnnounced, now)) return false;
    const listed = this.listed.get(departure.endpoint);
    const entry = listed?.entry;
    if (listed === undefined || entry?.processStartedAt !== departure.processStartedAt) return true;
    const leavingEntry = { ...entry, isLeaving: true };
    this.listed.set(departure.endpoint, {
      ...listed,
      entry: leavingEntry,
      latestEntry: leavingEntry,
    });
    this.usableCache = undefined;
    return true;
  }
}

function createDeparture(endpoint: EndpointEntry, isLeaving: boolean): Departure {
  const { id, processStartedAt, sequence } = endpoint;
  return { endpoint: id, processStartedAt, sequence, isLeaving };
}

/**
 * Checks whether an entry is older than the latest known one. Sequence numbers grow within one
 * process; a process that started later begins anew.
 */
function isOutOfDate(
  entry: EndpointEntry,
  last: Pick<EndpointEntry, "processStartedAt" | "sequence">,
): boolean {
  if (entry.processStartedAt !== last.processStartedAt)
    return entry.processStartedAt < last.processStartedAt;
  return entry.sequence <= last.sequence;
}

function compareEntries(
  before: EndpointEntry | undefined,
  after: EndpointEntry,
  offset: number,
): DirectoryChange | undefined {
  const endpoint = after.id;
  if (before === undefined) return { endpoint, change: "added", offset };
  if (after.isLeaving && !before.isLeaving) return { endpoint, change: "leaving", offset };
  const isSame =
    before.address === after.address &&
    before.service === after.service &&
    before.stage === after.stage &&
    before.processStartedAt === after.processStartedAt &&
    before.isLeaving === after.isLeaving;
  return isSame ? undefined : { endpoint, change: "changed", offset };
}
