/**
 * Takes part in a fleet that uses relays: keeps the streams to neighbours, merges and passes on records,
 * and derives from them which instances are live. Everything periodic is done by one tick.
 */
import type { Clock, Moment } from "../../core/clock";
import { EventGuard } from "../../core/guard";
import type { Logger } from "../../core/log";
import { Beat, type RelayHello, type RelayMessage } from "../../peer/gen/fleet";
import { checkRecords, checkReport, isSendTime } from "../../peer/numbers";
import { createNumberReport, type RecordFaults } from "../feeds/faults";
import type { MemberIdentity, MemberList } from "../members";
import { type RelayCandidate, TopologyCache } from "./choice";
import { RecordContents } from "./contents";
import { Dialler } from "./dialler";
import { FlushQueue } from "./flush";
import type { RelayHost } from "./host";
import { LinkTable } from "./links";
import type { RelayLink } from "./link";
import { LoadExchange } from "./loads";
import { createHeardState, createMemberState, type KindState, OwnRecords } from "./own";
import { decodeRecord, type OwnedRecord, RecordKind, RecordTable } from "./records";
import { RelayTraffic } from "./traffic";
import type { RelayListener, RelayStream, RelayTransport } from "./transport";
import { computeHearing, type HeardReport } from "./view";

/** Interval of the tick, in milliseconds: changes that are not urgent are sent as often. */
export const TICK_INTERVAL_MS = 250;
/** Time for which urgent changes are gathered into one message, in milliseconds. */
const URGENT_DELAY_MS = 5;
/** How long an instance is told to be lost, in milliseconds; longer than views differ. */
const LOST_TTL_MS = 15_000;
/** Interval at which state that expires at its receivers is applied again, in milliseconds. */
const REAPPLY_INTERVAL_MS = 1000;

const EMPTY_BEAT: Beat = Beat.fromPartial({});
/** Kinds whose changes are sent at once. */
const URGENT_KINDS: ReadonlySet<number> = new Set([
  RecordKind.limits,
  RecordKind.crashes,
  RecordKind.departures,
  RecordKind.absences,
  RecordKind.evacuations,
  RecordKind.cold,
  RecordKind.paced,
]);
/** Kinds that expire at their receivers unless they are told again. */
const EXPIRING_KINDS = [RecordKind.lostEndpoints, RecordKind.speeds] as const;

/** Dependencies of the network. */
export interface RelayNetworkParts {
  readonly self: MemberIdentity;
  /** Number of this process, higher than that of earlier ones; milliseconds of the wall clock. */
  readonly generation: number;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly transport: RelayTransport;
  readonly members: MemberList;
  readonly faults: Pick<RecordFaults, "report">;
  readonly host: RelayHost;
  readonly isLeaving: () => boolean;
  readonly isStoreLost: () => boolean;
  /** Addresses from the settings; tried as long as no neighbour is heard. */
  readonly listSeeds: () => readonly string[];
  readonly random: () => number;
  /** Runs something after a delay in milliseconds. */
  readonly schedule: (ms: number, run: () => void) => void;
}

/** The streams of one instance, and what it learns on them. */
export class RelayNetwork {
  readonly traffic = new RelayTraffic();
  private readonly table = new RecordTable();
  private readonly own: OwnRecords;
  private readonly links: LinkTable;
  private readonly topology: TopologyCache;
  private readonly loads: LoadExchange;
  private readonly dialler: Dialler;
  private readonly flushQueue: FlushQueue;
  private readonly contents: RecordContents;
  private readonly lostAt = new Map<string, Moment>();
  private active = false;
  private isClosed = false;
  private isFlushDue = false;
  private isLoadChanged = false;
  private loggedRole = "";
  private reapplyAt: Moment = Number.NEGATIVE_INFINITY;

  constructor(private readonly parts: RelayNetworkParts) {
    const { self, generation, transport } = parts;
    this.own = new OwnRecords(self, generation);
    this.contents = new RecordContents(parts.faults);
    this.links = new LinkTable(self.instance, parts.clock);
    this.topology = new TopologyCache(self);
    this.loads = new LoadExchange(self);
    this.flushQueue = new FlushQueue(parts.host, this.loads, this.traffic);
    this.dialler = new Dialler({
      ...parts,
      links: this.links,
      open: (address) => {
        this.open(address, transport);
      },
    });
  }

