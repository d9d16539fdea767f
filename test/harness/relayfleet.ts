/**
 * A large fleet in virtual time: the real relay network of each instance over streams that keep their order, delay
 * messages and hold them back while a way is cut, as TCP does. Instances are killed, frozen, slowed and restarted.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Clock } from "../../src/core/clock";
import { SILENT_LOGGER } from "../../src/core/log";
import { MemberList } from "../../src/fleet/members";
import type { RelayHost } from "../../src/fleet/relay/host";
import { RelayNetwork, TICK_INTERVAL_MS } from "../../src/fleet/relay/network";
import { RecordKind } from "../../src/fleet/relay/records";
import { type Load, NO_LOAD } from "../../src/fleet/relay/sums";
import type { RelayListener, RelayStream } from "../../src/fleet/relay/transport";
import { Beat, RelayMessage } from "../../src/peer/gen/fleet";
import { EventQueue } from "./events";

const MIN_DELAY_MS = 1;
const MAX_DELAY_MS = 5;
/** How late a slowed instance does everything, at most, in milliseconds. */
const SLOW_DELAY_MS = 400;
/** Interval at which a reader confirms its copies, in milliseconds. */
const READ_INTERVAL_MS = 800;

/** An instance of the fleet. */
export interface RelayNode {
  readonly name: string;
  readonly dataCentre: string;
  generation: number;
  network: RelayNetwork;
  members: MemberList;
  host: TestHost;
  isDown: boolean;
  isSlow: boolean;
  /** While it is frozen: what it will do once it wakes. */
  frozen: (() => void)[] | undefined;
  /** Streams that end at it. */
  streams: TestStream[];
}

/** What a test sets at an instance, and what the instance has learnt. */
export class TestHost implements RelayHost {
  load: Load = NO_LOAD;
  peerLoad: Load = NO_LOAD;
  configVersion = 0;
  isLeaving = false;
  readonly refused: string[] = [];
  readonly heardRefusals = new Set<string>();
  /** The highest configuration version that a neighbour told. */
  toldVersion = 0;

  /** Until when the copies were confirmed by readers of the store. */
  confirmedAt = Number.NEGATIVE_INFINITY;
  isReader = false;

  constructor(private readonly clock: Clock) {}

  createHead() {
    const now = this.clock.now();
    if (this.isReader) this.confirmedAt = now - (now % READ_INTERVAL_MS);
    const ageMs = now - this.confirmedAt;
    const age = Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
    return {
      configVersion: this.configVersion,
      endpointsNext: 0,
      endpointsChange: 0,
      endpointsEra: 0,
      configAgeMs: age,
      endpointsAgeMs: age,
      storeLost: false,
      tellsEvacuations: true,
      evacuated: [],
    };
  }

  listKinds() {
    const { refused } = this;
    const encode = () => Beat.encode(Beat.fromPartial({ refused })).finish();
    // Sent as a kind whose changes are urgent.
    return [{ kind: RecordKind.limits, signature: refused.join(" "), encode }];
  }

  applyRecord({ content }: { readonly content: Uint8Array }): void {
    for (const name of Beat.decode(content).refused) this.heardRefusals.add(name);
  }

  readLoad(): Load {
    return this.load;
  }

  applyPeerLoad(load: Load): void {
    this.peerLoad = load;
  }

  applyHead(beat: Beat, sentAt: number | undefined): void {
    const { configAgeMs } = beat;
    if (configAgeMs !== undefined && sentAt !== undefined) {
      this.confirmedAt = Math.max(this.confirmedAt, sentAt - configAgeMs);
    }
    this.toldVersion = Math.max(this.toldVersion, beat.configVersion);
    this.configVersion = Math.max(this.configVersion, beat.configVersion);
  }
}

/** Which sides of streams are of a build without a goodbye. */
export type OlderSide = "none" | "opener" | "server";

const GOODBYE = RelayMessage.encode(RelayMessage.fromPartial({ goodbye: true })).finish();

/** One end of a stream between two nodes. */
class TestStream implements RelayStream {
  other: TestStream | undefined;
  listener: RelayListener | undefined;
  isOpen = true;
  isOpener = false;
  private readonly inbox: (() => void)[] = [];
  private readAt = 0;

