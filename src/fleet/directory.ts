/**
 * The directory of endpoints: the list in the store, corrected by what this instance has observed,
 * such as misdirected requests and outages of the store.
 */
import type { Moment } from "../core/clock";
import {
  compareEntries,
  type DirectoryChange,
  type EndpointDecoder,
  type EndpointEntry,
  EntryChange,
} from "./entries";
import { createSnapshotClaim, type ListClaim, ListCoverage, ListUse } from "./listed/coverage";
import { createDeparture, type Departure, DepartureTracker } from "./listed/departures";
import { createListed, createRemoved, type ListedEndpoint, readColdEnd } from "./listed/endpoint";
import { MisdirectionTracker } from "./listed/misdirections";
import { PlausibilityCheck } from "./listed/plausibility";
import { isAfter, type LogPosition, OwnReads } from "./position";
import { ProcessHistory } from "./processhistory";
import type { FeedPage, FeedRecord } from "./store";

/**
 * How long an entry that expired around an outage of the store may still return, in milliseconds;
 * based on the platform's promise of about two seconds.
 */
export const OUTAGE_GRACE_MS = 2200;

/**
 * How much longer than known an endpoint must stay cold for a change of the list, in milliseconds. The
 * remaining time is counted from when an entry is read, which varies with the store's delay.
 */
const COLD_TOLERANCE_MS = 1000;

/** Maximum number of keys that are remembered though none of their entries is listed. */
const MAX_UNLISTED = 1024;
/** Stands for the value of an entry that is not listed; no decoder accepts it. */
const NO_VALUE = Buffer.alloc(0);

/** The directory of endpoints. */
export class EndpointDirectory {
  private readonly listed = new Map<string, ListedEndpoint>();
  private readonly misdirections = new MisdirectionTracker();
  private readonly departures = new DepartureTracker();
  /** The processes that the endpoints have had. */
  readonly processes = new ProcessHistory();
  /** The newest records, without their values, of keys under which nothing but unusable entries was seen. */
  private readonly unlisted = new Map<string, FeedRecord>();
  private readonly coverage = new ListCoverage();
  /** The part of the feed that was read here. */
  readonly ownReads = new OwnReads();
  private outageEndedAt: Moment = Number.NEGATIVE_INFINITY;
  private usableCache: readonly EndpointEntry[] | undefined;
  private gapCount = 0;

  private readonly plausibility: PlausibilityCheck;

  /** @param readWallClock - reads this instance's wall clock, in milliseconds; never steps back */
  constructor(
    private readonly decode: EndpointDecoder,
    readWallClock?: () => number,
  ) {
    this.plausibility = new PlausibilityCheck(readWallClock);
  }

  /** The position up to which the list is known. */
  get next(): LogPosition {
    return this.coverage.claim.next;
  }

  /** What the list stands for, as peers are told. */
  get claim(): ListClaim {
    return this.coverage.claim;
  }

  /** How often records may have been missed since the start. */
  get gaps(): number {
    return this.gapCount;
  }

  /** Records that endpoints may have come and gone unseen, as the store no longer has the records. */
  recordGap(): void {
    this.gapCount += 1;
  }

  /** Records that the store responds again after an outage. */
  recordStoreRecovery(at: Moment): void {
    this.outageEndedAt = Math.max(this.outageEndedAt, at);
  }

  /** Computes the time since the last outage of the store ended, in milliseconds; infinite if none. */
  computeSinceOutageMs(now: Moment): number {
    return now - this.outageEndedAt;
  }

  /**
   * Records that the store was restored from an earlier copy. Endpoints that the copy lacks may
   * write their entries again; those that left since may stand in it again, which instances that
   * start now cannot tell, so they are announced to peers.
   */
  recordStoreRestore(now: Moment): void {
    this.outageEndedAt = now;
    this.recordGap();
    this.departures.announceAll(now);
  }

  /**
   * Applies records that were read one after the other; one that fails costs itself alone. The position
   * stays if the read began behind records that are missed.
   *
   * @param from - where the read began
   * @returns the changes
   */
  apply(page: FeedPage, now: Moment, from = this.next): readonly DirectoryChange[] {
    const changes = this.applyRecords(page, now);
    this.coverage.recordRead(from, page.next);
    return changes;
  }

  /** Applies a snapshot of the whole list: endpoints that it does not contain are removed. */
  applySnapshot(page: FeedPage, now: Moment): readonly DirectoryChange[] {
    return this.replace(page, createSnapshotClaim(page.next), now);
  }