  /** True once this instance takes part; until then it exchanges heartbeats with all peers. */
  get isActive(): boolean {
    return this.active;
  }

  get isRelay(): boolean {
    return this.topology.current.isRelay;
  }

  /** Lists the names of the neighbours that are heard. */
  listNeighbours(): readonly string[] {
    return [...this.links.listHeard(this.parts.clock.now()).keys()];
  }

  /** Computes for how long the most silent neighbour was not heard, in milliseconds. */
  computeSilenceMs(): number {
    const now = this.parts.clock.now();
    return Math.max(0, ...[...this.links.listHeard(now).values()].map((at) => now - at));
  }

  /** Takes part from now on. */
  activate(reason: string): void {
    if (this.active || this.isClosed) return;
    this.active = true;
    this.parts.logger.info("relays used", { reason, known: this.parts.members.countKnown() });
    this.tick();
  }

  close(): void {
    this.isClosed = true;
    this.active = false;
    this.links.closeAll();
  }

  /** Sends urgent changes of this instance's state now. */
  announce(): void {
    if (!this.active) return;
    this.collect(this.parts.clock.now());
    this.scheduleFlush();
  }

  /** Accepts a stream that a peer has opened; the peer knows that the fleet uses relays. */
  accept(stream: RelayStream): RelayListener {
    this.activate("a peer opened a stream");
    const link = this.links.add(stream, "", this.parts.clock.now());
    return this.createListener(link);
  }

  /** Does what is due; called at each interval. */
  tick(): void {
    if (!this.active) return;
    const { clock, host } = this.parts;
    const now = clock.now();
    this.links.check(now);
    this.collect(now);
    this.updateView(now);
    if (this.topology.update(this.listCandidates(now))) this.onTopologyChange();
    this.dialler.dial(this.topology.current, now);
    this.loads.setOwnLoad(host.readLoad(now));
    const links = this.links.listOpen();
    this.loads.chooseWanted(links, this.topology.current, (name) => this.countHeard(name));
    this.reapply(links, now);
    this.flushQueue.flush(links, this.isRelay, true, now);
  }

  /** Lists the instances that may be relays; older builds, which are heard directly, are none. */
  private listCandidates(now: Moment): readonly RelayCandidate[] {
    const { members, self, isLeaving } = this.parts;
    return members
      .listLiveMembers(now)
      .filter(({ instance }) =>
        instance === self.instance ? !isLeaving() : members.isRelayed(instance, now),
      );
  }

  private reapply(links: readonly RelayLink[], now: Moment): void {
    const isDue = now >= this.reapplyAt;
    if (!isDue && !this.isLoadChanged) return;
    this.isLoadChanged = false;
    this.parts.host.applyPeerLoad(this.loads.computePeerLoad(links), now);
    if (!isDue) return;
    this.reapplyAt = now + REAPPLY_INTERVAL_MS;
    const { members } = this.parts;
    for (const kind of EXPIRING_KINDS) {
      for (const record of this.table.listKind(kind)) {
        if (record.instance === this.parts.self.instance) continue;
        if (members.isRelayed(record.instance, now) && record.content.length > 0) {
          this.tryApply({ ...record, writtenAt: now }, now);
        }
      }
    }
    this.table.prune((name) => members.isRelayed(name, now), now);
    members.pruneAddresses(now);
  }

  private open(address: string, transport: RelayTransport): void {
    const now = this.parts.clock.now();
    const opened: { listener: RelayListener | undefined } = { listener: undefined };
    const stream = transport.openRelay(address, {
      onMessage: (message, bytes) => opened.listener?.onMessage(message, bytes),
      onClosed: (isGraceful) => opened.listener?.onClosed(isGraceful),
    });
    if (stream === undefined) return;
    const link = this.links.add(stream, address, now);
    opened.listener = this.createListener(link);
    this.flushQueue.sendHello(link, this.createHello(), now);
  }

  /** Creates a listener of which an error costs its stream alone; the next one starts afresh. */
  private createListener(link: RelayLink): RelayListener {
    const guard = new EventGuard("relay stream", this.parts.logger, () => {
      this.links.remove(link);
    });
    return {
      onMessage: guard.wrap((message, bytes) => {
        this.onMessage(link, message, bytes);
      }),
      onClosed: guard.wrap((isGraceful) => {
        this.links.recordClosed(link, isGraceful);
      }),
    };
  }

