/**
 * Creates the refusal of a generation that no engine has completed.
 */
import type { Moment } from "../../core/clock";
import {
  createNotRunRefusal,
  createPoisonRefusal,
  createUnknownRefusal,
  ExecutionStatus,
  Reason,
  Refusal,
} from "../../core/outcome";
import { type ForwardContext, createSuspect } from "../endpoints";
import { computeRetryAfterMs, type ReservationQueue } from "../engines";
import type { RefusalTracker } from "../shared";
import type { StreamStart } from "./resume";

/**
 * Retry delay where no engine is in an allowed region, in milliseconds: one has to start there, or the
 * configuration to change.
 */
const REGION_RETRY_MS = 2000;

/** What a refusal is computed from. */
export interface StreamRefusalParts {
  readonly context: ForwardContext;
  readonly reservations: ReservationQueue;
  readonly refusals: RefusalTracker;
}

/** How a generation has ended. */
export interface StreamEnd {
  readonly deadline: Moment;
  /** Number of runs that may have run it; with none it is refused as not run. */
  readonly runs: number;
  /** Why its last try failed. */
  readonly message: string;
}

/**
 * Creates the refusal of a generation whose tries have all failed.
 *
 * @example
 * createStreamRefusal(parts, { request, origin: undefined }, { deadline, runs: 0, message }).status; // 503
 */
export function createStreamRefusal(
  { context, reservations, refusals }: StreamRefusalParts,
  { request, origin }: StreamStart,
  { deadline, runs, message }: StreamEnd,
): Refusal {
  const { clock, random, crashes } = context;
  const { service, fingerprint, allowedRegions } = request;
  const now = clock.now();
  const isLate = now >= deadline;
  if (runs > 0) {
    if (isLate) return new Refusal(504, Reason.deadline, ExecutionStatus.unknown, message);
    return createUnknownRefusal(Reason.interrupted, message);
  }
  if (crashes.findBan(createSuspect(request), now) !== undefined) return createPoisonRefusal();
  refusals.recordRefusal(fingerprint, now);
  if (!reservations.hasEngine(service, origin, now)) {
    const text = "no engine of the version that began the stream is left";
    return createNotRunRefusal(503, Reason.unknownStream, text);
  }
  if (!reservations.hasEngineInRegions(service, allowedRegions, now)) {
    const text = "no engine is in an allowed region";
    return createNotRunRefusal(503, Reason.noEndpoint, text, REGION_RETRY_MS);
  }
  const retryAfterMs =
    reservations.computeHoldMs(service, now, allowedRegions) ??
    computeRetryAfterMs(deadline, now, random);
  const reason = isLate ? Reason.deadline : Reason.overloaded;
  return createNotRunRefusal(503, reason, message, retryAfterMs);
}
