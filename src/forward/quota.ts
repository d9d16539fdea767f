/**
 * Rates of workspaces over the whole fleet, without a message for each request: every instance keeps
 * a token bucket for each workspace, and takes from it what it admits and what its peers say that
 * they admitted. While peers are not heard, the bucket fills more slowly, as they fill theirs.
 */
import type { Moment } from "../core/clock";
import type { RateLimit } from "../fleet/config";
import { SlidingWindowSum } from "../core/window";

/** How late the counts of peers come at most, in milliseconds; a little more than a beat. */
const PEER_COUNT_LAG_MS = 640;

/** How far above its share of the rate an instance goes that does not hear all its peers. */
const SHARE_MARGIN = 1.3;

/** How far the fleet may go beyond rates while its instances' counts are under way to each other. */
export interface QuotaTolerance {
  /** A share of what a workspace may use within a window. */
  readonly ratio: number;
  /** Beyond that, in units of cost in each window. */
  readonly slack: number;
  readonly windowMs: number;
}

/** The part of the tolerance that is given out; the rest is for counts that come late. */
const GRANTED_TOLERANCE_SHARE = 0.6;

/** What one instance has admitted for a workspace since it started. */
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
  at: Moment;
  /** What this instance admitted of late, which its peers do not know yet. */
  readonly recent: SlidingWindowSum;
}

/** How a request stands against the rate of its workspace. */
export interface QuotaDecision {
  readonly isAdmitted: boolean;
  /** True where it goes beyond the rate, within the tolerance: it has to stand behind the others. */
  readonly isOverRate: boolean;
  /** What was left for the workspace before the request. */
  readonly left: number;
  /** When to come back, in milliseconds from now, for one that is not admitted. */
  readonly retryAfterMs: number;
}

/** Admission by the rates of workspaces. */
export class Quotas {
  private readonly buckets = new Map<string, WorkspaceBucket>();
  private readonly localCosts = new Map<string, number>();
  private readonly peerUsages = new Map<string, PeerUsage>();

  /**
   * @param computeLiveRatio - the share of the fleet's instances that is heard, this one with them
   */
  constructor(
    private readonly tolerance: QuotaTolerance,
    private readonly computeLiveRatio: () => number,
    private readonly countInstances: () => number,
  ) {}

  /**
   * Admits a request and counts it, or refuses it.
   *
   * @param limit - undefined where the workspace has none
   */
  admit(workspace: string, limit: RateLimit | undefined, cost: number, now: Moment): QuotaDecision {
    if (limit === undefined) {
      const left = Number.POSITIVE_INFINITY;
      return { isAdmitted: true, isOverRate: false, left, retryAfterMs: 0 };
    }
    const rate = limit.perSecond * Math.min(1, this.computeLiveRatio() * SHARE_MARGIN);
    const bucket = this.refill(workspace, rate, limit.burst, now);
    // The peers are taken to have admitted as much of late as this instance, unheard yet.
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

  /** Takes the counts of a peer; what it admitted before it was first heard is past. */
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

  /** Lists the counts of this instance, for its peers. */
  listLocalUsage(): readonly Usage[] {
    return [...this.localCosts].map(([workspace, cost]) => ({ workspace, cost }));
  }

  private refill(workspace: string, rate: number, burst: number, now: Moment): WorkspaceBucket {
    const bucket = this.buckets.get(workspace);
    if (bucket === undefined) {
      const fullBucket = {
        tokens: burst,
        at: now,
        recent: new SlidingWindowSum(PEER_COUNT_LAG_MS),
      };
      this.buckets.set(workspace, fullBucket);
      return fullBucket;
    }
    const gained = ((now - bucket.at) * rate) / 1000;
    bucket.tokens = Math.min(burst, bucket.tokens + gained);
    bucket.at = now;
    return bucket;
  }
}
