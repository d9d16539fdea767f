/**
 * A fleet of instances in virtual time that send to endpoints which have named limits.
 */
import { SILENT_LOGGER } from "../../src/core/log";
import { OwnerChooser } from "../../src/fleet/owners";
import { LimitAccounts } from "../../src/forward/limits/accounts";
import { EndpointLimits } from "../../src/forward/limits/limits";
import { decodeLimit, encodeLimit } from "../../src/forward/limits/wire";
import { answerPermit, Permits, type PermitTransport } from "../../src/forward/limits/permits";
import { EndpointLimit } from "../../src/peer/gen/fleet";
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
  readonly limits: EndpointLimits;
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

  constructor(size: number, seed: number) {
    super(size, seed);
    this.startNodes();
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
    const { limits } = node.parts;
    if (perSecond === undefined && limits.findWord(endpoint) === undefined) return;
    const at = perSecond === undefined ? sentAt : this.now;
    limits.record({ endpoint, processStartedAt: 1, perSecond, at, isOwn: true });
  }

  protected createParts({ name, members }: LimitNode): LimitParts {
    const { clock } = this.events;
    const limits = new EndpointLimits();
    const accounts = new LimitAccounts(() => members.readFleetSize(this.now));
    const owners = new OwnerChooser(name, () => members.listLive(this.now), clock);
    const transport = this.createTransport(name);
    const logger = SILENT_LOGGER;
    const onDecision = () => undefined;
    const parts = {
      instance: name,
      limits,
      accounts,
      owners,
      transport,
      clock,
      logger,
      onDecision,
    };
    return { limits, accounts, permits: new Permits(parts) };
  }

  protected createBeat({ parts }: LimitNode): (peer: LimitNode) => void {
    const told = parts.limits
      .list(this.now)
      .map((word) => EndpointLimit.encode(encodeLimit(word, this.now)).finish());
    return (peer) => {
      for (const bytes of told) {
        peer.parts.limits.record(decodeLimit(EndpointLimit.decode(bytes), this.now));
      }
    };
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
      request: async (owner, word, count, timeoutMs) => {
        this.calls += 1;
        const request = { limit: encodeLimit(word, this.now), count };
        const reply = await this.callNode(this.findNode(from), owner, timeoutMs, ({ parts }) =>
          answerPermit(parts.limits, parts.accounts, request, this.now),
        );
        return reply && { isGranted: reply.granted, retryAfterMs: reply.retryAfterMs };
      },
    };
  }
}
