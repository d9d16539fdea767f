/**
 * Runs one completion to its end: requests a grant of engines, makes an attempt on them, and
 * continues on other engines where an engine or a connection is lost. The caller gets each token
 * once.
 */
import * as E from "fp-ts/Either";
import type { ChargeReceipt } from "../control/ratelimitclient";
import { type Moment, pause } from "../core/clock";
import { computeRemainingMs } from "../core/clock";
import { Metric } from "../core/metrics";
import { createNotRunRefusal, ExecutionStatus, Reason, Refusal } from "../core/outcome";
import { ReadFirstTimer } from "../core/readfirst";
import { EngineFault } from "../endpoint/fault";
import type { Grant, Refusal as BookRefusal } from "../peer/gen/peer";
import { Attempt, type AttemptResult, type Progress } from "./attempt";
import { type Caller, checkCaller, shouldCancelRunning } from "./caller";
import type { Completion, NamedClass } from "./completion";
import { type EngineHistory, GrantRequester } from "./grantrequest";
import { AttemptReplacer } from "./replacement";
import type { RunnerParts } from "./runnerparts";
import type { TokenSink } from "./sink";

const MAX_ATTEMPTS = 10;
const BASE_BACKOFF_MS = 20;
const MAX_BACKOFF_DOUBLINGS = 4;
const DEFAULT_RETRY_AFTER_MS = 1000;

/** Faults after which the engine is excluded from further attempts at the request. */
const EXCLUDING_FAULTS: ReadonlySet<EngineFault> = new Set([
  EngineFault.unreachable,
  EngineFault.down,
  EngineFault.silent,
  EngineFault.draining,
  EngineFault.refused,
  EngineFault.broken,
]);

/** HTTP statuses of refusals; 503 for every other reason. */
const STATUS_BY_REASON: Partial<Record<Reason, number>> = {
  [Reason.keyWithdrawn]: 401,
  [Reason.poison]: 422,
  [Reason.deadline]: 504,
  [Reason.cancelled]: 499,
  [Reason.interrupted]: 502,
};

/** A completion to run. */
export interface RunRequest {
  readonly id: string;
  readonly caller: Caller;
  readonly priorityClass: NamedClass;
  readonly route: string;
  readonly completion: Completion;
  /** The charge to the rate limiter, which may still be pending. */
  readonly charge: Promise<E.Either<Refusal, ChargeReceipt>>;
  /**
   * True where a grant of engines is requested before the charge is granted, to save the waiting
   * time.
   */
  readonly isChargeLikely: boolean;
  readonly arrivedAt: Moment;
  readonly deadline: Moment;
}

/** A grant, or the refusal of the request; undefined where it may be requested again at once. */
type GrantResult = E.Either<Refusal | undefined, Grant>;

/** The run of one completion. */
export class CompletionRun {
  private readonly abortController = new AbortController();
  private readonly excludedEngines = new Set<string>();
  private readonly crashedProcesses: string[] = [];
  private readonly progress: Progress;
  private readonly grants: GrantRequester;
  private readonly replacer = this.createReplacer();
  /** Attempts that have begun, also those that only wait for a grant. */
  private attemptCount = 0;
  private refusal: Refusal | undefined;
  private charge: ChargeReceipt | undefined;

  constructor(
    private readonly parts: RunnerParts,
    private readonly request: RunRequest,
    private readonly sink: TokenSink,
  ) {
    const { promptTokens } = request.completion;
    this.progress = { texts: [], mayHaveRun: false, openPrefills: 0, promptTokens };
    this.grants = new GrantRequester(parts, request, this.progress);
  }

  /** Runs to the final response; resolves once the sink has received it. */
  async run(): Promise<void> {
    const { board, clock } = this.parts;
    const unsubscribe = board.config.subscribe(() => {
      if (shouldCancelRunning(board, this.request.caller)) this.cancel(Reason.keyWithdrawn);
    });
    const remainingMs = computeRemainingMs(this.request.deadline, clock.now());
    const timer = new ReadFirstTimer(remainingMs, () => {
      this.cancel(Reason.deadline);
    });
    const refusal = await this.runAttempts().finally(() => {
      this.replacer.close();
      timer.close();
      unsubscribe();
    });
    this.refundUnused();
    const { promptTokens, texts } = this.progress;
    if (refusal === undefined) this.sink.finish({ promptTokens, outputTokens: texts.length });
    else this.sink.fail(refusal);
    this.sink.close();
    this.logEnd(refusal);
  }

