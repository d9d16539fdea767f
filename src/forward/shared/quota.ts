/**
 * Accounts of workspaces. Each workspace has one instance of the fleet as the owner of its account,
 * which knows the exact level; the others ask it (see charges.ts). Every instance also keeps a
 * replica of each account from what its peers report, so that it can take over as owner, admit
 * without asking while the level is high, and go on within its share while no owner answers.
 *
 * A rate is exceeded when a workspace uses more than its rate and burst allow and the tolerance
 * besides within a window. The tolerance is divided: parts of it raise the refill and the capacity
 * of the account, the rest covers what the owner cannot know yet.
 */
import { type Moment, MS_PER_SECOND } from "../../core/clock";
import { SlidingWindowSum } from "../../core/window";
import type { RateLimit } from "../../fleet/config";
import type { FleetSize } from "../../fleet/members";
import { chooseBaseline } from "../../peer/numbers";

/** How late the counts of peers may be, in milliseconds; a little more than a heartbeat interval. */
export const PEER_COUNT_LAG_MS = 640;
/** The same through relays: a member, its relay and another relay each report four times a second. */
export const RELAYED_COUNT_LAG_MS = 900;

/** Stands for all peers whose counts come in one sum, through relays. */
export const RELAYED_PEERS = "(relayed)";

/** Parts of the tolerance; together they are at most 1. */
const TOLERANCE_SHARES = {
  /** Raises the refill, over a window. */
  refill: 0.55,
  /** Raises the capacity. */
  capacity: 0.2,
  /** Covers what instances admit without asking the owner, in the time until it hears of it. */
  unasked: 0.1,
  /** Covers the level with which an account begins, while its use before the start is unknown. */
  start: 0.1,
  /** Covers the refill of the sides of a partition, as their shares are rounded up. */
  partition: 0.05,
} as const;

/** Maximum factor by which an instance that doesn't hear all its peers may exceed its share. */
const MAX_SHARE_MARGIN = 1.3;

/** How far the fleet may exceed rates while the counts of its instances are in transit. */
export interface QuotaTolerance {
  /** A share of the cost that a workspace may use within a window. */
  readonly ratio: number;
  /** Additional tolerance for each window, in units of cost. */
  readonly slack: number;
  readonly windowMs: number;
}

/** The total cost that one instance has admitted for a workspace since it started. */
export interface Usage {
  readonly workspace: string;
  readonly cost: number;
}

/** A peer that asks the owner, with its count of the account before it asks. */
export interface ChargingPeer {
  readonly instance: string;
  readonly incarnation: string;
  /** Cost that it has admitted for the workspace since it started. */
  readonly totalCost: number;
}

interface PeerUsage {
  readonly incarnation: string;
  /** By workspace: the peer's count that is charged already, or UNREAD_COST. */
  readonly costs: Map<string, number>;
  /** True once it has reported all its counts; one that it does not report is zero from then on. */
  hasReported: boolean;
}

/** The refill and the capacity of an account, with the parts of the tolerance that raise them. */
interface AccountLimit {
  readonly refillPerSecond: number;
  readonly capacity: number;
  readonly tolerance: number;
}

interface Account {
  level: number;
  /** Level by rate and burst alone: a request beyond it is over the rate. */
  ratedLevel: number;
  refilledAt: Moment;
  /** Cost that this instance admitted without asking, and that peers may not know yet. */
  readonly unasked: SlidingWindowSum;
  /** What this instance may admit while no owner answers. */
  share: number;
}

/** The decision on a request by the rate of its workspace. */
export interface QuotaDecision {
  readonly isAdmitted: boolean;
  /**
   * True if the request exceeds the rate. One that is admitted all the same is within the
   * tolerance, and requests within their rate go first.
   */
  readonly isOverRate: boolean;
  /** Level of the account before the request; negative where peers used more than was known. */
  readonly levelBefore: number;
  /** Retry delay in milliseconds, for a request that is not admitted. */
  readonly retryAfterMs: number;
}

/** The decision on a request of a workspace without a limit. */
export const UNLIMITED: QuotaDecision = {
  isAdmitted: true,
  isOverRate: false,
  levelBefore: Number.POSITIVE_INFINITY,
  retryAfterMs: 0,
};

/** Keeps the accounts of all workspaces. */
export class Quotas {
  private readonly accounts = new Map<string, Account>();
  private readonly localCosts = new Map<string, number>();
  private readonly peerUsages = new Map<string, PeerUsage>();

  /** @param startedAt - when this process started */
  constructor(
    private readonly tolerance: QuotaTolerance,
    private readonly readFleetSize: () => FleetSize,
    private readonly startedAt: Moment,
    /** Reads how late the counts of peers may be, in milliseconds. */
    private readonly readCountLagMs: () => number = () => PEER_COUNT_LAG_MS,
  ) {}

