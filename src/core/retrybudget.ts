/**
 * Retry budget for each service: a ratio of the requests in a sliding window, plus a fixed
 * allowance (the slack) that is divided among the instances. Each instance keeps within its own
 * part, so that the fleet keeps within the whole.
 */
import type { Moment } from "./clock";
import { SlidingWindowSum } from "./window";

/** The fleet-wide limit on retries. */
export interface RetryLimit {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Retries allowed in each window regardless of requests, over all instances. */
  readonly slack: number;
  readonly windowMs: number;
}

/**
 * Fraction of the limit that is used, so that overlapping windows stay within the limit as well.
 */
const USED_LIMIT_SHARE = 0.7;

/**
 * Fraction of its slack that a new process may use, since the process before it may have used its
 * own within the same window.
 */
const NEW_PROCESS_SLACK_SHARE = 0.4;

interface ServiceCounters {
  readonly requests: SlidingWindowSum;
  readonly retries: SlidingWindowSum;
}

/** Limits the retries of this instance, for each service. */
export class RetryBudget {
  private readonly counters = new Map<string, ServiceCounters>();

  /**
   * @param limit - the limit of the whole fleet
   * @param countInstances - counts the instances that share the slack
   * @param startedAt - when this process started
   */
  constructor(
    private readonly limit: RetryLimit,
    private readonly countInstances: () => number,
    private readonly startedAt: Moment,
  ) {}

  /** Records a request to a service. */
  recordRequest(service: string, now: Moment): void {
    this.findOrCreateCounters(service).requests.add(1, now);
  }

  /** Consumes one retry of a service; returns false where the budget is exhausted. */
  tryConsume(service: string, now: Moment): boolean {
    if (!this.canConsume(service, now)) return false;
    this.consume(service, now);
    return true;
  }

  /** Checks whether a retry of a service is left, without consuming it. */
  canConsume(service: string, now: Moment): boolean {
    const { requests, retries } = this.findOrCreateCounters(service);
    const { ratio, slack, windowMs } = this.limit;
    const isNewProcess = now - this.startedAt < windowMs;
    const instanceSlack =
      (slack / Math.max(1, this.countInstances())) * (isNewProcess ? NEW_PROCESS_SLACK_SHARE : 1);
    const allowed = (requests.read(now) * ratio + instanceSlack) * USED_LIMIT_SHARE;
    return retries.read(now) + 1 <= allowed;
  }

  /** Counts a retry that was made already, even beyond the budget. */
  consume(service: string, now: Moment): void {
    this.findOrCreateCounters(service).retries.add(1, now);
  }

  /** Takes back a retry that was consumed a moment ago, and not made. */
  refund(service: string, now: Moment): void {
    this.findOrCreateCounters(service).retries.add(-1, now);
  }

  private findOrCreateCounters(service: string): ServiceCounters {
    const known = this.counters.get(service);
    if (known !== undefined) return known;
    const { windowMs } = this.limit;
    const serviceCounters = {
      requests: new SlidingWindowSum(windowMs),
      retries: new SlidingWindowSum(windowMs),
    };
    this.counters.set(service, serviceCounters);
    return serviceCounters;
  }
}