  /** Cancels the run at once, at any stage; has no effect after the first call. */
  cancel(reason: Reason): void {
    if (this.abortController.signal.aborted) return;
    this.refusal = this.createRefusal(reason, "the request was given up");
    this.abortController.abort();
  }

  private async runAttempts(): Promise<Refusal | undefined> {
    for (;;) {
      const refusal = this.checkDispatch();
      if (refusal !== undefined) return refusal;
      const next = await this.findNextAttempt();
      if (E.isLeft(next)) {
        if (next.left === undefined) continue;
        return next.left;
      }
      const isComplete = await this.attempt(next.right);
      if (isComplete) return undefined;
      if (this.refusal !== undefined) return this.refusal;
      if (this.attemptCount > 1 && !this.replacer.isReady)
        await pause(computeBackoffMs(this.attemptCount - 1));
    }
  }

  /** Takes the attempt that was prepared while the last one was silent, or requests engines. */
  private async findNextAttempt(): Promise<E.Either<Refusal | undefined, Attempt>> {
    const prepared = this.replacer.take();
    if (prepared !== undefined) return E.right(prepared);
    const isFirst = this.attemptCount === 0;
    if (!isFirst && !this.tryConsumeRetry()) return E.left(this.createInterruptedRefusal());
    this.attemptCount += 1;
    const grant = await (isFirst ? this.requestFirstGrant() : this.requestGrant());
    if (E.isLeft(grant)) return grant;
    this.parts.metrics.count(Metric.attempt);
    return E.right(this.createAttempt(grant.right, this.abortController.signal));
  }

  private createInterruptedRefusal(): Refusal {
    const message = "the engines failed too often";
    return this.createRefusal(Reason.interrupted, message, DEFAULT_RETRY_AFTER_MS);
  }

  private tryConsumeRetry(): boolean {
    const { retries, clock } = this.parts;
    if (this.attemptCount >= MAX_ATTEMPTS) return false;
    return retries.tryConsume(this.request.route, clock.now());
  }

  private createReplacer(): AttemptReplacer {
    return new AttemptReplacer({
      canRunAgain: () => this.canRunAgain(),
      requestGrant: async (excluded, signal) => {
        const reply = await this.grants.requestGrant(this.listHistory(excluded), signal);
        return reply !== undefined && E.isRight(reply) ? reply.right : undefined;
      },
      createAttempt: (grant, signal) =>
        this.createAttempt(grant, AbortSignal.any([signal, this.abortController.signal])),
      tryCharge: () => this.checkDispatch() === undefined && this.tryBeginAgain(),
      onFailed: (result) => {
        this.recordFault(result);
      },
    });
  }

  private canRunAgain(): boolean {
    const { retries, clock } = this.parts;
    if (this.attemptCount >= MAX_ATTEMPTS || this.checkDispatch() !== undefined) return false;
    return retries.canConsume(this.request.route, clock.now());
  }

  private tryBeginAgain(): boolean {
    if (!this.tryConsumeRetry()) return false;
    this.attemptCount += 1;
    this.parts.metrics.count(Metric.attempt);
    return true;
  }

  /**
   * Requests the first grant, before the charge is granted where that is likely. Nothing is sent to
   * an engine before the charge is granted.
   */
  private async requestFirstGrant(): Promise<GrantResult> {
    const earlyGrant = this.request.isChargeLikely ? this.requestGrant() : undefined;
    const charge = await this.request.charge;
    if (E.isRight(charge)) {
      this.charge = charge.right;
      return earlyGrant ?? this.requestGrant();
    }
    this.refusal ??= charge.left;
    this.abortController.abort();
    const grant = await earlyGrant;
    if (grant !== undefined && E.isRight(grant))
      this.createAttempt(grant.right, this.abortController.signal).giveUp();
    return E.left(this.refusal);
  }

  private createAttempt(grant: Grant, signal: AbortSignal): Attempt {
    const { completion, priorityClass, deadline, id } = this.request;
    const onToken = (text: string) => {
      this.handleToken(text);
    };
    const request = { requestId: id, completion, priorityClass, deadline, signal, onToken };
    return new Attempt(this.parts, request, grant, this.progress);
  }

  private async attempt(attempt: Attempt): Promise<boolean> {
    // The key may have been withdrawn while the request was queued.
    this.refusal ??= this.checkDispatch();
    if (this.refusal !== undefined) {
      attempt.giveUp();
      return false;
    }
    const result = await attempt.run(this.replacer);
    this.recordFault(result);
    return result.error === undefined;
  }

