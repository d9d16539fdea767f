/**
 * Chooses the endpoint of a plain service for a request, by least cost.
 */
import type { EndpointEntry } from "../../fleet/entries";
import type { HealthView } from "../endpoints";

/** An endpoint with its health as this instance sees it. */
export interface Candidate {
  readonly endpoint: EndpointEntry;
  readonly health: HealthView;
  /** True if the endpoint may be gone. */
  readonly isInDoubt: boolean;
  /** True if the endpoint has named a limit on requests. */
  readonly isLimited: boolean;
}

/** Costs, in units of the load of a fully busy endpoint. */
const COSTS = {
  /** An endpoint in another data centre: a little more latency, and the traffic is paid for. */
  otherDataCentre: 0.15,
  failure: 2.5,
  overdueCall: 2,
  full: 1.5,
  inDoubt: 5,
  /** An endpoint in need: others go first while they have places left. */
  limited: 0.5,
  unreachable: 10,
  /** Random, so that instances with the same view don't all choose the same endpoint. */
  jitter: 0.08,
} as const;

/** A chosen endpoint, its cost and the number of candidates. */
export interface EndpointChoice {
  readonly endpoint: EndpointEntry;
  readonly cost: number;
  readonly candidates: number;
}

/**
 * Chooses the endpoint of least cost.
 *
 * @param excluded - ids of endpoints that the request was sent to before
 * @param random - returns a random number in [0, 1)
 * @returns undefined if all candidates are excluded
 * @example
 * chooseEndpoint(candidates, "nizwa", new Set(), Math.random);
 */
export function chooseEndpoint(
  candidates: readonly Candidate[],
  dataCentre: string,
  excluded: ReadonlySet<string>,
  random: () => number,
): EndpointChoice | undefined {
  let best: EndpointChoice | undefined;
  for (const candidate of candidates) {
    if (excluded.has(candidate.endpoint.id)) continue;
    const cost = computeCost(candidate, dataCentre) + random() * COSTS.jitter;
    if (best !== undefined && cost >= best.cost) continue;
    best = { endpoint: candidate.endpoint, cost, candidates: candidates.length };
  }
  return best;
}

function computeCost(candidate: Candidate, dataCentre: string): number {
  const { endpoint, health, isInDoubt, isLimited } = candidate;
  let cost = health.load / Math.max(1, endpoint.slots);
  cost += health.failureRate * COSTS.failure;
  if (endpoint.dataCentre !== dataCentre) cost += COSTS.otherDataCentre;
  if (health.hasOverdueCall) cost += COSTS.overdueCall;
  if (health.isFull) cost += COSTS.full;
  if (isInDoubt) cost += COSTS.inDoubt;
  if (isLimited) cost += COSTS.limited;
  if (health.isUnreachable) cost += COSTS.unreachable;
  return cost;
}
