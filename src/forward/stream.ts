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
import type { OpenAnswer } from "./connections";
import { type ForwardContext, type RequestTimes, resetBeside } from "./context";
import type { Desk, Reservation } from "./desk";
import { choosePrefill, type EngineBook } from "./engines";
import { EventCutter } from "./events";
import { type CacheSource, type ForwardRequest, type Send, Task, Verdict } from "./exchange";
import { Timing } from "./meter";
import { createCancelled, readBody, readWholeBody, type WholeAnswer } from "./plain";
import { confirmCrash } from "./probe";

/** The most engines that one generation is tried at, those that did not run it included. */
const MAX_TRIES = 5;
/** The share of the time to the target that a generation waits for memory. */
const WAIT_SHARE = 0.75;
/** How long a generation that had begun waits for memory to go on, in milliseconds. */
const RESUME_WAIT_MS = 2000;
/** The share of the longest output that memory is reserved for; most outputs are far shorter. */
const OUTPUT_SHARE = 0.25;
/** How long a prefill may take, in milliseconds; some prompts may be before it. */
const PREFILL_MS = 900;
/** The share of the time that a read prompt is kept in which it is offered to another engine. */
const KEEP_SHARE = 0.7;
/** How long a stream that may be resumed may be silent before it goes on elsewhere, milliseconds. */
const SILENCE_MS = 1200;
/** How long its first event may take, in milliseconds. */
const FIRST_EVENT_MS = 2500;
/** How long after the deadline a stream is cut off, in milliseconds. */
const DEADLINE_GRACE_MS = 120;
/** When a caller that found no room may come back, in milliseconds. */
const RETRY_AFTER_MS = 1500;
const RELEASE_CALL_MS = 500;

/** Takes a stream on its way to the caller. */
export interface StreamSink {
  /** Sends the head of the answer. */
  begin(status: number, headers: readonly string[]): void;
  write(bytes: Buffer): void;
  /** Ends the answer as complete. */
  end(): void;
  /** Breaks the answer off, so that it cannot look complete. */
  cut(): void;
}

/** A read prompt that waits for another decode engine. */
interface KeptSource {
  readonly source: CacheSource;
  readonly deadline: Moment;
}

/** How a try at an engine ended. */
const TryEnd = {
  complete: "complete",
  /** The engine has not run it. */
  notRun: "not run",
  /** The engine answered with a failure. */
  failed: "failed",
  /** The stream broke off or never came. */
  broken: "broken",
  /** Nothing came for too long. */
  silent: "silent",
  callerGone: "caller gone",
  timeUp: "time up",
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
}

/** The run of one generation. */
export class StreamRun {
  private readonly excluded = new Set<string>();
  private lastEventId: string | undefined;
  private hasBegun = false;
  private firstEventAt = 0;
  private kept: KeptSource | undefined;
  private prefilledAt: Moment = 0;
  private runs = 0;
  /** Sends that reached an engine, without the first prefill that one accepted. */
  private arrivals = 0;
  private hasPrefilled = false;
  private message = "no engine has room";

  constructor(
    private readonly parts: StreamParts,
    private readonly request: ForwardRequest,
    private readonly limits: EngineLimits,
    private readonly times: RequestTimes,
    private readonly caller: AbortSignal,
    private readonly sink: StreamSink,
  ) {
    this.lastEventId = request.head.lastEventId;
  }

  /**
   * Runs to the final answer.
   *
   * @returns the answer that is still to be given; undefined where the sink has had it
   */
  async run(): Promise<E.Either<Refusal, WholeAnswer> | undefined> {
    let failed: WholeAnswer | undefined;
    for (let tries = 0; tries < MAX_TRIES; tries += 1) {
      const reservation = await this.reserve();
      if (this.caller.aborted) return this.finish(E.left(createCancelled()));
      if (reservation === undefined) break;
      const result = await this.tryAt(reservation);
      this.message = result.message;
      if (result.end === TryEnd.complete) return undefined;
      if (result.end === TryEnd.callerGone) return this.finish(E.left(createCancelled()));
      if (result.end !== TryEnd.notRun) this.runs += 1;
      failed = result.answer ?? failed;
      if (!this.mayGoOn(result.end)) break;
    }
    return this.finish(failed === undefined ? E.left(this.createRefusal()) : E.right(failed));
  }