  /** Keeps what a fault shows about engines for the attempts that follow. */
  private recordFault({ error, engine, crashedProcess }: AttemptResult): void {
    if (crashedProcess !== undefined && !this.crashedProcesses.includes(crashedProcess))
      this.crashedProcesses.push(crashedProcess);
    else if (error !== undefined && EXCLUDING_FAULTS.has(error.fault))
      this.excludedEngines.add(engine);
  }

  private handleToken(text: string): void {
    const { metrics, clock } = this.parts;
    const { arrivedAt, priorityClass } = this.request;
    if (this.progress.texts.length === 1) {
      metrics.timing(Metric.firstTokenMs, clock.now() - arrivedAt, { class: priorityClass.name });
    }
    if (!this.sink.write(text)) this.cancel(Reason.cancelled);
  }

  /**
   * Checks the key, the deadline and the ban on poison requests. Done before every dispatch,
   * including retries and requests that were queued.
   */
  private checkDispatch(): Refusal | undefined {
    if (this.refusal !== undefined) return this.refusal;
    const { board, clock } = this.parts;
    const now = clock.now();
    const refusal = checkCaller(board, this.request.caller, now);
    if (refusal !== undefined) {
      return this.createRefusal(refusal.reason, refusal.message, refusal.retryAfterMs);
    }
    if (now >= this.request.deadline) {
      return this.createRefusal(Reason.deadline, "the deadline has passed");
    }
    if (board.poison.findBan(this.request.completion.fingerprint, now) === undefined) {
      return undefined;
    }
    return this.createPoisonRefusal();
  }

  /** Requests a grant for the next attempt. */
  private async requestGrant(): Promise<GrantResult> {
    const { signal } = this.abortController;
    const reply = await this.grants.requestGrant(this.listHistory(undefined), signal);
    if (reply === undefined) return E.left(this.refusal);
    return E.isRight(reply) ? reply : E.left(this.createGrantRefusal(reply.left));
  }

  private listHistory(excluded: string | undefined): EngineHistory {
    const more = excluded === undefined ? [] : [excluded];
    return { excluded: [...this.excludedEngines, ...more], crashes: this.crashedProcesses };
  }

  /**
   * Maps a refused grant to the refusal of the request. Where earlier attempts have excluded every
   * engine, clears the exclusions and returns undefined, so that all engines are tried again.
   */
  private createGrantRefusal(refusal: BookRefusal | undefined): Refusal | undefined {
    if (refusal?.reason === Reason.poison) return this.createPoisonRefusal();
    if (refusal?.reason === Reason.overloaded) {
      const message = "the request cannot start in time";
      return this.createRefusal(Reason.overloaded, message, refusal.retryAfterMs);
    }
    if (this.excludedEngines.size > 0) {
      this.excludedEngines.clear();
      return undefined;
    }
    const retryAfterMs = refusal?.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
    return this.createRefusal(Reason.noEndpoint, "no endpoint may run the request", retryAfterMs);
  }

  private refundUnused(): void {
    const { charge } = this;
    if (charge === undefined) return;
    const { mayHaveRun, promptTokens, texts } = this.progress;
    const usedTokens = mayHaveRun ? promptTokens + texts.length : 0;
    this.parts.rateLimits.refund(charge, charge.tokens - usedTokens);
  }

  private createPoisonRefusal(): Refusal {
    return this.createRefusal(Reason.poison, "the request crashes the endpoints that run it");
  }

  /** Creates a refusal, which says "not run" only where no engine can have run any part. */
  private createRefusal(reason: Reason, message: string, retryAfterMs?: number): Refusal {
    const status = STATUS_BY_REASON[reason] ?? 503;
    const { mayHaveRun, openPrefills } = this.progress;
    if (!mayHaveRun && openPrefills === 0)
      return createNotRunRefusal(status, reason, message, retryAfterMs);
    return new Refusal(status, reason, ExecutionStatus.unknown, message, retryAfterMs);
  }

  private logEnd(refusal: Refusal | undefined): void {
    const { request, parts } = this;
    parts.logger.info("answer", {
      request: request.id,
      workspace: request.caller.workspace,
      class: request.priorityClass.name,
      outcome: refusal?.ran ?? ExecutionStatus.answered,
      reason: refusal?.reason ?? "",
      tokens: this.progress.texts.length,
      tookMs: Math.round(parts.clock.now() - request.arrivedAt),
    });
  }
}

function computeBackoffMs(count: number): number {
  return BASE_BACKOFF_MS * 2 ** Math.min(count, MAX_BACKOFF_DOUBLINGS) * Math.random();
}
