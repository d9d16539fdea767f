/**
 * Runs one completion to its end: asks for engines, attempts it, and goes on elsewhere where an
 * engine or a connection is lost. The caller gets each token once.
 */
import * as E from "fp-ts/Either";
import type { Blackboard } from "../board/board";
import type { SchedulerClient } from "../control/schedulerclient";
import type { ChargeReceipt, RateLimitClient } from "../control/ratelimitclient";
import type { HoldTracker } from "../control/holds";
import { type Clock, type Moment, pause } from "../core/clock";
import { computeRemainingMs } from "../core/clock";
import type { IdGenerator } from "../core/ids";
import type { Logger } from "../core/log";
import { Metric, type Metrics } from "../core/metrics";
import { createNotRunRefusal, ExecutionStatus, Reason, Refusal } from "../core/outcome";
import { listPoolsForModel } from "../core/pools";
import type { RetryBudget } from "../core/retrybudget";
import { type EngineClient, EngineFault } from "../endpoint/engine";
import type { Grant, Refusal as BookRefusal, Want } from "../peer/gen/peer";
import { Attempt, type Progress } from "./attempt";
import { type Caller, checkCaller, isCut } from "./caller";
import type { Completion, NamedClass } from "./completion";
import type { TokenSink } from "./sink";

const MAX_ATTEMPTS = 10;
const LEAST_BACKOFF_MS = 20;
const MOST_BACKOFF_STEPS = 4;
const RETRY_AFTER_MS = 1000;

/** Faults after which the request goes elsewhere. */
const SHUNNED: ReadonlySet<EngineFault> = new Set([
  EngineFault.unreachable,
  EngineFault.down,
  EngineFault.silent,
  EngineFault.draining,
  EngineFault.refused,
  EngineFault.broken,
]);

const STATUS: Partial<Record<Reason, number>> = {
  [Reason.keyWithdrawn]: 401,
  [Reason.poison]: 422,
  [Reason.deadline]: 504,
  [Reason.cancelled]: 499,
  [Reason.interrupted]: 502,
};

/** What the runs of an instance share. */
export interface RunnerParts {
  readonly board: Blackboard;
  readonly clock: Clock;
  readonly ids: IdGenerator;
  readonly dataCentre: string;
  readonly schedulerClient: SchedulerClient;
  readonly rateLimits: RateLimitClient;
  readonly holdTracker: HoldTracker;
  readonly engines: EngineClient;
  readonly retries: RetryBudget;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** One completion to be run. */
export interface RunRequest {
  readonly id: string;
  readonly caller: Caller;
  readonly priorityClass: NamedClass;
  readonly route: string;
  readonly completion: Completion;
  /** The charge, which may still be under way. */
  readonly charge: Promise<E.Either<Refusal, ChargeReceipt>>;
  /** True where engines are asked for before the charge is granted, to save the time. */
  readonly isChargeLikely: boolean;
  readonly arrivedAt: Moment;
  readonly deadline: Moment;
}

/** The run of one completion. */
export class CompletionRun {
  private readonly abort = new AbortController();
  private readonly excluded = new Set<string>();
  private readonly crashes: string[] = [];
  private readonly progress: Progress;
  private refusal: Refusal | undefined;
  private charge: ChargeReceipt | undefined;

  constructor(
    private readonly parts: RunnerParts,
    private readonly request: RunRequest,
    private readonly sink: TokenSink,
  ) {
    this.progress = { texts: [], hasRun: false, promptTokens: request.completion.promptTokens };
  }

  /** Runs to the final answer, which the sink has got when this resolves. */
  async run(): Promise<void> {
    const { board, clock } = this.parts;
    const unlisten = board.config.subscribe(() => {
      if (isCut(board, this.request.caller)) this.cancel(Reason.keyWithdrawn);
    });
    const left = computeRemainingMs(this.request.deadline, clock.now());
    const timer = setTimeout(() => {
      this.cancel(Reason.deadline);
    }, left);
    const refusal = await this.runAttempts();
    clearTimeout(timer);
    unlisten();
    this.giveBack();
    const { promptTokens, texts } = this.progress;
    if (refusal === undefined) this.sink.finish({ promptTokens, outputTokens: texts.length });
    else this.sink.fail(refusal);
    this.sink.close();
    this.logEnd(refusal);
  }

