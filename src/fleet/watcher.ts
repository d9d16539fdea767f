/**
 * Follows the configuration and the endpoint list in the store while the instance runs. Both can
 * also be applied from peers, for when the store does not respond.
 */
import * as E from "fp-ts/Either";
import { type Clock, type Moment, pause } from "../core/clock";
import type { DecodeError } from "../core/codec";
import type { Logger } from "../core/log";
import type { Meter } from "../forward/meter";
import { FleetConfigIndex, type FleetConfig } from "./config";
import type { EndpointDirectory } from "./directory";
import { type Feed, type FeedPage, type FeedRecord, type Store, StoreFault } from "./store";

/** Key of the configuration in its feed. */
const CONFIG_KEY = "config";
/**
 * Wait time of a long poll for a new configuration, in milliseconds: a minimum plus random jitter,
 * so that the reads of the fleet do not end together after a change. A read that gets no response
 * reveals a dead connection.
 */
const CONFIG_WAIT_MS = { min: 1200, jitter: 1600 } as const;
/** Maximum fraction by which the pause between reads is randomly shortened. */
const POLL_JITTER = 0.2;
/** Delay after a failed call, in milliseconds. */
const RETRY_DELAY_MS = 200;

/** Decodes a published configuration. */
export type ConfigDecoder = (value: Buffer) => E.Either<DecodeError, FleetConfig>;

/** The state of following one feed. */
interface FeedState {
  nextOffset: number | undefined;
  lastReadAt: Moment;
  isUnavailable: boolean;
}

function createFeedState(): FeedState {
  return { nextOffset: undefined, lastReadAt: Number.NEGATIVE_INFINITY, isUnavailable: false };
}

/** Follows the store's configuration and endpoint feeds. */
export class StoreWatcher {
  private configIndex: FleetConfigIndex | undefined;
  private configValue: Buffer | undefined;
  private readonly configState = createFeedState();
  private readonly endpointsState = createFeedState();
  private isClosed = false;

  /**
   * @param endpointsIntervalMs - how often the list of endpoints is read, in milliseconds
   */
  constructor(
    private readonly store: Store,
    private readonly directory: EndpointDirectory,
    private readonly decodeConfig: ConfigDecoder,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly meter: Meter,
    private readonly endpointsIntervalMs: number,
  ) {}

  start(): void {
    this.store.onRestored((era) => {
      this.onStoreRestored(era);
    });
    void this.followFeed("configuration", this.store.configuration, this.configState, true, 0);
    void this.followFeed(
      "endpoints",
      this.store.endpoints,
      this.endpointsState,
      false,
      this.endpointsIntervalMs,
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

  /**
   * Time since the endpoint list was last read from the store, in milliseconds; infinite if never.
   */
  computeEndpointsAgeMs(): number {
    return this.clock.now() - this.endpointsState.lastReadAt;
  }

  /**
   * Time since the configuration was last read from the store, in milliseconds; infinite if never.
   */
  computeConfigAgeMs(): number {
    return this.clock.now() - this.configState.lastReadAt;
  }

  /**
   * Applies a configuration from the store or a peer; an older version never replaces a newer one.
   */
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

  /** Applies endpoint records from the store or a peer. */
  applyEndpoints(page: FeedPage, isSnapshot: boolean, source: string): void {
    const now = this.clock.now();
    const { directory } = this;
    const changes = isSnapshot ? directory.applySnapshot(page, now) : directory.apply(page, now);
    for (const change of changes) this.logger.info("endpoint", { ...change, source });
  }

  private async followFeed(
    name: "configuration" | "endpoints",
    feed: Feed,
    state: FeedState,
    isLongPoll: boolean,
    pauseMs: number,
  ): Promise<void> {
    while (!this.isClosed) {
      const isSnapshot = state.nextOffset === undefined;
      const waitMs = isLongPoll ? CONFIG_WAIT_MS.min + Math.random() * CONFIG_WAIT_MS.jitter : 0;
      const result = await this.readOnce(feed, state.nextOffset, Math.round(waitMs));
      if (this.isClosed) return;
      if (E.isRight(result)) {
        this.recordSuccess(name, state);
        state.nextOffset = result.right.next.offset;
        this.applyPage(name, result.right, isSnapshot);
        await pause(pauseMs * (1 - Math.random() * POLL_JITTER));
        continue;
      }
      if (result.left.fault === StoreFault.trimmed) {
        state.nextOffset = undefined;
        this.logger.info("history trimmed", { feed: name });
        continue;
      }
      if (result.left.fault === StoreFault.restored) continue;
      this.recordFailure(name, state, result.left.message);
      await pause(RETRY_DELAY_MS);
    }
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

  private readOnce(feed: Feed, next: number | undefined, waitMs: number) {
    this.meter.storeCalls.inc();
    return next === undefined ? feed.readNewest()() : feed.read(next, waitMs)();
  }

  private applyPage(
    name: "configuration" | "endpoints",
    page: FeedPage,
    isSnapshot: boolean,
  ): void {
    if (name === "endpoints") this.applyEndpoints(page, isSnapshot, "store");
    else for (const record of page.records) this.applyConfigRecord(record);
  }

  private applyConfigRecord(record: FeedRecord): void {
    if (record.key === CONFIG_KEY && record.value !== undefined) {
      this.applyConfig(record.value, `store offset ${record.position.offset}`);
    }
  }

  private recordSuccess(name: string, state: FeedState): void {
    state.lastReadAt = this.clock.now();
    if (!state.isUnavailable) return;
    state.isUnavailable = false;
    if (name === "endpoints") this.directory.recordStoreRecovery(state.lastReadAt);
    this.logger.info("store regained", { feed: name });
  }

  private recordFailure(name: string, state: FeedState, error: string): void {
    this.meter.storeFailures.inc();
    if (state.isUnavailable) return;
    state.isUnavailable = true;
    this.logger.warn("store lost", { feed: name, error });
  }
}
