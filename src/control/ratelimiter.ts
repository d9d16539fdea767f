/**
 * Rate limiter for a data centre's share of every workspace's rate and burst.
 *
 * The log names the instance that has the buckets, the holder; as long as it is named, the tokens
 * of the data centre exist on it alone. A successor starts with empty buckets or with the tokens
 * handed over to it, and with a full bucket only where the share was never in use before.
 */
import * as E from "fp-ts/Either";
import type { Blackboard } from "../board/board";
import { TokenBucket, type BucketLimit } from "../core/bucket";
import { type Clock, type Moment, MS_PER_SECOND } from "../core/clock";
import { type DutyAssignment, Duty, findAssignment } from "../core/duties";
import type {
  ChargeReply,
  ChargeRequest,
  HandOverRequest,
  LendReply,
  LendRequest,
  Level,
  SettleRequest,
} from "../peer/gen/peer";
import type { PeerTransport } from "../peer/transport";
import { parseInstance } from "../core/ids";
import type { Logger } from "../core/log";
import { type LenderCall, LoanQueue } from "./loanqueue";
import { findInstanceAddress, type InstanceIdentity } from "./membership";

/** How long the borrower may spend a loan, counted from its request. */
const LOAN_TTL_MS = 1000;
/** How much longer the lender counts the loan, so that it never expires there first. */
const LOAN_MARGIN_MS = 500;
const LEND_TIMEOUT_MS = 400;
const SETTLE_TIMEOUT_MS = 1000;
/** How long a lender that did not answer is skipped. */
const LENDER_COOLDOWN_MS = 2000;
/** How long after a charge its tokens may be refunded. */
const CHARGE_TTL_MS = 600_000;
const MIN_RETRY_AFTER_MS = 50;

/** Reason in the reply of an instance that the log does not name as the holder. */
export const NOT_THE_HOLDER = "not the holder";

/** A loan of tokens for one charge that is waiting for them. */
interface Loan {
  readonly id: string;
  /** Incarnation of the lending holder. */
  readonly lender: string;
  readonly tokens: number;
  /** When the loan can no longer be spent, counted from before it was requested. */
  readonly deadline: Moment;
}

/** The tokens of a granted charge: from the local bucket, and from loans. */
interface GrantedCharge {
  readonly local: number;
  readonly loans: readonly Loan[];
  readonly deadline: Moment;
}

/** Charges the local buckets, borrows from and lends to the holders of other data centres. */
export class RateLimiter {
  private readonly buckets = new Map<string, TokenBucket>();
  private readonly grantedCharges = new Map<string, GrantedCharge>();
  /** Until when a lender that did not answer is skipped, by incarnation. */
  private readonly skippedUntil = new Map<string, Moment>();
  private readonly loanQueue: LoanQueue<Loan>;
  /** By workspace, the local tokens that charges which wait for loans count on. */
  private readonly promisedTokens = new Map<string, number>();
  /** Tokens handed over by the predecessor that are not in a bucket yet. */
  private handedOverLevels: readonly Level[] = [];
  /** Offset of the record from which on this instance has had the buckets without interruption. */
  private ownedSince: number | undefined;
  private isStopped = false;

  constructor(
    private readonly board: Blackboard,
    private readonly self: InstanceIdentity,
    private readonly transport: PeerTransport,
    private readonly clock: Clock,
    logger: Logger,
  ) {
    this.loanQueue = new LoanQueue(clock, logger, (requests) => this.requestLoans(requests));
  }

