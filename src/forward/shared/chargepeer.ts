/**
 * Carries charges between instances over gRPC.
 */
import type { Moment } from "../../core/clock";
import type { RateLimit } from "../../fleet/config";
import type { MemberIdentity, MemberList } from "../../fleet/members";
import type { GrpcFleetTransport } from "../../fleet/transport";
import type { ChargeDecision, ChargeReply, ChargeRequest } from "../../peer/gen/fleet";
import {
  checkCosts,
  type NumberFaultListener,
  readChargeRetryMs,
  readLevel,
} from "../../peer/numbers";
import type { Charge, ChargeTransport } from "./charges";
import { type QuotaDecision, type Quotas, RELAYED_PEERS } from "./quota";

/** Sends charges to the owners of accounts. */
export class PeerChargeTransport implements ChargeTransport {
  constructor(
    private readonly self: MemberIdentity,
    private readonly members: MemberList,
    private readonly transport: GrpcFleetTransport,
  ) {}

  async charge(
    owner: string,
    { workspace, totalCost, costs }: Charge,
    timeoutMs: number,
  ): Promise<readonly QuotaDecision[] | undefined> {
    const address = this.members.findAddress(owner);
    if (address === undefined) return undefined;
    const { instance, incarnation } = this.self;
    const request = { instance, incarnation, workspace, totalCost, costs: [...costs] };
    const reply = await this.transport.charge(address, request, timeoutMs);
    return reply?.decisions.map(({ admitted, overRate, left, retryAfterMs }) => ({
      isAdmitted: admitted,
      isOverRate: overRate,
      levelBefore: readLevel(left),
      retryAfterMs: readChargeRetryMs(retryAfterMs),
    }));
  }
}

/**
 * Attributes a charge to the sum of all peers, whose use comes through relays in one count: what is
 * charged here is part of that count later.
 *
 * @example
 * answerCharge(quotas, createRelayedCharge(request), limit, clock.now());
 */
export function createRelayedCharge(request: ChargeRequest): ChargeRequest {
  return { ...request, instance: RELAYED_PEERS, incarnation: "", totalCost: 0 };
}

/** The decision on a request whose cost can't be true, while others of its charge can be decided. */
const DENIED: ChargeDecision = { admitted: false, overRate: true, left: 0, retryAfterMs: 60_000 };

/**
 * Decides on a peer's charge as the owner of the account. A request whose cost can't be true is denied
 * and costs no other one its decision.
 *
 * @param limit - the limit of the workspace; undefined if it is not known here or has none, which
 *   leaves the decision to the peer, as does a charge without any cost that can be true
 * @example
 * answerCharge(quotas, request, limit, clock.now()).decisions;
 */
export function answerCharge(
  quotas: Quotas,
  request: ChargeRequest,
  limit: RateLimit | undefined,
  now: Moment,
  onFault: NumberFaultListener = () => undefined,
): ChargeReply {
  const areSound = checkCosts(request, onFault);
  if (limit === undefined || !areSound.includes(true)) return { decisions: [] };
  const { instance, incarnation, workspace, totalCost } = request;
  const costs = request.costs.filter((_cost, index) => areSound[index]);
  const peer = { instance, incarnation, totalCost };
  const decided = quotas.admitForPeer(peer, workspace, limit, costs, now).map(encodeDecision);
  return {
    decisions: areSound.map((isSound) => (isSound ? decided.shift() : undefined) ?? DENIED),
  };
}

function encodeDecision(decision: QuotaDecision): ChargeDecision {
  const { isAdmitted, isOverRate, levelBefore, retryAfterMs } = decision;
  return { admitted: isAdmitted, overRate: isOverRate, left: levelBefore, retryAfterMs };
}