  private onMessage(link: RelayLink, message: RelayMessage, bytes: number): void {
    if (this.isClosed || !this.links.contains(link)) return;
    const now = this.parts.clock.now();
    this.traffic.recordReceived(message, bytes);
    const sentAt = link.recordMessage(message, now);
    if (message.hello !== undefined) this.onHello(link, message.hello, now);
    if (link.peer === undefined) return;
    const onFault = createNumberReport(this.parts.faults, link.peer.instance);
    if (!isSendTime(message.sentAtMs)) onFault("sentAtMs", message.sentAtMs);
    for (const record of checkRecords(message.records, onFault)) {
      this.mergeRecord(link, decodeRecord(record, sentAt ?? now), now);
    }
    if (message.head !== undefined) this.applyHead(link, message, sentAt);
    if (message.report === undefined) return;
    this.loads.applyReport(link, checkReport(message.report, onFault));
    this.isLoadChanged = true;
  }

  private onHello(link: RelayLink, hello: RelayHello, now: Moment): void {
    if (!this.links.identify(link, hello)) return;
    if (!link.isOutgoing) this.flushQueue.sendHello(link, this.createHello(), now);
    this.collect(now);
    for (const record of this.table.listAll()) {
      if (!isOwnedBy(record, hello)) link.queue(record);
    }
    this.scheduleFlush();
  }

  private createHello(): RelayHello {
    return { ...this.parts.self, generation: this.own.generation };
  }

  private applyHead(link: RelayLink, { head }: RelayMessage, sentAt: Moment | undefined): void {
    const { peer } = link;
    if (head === undefined || peer === undefined) return;
    const { instance, incarnation, address, dataCentre } = peer;
    const beat = { ...EMPTY_BEAT, ...head, instance, incarnation, address, dataCentre };
    this.parts.host.applyHead(beat, sentAt);
    if (this.isRelay && this.flushQueue.isHeadNews(this.parts.clock.now())) this.scheduleFlush();
  }

  /** Merges a record that a neighbour sent; passes it on if it is new here. */
  private mergeRecord(link: RelayLink, record: OwnedRecord, now: Moment): void {
    const { self } = this.parts;
    if (record.instance === self.instance) {
      if (record.incarnation === self.incarnation) return;
      for (const renewed of this.own.advance(record.generation)) this.publish(renewed, now);
      return;
    }
    for (const other of this.links.listOf(link.peer?.instance ?? "")) other.dropKnown(record);
    if (!this.table.isNew(record) || !this.contents.isReadable(record, link.peer?.instance)) return;
    const before = this.table.find(record.instance, record.kind);
    this.table.merge(record, now);
    this.passOn(link, record);
    if (record.kind === RecordKind.heard) {
      if (this.hasNewLoss(before, record)) {
        this.updateView(now);
        this.scheduleFlush();
      }
    } else if (record.kind === RecordKind.member) {
      if (this.contents.readMember(record).isLeaving) this.scheduleFlush();
      this.updateMember(record, now);
    } else {
      this.tryApply(record, now);
      if (URGENT_KINDS.has(record.kind)) this.scheduleFlush();
    }
  }

  /** Has a record applied; whatever that throws costs the record alone. */
  private tryApply(record: OwnedRecord, now: Moment): void {
    try {
      this.parts.host.applyRecord(record, now);
    } catch (error) {
      this.contents.reportFault(record, error, record.instance);
    }
  }

  /**
   * Passes a record on to the neighbours that do not get it from where it came from: relays that hear
   * each other need no third one between them.
   */
  private passOn(from: RelayLink, record: OwnedRecord): void {
    const { relayNames } = this.topology.current;
    const sender = from.peer?.instance ?? "";
    const isFromRelay = relayNames.has(sender);
    for (const link of this.links.listOpen()) {
      const { peer } = link;
      if (peer === undefined || peer.instance === sender) continue;
      if (isOwnedBy(record, peer)) continue;
      const isToRelay = isFromRelay && relayNames.has(peer.instance);
      if (isToRelay && this.findHeard(peer.instance)?.heard.includes(sender) === true) continue;
      link.queue(record);
    }
  }

