/**
 * A budget for repeated sends, for each service: a share of the requests of a sliding window and a
 * fixed part of the fleet's slack. Each instance keeps to its own part, so that all keep to the whole.
 */
import type { Moment } from "./clock";
import { SlidingWindowSum } from "./window";

/** The fleet's bound on repeated sends. */
export interface RetryLimit {
  /** Repeats for each request. */
  readonly ratio: number;
  /** Repeats that are free in each window, over all instances. */
  readonly slack: number;
  readonly windowMs: number;
}

/** The part of the bound that is used, so that windows that overlap keep to it as well. */
const USED_SHARE = 0.7;

/** The part of its slack that a new process has, since one before it may have used its own. */
const NEW_PROCESS_SLACK_SHARE = 0.4;

interface ServiceCounters {
  readonly requests: SlidingWindowSum;
  readonly retries: SlidingWindowSum;
}

/** The repeats that this instance may still make. */
export class RetryBudget {
  private readonly counters = new Map<string, ServiceCounters>();

  /**
   * @param startedAt - when this process started
   */
  constructor(
    private readonly limit: RetryLimit,
    private readonly countInstances: () => number,
    private readonly startedAt: Moment,
  ) {}

  /** Notes a request for a service. */
  recordRequest(service: string, now: Moment): void {
    this.findOrCreateCounters(service).requests.add(1, now);
  }

  /** Takes a repeat for a service; false where there is none left. */
  tryConsume(service: string, now: Moment): boolean {
    const { requests, retries } = this.findOrCreateCounters(service);
    const { ratio, slack, windowMs } = this.limit;
    const isNew = now - this.startedAt < windowMs;
    const instanceSlack =
      (slack / Math.max(1, this.countInstances())) * (isNew ? NEW_PROCESS_SLACK_SHARE : 1);
    const allowed = (requests.read(now) * ratio + instanceSlack) * USED_SHARE;
    if (retries.read(now) + 1 > allowed) return false;
    retries.add(1, now);
    return true;
  }

  /** Counts a repeat that was made already, also beyond the budget. */
  consume(service: string, now: Moment): void {
    this.findOrCreateCounters(service).retries.add(1, now);
  }

  private findOrCreateCounters(service: string): ServiceCounters {
    const known = this.counters.get(service);
    if (known !== undefined) return known;
    const { windowMs } = this.limit;
    const count = {
      requests: new SlidingWindowSum(windowMs),
      retries: new SlidingWindowSum(windowMs),
    };
    this.counters.set(service, count);
    return count;
  }
}
