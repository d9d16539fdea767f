/**
 * One attempt at a completion on a granted pair of engines: reserves a decode slot, prefills,
 * streams the tokens, and always releases the hold and reports the end to the scheduler.
 */
import * as E from "fp-ts/Either";
import { GrantStage } from "../control/scheduler";
import type { Moment } from "../core/clock";
import { computeRemainingMs } from "../core/clock";
import { parseIncarnation } from "../core/ids";
import { CALL_TIMEOUT_MS, type PrefillResult } from "../endpoint/engine";
import { EngineError, EngineFault } from "../endpoint/fault";
import type { Grant } from "../peer/gen/peer";
import type { Completion, NamedClass } from "./completion";
import { Decoding, formatProcess } from "./decoding";
import { callPatiently, createCancelledError } from "./enginecall";
import type { KeptStream } from "./keptstream";
import type { AttemptFinder } from "./replacement";
import type { RunnerParts } from "./runnerparts";

/** How long a prefill may take before another attempt is looked for. */
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
/** Progress of a completion, over all its attempts. */
export interface Progress {
  /** Texts of the tokens that were passed on to the caller. */
  readonly texts: string[];
  /** True once an engine may have run a part of the completion, as far as calls that have ended show. */
  mayHaveRun: boolean;
  /** Number of prefills that are under way: what their engines run is not known yet. */
  openPrefills: number;
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
export interface KvSource {
  readonly url: string;
  readonly exportId: string;
}

/** One attempt at a completion, on one grant. */
export class Attempt {
  /** True once there is work in progress that could crash an engine. */
  private hasStartedWork = false;
  /** Set once the attempt is ready to stream. */
  private source: KvSource | undefined;
  /** Set once the attempt streams. */
  private decoding: Decoding | undefined;
  /** The stream of an attempt that was begun before its run. */
  private begunStream: KeptStream | undefined;

  constructor(
    private readonly parts: RunnerParts,
    private readonly request: AttemptRequest,
    private readonly grant: Grant,
    private readonly progress: Progress,
  ) {}

  /**
   * Runs the attempt to its end.
   *
   * @param finder - finds another attempt while this one is silent
   */
  async run(finder: AttemptFinder): Promise<AttemptResult> {
    const failed = this.source === undefined ? await this.prepare(finder, () => true) : undefined;
    if (failed !== undefined) return failed;
    const { grant, source } = this;
    const url = this.findUrl(grant.decode);
    if (url === undefined || source === undefined) {
      this.begunStream?.close();
      return this.reportUnconfigured();
    }
    this.decoding ??= this.startDecoding(url, finder);
    return this.finish(await this.decoding.run(source), grant.decode, url);
  }

  /**
   * Begins to stream before the run, which is to follow; what comes until then is kept.
   *
   * @param finder - finds another attempt while this one is silent
   * @param waitMs - how long the first bytes are waited for, in milliseconds
   * @returns the error that ended the stream; undefined if the attempt may run
   */
  async begin(finder: AttemptFinder, waitMs: number): Promise<EngineError | undefined> {
    const url = this.findUrl(this.grant.decode);
    if (url === undefined || this.source === undefined) return createUnconfiguredError();
    this.decoding = this.startDecoding(url, finder);
    this.begunStream = this.decoding.begin(this.source);
    return this.begunStream.waitForStart(waitMs);
  }

  /** Ends an attempt that failed as it began. */
  async fail(error: EngineError): Promise<AttemptResult> {
    const url = this.findUrl(this.grant.decode);
    if (url === undefined) return this.reportUnconfigured();
    return this.finish(error, this.grant.decode, url);
  }

  private startDecoding(url: string, finder: AttemptFinder): Decoding {
    const { grant, parts } = this;
    const stage = GrantStage.decoding;
    parts.schedulerClient.reportProgress({ id: grant.id, stage, fault: "", engine: grant.decode });
    return new Decoding(parts, this.request, grant, this.progress, url, finder);
  }

