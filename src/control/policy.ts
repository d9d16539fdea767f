/**
 * The policies by which a pool scheduler can queue and place requests.
 */
import { FairQueue } from "../core/queues/fairqueue";
import {
  DEFAULT_PLACEMENT_COSTS,
  type PlacementPolicy,
  ReservingPolicy,
  RoundRobinPolicy,
} from "../core/placement";
import { FifoQueue, type RequestQueue } from "../core/queues/queue";
import type { WaitingRequest } from "./grants";

/** How requests are queued and placed. */
export interface SchedulerPolicy {
  createQueue(): RequestQueue<WaitingRequest>;
  createPlacement(): PlacementPolicy;
}

/** Fair queueing, and placement that reserves a decode slot; measured against the baseline. */
export const RESERVING_POLICY: SchedulerPolicy = {
  createQueue: () => new FairQueue(),
  createPlacement: () => new ReservingPolicy(DEFAULT_PLACEMENT_COSTS),
};

/** First come, first served; round robin; no reservation of decode slots. */
export const BASELINE_POLICY: SchedulerPolicy = {
  createQueue: () => new FifoQueue(),
  createPlacement: () => new RoundRobinPolicy(),
};
