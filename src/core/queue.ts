/**
 * Queues of waiting requests. What they share is how requests come in and go; in which order they go
 * is up to each queue.
 */
import type { Moment } from "./clock";

/** What every queue has to know of a request. */
export interface QueuedRequest {
  readonly id: string;
  /** Until when it has to start to meet its target. */
  readonly targetDeadline: Moment;
  /** Until when it has to start at all. */
  readonly deadline: Moment;
}

/** The order in which requests leave the queue. */
export interface RequestQueue<W extends QueuedRequest> {
  readonly size: number;
  push(item: W): void;
  /** Lists the requests that may go next, best first. */
  listHeads(now: Moment): readonly W[];
  /** Takes a request out because it starts now. */
  take(id: string): W | undefined;
  /** Takes a request out because it is gone. */
  remove(id: string): W | undefined;
  /** Takes out all requests that can no longer start in time. */
  removeExpired(now: Moment): readonly W[];
}

/** A queue whose order depends on nothing but the requests that wait. */
export abstract class PlainQueue<W extends QueuedRequest> implements RequestQueue<W> {
  protected readonly items = new Map<string, W>();

  get size(): number {
    return this.items.size;
  }

  abstract listHeads(now: Moment): readonly W[];

  push(item: W): void {
    this.items.set(item.id, item);
  }

  take(id: string): W | undefined {
    return this.remove(id);
  }

  remove(id: string): W | undefined {
    const item = this.items.get(id);
    this.items.delete(id);
    return item;
  }

  removeExpired(now: Moment): readonly W[] {
    const expired = [...this.items.values()].filter((item) => item.deadline <= now);
    for (const item of expired) this.items.delete(item.id);
    return expired;
  }
}

/** First come, first served: the baseline. */
export class FifoQueue<W extends QueuedRequest> extends PlainQueue<W> {
  listHeads(): readonly W[] {
    const first = this.items.values().next().value;
    return first === undefined ? [] : [first];
  }
}
