/**
 * Runs a generation: memory at a decode engine, the prompt at a prefill engine, the stream from the
 * decode engine. A stream that may be resumed goes on elsewhere after its last whole event.
 */
import * as E from "fp-ts/Either";
import { computeLeftMs, type Moment } from "../core/clock";
import { createNotRun, createUnknown, Ran, Reason, Refusal } from "../core/outcome";
import { type EngineLimits, Repeat } from "../fleet/catalog";
import type { EndpointEntry } from "../fleet/directory";
import { AbortCause, Watch } from "./abort";
import type { OpenAnswer, SendFailure } from "./connections";
import { type ForwardContext, type RequestTimes, resetBeside } from "./context";
import type { Desk, Reservation } from "./desk";
import type { EngineBook } from "./engines";
import type { StreamEvent } from "./events";
import { type CacheSource, type ForwardRequest, Task, Verdict } from "./exchange";
import { createCancelled, readBody, readWholeBody, type WholeAnswer } from "./plain";
import { computeNeed, computeRetryAfter, computeWait } from "./overload";
import { Prefiller } from "./prefill";
import { EndpointState, probeEndpoint } from "./probe";
import { RelayEnd, relayEvents } from "./relay";
import type { ReturnBook } from "./returns";
import { SendCount } from "./sendcount";

/** The most engines that one generation is tried at, those that did not run it included. */
const MAX_TRIES = 5;
/** How long a stream that may be resumed may be silent before it goes on elsewhere, milliseconds. */
const SILENCE_MS = 1200;
/** How long its first event may take, in milliseconds. */
const FIRST_EVENT_MS = 2500;
/** How long after the deadline a stream is cut off, in milliseconds. */
const DEADLINE_GRACE_MS = 120;
/** Takes a stream on its way to the caller. */
export interface StreamSink {
  /**
   * Sends the head of the answer.
   *
   * @param isFramed - false where only the end of the connection shall say that it is whole
   */
  begin(status: number, headers: readonly string[], isFramed: boolean): void;
  write(bytes: Buffer): void;
  /** Ends the answer as complete. */
  end(): void;
  /** Breaks the answer off, so that it cannot look complete. */
  cut(): void;
}

/** How a try at an engine ended. */
const TryEnd = {
  complete: "complete",
  /** The engine has not run it. */
  notRun: "not run",
  /** The engine answered with a failure. */
  failed: "failed",
  /** The stream broke off, went silent or never came. */
  broken: "broken",
  callerGone: "caller gone",
  /** The deadline passed while an engine had it. */
  timeUp: "time up",
  /** Nothing was sent: the deadline has passed, or the budget has no repeat left. */
  unsent: "unsent",
} as const;
type TryEnd = (typeof TryEnd)[keyof typeof TryEnd];

interface TryResult {
  readonly end: TryEnd;
  readonly message: string;
  readonly answer?: WholeAnswer;
}

/** What generations share within an instance. */
export interface StreamParts {
  readonly context: ForwardContext;
  readonly desk: Desk;
  readonly book: EngineBook;
  readonly returns: ReturnBook;
}

/** The run of one generation. */
export class StreamRun {
  private readonly sends: SendCount;
  private readonly prompt: Prefiller;
  private lastEventId: string | undefined;
  private firstEventAt: Moment | undefined;
  /** The engine whose connection broke and which lives: it still has the prompt in its cache. */
  private preferred: string | undefined;
  /** Whether the answer to the caller says where it ends. */
  private isFramed = true;
  private runs = 0;
  /** True once a stream was broken off towards its caller. */
  isCut = false;
  private message = "no engine has room";
  private readonly needTokens: number;

  constructor(
    private readonly parts: StreamParts,
    private readonly request: ForwardRequest,
    private readonly limits: EngineLimits,
    private readonly times: RequestTimes,
    private readonly caller: AbortSignal,
    private readonly sink: StreamSink,
  ) {
    const { context, desk, book } = parts;
    const { service, head } = request;
    const listViews = (now: Moment) => desk.listViews(service, now);
    this.lastEventId = head.lastEventId;
    this.needTokens = head.size === undefined ? 0 : computeNeed(head.size);
    this.sends = new SendCount(context.retries, service, context.clock);
    const prefillParts = { context, book, listViews };
    this.prompt = new Prefiller(prefillParts, request, limits, times, this.sends);
  }

