/**
 * A token bucket that can lend.
 *
 * The level and the loans that are still unspent never exceed the burst together, so that tokens
 * held by others count as if they were still here. What a charge did not use comes back, but never
 * more than would have fitted had the charge been smaller from the start.
 */
import type { Moment } from "./clock";

/** Rate in tokens a second and burst in tokens. */
export interface BucketLimit {
  readonly rate: number;
  readonly burst: number;
}

interface Charge {
  readonly tokens: number;
  /** The highest level since the charge: no refund may lift that above the burst. */
  peak: number;
  /** For a loan that is not reported spent: when it can no longer be spent. */
  loanDeadline: Moment | undefined;
  /** After this the charge is forgotten, and nothing comes back for it. */
  readonly deadline: Moment;
}

/** A bucket of one workspace at one holder. */
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

  /** Reads the tokens at hand. */
  computeLevel(now: Moment): number {
    this.refill(now);
    return this.level;
  }

  /** Changes rate and burst. */
  setLimit(limit: BucketLimit, now: Moment): void {
    this.refill(now);
    this.limit = limit;
    this.level = Math.min(this.level, this.computeCeiling());
  }

  /** Checks whether a charge is on the books. */
  hasCharge(id: string): boolean {
    return this.charges.has(id);
  }

  /**
   * Takes tokens for a request.
   *
   * @param deadline - when the charge is forgotten
   * @returns whether there were enough; a charge of the same id is taken once
   */
  charge(id: string, tokens: number, deadline: Moment, now: Moment): boolean {
    this.refill(now);
    if (this.charges.has(id)) return true;
    if (tokens > this.level) return false;
    this.addCharge(id, tokens, undefined, deadline);
    return true;
  }

  /**
   * Lends up to `most` tokens; they count against the ceiling until they are reported spent or
   * their deadline has passed.
   *
   * @param loanDeadline - when the borrower can no longer spend them, with its margin
   * @returns the tokens lent; zero for an id seen before
   */
  lend(id: string, maxTokens: number, loanDeadline: Moment, deadline: Moment, now: Moment): number {
    this.refill(now);
    if (this.charges.has(id)) return 0;
    const tokens = Math.floor(Math.min(maxTokens, this.level));
    if (tokens <= 0) return 0;
    this.addCharge(id, tokens, loanDeadline, deadline);
    return tokens;
  }

  /** Notes that a loan has been spent. */
  markLoanSpent(id: string, now: Moment): void {
    this.refill(now);
    const charge = this.charges.get(id);
    if (charge?.loanDeadline !== undefined) this.closeLoan(charge);
  }

  /**
   * Closes a charge or a loan.
   *
   * @param unused - tokens that were not used; below zero where more were used than charged
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
   * Computes when a charge could be taken.
   *
   * @returns milliseconds from now; Infinity where it never can
   */
  computeWaitMs(tokens: number, now: Moment): number {
    this.refill(now);
    if (tokens <= this.level) return 0;
    if (tokens > this.limit.burst || this.limit.rate === 0) return Number.POSITIVE_INFINITY;
    return Math.ceil(((tokens - this.level) * 1000) / this.limit.rate);
  }

  /** Counts loans that may still be spent. */
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

  /** Levels only rise between charges, so the moments before a change are the peaks. */
  private updatePeaks(): void {
    const levelWithLoans = this.computeLevelWithLoans();
    for (const charge of this.charges.values()) charge.peak = Math.max(charge.peak, levelWithLoans);
  }

  /** Refills from one loan deadline to the next, since each raises the ceiling only from then on. */
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
    const refilled = ((until - this.refilledAt) * this.limit.rate) / 1000;
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
