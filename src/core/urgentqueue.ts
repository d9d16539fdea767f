/**
 * A queue for bursts: what can still be on time goes before what cannot, workspaces within their rates
 * before those beyond, the more urgent rank first, and among equals the one that came first.
 */
import type { Moment } from "./clock";
import { PlainQueue, type QueuedRequest } from "./queue";

/** What the queue has to know of a request. */
export interface UrgentQueueItem extends QueuedRequest {
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  /** True where its workspace is beyond its rate. */
  readonly isOverRate: boolean;
  readonly arrivedAt: Moment;
}

/** Strict order by urgency. */
export class UrgentQueue<W extends UrgentQueueItem> extends PlainQueue<W> {
  /** Lists all, best first. */
  listHeads(now: Moment): readonly W[] {
    return [...this.items.values()].sort((a, b) => compareUrgency(a, b, now));
  }
}

function compareUrgency(a: UrgentQueueItem, b: UrgentQueueItem, now: Moment): number {
  const late = Number(a.targetDeadline <= now) - Number(b.targetDeadline <= now);
  const over = Number(a.isOverRate) - Number(b.isOverRate);
  return late || over || a.priority - b.priority || a.arrivedAt - b.arrivedAt;
}