  /** Gives the run up at once, whatever stage it is in. */
  cancel(reason: Reason): void {
    if (this.abort.signal.aborted) return;
    this.refusal = this.createFailure(reason, "the request was given up");
    this.abort.abort();
  }

  private async runAttempts(): Promise<Refusal | undefined> {
    for (let count = 0; count < MAX_ATTEMPTS; count += 1) {
      const refusal = this.checkGo();
      if (refusal !== undefined) return refusal;
      if (count > 0 && !this.takeRetry()) break;
      const grant = await (count === 0 ? this.askFirst() : this.askGrant());
      if (E.isLeft(grant)) {
        if (grant.left === undefined) continue;
        return grant.left;
      }
      const isWhole = await this.attempt(grant.right);
      if (isWhole) return undefined;
      if (this.refusal !== undefined) return this.refusal;
      if (count > 0) await pause(computeBackoffMs(count));
    }
    return this.createFailure(Reason.interrupted, "the engines failed too often", RETRY_AFTER_MS);
  }

  private takeRetry(): boolean {
    return this.parts.retries.tryConsume(this.request.route, this.parts.clock.now());
  }

  /** Nothing is sent to an engine before the charge is granted. */
  private async askFirst(): Promise<E.Either<Refusal | undefined, Grant>> {
    const early = this.request.isChargeLikely ? this.askGrant() : undefined;
    const charge = await this.request.charge;
    if (E.isRight(charge)) {
      this.charge = charge.right;
      return early ?? this.askGrant();
    }
    this.refusal ??= charge.left;
    this.abort.abort();
    const grant = await early;
    if (grant !== undefined && E.isRight(grant)) this.createAttempt(grant.right).giveBack();
    return E.left(this.refusal);
  }

  private createAttempt(grant: Grant): Attempt {
    const { completion, priorityClass, deadline, id } = this.request;
    return new Attempt(
      this.parts,
      {
        requestId: id,
        completion,
        priorityClass,
        deadline,
        signal: this.abort.signal,
        onToken: (text) => {
          this.takeToken(text);
        },
      },
      grant,
      this.progress,
    );
  }

  private async attempt(grant: Grant): Promise<boolean> {
    const attempt = this.createAttempt(grant);
    // The key may have been withdrawn while the request was in the queue.
    this.refusal ??= this.checkGo();
    if (this.refusal !== undefined) {
      attempt.giveBack();
      return false;
    }
    this.parts.metrics.count(Metric.attempt);
    const { end, engine, crashed } = await attempt.run();
    if (crashed !== undefined && !this.crashes.includes(crashed)) this.crashes.push(crashed);
    else if (end !== undefined && SHUNNED.has(end.fault)) this.excluded.add(engine);
    return end === undefined;
  }

  private takeToken(text: string): void {
    const { metrics, clock } = this.parts;
    const { arrivedAt, priorityClass } = this.request;
    if (this.progress.texts.length === 1) {
      metrics.timing(Metric.firstTokenMs, clock.now() - arrivedAt, { class: priorityClass.name });
    }
    if (!this.sink.write(text)) this.cancel(Reason.cancelled);
  }

  /** The key is checked before every dispatch, also of a retry and of what has waited. */
  private checkGo(): Refusal | undefined {
    if (this.refusal !== undefined) return this.refusal;
    const { board, clock } = this.parts;
    const now = clock.now();
    const refusal = checkCaller(board, this.request.caller, now);
    if (refusal !== undefined) {
      return this.createFailure(refusal.reason, refusal.message, refusal.retryAfterMs);
    }
    if (now >= this.request.deadline) {
      return this.createFailure(Reason.deadline, "the deadline has passed");
    }
    if (board.poison.findBan(this.request.completion.fingerprint, now) === undefined) {
      return undefined;
    }
    return this.createPoison();
  }

