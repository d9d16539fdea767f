/**
 * Charges the sends of one request to the retry budget of its service. The first send that reaches
 * an endpoint is free, and so is the first prefill that an engine accepts or may have accepted.
 */
import type { Clock } from "../../core/clock";
import type { RetryBudget } from "../../core/retrybudget";

/** Counts the sends of one request. */
export class SendBudget {
  private sends = 0;
  private hasKept = false;

  constructor(
    private readonly retries: RetryBudget,
    private readonly service: string,
    private readonly clock: Clock,
  ) {}

  /** Counts a send before it is made; returns false if the retry budget is used up. */
  tryConsume(): boolean {
    const isFirst = this.sends === 0;
    if (!isFirst && !this.retries.tryConsume(this.service, this.clock.now())) return false;
    this.sends += 1;
    return true;
  }

  /** Counts a run before it is sent; it takes the retry that is kept, if there is one. */
  tryConsumeForRun(): boolean {
    if (!this.hasKept) return this.tryConsume();
    this.hasKept = false;
    this.sends += 1;
    return true;
  }

  /** Keeps a retry for a run that may have to follow; returns false if none is left. */
  tryKeep(): boolean {
    this.hasKept ||= this.retries.tryConsume(this.service, this.clock.now());
    return this.hasKept;
  }

  /** Gives back the retry that is kept, if there is one. */
  dropKept(): void {
    if (this.hasKept) this.retries.refund(this.service, this.clock.now());
    this.hasKept = false;
  }

  /** Takes back a send that was counted and not made. */
  refund(): void {
    this.sends -= 1;
    if (this.sends > 0) this.retries.refund(this.service, this.clock.now());
  }

  /**
   * Counts a send that was made without a check of the budget; unless it is the first, it is
   * charged even if the budget is used up.
   */
  consume(): void {
    if (this.sends > 0) this.retries.consume(this.service, this.clock.now());
    this.sends += 1;
  }
}
