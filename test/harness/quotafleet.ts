/**
 * A fleet of instances that share the accounts of workspaces, in virtual time.
 */
import { SILENT_LOGGER } from "../../src/core/log";
import type { RateLimit } from "../../src/fleet/config";
import { answerCharge } from "../../src/forward/shared/chargepeer";
import { type ChargeTransport, QuotaCharger } from "../../src/forward/shared/charges";
import { type QuotaTolerance, Quotas } from "../../src/forward/shared/quota";
import { VirtualFleet, type VirtualNode } from "./virtualfleet";

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

interface QuotaParts {
  readonly quotas: Quotas;
  readonly charger: QuotaCharger;
}

type QuotaNode = VirtualNode<QuotaParts>;

/** A simulated fleet. */
export class QuotaFleet extends VirtualFleet<QuotaParts> {
  readonly offered: OfferedRequest[] = [];

  constructor(
    size: number,
    seed: number,
    private readonly tolerance: QuotaTolerance,
    private readonly limits: ReadonlyMap<string, RateLimit>,
  ) {
    super(size, seed);
    this.startNodes();
  }

  /** Sends a request to a node; one that is down or frozen does not admit it. */
  request(index: number, workspace: string, cost: number): void {
    const node = this.nodes[index];
    if (node === undefined || node.isDown) return;
    this.act(node, () => {
      const at = this.now;
      const limit = this.limits.get(workspace);
      void node.parts.charger.admit(workspace, limit, cost).then((decision) => {
        this.offered.push({ workspace, at, cost, isAdmitted: decision.isAdmitted });
      });
    });
  }

  protected createParts({ name, members }: QuotaNode): QuotaParts {
    const quotas = new Quotas(this.tolerance, () => members.readFleetSize(this.now), this.now);
    const charger = new QuotaCharger({
      instance: name,
      quotas,
      transport: this.createTransport(name),
      clock: this.events.clock,
      logger: SILENT_LOGGER,
      listLive: () => members.listLive(this.now),
    });
    return { quotas, charger };
  }

  protected createBeat({ name, incarnation, parts }: QuotaNode): (peer: QuotaNode) => void {
    const usages = parts.quotas.listLocalUsage();
    return (peer) => {
      peer.parts.quotas.applyPeerUsage(name, `${name}/${incarnation}`, usages);
    };
  }

  private createTransport(from: string): ChargeTransport {
    return {
      charge: (owner, charge, timeoutMs) => {
        const sender = this.findNode(from);
        const incarnation = `${from}/${sender.incarnation}`;
        return this.callNode(sender, owner, timeoutMs, ({ parts }) => {
          const request = { instance: from, incarnation, ...charge, costs: [...charge.costs] };
          const limit = this.limits.get(charge.workspace);
          const reply = answerCharge(parts.quotas, request, limit, this.now);
          return reply.decisions.map(({ admitted, overRate, left, ...rest }) => ({
            ...rest,
            isAdmitted: admitted,
            isOverRate: overRate,
            levelBefore: left,
          }));
        });
      },
    };
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
