/**
 * The instances of the fleet: learned from the store at startup and from heartbeats afterwards.
 */
import * as E from "fp-ts/Either";
import * as t from "io-ts";
import type { Moment } from "../core/clock";
import { createText, decodeBytes } from "../core/codec";
import type { Logger } from "../core/log";
import type { Beat } from "../peer/gen/fleet";
import { isFleetSize } from "../peer/numbers";
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

/** How long peers are told the addresses that are heard, in milliseconds; covers several heartbeats. */
const NEWS_MS = 5000;
/** Maximum number of addresses in a heartbeat, which bounds its size. */
const MAX_NEWS_ADDRESSES = 32;

/**
 * How long an instance must have been a relay until it reads the store, in milliseconds: one that has
 * only just found the fleet may take itself for one.
 */
const ROLE_SETTLED_MS = 1000;

/** The identity of an instance. */
export interface MemberIdentity {
  readonly instance: string;
  readonly incarnation: string;
  /** Address that its peers connect to. */
  readonly address: string;
  readonly dataCentre: string;
}

/** Maximum size of a record, in bytes, and of a name in it, in characters. */
const MAX_RECORD_BYTES = 16 * 1024;
const MAX_NAME_CHARACTERS = 512;

const nameCodec = createText("name", MAX_NAME_CHARACTERS);
const memberCodec = t.type({ address: nameCodec, incarnation: nameCodec, dataCentre: nameCodec });

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

/** What relays say of an instance. */
export interface RelayedMember extends ReaderCandidate {
  readonly address: string;
  readonly isLeaving: boolean;
}

interface Member {
  readonly instance: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly isStoreLost: boolean;
  lastHeartbeatAt: Moment;
  isLeaving: boolean;
  isLost: boolean;
  /** When relays last said that it is heard; undefined if they never did. */
  relayedAt: Moment | undefined;
  /** What they said of it last. */
  readonly relayed?: RelayedMember;
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
  /** The relays of the fleet while it uses them. */
  private relays: ReadonlySet<string> | undefined;
  private isRelay = true;
  private roleSince: Moment = Number.NEGATIVE_INFINITY;
  /** When an instance was found that was not live before. */
  private foundAt: Moment = Number.NEGATIVE_INFINITY;
  /** The largest number of instances that a peer said it knows. */
  private toldSize = 0;

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
      const member = decodeBytes(memberCodec, value, `member ${key}`, MAX_RECORD_BYTES);
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
      relayedAt: member?.relayedAt,
    });
    this.toldSize = Math.max(this.toldSize, isFleetSize(beat.fleetSize) ? beat.fleetSize : 0);
    if (!isLive) this.foundAt = now;
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

  /**
   * Records that relays hear an instance.
   *
   * @param relayed - what they say of it; the same object as long as that is unchanged
   * @param heardAt - when the neighbour was heard from which this comes
   */
  recordRelayed(relayed: RelayedMember, heardAt: Moment): void {
    const { instance, address } = relayed;
    const known = this.members.get(instance);
    const lastHeartbeatAt = Math.max(heardAt, known?.lastHeartbeatAt ?? heardAt);
    const peer = this.addresses.get(address);
    if (known?.relayed === relayed && peer?.instance === instance) {
      known.lastHeartbeatAt = lastHeartbeatAt;
      known.relayedAt = heardAt;
      known.isLost = false;
      peer.lastAliveAt = lastHeartbeatAt;
      return;
    }
    const state = { lastHeartbeatAt, isLost: false, relayedAt: heardAt, relayed };
    this.members.set(instance, { ...relayed, ...state });
    this.addresses.set(address, { lastAliveAt: lastHeartbeatAt, instance, isHeard: true });
  }

  /** Records that relays lost an instance; it may still be running unheard. */
  recordLost(instance: string, now: Moment): void {
    const member = this.members.get(instance);
    if (member === undefined || member.isLost) return;
    member.lastHeartbeatAt = Math.min(member.lastHeartbeatAt, now - LIVENESS_TIMEOUT_MS - 1);
    member.isLost = true;
    this.logger.warn("peer lost", { peer: instance, address: member.address });
  }

  /** Checks whether the state of an instance comes through relays. */
  isRelayed(instance: string, now: Moment): boolean {
    const relayedAt = this.members.get(instance)?.relayedAt;
    return relayedAt !== undefined && now - relayedAt <= LIVENESS_TIMEOUT_MS;
  }

  /**
   * Sets the relays of the fleet: only they read the store.
   *
   * @param isRelay - whether this instance is one
   */
  setRelays(relays: ReadonlySet<string>, isRelay: boolean, now: Moment): void {
    if (this.relays === undefined || isRelay !== this.isRelay) this.roleSince = now;
    this.relays = relays;
    this.isRelay = isRelay;
  }

  /** True while the fleet uses relays. */
  get usesRelays(): boolean {
    return this.relays !== undefined;
  }

  /** Checks whether this instance may read the store for the fleet: as a relay, once that is settled. */
  mayRead(now: Moment): boolean {
    return this.relays === undefined || (this.isRelay && now - this.roleSince >= ROLE_SETTLED_MS);
  }

  /** Counts the instances that are known, this one included: by their addresses, or as peers say. */
  countKnown(): number {
    return Math.max(this.addresses.size + 1, this.toldSize);
  }

  /** Lists the addresses of the instances that are heard, for a while after one was found. */
  listNewsAddresses(now: Moment): readonly string[] {
    if (now - this.foundAt > NEWS_MS) return [];
    const heard = [...this.members.values()].filter(
      (member) => now - member.lastHeartbeatAt <= LIVENESS_TIMEOUT_MS && !member.isLeaving,
    );
    return heard.map(({ address }) => address).slice(0, MAX_NEWS_ADDRESSES);
  }

  /** Lists the addresses of the instances that are live. */
  listLiveAddresses(now: Moment): ReadonlySet<string> {
    const live = [...this.members.values()].filter(
      (member) => now - member.lastHeartbeatAt <= LIVENESS_TIMEOUT_MS,
    );
    return new Set([...live.map(({ address }) => address), this.self.address]);
  }

  /** Removes the addresses from which nothing was heard for too long. */
  pruneAddresses(now: Moment): void {
    for (const [address, { lastAliveAt }] of this.addresses) {
      if (now - lastAliveAt > ADDRESS_TTL_MS) this.addresses.delete(address);
    }
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
      ({ instance, isLeaving, lastHeartbeatAt }) =>
        !isLeaving &&
        now - lastHeartbeatAt <= SUSPICION_TIMEOUT_MS &&
        this.relays?.has(instance) !== false,
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

  /** Lists the instances that are live and leaving. */
  listLeavingMembers(now: Moment): readonly ReplicaCandidate[] {
    return [...this.members.values()].filter(
      (member) => now - member.lastHeartbeatAt <= LIVENESS_TIMEOUT_MS && member.isLeaving,
    );
  }

  /** Lists the instances that are live and not leaving, this one included. */
  listLiveMembers(now: Moment): readonly ReplicaCandidate[] {
    const live = [...this.members.values()].filter(
      (member) => now - member.lastHeartbeatAt <= LIVENESS_TIMEOUT_MS && !member.isLeaving,
    );
    return [...live, this.self];
  }
}