  private mayGoOn(end: TryEnd): boolean {
    const { clock, crashes } = this.parts.context;
    const now = clock.now();
    if (end === TryEnd.timeUp || now >= this.times.deadline) return false;
    if (crashes.isBanned(this.request.fingerprint, now)) return false;
    if (end === TryEnd.notRun) return true;
    return this.isResumable() && this.runs < this.request.route.maxAttempts;
  }

  private isResumable(): boolean {
    return this.request.route.repeat !== Repeat.once;
  }

  private reserve(): Promise<Reservation | undefined> {
    const { clock, meter } = this.parts.context;
    const { head, service, priority, isOverRate } = this.request;
    const { arrivedAt, target, deadline } = this.times;
    const now = clock.now();
    const patience = this.runs > 0 ? now + RESUME_WAIT_MS : this.computeGiveUp();
    const size = head.size ?? { promptTokens: 0, maxOutputTokens: 0, expectedOutputTokens: 0 };
    const needTokens = Math.ceil(size.promptTokens + size.maxOutputTokens * OUTPUT_SHARE);
    const reservation = this.parts.desk.reserve({
      id: head.id,
      priority,
      isOverRate,
      arrivedAt,
      target,
      giveUpAt: Math.min(patience, deadline),
      service,
      limits: this.limits,
      needTokens,
      excluded: this.excluded,
      caller: this.caller,
    });
    return reservation.then((result) => {
      meter.record(Timing.queue, clock.now() - now);
      return result;
    });
  }

  private computeGiveUp(): Moment {
    const { arrivedAt, target } = this.times;
    return arrivedAt + (target - arrivedAt) * WAIT_SHARE;
  }

  private async tryAt(reservation: Reservation): Promise<TryResult> {
    const { context, book, desk } = this.parts;
    const { endpoint, needTokens } = reservation;
    const watch = new Watch(context.clock, this.times.deadline + DEADLINE_GRACE_MS, this.caller);
    const reservedAt = context.clock.now();
    const source = this.takeKept() ?? (await this.prefill(watch, endpoint));
    const prefilledAt = context.clock.now();
    let result = nameAbort(watch);
    if (result === undefined) {
      result = await this.decode(reservation, source, watch);
    } else {
      desk.drop(reservation);
      this.releaseSource(source);
    }
    watch.close();
    book.add(endpoint.id, -needTokens, 0, -1);
    desk.pump();
    context.logger.info("try", {
      request: this.request.head.id,
      engine: endpoint.id,
      prefill: source?.address ?? "none",
      end: result.end,
      message: result.message,
      lastEvent: this.lastEventId ?? "",
      waitedMs: Math.round(reservedAt - this.times.arrivedAt),
      prefillMs: Math.round(prefilledAt - reservedAt),
      firstMs: Math.round(this.firstEventAt - prefilledAt),
      wholeMs: Math.round(context.clock.now() - prefilledAt),
      needTokens,
    });
    return result;
  }

  private keep(source: CacheSource | undefined): void {
    if (source === undefined) return;
    this.kept = { source, deadline: this.prefilledAt + this.limits.handleMs * KEEP_SHARE };
  }

  /** The prompt that an engine read for an earlier try, where no engine has taken it since. */
  private takeKept(): CacheSource | undefined {
    const { kept } = this;
    this.kept = undefined;
    if (kept === undefined) return undefined;
    if (this.parts.context.clock.now() < kept.deadline) return kept.source;
    this.releaseSource(kept.source);
    return undefined;
  }

  /** Has the prompt read; undefined where no prefill engine did, so that the decode engine has to. */
  private async prefill(watch: Watch, decode: EndpointEntry): Promise<CacheSource | undefined> {
    const { context, desk, book } = this.parts;
    const now = context.clock.now();
    const views = desk.listViews(this.request.service, now);
    const view = choosePrefill(views, new Set([decode.id]));
    if (view === undefined) return undefined;
    // Only the first prefill that an engine accepts is free.
    if (this.hasPrefilled && !this.takeArrival()) return undefined;
    const promptTokens = this.request.head.size?.promptTokens ?? 0;
    book.add(view.endpoint.id, 0, promptTokens, 1);
    const source = await this.prefillAt(view.endpoint, watch);
    book.add(view.endpoint.id, 0, -promptTokens, -1);
    if (source === undefined && !this.hasPrefilled) this.spendArrival();
    this.hasPrefilled = this.hasPrefilled || source !== undefined;
    return source;
  }

