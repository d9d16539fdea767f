/**
 * Holds a data centre's part of every workspace's rate and burst.
 *
 * The log names the holder. While it is named, its tokens are here and nowhere else. A successor
 * starts empty, unless the rights were never in use before it.
 */
import * as E from "fp-ts/Either";
import type { Blackboard } from "../board/board";
import { TokenBucket, type BucketLimit } from "../core/bucket";
import type { Clock, Moment } from "../core/clock";
import { type DutyAssignment, Duty, findAssignment } from "../core/duties";
import type {
  ChargeReply,
  ChargeRequest,
  HandOverRequest,
  Level,
  SettleRequest,
} from "../peer/gen/peer";
import type { PeerTransport } from "../peer/transport";
import { parseInstance } from "../core/ids";
import { findInstanceAddress, type InstanceIdentity } from "./membership";

/** How long a loan may be spent by the borrower. */
const LOAN_MS = 1000;
/** How much later the lender forgets it. */
const LOAN_MARGIN_MS = 500;
const LEND_CALL_MS = 400;
const SETTLE_CALL_MS = 1000;
/** How long a lender that did not answer is passed over. */
const LENDER_PAUSE_MS = 2000;
/** How long a charge may be given back. */
const CHARGE_MS = 600_000;
const LEAST_RETRY_MS = 50;

/** The answer of an instance that the log does not name. */
export const NOT_THE_HOLDER = "not the holder";

/** A loan for a request that waits now. */
interface Loan {
  readonly id: string;
  readonly lender: string;
  readonly tokens: number;
  /** When it can no longer be spent, counted from before it was asked for. */
  readonly deadline: Moment;
}

/** What a granted charge was made of. */
interface Granted {
  readonly local: number;
  readonly loans: readonly Loan[];
  readonly deadline: Moment;
}

/** Holds and lends tokens. */
export class RateLimiter {
  private readonly buckets = new Map<string, TokenBucket>();
  private readonly granted = new Map<string, Granted>();
  private readonly paused = new Map<string, Moment>();
  private handed: readonly Level[] = [];
  /** The offset since which the buckets have been ours. */
  private since: number | undefined;
  private isStopped = false;

  constructor(
    private readonly board: Blackboard,
    private readonly self: InstanceIdentity,
    private readonly transport: PeerTransport,
    private readonly clock: Clock,
  ) {}

  /**
   * Charges a workspace, with loans from other data centres where the tokens here do not reach.
   *
   * @returns whether it was granted, and when to come back where it was not
   */
  async charge(request: ChargeRequest): Promise<ChargeReply> {
    const { chargeId, workspace, tokens } = request;
    const bucket = this.findBucket(workspace);
    if (bucket === undefined) return { granted: false, retryAfterMs: 0, reason: NOT_THE_HOLDER };
    if (this.granted.has(chargeId)) return { granted: true, retryAfterMs: 0, reason: "" };
    const now = this.clock.now();
    if (this.take(bucket, chargeId, tokens, [], now)) {
      return { granted: true, retryAfterMs: 0, reason: "" };
    }
    const loans = await this.borrow(
      request,
      tokens - Math.max(0, Math.floor(bucket.computeLevel(now))),
    );
    if (this.spend(chargeId, workspace, tokens, loans))
      return { granted: true, retryAfterMs: 0, reason: "" };
    for (const loan of loans) this.settleLoan(workspace, loan, false, loan.tokens);
    return {
      granted: false,
      retryAfterMs: this.computeWait(workspace, tokens, loans),
      reason: "over the rate",
    };
  }

  /** Lends tokens to the holder of another data centre. */
  lend(id: string, workspace: string, tokens: number): number {
    const bucket = this.findBucket(workspace);
    if (bucket === undefined) return 0;
    const now = this.clock.now();
    return bucket.lend(id, tokens, now + LOAN_MS + LOAN_MARGIN_MS, now + CHARGE_MS, now);
  }

  /** Notes that a loan was spent, or closes a charge or a loan and takes back what was not used. */
  settle(request: SettleRequest): void {
    const bucket = this.findBucket(request.workspace);
    if (bucket === undefined) return;
    const now = this.clock.now();
    if (request.spent) bucket.markLoanSpent(request.chargeId, now);
    if (!request.closed) return;
    const granted = this.granted.get(request.chargeId);
    if (granted === undefined) {
      bucket.settle(request.chargeId, request.unused, now);
      return;
    }
    this.granted.delete(request.chargeId);
    const toLocal = request.unused < 0 ? request.unused : Math.min(request.unused, granted.local);
    bucket.settle(request.chargeId, toLocal, now);
    let left = Math.max(0, request.unused - toLocal);
    for (const loan of granted.loans) {
      const unused = Math.min(left, loan.tokens);
      left -= unused;
      this.settleLoan(request.workspace, loan, true, unused);
    }
  }

  /** True while there are tokens here. */
  get hasBuckets(): boolean {
    return this.buckets.size > 0;
  }

  /** Stops granting and gives up the tokens, for a successor to take. */
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

  /** Takes the tokens that a predecessor gave up; they count once the log names this instance. */
  acceptHandOver(request: HandOverRequest): boolean {
    const present = this.findDuty();
    if (this.isStopped || request.dataCentre !== this.self.dataCentre) return false;
    if (present?.incarnation !== request.from || request.from === this.self.incarnation)
      return false;
    this.handed = request.levels;
    return true;
  }

