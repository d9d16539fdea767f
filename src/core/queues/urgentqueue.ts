/**
 * A strict priority queue for bursts: requests that can still meet their target come before those
 * that cannot, then workspaces within their rate before those over it, then lower priority ranks,
 * then earlier arrivals.
 */
import type { Moment } from "../clock";
import { BaseRequestQueue, type QueuedRequest } from "./queue";

/** A request as the urgent queue sees it. */
export interface UrgentQueueItem extends QueuedRequest {
  /** Priority rank; 0 is the most urgent. */
  readonly priority: number;
  /** True where the workspace is over its rate. */
  readonly isOverRate: boolean;
  readonly arrivedAt: Moment;
}

/** A queue in strict order of urgency. */
export class UrgentQueue<W extends UrgentQueueItem> extends BaseRequestQueue<W> {
  /** Lists all waiting requests, most urgent first. */
  listHeads(now: Moment): readonly W[] {
    return [...this.items.values()].sort((a, b) => compareUrgency(a, b, now));
  }
}

function compareUrgency(a: UrgentQueueItem, b: UrgentQueueItem, now: Moment): number {
  const lateOrder = Number(a.targetDeadline <= now) - Number(b.targetDeadline <= now);
  const overRateOrder = Number(a.isOverRate) - Number(b.isOverRate);
  return lateOrder || overRateOrder || a.priority - b.priority || a.arrivedAt - b.arrivedAt;
}
