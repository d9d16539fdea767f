/**
 * Runs a generation: reserves memory at a decode engine, has the prompt read by a prefill engine,
 * and streams from the decode engine. A resumable stream that breaks continues on another engine
 * after its last whole event.
 */
import * as E from "fp-ts/Either";
import { computeRemainingMs, type Moment, pause } from "../../core/clock";
import type { Refusal } from "../../core/outcome";
import { runTask } from "../../core/tasks";
import type { EngineLimits } from "../../fleet/config";
import type { EndpointEntry } from "../../fleet/entries";
import {
  DeadlineSignal,
  type BufferedResponse,
  type CacheSource,
  type ForwardRequest,
  RequestStage,
  type StageRecorder,
} from "../requests";
import { type RefusalTracker, canGoOn } from "../shared";
import { SendBudget } from "./sendbudget";
import { createUnsentAbortResult, hasRun, TryEnd, type TryResult } from "./tries";
import { type ForwardContext, type RequestTimes, createSuspect, isInRegions } from "../endpoints";
import { Decoder, type StreamSink } from "./decode";
import type {
  Arrivals,
  EngineLoadTracker,
  EngineModel,
  Reservation,
  ReservationQueue,
} from "../engines";
import { createCancelledRefusal } from "../../core/outcome";
import { Prefiller } from "./prefill";
import { EngineReplacer, readSilentRunState, SilentRunState } from "./replacement";
import type { StreamStart } from "./resume";
import { type ReplacementSearch, RunReserver } from "./runreserver";
import { RunSender } from "./runsender";
import type { SentRun, TryStart } from "./sentrun";
import { StreamForm } from "./streamform";
import { createStreamRefusal } from "./streamrefusal";
import { TryRecorder } from "./tryrecorder";

/** Maximum number of engines tried for one generation, including those that did not run it. */
const MAX_TRIES = 5;
/**
 * How long an engine that was silent and grants a hold has to go on with its run before it is asked
 * to run the generation anew, in milliseconds: it may have stood still and just gone on.
 */
const WAKE_GRACE_MS = 150;
/**
 * Time that has to be left for a run in place of a silent one, in milliseconds: with less, the silent
 * one is the likelier to end in time, as it needs no first event.
 */
const MIN_REPLACEMENT_MS = 650;
/** How long after its deadline a stream is cut off, in milliseconds. */
const DEADLINE_GRACE_MS = 120;
/** The result of a run that an unexpected error ended; its engine may have run it. */
const FAULT_RESULT: TryResult = { end: TryEnd.broken, message: "an unexpected error ended it" };

/** Dependencies that all generations of an instance share. */
export interface StreamParts {
  readonly context: ForwardContext;
  readonly reservations: ReservationQueue;
  readonly engineLoad: EngineLoadTracker;
  readonly engineModel: EngineModel;
  readonly arrivals: Arrivals;
  readonly refusals: RefusalTracker;
}

/** Runs one generation, over all its tries. */
export class StreamRun {
  private readonly sendBudget: SendBudget;
  private readonly reserver: RunReserver;
  private readonly recorder: TryRecorder;
  private readonly prefiller: Prefiller;
  private readonly sender: RunSender;
  private readonly decoder: Decoder;
  private readonly replacer: EngineReplacer;
  private readonly form = new StreamForm();
  /** Number of tries, including those at engines that did not run the generation. */
  private tries = 0;
  /** The present or last run. */
  private currentRun: SentRun | undefined;
  /** Number of ended runs that may have run the generation, without one that its caller left. */
  runs = 0;
  /** True once the stream to the caller was cut before its end. */
  isCut = false;
  private message = "no engine has room";
  /** The last error response; final if no run completes. */
  private failedResponse: BufferedResponse | undefined;
  /** True once the final response is known. */
  private isEnded = false;
  /** Reservations whose load is off their engines: a step that throws may have a try ended twice. */
  private readonly unloaded = new WeakSet<Reservation>();
  private readonly request: ForwardRequest;
  /** True if the caller takes up a stream that began in an earlier request of its. */
  private readonly isTakenUp: boolean;

