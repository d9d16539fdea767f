/**
 * Chooses the endpoint of a plain service for a request, by least cost.
 */
import type { EndpointEntry } from "../../fleet/entries";
import {
  hasSpeedDifference,
  type HealthView,
  type SlownessReport,
  type SpeedEstimate,
} from "../endpoints";

/** An endpoint with its health as this instance sees it. */
export interface Candidate {
  readonly endpoint: EndpointEntry;
  readonly health: HealthView;
  /** True if the endpoint may be gone. */
  readonly isInDoubt: boolean;
  /** True if the endpoint has named a limit on requests. */
  readonly isLimited: boolean;
  /** The speed of the endpoint for the request's kind of work; undefined if it is not known. */
  readonly speed?: SpeedEstimate;
  /** True if this instance prefers other endpoints, to which it has connections. */
  readonly isOutsideSubset?: boolean;
}

/** Costs, in units of the load of a fully busy endpoint. */
const COSTS = {
  /** An endpoint in another data centre: a little more latency, and the traffic is paid for. */
  otherDataCentre: 0.15,
  /**
   * An endpoint that the instance does not prefer: it gets a request once those that it prefers are
   * busier by this share of their slots, fail or are slow.
   */
  outsideSubset: 0.25,
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
/**
 * Random share of the expected time, where endpoints are chosen by it; without it, all instances that
 * heard that an endpoint has become fast would choose it.
 */
const TIME_JITTER = 0.25;
/**
 * Cost of an endpoint outside the subset where endpoints are chosen by expected time. Those that are known
 * to be fast are preferred then, which keeps an instance at few endpoints by itself; a higher cost made
 * more responses late and saved no connections.
 */
const TIME_OUTSIDE_SUBSET = 0.05;
/**
 * Share of the time of a request that it waits on average at an endpoint whose slots are all but full:
 * other instances send to it meanwhile.
 */
const CONTENTION_SHARE = 0.5;

/** A chosen endpoint, its cost and the number of candidates. */
export interface EndpointChoice {
  readonly endpoint: EndpointEntry;
  readonly cost: number;
  readonly candidates: number;
  /** True if it was chosen by expected time. */
  readonly isByTime: boolean;
  /** What it reported of its slowness, and how long ago; undefined if it reports none. */
  readonly slowness: SlownessReport | undefined;
}

/**
 * Chooses the endpoint of least cost: that of its load, or of the expected time where endpoints report
 * their slowness or their measured speeds differ clearly.
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
  const isByTime = usesExpectedTime(candidates);
  for (const candidate of candidates) {
    if (excluded.has(candidate.endpoint.id)) continue;
    const busyCost = isByTime
      ? computeExpectedTime(candidate) * (1 + random() * TIME_JITTER)
      : computeLoad(candidate) + random() * COSTS.jitter;
    const subsetCost = isByTime ? TIME_OUTSIDE_SUBSET : COSTS.outsideSubset;
    const outsideCost = candidate.isOutsideSubset === true ? subsetCost : 0;
    const cost = busyCost + outsideCost + computeExtraCost(candidate, dataCentre);
    if (best !== undefined && cost >= best.cost) continue;
    const { endpoint, health } = candidate;
    const { slowness } = health;
    best = { endpoint, cost, candidates: candidates.length, isByTime, slowness };
  }
  return best;
}

/**
 * Computes the expected time of a request at an endpoint, as a multiple of that at a free endpoint of
 * typical speed: its own time, and the time until a slot is free.
 *
 * @example
 * computeExpectedTime(candidate); // 2.5 for a free endpoint that takes 2.5 times as long
 */
export function computeExpectedTime({ endpoint, health, speed }: Candidate): number {
  const slots = Math.max(1, endpoint.slots);
  const queue = Math.max(0, health.load + 1 - slots) / slots;
  const contention = CONTENTION_SHARE * Math.min(1, health.load / slots) ** 2;
  return (speed?.ratio ?? 1) * (1 + queue + contention);
}

function usesExpectedTime(candidates: readonly Candidate[]): boolean {
  return hasSpeedDifference(candidates.flatMap(({ speed }) => speed ?? []));
}

function computeLoad({ endpoint, health }: Candidate): number {
  return health.load / Math.max(1, endpoint.slots);
}

function computeExtraCost(candidate: Candidate, dataCentre: string): number {
  const { endpoint, health, isInDoubt, isLimited } = candidate;
  let cost = health.failureRate * COSTS.failure;
  if (endpoint.dataCentre !== dataCentre) cost += COSTS.otherDataCentre;
  if (health.hasOverdueCall) cost += COSTS.overdueCall;
  if (health.isFull) cost += COSTS.full;
  if (isInDoubt) cost += COSTS.inDoubt;
  if (isLimited) cost += COSTS.limited;
  if (health.isUnreachable) cost += COSTS.unreachable;
  return cost;
}
