/**
 * Queues of waiting requests. They share how requests enter and leave; each queue decides in which
 * order.
 */
import type { Moment } from "../clock";

/** A request as every queue sees it. */
export interface QueuedRequest {
  /** Id that no other request in the queue has, so not one that a caller chose. */
  readonly id: string;
  /** Latest start that still meets the request's latency target. */
  readonly targetDeadline: Moment;
  /** Latest start; the request expires after it. */
  readonly deadline: Moment;
}

/** A queue of requests with an order of its own. */
export interface RequestQueue<W extends QueuedRequest> {
  readonly size: number;
  push(item: W): void;
  /** Lists the requests that may start next, best first. */
  listHeads(now: Moment): readonly W[];
  /** Removes a request that starts now; undefined where it is not queued. */
  dequeue(id: string): W | undefined;
  /** Removes a request that will not start; undefined where it is not queued. */
  remove(id: string): W | undefined;
  /** Removes and returns all requests that can no longer start in time. */
  removeExpired(now: Moment): readonly W[];
}

/** A queue whose order depends only on the waiting requests, not on those that left before. */
export abstract class BaseRequestQueue<W extends QueuedRequest> implements RequestQueue<W> {
  protected readonly items = new Map<string, W>();

  get size(): number {
    return this.items.size;
  }

  abstract listHeads(now: Moment): readonly W[];

  push(item: W): void {
    this.items.set(item.id, item);
  }

  dequeue(id: string): W | undefined {
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

/** First come, first served: the baseline for comparisons. */
export class FifoQueue<W extends QueuedRequest> extends BaseRequestQueue<W> {
  listHeads(): readonly W[] {
    const first = this.items.values().next().value;
    return first === undefined ? [] : [first];
  }
}