  constructor(
    private readonly parts: StreamParts,
    start: StreamStart,
    limits: EngineLimits,
    private readonly times: RequestTimes,
    private readonly caller: AbortSignal,
    private readonly sink: StreamSink,
    private readonly stages: StageRecorder,
  ) {
    const { context, reservations, engineLoad, engineModel, arrivals } = parts;
    const { request, origin } = start;
    const { service } = request;
    this.request = request;
    this.isTakenUp = origin !== undefined;
    const listViews = (now: Moment) =>
      reservations
        .listViews(service, now)
        .filter(({ endpoint }) => isInRegions(context, request.allowedRegions, endpoint));
    this.sendBudget = new SendBudget(context.retries, service, context.clock);
    this.reserver = new RunReserver(parts, request, limits, times);
    this.recorder = new TryRecorder(context, request, times);
    const prefillParts = { context, engineLoad, engineModel, arrivals, listViews };
    this.sender = new RunSender(parts, request, times, this.form);
    this.decoder = new Decoder(parts, this.sender, start, times, sink, this.form);
    this.prefiller = new Prefiller(prefillParts, request, limits, times, this.sendBudget);
    this.replacer = this.createReplacer();
  }

  /**
   * Runs the generation until its final response.
   *
   * @returns the response still to be sent; undefined if it went out through the sink
   */
  async run(): Promise<E.Either<Refusal, BufferedResponse> | undefined> {
    const response = await this.runTries().finally(() => {
      this.close();
    });
    if (response === undefined || this.decoder.firstEventAt === undefined) return response;
    // Once events were sent, only a closed connection tells the caller that the stream is incomplete.
    this.isCut = true;
    this.sink.cut();
    return undefined;
  }

  private close(): void {
    this.isEnded = true;
    this.replacer.close();
    this.prefiller.close();
    this.sendBudget.dropKept();
  }

  private async runTries(): Promise<E.Either<Refusal, BufferedResponse> | undefined> {
    for (this.tries = 1; this.tries <= MAX_TRIES; this.tries += 1) {
      const replacement = this.replacer.take();
      const result =
        replacement === undefined ? await this.tryEngine() : await this.followRun(replacement);
      if (result === undefined) break;
      this.message = result.message;
      if (result.end === TryEnd.callerGone) return E.left(createCancelledRefusal());
      this.recordRun(result);
      if (result.end === TryEnd.complete) return undefined;
      if (!this.canRetry(result.end)) break;
      this.recorder.recordRetry(result, this.runs, this.decoder);
    }
    // A run that was sent and not taken is no longer needed, and counts.
    this.replacer.close();
    const { failedResponse } = this;
    return failedResponse === undefined ? E.left(this.createRefusal()) : E.right(failedResponse);
  }

  private recordRun({ end, response }: TryResult): void {
    if (hasRun(end)) this.runs += 1;
    this.failedResponse = response ?? this.failedResponse;
  }

  private canRetry(end: TryEnd): boolean {
    if (end === TryEnd.timeUp || end === TryEnd.unsent || end === TryEnd.banned) return false;
    if (this.parts.context.clock.now() >= this.times.deadline) return false;
    if (this.isBanned()) return false;
    if (end === TryEnd.notRun) return true;
    return this.sender.isResumable && this.runs < this.request.route.maxAttempts;
  }

  /** True if an engine may have written events already, for this request or an earlier one. */
  private get hasStarted(): boolean {
    return this.runs > 0 || this.isTakenUp;
  }

  private isBanned(): boolean {
    const { clock, crashes } = this.parts.context;
    return crashes.findBan(createSuspect(this.request), clock.now()) !== undefined;
  }

  private reserve(
    signal: AbortSignal,
    search?: ReplacementSearch,
  ): Promise<Reservation | undefined> {
    return this.reserver.reserve(
      {
        hasStarted: search !== undefined || this.hasStarted,
        cachedEngineId: this.sender.cachedEngineId,
        origin: this.decoder.origin,
        search,
      },
      signal,
    );
  }

  private createReplacer(): EngineReplacer {
    const { context } = this.parts;
    return new EngineReplacer({
      canRunAgain: () => this.canRunAgain(),
      judgeSilentRun: () => readSilentRunState(context, this.currentRun),
      isAtSilentEngine: ({ endpoint }) => endpoint.id === this.currentRun?.endpoint.id,
      reserve: (mayBeSame, signal) => this.reserveReplacement(mayBeSame, signal),
      tryCharge: () => this.sendBudget.tryConsume(),
      tryKeepRetry: (sent) => this.tryKeepRetry(sent),
      refund: () => {
        this.sendBudget.refund();
      },
      prepare: (reservation, signal) => this.prepare(reservation, signal),
      canUse: (reservation) =>
        this.canUse(reservation) && this.hasTimeToReplace() && this.beginRun() === undefined,
      release: (reservation) => {
        this.releaseEngine(reservation);
      },
      discard: (start) => {
        this.discard(start);
      },
      send: (start) => this.send(start, this.runs + 2),
      finish: (sent) => this.recordBeside(sent, this.sender.readResult(sent)),
      withdraw: (sent) => {
        sent.abort();
        void runTask("record a withdrawn run", context.logger, () =>
          this.recordBeside(sent, this.sender.readWithdrawn(sent)),
        );
      },
    });
  }

