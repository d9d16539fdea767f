/**
 * The instances of the fleet: learned from the store at startup and from heartbeats afterwards.
 */
import * as E from "fp-ts/Either";
import * as t from "io-ts";
import type { Moment } from "../core/clock";
import { decodeText } from "../core/codec";
import type { Logger } from "../core/log";
import type { Beat } from "../peer/gen/fleet";
import type { ReaderCandidate } from "./readers";
import type { ReplicaCandidate } from "./replicas";
import type { FeedRecord } from "./store";

/**
 * How long an instance counts as live after its last heartbeat, in milliseconds; slightly
 * more than three heartbeat intervals.
 */
const LIVENESS_TIMEOUT_MS = 1800;
/**
 * How long an instance may be silent before it counts as missing, in milliseconds; a little more
 * than two heartbeat intervals. It is still live for a while, as it may only be slow.
 */
const SUSPICION_TIMEOUT_MS = 1100;
/**
 * How long an instance without heartbeats may still be serving behind a network partition, in
 * milliseconds.
 */
const KNOWN_TTL_MS = 15_000;
/**
 * How long heartbeats are still sent to an address that does not respond, in milliseconds; longer
 * than most network partitions.
 */
const ADDRESS_TTL_MS = 45_000;

/** The identity of an instance. */
export interface MemberIdentity {
  readonly instance: string;
  readonly incarnation: string;
  /** Address that its peers connect to. */
  readonly address: string;
  readonly dataCentre: string;
}

const memberCodec = t.type({ address: t.string, incarnation: t.string, dataCentre: t.string });

/** The number of instances, as one of them sees it. */
export interface FleetSize {
  /** Instances that are heard, including this one. */
  readonly heard: number;
  /**
   * Instances that may be running without being heard: those that were heard recently and did not
   * say that they leave, and for as long after the start those that are known and were never heard.
   */
  readonly missing: number;
}

interface Member {
  readonly instance: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly isStoreLost: boolean;
  lastHeartbeatAt: Moment;
  isLeaving: boolean;
  isLost: boolean;
}

interface PeerAddress {
  /** When the address was added, or a heartbeat last arrived from it. */
  lastAliveAt: Moment;
  readonly instance: string | undefined;
  readonly isHeard: boolean;
}

/** The other instances and their addresses. */
export class MemberList {
  private readonly members = new Map<string, Member>();
  private readonly addresses = new Map<string, PeerAddress>();

  constructor(
    private readonly self: MemberIdentity,
    private readonly logger: Logger,
    private readonly startedAt: Moment,
  ) {}

  /** Adds an address at which an instance may run; ignores its own and known ones. */
  addAddress(address: string, instance: string | undefined, now: Moment): void {
    if (address === this.self.address || this.addresses.has(address)) return;
    this.addresses.set(address, { lastAliveAt: now, instance, isHeard: false });
  }

  /** Adds the addresses of the members listed in the store. */
  addRecords(records: readonly FeedRecord[], now: Moment): void {
    for (const { key, value, position } of records) {
      if (value === undefined || key === this.self.instance) continue;
      const member = decodeText(memberCodec, value.toString("utf8"), `member ${key}`);
      if (E.isLeft(member)) {
        this.logger.warn("member unreadable", {
          member: key,
          offset: position.offset,
          error: member.left.message,
        });
      } else this.addAddress(member.right.address, key, now);
    }
  }

  /** Encodes this instance's record for the store. */
  encodeSelf(): Buffer {
    const { address, incarnation, dataCentre } = this.self;
    return Buffer.from(JSON.stringify({ address, incarnation, dataCentre }));
  }

  /** Records a heartbeat; returns whether the instance was not live before. */
  recordBeat(beat: Beat, now: Moment): boolean {
    this.addresses.set(beat.address, {
      lastAliveAt: now,
      instance: beat.instance,
      isHeard: true,
    });
    const member = this.members.get(beat.instance);
    const isLive =
      member !== undefined && now - member.lastHeartbeatAt <= LIVENESS_TIMEOUT_MS && !member.isLost;
    this.members.set(beat.instance, {
      instance: beat.instance,
      address: beat.address,
      dataCentre: beat.dataCentre,
      isStoreLost: beat.storeLost,
      lastHeartbeatAt: now,
      isLeaving: beat.leaving,
      isLost: false,
    });
    return !isLive;
  }

  /**
   * Records that an address did not reply; returns true where its instance becomes lost by this.
   * Removes an address from which no heartbeat has arrived for too long.
   */
  recordNoReply(address: string, now: Moment): boolean {
    const known = this.addresses.get(address);
    if (known === undefined) return false;
    if (now - known.lastAliveAt > ADDRESS_TTL_MS) this.addresses.delete(address);
    const member = this.members.get(known.instance ?? "");
    if (
      member === undefined ||
      member.isLost ||
      now - member.lastHeartbeatAt <= LIVENESS_TIMEOUT_MS
    )
      return false;
    member.isLost = true;
    return true;
  }

  /** Lists the addresses of all peers that may be running. */
  listAddresses(): readonly string[] {
    return [...this.addresses.keys()];
  }

  /** Counts the instances that are heard, this one included, and those that may be running unheard. */
  readFleetSize(now: Moment): FleetSize {
    let heard = 1;
    let missing = 0;
    for (const { isLeaving, lastHeartbeatAt } of this.members.values()) {
      if (isLeaving) continue;
      const silentMs = now - lastHeartbeatAt;
      if (silentMs <= SUSPICION_TIMEOUT_MS) heard += 1;
      else if (silentMs <= KNOWN_TTL_MS) missing += 1;
    }
    if (now - this.startedAt <= KNOWN_TTL_MS) {
      for (const { isHeard } of this.addresses.values()) if (!isHeard) missing += 1;
    }
    return { heard, missing };
  }

  /** Lists the peers that are heard and not leaving, as candidates for reading the store. */
  listReaderCandidates(now: Moment): readonly ReaderCandidate[] {
    return [...this.members.values()].filter(
      ({ isLeaving, lastHeartbeatAt }) =>
        !isLeaving && now - lastHeartbeatAt <= SUSPICION_TIMEOUT_MS,
    );
  }

  /** Finds the address of an instance that was heard. */
  findAddress(instance: string): string | undefined {
    return this.members.get(instance)?.address;
  }

  /** Finds the data centre of an instance that was heard. */
  findDataCentre(instance: string): string | undefined {
    return this.members.get(instance)?.dataCentre;
  }

  /** Lists the names of the instances that are live and not leaving, this one included. */
  listLive(now: Moment): readonly string[] {
    return this.listLiveMembers(now).map(({ instance }) => instance);
  }

  /** Lists the instances that are live and not leaving, this one included. */
  listLiveMembers(now: Moment): readonly ReplicaCandidate[] {
    const live = [...this.members.values()].filter(
      (member) => now - member.lastHeartbeatAt <= LIVENESS_TIMEOUT_MS && !member.isLeaving,
    );
    return [...live, this.self];
  }
}