  /** Applies a peer's list, in the way that its claim allows. */
  applyPeerList(
    records: readonly FeedRecord[],
    claim: ListClaim,
    now: Moment,
  ): { readonly use: ListUse; readonly changes: readonly DirectoryChange[] } {
    const use = this.coverage.classify(claim);
    if (use === ListUse.ignored) return { use, changes: [] };
    const page = { records, next: claim.next };
    if (use === ListUse.replaced) {
      if (this.listed.size > 0) this.recordGap();
      return { use, changes: this.replace(page, claim, now) };
    }
    const changes = this.applyRecords(page, now);
    this.coverage.recordMerge(claim);
    return { use, changes };
  }

  /** Applies a list after removing the endpoints that it does not contain. */
  private replace(page: FeedPage, claim: ListClaim, now: Moment): readonly DirectoryChange[] {
    const listedIds = new Set(page.records.map((record) => record.key));
    const { lastChange: position } = claim;
    const removals: FeedRecord[] = [];
    for (const [key, { record, entry }] of this.listed) {
      if (listedIds.has(key) || entry === undefined || isAfter(record.position, position)) continue;
      removals.push({ key, value: undefined, position });
    }
    for (const [key, record] of this.unlisted)
      if (!listedIds.has(key) && !isAfter(record.position, position)) this.unlisted.delete(key);
    const records = [...removals, ...page.records];
    const changes = this.applyRecords({ records, next: page.next }, now);
    this.coverage.recordReplacement(claim);
    return changes;
  }

  private applyRecords(page: FeedPage, now: Moment): readonly DirectoryChange[] {
    const isLate = isAfter(this.next, page.next);
    const changes: DirectoryChange[] = [];
    for (const record of page.records) {
      const { change, error } = this.tryRecord(record, isLate, now);
      if (change === undefined) continue;
      const { key: endpoint, position } = record;
      changes.push({ endpoint, change, offset: position.offset, ...(error ? { error } : {}) });
      this.coverage.recordChange(position);
    }
    return changes;
  }

  /**
   * Marks an endpoint's entry as wrong, since another endpoint responds at its address or its
   * stage differs. The entry is ignored until a newer one arrives, or for a while: peers do not pass
   * on entries in which only the sequence number is new.
   */
  markMisdirected(endpoint: EndpointEntry, now: Moment): void {
    this.misdirections.record(endpoint, now);
    this.usableCache = undefined;
  }

  /** Checks whether a peer's list holds nothing that is missed here. */
  isConfirmedBy(claim: ListClaim): boolean {
    return this.coverage.isConfirmedBy(claim);
  }

  /** Checks whether a change of the list is not known here. */
  isMissing(change: LogPosition): boolean {
    return this.coverage.isMissing(change);
  }

  /**
   * Advances the position up to which the list is known to that of a peer whose list confirms it.
   *
   * @returns true if it moved
   */
  confirm(claim: ListClaim): boolean {
    return this.coverage.recordConfirmation(claim);
  }

  /**
   * Marks an endpoint's process as leaving, as its own response says; the list may say so later or
   * not at all.
   *
   * @returns false if it was known already
   */
  markLeaving(endpoint: EndpointEntry, now: Moment): boolean {
    return this.recordDeparture(createDeparture(endpoint, true), true, now);
  }

  /**
   * Marks a process as gone, as another one answered for its endpoint; the entry of that one may still
   * be on its way. Peers are told.
   *
   * @returns false if it was known already
   */
  markReplaced(endpoint: EndpointEntry, now: Moment): boolean {
    return this.recordDeparture(createDeparture(endpoint, false), true, now);
  }

