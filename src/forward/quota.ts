/**
 * Limits the rates of workspaces over the whole fleet without a message for each request: every
 * instance keeps a token bucket for each workspace, and takes from it the cost that it admits and
 * the cost that its peers report. While peers send no heartbeats, the bucket fills more slowly, as
 * those peers fill theirs too.
 */
import type { Moment } from "../core/clock";
import type { RateLimit } from "../fleet/config";
import { SlidingWindowSum } from "../core/window";

/**
 * Maximum delay of the counts of peers, in milliseconds; a little more than a heartbeat interval.
 */
const PEER_COUNT_LAG_MS = 640;

/**
 * Factor by which an instance that doesn't receive heartbeats from all its peers may exceed its
 * share of the rate.
 */
const SHARE_MARGIN = 1.3;

/** How far the fleet may exceed rates while the counts of its instances are in transit. */
export interface QuotaTolerance {
  /** A share of the cost that a workspace may use within a window. */
  readonly ratio: number;
  /** Additional tolerance for each window, in units of cost. */
  readonly slack: number;
  readonly windowMs: number;
}

/** The share of the tolerance that may be used; the rest covers counts that arrive late. */
const GRANTED_TOLERANCE_SHARE = 0.6;

/** The total cost that one instance has admitted for a workspace since it started. */
export interface Usage {
  readonly workspace: string;
  readonly cost: number;
}

interface PeerUsage {
  readonly incarnation: string;
  readonly costs: ReadonlyMap<string, number>;
}

interface WorkspaceBucket {
  tokens: number;
  refilledAt: Moment;
  /** Cost that this instance admitted recently and that its peers may not know yet. */
  readonly recent: SlidingWindowSum;
}

/** The decision on a request by the rate of its workspace. */
export interface QuotaDecision {
  readonly isAdmitted: boolean;
  /**
   * True if the request exceeds the rate. One that is admitted all the same is within the
   * tolerance, and requests within their rate go first.
   */
  readonly isOverRate: boolean;
  /** Tokens left in the bucket before the request; negative within the tolerance. */
  readonly left: number;
  /** Retry delay in milliseconds, for a request that is not admitted. */
  readonly retryAfterMs: number;
}

/** Admits requests by the rates of workspaces. */
export class Quotas {
  private readonly buckets = new Map<string, WorkspaceBucket>();
  private readonly localCosts = new Map<string, number>();
  private readonly peerUsages = new Map<string, PeerUsage>();

  /**
   * @param computeLiveRatio - computes the share of the fleet's instances that are live, including
   *   this one
   * @param countInstances - counts the live instances, including this one
   */
  constructor(
    private readonly tolerance: QuotaTolerance,
    private readonly computeLiveRatio: () => number,
    private readonly countInstances: () => number,
  ) {}

  /**
   * Admits a request and counts it, or refuses it.
   *
   * @param limit - undefined if the workspace has none
   */
  admit(workspace: string, limit: RateLimit | undefined, cost: number, now: Moment): QuotaDecision {
    if (limit === undefined) {
      const left = Number.POSITIVE_INFINITY;
      return { isAdmitted: true, isOverRate: false, left, retryAfterMs: 0 };
    }
    const rate = limit.perSecond * Math.min(1, this.computeLiveRatio() * SHARE_MARGIN);
    const bucket = this.refill(workspace, rate, limit.burst, now);
    // Assumes that each peer recently admitted as much as this instance and has not reported it yet.
    const unreported = bucket.recent.read(now) * (this.countInstances() - 1);
    const left = bucket.tokens;
    const floor = unreported - this.computeTolerance(limit);
    if (left - cost >= floor) {
      bucket.tokens -= cost;
      bucket.recent.add(cost, now);
      this.localCosts.set(workspace, (this.localCosts.get(workspace) ?? 0) + cost);
      return { isAdmitted: true, isOverRate: left < cost, left, retryAfterMs: 0 };
    }
    const retryAfterMs = rate > 0 ? ((cost + floor - left) * 1000) / rate : 0;
    return { isAdmitted: false, isOverRate: true, left, retryAfterMs };
  }

  private computeTolerance(limit: RateLimit): number {
    const { ratio, slack, windowMs } = this.tolerance;
    const windowCost = (limit.perSecond * windowMs) / 1000 + limit.burst;
    return (windowCost * ratio + slack) * GRANTED_TOLERANCE_SHARE;
  }

  /**
   * Charges what a peer admitted since its last report. Its first report, and the first after its
   * restart, only set the baseline: what it admitted before is not charged.
   */
  applyPeerUsage(peer: string, incarnation: string, usages: readonly Usage[]): void {
    const previous = this.peerUsages.get(peer);
    const costs = new Map(usages.map((usage) => [usage.workspace, usage.cost]));
    this.peerUsages.set(peer, { incarnation, costs });
    if (previous?.incarnation !== incarnation) return;
    for (const [workspace, cost] of costs) {
      const bucket = this.buckets.get(workspace);
      if (bucket !== undefined)
        bucket.tokens -= Math.max(0, cost - (previous.costs.get(workspace) ?? 0));
    }
  }

  /** Lists the total costs admitted by this instance, to be sent to peers. */
  listLocalUsage(): readonly Usage[] {
    return [...this.localCosts].map(([workspace, cost]) => ({ workspace, cost }));
  }

  private refill(workspace: string, rate: number, burst: number, now: Moment): WorkspaceBucket {
    const bucket = this.buckets.get(workspace);
    if (bucket === undefined) {
      const fullBucket = {
        tokens: burst,
        refilledAt: now,
        recent: new SlidingWindowSum(PEER_COUNT_LAG_MS),
      };
      this.buckets.set(workspace, fullBucket);
      return fullBucket;
    }
    const gained = ((now - bucket.refilledAt) * rate) / 1000;
    bucket.tokens = Math.min(burst, bucket.tokens + gained);
    bucket.refilledAt = now;
    return bucket;
  }
}
