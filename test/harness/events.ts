/**
 * Virtual time for tests of several instances in one process: events run in the order of their moments, and promises
 * that an event resolves are settled before the next one.
 */
import { type Clock, ManualClock } from "../../src/core/clock";

interface ScheduledEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** A queue of events in virtual time. */
export class EventQueue {
  readonly clock: Clock;
  private readonly manualClock: ManualClock;
  private readonly heap: ScheduledEvent[] = [];
  private count = 0;

  constructor(startedAt = 0) {
    this.manualClock = new ManualClock(startedAt);
    this.clock = this.manualClock;
  }

  /** Schedules an event `delayMs` milliseconds from now. */
  schedule(delayMs: number, run: () => void): void {
    this.count += 1;
    this.push({ at: this.clock.now() + delayMs, order: this.count, run });
  }

  /** Runs all events up to a moment. */
  async runUntil(end: number): Promise<void> {
    for (;;) {
      const event = this.heap[0];
      if (event === undefined || event.at > end) break;
      this.pop();
      this.manualClock.advance(event.at - this.clock.now());
      event.run();
      await settlePromises();
    }
    this.manualClock.advance(end - this.clock.now());
  }

  private push(event: ScheduledEvent): void {
    const { heap } = this;
    heap.push(event);
    let index = heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.isBefore(index, parent)) break;
      this.swap(index, parent);
      index = parent;
    }
  }

  private pop(): void {
    const { heap } = this;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) return;
    heap[0] = last;
    let index = 0;
    for (;;) {
      const [left, right] = [2 * index + 1, 2 * index + 2];
      let least = index;
      if (left < heap.length && this.isBefore(left, least)) least = left;
      if (right < heap.length && this.isBefore(right, least)) least = right;
      if (least === index) return;
      this.swap(index, least);
      index = least;
    }
  }

  private isBefore(index: number, other: number): boolean {
    const [a, b] = [this.heap[index], this.heap[other]];
    if (a === undefined || b === undefined) return false;
    return a.at === b.at ? a.order < b.order : a.at < b.at;
  }

  private swap(index: number, other: number): void {
    const [a, b] = [this.heap[index], this.heap[other]];
    if (a === undefined || b === undefined) return;
    this.heap[index] = b;
    this.heap[other] = a;
  }
}

/** Settles promises that are resolved already, also chains of several steps. */
async function settlePromises(): Promise<void> {
  for (let step = 0; step < 12; step += 1) await Promise.resolve();
}