  /** Applies what a peer knows of endpoints that left; returns those that it did not know. */
  applyDepartures(departures: readonly Departure[], now: Moment): readonly string[] {
    return departures
      .filter((departure) => this.recordDeparture(departure, false, now))
      .map(({ endpoint }) => endpoint);
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

  /** Checks whether a process is still the listed one: only it knows the memory that it gave. */
  isListedProcess({ id, address, processStartedAt }: EndpointEntry): boolean {
    const entry = this.find(id);
    return (
      entry?.address === address &&
      entry.processStartedAt === processStartedAt &&
      (this.findNewestStarts().get(address) ?? 0) <= processStartedAt
    );
  }

  /** Checks whether the holds and handles of this process may be used: it is listed and not leaving. */
  canUseMemory(endpoint: EndpointEntry): boolean {
    return this.isListedProcess(endpoint) && !this.hasLeft(endpoint);
  }

  /**
   * Lists the newest record of each key, for a peer that cannot read the store; without its value where
   * no entry of the key could be listed.
   */
  listRecords(): readonly FeedRecord[] {
    return [...[...this.listed.values()].map(({ record }) => record), ...this.unlisted.values()];
  }

  /**
   * Lists the usable endpoints: not leaving, not misdirected, and not superseded at their address.
   * An entry in doubt is usable until its deadline, and is removed after it.
   */
  listUsable(now: Moment): readonly EndpointEntry[] {
    if (this.usableCache !== undefined) return this.usableCache;
    let canExpire = false;
    const newestStarts = this.findNewestStarts();
    const usable: EndpointEntry[] = [];
    for (const [id, listed] of this.listed) {
      if (listed.entry === undefined || listed.entry.isLeaving) continue;
      if (this.misdirections.isIgnored(listed.entry, now)) {
        canExpire = true;
        continue;
      }
      if ((newestStarts.get(listed.entry.address) ?? 0) > listed.entry.processStartedAt) continue;
      if (listed.doubtDeadline !== undefined) {
        canExpire = true;
        if (listed.doubtDeadline <= now) {
          this.listed.set(id, { ...listed, entry: undefined, doubtDeadline: undefined });
          continue;
        }
      }
      usable.push(listed.entry);
    }
    if (!canExpire) this.usableCache = usable;
    return usable;
  }

  /** Lists all endpoints, including those that are leaving or in doubt. */
  listAll(): readonly EndpointEntry[] {
    return [...this.listed.values()].flatMap(({ entry }) => entry ?? []);
  }

  /** Finds an endpoint, including one that is leaving. */
  find(id: string): EndpointEntry | undefined {
    return this.listed.get(id)?.entry;
  }

  /** Finds the data centre of an endpoint, also if its entry was removed. */
  findDataCentre(id: string): string | undefined {
    return this.listed.get(id)?.latestEntry?.dataCentre;
  }

  /**
   * Finds the newest entry of an endpoint and until when its process is cold; also after the entry
   * was removed, as the process may still be up.
   */
  findCold(id: string): { readonly entry: EndpointEntry; readonly endsAt: Moment } | undefined {
    const listed = this.listed.get(id);
    if (listed?.latestEntry === undefined) return undefined;
    return { entry: listed.latestEntry, endsAt: listed.coldEndsAt };
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
   * exist, unless the newest entry cannot be true, or another endpoint answered there.
   */
  private findNewestStarts(): ReadonlyMap<string, number> {
    const newest = new Map<string, number>();
    for (const { entry } of this.listed.values()) {
      if (entry === undefined || !this.plausibility.isPlausible(entry)) continue;
      if (this.misdirections.isKnown(entry)) continue;
      newest.set(entry.address, Math.max(entry.processStartedAt, newest.get(entry.address) ?? 0));
    }
    return newest;
  }

  /** Applies a record; whatever is thrown by it costs this record alone. */
  private tryRecord(record: FeedRecord, isLate: boolean, now: Moment): Partial<DirectoryChange> {
    try {
      const change = this.applyRecord(record, isLate, now);
      return change === undefined ? {} : { change };
    } catch (error) {
      return { change: EntryChange.unreadable, error: String(error) };
    }
  }

  /** @param isLate - true if the list is known further than what the record was read with */
  private applyRecord(record: FeedRecord, isLate: boolean, now: Moment): EntryChange | undefined {
    const before = this.listed.get(record.key);
    if (before !== undefined && !isAfter(record.position, before.record.position)) {
      this.recordEarlier(record, before, now);
      return undefined;
    }
    const unlistedAt = this.unlisted.get(record.key)?.position;
    if (before === undefined && unlistedAt !== undefined && !isAfter(record.position, unlistedAt))
      return undefined;
    if (isLate && before?.entry === undefined) {
      this.recordEnded(record, now);
      return undefined;
    }
    this.usableCache = undefined;
    if (record.value === undefined) return this.applyRemoval(record, before, now);
    const entry = this.decode(record.key, record.value);
    if (entry === undefined) {
      if (before === undefined) this.recordUnusable(record);
      return EntryChange.unreadable;
    }
    const departure = this.departures.find(record.key);
    const latestKnown = [before?.latestEntry, departure].filter((known) => known !== undefined);
    const refusal = this.plausibility.judge(entry, latestKnown);
    if (refusal !== undefined && before === undefined) this.recordUnusable(record);
    if (refusal === EntryChange.outOfDate) this.recordUnlisted(entry, now, before?.entry);
    if (refusal !== undefined) return refusal;
    this.unlisted.delete(record.key);
    const isLeaving =
      entry.isLeaving ||
      latestKnown.some(
        (known) => known.processStartedAt === entry.processStartedAt && known.isLeaving,
      );
    const accepted = { ...entry, isLeaving };
    this.processes.record(accepted, now);
    if (isLeaving) this.departures.record(createDeparture(accepted, true), false, now);
    const knownColdEnd = readColdEnd(before, accepted);
    const listed = createListed(record, accepted, before, now);
    this.listed.set(record.key, listed);
    const isColder = listed.coldEndsAt > Math.max(knownColdEnd, now) + COLD_TOLERANCE_MS;
    return compareEntries(before?.entry, accepted) ?? (isColder ? EntryChange.cold : undefined);
  }

  /**
   * Remembers a key without a listed entry: peers may list an earlier one, which it does not remove, and
   * its removal then says nothing of an endpoint that was missed.
   */
  private recordUnusable({ key, position }: FeedRecord): void {
    this.unlisted.set(key, { key, position, value: NO_VALUE });
    const [oldest = ""] = this.unlisted.keys();
    if (this.unlisted.size > MAX_UNLISTED) this.unlisted.delete(oldest);
  }

  /** Remembers the process of a record that was removed since, as the list is known further. */
  private recordEnded({ key, value }: FeedRecord, now: Moment): void {
    const entry = value === undefined ? undefined : this.decode(key, value);
    if (entry !== undefined) this.processes.record(entry, now);
  }

  /** Remembers the process of a record that comes after a later one of its endpoint. */
  private recordEarlier(record: FeedRecord, known: ListedEndpoint, now: Moment): void {
    if (record.value === undefined || !isAfter(known.record.position, record.position)) return;
    const entry = this.decode(record.key, record.value);
    if (entry !== undefined) this.recordUnlisted(entry, now, known.entry);
  }

  /**
   * Remembers the process of an entry that is not applied: streams may have begun there, and what was
   * read is not read again. The listed one stays the newest.
   */
  private recordUnlisted(entry: EndpointEntry, at: Moment, listed?: EndpointEntry): void {
    this.processes.record(entry, at);
    if (listed !== undefined) this.processes.record(listed, at);
  }

  private applyRemoval(
    record: FeedRecord,
    before: ListedEndpoint | undefined,
    now: Moment,
  ): EntryChange | undefined {
    this.coverage.recordChange(record.position);
    if (before === undefined && this.unlisted.delete(record.key)) return undefined;
    const entry = before?.entry;
    if (entry !== undefined) this.processes.record(entry, now);
    const mayReturn = entry?.isLeaving === false && now < this.outageEndedAt + OUTAGE_GRACE_MS;
    if (before !== undefined && mayReturn) {
      const doubtDeadline = this.outageEndedAt + OUTAGE_GRACE_MS;
      const { latestEntry, coldEndsAt } = before;
      this.listed.set(record.key, { record, entry, doubtDeadline, latestEntry, coldEndsAt });
      return EntryChange.inDoubt;
    }
    this.listed.set(record.key, createRemoved(record, before));
    // It was listed in records that were not seen: a peer's list holds the newest one of each endpoint.
    if (before === undefined && !isAfter(this.next, record.position)) this.recordGap();
    if (entry === undefined) return undefined;
    this.departures.record(createDeparture(entry, entry.isLeaving), false, now);
    return EntryChange.gone;
  }

  /** Records a departure that the list did not say, and applies it to the listed entry. */
  private recordDeparture(departure: Departure, isAnnounced: boolean, now: Moment): boolean {
    const latest = this.listed.get(departure.endpoint)?.latestEntry;
    const isKnownSound = latest !== undefined && this.plausibility.isPlausible(latest);
    if (isKnownSound && !this.plausibility.isPlausible(departure)) return false;
    if (!this.departures.record(departure, isAnnounced, now)) return false;
    const { endpoint, processStartedAt, sequence, isLeaving } = departure;
    const listed = this.listed.get(endpoint);
    const entry = listed?.entry;
    if (listed === undefined || entry?.processStartedAt !== processStartedAt) return true;
    this.usableCache = undefined;
    if (isLeaving) {
      const leavingEntry = { ...entry, isLeaving: true };
      this.listed.set(endpoint, { ...listed, entry: leavingEntry, latestEntry: leavingEntry });
    } else if (entry.sequence <= sequence) {
      this.listed.set(endpoint, { ...listed, entry: undefined, doubtDeadline: undefined });
    }
    return true;
  }
}
