/**
 * Exchanges heartbeats with all peers several times a second. They carry load, usage, crashes, and
 * how recent the sender's configuration and endpoint list are; newer versions are then fetched.
 */
import { AlignedInterval } from "../core/aligned";
import type { Logger } from "../core/log";
import { ReadFirstTimer } from "../core/readfirst";
import { runTask } from "../core/tasks";
import type { Clock, Moment } from "../core/clock";
import type { Beat, FetchReply, FetchRequest } from "../peer/gen/fleet";
import { listHeardAddresses } from "../peer/numbers";
import type { MemberList, MemberIdentity } from "./members";
import { FetchOffers } from "./offers";
import { PeerClocks } from "./peerclocks";

/** Interval between heartbeats to each peer, in milliseconds. */
const HEARTBEAT_INTERVAL_MS = 500;
/** Timeout of a heartbeat exchange, in milliseconds. */
const EXCHANGE_TIMEOUT_MS = 800;
const FETCH_TIMEOUT_MS = 1000;
/**
 * Delay after which a fetch is slow, in milliseconds: longer than a round trip between data centres
 * with a whole endpoint list.
 */
const SLOW_FETCH_MS = 200;

/** Calls to peers, by address. */
export interface FleetTransport {
  /** Sends a heartbeat and returns the peer's; undefined where no reply arrived in time. */
  exchange(address: string, beat: Beat, timeoutMs: number): Promise<Beat | undefined>;
  fetch(address: string, request: FetchRequest, timeoutMs: number): Promise<FetchReply | undefined>;
  close(): void;
}

/** What a heartbeat reports, beside its sender, the time and the size of the fleet. */
export type BeatContent = Omit<
  Beat,
  keyof MemberIdentity | "sentAtMs" | "fleetSize" | "heardAddresses"
>;

/** Takes the place of heartbeats to all peers in a large fleet. */
export interface HeartbeatRelay {
  readonly isActive: boolean;
  activate(reason: string): void;
  announce(): void;
}

/** The instance's state that heartbeats report and update. */
export interface HeartbeatHost {
  /** Creates the content of a heartbeat: the current state and work in progress. */
  createBeatContent(): BeatContent;
  /**
   * Processes a peer's heartbeat.
   *
   * @param sentAt - a moment before which the peer did not send it; undefined where none is known
   */
  handleBeat(beat: Beat, now: Moment, sentAt: Moment | undefined): void;
  /** Checks whether a peer has state that this instance should fetch from it. */
  shouldFetch(beat: Beat): boolean;
  createFetchRequest(): FetchRequest;
  handleFetchReply(reply: FetchReply, from: string): void;
}

/** Sends heartbeats to all peers and processes theirs. */
export class HeartbeatExchanger {
  private timer: AlignedInterval | undefined;
  private readonly pendingAddresses = new Set<string>();
  /** Peers to which news is sent once the pending exchange has ended. */
  private readonly overdueAddresses = new Set<string>();
  private readonly offers = new FetchOffers();
  private readonly peerClocks = new PeerClocks();
  private isClosed = false;

  constructor(
    private readonly self: MemberIdentity,
    private readonly members: MemberList,
    private readonly transport: FleetTransport,
    private readonly host: HeartbeatHost,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly relay?: HeartbeatRelay,
    /** Number of known instances above which relays are used. */
    private readonly maxSize = Number.POSITIVE_INFINITY,
  ) {}

  start(): void {
    this.timer = new AlignedInterval(HEARTBEAT_INTERVAL_MS, () => {
      void runTask("heartbeat", this.logger, () => {
        this.sendRegular();
      });
    });
    void runTask("heartbeat", this.logger, () => {
      this.sendRegular();
    });
  }

  close(): void {
    this.timer?.close();
    this.isClosed = true;
  }

  /**
   * Tells news to every peer now; to those with which an exchange is pending as soon as it has
   * ended, as the beat of that one may be older than the news.
   */
  sendHeartbeats(): void {
    void runTask("heartbeat", this.logger, () => {
      this.sendNews();
    });
  }

