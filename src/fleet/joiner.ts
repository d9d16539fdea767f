/**
 * Registers an instance in the store, and reads the other members from it.
 */
import * as E from "fp-ts/Either";
import { type Clock, type Moment, pause } from "../core/clock";
import type { Logger } from "../core/log";
import { PeriodicTask, runTask } from "../core/tasks";
import type { Meter } from "../forward/requests";
import type { MemberList, MemberIdentity } from "./members";
import type { WritableFeed } from "./store";

/**
 * Interval at which the members are read again from the store, in milliseconds; heartbeats cover
 * the time between.
 */
const MEMBERS_REFRESH_MS = 20_000;
/** Delay before a failed attempt to join is retried, in milliseconds. */
const JOIN_RETRY_DELAY_MS = 400;
/**
 * Maximum random delay before an instance joins again after the store was restored, in
 * milliseconds, so that not the whole fleet writes at once.
 */
const REJOIN_JITTER_MS = 600;

/** Longest time for which an instance waits to be heard by the peers it knows, in milliseconds. */
const PEER_WAIT_MS = 3000;
/** Time after which an instance that hears peers knows whether the fleet is large, in milliseconds. */
const SIZE_KNOWN_MS = 1500;
const PEER_CHECK_INTERVAL_MS = 100;

/** What decides whether an instance needs the store to find its peers. */
export interface JoinPolicy {
  /** True if the instance knows peers that may spare it the calls. */
  readonly mayWait: boolean;
  /** True while the fleet uses relays and this instance hears some. */
  hasRelays(): boolean;
  /** True if this instance hears a peer. */
  hasPeers(): boolean;
  /**
   * True if this instance is a relay: the records of relays are enough for instances that know no
   * address which is up.
   */
  isRelay(now: Moment): boolean;
}

const JOIN_AT_ONCE: JoinPolicy = {
  mayWait: false,
  hasRelays: () => false,
  hasPeers: () => false,
  isRelay: () => false,
};

/** Joins the fleet, and refreshes the list of members periodically. */
export class Joiner {
  private readonly refreshTask: PeriodicTask;
  private isClosed = false;
  private hasJoined = false;
  private isJoining = false;

  /**
   * @param onJoined - called once this instance is in the store and the members have been read
   */
  constructor(
    private readonly self: MemberIdentity,
    private readonly memberList: MemberList,
    private readonly membersFeed: WritableFeed,
    private readonly clock: Clock,
    private readonly meter: Meter,
    private readonly logger: Logger,
    private readonly onJoined: () => void,
    private readonly policy: JoinPolicy = JOIN_AT_ONCE,
  ) {
    this.refreshTask = new PeriodicTask("refresh members", MEMBERS_REFRESH_MS, logger, () =>
      this.refresh(),
    );
  }

  start(): void {
    void runTask("join", this.logger, () => this.joinUnlessFound());
    this.refreshTask.start();
  }

  close(): void {
    this.isClosed = true;
    this.refreshTask.close();
  }

  /** Writes this instance's record again: a restored store may have lost it. */
  onStoreRestored(): void {
    if (!this.hasJoined && this.policy.hasRelays()) return;
    this.hasJoined = false;
    const rejoin = () => void runTask("join", this.logger, () => this.join());
    setTimeout(rejoin, Math.random() * REJOIN_JITTER_MS).unref();
  }

  /** Joins, unless peers spare the calls: in a large fleet an instance gets all it needs from relays. */
  private async joinUnlessFound(): Promise<void> {
    const { policy, clock } = this;
    const startedAt = clock.now();
    while (policy.mayWait && !this.isClosed) {
      if (policy.hasRelays()) return;
      const waitedMs = clock.now() - startedAt;
      if (waitedMs >= (policy.hasPeers() ? SIZE_KNOWN_MS : PEER_WAIT_MS)) break;
      await pause(PEER_CHECK_INTERVAL_MS);
    }
    await this.join();
  }

  /** Reads the members again; in a large fleet only writes the record of a relay, once. */
  private async refresh(): Promise<void> {
    const { policy, clock } = this;
    if (!policy.hasRelays()) await this.refreshMembers();
    else if (!this.hasJoined && !this.isJoining && policy.isRelay(clock.now())) {
      this.hasJoined = true;
      await runTask("join", this.logger, () => this.writeSelf());
    }
  }

  private async join(): Promise<void> {
    if (this.isJoining) return;
    this.isJoining = true;
    while (!this.isClosed && !this.hasJoined) {
      // A restore of the store while the record is written makes this false again.
      this.hasJoined = true;
      const isSound = await runTask("join", this.logger, () => this.writeSelf());
      if (!isSound) this.hasJoined = false;
      if (!this.hasJoined) await pause(JOIN_RETRY_DELAY_MS);
    }
    this.isJoining = false;
    if (this.isClosed) return;
    await this.refreshMembers();
    this.onJoined();
  }

  private async writeSelf(): Promise<void> {
    const { self, memberList, membersFeed } = this;
    this.meter.storeCalls.inc();
    const joined = await membersFeed.append(self.instance, memberList.encodeSelf())();
    if (E.isRight(joined)) return;
    this.hasJoined = false;
    this.logger.warn("not joined", { error: joined.left.message });
  }

  private async refreshMembers(): Promise<void> {
    await runTask("read members", this.logger, () => this.readMembers());
  }

  private async readMembers(): Promise<void> {
    this.meter.storeCalls.inc();
    const page = await this.membersFeed.readNewest()();
    if (E.isRight(page)) this.memberList.addRecords(page.right.records, this.clock.now());
    else this.logger.warn("members not read", { error: page.left.message });
  }
}