  /**
   * Charges a workspace, with loans from other data centres where the local tokens do not suffice.
   * A repeated charge that was already granted is granted again without a second charge to the
   * bucket.
   *
   * @returns whether the charge was granted, and when to retry where it was not
   */
  async charge(request: ChargeRequest): Promise<ChargeReply> {
    const { chargeId, workspace, tokens } = request;
    const bucket = this.findBucket(workspace);
    if (bucket === undefined) return { granted: false, retryAfterMs: 0, reason: NOT_THE_HOLDER };
    if (this.grantedCharges.has(chargeId)) return { granted: true, retryAfterMs: 0, reason: "" };
    const now = this.clock.now();
    if (this.chargeBucket(bucket, chargeId, tokens, [], now)) {
      return { granted: true, retryAfterMs: 0, reason: "" };
    }
    const loans = await this.borrowMissing(request, bucket.computeLevel(now));
    if (this.chargeWithLoans(chargeId, workspace, tokens, loans))
      return { granted: true, retryAfterMs: 0, reason: "" };
    for (const loan of loans) this.settleLoan(workspace, loan, false, loan.tokens);
    return {
      granted: false,
      retryAfterMs: this.computeRetryAfterMs(workspace, tokens, loans),
      reason: "over the rate",
    };
  }

  /** Lends for each charge that the holder of another data centre asks for in one call. */
  lendAll({ loanId, workspace, tokens, further }: LendRequest): LendReply {
    return {
      tokens: this.lend(loanId, workspace, tokens),
      furtherTokens: further.map((loan) => this.lend(loan.loanId, workspace, loan.tokens)),
    };
  }

  /** Lends up to `tokens` to the holder of another data centre; returns the number lent. */
  lend(id: string, workspace: string, tokens: number): number {
    const bucket = this.findBucket(workspace);
    if (bucket === undefined) return 0;
    const now = this.clock.now();
    return bucket.lend(id, tokens, now + LOAN_TTL_MS + LOAN_MARGIN_MS, now + CHARGE_TTL_MS, now);
  }

  /**
   * Records that a loan was spent, or closes a charge or a loan and returns its unused tokens to
   * the buckets that they came from.
   */
  settle(request: SettleRequest): void {
    const bucket = this.findBucket(request.workspace);
    if (bucket === undefined) return;
    const now = this.clock.now();
    if (request.spent) bucket.markLoanSpent(request.chargeId, now);
    if (!request.closed) return;
    const charge = this.grantedCharges.get(request.chargeId);
    if (charge === undefined) {
      bucket.settle(request.chargeId, request.unused, now);
      return;
    }
    this.grantedCharges.delete(request.chargeId);
    const localRefund =
      request.unused < 0 ? request.unused : Math.min(request.unused, charge.local);
    bucket.settle(request.chargeId, localRefund, now);
    let unusedLeft = Math.max(0, request.unused - localRefund);
    for (const loan of charge.loans) {
      const unused = Math.min(unusedLeft, loan.tokens);
      unusedLeft -= unused;
      this.settleLoan(request.workspace, loan, true, unused);
    }
  }

  /** True while this instance has any buckets. */
  get hasBuckets(): boolean {
    return this.buckets.size > 0;
  }

  /**
   * Stops granting and removes the buckets.
   *
   * @returns the level of each bucket without open loans, for the successor
   */
  stopGranting(): readonly Level[] {
    const now = this.clock.now();
    const levels = [...this.buckets]
      .filter(([, bucket]) => bucket.countOpenLoans(now) === 0)
      .map(([workspace, bucket]) => ({
        workspace,
        tokens: Math.floor(Math.max(0, bucket.computeLevel(now))),
      }));
    this.isStopped = true;
    this.buckets.clear();
    return levels;
  }

  /**
   * Accepts the tokens that the predecessor hands over; they take effect once the log names this
   * instance.
   *
   * @returns false where the sender is not the current holder of this data centre
   */
  acceptHandOver(request: HandOverRequest): boolean {
    const current = this.findDuty();
    if (this.isStopped || request.dataCentre !== this.self.dataCentre) return false;
    if (current?.incarnation !== request.from || request.from === this.self.incarnation)
      return false;
    this.handedOverLevels = request.levels;
    return true;
  }

