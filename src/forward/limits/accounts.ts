/**
 * Decides on sends to endpoints that have named a limit, as the owner of the limit: a token bucket
 * an endpoint. It answers the load of many instances at once on one endpoint in need. A new owner
 * begins with an empty bucket, since the one before may just have used a full one.
 */
import { type Moment, MS_PER_SECOND } from "../../core/clock";
import { SlidingWindowSum } from "../../core/window";
import type { FleetSize } from "../../fleet/members";

/**
 * The least rate that is granted, in requests a second: only an answer can tell that an endpoint
 * which takes nothing takes requests again.
 */
const MIN_PER_SECOND = 0.25;
/** The least capacity: a generation needs a hold and a run, and a release may come between. */
const MIN_CAPACITY = 3;
/** The capacity, as seconds of the limit. */
const CAPACITY_S = 1;
/** Window over which asks that were denied are counted, as they will come again. */
const DENIED_WINDOW_MS = 1000;
/**
 * How long nothing is granted once an endpoint is cold, in seconds of its limit. It got requests that
 * were not counted in the second before, and a former owner may not know yet that it is replaced.
 */
const COLD_DELAY_S = 0.7;
const RETRY_AFTER_MS = { min: 20, max: 2000 } as const;
/** How long an account is kept without being asked, in milliseconds. */
const IDLE_TTL_MS = 60_000;
/** Number of accounts above which those that are idle are removed. */
const MAX_ACCOUNTS = 256;

/** The decision on a number of sends. */
export interface PermitDecision {
  readonly isGranted: boolean;
  /** When to ask again, in milliseconds from now; zero if it was granted. */
  readonly retryAfterMs: number;
}

interface Account {
  level: number;
  refilledAt: Moment;
  readonly denied: SlidingWindowSum;
  isCold: boolean;
}

/** The token buckets of the limits that this instance owns. */
export class LimitAccounts {
  private readonly accounts = new Map<string, Account>();

  /** @param readFleetSize - counts the instances that are heard and those that may be missing */
  constructor(private readonly readFleetSize: () => FleetSize) {}

  /**
   * Grants or denies a number of sends to an endpoint.
   *
   * @param perSecond - the limit for all instances together
   * @param coldBurst - the most that may be sent at once from all instances together while the
   *   endpoint is cold; undefined if it is warm
   */
  grant(
    endpoint: string,
    perSecond: number,
    count: number,
    now: Moment,
    coldBurst?: number,
  ): PermitDecision {
    const share = this.computeShare();
    const rate = Math.max(perSecond, MIN_PER_SECOND) * share;
    const account = this.findOrCreateAccount(endpoint, now);
    const seconds = (now - account.refilledAt) / MS_PER_SECOND;
    const normal = Math.max(MIN_CAPACITY, rate * CAPACITY_S);
    const capacity =
      coldBurst === undefined ? normal : Math.min(normal, Math.max(1, coldBurst * share));
    account.level = Math.min(capacity, account.level + rate * seconds);
    account.refilledAt = now;
    this.updateCold(account, coldBurst !== undefined, rate);
    // A small capacity never holds several permits; the account is overdrawn and refills first.
    if (account.level >= Math.min(count, capacity)) {
      account.level -= count;
      return { isGranted: true, retryAfterMs: 0 };
    }
    const ahead = account.denied.read(now);
    account.denied.add(count, now);
    const waitMs = ((count - account.level + ahead) / rate) * MS_PER_SECOND;
    const retryAfterMs = Math.min(RETRY_AFTER_MS.max, Math.max(RETRY_AFTER_MS.min, waitMs));
    return { isGranted: false, retryAfterMs };
  }

  /** Instances that are not heard may grant their part behind a partition. */
  private computeShare(): number {
    const { heard, missing } = this.readFleetSize();
    return heard / (heard + missing);
  }

  private updateCold(account: Account, isCold: boolean, rate: number): void {
    if (isCold && !account.isCold) account.level = Math.min(account.level, -rate * COLD_DELAY_S);
    account.isCold = isCold;
  }

  private findOrCreateAccount(endpoint: string, now: Moment): Account {
    const known = this.accounts.get(endpoint);
    if (known !== undefined) return known;
    if (this.accounts.size >= MAX_ACCOUNTS) this.removeIdle(now);
    const account = { level: 0, refilledAt: now, denied: createWindow(), isCold: false };
    this.accounts.set(endpoint, account);
    return account;
  }

  private removeIdle(now: Moment): void {
    for (const [endpoint, { refilledAt }] of this.accounts) {
      if (now - refilledAt > IDLE_TTL_MS) this.accounts.delete(endpoint);
    }
  }
}

function createWindow(): SlidingWindowSum {
  return new SlidingWindowSum(DENIED_WINDOW_MS);
}
