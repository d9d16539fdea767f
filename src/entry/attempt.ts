/**
 * One attempt at a completion on a granted pair of engines: reserves a decode slot, prefills,
 * streams the tokens, and always releases the hold and reports the end to the scheduler.
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

/** How often one hold is resumed over a new connection. */
const MAX_RECONNECTS = 3;
const PREFILL_TIMEOUT_MS = 20_000;
/** Time that a hold may outlive the deadline of its request. */
const HOLD_MARGIN_MS = 2000;

/** Faults after which the engine can have started no work and has no hold of this attempt. */
const NOT_STARTED_FAULTS: ReadonlySet<EngineFault> = new Set([
  EngineFault.unreachable,
  EngineFault.down,
  EngineFault.full,
  EngineFault.draining,
]);
/** Faults after which the same hold may be resumed over a new connection. */
const RECONNECT_FAULTS: ReadonlySet<EngineFault> = new Set([
  EngineFault.broken,
  EngineFault.silent,
  EngineFault.mismatch,
]);

/** Progress of a completion, over all its attempts. */
export interface Progress {
  /** Texts of the tokens that were passed on to the caller. */
  readonly texts: string[];
  /** True once an engine may have run a part of the completion. */
  mayHaveRun: boolean;
  promptTokens: number;
}

/** The request that an attempt serves. */
export interface AttemptRequest {
  readonly requestId: string;
  readonly completion: Completion;
  readonly priorityClass: NamedClass;
  readonly deadline: Moment;
  readonly signal: AbortSignal;
  /** Called once for each token, in order. */
  onToken(text: string): void;
}

/** The error that ended an attempt; undefined where the response is complete. */
export type AttemptError = EngineError | undefined;

/** Result of an attempt, with what its fault shows about the engine. */
export interface AttemptResult {
  readonly error: AttemptError;
  /** The engine that the error comes from; the decode engine where there is no error. */
  readonly engine: string;
  /** The engine process that crashed or is likely to have crashed; undefined where none did. */
  readonly crashedProcess: string | undefined;
}

/** Result of probing an engine over a new connection after its connection broke. */
const EngineProbeResult = {
  /** The same process responds, or the probe is inconclusive. */
  alive: "alive",
  /** The process that the work ran on no longer exists. */
  gone: "gone",
  /** New connections break as well. */
  lost: "lost",
} as const;
type EngineProbeResult = (typeof EngineProbeResult)[keyof typeof EngineProbeResult];

/** Where the decode engine fetches the KV cache of a prefill. */
interface KvSource {
  readonly url: string;
  readonly exportId: string;
}

/** One attempt at a completion, on one grant. */
export class Attempt {
  private stream: TokenStream | undefined;
  /** True once there is work in progress that could crash an engine. */
  private hasStartedWork = false;

  constructor(
    private readonly parts: RunnerParts,
    private readonly request: AttemptRequest,
    private readonly grant: Grant,
    private readonly progress: Progress,
  ) {}

  /** Runs the attempt to its end. */
  async run(): Promise<AttemptResult> {
    const { grant } = this;
    const { endpoints } = this.parts.board.config.read().configuration;
    const prefillUrl = endpoints[grant.prefill]?.url;
    const decodeUrl = endpoints[grant.decode]?.url;
    if (prefillUrl === undefined || decodeUrl === undefined) {
      return this.reportEnd(
        new EngineError(EngineFault.lost, "the endpoint is not in the configuration"),
        grant.decode,
      );
    }
    const reserveError = grant.lateReserve ? undefined : await this.reserve(decodeUrl);
    if (reserveError !== undefined) return this.finish(reserveError, grant.decode, decodeUrl);
    this.hasStartedWork = true;
    const prefilled = await this.prefill(prefillUrl);
    if (E.isLeft(prefilled)) return this.finish(prefilled.left, grant.prefill, prefillUrl);
    const lateReserveError = grant.lateReserve ? await this.reserve(decodeUrl) : undefined;
    if (lateReserveError !== undefined)
      return this.finish(lateReserveError, grant.decode, decodeUrl);
    const { exportId } = prefilled.right;
    this.parts.schedulerClient.reportProgress({
      id: grant.id,
      stage: GrantStage.decoding,
      fault: "",
      engine: grant.decode,
    });
    const error = await this.decode(decodeUrl, { url: prefillUrl, exportId });
    return this.finish(error, grant.decode, decodeUrl);
  }

  /** Returns an unused grant to the scheduler. */
  releaseGrant(): void {
    this.reportEnd(new EngineError(EngineFault.cancelled, "the attempt was cancelled"), "");
  }

  private async reserve(url: string): Promise<AttemptError> {
    const { holdTracker, engines, clock } = this.parts;
    const { id } = this.grant;
    const deadline = this.request.deadline + HOLD_MARGIN_MS;
    holdTracker.track(id, url, deadline);
    const ttlMs = computeRemainingMs(deadline, clock.now());
    const result = await engines.reserve(url, { hold: id, owner: parseIncarnation(id), ttlMs })();
    if (this.request.signal.aborted)
      return new EngineError(EngineFault.cancelled, "the attempt was cancelled");
    return E.isLeft(result) ? result.left : undefined;
  }

