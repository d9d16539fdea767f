/**
 * Follows the configuration and the endpoint list. Few instances read them from the store, chosen
 * among the live ones; the others get changes from peers, and read by themselves only once their
 * copies are no longer confirmed in time, whatever the reason. A copy is confirmed by an own read, or
 * by a peer whose copy holds nothing more.
 */
import * as E from "fp-ts/Either";
import { pauseUntilTick, TICK_MS } from "../core/aligned";
import { type Clock, type Moment, pause } from "../core/clock";
import type { DecodeError } from "../core/codec";
import type { Logger } from "../core/log";
import { runTask } from "../core/tasks";
import type { Meter } from "../forward/requests";
import { roundAge } from "../peer/count";
import type { Beat } from "../peer/gen/fleet";
import { FleetConfigIndex, type FleetConfig } from "./config";
import type { EndpointDirectory } from "./directory";
import { type DirectoryChange, EntryChange } from "./entries";
import { type EvacuationRecord, Evacuations } from "./evacuations";
import { RecordFaults, RecordTopic } from "./feeds/faults";
import { type ListClaim, ListUse } from "./listed/coverage";
import { createFeedState, type FeedState, getMaxAgeMs, ReadRole } from "./feeds/state";
import { FIRST_ERA, isAfter, type LogPosition } from "./position";
import { type Feed, type FeedPage, type FeedRecord, type Store, StoreFault } from "./store";

/** Key of the configuration in its feed. */
const CONFIG_KEY = "config";
/** The position of a configuration that a peer passed on. */
const NO_POSITION: LogPosition = { era: FIRST_ERA, offset: -1 };
/**
 * Wait time of a long poll for a new configuration, in milliseconds: a minimum plus random jitter,
 * so that the reads of the fleet do not end together after a change. A read that gets no response
 * reveals a dead connection.
 */
const CONFIG_WAIT_MS = { min: 1200, jitter: 1600 } as const;
/** The share of the drain time after which a reader reads the list again. */
const LIST_READ_SHARE = 0.4;
/** Maximum fraction by which the pause between reads is randomly shortened. */
const POLL_JITTER = 0.2;
/** In a large fleet: wait time of a long poll, in milliseconds, and pause between reads of the list. */
const LARGE_FLEET_CONFIG_WAIT_MS = { min: 2400, jitter: 400 } as const;
const LARGE_FLEET_LIST_READ_SHARE = 0.45;
/** Shortest and longest time until it is checked again whether to read, in milliseconds. */
const CHECK_MS = { min: 60, max: TICK_MS } as const;
/** Delay after a failed call, in milliseconds. */
const RETRY_DELAY_MS = 200;
/**
 * Delay after which an instance whose copies are confirmed by peers tries a store that it lost, in
 * milliseconds: it can become a reader again only once a call succeeds.
 */
const LOST_RETRY_DELAY_MS = 2000;

/** Bounds within which changes have to be known, in milliseconds. */
export interface WatchBounds {
  /** From a change of the configuration, or of an evacuation, until it is in force. */
  readonly configMs: number;
  /** From a change of the endpoint list until it is observed. */
  readonly endpointsMs: number;
}

/** Decides how an instance reads the store. */
export interface ReadPolicy {
  /** True if relays are used, so that few calls to the store have to do for many instances. */
  isLargeFleet(): boolean;
  readRole(now: Moment): ReadRole;
  /** Until when an instance that has just started leaves the first reads to its peers. */
  readonly holdUntil: Moment;
}

/** Decodes a published configuration. */
export type ConfigDecoder = (value: Buffer) => E.Either<DecodeError, FleetConfig>;

/** The feeds of the store, as they are logged. */
const FeedName = {
  configuration: "configuration",
  endpoints: "endpoints",
} as const;
type FeedName = (typeof FeedName)[keyof typeof FeedName];

/** What moved the position of the list, or left it, as it is logged and counted. */
const ListMove = {
  read: "read",
  snapshot: "snapshot",
  /** A peer's list whose records follow those held. */
  peerList: "peer list",
  /** A peer's list that may lack removals, so that it replaced the one held. */
  peerSnapshot: "peer snapshot",
  /** A peer that holds nothing that is missed here. */
  confirmation: "confirmation",
  /** A peer that may hold what is missed here, so the position stayed. */
  unconfirmed: "unconfirmed",
} as const;
type ListMove = (typeof ListMove)[keyof typeof ListMove];

/** Follows the store's configuration and endpoint feeds. */
export class StoreWatcher {
  /** The evacuations of data centres, which the feed of the configuration has too. */
  readonly evacuations = new Evacuations();
  private readonly faults: RecordFaults;
  private configIndex: FleetConfigIndex | undefined;
  private configValue: Buffer | undefined;
  private readonly configState: FeedState;
  private readonly endpointsState: FeedState;
  /** Era of the store when the list was last read here. */
  private listEra = FIRST_ERA;
  private isClosed = false;

