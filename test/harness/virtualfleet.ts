/**
 * A fleet of instances in virtual time: real decision code over a simulated network that delays messages, cuts
 * instances off, freezes them and restarts them.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { SILENT_LOGGER } from "../../src/core/log";
import { MemberList } from "../../src/fleet/members";
import type { Beat } from "../../src/peer/gen/fleet";
import { EventQueue } from "./events";

const BEAT_INTERVAL_MS = 500;
const MAX_DELAY_MS = 5;

/** An instance of a simulated fleet; `P` are the parts that a restart creates anew. */
export interface VirtualNode<P> {
  readonly name: string;
  readonly dataCentre: string;
  incarnation: number;
  members: MemberList;
  parts: P;
  isDown: boolean;
  /** Messages between nodes of different groups are lost. */
  group: number;
  /** While it is frozen: what it will do once it wakes. */
  frozen: (() => void)[] | undefined;
}

/** A simulated fleet. */
export abstract class VirtualFleet<P> {
  readonly events: EventQueue;
  protected readonly nodes: VirtualNode<P>[] = [];
  private readonly names: readonly string[];
  private readonly random: () => number;

  /** @param dataCentres - names of the data centres, which instances are spread over in turn */
  constructor(
    size: number,
    seed: number,
    dataCentres: readonly string[] = ["nizwa"],
    startedAt = 100_000,
  ) {
    this.events = new EventQueue(startedAt);
    const generator = xoroshiro128plus(seed);
    this.random = () => uniformFloat64(generator);
    this.names = Array.from({ length: size }, (_, index) => `n${index}`);
    for (const [index, name] of this.names.entries()) {
      const dataCentre = dataCentres[index % dataCentres.length] ?? "";
      const members = this.createMembers(name, dataCentre, 0);
      const blank = { incarnation: 0, isDown: false, group: 0, frozen: undefined };
      const node = { name, dataCentre, members, ...blank } as Partial<VirtualNode<P>>;
      this.nodes.push(node as VirtualNode<P>);
    }
  }

  /** Returns a random number in [0, 1). */
  readonly draw = (): number => this.random();

  get now(): number {
    return this.events.clock.now();
  }

  kill(index: number): void {
    const node = this.nodes[index];
    if (node !== undefined) node.isDown = true;
  }

  restart(index: number): void {
    const node = this.nodes[index];
    if (node === undefined) return;
    node.incarnation += 1;
    node.members = this.createMembers(node.name, node.dataCentre, node.incarnation);
    node.parts = this.createParts(node);
    node.isDown = false;
    this.startBeats(node);
  }

  freeze(index: number, ms: number): void {
    const node = this.nodes[index];
    if (node?.frozen !== undefined || node === undefined) return;
    node.frozen = [];
    this.events.schedule(ms, () => {
      const actions = node.frozen ?? [];
      node.frozen = undefined;
      for (const run of actions) run();
    });
  }

  /** Moves a node to a group; it reaches only nodes of its group. */
  cut(index: number, group: number): void {
    const node = this.nodes[index];
    if (node !== undefined) node.group = group;
  }

  /** Creates the parts of a node's process. */
  protected abstract createParts(node: VirtualNode<P>): P;

  /** Creates what a node's heartbeat brings; returns how a peer applies it. */
  protected abstract createBeat(node: VirtualNode<P>): (peer: VirtualNode<P>) => void;

  /** Starts all nodes, once the subclass is ready to create their parts. */
  protected startNodes(): void {
    for (const node of this.nodes) {
      node.parts = this.createParts(node);
      this.startBeats(node);
    }
  }

  /** Delivers a message; it is lost if the nodes do not reach each other or the process is gone. */
  protected deliver(from: VirtualNode<P>, to: VirtualNode<P>, run: (to: VirtualNode<P>) => void) {
    const { incarnation } = to;
    this.events.schedule(this.random() * MAX_DELAY_MS, () => {
      if (from.group !== to.group || to.isDown || to.incarnation !== incarnation) return;
      this.act(to, () => {
        run(to);
      });
    });
  }

  /** Calls a node and resolves with its reply, or with nothing after the timeout. */
  protected callNode<R>(
    sender: VirtualNode<P>,
    to: string,
    timeoutMs: number,
    answer: (receiver: VirtualNode<P>) => R,
  ): Promise<R | undefined> {
    return new Promise((resolve) => {
      const { incarnation } = sender;
      const finish = (reply: R | undefined) => {
        if (sender.incarnation !== incarnation || sender.isDown) return;
        this.act(sender, () => {
          resolve(reply);
        });
      };
      this.events.schedule(timeoutMs, () => {
        finish(undefined);
      });
      this.deliver(sender, this.findNode(to), (receiver) => {
        const reply = answer(receiver);
        this.deliver(receiver, sender, () => {
          finish(reply);
        });
      });
    });
  }

  /** Has a node do something, once it is awake. */
  protected act(node: VirtualNode<P>, run: () => void): void {
    if (node.frozen === undefined) run();
    else node.frozen.push(run);
  }

  protected findNode(name: string): VirtualNode<P> {
    const node = this.nodes.find((other) => other.name === name);
    if (node === undefined) throw new Error(`no node ${name}`);
    return node;
  }

  private createMembers(name: string, dataCentre: string, incarnation: number): MemberList {
    const self = {
      instance: name,
      incarnation: `${name}/${incarnation}`,
      address: name,
      dataCentre,
    };
    const members = new MemberList(self, SILENT_LOGGER, this.now);
    for (const peer of this.names) members.addAddress(peer, peer, this.now);
    return members;
  }

  private startBeats(node: VirtualNode<P>): void {
    const { incarnation } = node;
    const beat = () => {
      if (node.isDown || node.incarnation !== incarnation) return;
      this.act(node, () => {
        this.sendBeat(node);
        this.events.schedule(BEAT_INTERVAL_MS, beat);
      });
    };
    this.events.schedule(this.random() * BEAT_INTERVAL_MS, beat);
  }

  protected sendBeat(node: VirtualNode<P>): void {
    const apply = this.createBeat(node);
    const { name, dataCentre } = node;
    const beat = {
      instance: name,
      incarnation: `${name}/${node.incarnation}`,
      address: name,
      dataCentre,
      leaving: false,
      storeLost: false,
    } as Beat;
    this.events.schedule(this.random() * MAX_DELAY_MS, () => {
      for (const other of this.nodes) {
        if (other === node || other.isDown || other.group !== node.group) continue;
        this.act(other, () => {
          other.members.recordBeat(beat, this.now);
          apply(other);
        });
      }
    });
  }
}