  /**
   * Admits a request without asking the owner, if the account is so high that it stays high even if
   * each peer does the same at this moment.
   *
   * @returns undefined if the owner has to decide
   */
  admitUnasked(
    workspace: string,
    limit: RateLimit,
    cost: number,
    now: Moment,
  ): QuotaDecision | undefined {
    const account = this.findOrCreateAccount(workspace, limit, now);
    const { capacity, tolerance } = this.computeAccountLimit(limit);
    const floor = Math.max(0, capacity - tolerance * TOLERANCE_SHARES.unasked);
    if (account.level - this.computeFleetUse(account, cost, now) < floor) return undefined;
    return this.admitLocally(workspace, account, cost, now);
  }

  /** Decides as the owner of the account, on a request that arrived at this instance. */
  admitAsOwner(workspace: string, limit: RateLimit, cost: number, now: Moment): QuotaDecision {
    const decision = this.grant(workspace, limit, cost, now);
    if (decision.isAdmitted) this.addLocalCost(workspace, cost);
    return decision;
  }

  /**
   * Decides as the owner of the account, on requests that arrived at a peer. They are counted as
   * part of what the peer reports, so its next report does not charge them again.
   *
   * @param costs - the costs of the requests, in their order
   */
  admitForPeer(
    peer: ChargingPeer,
    workspace: string,
    limit: RateLimit,
    costs: readonly number[],
    now: Moment,
  ): readonly QuotaDecision[] {
    this.findOrCreateAccount(workspace, limit, now);
    const usage = this.findOrCreatePeerUsage(peer.instance, peer.incarnation);
    this.chargeReport(usage, workspace, peer.totalCost);
    return costs.map((cost) => {
      const decision = this.grant(workspace, limit, cost, now);
      if (decision.isAdmitted) {
        usage.costs.set(workspace, (usage.costs.get(workspace) ?? 0) + cost);
      }
      return decision;
    });
  }

  /** Counts a request that the owner admitted for this instance. */
  recordGrant(workspace: string, limit: RateLimit, cost: number, now: Moment): void {
    charge(this.findOrCreateAccount(workspace, limit, now), cost);
    this.addLocalCost(workspace, cost);
  }

  /**
   * Decides within this instance's share, while the owner of the account does not answer. All
   * instances of the fleet together refill their shares at the rate, whoever else serves.
   */
  admitByShare(workspace: string, limit: RateLimit, cost: number, now: Moment): QuotaDecision {
    const account = this.findOrCreateAccount(workspace, limit, now);
    const { share, level } = account;
    if (cost <= share) {
      account.share -= cost;
      return this.admitLocally(workspace, account, cost, now);
    }
    const { refillPerSecond } = this.computeAccountLimit(limit);
    const retryAfterMs = computeRefillMs(cost - share, refillPerSecond / this.countInstances());
    return { isAdmitted: false, isOverRate: true, levelBefore: level, retryAfterMs };
  }

  /**
   * Charges what a peer admitted since its last report. Its first report, and the first after its
   * restart, only set the baseline: what it admitted before is not charged.
   */
  applyPeerUsage(peer: string, incarnation: string, usages: readonly Usage[]): void {
    const usage = this.findOrCreatePeerUsage(peer, incarnation);
    for (const { workspace, cost } of usages) this.chargeReport(usage, workspace, cost);
    usage.hasReported = true;
  }

  /** Lists the total costs admitted by this instance, to be sent to peers. */
  listLocalUsage(): readonly Usage[] {
    return [...this.localCosts].map(([workspace, cost]) => ({ workspace, cost }));
  }

  /** Returns the cost that this instance has admitted for a workspace since it started. */
  readLocalCost(workspace: string): number {
    return this.localCosts.get(workspace) ?? 0;
  }

  private grant(workspace: string, limit: RateLimit, cost: number, now: Moment): QuotaDecision {
    const account = this.findOrCreateAccount(workspace, limit, now);
    const { level } = account;
    if (cost <= level) return charge(account, cost);
    const { refillPerSecond } = this.computeAccountLimit(limit);
    const refill = refillPerSecond * this.computeHeardShare(limit);
    const retryAfterMs = computeRefillMs(cost - level, refill);
    return { isAdmitted: false, isOverRate: true, levelBefore: level, retryAfterMs };
  }

  private admitLocally(
    workspace: string,
    account: Account,
    cost: number,
    now: Moment,
  ): QuotaDecision {
    account.unasked.add(cost, now);
    this.addLocalCost(workspace, cost);
    return charge(account, cost);
  }

  /**
   * Computes what the fleet will have used in the time until peers report it, if each of them admits
   * as much without asking as this instance has, with the request that it decides on.
   */
  private computeFleetUse(account: Account, cost: number, now: Moment): number {
    const known = account.unasked.read(now);
    return (known + cost) * this.countInstances() - known;
  }

