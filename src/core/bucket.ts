/**
 * Token bucket of one workspace, which also lends tokens to other data centres.
 *
 * The level plus the open loans never exceeds the burst, so tokens lent out count as if they were
 * still in the bucket. A settled charge refunds its unused tokens, but never more than would have
 * fitted into the bucket had the charge been smaller from the start.
 */
import { type Moment, MS_PER_SECOND } from "./clock";

/** Rate in tokens per second and burst in tokens. */
export interface BucketLimit {
  readonly rate: number;
  readonly burst: number;
}

interface Charge {
  readonly tokens: number;
  /**
   * Highest sum of the level and the open loans since the charge; a refund must not raise that sum
   * above the burst.
   */
  peak: number;
  /** For a loan not yet reported as spent: when the borrower can no longer spend it. */
  loanDeadline: Moment | undefined;
  /** After this moment the charge is removed and can no longer be refunded. */
  readonly deadline: Moment;
}

/** The token bucket of one workspace at one rate limiter. */
export class TokenBucket {
  private level: number;
  private readonly charges = new Map<string, Charge>();

  constructor(
    private limit: BucketLimit,
    private refilledAt: Moment,
    initialLevel: number,
  ) {
    this.level = Math.min(initialLevel, limit.burst);
  }

  /** Computes the tokens available now. */
  computeLevel(now: Moment): number {
    this.refill(now);
    return this.level;
  }

  /**
   * Changes rate and burst; refills at the old rate first, and caps the level at the new ceiling.
   */
  setLimit(limit: BucketLimit, now: Moment): void {
    this.refill(now);
    this.limit = limit;
    this.level = Math.min(this.level, this.computeCeiling());
  }

  /** Checks whether a charge or loan of this id is still tracked. */
  hasCharge(id: string): boolean {
    return this.charges.has(id);
  }

  /**
   * Charges a request. A second charge with the same id takes no further tokens.
   *
   * @param deadline - when the charge is removed
   * @returns whether the bucket had enough tokens, or the id had been charged before
   */
  charge(id: string, tokens: number, deadline: Moment, now: Moment): boolean {
    this.refill(now);
    if (this.charges.has(id)) return true;
    if (tokens > this.level) return false;
    this.addCharge(id, tokens, undefined, deadline);
    return true;
  }

  /**
   * Lends up to `maxTokens` tokens, rounded down. They count against the ceiling until they are
   * reported as spent or `loanDeadline` has passed.
   *
   * @param loanDeadline - when the borrower can no longer spend them, safety margin included
   * @param deadline - when the loan is removed
   * @returns the tokens lent; zero for an id that is already tracked
   */
  lend(id: string, maxTokens: number, loanDeadline: Moment, deadline: Moment, now: Moment): number {
    this.refill(now);
    if (this.charges.has(id)) return 0;
    const tokens = Math.floor(Math.min(maxTokens, this.level));
    if (tokens <= 0) return 0;
    this.addCharge(id, tokens, loanDeadline, deadline);
    return tokens;
  }

  /** Marks a loan as spent: its tokens no longer count against the ceiling. */
  markLoanSpent(id: string, now: Moment): void {
    this.refill(now);
    const charge = this.charges.get(id);
    if (charge?.loanDeadline !== undefined) this.closeLoan(charge);
  }

  /**
   * Settles and removes a charge or a loan; does nothing for an unknown id.
   *
   * @param unused - tokens to refund; negative where more were used than charged
   */
  settle(id: string, unused: number, now: Moment): void {
    this.refill(now);
    const charge = this.charges.get(id);
    if (charge === undefined) return;
    this.updatePeaks();
    this.charges.delete(id);
    if (unused < 0) {
      this.level += unused;
      return;
    }
    const isOpenLoan = charge.loanDeadline !== undefined;
    const maxRefund = isOpenLoan ? charge.tokens : Math.max(0, this.limit.burst - charge.peak);
    const refunded = Math.min(unused, charge.tokens, maxRefund, this.computeCeiling() - this.level);
    if (refunded <= 0) return;
    this.level += refunded;
    if (isOpenLoan) return;
    for (const other of this.charges.values()) other.peak += refunded;
  }

  /**
   * Computes how long until the bucket holds enough tokens for a charge.
   *
   * @returns milliseconds from now; Infinity where that is never the case
   */
  computeWaitMs(tokens: number, now: Moment): number {
    this.refill(now);
    if (tokens <= this.level) return 0;
    if (tokens > this.limit.burst || this.limit.rate === 0) return Number.POSITIVE_INFINITY;
    return Math.ceil(((tokens - this.level) * MS_PER_SECOND) / this.limit.rate);
  }

  /** Counts the loans that the borrower may still spend. */
  countOpenLoans(now: Moment): number {
    this.refill(now);
    return [...this.charges.values()].filter((charge) => charge.loanDeadline !== undefined).length;
  }

  private addCharge(
    id: string,
    tokens: number,
    loanDeadline: Moment | undefined,
    deadline: Moment,
  ): void {
    this.updatePeaks();
    this.level -= tokens;
    const charge: Charge = { tokens, peak: 0, loanDeadline, deadline };
    this.charges.set(id, charge);
    charge.peak = this.computeLevelWithLoans();
  }

  /**
   * Raises the peak of each charge to the current level. The level only rises between charges, so
   * it is at its highest right before a change.
   */
  private updatePeaks(): void {
    const levelWithLoans = this.computeLevelWithLoans();
    for (const charge of this.charges.values()) charge.peak = Math.max(charge.peak, levelWithLoans);
  }

  /**
   * Refills up to now, and removes expired loans and charges. Proceeds from one loan deadline to
   * the next, since each expiry raises the ceiling only from then on.
   */
  private refill(now: Moment): void {
    if (now <= this.refilledAt) return;
    const expiring = [...this.charges.values()]
      .filter((charge) => charge.loanDeadline !== undefined && charge.loanDeadline <= now)
      .sort((a, b) => (a.loanDeadline ?? 0) - (b.loanDeadline ?? 0));
    for (const charge of expiring) {
      this.addRefill(charge.loanDeadline ?? now);
      this.closeLoan(charge);
    }
    this.addRefill(now);
    for (const [id, charge] of this.charges) {
      if (charge.deadline <= now) this.charges.delete(id);
    }
  }

  private addRefill(until: Moment): void {
    if (until <= this.refilledAt) return;
    const refilled = ((until - this.refilledAt) * this.limit.rate) / MS_PER_SECOND;
    this.level = Math.min(this.level + refilled, Math.max(this.level, this.computeCeiling()));
    this.refilledAt = until;
    this.updatePeaks();
  }

  private closeLoan(charge: Charge): void {
    charge.loanDeadline = undefined;
    charge.peak = this.computeLevelWithLoans();
  }

  private computeLevelWithLoans(): number {
    return this.level + this.sumOpenLoans();
  }

  private sumOpenLoans(): number {
    let lent = 0;
    for (const charge of this.charges.values()) {
      if (charge.loanDeadline !== undefined) lent += charge.tokens;
    }
    return lent;
  }

  private computeCeiling(): number {
    return this.limit.burst - this.sumOpenLoans();
  }
}