  /**
   * @param policy - whether this instance reads for the fleet
   * @param onChange - called after a change that was read from the store, to tell peers at once
   */
  constructor(
    private readonly store: Store,
    private readonly directory: EndpointDirectory,
    private readonly decodeConfig: ConfigDecoder,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly meter: Meter,
    private readonly bounds: WatchBounds,
    private readonly policy: ReadPolicy,
    private readonly onChange: () => void,
  ) {
    this.faults = new RecordFaults(logger, meter, clock);
    this.configState = createFeedState(bounds.configMs);
    this.endpointsState = createFeedState(bounds.endpointsMs);
  }

  start(): void {
    this.store.onRestored((era) => {
      this.onStoreRestored(era);
    });
    void this.followFeed(
      FeedName.configuration,
      this.store.configuration,
      this.configState,
      true,
      () => 0,
    );
    void this.followFeed(FeedName.endpoints, this.store.endpoints, this.endpointsState, false, () =>
      this.computeListPauseMs(),
    );
  }

  close(): void {
    this.isClosed = true;
  }

  /** The current configuration; undefined while none is known. */
  readConfigIndex(): FleetConfigIndex | undefined {
    return this.configIndex;
  }

  /** The published bytes of the current configuration, for a peer. */
  readConfigValue(): Buffer | undefined {
    return this.configValue;
  }

  /** True once both the configuration and the endpoint list are known. */
  isComplete(): boolean {
    return this.configIndex !== undefined && this.directory.next.offset > 0;
  }

  /** Time since the endpoint list was last confirmed, in milliseconds; infinite if never. */
  computeEndpointsAgeMs(): number {
    return this.endpointsState.freshness.computeAgeMs(this.clock.now());
  }

  /** Time since the configuration was last confirmed, in milliseconds; infinite if never. */
  computeConfigAgeMs(): number {
    return this.configState.freshness.computeAgeMs(this.clock.now());
  }

  /** Confirms the configuration as of a moment, since a peer that knew it then has nothing newer. */
  confirmConfig(at: Moment): void {
    this.configState.freshness.confirm(at);
  }

  /** Confirms the endpoint list as of a moment, since it was read here up to its end then. */
  confirmEndpointsRead(at: Moment): void {
    this.endpointsState.freshness.confirm(at);
  }

  /**
   * Confirms the endpoint list as of a moment, if a peer's list of that moment holds nothing that is
   * missed here.
   */
  confirmEndpoints(claim: ListClaim, at: Moment): void {
    if (!this.directory.isConfirmedBy(claim)) {
      this.meter.listMoves.inc({ by: ListMove.unconfirmed });
      return;
    }
    this.endpointsState.freshness.confirm(at);
    if (this.directory.confirm(claim)) this.meter.listMoves.inc({ by: ListMove.confirmation });
  }

  /** Reports to peers how fresh the copies are, and whether the store is in reach. */
  readReport(): Pick<Beat, "configAgeMs" | "endpointsAgeMs" | "storeLost"> {
    return {
      configAgeMs: roundAge(this.computeConfigAgeMs()),
      endpointsAgeMs: roundAge(this.computeEndpointsAgeMs()),
      storeLost: this.isStoreLost,
    };
  }

  /** True while this instance's last call to the store failed. */
  get isStoreLost(): boolean {
    return this.configState.isUnavailable || this.endpointsState.isUnavailable;
  }

  /**
   * Applies a configuration from the store or a peer; an older version never replaces a newer one, nor
   * does one that can't be used.
   *
   * @param position - where it stands in its feed, if that is known
   * @returns true if it is in force now
   */
  applyConfig(value: Buffer, source: string, position = NO_POSITION): boolean {
    const indexed = E.flatten(
      E.tryCatch(
        () =>
          E.map((config: FleetConfig) => new FleetConfigIndex(config))(this.decodeConfig(value)),
        E.toError,
      ),
    );
    if (E.isLeft(indexed)) {
      const record = { key: CONFIG_KEY, position };
      this.faults.report(RecordTopic.configuration, record, indexed.left.message, source);
      return false;
    }
    const { version, routes } = indexed.right.config;
    const before = this.configIndex?.config.version;
    if (before !== undefined && version <= before) return false;
    this.configIndex = indexed.right;
    this.configValue = value;
    this.logger.info("configuration", {
      version,
      before: before ?? 0,
      source,
      routes: routes.length,
    });
    return true;
  }

