/**
 * Monotonic clocks in milliseconds, so that steps of the wall clock have no effect.
 */

export const MS_PER_SECOND = 1000;

/** A moment on the monotonic clock of this process, in milliseconds. */
export type Moment = number;

/** A monotonic clock. */
export interface Clock {
  /** Reads the current time. */
  now(): Moment;
}

/** The monotonic clock of the process. */
export class MonotonicClock implements Clock {
  now(): Moment {
    return performance.now();
  }
}

/** A clock that only moves on `advance`, for simulations and replayed decisions. */
export class ManualClock implements Clock {
  constructor(private moment: Moment = 0) {}

  now(): Moment {
    return this.moment;
  }

  /** Moves the clock forward by `ms` milliseconds. */
  advance(ms: number): void {
    this.moment += ms;
  }
}

/**
 * Computes the time that remains until a deadline.
 *
 * @param deadline - the deadline, on the same clock as `now`
 * @param now - the current time
 * @returns the remaining milliseconds, rounded down, never below zero
 * @example
 * computeRemainingMs(1500, 1000); // 500
 */
export function computeRemainingMs(deadline: Moment, now: Moment): number {
  return Math.max(0, Math.floor(deadline - now));
}

/**
 * Resolves after a delay.
 *
 * @param ms - the delay in milliseconds
 * @example
 * await pause(50);
 */
export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
