/**
 * Rates of workspaces over the whole fleet, without a message for each request: every instance
 * counts what it admitted within a sliding window and hears the counts of its peers.
 */
import type { Moment } from "../core/clock";
import type { RateLimit } from "../fleet/catalog";

/** Steps that a window is cut into; what is older than a window lapses a step at a time. */
const STEPS = 16;

/** Cost admitted within a sliding window. */
export class SlidingSum {
  private readonly sums = new Float64Array(STEPS);
  private step = 0;
  private total = 0;

  constructor(private readonly windowMs: number) {}

  add(cost: number, now: Moment): void {
    this.advance(now);
    const index = this.step % STEPS;
    this.sums[index] = (this.sums[index] ?? 0) + cost;
    this.total += cost;
  }

  read(now: Moment): number {
    this.advance(now);
    return this.total;
  }

  private advance(now: Moment): void {
    const step = Math.floor((now * STEPS) / this.windowMs);
    if (step - this.step >= STEPS) {
      this.sums.fill(0);
      this.total = 0;
      this.step = step;
      return;
    }
    while (this.step < step) {
      this.step += 1;
      const index = this.step % STEPS;
      this.total -= this.sums[index] ?? 0;
      this.sums[index] = 0;
    }
  }
}

/** What one instance admitted for a workspace within the window. */
export interface Usage {
  readonly workspace: string;
  readonly cost: number;
}

interface PeerUsage {
  readonly costs: ReadonlyMap<string, number>;
  readonly heardAt: Moment;
}

/** How a request stands against the rate of its workspace. */
export interface QuotaDecision {
  readonly isAdmitted: boolean;
  /** What all instances admitted within the window, as far as is known. */
  readonly used: number;
  /** What they may admit. */
  readonly allowed: number;
  /** When to come back, in milliseconds from now, for one that is not admitted. */
  readonly retryAfterMs: number;
}

/** How long the count of a silent peer still counts, as a multiple of the window. */
const SILENT_WINDOWS = 2;

/** Admission by the rates of workspaces. */
export class Quotas {
  private readonly own = new Map<string, SlidingSum>();
  private readonly peers = new Map<string, PeerUsage>();

  constructor(private readonly windowMs: number) {}

  /**
   * Admits a request and counts it, or refuses it.
   *
   * @param limit - undefined where the workspace has none
   */
  admit(workspace: string, limit: RateLimit | undefined, cost: number, now: Moment): QuotaDecision {
    const sum = this.findOwn(workspace);
    if (limit === undefined) {
      sum.add(cost, now);
      return { isAdmitted: true, used: 0, allowed: Number.POSITIVE_INFINITY, retryAfterMs: 0 };
    }
    const allowed = (limit.perSecond * this.windowMs) / 1000 + limit.burst;
    const used = sum.read(now) + this.readPeers(workspace, now);
    if (used + cost <= allowed) {
      sum.add(cost, now);
      return { isAdmitted: true, used, allowed, retryAfterMs: 0 };
    }
    const over = used + cost - allowed;
    const waitMs = limit.perSecond > 0 ? (over * 1000) / limit.perSecond : this.windowMs;
    return { isAdmitted: false, used, allowed, retryAfterMs: Math.min(waitMs, this.windowMs) };
  }

  /** Takes the counts of a peer. */
  take(peer: string, usages: readonly Usage[], now: Moment): void {
    const costs = new Map(usages.map((usage) => [usage.workspace, usage.cost]));
    this.peers.set(peer, { costs, heardAt: now });
  }

  /** Lists the counts of this instance, for its peers. */
  listOwn(now: Moment): readonly Usage[] {
    return [...this.own]
      .map(([workspace, sum]) => ({ workspace, cost: Math.round(sum.read(now)) }))
      .filter((usage) => usage.cost > 0);
  }

  private readPeers(workspace: string, now: Moment): number {
    let used = 0;
    for (const [peer, { costs, heardAt }] of this.peers) {
      if (now - heardAt > this.windowMs * SILENT_WINDOWS) this.peers.delete(peer);
      else used += costs.get(workspace) ?? 0;
    }
    return used;
  }

  private findOwn(workspace: string): SlidingSum {
    const known = this.own.get(workspace);
    if (known !== undefined) return known;
    const sum = new SlidingSum(this.windowMs);
    this.own.set(workspace, sum);
    return sum;
  }
}