  private tryKeepRetry(sent: SentRun): boolean {
    if (!this.sendBudget.tryKeep()) return false;
    void sent.opened.then((opened) => {
      if (E.isRight(opened) && this.form.matches(opened.right.head)) this.sendBudget.dropKept();
    });
    return true;
  }

  /** Checks whether a run may follow the present one, which counts as a run too. */
  private canRunAgain(): boolean {
    const { clock, retries } = this.parts.context;
    const now = clock.now();
    if (this.tries >= MAX_TRIES || this.runs + 1 >= this.request.route.maxAttempts) return false;
    if (!retries.canConsume(this.request.service, now)) return false;
    return this.hasTimeToReplace() && !this.isBanned();
  }

  /** Checks whether another run could end in time; one whose run is gone has nothing to lose. */
  private hasTimeToReplace(): boolean {
    const { context } = this.parts;
    const leftMs = computeRemainingMs(this.times.deadline, context.clock.now());
    const isGone = readSilentRunState(context, this.currentRun) === SilentRunState.gone;
    return leftMs >= (isGone ? 1 : MIN_REPLACEMENT_MS);
  }

  private async reserveReplacement(
    mayBeSame: boolean,
    signal: AbortSignal,
  ): Promise<Reservation | undefined> {
    const silentEngineId = this.currentRun?.endpoint.id;
    const reservation = await this.reserve(signal, { silentEngineId, mayBeSame });
    const isSame = reservation?.endpoint.id === silentEngineId;
    if (reservation !== undefined && isSame) await pause(WAKE_GRACE_MS);
    return reservation;
  }

  /**
   * Records the end of a run that was sent while another one was silent, and that does not take its
   * place. Until the end is known, it counts as a run.
   */
  private async recordBeside(sent: SentRun, ending: Promise<TryResult>): Promise<void> {
    this.tries += 1;
    this.runs += 1;
    let result = FAULT_RESULT;
    try {
      result = await ending;
    } catch (error) {
      sent.abort();
      throw error;
    } finally {
      this.runs -= 1;
      // The retry budget and the deadline bound those that did not run it.
      if (!hasRun(result.end)) this.tries -= 1;
      this.recordRun(result);
      this.finishRun(sent, result);
    }
    this.recorder.recordRepeat(result);
  }

  private releaseEngine(reservation: Reservation): void {
    if (this.removeLoad(reservation)) this.parts.reservations.release(reservation);
  }

  /** Takes the load of a reservation off its engine; returns false if that was done before. */
  private removeLoad(reservation: Reservation): boolean {
    if (this.unloaded.has(reservation)) return false;
    this.unloaded.add(reservation);
    const { endpoint, needTokens } = reservation;
    this.parts.engineLoad.addLocalWork(endpoint.id, -needTokens, 0, -1);
    return true;
  }

  /** Releases what a try holds of which no run was sent. */
  private discard({ engine, deadlineSignal }: TryStart): void {
    deadlineSignal.close();
    this.releaseEngine(engine.reservation);
    this.keepSource(engine.source);
  }

  /** Keeps a prompt that was read for the next try, if there may be one. */
  private keepSource(source: CacheSource | undefined): void {
    if (this.isEnded) this.prefiller.release(source);
    else if (source !== undefined) this.prefiller.keep(source);
  }

  private createDeadlineSignal(caller: AbortSignal): DeadlineSignal {
    const { clock } = this.parts.context;
    return new DeadlineSignal(clock, this.times.deadline + DEADLINE_GRACE_MS, caller);
  }

  /** Tries the next engine that has room; returns undefined if there is none. */
  private async tryEngine(): Promise<TryResult | undefined> {
    this.stages.enter(RequestStage.reservation);
    const reservation = await this.reserve(this.caller);
    if (reservation === undefined) {
      if (!this.caller.aborted) return undefined;
      return { end: TryEnd.callerGone, message: "the caller has left" };
    }
    this.stages.enter(RequestStage.prefill);
    const start = await this.prepare(reservation);
    const begun = this.begin(start);
    if (E.isRight(begun)) return this.followRun(begun.right);
    this.finishTry(start, begun.left);
    return begun.left;
  }

  /** Sends a run, or tells why none may be sent; if that throws, nothing is left at the engines. */
  private begin(start: TryStart): E.Either<TryResult, SentRun> {
    let isCharged = false;
    try {
      const stopped = this.stopBeforeSend(start);
      if (stopped !== undefined) return E.left(stopped);
      isCharged = true;
      return E.right(this.send(start, this.runs + 1));
    } catch (error) {
      if (isCharged) this.sendBudget.refund();
      this.discard(start);
      throw error;
    }
  }

