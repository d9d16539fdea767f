/**
 * A fleet of instances that share the accounts of workspaces, in virtual time: real decision code over a simulated
 * network that delays messages, cuts instances off and freezes them.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { SILENT_LOGGER } from "../../src/core/log";
import type { RateLimit } from "../../src/fleet/config";
import { MemberList } from "../../src/fleet/members";
import { answerCharge } from "../../src/forward/chargepeer";
import { type ChargeTransport, QuotaCharger } from "../../src/forward/charges";
import { type QuotaTolerance, Quotas } from "../../src/forward/quota";
import type { Beat } from "../../src/peer/gen/fleet";
import { EventQueue } from "./events";

const BEAT_INTERVAL_MS = 500;
const MAX_DELAY_MS = 5;

/** A request that the fleet admitted. */
export interface AdmittedRequest {
  readonly workspace: string;
  readonly at: number;
  readonly cost: number;
}

/** A request that a caller sent. */
export interface OfferedRequest extends AdmittedRequest {
  readonly isAdmitted: boolean;
}

interface FleetNode {
  readonly name: string;
  incarnation: number;
  members: MemberList;
  quotas: Quotas;
  charger: QuotaCharger;
  isDown: boolean;
  /** Messages between nodes of different groups are lost. */
  group: number;
  /** While it is frozen: what it will do once it wakes. */
  frozen: (() => void)[] | undefined;
}

/** A simulated fleet. */
export class QuotaFleet {
  readonly events = new EventQueue(100_000);
  readonly offered: OfferedRequest[] = [];
  private readonly names: readonly string[];
  private readonly nodes: FleetNode[];
  private readonly random: () => number;

  constructor(
    size: number,
    seed: number,
    private readonly tolerance: QuotaTolerance,
    private readonly limits: ReadonlyMap<string, RateLimit>,
  ) {
    const generator = xoroshiro128plus(seed);
    this.random = () => uniformFloat64(generator);
    const blank = { incarnation: 0, isDown: false, group: 0, frozen: undefined };
    this.names = Array.from({ length: size }, (_, index) => `n${index}`);
    this.nodes = this.names.map((name) => ({ name, ...blank, ...this.createParts(name, 0) }));
    for (const node of this.nodes) this.startBeats(node);
  }

  /** Returns a random number in [0, 1). */
  readonly draw = (): number => this.random();

  get now(): number {
    return this.events.clock.now();
  }

  /** Sends a request to a node; one that is down or frozen does not admit it. */
  request(index: number, workspace: string, cost: number): void {
    const node = this.nodes[index];
    if (node === undefined || node.isDown) return;
    this.act(node, () => {
      const at = this.now;
      void node.charger.admit(workspace, this.limits.get(workspace), cost).then((decision) => {
        this.offered.push({ workspace, at, cost, isAdmitted: decision.isAdmitted });
      });
    });
  }

  kill(index: number): void {
    const node = this.nodes[index];
    if (node !== undefined) node.isDown = true;
  }

  restart(index: number): void {
    const node = this.nodes[index];
    if (node === undefined) return;
    node.incarnation += 1;
    Object.assign(node, this.createParts(node.name, node.incarnation), { isDown: false });
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

  private createParts(name: string, incarnation: number) {
    const self = {
      instance: name,
      incarnation: `${name}/${incarnation}`,
      address: name,
      dataCentre: "nizwa",
    };
    const members = new MemberList(self, SILENT_LOGGER, this.now);
    for (const peer of this.names) members.addAddress(peer, peer, this.now);
    const quotas = new Quotas(this.tolerance, () => members.readFleetSize(this.now), this.now);
    const charger = new QuotaCharger({
      instance: name,
      quotas,
      transport: this.createTransport(name),
      clock: this.events.clock,
      logger: SILENT_LOGGER,
      listLive: () => members.listLive(this.now),
    });
    return { members, quotas, charger };
  }

  private createTransport(from: string): ChargeTransport {
    return {
      charge: (owner, charge, timeoutMs) =>
        new Promise((resolve) => {
          const sender = this.findNode(from);
          const { incarnation } = sender;
          const finish = (reply: Parameters<typeof resolve>[0]) => {
            if (sender.incarnation !== incarnation || sender.isDown) return;
            this.act(sender, () => {
              resolve(reply);
            });
          };
          this.events.schedule(timeoutMs, () => {
            finish(undefined);
          });
          this.deliver(sender, this.findNode(owner), (receiver) => {
            const request = { instance: from, incarnation: `${from}/${incarnation}`, ...charge };
            const limit = this.limits.get(charge.workspace);
            const reply = answerCharge(
              receiver.quotas,
              { ...request, costs: [...charge.costs] },
              limit,
              this.now,
            );
            const decisions = reply.decisions.map(({ admitted, overRate, left, ...rest }) => ({
              ...rest,
              isAdmitted: admitted,
              isOverRate: overRate,
              levelBefore: left,
            }));
            this.deliver(receiver, sender, () => {
              finish(decisions);
            });
          });
        }),
    };
  }

  private startBeats(node: FleetNode): void {
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

  private sendBeat(node: FleetNode): void {
    const usages = node.quotas.listLocalUsage();
    const incarnation = `${node.name}/${node.incarnation}`;
    const beat = {
      instance: node.name,
      incarnation,
      address: node.name,
      leaving: false,
      storeLost: false,
    } as Beat;
    this.events.schedule(this.random() * MAX_DELAY_MS, () => {
      for (const other of this.nodes) {
        if (other === node || other.isDown || other.group !== node.group) continue;
        this.act(other, () => {
          other.members.recordBeat(beat, this.now);
          other.quotas.applyPeerUsage(node.name, incarnation, usages);
        });
      }
    });
  }

  private deliver(from: FleetNode, to: FleetNode, run: (to: FleetNode) => void): void {
    const { incarnation } = to;
    this.events.schedule(this.random() * MAX_DELAY_MS, () => {
      if (from.group !== to.group || to.isDown || to.incarnation !== incarnation) return;
      this.act(to, () => {
        run(to);
      });
    });
  }

  private act(node: FleetNode, run: () => void): void {
    if (node.frozen === undefined) run();
    else node.frozen.push(run);
  }

  private findNode(name: string): FleetNode {
    const node = this.nodes.find((other) => other.name === name);
    if (node === undefined) throw new Error(`no node ${name}`);
    return node;
  }
}

/**
 * Computes the largest cost that was admitted within a window, over all windows.
 *
 * @param at - which moment of a request counts
 */
export function computeMaxWindow(requests: readonly AdmittedRequest[], windowMs: number): number {
  const sorted = [...requests].sort((a, b) => a.at - b.at);
  let sum = 0;
  let first = 0;
  let worst = 0;
  for (const request of sorted) {
    sum += request.cost;
    while ((sorted[first]?.at ?? 0) <= request.at - windowMs) {
      sum -= sorted[first]?.cost ?? 0;
      first += 1;
    }
    worst = Math.max(worst, sum);
  }
  return worst;
}
