/**
 * Time as the system sees it: monotonic milliseconds, so that a stepping wall clock changes nothing.
 */

/** A moment on the monotonic clock of this process, in milliseconds. */
export type Moment = number;

/** A source of moments. */
export interface Clock {
  /** Reads the present moment. */
  now(): Moment;
}

/** The monotonic clock of the machine. */
export class MonotonicClock implements Clock {
  now(): Moment {
    return performance.now();
  }
}

/** A clock that only moves when told to, for decisions that are replayed. */
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
 * Turns a deadline into what is left of it.
 *
 * @param deadline - the moment by which something must have happened
 * @param now - the present moment
 * @returns milliseconds left, never below zero, rounded down
 * @example
 * computeRemainingMs(1500, 1000); // 500
 */
export function computeRemainingMs(deadline: Moment, now: Moment): number {
  return Math.max(0, Math.floor(deadline - now));
}

/**
 * Waits.
 *
 * @param ms - how long, in milliseconds
 * @example
 * await pause(50);
 */
export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