  /**
   * Reserves a slot and prefills the prompt, in the order that the grant states.
   *
   * @param finder - finds another attempt while a call is silent
   * @param canPrefill - asked once, right before the prompt is sent
   * @returns undefined if the attempt is ready to stream; otherwise its end
   */
  async prepare(
    finder: AttemptFinder,
    canPrefill: () => boolean,
  ): Promise<AttemptResult | undefined> {
    const { grant } = this;
    const prefillUrl = this.findUrl(grant.prefill);
    const decodeUrl = this.findUrl(grant.decode);
    if (prefillUrl === undefined || decodeUrl === undefined) return this.reportUnconfigured();
    const reserveError = grant.lateReserve ? undefined : await this.reserve(decodeUrl, finder);
    if (reserveError !== undefined) return this.finish(reserveError, grant.decode, decodeUrl);
    if (!canPrefill()) return this.finish(createCancelledError(), grant.decode, decodeUrl);
    this.hasStartedWork = true;
    const prefilled = await this.prefill(prefillUrl, finder);
    if (E.isLeft(prefilled)) return this.finish(prefilled.left, grant.prefill, prefillUrl);
    const lateReserveError = grant.lateReserve ? await this.reserve(decodeUrl, finder) : undefined;
    if (lateReserveError !== undefined)
      return this.finish(lateReserveError, grant.decode, decodeUrl);
    this.source = { url: prefillUrl, exportId: prefilled.right.exportId };
    return undefined;
  }

  /** Releases the grant, and the hold if one was reserved, of an attempt that will not run. */
  giveUp(): void {
    this.begunStream?.close();
    this.parts.holdTracker.release(this.grant.id);
    this.reportEnd(createCancelledError(), "");
  }

  private findUrl(engine: string): string | undefined {
    return this.parts.board.config.read().configuration.endpoints[engine]?.url;
  }

  private reportUnconfigured(): AttemptResult {
    this.parts.holdTracker.release(this.grant.id);
    return this.reportEnd(createUnconfiguredError(), this.grant.decode);
  }

  private async reserve(url: string, finder: AttemptFinder): Promise<AttemptError> {
    const { holdTracker, engines, clock } = this.parts;
    const { id, decode } = this.grant;
    const deadline = this.request.deadline + HOLD_MARGIN_MS;
    holdTracker.track(id, url, deadline);
    const ttlMs = computeRemainingMs(deadline, clock.now());
    const request = { hold: id, owner: parseIncarnation(id), ttlMs };
    const result = await this.call(decode, CALL_TIMEOUT_MS, finder, async (signal) => {
      // Not aborted, so that a hold that is granted late is known.
      const reserved = await engines.reserve(url, request, { timeoutMs: ttlMs })();
      if (signal.aborted && E.isRight(reserved)) this.releaseLateHold(url, deadline);
      return reserved;
    });
    return E.isLeft(result) ? result.left : undefined;
  }

  private releaseLateHold(url: string, deadline: Moment): void {
    const { holdTracker } = this.parts;
    holdTracker.track(this.grant.id, url, deadline);
    holdTracker.release(this.grant.id);
  }

  private async prefill(
    url: string,
    finder: AttemptFinder,
  ): Promise<E.Either<EngineError, PrefillResult>> {
    const { completion, priorityClass } = this.request;
    const { progress, grant } = this;
    const request = {
      attempt: grant.id,
      model: completion.model,
      prompt: completion.prompt,
      continued: progress.texts.join(""),
      blocks: completion.blocks,
      priority: priorityClass.weight,
      timeoutMs: this.computeCallMs(),
    };
    progress.openPrefills += 1;
    const result = await this.call(grant.prefill, PREFILL_TIMEOUT_MS, finder, (signal) =>
      this.parts.engines.prefill(url, { ...request, signal })(),
    ).finally(() => (progress.openPrefills -= 1));
    const hasNotStarted = E.isLeft(result) && NOT_STARTED_FAULTS.has(result.left.fault);
    progress.mayHaveRun = progress.mayHaveRun || !hasNotStarted;
    if (E.isRight(result)) {
      const countedTokens = result.right.promptTokens - progress.texts.length;
      progress.promptTokens = Math.max(progress.promptTokens, countedTokens);
    }
    return result;
  }

  private call<A>(
    engine: string,
    timeoutMs: number,
    finder: AttemptFinder,
    start: (signal: AbortSignal) => Promise<E.Either<EngineError, A>>,
  ): Promise<E.Either<EngineError, A>> {
    const { clock, logger } = this.parts;
    const { signal } = this.request;
    return callPatiently({ clock, logger, engine, timeoutMs, finder, signal, start });
  }

  /** Computes the time that a call may take, which ends after the request's deadline cancels it. */
  private computeCallMs(): number {
    const deadline = this.request.deadline + HOLD_MARGIN_MS;
    return computeRemainingMs(deadline, this.parts.clock.now());
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

function createUnconfiguredError(): EngineError {
  return new EngineError(EngineFault.lost, "the endpoint is not in the configuration");
}