  /**
   * Runs to the final answer.
   *
   * @returns the answer that is still to be given; undefined where the sink has had it
   */
  async run(): Promise<E.Either<Refusal, WholeAnswer> | undefined> {
    const answer = await this.runTries();
    this.prompt.close();
    if (answer === undefined || this.firstEventAt === undefined) return answer;
    // After events went out only a break can tell the caller that there are no more.
    this.isCut = true;
    this.sink.cut();
    return undefined;
  }

  private async runTries(): Promise<E.Either<Refusal, WholeAnswer> | undefined> {
    let failed: WholeAnswer | undefined;
    for (let tries = 0; tries < MAX_TRIES; tries += 1) {
      const reservation = await this.reserve();
      if (this.caller.aborted) return E.left(createCancelled());
      if (reservation === undefined) break;
      const result = await this.tryAt(reservation);
      this.message = result.message;
      if (result.end === TryEnd.complete) return undefined;
      if (result.end === TryEnd.callerGone) return E.left(createCancelled());
      const hasRun = result.end !== TryEnd.notRun && result.end !== TryEnd.unsent;
      if (hasRun) this.runs += 1;
      failed = result.answer ?? failed;
      if (!this.mayGoOn(result.end)) break;
      this.noteRetry(result);
    }
    return failed === undefined ? E.left(this.createRefusal()) : E.right(failed);
  }

  private noteRetry({ end, message }: TryResult): void {
    const { context } = this.parts;
    const { head, service } = this.request;
    if (end !== TryEnd.notRun) context.meter.repeats.inc({ service });
    context.logger.info("retry", {
      request: head.id,
      after: end,
      message,
      runs: this.runs,
      lastEvent: this.lastEventId ?? "",
      leftMs: computeLeftMs(this.times.deadline, context.clock.now()),
    });
  }

  private mayGoOn(end: TryEnd): boolean {
    const { clock, crashes } = this.parts.context;
    const now = clock.now();
    if (end === TryEnd.timeUp || end === TryEnd.unsent) return false;
    if (now >= this.times.deadline) return false;
    if (crashes.isBanned(this.request.fingerprint, now)) return false;
    if (end === TryEnd.notRun) return true;
    return this.isResumable() && this.runs < this.request.route.maxAttempts;
  }

  private isResumable(): boolean {
    return this.request.route.repeat !== Repeat.once;
  }

  private async reserve(): Promise<Reservation | undefined> {
    const { clock, meter, logger, directory } = this.parts.context;
    const { head, service, priority, isOverRate } = this.request;
    const { arrivedAt } = this.times;
    const startedAt = clock.now();
    const isReturned = this.parts.returns.isReturned(this.request.fingerprint, arrivedAt);
    const demand = { ...this.times, isReturned, isBegun: this.runs > 0 };
    const wait = computeWait(demand, startedAt);
    logger.info("queued", {
      request: head.id,
      needTokens: this.needTokens,
      waiting: this.parts.desk.size,
      isReturned,
      isOverRate,
      engines: this.parts.desk.listViews(service, startedAt).length,
      listOffset: directory.next,
    });
    const reservation = await this.parts.desk.reserve({
      id: head.id,
      priority,
      isOverRate,
      arrivedAt,
      targetDeadline: wait.targetDeadline,
      deadline: wait.deadline,
      service,
      limits: this.limits,
      needTokens: this.needTokens,
      preferred: this.preferred,
      caller: this.caller,
    });
    meter.noteWait(service, clock.now() - startedAt);
    return reservation;
  }