  /** Removes expired charges that were never closed. */
  prune(): void {
    const now = this.clock.now();
    for (const [id, charge] of this.grantedCharges)
      if (charge.deadline <= now) this.grantedCharges.delete(id);
  }

  private findDuty(): DutyAssignment | undefined {
    return findAssignment(this.board.duties.read(), Duty.holder, this.self.dataCentre);
  }

  /**
   * Finds the bucket of a workspace, if this instance is the holder. Called in the same event-loop
   * turn as every operation on a bucket, since the duty may have moved to another instance before.
   */
  private findBucket(workspace: string): TokenBucket | undefined {
    const duty = this.findDuty();
    if (this.isStopped || duty?.incarnation !== this.self.incarnation) return undefined;
    if (this.ownedSince !== duty.since) {
      this.buckets.clear();
      this.ownedSince = duty.since;
    }
    const limit = this.readLimit(workspace);
    if (limit === undefined) return undefined;
    const now = this.clock.now();
    const existing = this.buckets.get(workspace);
    if (existing === undefined) return this.createBucket(workspace, limit, duty, now);
    existing.setLimit(limit, now);
    return existing;
  }

  private createBucket(
    workspace: string,
    limit: BucketLimit,
    duty: DutyAssignment,
    now: Moment,
  ): TokenBucket {
    const { workspacesFirstSeen, dataCentresFirstSeen } = this.board.config.read();
    const workspaceSeen = workspacesFirstSeen[workspace] ?? 0;
    const dataCentreSeen = dataCentresFirstSeen[this.self.dataCentre] ?? Number.POSITIVE_INFINITY;
    const isFirst = duty.epoch === 1 || workspaceSeen > duty.since;
    const isUnused = isFirst && workspaceSeen >= dataCentreSeen;
    const handedOverTokens =
      this.handedOverLevels.find((level) => level.workspace === workspace)?.tokens ?? 0;
    const bucket = new TokenBucket(limit, now, isUnused ? limit.burst : handedOverTokens);
    this.handedOverLevels = this.handedOverLevels.filter((level) => level.workspace !== workspace);
    this.buckets.set(workspace, bucket);
    return bucket;
  }

  private readLimit(workspace: string): BucketLimit | undefined {
    const { workspaces, dataCentres } = this.board.config.read().configuration;
    const settings = workspaces[workspace];
    const dataCentreCount = Object.keys(dataCentres).length;
    if (settings === undefined || !Object.hasOwn(dataCentres, this.self.dataCentre))
      return undefined;
    return { rate: settings.rate / dataCentreCount, burst: settings.burst / dataCentreCount };
  }

  private chargeBucket(
    bucket: TokenBucket,
    id: string,
    tokens: number,
    loans: readonly Loan[],
    now: Moment,
  ): boolean {
    const borrowed = loans.reduce((sum, loan) => sum + loan.tokens, 0);
    const local = Math.max(0, tokens - borrowed);
    const deadline = now + CHARGE_TTL_MS;
    if (!bucket.charge(id, local, deadline, now)) return false;
    this.grantedCharges.set(id, { local, loans, deadline });
    return true;
  }

  /**
   * Spends loans and local tokens in one event-loop turn, and only before every loan's deadline.
   */
  private chargeWithLoans(
    id: string,
    workspace: string,
    tokens: number,
    loans: readonly Loan[],
  ): boolean {
    const bucket = this.findBucket(workspace);
    const now = this.clock.now();
    if (bucket === undefined || loans.some((loan) => loan.deadline <= now)) return false;
    if (!this.chargeBucket(bucket, id, tokens, loans, now)) return false;
    for (const loan of loans) this.reportSpent(workspace, loan);
    return true;
  }

  /** Borrows what a charge lacks beside local tokens that no other charge waits with. */
  private async borrowMissing(request: ChargeRequest, level: number): Promise<readonly Loan[]> {
    const { workspace, tokens } = request;
    const promised = this.promisedTokens.get(workspace) ?? 0;
    const local = Math.min(tokens, Math.max(0, Math.floor(level - promised)));
    this.changePromised(workspace, local);
    try {
      return await this.borrow(request, tokens - local);
    } finally {
      this.changePromised(workspace, -local);
    }
  }

