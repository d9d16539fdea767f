/**
 * What is done with generations while engines are full. It answers bursts of some seconds, in which twice as
 * many come as the engines can take: what can still be on time goes first and finds room, what is late goes
 * on behind, and who is refused comes back when the burst may be over.
 */
import { computeRemainingMs, type Moment } from "../core/clock";
import type { EngineLimits } from "../fleet/config";
import type { GenerationSize } from "./messages";

/** The share of the time to the target that a generation waits for memory. */
const MAX_WAIT_SHARE = 0.75;
/** How long a generation waits that came back after a refusal and is late anyway, in milliseconds. */
const RETURNED_MAX_WAIT_MS = 1500;
/** How long it usually takes from memory to the first event, in milliseconds. */
const TYPICAL_FIRST_EVENT_MS = 300;
/** How long a generation that had begun waits for memory to go on, in milliseconds. */
const RESUME_MAX_WAIT_MS = 2000;
/** The share of the longest output that memory is reserved for; most outputs are far shorter. */
const RESERVED_OUTPUT_SHARE = 0.25;
/**
 * The share of an engine's memory up to which late generations start: each holds its memory for seconds, in
 * which several others would come too late as well.
 */
const LATE_CAPACITY_SHARE = 0.8;
/**
 * When a refused caller may come back, as shares of the time that it has left: after a usual burst, spread
 * so that not all return at once, within the third that callers honour.
 */
const RETRY_AFTER_SHARE = { min: 0.25, max: 0.33 } as const;

/** What is known of a generation that needs memory. */
export interface Demand {
  readonly arrivedAt: Moment;
  /** When its first event is no longer on time. */
  readonly softDeadline: Moment;
  /** When it gets its final answer at the latest. */
  readonly deadline: Moment;
  /** True where it was refused before and came back. */
  readonly isReturned: boolean;
  /** True where events of it went out already. */
  readonly hasStarted: boolean;
}

/** How long a generation may wait. */
export interface WaitLimits {
  /** Until when it has to have memory to be on time; one that has begun is always in time. */
  readonly targetDeadline: Moment;
  /** Until when it waits at all. */
  readonly deadline: Moment;
}

/**
 * Computes how long a generation waits for memory.
 *
 * @example
 * computeWaitLimits(demand, clock.now()).deadline;
 */
export function computeWaitLimits(demand: Demand, now: Moment): WaitLimits {
  const { arrivedAt, softDeadline, deadline, isReturned, hasStarted } = demand;
  if (hasStarted) {
    return { targetDeadline: deadline, deadline: Math.min(deadline, now + RESUME_MAX_WAIT_MS) };
  }
  if (isReturned) {
    const giveUpAt = Math.min(deadline, arrivedAt + RETURNED_MAX_WAIT_MS);
    return { targetDeadline: arrivedAt, deadline: giveUpAt };
  }
  const giveUpAt = arrivedAt + (softDeadline - arrivedAt) * MAX_WAIT_SHARE;
  return {
    targetDeadline: softDeadline - TYPICAL_FIRST_EVENT_MS,
    deadline: Math.min(deadline, giveUpAt),
  };
}

/**
 * Computes the memory that is reserved for a generation, in tokens.
 *
 * @example
 * computeReservationTokens({ promptTokens: 3000, maxOutputTokens: 1120, expectedOutputTokens: 400 }); // 3280
 */
export function computeReservationTokens(size: GenerationSize): number {
  return Math.ceil(size.promptTokens + size.maxOutputTokens * RESERVED_OUTPUT_SHARE);
}

/**
 * Limits what a generation may find at an engine: late ones leave room for those that can be on time.
 *
 * @example
 * limitCapacity(limits, true).capacityTokens; // less than limits.capacityTokens
 */
export function limitCapacity(limits: EngineLimits, isLate: boolean): EngineLimits {
  if (!isLate) return limits;
  return { ...limits, capacityTokens: limits.capacityTokens * LATE_CAPACITY_SHARE };
}

/**
 * Computes when a refused caller may come back, in milliseconds.
 *
 * @param draw - gives numbers from 0 up to 1
 * @example
 * computeRetryAfterMs(deadline, clock.now(), Math.random); // 3120
 */
export function computeRetryAfterMs(deadline: Moment, now: Moment, draw: () => number): number {
  const share = RETRY_AFTER_SHARE.min + draw() * (RETRY_AFTER_SHARE.max - RETRY_AFTER_SHARE.min);
  return Math.round(computeRemainingMs(deadline, now) * share);
}