  private async tryAt(reservation: Reservation): Promise<TryResult> {
    const { context, book, desk } = this.parts;
    const { clock, logger } = context;
    const { endpoint, needTokens } = reservation;
    const startedAt = clock.now();
    const watch = new Watch(clock, this.times.deadline + DEADLINE_GRACE_MS, this.caller);
    const isCached = endpoint.id === this.preferred;
    const source = isCached ? undefined : await this.prompt.read(watch, endpoint);
    const prefilledAt = clock.now();
    const result = await this.decode(reservation, source, watch);
    watch.close();
    book.add(endpoint.id, -needTokens, 0, -1);
    desk.pump();
    const outcome = result.end;
    const ms = clock.now() - prefilledAt;
    context.meter.noteSend({ service: this.request.service, endpoint: endpoint.id, outcome }, ms);
    const fields = {
      request: this.request.head.id,
      engine: endpoint.id,
      prefill: source?.address ?? "none",
      end: outcome,
      message: result.message,
      lastEvent: this.lastEventId ?? "",
      needTokens,
      waitedMs: Math.round(startedAt - this.times.arrivedAt),
      prefillMs: Math.round(prefilledAt - startedAt),
      firstMs: Math.round((this.firstEventAt ?? prefilledAt) - prefilledAt),
      decodeMs: Math.round(ms),
    };
    if (outcome === TryEnd.complete) logger.info("try", fields);
    else logger.warn("try", fields);
    return result;
  }

  private async decode(
    reservation: Reservation,
    source: CacheSource | undefined,
    watch: Watch,
  ): Promise<TryResult> {
    const { context, desk } = this.parts;
    const stopped = nameAbortUnsent(watch) ?? this.checkBudget();
    if (stopped !== undefined) {
      desk.drop(reservation);
      this.prompt.release(source);
      return stopped;
    }
    const { endpoint, hold } = reservation;
    const silence = new Watch(context.clock, this.computeFirstDeadline(), watch.signal);
    const leftMs = computeLeftMs(this.times.deadline, context.clock.now());
    const { request, lastEventId } = this;
    const send = { request, endpoint, task: Task.run, leftMs, source, hold, lastEventId };
    context.logger.info("decode", {
      request: request.head.id,
      engine: endpoint.id,
      source: source?.address ?? "none",
      run: this.runs + 1,
      lastEvent: lastEventId ?? "",
      leftMs,
    });
    const opened = await context.client.send({ ...send, urgency: undefined }, silence.signal);
    silence.close();
    const result = E.isRight(opened)
      ? await this.readAnswer(opened.right, endpoint, watch)
      : await this.explainFailure(opened.left, endpoint, watch);
    if (result.end === TryEnd.notRun) this.prompt.keep(source);
    return result;
  }

  private checkBudget(): TryResult | undefined {
    if (this.sends.take()) return undefined;
    return { end: TryEnd.unsent, message: `${this.message}; no retry is left in the budget` };
  }

  private async explainFailure(
    failure: SendFailure,
    endpoint: EndpointEntry,
    watch: Watch,
  ): Promise<TryResult> {
    const aborted = nameAbort(watch);
    if (aborted !== undefined) return aborted;
    const { isSent, message } = failure;
    if (!isSent) {
      this.noteBroken(endpoint);
      return { end: TryEnd.notRun, message };
    }
    return this.noteBreak(endpoint, message);
  }

  private noteBroken(endpoint: EndpointEntry): void {
    const { context, book } = this.parts;
    book.noteBroken(endpoint.id, context.clock.now());
    resetBeside(context, endpoint);
  }

  private async noteBreak(endpoint: EndpointEntry, message: string): Promise<TryResult> {
    const { context } = this.parts;
    resetBeside(context, endpoint);
    const state = await probeEndpoint(context, this.request, endpoint);
    if (state === EndpointState.up) this.preferred = endpoint.id;
    else this.noteBroken(endpoint);
    return { end: TryEnd.broken, message };
  }

  private async readAnswer(
    answer: OpenAnswer,
    endpoint: EndpointEntry,
    watch: Watch,
  ): Promise<TryResult> {
    const { head } = answer;
    const { book, context } = this.parts;
    if (head.verdict === Verdict.notRun || head.verdict === Verdict.misdirected) {
      await readBody(answer.body);
      if (head.verdict === Verdict.misdirected) context.directory.noteMisdirected(endpoint);
      else book.noteRefused(endpoint.id, context.clock.now());
      return { end: TryEnd.notRun, message: `the engine answered ${head.status}` };
    }
    if (head.verdict === Verdict.foreign) {
      answer.body.destroy();
      resetBeside(context, endpoint);
      return { end: TryEnd.broken, message: "the answer is not one to this request" };
    }
    if (head.status >= 300) return this.readFailure(answer);
    book.noteSound(endpoint.id);
    return this.relay(answer, endpoint, watch);
  }

