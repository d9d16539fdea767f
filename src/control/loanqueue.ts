/**
 * Requests loans from lenders, by one call at a time for each lender and workspace. Charges that lack
 * tokens during a call wait for its answer. If the lender can't give all that was asked, it has none
 * for them either, so that a workspace over its rate costs one call and not one for each charge; else
 * the next call asks for all of them together, so that they need not wait for a round trip each.
 */
import type { Clock, Moment } from "../core/clock";
import type { Logger } from "../core/log";
import { runTask } from "../core/tasks";

/** Maximum number of loans that one call asks for, which bounds its message. */
const MAX_LOANS_PER_CALL = 64;

/** A loan as far as the queue needs to know it. */
interface LentTokens {
  /** Tokens that were lent. */
  readonly tokens: number;
}

/** What a charge asks of a lender. */
export interface LoanRequest {
  readonly id: string;
  /** Incarnation of the lending holder. */
  readonly lender: string;
  readonly workspace: string;
  /** Tokens that the charge lacks. */
  readonly tokens: number;
  /** The latest moment to call the lender: the caller doesn't wait for longer. */
  readonly deadline: Moment;
}

/**
 * Calls a lender for loans of one workspace; returns them in order, with undefined for each that it
 * does not give.
 */
export type LenderCall<L> = (
  requests: readonly [LoanRequest, ...LoanRequest[]],
) => Promise<readonly (L | undefined)[]>;

interface WaitingLoan<L extends LentTokens> {
  readonly request: LoanRequest;
  readonly resolve: (loan: L | undefined) => void;
}

/**
 * The loans that are requested and those that wait for them.
 *
 * @example
 * await queue.request({ id, lender, workspace, tokens: 20, deadline });
 */
export class LoanQueue<L extends LentTokens> {
  /** By lender and workspace, while loans are requested: the requests that wait, in order. */
  private readonly waiting = new Map<string, WaitingLoan<L>[]>();

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly callLender: LenderCall<L>,
  ) {}

  /**
   * Requests a loan; resolves to undefined if the lender has no tokens, doesn't answer, or could not
   * be called before the deadline.
   */
  request(request: LoanRequest): Promise<L | undefined> {
    const key = `${request.lender}\0${request.workspace}`;
    return new Promise((resolve) => {
      const item = { request, resolve };
      const queue = this.waiting.get(key);
      if (queue !== undefined) {
        queue.push(item);
        return;
      }
      this.waiting.set(key, []);
      void this.run(key, item);
    });
  }

  private async run(key: string, first: WaitingLoan<L>): Promise<void> {
    let batch = [first];
    while (batch.length > 0) {
      const isWhole = await this.requestTogether(batch);
      if (!isWhole) this.refuseWaiting(key);
      batch = this.waiting.get(key)?.splice(0, MAX_LOANS_PER_CALL) ?? [];
    }
    this.waiting.delete(key);
  }

  /** Requests loans by one call; returns whether the lender gave all that was asked. */
  private async requestTogether(batch: readonly WaitingLoan<L>[]): Promise<boolean> {
    const now = this.clock.now();
    const isDue = ({ request }: WaitingLoan<L>) => request.deadline > now;
    for (const item of batch) if (!isDue(item)) item.resolve(undefined);
    const due = batch.filter(isDue);
    const [first, ...others] = due.map(({ request }) => request);
    if (first === undefined) return true;
    const loans = await this.call([first, ...others]);
    for (const [index, { resolve }] of due.entries()) resolve(loans[index]);
    return due.every(({ request }, index) => (loans[index]?.tokens ?? 0) >= request.tokens);
  }

  /** Calls the lender; one whose call fails unexpectedly lends nothing. */
  private async call(
    requests: readonly [LoanRequest, ...LoanRequest[]],
  ): Promise<readonly (L | undefined)[]> {
    let loans: readonly (L | undefined)[] = [];
    await runTask("borrow", this.logger, async () => {
      loans = await this.callLender(requests);
    });
    return loans;
  }

  private refuseWaiting(key: string): void {
    for (const { resolve } of this.waiting.get(key)?.splice(0) ?? []) resolve(undefined);
  }
}