  /**
   * Applies endpoint records that were read from the store.
   *
   * @param from - the offset that the read began at; undefined for a snapshot
   * @returns true if something changed
   */
  applyEndpoints(page: FeedPage, from: number | undefined, source: string): boolean {
    const now = this.clock.now();
    const { directory } = this;
    const before = directory.next;
    const isSnapshot = from === undefined;
    const changes = isSnapshot
      ? directory.applySnapshot(page, now)
      : directory.apply(page, now, { era: page.next.era, offset: from });
    for (const change of changes) this.logChange(change, source);
    this.meter.listMoves.inc({ by: isSnapshot ? ListMove.snapshot : ListMove.read });
    if (isSnapshot) this.logMove(before, ListMove.snapshot, source);
    else if (!isAfter(directory.next, before) && isAfter(page.next, before))
      this.logger.warn("list read behind its position", { from, ...before, source });
    return changes.length > 0;
  }

  /**
   * Applies the list of a peer, if it is newer.
   *
   * @returns true if something changed
   */
  applyPeerEndpoints(records: readonly FeedRecord[], claim: ListClaim, source: string): boolean {
    const { directory } = this;
    const before = directory.next;
    const { use, changes } = directory.applyPeerList(records, claim, this.clock.now());
    for (const change of changes) this.logChange(change, source);
    if (use === ListUse.ignored) return false;
    const by = use === ListUse.merged ? ListMove.peerList : ListMove.peerSnapshot;
    this.meter.listMoves.inc({ by });
    this.logMove(before, by, source);
    return changes.length > 0;
  }

  /** Logs who moved the position of the list, and what the list stands for since. */
  private logMove(before: LogPosition, by: ListMove, source: string): void {
    const { next, lastChange, removalsFrom } = this.directory.claim;
    this.logger.info("list position", {
      by,
      source,
      from: before.offset,
      offset: next.offset,
      era: next.era,
      lastChange: lastChange.offset,
      removalsFrom: removalsFrom.offset,
    });
  }

  private logChange(change: DirectoryChange, source: string): void {
    if (change.change !== EntryChange.unreadable) {
      this.logger.info("endpoint", { ...change, source });
      return;
    }
    const { endpoint: key, offset, error = "no valid entry" } = change;
    const position = { era: this.directory.next.era, offset };
    this.faults.report(RecordTopic.endpoints, { key, position }, error, source);
  }

  /**
   * Applies evacuations that a peer knows.
   *
   * @returns true if something changed
   */
  applyEvacuations(records: readonly EvacuationRecord[], source: string): boolean {
    return this.logEvacuations(this.evacuations.merge(records), source);
  }

  private logEvacuations(changes: readonly EvacuationRecord[], source: string): boolean {
    for (const { dataCentre, isEvacuated, position } of changes) {
      const { offset, era } = position;
      this.logger.warn("evacuation", { dataCentre, isEvacuated, offset, era, source });
    }
    return changes.length > 0;
  }

  private async followFeed(
    name: FeedName,
    feed: Feed,
    state: FeedState,
    isLongPoll: boolean,
    computePauseMs: () => number,
  ): Promise<void> {
    while (!this.isClosed) {
      const isSound = await runTask(`follow ${name}`, this.logger, () =>
        this.readPage(name, feed, state, isLongPoll, computePauseMs),
      );
      if (isSound) continue;
      // What the failed turn has read may not be applied in full.
      state.nextOffset = undefined;
      state.isWaiting = false;
      await pause(RETRY_DELAY_MS);
    }
  }

  /** Reads and applies what comes next, once it is needed. */
  private async readPage(
    name: FeedName,
    feed: Feed,
    state: FeedState,
    isLongPoll: boolean,
    computePauseMs: () => number,
  ): Promise<void> {
    await this.waitUntilNeeded(name, state);
    const startedAt = this.clock.now();
    if (name === FeedName.endpoints) this.skipKnownEntries(state);
    // The store may be restored while it is read, which has the next read begin anew.
    const from = state.nextOffset;
    const { min, jitter } = this.policy.isLargeFleet()
      ? LARGE_FLEET_CONFIG_WAIT_MS
      : CONFIG_WAIT_MS;
    const waitMs = isLongPoll ? min + Math.random() * jitter : 0;
    state.isWaiting = isLongPoll && from !== undefined;
    const result = await this.readOnce(feed, from, Math.round(waitMs));
    state.isWaiting = false;
    if (this.isClosed) return;
    if (E.isRight(result)) {
      this.recordSuccess(name, state, startedAt);
      state.nextOffset = result.right.next.offset;
      const isChanged = this.applyPage(name, result.right, from);
      if (name === FeedName.endpoints) this.recordListRead(state, from, result.right.next);
      if (isChanged) this.onChange();
      await pause(computePauseMs() * (1 - Math.random() * POLL_JITTER));
      return;
    }
    if (result.left.fault === StoreFault.trimmed) {
      state.nextOffset = undefined;
      if (name === FeedName.endpoints) this.directory.recordGap();
      this.logger.info("history trimmed", { feed: name });
      return;
    }
    if (result.left.fault === StoreFault.restored) return;
    this.recordFailure(name, state, result.left.message);
    await pause(RETRY_DELAY_MS);
  }

