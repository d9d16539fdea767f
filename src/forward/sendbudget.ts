/**
 * Counts the sends of one request as the retry budget does: the first that reaches an endpoint is
 * free, and so is the first prefill that an engine accepts.
 */
import type { Clock } from "../core/clock";
import type { RetryBudget } from "../core/retrybudget";

/** The sends of one request. */
export class SendBudget {
  private sends = 0;

  constructor(
    private readonly retries: RetryBudget,
    private readonly service: string,
    private readonly clock: Clock,
  ) {}

  /** Counts a send that is about to go out; false where the budget has no repeat left for it. */
  tryConsume(): boolean {
    const isFirst = this.sends === 0;
    if (!isFirst && !this.retries.tryConsume(this.service, this.clock.now())) return false;
    this.sends += 1;
    return true;
  }

  /** Counts a send that went out as free and proved not to be. */
  consume(): void {
    if (this.sends > 0) this.retries.consume(this.service, this.clock.now());
    this.sends += 1;
  }
}