  constructor(
    readonly owner: RelayNode,
    readonly peer: RelayNode,
    private readonly fleet: RelayFleet,
  ) {}

  send(message: Uint8Array): void {
    const { other } = this;
    if (!this.isOpen || other === undefined) return;
    this.fleet.recordSent(this.owner, message.length);
    const sent = Buffer.from(message);
    this.carry(() => {
      if (other.isOpen) other.listener?.onMessage(RelayMessage.decode(sent), sent.length);
    });
  }

  isWritable(): boolean {
    return this.isOpen;
  }

  /** Closes; a goodbye that the serving side does not know reaches it as a message. */
  close(): void {
    const { olderSide } = this.fleet;
    if (this.isOpener && this.isOpen) this.fleet.closedByOpener += 1;
    if (this.isOpener && olderSide === "server") this.send(GOODBYE);
    this.end(!this.isOpener || olderSide !== "opener");
  }

  /** Ends the stream at this side; the other one learns it unless it is cut off. */
  end(isGraceful: boolean): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    const { other } = this;
    this.carry(() => {
      if (other?.isOpen !== true) return;
      other.isOpen = false;
      other.listener?.onClosed(isGraceful);
    });
  }

  /** Carries something to the other side, behind what is on the way already. */
  private carry(run: () => void): void {
    const { fleet, peer } = this;
    this.inbox.push(run);
    this.readAt = Math.max(this.readAt, fleet.now + fleet.drawDelay());
    fleet.events.schedule(this.readAt - fleet.now, () => {
      this.deliver(peer);
    });
  }

  /** Delivers what has come; later if the way is cut. */
  deliver(peer: RelayNode): void {
    if (this.inbox.length === 0) return;
    if (this.fleet.isCut(this.owner, peer)) {
      this.fleet.events.schedule(100, () => {
        this.deliver(peer);
      });
      return;
    }
    const run = this.inbox.shift();
    if (run !== undefined) this.fleet.act(peer, run);
  }
}

/** A fleet in virtual time. */
export class RelayFleet {
  readonly events = new EventQueue(100_000);
  readonly nodes: RelayNode[] = [];
  /** Bytes and messages that were sent, by node. */
  readonly sent = new Map<string, { messages: number; bytes: number }>();
  olderSide: OlderSide = "none";
  /** Streams whose opener closed them. */
  closedByOpener = 0;
  /** Tells which ways are cut. */
  isCut: (from: RelayNode, to: RelayNode) => boolean = () => false;
  private readonly random: () => number;

  /** @param seedCount - number of addresses that each instance knows at its start */
  constructor(
    size: number,
    dataCentres: number,
    seed: number,
    private readonly seedCount = 3,
  ) {
    const generator = xoroshiro128plus(seed);
    this.random = () => uniformFloat64(generator);
    for (let index = 0; index < size; index += 1) {
      const name = `n${index}`;
      const node = { name, dataCentre: `dc${index % dataCentres}`, generation: 0, isDown: true };
      this.nodes.push(node as RelayNode);
    }
    for (const node of this.nodes) this.start(node);
  }

  get now(): number {
    return this.events.clock.now();
  }

  get live(): readonly RelayNode[] {
    return this.nodes.filter(({ isDown }) => !isDown);
  }

  runFor(ms: number): Promise<void> {
    return this.events.runUntil(this.now + ms);
  }

  /** Finds a node by its place. */
  get(index: number): RelayNode {
    const node = this.nodes[index];
    if (node === undefined) throw new Error(`no node ${index}`);
    return node;
  }

  /** Lists the relays of a data centre, as their members see them. */
  listRelays(dataCentre: string): readonly RelayNode[] {
    return this.live.filter((node) => node.dataCentre === dataCentre && node.network.isRelay);
  }

  /**
   * Kills an instance.
   *
   * @param isSilent - true if its machine vanishes, so that its streams do not break off
   */
  kill(node: RelayNode, isSilent = false): void {
    node.isDown = true;
    for (const stream of node.streams) {
      if (!isSilent) stream.end(false);
      stream.isOpen = false;
    }
  }