  /**
   * Starts both feeds anew, as offsets of the earlier era are of no use. What is known stays: an
   * older configuration never replaces a newer one, and older entries are out of date.
   */
  private onStoreRestored(era: number): void {
    this.configState.nextOffset = undefined;
    this.endpointsState.nextOffset = undefined;
    this.directory.recordStoreRestore(this.clock.now());
    this.logger.warn("store restored", { era });
  }

  /** Waits until this instance is a reader, or the copy is not confirmed in time. */
  private async waitUntilNeeded(name: FeedName, state: FeedState): Promise<void> {
    for (;;) {
      const now = this.clock.now();
      if (this.isClosed) return;
      if (now < this.policy.holdUntil && !this.isKnown(name)) {
        await pause(CHECK_MS.min);
        continue;
      }
      const role = this.policy.readRole(now);
      if (role === ReadRole.reader || (state.retryAt <= now && role !== ReadRole.waiting)) return;
      if (!this.isKnown(name)) return;
      const leftMs = getMaxAgeMs(state, role) - state.freshness.computeAgeMs(now);
      if (leftMs <= 0) return;
      if (leftMs > CHECK_MS.max) await pauseUntilTick();
      else await pause(Math.max(CHECK_MS.min, leftMs));
    }
  }

  /** Checks whether a copy is known at all. */
  private isKnown(name: FeedName): boolean {
    return name === FeedName.configuration
      ? this.configIndex !== undefined
      : this.directory.next.offset > 0;
  }

  private computeListPauseMs(): number {
    const share = this.policy.isLargeFleet() ? LARGE_FLEET_LIST_READ_SHARE : LIST_READ_SHARE;
    return this.bounds.endpointsMs * share;
  }

  /** Reads on where the list ends, which peers may have passed on further than it was read here. */
  private skipKnownEntries(state: FeedState): void {
    const { era, offset } = this.directory.next;
    if (state.nextOffset === undefined || era !== this.listEra) return;
    state.nextOffset = offset;
  }

  /** Records a read of the list; one that left records out is followed by a snapshot. */
  private recordListRead(state: FeedState, from: number | undefined, next: LogPosition): void {
    this.directory.ownReads.record(from, next);
    if (isAfter(next, this.directory.next)) state.nextOffset = undefined;
  }

  private readOnce(feed: Feed, next: number | undefined, waitMs: number) {
    this.meter.storeCalls.inc();
    return next === undefined ? feed.readNewest()() : feed.read(next, waitMs)();
  }

  private applyPage(name: FeedName, page: FeedPage, from: number | undefined): boolean {
    if (name === FeedName.endpoints) {
      this.listEra = page.next.era;
      return this.applyEndpoints(page, from, "store");
    }
    const isSnapshot = from === undefined;
    const isEvacuationNew = this.logEvacuations(this.evacuations.apply(page, isSnapshot), "store");
    const applied = page.records.map((record) => this.applyConfigRecord(record));
    return isEvacuationNew || applied.includes(true);
  }

  private applyConfigRecord({ key, value, position }: FeedRecord): boolean {
    if (key !== CONFIG_KEY || value === undefined) return false;
    return this.applyConfig(value, `store offset ${position.offset}`, position);
  }

  /**
   * Confirms a copy as of the start of its read; a long poll, which returns at once if there is
   * something new, as of its end. While a long poll for the configuration is open, a read of the list
   * shows that the store is in reach, so there is nothing new.
   */
  private recordSuccess(name: FeedName, state: FeedState, startedAt: Moment): void {
    const now = this.clock.now();
    state.freshness.confirm(name === FeedName.endpoints ? startedAt : now);
    if (name === FeedName.endpoints && this.configState.isWaiting) this.confirmConfig(startedAt);
    if (!state.isUnavailable) return;
    state.isUnavailable = false;
    state.retryAt = Number.POSITIVE_INFINITY;
    if (name === FeedName.endpoints) this.directory.recordStoreRecovery(now);
    this.logger.info("store regained", { feed: name });
  }

  private recordFailure(name: FeedName, state: FeedState, error: string): void {
    this.meter.storeFailures.inc();
    state.retryAt = this.clock.now() + LOST_RETRY_DELAY_MS;
    if (state.isUnavailable) return;
    state.isUnavailable = true;
    this.logger.warn("store lost", { feed: name, error });
  }
}
