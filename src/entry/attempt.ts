/**
 * One attempt at a completion on a granted pair of engines: reserves the decode slot, prefills,
 * streams, and sees to it that nothing stays held.
 */
import * as E from "fp-ts/Either";
import { GrantStage } from "../control/scheduler";
import type { Moment } from "../core/clock";
import { computeRemainingMs } from "../core/clock";
import { parseIncarnation } from "../core/ids";
import { Metric } from "../core/metrics";
import { EngineError, EngineFault, type PrefillResult } from "../endpoint/engine";
import type { TokenStream } from "../endpoint/stream";
import type { Grant } from "../peer/gen/peer";
import type { Completion, NamedClass } from "./completion";
import type { RunnerParts } from "./runner";

/** How often one hold is taken up again over a new connection. */
const MAX_RECONNECTS = 3;
const PREFILL_MS = 20_000;
/** How much longer than the request a hold may stand. */
const HOLD_MARGIN_MS = 2000;

/** Faults after which no byte of work can have reached the engine, and it has no hold of ours. */
const UNTOUCHED: ReadonlySet<EngineFault> = new Set([
  EngineFault.unreachable,
  EngineFault.down,
  EngineFault.full,
  EngineFault.draining,
]);
/** Faults after which the same hold may be taken up over a new connection. */
const RECONNECT: ReadonlySet<EngineFault> = new Set([
  EngineFault.broken,
  EngineFault.silent,
  EngineFault.mismatch,
]);

/** How far a completion has come, over all its attempts. */
export interface Progress {
  /** Tokens that the caller has got. */
  readonly texts: string[];
  /** True once an engine may have run a part of it. */
  hasRun: boolean;
  promptTokens: number;
}

/** What an attempt is made for. */
export interface AttemptRequest {
  readonly requestId: string;
  readonly completion: Completion;
  readonly priorityClass: NamedClass;
  readonly deadline: Moment;
  readonly signal: AbortSignal;
  /** Takes each token once, in order. */
  onToken(text: string): void;
}

/** How an attempt ended: the fault, or nothing where the answer is whole. */
export type AttemptEnd = EngineError | undefined;

/** An ended attempt, and what its fault says of the engine. */
export interface EndedAttempt {
  readonly end: AttemptEnd;
  /** The engine at fault. */
  readonly engine: string;
  /** The process that crashed, or is likely to have, where one did. */
  readonly crashed: string | undefined;
}

/** What a probe over a new connection tells of an engine whose connection broke. */
const EngineState = {
  alive: "alive",
  /** The process is gone. */
  gone: "gone",
  /** New connections break as well. */
  lost: "lost",
} as const;
type EngineState = (typeof EngineState)[keyof typeof EngineState];

interface Source {
  readonly url: string;
  readonly exportId: string;
}

/** One attempt. */
export class Attempt {
  private stream: TokenStream | undefined;
  /** True once there is work that could crash an engine. */
  private isRunning = false;

  constructor(
    private readonly parts: RunnerParts,
    private readonly request: AttemptRequest,
    private readonly grant: Grant,
    private readonly progress: Progress,
  ) {}

  /** Runs the attempt to its end. */
  async run(): Promise<EndedAttempt> {
    const { grant } = this;
    const { endpoints } = this.parts.board.config.read().configuration;
    const prefillUrl = endpoints[grant.prefill]?.url;
    const decodeUrl = endpoints[grant.decode]?.url;
    if (prefillUrl === undefined || decodeUrl === undefined) {
      return this.report(new EngineError(EngineFault.lost, "the endpoint is gone"), grant.decode);
    }
    const reserved = grant.lateReserve ? undefined : await this.reserve(decodeUrl);
    if (reserved !== undefined) return this.finish(reserved, grant.decode, decodeUrl);
    this.isRunning = true;
    const prefilled = await this.prefill(prefillUrl);
    if (E.isLeft(prefilled)) return this.finish(prefilled.left, grant.prefill, prefillUrl);
    const late = grant.lateReserve ? await this.reserve(decodeUrl) : undefined;
    if (late !== undefined) return this.finish(late, grant.decode, decodeUrl);
    const { exportId } = prefilled.right;
    this.parts.schedulerClient.reportProgress({
      id: grant.id,
      stage: GrantStage.decoding,
      fault: "",
      engine: grant.decode,
    });
    const end = await this.decode(decodeUrl, { url: prefillUrl, exportId });
    return this.finish(end, grant.decode, decodeUrl);
  }

  /** Gives a grant back that is not used. */
  giveBack(): void {
    this.report(new EngineError(EngineFault.cancelled, "given up"), "");
  }

  private async reserve(url: string): Promise<AttemptEnd> {
    const { holdTracker, engines, clock } = this.parts;
    const { id } = this.grant;
    const deadline = this.request.deadline + HOLD_MARGIN_MS;
    holdTracker.track(id, url, deadline);
    const ttlMs = computeRemainingMs(deadline, clock.now());
    const result = await engines.reserve(url, { hold: id, owner: parseIncarnation(id), ttlMs })();
    if (this.request.signal.aborted) return new EngineError(EngineFault.cancelled, "given up");
    return E.isLeft(result) ? result.left : undefined;
  }

