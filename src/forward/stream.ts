/**
 * Runs a generation: memory at a decode engine, the prompt at a prefill engine, the stream from the
 * decode engine. A stream that may be resumed goes on elsewhere after its last whole event.
 */
import * as E from "fp-ts/Either";
import { computeLeftMs, type Moment } from "../core/clock";
import { createNotRun, createUnknown, Ran, Reason, Refusal } from "../core/outcome";
import type { EngineLimits } from "../fleet/catalog";
import { Watch } from "./abort";
import type { ForwardContext, RequestTimes } from "./context";
import { Decoder, nameAbort, type StreamSink, TryEnd, type TryResult } from "./decode";
import type { Desk, Reservation } from "./desk";
import type { EngineBook } from "./engines";
import type { CacheSource, ForwardRequest } from "./exchange";
import { computeNeed, computeRetryAfter, computeWait } from "./overload";
import { createCancelled, type WholeAnswer } from "./plain";
import { Prefiller } from "./prefill";
import type { ReturnBook } from "./returns";
import { SendCount } from "./sendcount";

/** The most engines that one generation is tried at, those that did not run it included. */
const MAX_TRIES = 5;
/** How long after the deadline a stream is cut off, in milliseconds. */
const DEADLINE_GRACE_MS = 120;

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
  private readonly decoder: Decoder;
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
    this.needTokens = head.size === undefined ? 0 : computeNeed(head.size);
    this.sends = new SendCount(context.retries, service, context.clock);
    const prefillParts = { context, book, listViews };
    this.decoder = new Decoder(parts, request, times, sink);
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
    if (answer === undefined || this.decoder.firstEventAt === undefined) return answer;
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
      lastEvent: this.decoder.lastEventId ?? "",
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
    return this.decoder.isResumable && this.runs < this.request.route.maxAttempts;
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
      preferred: this.decoder.preferred,
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
    const isCached = endpoint.id === this.decoder.preferred;
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
      lastEvent: this.decoder.lastEventId ?? "",
      needTokens,
      waitedMs: Math.round(startedAt - this.times.arrivedAt),
      prefillMs: Math.round(prefilledAt - startedAt),
      firstMs: Math.round((this.decoder.firstEventAt ?? prefilledAt) - prefilledAt),
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
    const { desk } = this.parts;
    const stopped = nameAbortUnsent(watch) ?? this.checkBudget();
    if (stopped !== undefined) {
      desk.drop(reservation);
      this.prompt.release(source);
      return stopped;
    }
    const result = await this.decoder.run(reservation, source, this.runs + 1, watch);
    if (result.end === TryEnd.notRun) this.prompt.keep(source);
    return result;
  }

  private checkBudget(): TryResult | undefined {
    if (this.sends.take()) return undefined;
    return { end: TryEnd.unsent, message: `${this.message}; no retry is left in the budget` };
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
