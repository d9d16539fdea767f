/**
 * Reads the configuration and the list of endpoints from the store, for as long as the instance
 * runs; and takes both from peers where the store does not answer.
 */
import * as E from "fp-ts/Either";
import { type Clock, type Moment, pause } from "../core/clock";
import type { DecodeError } from "../core/codec";
import type { Logger } from "../core/log";
import type { Meter } from "../forward/meter";
import { FleetConfigIndex, type FleetConfig } from "./config";
import type { EndpointDirectory } from "./directory";
import { type Feed, type FeedPage, type FeedRecord, type Store, StoreFault } from "./store";

/** The key under which the configuration is published. */
const CONFIG_KEY = "config";
/**
 * How long a read waits for a new configuration, in milliseconds: at least, and up to how much more by
 * chance, so that the reads of the fleet do not end together after a change. A read that gets no
 * answer finds a silent connection.
 */
const CONFIG_WAIT_MS = { least: 1200, spread: 1600 } as const;
/** By how much the pause between reads varies, as a share. */
const PAUSE_SPREAD = 0.2;
/** How long to wait after a failed call, in milliseconds. */
const PAUSE_MS = 200;

/** Decodes a published configuration. */
export type ConfigDecoder = (value: Buffer) => E.Either<DecodeError, FleetConfig>;

/** When the parts of the store were last heard. */
interface FeedState {
  next: number | undefined;
  heardAt: Moment;
  isAway: boolean;
}

function createFeedState(): FeedState {
  return { next: undefined, heardAt: Number.NEGATIVE_INFINITY, isAway: false };
}

/** Follows the store. */
export class StoreWatcher {
  private configIndex: FleetConfigIndex | undefined;
  private configValue: Buffer | undefined;
  private readonly config = createFeedState();
  private readonly endpoints = createFeedState();
  private isClosed = false;

  /**
   * @param endpointsMs - how often the list of endpoints is read, in milliseconds
   */
  constructor(
    private readonly store: Store,
    private readonly directory: EndpointDirectory,
    private readonly decodeConfig: ConfigDecoder,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly meter: Meter,
    private readonly endpointsMs: number,
  ) {}

  start(): void {
    void this.follow("configuration", this.store.configuration, this.config, true, 0);
    void this.follow("endpoints", this.store.endpoints, this.endpoints, false, this.endpointsMs);
  }

  close(): void {
    this.isClosed = true;
  }

  /** The configuration in force; undefined while none is known. */
  readConfigIndex(): FleetConfigIndex | undefined {
    return this.configIndex;
  }

  /** The published bytes of the configuration in force, for a peer. */
  readConfigValue(): Buffer | undefined {
    return this.configValue;
  }

  /** True once both parts are known. */
  isComplete(): boolean {
    return this.configIndex !== undefined && this.directory.next > 0;
  }

  /** How long ago the store was heard on endpoints, in milliseconds; infinite if never. */
  computeEndpointsAgeMs(): number {
    return this.clock.now() - this.endpoints.heardAt;
  }

  /** How long ago the store was heard on the configuration, in milliseconds; infinite if never. */
  computeConfigAgeMs(): number {
    return this.clock.now() - this.config.heardAt;
  }

  /** Takes a configuration from the store or a peer; an older one never replaces a newer. */
  applyConfig(value: Buffer, source: string): void {
    const decoded = this.decodeConfig(value);
    if (E.isLeft(decoded)) {
      this.logger.warn("configuration unreadable", { source, error: decoded.left.message });
      return;
    }
    const { version } = decoded.right;
    const before = this.configIndex?.config.version;
    if (before !== undefined && version <= before) return;
    this.configIndex = new FleetConfigIndex(decoded.right);
    this.configValue = value;
    const routes = decoded.right.routes.length;
    this.logger.info("configuration", { version, before: before ?? 0, source, routes });
  }

  /** Takes records of endpoints from the store or a peer. */
  applyEndpoints(page: FeedPage, isWhole: boolean, source: string): void {
    const now = this.clock.now();
    const { directory } = this;
    const changes = isWhole ? directory.applySnapshot(page, now) : directory.apply(page, now);
    for (const change of changes) this.logger.info("endpoint", { ...change, source });
  }

  private async follow(
    name: "configuration" | "endpoints",
    feed: Feed,
    state: FeedState,
    isWaiting: boolean,
    pauseMs: number,
  ): Promise<void> {
    while (!this.isClosed) {
      const isWhole = state.next === undefined;
      const waitMs = isWaiting ? CONFIG_WAIT_MS.least + Math.random() * CONFIG_WAIT_MS.spread : 0;
      const result = await this.readOnce(feed, state.next, Math.round(waitMs));
      if (this.isClosed) return;
      if (E.isRight(result)) {
        this.noteHeard(name, state);
        state.next = result.right.next;
        this.takePage(name, result.right, isWhole);
        await pause(pauseMs * (1 - Math.random() * PAUSE_SPREAD));
        continue;
      }
      if (result.left.fault === StoreFault.trimmed) {
        state.next = undefined;
        this.logger.info("history trimmed", { feed: name });
        continue;
      }
      this.noteFailed(name, state, result.left.message);
      await pause(PAUSE_MS);
    }
  }

  private readOnce(feed: Feed, next: number | undefined, waitMs: number) {
    this.meter.storeCalls.inc();
    return next === undefined ? feed.readNewest()() : feed.read(next, waitMs)();
  }

  private takePage(name: "configuration" | "endpoints", page: FeedPage, isWhole: boolean): void {
    if (name === "endpoints") this.applyEndpoints(page, isWhole, "store");
    else for (const record of page.records) this.takeConfigRecord(record);
  }

  private takeConfigRecord(record: FeedRecord): void {
    if (record.key === CONFIG_KEY && record.value !== undefined) {
      this.applyConfig(record.value, `store offset ${record.offset}`);
    }
  }

  private noteHeard(name: string, state: FeedState): void {
    state.heardAt = this.clock.now();
    if (!state.isAway) return;
    state.isAway = false;
    if (name === "endpoints") this.directory.recordStoreRecovery(state.heardAt);
    this.logger.info("store regained", { feed: name });
  }

  private noteFailed(name: string, state: FeedState, error: string): void {
    this.meter.storeFailures.inc();
    if (state.isAway) return;
    state.isAway = true;
    this.logger.warn("store lost", { feed: name, error });
  }
}
