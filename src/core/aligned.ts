/**
 * Timers of periodic work that expire together: an idle process then wakes once for all of it.
 */
import { performance } from "node:perf_hooks";
import type { Moment } from "./clock";

/** Intervals are multiples of this, in milliseconds. */
export const TICK_MS = 250;

/**
 * Runs something at each multiple of an interval on the monotonic clock, whether or not the run before has
 * ended; the first time is at most one interval away.
 *
 * @example
 * const sweep = new AlignedInterval(2000, () => sweepPools());
 * sweep.close();
 */
export class AlignedInterval {
  private timer: NodeJS.Timeout | undefined;
  private dueAt: Moment;

  /** @param intervalMs - a multiple of the tick, in milliseconds */
  constructor(
    private readonly intervalMs: number,
    private readonly run: () => void,
  ) {
    this.dueAt = computeNextMultiple(intervalMs, performance.now());
    this.arm();
  }

  close(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
  }

  /** Lets the process end though the timer is open. */
  unref(): void {
    this.timer?.unref();
  }

  private arm(): void {
    const delayMs = Math.ceil(this.dueAt - performance.now());
    this.timer = setTimeout(() => {
      // Of what came due while the process stood still, the last is enough.
      const now = Math.max(this.dueAt, performance.now());
      this.dueAt = computeNextMultiple(this.intervalMs, now);
      const isReferenced = this.timer?.hasRef() !== false;
      this.arm();
      if (!isReferenced) this.unref();
      this.run();
    }, delayMs);
  }
}

/**
 * Resolves at the next tick, with all periodic work.
 *
 * @example
 * await pauseUntilTick(); // at most 250 ms
 */
export function pauseUntilTick(): Promise<void> {
  const now = performance.now();
  const delayMs = Math.ceil(computeNextMultiple(TICK_MS, now) - now);
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}

/**
 * Computes the first multiple of an interval after a moment.
 *
 * @example
 * computeNextMultiple(250, 1000); // 1250
 */
export function computeNextMultiple(intervalMs: number, now: Moment): Moment {
  return (Math.floor(now / intervalMs) + 1) * intervalMs;
}
