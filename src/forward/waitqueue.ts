/**
 * The order in which waiting generations go: those that can still be on time before those that
 * cannot, those of workspaces within their rates before those beyond, the more urgent first, and among equals the one that came first.
 */
import type { Moment } from "../core/clock";

/** What the queue has to know of a generation. */
export interface Waiter {
  readonly id: string;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  /** True where its workspace is beyond its rate. */
  readonly isOverRate: boolean;
  readonly arrivedAt: Moment;
  /** Until when it has to start to be on time. */
  readonly startBy: Moment;
  /** Until when it waits. */
  readonly giveUpAt: Moment;
}

/** Waiting generations. */
export class WaitQueue<W extends Waiter> {
  private readonly waiters = new Map<string, W>();

  get size(): number {
    return this.waiters.size;
  }

  push(waiter: W): void {
    this.waiters.set(waiter.id, waiter);
  }

  /** Takes a waiter out; false where it was not there. */
  remove(id: string): boolean {
    return this.waiters.delete(id);
  }

  /** Takes out those that have waited long enough. */
  takeLapsed(now: Moment): readonly W[] {
    const lapsed = [...this.waiters.values()].filter((waiter) => waiter.giveUpAt <= now);
    for (const waiter of lapsed) this.waiters.delete(waiter.id);
    return lapsed;
  }

  /** Takes out all. */
  takeAll(): readonly W[] {
    const all = [...this.waiters.values()];
    this.waiters.clear();
    return all;
  }

  /** Lists all, best first. */
  list(now: Moment): readonly W[] {
    return [...this.waiters.values()].sort((a, b) => compareWaiters(a, b, now));
  }
}

function compareWaiters(a: Waiter, b: Waiter, now: Moment): number {
  const late = Number(a.startBy <= now) - Number(b.startBy <= now);
  const over = Number(a.isOverRate) - Number(b.isOverRate);
  return late || over || a.priority - b.priority || a.arrivedAt - b.arrivedAt;
}