  /** Forgets charges that nobody closed. */
  prune(): void {
    const now = this.clock.now();
    for (const [id, granted] of this.granted) if (granted.deadline <= now) this.granted.delete(id);
  }

  private findDuty(): DutyAssignment | undefined {
    return findAssignment(this.board.duties.read(), Duty.holder, this.self.dataCentre);
  }

  /** Checked in the same turn as every act on a bucket. */
  private findBucket(workspace: string): TokenBucket | undefined {
    const duty = this.findDuty();
    if (this.isStopped || duty?.incarnation !== this.self.incarnation) return undefined;
    if (this.since !== duty.since) {
      this.buckets.clear();
      this.since = duty.since;
    }
    const limit = this.readLimit(workspace);
    if (limit === undefined) return undefined;
    const now = this.clock.now();
    const known = this.buckets.get(workspace);
    if (known === undefined) return this.createBucket(workspace, limit, duty, now);
    known.setLimit(limit, now);
    return known;
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
    const handed = this.handed.find((level) => level.workspace === workspace)?.tokens ?? 0;
    const bucket = new TokenBucket(limit, now, isUnused ? limit.burst : handed);
    this.handed = this.handed.filter((level) => level.workspace !== workspace);
    this.buckets.set(workspace, bucket);
    return bucket;
  }

  private readLimit(workspace: string): BucketLimit | undefined {
    const { workspaces, dataCentres } = this.board.config.read().configuration;
    const settings = workspaces[workspace];
    const parts = Object.keys(dataCentres).length;
    if (settings === undefined || !Object.hasOwn(dataCentres, this.self.dataCentre))
      return undefined;
    return { rate: settings.rate / parts, burst: settings.burst / parts };
  }

  private take(
    bucket: TokenBucket,
    id: string,
    tokens: number,
    loans: readonly Loan[],
    now: Moment,
  ): boolean {
    const lent = loans.reduce((sum, loan) => sum + loan.tokens, 0);
    const local = Math.max(0, tokens - lent);
    const deadline = now + CHARGE_MS;
    if (!bucket.charge(id, local, deadline, now)) return false;
    this.granted.set(id, { local, loans, deadline });
    return true;
  }

  /** Spends loans and own tokens in one turn, and only before every loan's deadline. */
  private spend(id: string, workspace: string, tokens: number, loans: readonly Loan[]): boolean {
    const bucket = this.findBucket(workspace);
    const now = this.clock.now();
    if (bucket === undefined || loans.some((loan) => loan.deadline <= now)) return false;
    if (!this.take(bucket, id, tokens, loans, now)) return false;
    for (const loan of loans) this.reportSpent(workspace, loan);
    return true;
  }

  private async borrow(request: ChargeRequest, missing: number): Promise<readonly Loan[]> {
    const loans: Loan[] = [];
    let left = missing;
    for (const lender of this.listLenders()) {
      if (left <= 0) break;
      const loan = await this.askLoan(lender, request, left);
      if (loan === undefined) continue;
      loans.push(loan);
      left -= loan.tokens;
    }
    return loans;
  }

  private async askLoan(
    lender: string,
    request: ChargeRequest,
    tokens: number,
  ): Promise<Loan | undefined> {
    const address = findInstanceAddress(this.board, parseInstance(lender));
    if (address === undefined) return undefined;
    const askedAt = this.clock.now();
    const id = `${request.chargeId}@${this.self.dataCentre}`;
    const { workspace } = request;
    const reply = await this.transport.lend(
      address,
      { loanId: id, workspace, tokens },
      LEND_CALL_MS,
    )();
    if (E.isLeft(reply)) {
      this.paused.set(lender, this.clock.now() + LENDER_PAUSE_MS);
      return undefined;
    }
    if (reply.right.tokens <= 0) return undefined;
    return { id, lender, tokens: reply.right.tokens, deadline: askedAt + LOAN_MS };
  }

  private listLenders(): readonly string[] {
    const now = this.clock.now();
    return [...this.board.duties.read().values()]
      .filter((item) => item.duty === Duty.holder && item.dataCentre !== this.self.dataCentre)
      .map((item) => item.incarnation)
      .filter((incarnation) => (this.paused.get(incarnation) ?? 0) <= now);
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

  /** A settlement that is lost loses tokens and makes none. */
  private sendSettle(lender: string, request: SettleRequest): void {
    const address = findInstanceAddress(this.board, parseInstance(lender));
    if (address !== undefined) void this.transport.settle(address, request, SETTLE_CALL_MS)();
  }

  private computeWait(workspace: string, tokens: number, loans: readonly Loan[]): number {
    const settings = this.board.config.read().configuration.workspaces[workspace];
    const bucket = this.findBucket(workspace);
    if (settings === undefined || bucket === undefined || settings.rate === 0) return 0;
    const lent = loans.reduce((sum, loan) => sum + loan.tokens, 0);
    const missing = tokens - lent - bucket.computeLevel(this.clock.now());
    return Math.max(LEAST_RETRY_MS, Math.ceil((missing * 1000) / settings.rate));
  }
}
