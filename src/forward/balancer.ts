/**
 * Chooses the endpoint of a plain service for a request.
 */
import type { EndpointEntry } from "../fleet/directory";
import type { HealthView } from "./health";

/** An endpoint and how it looks from here. */
export interface Candidate {
  readonly endpoint: EndpointEntry;
  readonly health: HealthView;
  /** True where it may be gone. */
  readonly isInDoubt: boolean;
}

/** Costs in units of an endpoint that is wholly busy. */
const COSTS = {
  /** Another data centre: a little more latency, and its bytes are paid for. */
  otherDataCentre: 0.15,
  failure: 2.5,
  overdueCall: 2,
  full: 1.5,
  inDoubt: 5,
  unreachable: 10,
  /** Spreads instances that see the same. */
  jitter: 0.08,
} as const;

/** A chosen endpoint, and why. */
export interface EndpointChoice {
  readonly endpoint: EndpointEntry;
  readonly cost: number;
  readonly candidates: number;
}

/**
 * Chooses the endpoint of least cost.
 *
 * @param excluded - endpoints that had the request before
 * @param draw - gives numbers from 0 up to 1
 * @returns undefined where no endpoint is left
 * @example
 * chooseEndpoint(candidates, "nizwa", new Set(), Math.random);
 */
export function chooseEndpoint(
  candidates: readonly Candidate[],
  dataCentre: string,
  excluded: ReadonlySet<string>,
  draw: () => number,
): EndpointChoice | undefined {
  let best: EndpointChoice | undefined;
  for (const candidate of candidates) {
    if (excluded.has(candidate.endpoint.id)) continue;
    const cost = computeCost(candidate, dataCentre) + draw() * COSTS.jitter;
    if (best !== undefined && cost >= best.cost) continue;
    best = { endpoint: candidate.endpoint, cost, candidates: candidates.length };
  }
  return best;
}

function computeCost({ endpoint, health, isInDoubt }: Candidate, dataCentre: string): number {
  let cost = health.load / Math.max(1, endpoint.slots);
  cost += health.failureRate * COSTS.failure;
  if (endpoint.dataCentre !== dataCentre) cost += COSTS.otherDataCentre;
  if (health.hasOverdueCall) cost += COSTS.overdueCall;
  if (health.isFull) cost += COSTS.full;
  if (isInDoubt) cost += COSTS.inDoubt;
  if (health.isUnreachable) cost += COSTS.unreachable;
  return cost;
}