  /** Counts a send; false where it would be a repeat and the budget has none left. */
  private takeArrival(): boolean {
    const { retries, clock } = this.parts.context;
    const isFirst = this.arrivals === 0;
    if (!isFirst && !retries.take(this.request.service, clock.now())) return false;
    this.arrivals += 1;
    return true;
  }

  private spendArrival(): void {
    const { retries, clock } = this.parts.context;
    if (this.arrivals > 0) retries.spend(this.request.service, clock.now());
    this.arrivals += 1;
  }

  private async prefillAt(endpoint: EndpointEntry, watch: Watch): Promise<CacheSource | undefined> {
    const { context, book } = this.parts;
    const { clock, client, codec, meter, logger } = context;
    const startedAt = clock.now();
    const timeout = new Watch(clock, startedAt + PREFILL_MS, watch.signal);
    const send = this.createSend(endpoint, Task.prefill, undefined, undefined);
    const opened = await client.send(send, timeout.signal);
    const body = E.isRight(opened) ? await readBody(opened.right.body) : opened;
    timeout.close();
    const isAnswered = E.isRight(opened) && opened.right.head.status === 200 && E.isRight(body);
    const prefilled = isAnswered ? codec.readPrefilled(body.right) : undefined;
    if (prefilled !== undefined) {
      this.prefilledAt = clock.now();
      meter.record(Timing.prefill, clock.now() - startedAt);
      book.noteSound(endpoint.id);
      return { address: endpoint.address, handle: prefilled.handle };
    }
    if (watch.cause === undefined) book.noteBroken(endpoint.id, clock.now());
    if (E.isLeft(body)) resetBeside(context, endpoint);
    logger.info("prefill failed", {
      request: this.request.head.id,
      engine: endpoint.id,
      status: E.isRight(opened) ? opened.right.head.status : 0,
      error: E.isLeft(body) ? body.left.message : "",
    });
    return undefined;
  }

  private async decode(
    reservation: Reservation,
    source: CacheSource | undefined,
    watch: Watch,
  ): Promise<TryResult> {
    const { context } = this.parts;
    const { endpoint, hold } = reservation;
    if (!this.takeArrival()) {
      this.parts.desk.drop(reservation);
      this.releaseSource(source);
      return { end: TryEnd.timeUp, message: `${this.message}; no retry is left in the budget` };
    }
    const silence = new Watch(context.clock, this.computeFirstDeadline(), watch.signal);
    const send = this.createSend(endpoint, Task.run, source, hold);
    const opened = await context.client.send(send, silence.signal);
    silence.close();
    if (E.isRight(opened)) {
      const result = await this.readAnswer(opened.right, endpoint, watch);
      if (result.end === TryEnd.notRun) this.keep(source);
      return result;
    }
    const { isSent, message } = opened.left;
    const aborted = nameAbort(watch);
    if (aborted !== undefined) return aborted;
    this.parts.book.noteBroken(endpoint.id, context.clock.now());
    resetBeside(context, endpoint);
    if (!isSent) {
      this.keep(source);
      return { end: TryEnd.notRun, message };
    }
    await confirmCrash(context, this.request, endpoint);
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
    return this.pump(answer, endpoint, watch);
  }

  private async readFailure(answer: OpenAnswer): Promise<TryResult> {
    const message = `the engine answered ${answer.head.status}`;
    const whole = await readWholeBody(answer);
    if (E.isLeft(whole)) return { end: TryEnd.broken, message: whole.left.message };
    return { end: TryEnd.failed, message, answer: { head: answer.head, body: whole.right } };
  }