  /** Processes a peer's heartbeat and returns this instance's own. */
  onBeat(beat: Beat): Beat {
    this.processBeat(beat, this.peerClocks.estimateSentAt(beat, this.clock.now()));
    return this.createBeat();
  }

  private sendNews(): void {
    if (this.relay?.isActive === true) {
      this.relay.announce();
      return;
    }
    for (const address of this.pendingAddresses) this.overdueAddresses.add(address);
    this.sendRegular();
  }

  /** Sends a heartbeat to every peer, except where the last exchange with it is pending. */
  private sendRegular(): void {
    if (this.isRelayed()) return;
    const beat = this.createBeat();
    for (const address of this.members.listAddresses()) this.startExchange(address, beat);
  }

  /** Checks whether relays take the place of heartbeats, as the fleet is large. */
  private isRelayed(): boolean {
    const { relay, members, maxSize } = this;
    if (relay === undefined) return false;
    if (!relay.isActive && members.countKnown() > maxSize) relay.activate("the fleet is large");
    return relay.isActive;
  }

  private startExchange(address: string, beat: Beat): void {
    void runTask("heartbeat", this.logger, () => this.exchange(address, beat));
  }

  private async exchange(address: string, beat: Beat): Promise<void> {
    if (this.pendingAddresses.has(address)) return;
    this.pendingAddresses.add(address);
    const startedAt = this.clock.now();
    const reply = await this.transport
      .exchange(address, beat, EXCHANGE_TIMEOUT_MS)
      .finally(() => this.pendingAddresses.delete(address));
    if (reply !== undefined) this.processReply(reply, startedAt);
    else if (this.members.recordNoReply(address, this.clock.now())) {
      this.logger.warn("peer lost", { address });
    }
    const isOverdue = this.overdueAddresses.delete(address);
    if (isOverdue && !this.isClosed) this.startExchange(address, this.createBeat());
  }

  private processReply(reply: Beat, askedAt: Moment): void {
    this.peerClocks.recordReply(reply, askedAt);
    this.processBeat(reply, askedAt);
  }

  private processBeat(beat: Beat, sentAt: Moment | undefined): void {
    if (beat.instance === this.self.instance) return;
    const now = this.clock.now();
    const isNew = this.members.recordBeat(beat, now);
    for (const address of listHeardAddresses(beat))
      this.members.addAddress(address, undefined, now);
    if (isNew) this.logger.info("peer found", { peer: beat.instance, address: beat.address });
    this.host.handleBeat(beat, now, sentAt);
    this.addOffer(beat);
  }

  /** Fetches from a peer what is newer there. */
  addOffer(beat: Beat): void {
    if (!this.host.shouldFetch(beat)) return;
    this.offers.add(beat);
    this.startFetch();
  }

  /** Starts the next fetch, if one is due. */
  private startFetch(): void {
    if (this.isClosed) return;
    const address = this.offers.begin((beat) => this.host.shouldFetch(beat));
    if (address !== undefined) void runTask("fetch", this.logger, () => this.fetch(address));
  }

  private async fetch(address: string): Promise<void> {
    const timer = new ReadFirstTimer(SLOW_FETCH_MS, () => {
      void runTask("fetch beside a slow one", this.logger, () => {
        this.offers.markSlow(address);
        this.startFetch();
      });
    });
    try {
      const request = this.host.createFetchRequest();
      const reply = await this.transport.fetch(address, request, FETCH_TIMEOUT_MS);
      if (reply !== undefined) this.host.handleFetchReply(reply, address);
      this.relay?.announce();
    } finally {
      timer.close();
      this.offers.end(address);
      this.startFetch();
    }
  }

  private createBeat(): Beat {
    const sentAtMs = this.clock.now();
    const beat = { ...this.self, ...this.host.createBeatContent(), sentAtMs };
    if (this.relay === undefined) return { ...beat, heardAddresses: [] };
    const { members } = this;
    const heardAddresses = this.relay.isActive ? [] : [...members.listNewsAddresses(sentAtMs)];
    return { ...beat, fleetSize: members.countKnown(), heardAddresses };
  }
}
