/**
 * Decides how long generations wait and how much memory they get while the engines are full. It is
 * designed for bursts of some seconds in which twice as many generations arrive as the engines can
 * take: those that can still meet their soft deadline are placed first, late ones after them, and
 * refused callers are told to retry when the burst may be over.
 */
import { computeRemainingMs, type Moment } from "../../core/clock";
import type { EngineLimits } from "../../fleet/config";
import type { GenerationSize } from "../requests";

/**
 * The share of the time from arrival to the soft deadline that a generation may wait for memory.
 */
const MAX_WAIT_SHARE = 0.75;
/**
 * How long a generation that returned after a refusal waits, in milliseconds; it is late anyway.
 */
const RETURNED_MAX_WAIT_MS = 1500;
/** Typical time from reserving memory to the first event, in milliseconds. */
const TYPICAL_FIRST_EVENT_MS = 300;
/** The share of the maximum output that memory is reserved for; most outputs are far shorter. */
const RESERVED_OUTPUT_SHARE = 0.25;
/**
 * The share of an engine's memory that late generations may fill. Each holds its memory for
 * seconds, during which several others would miss their soft deadlines too.
 */
const LATE_CAPACITY_SHARE = 0.8;
/**
 * The retry delay of a refused caller, as shares of its remaining time: long enough for a typical
 * burst to pass, spread so that callers don't all return at once, and within the third of the
 * remaining time that callers honour.
 */
const RETRY_AFTER_SHARE = { min: 0.25, max: 0.33 } as const;

/** The times and the state of a generation that needs memory. */
export interface Demand {
  readonly arrivedAt: Moment;
  /** When its first event is late. */
  readonly softDeadline: Moment;
  /** When its final response is due at the latest. */
  readonly deadline: Moment;
  /** True if it was refused before and the caller sent it again. */
  readonly isReturned: boolean;
  /** True if an earlier run may already have started it on an engine. */
  readonly hasStarted: boolean;
}

/** Until when a generation may wait for memory. */
export interface WaitLimits {
  /** Until when it needs memory to be on time; one that has started always counts as on time. */
  readonly targetDeadline: Moment;
  /** When its wait for memory ends. */
  readonly deadline: Moment;
}

/**
 * Computes until when a generation waits for memory. One that has started can't be refused as not run,
 * so it waits as long as it has time.
 *
 * @example
 * computeWaitLimits(demand).deadline;
 */
export function computeWaitLimits(demand: Demand): WaitLimits {
  const { arrivedAt, softDeadline, deadline, isReturned, hasStarted } = demand;
  if (hasStarted) return { targetDeadline: deadline, deadline };
  if (isReturned) {
    const waitDeadline = Math.min(deadline, arrivedAt + RETURNED_MAX_WAIT_MS);
    return { targetDeadline: arrivedAt, deadline: waitDeadline };
  }
  const waitDeadline = arrivedAt + (softDeadline - arrivedAt) * MAX_WAIT_SHARE;
  return {
    targetDeadline: softDeadline - TYPICAL_FIRST_EVENT_MS,
    deadline: Math.min(deadline, waitDeadline),
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
 * Limits the memory of an engine that a generation may use: late ones leave room for those that can
 * still be on time.
 *
 * @example
 * limitCapacity(limits, true).capacityTokens; // less than limits.capacityTokens
 */
export function limitCapacity(limits: EngineLimits, isLate: boolean): EngineLimits {
  if (!isLate) return limits;
  return { ...limits, capacityTokens: limits.capacityTokens * LATE_CAPACITY_SHARE };
}

/**
 * Computes the delay after which a refused caller may retry, in milliseconds.
 *
 * @param random - returns a random number in [0, 1)
 * @example
 * computeRetryAfterMs(deadline, clock.now(), Math.random); // 3120
 */
export function computeRetryAfterMs(deadline: Moment, now: Moment, random: () => number): number {
  const share = RETRY_AFTER_SHARE.min + random() * (RETRY_AFTER_SHARE.max - RETRY_AFTER_SHARE.min);
  return Math.round(computeRemainingMs(deadline, now) * share);
}