  private async askGrant(): Promise<E.Either<Refusal | undefined, Grant>> {
    const { board, dataCentre } = this.parts;
    const { configuration } = board.config.read();
    const pools = listPoolsForModel(configuration, this.request.completion.model, dataCentre);
    let last: BookRefusal | undefined;
    for (const pool of pools) {
      const answer = await this.waitForGrant(this.createWant(pool.name));
      if (answer === undefined) return E.left(this.refusal);
      if (E.isRight(answer)) return answer;
      last = answer.left;
      if (last.reason !== Reason.noEndpoint) break;
    }
    return E.left(this.readRefusal(last));
  }

  /** Resolves to nothing where the run is given up meanwhile. */
  private async waitForGrant(want: Want): Promise<E.Either<BookRefusal, Grant> | undefined> {
    const { signal } = this.abort;
    const { schedulerClient } = this.parts;
    if (signal.aborted) return undefined;
    return new Promise((resolve) => {
      const onAbort = () => {
        schedulerClient.cancel(want.id);
        resolve(undefined);
      };
      signal.addEventListener("abort", onAbort, { once: true });
      void schedulerClient.requestGrant(want).then((answer) => {
        signal.removeEventListener("abort", onAbort);
        resolve(answer);
      });
    });
  }

  /** Where every engine was excluded by an earlier attempt, all are tried again. */
  private readRefusal(refusal: BookRefusal | undefined): Refusal | undefined {
    if (refusal?.reason === Reason.poison) return this.createPoison();
    if (refusal?.reason === Reason.overloaded) {
      const message = "the request cannot start in time";
      return this.createFailure(Reason.overloaded, message, refusal.retryAfterMs);
    }
    if (this.excluded.size > 0) {
      this.excluded.clear();
      return undefined;
    }
    const retryAfterMs = refusal?.retryAfterMs ?? RETRY_AFTER_MS;
    return this.createFailure(Reason.noEndpoint, "no endpoint may run the request", retryAfterMs);
  }

  private createWant(pool: string): Want {
    const { request, parts, progress } = this;
    const { completion, priorityClass, arrivedAt } = request;
    const now = parts.clock.now();
    const done = progress.texts.length;
    const isResumed = done > 0;
    const left = computeRemainingMs(request.deadline, now);
    const targetMs = computeRemainingMs(arrivedAt + priorityClass.firstTokenMs, now);
    const patienceMs = computeRemainingMs(arrivedAt + priorityClass.patienceMs, now);
    return {
      id: parts.ids.next(),
      workspace: request.caller.workspace,
      class: priorityClass.name,
      model: completion.model,
      route: request.route,
      pool,
      promptTokens: completion.promptTokens + done,
      outputTokens: completion.maxTokens - done,
      firstTokenMs: isResumed ? left : targetMs,
      patienceMs: isResumed ? left : Math.min(left, patienceMs),
      blocks: completion.blocks.map((block) => block.hash),
      fingerprint: completion.fingerprint,
      dataCentre: parts.dataCentre,
      exclude: [...this.excluded],
      resumed: isResumed,
      crashes: [...this.crashes],
    };
  }

  private giveBack(): void {
    const { charge } = this;
    if (charge === undefined) return;
    const { hasRun, promptTokens, texts } = this.progress;
    const used = hasRun ? promptTokens + texts.length : 0;
    this.parts.rateLimits.refund(charge, charge.tokens - used);
  }

  private createPoison(): Refusal {
    return this.createFailure(Reason.poison, "the request crashes the endpoints that run it");
  }

  /** What has run in part is not said to be not run. */
  private createFailure(reason: Reason, message: string, retryAfterMs?: number): Refusal {
    const status = STATUS[reason] ?? 503;
    if (!this.progress.hasRun) return createNotRunRefusal(status, reason, message, retryAfterMs);
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
  return LEAST_BACKOFF_MS * 2 ** Math.min(count, MOST_BACKOFF_STEPS) * Math.random();
}