  /**
   * Computes refill and capacity so that with the parts of the tolerance that are not given, no
   * window is over: window x refill + capacity is at most what the rate allows in a window.
   */
  private computeAccountLimit({ perSecond, burst }: RateLimit): AccountLimit {
    const { ratio, slack, windowMs } = this.tolerance;
    const windowSeconds = windowMs / MS_PER_SECOND;
    const tolerance = (perSecond * windowSeconds + burst) * ratio + slack;
    return {
      refillPerSecond: perSecond + (tolerance * TOLERANCE_SHARES.refill) / windowSeconds,
      capacity: burst + tolerance * TOLERANCE_SHARES.capacity,
      tolerance,
    };
  }

  /**
   * Computes the part of refill and capacity that the instances which this one hears may use: a
   * little more than their share, as the others may serve behind a partition.
   */
  private computeHeardShare(limit: RateLimit): number {
    const { heard, missing } = this.readFleetSize();
    if (missing === 0) return 1;
    const { refillPerSecond, tolerance } = this.computeAccountLimit(limit);
    const windowRefill = (refillPerSecond * this.tolerance.windowMs) / MS_PER_SECOND;
    const margin = 1 + (tolerance * TOLERANCE_SHARES.partition) / Math.max(1, windowRefill);
    return Math.min(1, (heard / (heard + missing)) * Math.min(margin, MAX_SHARE_MARGIN));
  }

  private countInstances(): number {
    const { heard, missing } = this.readFleetSize();
    return heard + missing;
  }

  /**
   * Charges the part of a peer's count that is not charged yet; counts only rise. The first count of
   * a peer that is new here is the baseline, as is the first that can be read after one that can't.
   */
  private chargeReport(usage: PeerUsage, workspace: string, totalCost: number): void {
    const told = usage.costs.get(workspace);
    const known = chooseBaseline(told, totalCost, !usage.hasReported);
    if (told !== undefined && !(totalCost > told || Number.isNaN(told))) return;
    usage.costs.set(workspace, Number.isNaN(totalCost) ? known : totalCost);
    const account = this.accounts.get(workspace);
    if (account !== undefined && totalCost > known) charge(account, totalCost - known);
  }

  private addLocalCost(workspace: string, cost: number): void {
    this.localCosts.set(workspace, this.readLocalCost(workspace) + cost);
  }

  private findOrCreatePeerUsage(peer: string, incarnation: string): PeerUsage {
    const known = this.peerUsages.get(peer);
    if (known?.incarnation === incarnation) return known;
    const usage = { incarnation, costs: new Map<string, number>(), hasReported: false };
    this.peerUsages.set(peer, usage);
    return usage;
  }

  /** Finds an account and refills it. */
  private findOrCreateAccount(workspace: string, limit: RateLimit, now: Moment): Account {
    const account = this.accounts.get(workspace) ?? this.createAccount(workspace, limit);
    const { refillPerSecond, capacity, tolerance } = this.computeAccountLimit(limit);
    const instances = this.countInstances();
    const heardShare = this.computeHeardShare(limit);
    const seconds = (now - account.refilledAt) / MS_PER_SECOND;
    const refill = seconds * refillPerSecond;
    const maxShare = (tolerance * TOLERANCE_SHARES.unasked) / instances;
    account.level = Math.min(capacity * heardShare, account.level + refill * heardShare);
    account.ratedLevel = Math.min(limit.burst, account.ratedLevel + seconds * limit.perSecond);
    account.ratedLevel = Math.max(-limit.burst, account.ratedLevel);
    account.share = Math.min(maxShare, account.share + refill / instances);
    account.refilledAt = now;
    return account;
  }

  /**
   * Creates an account as it would be had it existed since this process started. It does not begin
   * full: the processes before this one may have used the capacity just now. If the whole fleet was
   * restarted, each instance begins with its part.
   */
  private createAccount(workspace: string, limit: RateLimit): Account {
    const { capacity, tolerance } = this.computeAccountLimit(limit);
    const startLevel = (tolerance * TOLERANCE_SHARES.start) / this.countInstances();
    const account = {
      level: Math.min(capacity, startLevel),
      ratedLevel: limit.burst,
      refilledAt: this.startedAt,
      unasked: new SlidingWindowSum(this.readCountLagMs()),
      share: 0,
    };
    this.accounts.set(workspace, account);
    return account;
  }
}

function charge(account: Account, cost: number): QuotaDecision {
  const { level, ratedLevel } = account;
  account.level -= cost;
  account.ratedLevel -= cost;
  return { isAdmitted: true, isOverRate: ratedLevel < cost, levelBefore: level, retryAfterMs: 0 };
}

function computeRefillMs(cost: number, perSecond: number): number {
  return perSecond > 0 ? (cost * MS_PER_SECOND) / perSecond : 0;
}