  start(node: RelayNode): void {
    node.generation += 1;
    node.isDown = false;
    node.isSlow = false;
    node.frozen = undefined;
    node.streams = [];
    const { name, dataCentre, generation } = node;
    const incarnation = `${name}/${generation}`;
    const self = { instance: name, incarnation, address: name, dataCentre };
    node.members = new MemberList(self, SILENT_LOGGER, this.now);
    const host = new TestHost(this.events.clock);
    node.host = host;
    const seeds = this.drawSeeds(name);
    node.network = new RelayNetwork({
      self,
      generation,
      clock: this.events.clock,
      logger: SILENT_LOGGER,
      transport: { openRelay: (address, listener) => this.open(node, address, listener) },
      members: node.members,
      faults: { report: () => undefined },
      host,
      isLeaving: () => host.isLeaving,
      isStoreLost: () => false,
      listSeeds: () => seeds,
      random: this.random,
      schedule: (ms, run) => {
        this.events.schedule(ms, () => {
          this.actAs(node, generation, run);
        });
      },
    });
    const tick = () => {
      this.actAs(node, generation, () => {
        node.network.tick();
        this.events.schedule(TICK_INTERVAL_MS, tick);
      });
    };
    this.events.schedule(this.random() * TICK_INTERVAL_MS, () => {
      this.actAs(node, generation, () => {
        node.network.activate("test");
        this.events.schedule(TICK_INTERVAL_MS, tick);
      });
    });
  }

  freeze(node: RelayNode, ms: number): void {
    node.frozen = [];
    this.events.schedule(ms, () => {
      const actions = node.frozen ?? [];
      node.frozen = undefined;
      for (const run of actions) run();
    });
  }

  /** Has a node do something, once it is awake; one that is gone does nothing. */
  act(node: RelayNode, run: () => void): void {
    this.actAs(node, node.generation, run);
  }

  recordSent({ name }: RelayNode, bytes: number): void {
    const count = this.sent.get(name) ?? { messages: 0, bytes: 0 };
    this.sent.set(name, { messages: count.messages + 1, bytes: count.bytes + bytes });
  }

  drawDelay(): number {
    return MIN_DELAY_MS + this.random() * (MAX_DELAY_MS - MIN_DELAY_MS);
  }

  private actAs(node: RelayNode, generation: number, run: () => void): void {
    if (node.isDown || node.generation !== generation) return;
    if (node.frozen !== undefined) {
      node.frozen.push(() => {
        this.actAs(node, generation, run);
      });
    } else if (node.isSlow) {
      this.events.schedule(this.random() * SLOW_DELAY_MS, () => {
        if (!node.isDown && node.generation === generation) run();
      });
    } else run();
  }

  private open(from: RelayNode, address: string, listener: RelayListener): RelayStream | undefined {
    const to = this.nodes.find(({ name }) => name === address);
    if (to === undefined) return undefined;
    const near = new TestStream(from, to, this);
    const far = new TestStream(to, from, this);
    near.isOpener = true;
    near.other = far;
    far.other = near;
    near.listener = listener;
    from.streams.push(near);
    this.events.schedule(this.drawDelay(), () => {
      if (this.isCut(from, to) || this.isCut(to, from)) return;
      if (to.isDown) {
        near.isOpen = false;
        this.act(from, () => {
          listener.onClosed(false);
        });
        return;
      }
      to.streams.push(far);
      this.act(to, () => {
        far.listener = to.network.accept(far);
      });
    });
    // The first message waits until the other side listens.
    near.send = (message) => {
      const send = () => {
        TestStream.prototype.send.call(near, message);
      };
      if (far.listener === undefined) this.events.schedule(MAX_DELAY_MS * 2, send);
      else send();
    };
    return near;
  }

  private drawSeeds(self: string): readonly string[] {
    const others = this.nodes.map(({ name }) => name).filter((name) => name !== self);
    return Array.from(
      { length: this.seedCount },
      () => others[Math.floor(this.random() * others.length)] ?? "",
    );
  }
}
