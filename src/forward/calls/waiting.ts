/**
 * Decides by expected time whether a request of a plain service can still be served, and when a refused
 * caller may come back. Applies where endpoints report their slowness, so that their queues are known.
 */
import { type Candidate, computeExpectedTime } from "./balancer";

/**
 * A request is refused at once if the expected time exceeds the remaining time by this factor: the
 * estimate must be wrong by a third before a request is refused that could have been served.
 */
const HOPELESS_FACTOR = 1.5;
/** Random share that is added to a retry delay, so that refused callers don't all come back at once. */
const RETRY_SPREAD = 0.5;
/** Longest retry delay, in milliseconds: queues are known for moments, not for longer. */
const MAX_RETRY_AFTER_MS = 2000;

/**
 * Estimates how long a request takes at the endpoint where it is expected to end first, in milliseconds.
 *
 * @returns undefined where an endpoint that may be free has reported no slowness or was not measured
 * @example
 * estimateBestMs(candidates); // 43 if one has a free slot
 */
export function estimateBestMs(candidates: readonly Candidate[]): number | undefined {
  let best: number | undefined;
  for (const candidate of candidates) {
    const { speed, health } = candidate;
    if (health.isUnreachable) continue;
    if (speed?.ms === undefined || !speed.isReported) return undefined;
    const ms = (speed.ms / speed.ratio) * computeExpectedTime(candidate);
    if (best === undefined || ms < best) best = ms;
  }
  return best;
}

/**
 * Checks whether no endpoint can be expected to serve a request in its remaining time.
 *
 * @example
 * isHopeless(candidates, 100); // true if the shortest expected time is 200 ms
 */
export function isHopeless(candidates: readonly Candidate[], remainingMs: number): boolean {
  const bestMs = estimateBestMs(candidates);
  return bestMs !== undefined && bestMs > remainingMs * HOPELESS_FACTOR;
}

/**
 * Computes after which delay a slot is expected to be free for a refused request, in milliseconds.
 *
 * @param minMs - the delay where that is not known, which is also the shortest
 * @param random - returns a random number in [0, 1)
 * @example
 * computeFreeAfterMs(candidates, 250, Math.random); // 600
 */
export function computeFreeAfterMs(
  candidates: readonly Candidate[],
  minMs: number,
  random: () => number,
): number {
  const bestMs = estimateBestMs(candidates);
  if (bestMs === undefined) return minMs;
  const delayMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(minMs, bestMs));
  return Math.round(delayMs * (1 + random() * RETRY_SPREAD));
}
