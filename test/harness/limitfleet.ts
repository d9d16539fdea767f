/**
 * A fleet of instances in virtual time that send to endpoints which have named limits.
 */
import { SILENT_LOGGER } from "../../src/core/log";
import { OwnerChooser } from "../../src/fleet/owners";
import { LimitAccounts } from "../../src/forward/limits/accounts";
import { EndpointLimits } from "../../src/forward/limits/limits";
import type { EndpointEntry } from "../../src/fleet/entries";
import { ColdEndpoints } from "../../src/forward/limits/cold";
import { LimitSources } from "../../src/forward/limits/sources";
import {
  decodeCold,
  decodeLimit,
  encodeCold,
  encodeLimit,
  encodePermitAsk,
} from "../../src/forward/limits/wire";
import { answerPermit, Permits, type PermitTransport } from "../../src/forward/limits/permits";
import { EndpointCold, EndpointLimit, PermitRequest } from "../../src/peer/gen/fleet";
import { VirtualFleet, type VirtualNode } from "./virtualfleet";

const MAX_SEND_MS = 5;
const MAX_ANSWER_MS = 120;

/** A request that an endpoint got. */
export interface LimitArrival {
  readonly at: number;
  readonly endpoint: string;
  readonly from: string;
}

interface LimitParts {
  readonly sources: LimitSources;
  /** Until when endpoints are cold, by the entries that the node has read. */
  readonly coldEnds: Map<string, number>;
  readonly accounts: LimitAccounts;
  readonly permits: Permits;
}

type LimitNode = VirtualNode<LimitParts>;

/** A simulated fleet. */
export class LimitFleet extends VirtualFleet<LimitParts> {
  readonly arrivals: LimitArrival[] = [];
  /** Number of calls to owners. */
  calls = 0;
  /** The limits that endpoints name; one that is not here names none. */
  readonly named = new Map<string, number>();
  /** The limit of cold endpoints; undefined if they have none. */
  coldPerSecond: number | undefined;

  constructor(size: number, seed: number) {
    super(size, seed);
    this.startNodes();
  }

  /** Has an endpoint be cold for a time, which nodes read in its entry after up to `delayMs`. */
  makeCold(endpoint: string, forMs: number, delayMs: number): void {
    const endsAt = this.now + forMs;
    for (const node of this.nodes) {
      this.events.schedule(this.draw() * delayMs, () => {
        this.act(node, () => {
          node.parts.coldEnds.set(endpoint, endsAt);
        });
      });
    }
  }

  /** Has one node read at once that an endpoint is cold. */
  readCold(index: number, endpoint: string, forMs: number): void {
    this.nodes[index]?.parts.coldEnds.set(endpoint, this.now + forMs);
  }

  /** Has an endpoint tell one node in a response that it is cold. */
  answerCold(index: number, endpoint: string, forMs: number): void {
    const word = { endpoint, processStartedAt: 1, endsAt: this.now + forMs, isOwn: true };
    this.nodes[index]?.parts.sources.cold.record(word, this.now);
  }

  get size(): number {
    return this.nodes.length;
  }

  /** Has a node send to an endpoint if it gets a permit. */
  request(index: number, endpoint: string, count = 1): void {
    const node = this.nodes[index];
    if (node === undefined || node.isDown) return;
    const target = { id: endpoint, processStartedAt: 1 };
    this.act(node, () => {
      void node.parts.permits.acquire(target, count).then((isGranted) => {
        for (let sent = 0; isGranted && sent < count; sent += 1) this.send(node, endpoint);
      });
    });
  }

  /** Tells a node of a limit as if an endpoint had answered it. */
  recordAnswer(node: LimitNode, endpoint: string, sentAt: number): void {
    const perSecond = this.named.get(endpoint);
    const { limits } = node.parts.sources;
    if (perSecond === undefined && limits.findWord(endpoint) === undefined) return;
    const at = perSecond === undefined ? sentAt : this.now;
    limits.record({ endpoint, processStartedAt: 1, perSecond, at, isOwn: true });
  }

  protected createParts({ name, members }: LimitNode): LimitParts {
    const { clock } = this.events;
    const coldEnds = new Map<string, number>();
    const cold = this.createCold(coldEnds);
    const sources = new LimitSources(new EndpointLimits(), cold);
    const accounts = new LimitAccounts(() => members.readFleetSize(this.now));
    const owners = new OwnerChooser(name, () => members.listLive(this.now), clock);
    const transport = this.createTransport(name);
    const logger = SILENT_LOGGER;
    const onDecision = () => undefined;
    const parts = {
      instance: name,
      sources,
      accounts,
      owners,
      transport,
      clock,
      logger,
      onDecision,
    };
    return { sources, coldEnds, accounts, permits: new Permits(parts) };
  }

  protected createBeat({ parts }: LimitNode): (peer: LimitNode) => void {
    const { limits, cold } = parts.sources;
    const colds = cold
      .list(this.now)
      .map((word) => EndpointCold.encode(encodeCold(word, this.now)).finish());
    const told = limits
      .list(this.now)
      .map((word) => EndpointLimit.encode(encodeLimit(word, this.now)).finish());
    return (peer) => {
      for (const bytes of told) {
        peer.parts.sources.limits.record(decodeLimit(EndpointLimit.decode(bytes), this.now));
      }
      for (const bytes of colds) {
        peer.parts.sources.cold.record(decodeCold(EndpointCold.decode(bytes), this.now), this.now);
      }
    };
  }

  private createCold(coldEnds: ReadonlyMap<string, number>): ColdEndpoints {
    const entry = { service: "sheets", processStartedAt: 1 } as EndpointEntry;
    return new ColdEndpoints({
      directory: { findCold: (id) => ({ entry, endsAt: coldEnds.get(id) ?? 0 }) },
      findLimit: () =>
        this.coldPerSecond === undefined
          ? undefined
          : { perSecond: this.coldPerSecond, startMs: 6000 },
      tolerance: { ratio: 1.5, slack: 5 },
    });
  }

  private send(node: LimitNode, endpoint: string): void {
    const sentAt = this.now;
    const { incarnation } = node;
    this.events.schedule(this.draw() * MAX_SEND_MS, () => {
      this.arrivals.push({ at: this.now, endpoint, from: node.name });
      this.events.schedule(this.draw() * MAX_ANSWER_MS, () => {
        if (node.isDown || node.incarnation !== incarnation) return;
        this.act(node, () => {
          this.recordAnswer(node, endpoint, sentAt);
        });
      });
    });
  }

  private createTransport(from: string): PermitTransport {
    return {
      request: async (owner, ask, timeoutMs) => {
        this.calls += 1;
        const bytes = PermitRequest.encode(encodePermitAsk(ask, this.now)).finish();
        const request = PermitRequest.decode(bytes);
        const reply = await this.callNode(this.findNode(from), owner, timeoutMs, ({ parts }) =>
          answerPermit(parts.sources, parts, request, this.now),
        );
        if (reply === undefined) return undefined;
        const { granted, retryAfterMs, paceOver } = reply;
        return { isGranted: granted, retryAfterMs, isPaceOver: paceOver };
      },
    };
  }
}
