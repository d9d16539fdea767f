/**
 * Sends a generation to a decode engine and passes its events on: one stream to the caller, whichever
 * engines it comes from.
 */
import * as E from "fp-ts/Either";
import { computeRemainingMs, type Moment } from "../core/clock";
import { RetryMode } from "../fleet/config";
import type { EndpointEntry } from "../fleet/directory";
import { AbortCause, DeadlineSignal } from "./abort";
import type { OpenResponse, SendFailure } from "./client";
import { type ForwardContext, type RequestTimes, resetBeside } from "./context";
import type { Reservation } from "./reservations";
import type { EngineLoadTracker } from "./engines";
import type { StreamEvent } from "./events";
import { type CacheSource, type ForwardRequest, SendTask, Verdict } from "./messages";
import { readBody, readWholeBody, type BufferedResponse } from "./service";
import { EndpointState, probeEndpoint } from "./probe";
import { RelayEnd, relayEvents } from "./relay";

/** How long a stream that may be resumed may be silent before it goes on elsewhere, milliseconds. */
const SILENCE_MS = 1200;
/** How long its first event may take, in milliseconds. */
const FIRST_EVENT_MS = 2500;
/** The least status of an answer that is no stream. */
const LEAST_OTHER_STATUS = 300;

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
export const TryEnd = {
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
export type TryEnd = (typeof TryEnd)[keyof typeof TryEnd];

/** The end of a try. */
export interface TryResult {
  readonly end: TryEnd;
  readonly message: string;
  readonly answer?: BufferedResponse;
}

/** What a decoder works with. */
export interface DecodeParts {
  readonly context: ForwardContext;
  readonly engineLoad: EngineLoadTracker;
}

/** The stream of one generation, over all its tries. */
export class Decoder {
  private lastEvent: string | undefined;
  private firstAt: Moment | undefined;
  private preferredId: string | undefined;
  /** Whether the answer to the caller says where it ends. */
  private isFramed = true;

  constructor(
    private readonly parts: DecodeParts,
    private readonly request: ForwardRequest,
    private readonly times: RequestTimes,
    private readonly sink: StreamSink,
  ) {
    this.lastEvent = request.head.lastEventId;
  }

  /** The last event that the caller has, as its engine named it. */
  get lastEventId(): string | undefined {
    return this.lastEvent;
  }

  /** When the caller's first event went out. */
  get firstEventAt(): Moment | undefined {
    return this.firstAt;
  }

  /** The engine whose connection broke and which lives: it still has the prompt in its cache. */
  get preferred(): string | undefined {
    return this.preferredId;
  }

  /** True where a stream that broke off may go on at another engine. */
  get isResumable(): boolean {
    return this.request.route.retryMode !== RetryMode.once;
  }

  /** Sends the generation under its reservation, and passes on what comes. */
  async run(
    reservation: Reservation,
    cacheSource: CacheSource | undefined,
    run: number,
    watch: DeadlineSignal,
  ): Promise<TryResult> {
    const { clock, client, logger } = this.parts.context;
    const { endpoint, hold } = reservation;
    const { request, lastEvent } = this;
    const leftMs = computeRemainingMs(this.times.deadline, clock.now());
    logger.info("decode", {
      request: request.head.id,
      engine: endpoint.id,
      source: cacheSource?.address ?? "none",
      run,
      lastEvent: lastEvent ?? "",
      leftMs,
    });
    const silence = new DeadlineSignal(clock, this.computeFirstDeadline(), watch.signal);
    const send = {
      request,
      endpoint,
      task: SendTask.run,
      leftMs,
      cacheSource,
      hold,
      urgency: undefined,
    };
    const opened = await client.send({ ...send, lastEventId: lastEvent }, silence.signal);
    silence.close();
    return E.isRight(opened)
      ? this.readAnswer(opened.right, endpoint, watch)
      : this.explainFailure(opened.left, endpoint, watch);
  }

  private async explainFailure(
    failure: SendFailure,
    endpoint: EndpointEntry,
    watch: DeadlineSignal,
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
    const { context, engineLoad } = this.parts;
    engineLoad.markUnavailable(endpoint.id, context.clock.now());
    resetBeside(context, endpoint);
  }

  private async noteBreak(endpoint: EndpointEntry, message: string): Promise<TryResult> {
    const { context } = this.parts;
    resetBeside(context, endpoint);
    const state = await probeEndpoint(context, this.request, endpoint);
    if (state === EndpointState.up) this.preferredId = endpoint.id;
    else this.noteBroken(endpoint);
    return { end: TryEnd.broken, message };
  }

  private async readAnswer(
    answer: OpenResponse,
    endpoint: EndpointEntry,
    watch: DeadlineSignal,
  ): Promise<TryResult> {
    const { head } = answer;
    const { engineLoad, context } = this.parts;
    if (head.verdict === Verdict.notRun || head.verdict === Verdict.misdirected) {
      await readBody(answer.body);
      if (head.verdict === Verdict.misdirected) context.directory.markMisdirected(endpoint);
      else engineLoad.recordRefusal(endpoint.id, context.clock.now());
      return { end: TryEnd.notRun, message: `the engine answered ${head.status}` };
    }
    if (head.verdict === Verdict.mismatched) {
      answer.body.destroy();
      resetBeside(context, endpoint);
      return { end: TryEnd.broken, message: "the answer is not one to this request" };
    }
    if (head.status >= LEAST_OTHER_STATUS) return this.readFailure(answer);
    engineLoad.markAvailable(endpoint.id);
    return this.relay(answer, endpoint, watch);
  }

  private async readFailure(answer: OpenResponse): Promise<TryResult> {
    const message = `the engine answered ${answer.head.status}`;
    const whole = await readWholeBody(answer);
    if (E.isLeft(whole)) return { end: TryEnd.broken, message: whole.left.message };
    const { head, isFramed } = answer;
    return { end: TryEnd.failed, message, answer: { head, body: whole.right, isFramed } };
  }

  private async relay(
    answer: OpenResponse,
    endpoint: EndpointEntry,
    watch: DeadlineSignal,
  ): Promise<TryResult> {
    const hasBegun = this.firstAt !== undefined;
    const { end, message } = await relayEvents({
      answer,
      watch,
      firstMs: this.isResumable ? (hasBegun ? SILENCE_MS : FIRST_EVENT_MS) : undefined,
      silenceMs: this.isResumable ? SILENCE_MS : undefined,
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
  private mayEndWith(answer: OpenResponse): boolean {
    const hasBegun = this.firstAt !== undefined;
    return answer.isFramed || !hasBegun || !this.isFramed;
  }

  private passOn(answer: OpenResponse, events: readonly StreamEvent[]): void {
    this.begin(answer);
    for (const event of events) {
      this.lastEvent = event.id ?? this.lastEvent;
      this.sink.write(event.bytes);
    }
  }

  /** The head is that of the first engine, also where another one goes on. */
  private begin(answer: OpenResponse): void {
    if (this.firstAt !== undefined) return;
    const { clock, meter } = this.parts.context;
    this.firstAt = clock.now();
    const { route, priority } = this.request;
    meter.recordFirstEvent(route.name, priority, this.firstAt - this.times.arrivedAt);
    this.isFramed = answer.isFramed;
    this.sink.begin(answer.head.status, answer.head.headers, answer.isFramed);
  }

  private computeFirstDeadline(): Moment | undefined {
    if (!this.isResumable) return undefined;
    return this.parts.context.clock.now() + FIRST_EVENT_MS;
  }
}

/**
 * Names how a try ended that its caller or the deadline ended; undefined where neither did.
 *
 * @example
 * nameAbort(watch)?.end; // TryEnd.callerGone
 */
export function nameAbort(watch: DeadlineSignal): TryResult | undefined {
  if (watch.cause === AbortCause.callerGone) {
    return { end: TryEnd.callerGone, message: "the caller has left" };
  }
  if (watch.cause === AbortCause.timeUp) {
    return { end: TryEnd.timeUp, message: "the deadline has passed" };
  }
  return undefined;
}