  /** Passes whole events on until the stream ends, breaks or goes silent. */
  private pump(answer: OpenAnswer, endpoint: EndpointEntry, watch: Watch): Promise<TryResult> {
    const { context, book } = this.parts;
    const cutter = new EventCutter();
    const { body } = answer;
    return new Promise((resolve) => {
      let timer: NodeJS.Timeout | undefined;
      let isFinished = false;
      const finish = (result: TryResult) => {
        isFinished = true;
        clearTimeout(timer);
        watch.signal.removeEventListener("abort", onAbort);
        body.destroy();
        resolve(result);
      };
      const onAbort = () => {
        finish(nameAbort(watch) ?? { end: TryEnd.timeUp, message: "ended" });
      };
      const waitForEvent = (ms: number) => {
        if (!this.isResumable()) return;
        clearTimeout(timer);
        timer = setTimeout(() => {
          book.noteBroken(endpoint.id, context.clock.now());
          resetBeside(context, endpoint);
          finish({ end: TryEnd.silent, message: `no event for ${ms} ms` });
        }, ms);
      };
      watch.signal.addEventListener("abort", onAbort, { once: true });
      if (watch.signal.aborted) {
        onAbort();
        return;
      }
      book.noteSound(endpoint.id);
      waitForEvent(this.hasBegun ? SILENCE_MS : FIRST_EVENT_MS);
      body.on("data", (bytes: Buffer) => {
        this.passOn(answer, cutter.push(bytes));
        waitForEvent(SILENCE_MS);
      });
      const onBreak = (message: string) => {
        if (isFinished) return;
        const aborted = nameAbort(watch);
        if (aborted !== undefined) {
          finish(aborted);
          return;
        }
        book.noteBroken(endpoint.id, context.clock.now());
        void confirmCrash(context, this.request, endpoint).then(() => {
          finish({ end: TryEnd.broken, message });
        });
      };
      body.on("end", () => {
        if (answer.isBroken()) {
          onBreak("the connection broke within the stream");
          return;
        }
        this.endStream(answer, cutter);
        finish({ end: TryEnd.complete, message: "complete" });
      });
      body.on("error", (error: Error) => {
        onBreak(error.message);
      });
    });
  }

  private passOn(answer: OpenAnswer, events: ReturnType<EventCutter["push"]>): void {
    const [first] = events;
    if (first === undefined) return;
    this.begin(answer);
    for (const event of events) this.lastEventId = event.id ?? this.lastEventId;
    const bytes = events.length === 1 ? first.bytes : Buffer.concat(events.map((e) => e.bytes));
    this.sink.write(bytes);
  }

  private begin(answer: OpenAnswer): void {
    if (this.hasBegun) return;
    this.hasBegun = true;
    this.firstEventAt = this.parts.context.clock.now();
    const { clock, meter } = this.parts.context;
    meter.record(Timing.firstEvent, clock.now() - this.times.arrivedAt);
    this.sink.begin(answer.head.status, answer.head.headers);
  }

  private endStream(answer: OpenAnswer, cutter: EventCutter): void {
    this.begin(answer);
    const rest = cutter.takeRest();
    if (rest.length > 0) this.sink.write(rest);
    this.parts.context.crashes.clear(this.request.fingerprint);
    this.sink.end();
  }

  private createSend(
    endpoint: EndpointEntry,
    task: Task,
    source: CacheSource | undefined,
    hold: string | undefined,
  ): Send {
    const leftMs = computeLeftMs(this.times.deadline, this.parts.context.clock.now());
    const lastEventId = task === Task.run ? this.lastEventId : undefined;
    const { request } = this;
    return { request, endpoint, task, leftMs, source, hold, lastEventId, urgency: undefined };
  }

  private computeFirstDeadline(): Moment | undefined {
    if (!this.isResumable()) return undefined;
    return this.parts.context.clock.now() + FIRST_EVENT_MS;
  }

  /** A prompt that was read and is not taken would keep its memory until it lapses. */
  private releaseSource(source: CacheSource | undefined): void {
    if (source === undefined) return;
    const { client, codec, logger } = this.parts.context;
    const call = codec.createDropHandleCall(source.handle);
    void client.call(source.address, call, RELEASE_CALL_MS).then((answer) => {
      if (E.isRight(answer)) return;
      logger.warn("prompt not released", { ...source, error: answer.left.message });
    });
  }

  /** After events went out only a break can tell the caller that there are no more. */
  private finish(
    answer: E.Either<Refusal, WholeAnswer>,
  ): E.Either<Refusal, WholeAnswer> | undefined {
    if (!this.hasBegun) return answer;
    this.sink.cut();
    return undefined;
  }

  private createRefusal(): Refusal {
    const isLate = this.parts.context.clock.now() >= this.times.deadline;
    if (this.runs === 0) {
      const reason = isLate ? Reason.deadline : Reason.overloaded;
      return createNotRun(503, reason, this.message, RETRY_AFTER_MS);
    }
    if (isLate) return new Refusal(504, Reason.deadline, Ran.unknown, this.message);
    return createUnknown(Reason.interrupted, this.message);
  }
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