  private changePromised(workspace: string, change: number): void {
    const promised = (this.promisedTokens.get(workspace) ?? 0) + change;
    if (promised > 0) this.promisedTokens.set(workspace, promised);
    else this.promisedTokens.delete(workspace);
  }

  private async borrow(request: ChargeRequest, missing: number): Promise<readonly Loan[]> {
    const loans: Loan[] = [];
    let stillMissing = missing;
    for (const lender of this.listLenders()) {
      if (stillMissing <= 0) break;
      const loan = await this.loanQueue.request({
        id: `${request.chargeId}@${this.self.dataCentre}`,
        lender,
        workspace: request.workspace,
        tokens: stillMissing,
        deadline: this.clock.now() + LEND_TIMEOUT_MS,
      });
      if (loan === undefined) continue;
      loans.push(loan);
      stillMissing -= loan.tokens;
    }
    return loans;
  }

  /** Requests the loans of several charges of a workspace from one lender. */
  private readonly requestLoans: LenderCall<Loan> = async (requests) => {
    const [{ id, lender, workspace, tokens }, ...others] = requests;
    const address = findInstanceAddress(this.board, parseInstance(lender));
    if (address === undefined) return [];
    const deadline = this.clock.now() + LOAN_TTL_MS;
    const further = others.map((other) => ({ loanId: other.id, tokens: other.tokens }));
    const reply = await this.transport.lend(
      address,
      { loanId: id, workspace, tokens, further },
      LEND_TIMEOUT_MS,
    )();
    if (E.isLeft(reply)) {
      this.skippedUntil.set(lender, this.clock.now() + LENDER_COOLDOWN_MS);
      return [];
    }
    const lent = [reply.right.tokens, ...reply.right.furtherTokens];
    return requests.map((request, index) => {
      const lentTokens = lent[index] ?? 0;
      return lentTokens > 0 ? { id: request.id, lender, tokens: lentTokens, deadline } : undefined;
    });
  };

  private listLenders(): readonly string[] {
    const now = this.clock.now();
    return [...this.board.duties.read().values()]
      .filter((item) => item.duty === Duty.holder && item.dataCentre !== this.self.dataCentre)
      .map((item) => item.incarnation)
      .filter((incarnation) => (this.skippedUntil.get(incarnation) ?? 0) <= now);
  }

  private reportSpent(workspace: string, loan: Loan): void {
    this.sendSettle(loan.lender, {
      chargeId: loan.id,
      workspace,
      spent: true,
      closed: false,
      unused: 0,
    });
  }

  private settleLoan(workspace: string, loan: Loan, spent: boolean, unused: number): void {
    this.sendSettle(loan.lender, { chargeId: loan.id, workspace, spent, closed: true, unused });
  }

  /** Sends a settlement once: a lost one loses tokens but never creates any. */
  private sendSettle(lender: string, request: SettleRequest): void {
    const address = findInstanceAddress(this.board, parseInstance(lender));
    if (address !== undefined) void this.transport.settle(address, request, SETTLE_TIMEOUT_MS)();
  }

  private computeRetryAfterMs(workspace: string, tokens: number, loans: readonly Loan[]): number {
    const settings = this.board.config.read().configuration.workspaces[workspace];
    const bucket = this.findBucket(workspace);
    if (settings === undefined || bucket === undefined || settings.rate === 0) return 0;
    const borrowed = loans.reduce((sum, loan) => sum + loan.tokens, 0);
    const missing = tokens - borrowed - bucket.computeLevel(this.clock.now());
    return Math.max(MIN_RETRY_AFTER_MS, Math.ceil((missing * MS_PER_SECOND) / settings.rate));
  }
}
