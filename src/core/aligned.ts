/**
 * Timers of periodic work that expire together: an idle process then wakes once for all of it.
 */
import { performance } from "node:perf_hooks";
import type { Moment } from "./clock";

/** Intervals are multiples of this, in milliseconds. */
export const TICK_MS = 250;

/** Something that is due at a tick. */
interface TickTask {
  dueAt: Moment;
  readonly isReferenced: boolean;
  readonly run: () => void;
}

/** The one timer of all periodic work of the process; it runs as long as there is some. */
class TickSource {
  private readonly tasks = new Set<TickTask>();
  private timer: NodeJS.Timeout | undefined;

  add(task: TickTask): void {
    this.tasks.add(task);
    this.arm();
  }

  remove(task: TickTask): void {
    this.tasks.delete(task);
    this.arm();
  }

  private arm(): void {
    if (this.tasks.size === 0) {
      clearTimeout(this.timer);
      this.timer = undefined;
      return;
    }
    this.timer ??= this.startTimer();
    const isReferenced = [...this.tasks].some((task) => task.isReferenced);
    if (isReferenced) this.timer.ref();
    else this.timer.unref();
  }

  private startTimer(): NodeJS.Timeout {
    const now = performance.now();
    const tickAt = computeNextMultiple(TICK_MS, now);
    return setTimeout(
      () => {
        this.timer = undefined;
        // The timers of Node.js may be early by parts of a millisecond.
        this.tick(Math.max(tickAt, performance.now()));
      },
      Math.ceil(tickAt - now),
    );
  }

  private tick(now: Moment): void {
    const due = [...this.tasks].filter(({ dueAt }) => dueAt <= now);
    for (const task of due) {
      // One that ran before it may have removed it.
      if (this.tasks.has(task)) this.runTask(task);
    }
    this.arm();
  }

  /** Runs a task; what it throws ends no other one. */
  private runTask(task: TickTask): void {
    try {
      task.run();
    } catch (error) {
      setImmediate(() => {
        throw error;
      });
    }
  }
}

const ticks = new TickSource();

/**
 * Runs something at each multiple of an interval on the monotonic clock, whether or not the run before has
 * ended; the first time is at most one interval away.
 *
 * @example
 * const sweep = new AlignedInterval(2000, () => sweepPools());
 * sweep.close();
 */
export class AlignedInterval {
  private task: TickTask;

  /** @param intervalMs - a multiple of the tick, in milliseconds */
  constructor(intervalMs: number, run: () => void) {
    const computeDueAt = () => computeNextMultiple(intervalMs, performance.now());
    this.task = {
      dueAt: computeDueAt(),
      isReferenced: true,
      run: () => {
        // Of what came due while the process stood still, the last is enough.
        this.task.dueAt = Math.max(this.task.dueAt + intervalMs, computeDueAt());
        run();
      },
    };
    ticks.add(this.task);
  }

  close(): void {
    ticks.remove(this.task);
  }

  /** Lets the process end though the interval is open. */
  unref(): void {
    ticks.remove(this.task);
    this.task = { ...this.task, isReferenced: false };
    ticks.add(this.task);
  }
}

/**
 * Resolves at the next tick, with all periodic work.
 *
 * @example
 * await pauseUntilTick(); // at most 250 ms
 */
export function pauseUntilTick(): Promise<void> {
  return new Promise((resolve) => {
    const task = {
      dueAt: computeNextMultiple(TICK_MS, performance.now()),
      isReferenced: true,
      run: () => {
        ticks.remove(task);
        resolve();
      },
    };
    ticks.add(task);
  });
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