  private async readFailure(answer: OpenAnswer): Promise<TryResult> {
    const message = `the engine answered ${answer.head.status}`;
    const whole = await readWholeBody(answer);
    if (E.isLeft(whole)) return { end: TryEnd.broken, message: whole.left.message };
    const { head, isFramed } = answer;
    return { end: TryEnd.failed, message, answer: { head, body: whole.right, isFramed } };
  }

  private async relay(
    answer: OpenAnswer,
    endpoint: EndpointEntry,
    watch: Watch,
  ): Promise<TryResult> {
    const hasBegun = this.firstEventAt !== undefined;
    const { end, message } = await relayEvents({
      answer,
      watch,
      firstMs: this.isResumable() ? (hasBegun ? SILENCE_MS : FIRST_EVENT_MS) : undefined,
      silenceMs: this.isResumable() ? SILENCE_MS : undefined,
      onEvents: (events) => {
        this.passOn(answer, events);
      },
    });
    if (end === RelayEnd.complete && this.mayEndWith(answer)) {
      this.passOn(answer, []);
      this.parts.context.crashes.clear(this.request.fingerprint);
      this.sink.end();
      return { end: TryEnd.complete, message };
    }
    const aborted = nameAbort(watch);
    if (aborted !== undefined) return aborted;
    if (end !== RelayEnd.silent) return this.noteBreak(endpoint, message);
    this.noteBroken(endpoint);
    return { end: TryEnd.broken, message };
  }

  /** An answer that may have ended early must not end one that says where it ends. */
  private mayEndWith(answer: OpenAnswer): boolean {
    const hasBegun = this.firstEventAt !== undefined;
    return answer.isFramed || !hasBegun || !this.isFramed;
  }

  private passOn(answer: OpenAnswer, events: readonly StreamEvent[]): void {
    this.begin(answer);
    for (const event of events) {
      this.lastEventId = event.id ?? this.lastEventId;
      this.sink.write(event.bytes);
    }
  }

  /** The head is that of the first engine, also where another one goes on. */
  private begin(answer: OpenAnswer): void {
    if (this.firstEventAt !== undefined) return;
    const { clock, meter } = this.parts.context;
    this.firstEventAt = clock.now();
    const { route, priority } = this.request;
    meter.noteFirstEvent(route.name, priority, this.firstEventAt - this.times.arrivedAt);
    this.isFramed = answer.isFramed;
    this.sink.begin(answer.head.status, answer.head.headers, answer.isFramed);
  }

  private computeFirstDeadline(): Moment | undefined {
    if (!this.isResumable()) return undefined;
    return this.parts.context.clock.now() + FIRST_EVENT_MS;
  }

  private createRefusal(): Refusal {
    const { clock, draw } = this.parts.context;
    const now = clock.now();
    const isLate = now >= this.times.deadline;
    if (this.runs === 0) {
      this.parts.returns.noteRefused(this.request.fingerprint, now);
      const reason = isLate ? Reason.deadline : Reason.overloaded;
      const retryAfterMs = computeRetryAfter(this.times.deadline, now, draw);
      return createNotRun(503, reason, this.message, retryAfterMs);
    }
    if (isLate) return new Refusal(504, Reason.deadline, Ran.unknown, this.message);
    return createUnknown(Reason.interrupted, this.message);
  }
}

function nameAbortUnsent(watch: Watch): TryResult | undefined {
  const aborted = nameAbort(watch);
  return aborted?.end === TryEnd.timeUp ? { ...aborted, end: TryEnd.unsent } : aborted;
}

function nameAbort(watch: Watch): TryResult | undefined {
  if (watch.cause === AbortCause.callerGone) {
    return { end: TryEnd.callerGone, message: "the caller has left" };
  }
  if (watch.cause === AbortCause.timeUp) {
    return { end: TryEnd.timeUp, message: "the deadline has passed" };
  }
  return undefined;
}
