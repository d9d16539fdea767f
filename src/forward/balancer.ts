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
const COST = {
  /** Another data centre: a little more latency, and its bytes are paid for. */
  far: 0.15,
  failure: 2.5,
  silent: 2,
  full: 1.5,
  inDoubt: 5,
  unreachable: 10,
  /** Spreads instances that see the same. */
  noise: 0.08,
} as const;

/** A chosen endpoint, and why. */
export interface Pick {
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
): Pick | undefined {
  let best: Pick | undefined;
  for (const candidate of candidates) {
    if (excluded.has(candidate.endpoint.id)) continue;
    const cost = computeCost(candidate, dataCentre) + draw() * COST.noise;
    if (best !== undefined && cost >= best.cost) continue;
    best = { endpoint: candidate.endpoint, cost, candidates: candidates.length };
  }
  return best;
}

function computeCost({ endpoint, health, isInDoubt }: Candidate, dataCentre: string): number {
  let cost = health.load / Math.max(1, endpoint.slots);
  cost += health.failureRate * COST.failure;
  if (endpoint.dataCentre !== dataCentre) cost += COST.far;
  if (health.isSilent) cost += COST.silent;
  if (health.isFull) cost += COST.full;
  if (isInDoubt) cost += COST.inDoubt;
  if (health.isUnreachable) cost += COST.unreachable;
  return cost;
}