  /** Writes new versions of what has changed at this instance, and queues them for all neighbours. */
  private collect(now: Moment): void {
    const { host } = this.parts;
    let isUrgent = false;
    const states = [this.readMemberState(), this.readHeardState(now), ...host.listKinds(now)];
    for (const state of states) {
      const record = this.own.update(state, now);
      if (record === undefined) continue;
      this.publish(record, now);
      isUrgent ||= URGENT_KINDS.has(state.kind);
    }
    if (isUrgent) this.scheduleFlush();
  }

  private publish(record: OwnedRecord, now: Moment): void {
    this.table.merge(record, now);
    for (const link of this.links.listOpen()) if (link.peer !== undefined) link.queue(record);
  }

  private readMemberState(): KindState {
    const { self, isLeaving, isStoreLost } = this.parts;
    const { address, dataCentre } = self;
    const states = { leaving: isLeaving(), storeLost: isStoreLost() };
    return createMemberState({ address, dataCentre, ...states });
  }

  private readHeardState(now: Moment): KindState {
    for (const [name, at] of this.lostAt) if (now - at > LOST_TTL_MS) this.lostAt.delete(name);
    const isTold = this.isRelay || this.links.hasIncoming;
    const heard = isTold ? [...this.links.listHeard(now).keys()].sort() : [];
    const lost = isTold ? [...this.lostAt.keys()].sort() : [];
    return createHeardState({ heard, lost });
  }

  /** Derives from the neighbours and their reports which instances are live. */
  private updateView(now: Moment): void {
    const { members, logger, self } = this.parts;
    for (const name of this.links.takeLost(now)) {
      this.lostAt.set(name, now);
      logger.warn("neighbour lost", { peer: name });
    }
    const neighbours = this.links.listHeard(now);
    for (const name of neighbours.keys()) this.lostAt.delete(name);
    const hearing = computeHearing(neighbours, (name) => this.findHeard(name));
    for (const [name, at] of hearing.heardAt) {
      if (name === self.instance) continue;
      const record = this.table.find(name, RecordKind.member);
      if (record !== undefined) this.recordMember(record, at);
    }
    for (const name of [...hearing.lost, ...this.lostAt.keys()]) {
      if (!hearing.heardAt.has(name)) members.recordLost(name, now);
    }
    members.setRelays(this.topology.current.relayNames, this.isRelay, now);
  }

  /** Applies the state of a live member at once. */
  private updateMember(record: OwnedRecord, now: Moment): void {
    const { members } = this.parts;
    if (members.isRelayed(record.instance, now)) this.recordMember(record, now);
  }

  /** Records a live member; whatever that throws costs the member's record alone. */
  private recordMember(record: OwnedRecord, heardAt: Moment): void {
    try {
      this.parts.members.recordRelayed(this.contents.readMember(record), heardAt);
    } catch (error) {
      this.contents.reportFault(record, error, record.instance);
    }
  }

  private findHeard(instance: string): HeardReport | undefined {
    const record = this.table.find(instance, RecordKind.heard);
    return record === undefined ? undefined : this.contents.readHeard(record);
  }

  private hasNewLoss(before: OwnedRecord | undefined, record: OwnedRecord): boolean {
    const known = before === undefined ? [] : this.contents.readHeard(before).lost;
    return this.contents.readHeard(record).lost.some((name) => !known.includes(name));
  }

  private countHeard(instance: string): number {
    return this.findHeard(instance)?.heard.length ?? 0;
  }

  /** Logs a change of the role of this instance or of its neighbours. */
  private onTopologyChange(): void {
    const { isRelay, neighbours } = this.topology.current;
    const role = `${isRelay ? "relay" : "member"} ${[...neighbours].sort().join(" ")}`;
    if (role === this.loggedRole) return;
    this.loggedRole = role;
    this.parts.logger.info("relay role", { isRelay, neighbours });
  }

  private scheduleFlush(): void {
    if (this.isFlushDue) return;
    this.isFlushDue = true;
    this.parts.schedule(URGENT_DELAY_MS, () => {
      this.isFlushDue = false;
      if (this.isClosed || !this.active) return;
      const now = this.parts.clock.now();
      this.flushQueue.flush(this.links.listOpen(), this.isRelay, false, now);
    });
  }
}

/**
 * Checks whether a process wrote a record itself. It is told those of others of its instance: one that is
 * ahead of it would hide its own.
 */
function isOwnedBy(record: OwnedRecord, { instance, incarnation }: RelayHello): boolean {
  return record.instance === instance && record.incarnation === incarnation;
}