  private async prefill(url: string): Promise<E.Either<EngineError, PrefillResult>> {
    const { completion, priorityClass, deadline, signal } = this.request;
    const { progress } = this;
    const remainingMs = computeRemainingMs(deadline, this.parts.clock.now());
    const result = await this.parts.engines.prefill(url, {
      attempt: this.grant.id,
      model: completion.model,
      prompt: completion.prompt,
      continued: progress.texts.join(""),
      blocks: completion.blocks,
      priority: priorityClass.weight,
      timeoutMs: Math.min(PREFILL_TIMEOUT_MS, remainingMs),
      signal,
    })();
    const hasNotStarted = E.isLeft(result) && NOT_STARTED_FAULTS.has(result.left.fault);
    progress.mayHaveRun = progress.mayHaveRun || !hasNotStarted;
    if (signal.aborted)
      return E.left(new EngineError(EngineFault.cancelled, "the attempt was cancelled"));
    if (E.isRight(result)) {
      const countedTokens = result.right.promptTokens - progress.texts.length;
      progress.promptTokens = Math.max(progress.promptTokens, countedTokens);
    }
    return result;
  }

  /**
   * Streams the tokens. Where the connection breaks or goes silent, takes up the hold again over a new
   * one, as long as the granted process still runs.
   */
  private async decode(url: string, source: KvSource): Promise<AttemptError> {
    let error = await this.streamOnce(url, source);
    for (let reconnect = 0; reconnect < MAX_RECONNECTS; reconnect += 1) {
      if (error === undefined || !RECONNECT_FAULTS.has(error.fault) || this.request.signal.aborted)
        return error;
      const report = await this.parts.engines.fetchReport(url)();
      if (E.isLeft(report)) return error;
      if (formatProcess(this.grant.decode, report.right) !== this.grant.decodeProcess) return error;
      this.parts.metrics.count(Metric.resumed, 1, { by: "connection" });
      error = await this.streamOnce(url, undefined);
    }
    return error;
  }

  private streamOnce(url: string, source: KvSource | undefined): Promise<AttemptError> {
    const { completion, priorityClass, signal } = this.request;
    return new Promise((resolve) => {
      const finish = (error: AttemptError) => {
        signal.removeEventListener("abort", onAbort);
        resolve(error);
      };
      const onAbort = () => {
        this.stream?.close();
        finish(new EngineError(EngineFault.cancelled, "the attempt was cancelled"));
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
          this.handleToken(index, text, finish);
        },
        onEnd: finish,
      });
    });
  }

  /** Ignores a token that was received before; a token that leaves a gap ends the stream. */
  private handleToken(index: number, text: string, finish: (error: AttemptError) => void): void {
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

  /** Releases the hold and reports the end of the attempt, or a crash, to the scheduler. */
  private async finish(error: AttemptError, engine: string, url: string): Promise<AttemptResult> {
    const { holdTracker, logger, schedulerClient } = this.parts;
    const { grant } = this;
    const isHoldReleased =
      error === undefined || (engine === grant.decode && NOT_STARTED_FAULTS.has(error.fault));
    if (isHoldReleased) holdTracker.markReleased(grant.id);
    else holdTracker.release(grant.id);
    if (error === undefined) return this.reportEnd(error, engine);
    logger.info("attempt", {
      request: this.request.requestId,
      attempt: grant.id,
      endpoint: engine,
      fault: error.fault,
      message: error.message,
    });
    const probeResult = await this.probeEngine(error, engine, url);
    if (probeResult === EngineProbeResult.alive) return this.reportEnd(error, engine);
    if (!this.hasStartedWork)
      return this.reportEnd(new EngineError(EngineFault.unreachable, error.message), engine);
    const stage =
      probeResult === EngineProbeResult.gone ? GrantStage.crashed : GrantStage.likelyCrashed;
    schedulerClient.reportProgress({ id: grant.id, stage, fault: EngineFault.down, engine });
    return { error, engine, crashedProcess: this.getGrantedProcess(engine) };
  }

  /**
   * Finds out whether the engine crashed: after a crash nothing listens, or another process does.
   */
  private async probeEngine(
    error: EngineError,
    engine: string,
    url: string,
  ): Promise<EngineProbeResult> {
    if (error.fault !== EngineFault.broken) return EngineProbeResult.alive;
    const report = await this.parts.engines.fetchReport(url)();
    if (E.isRight(report)) {
      const isSameProcess = formatProcess(engine, report.right) === this.getGrantedProcess(engine);
      return isSameProcess ? EngineProbeResult.alive : EngineProbeResult.gone;
    }
    if (report.left.fault === EngineFault.down) return EngineProbeResult.gone;
    return report.left.fault === EngineFault.broken
      ? EngineProbeResult.lost
      : EngineProbeResult.alive;
  }

  private getGrantedProcess(engine: string): string {
    return engine === this.grant.prefill ? this.grant.prefillProcess : this.grant.decodeProcess;
  }

  private reportEnd(error: AttemptError, engine: string): AttemptResult {
    const fault = error?.fault ?? "";
    this.parts.schedulerClient.reportProgress({
      id: this.grant.id,
      stage: GrantStage.ended,
      fault,
      engine,
    });
    return { error, engine, crashedProcess: undefined };
  }
}

function formatProcess(engine: string, report: { readonly incarnation: string }): string {
  return `${engine}@${report.incarnation}`;
}