  /** Forwards the stream of a run that was sent, to its end. */
  private async followRun(sent: SentRun): Promise<TryResult> {
    this.currentRun = sent;
    this.stages.enter(RequestStage.head);
    try {
      const result = await this.decoder.follow(sent, this.replacer);
      this.finishRun(sent, result);
      return result;
    } catch (error) {
      sent.abort();
      this.finishTry(sent.start, FAULT_RESULT);
      throw error;
    }
  }

  private finishRun({ start }: SentRun, result: TryResult): void {
    if (result.end === TryEnd.notRun) this.keepSource(start.engine.source);
    this.finishTry(start, result);
  }

  /** Ends a try; does nothing if it has ended. */
  private finishTry(start: TryStart, result: TryResult): void {
    start.deadlineSignal.close();
    if (!this.removeLoad(start.engine.reservation)) return;
    this.parts.reservations.dispatchWaiting();
    this.recorder.record(start, result, this.decoder);
  }

  /**
   * Has the prompt read for a decode engine. Before a stream goes on there the engine is asked which
   * process it is: it may be another one by then, of another version.
   *
   * @param search - aborted when the silent run that the engine would replace goes on or ends
   */
  private async prepare(reservation: Reservation, search?: AbortSignal): Promise<TryStart> {
    const { clock } = this.parts.context;
    const startedAt = clock.now();
    const deadlineSignal = this.createDeadlineSignal(this.caller);
    const searchSignal = search && this.createDeadlineSignal(search);
    try {
      await this.decoder.waitForOrigin();
      const source = await this.prefill(reservation.endpoint, searchSignal ?? deadlineSignal);
      const prefilledAt = clock.now();
      const processState = await this.sender.checkBeforeSend(
        reservation.endpoint,
        startedAt,
        this.decoder.origin,
      );
      const engine = { reservation, source };
      return { engine, startedAt, prefilledAt, deadlineSignal, processState };
    } catch (error) {
      deadlineSignal.close();
      this.releaseEngine(reservation);
      throw error;
    } finally {
      searchSignal?.close();
    }
  }

  private async prefill(
    endpoint: EndpointEntry,
    deadlineSignal: DeadlineSignal,
  ): Promise<CacheSource | undefined> {
    if (endpoint.id === this.sender.cachedEngineId || this.beginRun() !== undefined) {
      return undefined;
    }
    return this.prefiller.prefill(deadlineSignal, endpoint);
  }

  /** Checks for a ban that came since the request was admitted, before each send to an engine. */
  private beginRun(): TryResult | undefined {
    const { clock, crashes } = this.parts.context;
    const ban = crashes.beginRun(createSuspect(this.request), clock.now());
    if (ban === undefined) return undefined;
    return { end: TryEnd.banned, message: `the ${ban.subject.kind} crashes engines` };
  }

  /** Checks whether a run may be sent, and charges it; returns the result of the try if not. */
  private stopBeforeSend({ engine, deadlineSignal }: TryStart): TryResult | undefined {
    const { reservations } = this.parts;
    const { reservation, source } = engine;
    const barred = createUnsentAbortResult(deadlineSignal) ?? this.beginRun();
    if (barred === undefined && !this.canUse(reservation)) {
      reservations.release(reservation);
      this.prefiller.keep(source);
      return { end: TryEnd.notRun, message: "the process that gave the hold is gone" };
    }
    const stopped = barred ?? this.consumeSendBudget();
    if (stopped === undefined) return undefined;
    this.prefiller.release(source);
    reservations.release(reservation);
    return stopped;
  }

  /** @param run - number of the run of the generation, from 1 */
  private send(start: TryStart, run: number): SentRun {
    const { reservation, source } = start.engine;
    const engine = { reservation, source: this.prefiller.dropGone(source) };
    return this.sender.send({ ...start, engine }, run, this.decoder.lastEventId);
  }

  /** Checks that the process that gave the hold is there, and may still go on with the stream. */
  private canUse({ endpoint }: Reservation): boolean {
    const { directory } = this.parts.context;
    return directory.canUseMemory(endpoint) && canGoOn(this.decoder.origin, endpoint);
  }

  private consumeSendBudget(): TryResult | undefined {
    if (this.sendBudget.tryConsumeForRun()) return undefined;
    return { end: TryEnd.unsent, message: `${this.message}; no retry is left in the budget` };
  }

  private createRefusal(): Refusal {
    return createStreamRefusal(
      this.parts,
      { request: this.request, origin: this.decoder.origin },
      { deadline: this.times.deadline, runs: this.runs, message: this.message },
    );
  }
}