  private async prefill(url: string): Promise<E.Either<EngineError, PrefillResult>> {
    const { completion, priorityClass, deadline, signal } = this.request;
    const { progress } = this;
    const left = computeRemainingMs(deadline, this.parts.clock.now());
    const result = await this.parts.engines.prefill(url, {
      attempt: this.grant.id,
      model: completion.model,
      prompt: completion.prompt,
      continued: progress.texts.join(""),
      blocks: completion.blocks,
      priority: priorityClass.weight,
      timeoutMs: Math.min(PREFILL_MS, left),
      signal,
    })();
    const isUntouched = E.isLeft(result) && UNTOUCHED.has(result.left.fault);
    progress.hasRun = progress.hasRun || !isUntouched;
    if (signal.aborted) return E.left(new EngineError(EngineFault.cancelled, "given up"));
    if (E.isRight(result)) {
      const counted = result.right.promptTokens - progress.texts.length;
      progress.promptTokens = Math.max(progress.promptTokens, counted);
    }
    return result;
  }

  /** Streams, and takes the hold up again over a new connection where one broke or went silent. */
  private async decode(url: string, source: Source): Promise<AttemptEnd> {
    let end = await this.streamOnce(url, source);
    for (let reconnect = 0; reconnect < MAX_RECONNECTS; reconnect += 1) {
      if (end === undefined || !RECONNECT.has(end.fault) || this.request.signal.aborted) return end;
      const report = await this.parts.engines.fetchReport(url)();
      if (E.isLeft(report)) return end;
      if (nameProcess(this.grant.decode, report.right) !== this.grant.decodeProcess) return end;
      this.parts.metrics.count(Metric.resumed, 1, { by: "connection" });
      end = await this.streamOnce(url, undefined);
    }
    return end;
  }

  private streamOnce(url: string, source: Source | undefined): Promise<AttemptEnd> {
    const { completion, priorityClass, signal } = this.request;
    return new Promise((resolve) => {
      const finish = (end: AttemptEnd) => {
        signal.removeEventListener("abort", onAbort);
        resolve(end);
      };
      const onAbort = () => {
        this.stream?.close();
        finish(new EngineError(EngineFault.cancelled, "given up"));
      };
      signal.addEventListener("abort", onAbort, { once: true });
      const request = {
        attempt: this.grant.id,
        hold: this.grant.id,
        model: completion.model,
        ...(source === undefined ? {} : { import: source }),
        from: this.progress.texts.length,
        maxTokens: completion.maxTokens,
        priority: priorityClass.weight,
      };
      this.stream = this.parts.engines.decode(url, request, {
        onToken: (index, text) => {
          this.takeToken(index, text, finish);
        },
        onEnd: finish,
      });
    });
  }

  /** A token that came before is passed over; one that leaves a gap ends the stream. */
  private takeToken(index: number, text: string, finish: (end: AttemptEnd) => void): void {
    const { texts } = this.progress;
    if (index < texts.length) return;
    if (index > texts.length) {
      this.stream?.close();
      finish(
        new EngineError(EngineFault.mismatch, `token ${index} came after ${texts.length - 1}`),
      );
      return;
    }
    texts.push(text);
    this.request.onToken(text);
  }

  /** Releases what the attempt held, and tells the keeper how it ended. */
  private async finish(end: AttemptEnd, engine: string, url: string): Promise<EndedAttempt> {
    const { holdTracker, logger, schedulerClient } = this.parts;
    const { grant } = this;
    const isOver = end === undefined || (engine === grant.decode && UNTOUCHED.has(end.fault));
    if (isOver) holdTracker.markReleased(grant.id);
    else holdTracker.release(grant.id);
    if (end === undefined) return this.report(end, engine);
    logger.info("attempt", {
      request: this.request.requestId,
      attempt: grant.id,
      endpoint: engine,
      fault: end.fault,
      message: end.message,
    });
    const state = await this.findState(end, engine, url);
    if (state === EngineState.alive) return this.report(end, engine);
    if (!this.isRunning)
      return this.report(new EngineError(EngineFault.unreachable, end.message), engine);
    const stage = state === EngineState.gone ? GrantStage.crashed : GrantStage.likelyCrashed;
    schedulerClient.reportProgress({ id: grant.id, stage, fault: EngineFault.down, engine });
    return { end, engine, crashed: this.readProcess(engine) };
  }

  /** A crash leaves nothing listening, or another process in its place. */
  private async findState(end: EngineError, engine: string, url: string): Promise<EngineState> {
    if (end.fault !== EngineFault.broken) return EngineState.alive;
    const report = await this.parts.engines.fetchReport(url)();
    if (E.isRight(report)) {
      const isSame = nameProcess(engine, report.right) === this.readProcess(engine);
      return isSame ? EngineState.alive : EngineState.gone;
    }
    if (report.left.fault === EngineFault.down) return EngineState.gone;
    return report.left.fault === EngineFault.broken ? EngineState.lost : EngineState.alive;
  }

  private readProcess(engine: string): string {
    return engine === this.grant.prefill ? this.grant.prefillProcess : this.grant.decodeProcess;
  }

  private report(end: AttemptEnd, engine: string): EndedAttempt {
    const fault = end?.fault ?? "";
    this.parts.schedulerClient.reportProgress({
      id: this.grant.id,
      stage: GrantStage.ended,
      fault,
      engine,
    });
    return { end, engine, crashed: undefined };
  }
}

function nameProcess(engine: string, report: { readonly incarnation: string }): string {
  return `${engine}@${report.incarnation}`;
}
