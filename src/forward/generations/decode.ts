/**
 * Forwards the events of the runs of a generation: the caller sees one stream, whichever engines
 * produce it.
 */
import * as E from "fp-ts/Either";
import { computeRemainingMs, type Moment } from "../../core/clock";
import { EndProof } from "../../core/assertedend";
import { isAcquitted, isSuspect } from "../../core/crashes/suspects";
import { type EndpointEntry, EngineStage } from "../../fleet/entries";
import {
  type OpenResponse,
  type RequestTimes,
  type AnswerEnd,
  confirmEnd,
  createSuspect,
  createWorkKind,
  describeUnasserted,
} from "../endpoints";
import { RelayEnd, relayEvents, type RelayResult } from "./relay";
import { SilenceWatch } from "../../core/silence";
import type { StreamEvent } from "./events";
import { recordJoin, recordLeftOut } from "./joinedrun";
import type { ForwardRequest } from "../requests";
import { createAbortResult, TryEnd, type TryResult } from "./tries";
import { canGoOn, type StreamName, type StreamOrigin, confirmOrigin, dropVersion } from "../shared";
import { FirstWriter } from "./firstwriter";
import type { RunReplacer } from "./replacement";
import type { StreamStart } from "./resume";
import type { RunSender, RunSenderParts } from "./runsender";
import type { SentRun } from "./sentrun";
import type { StreamForm } from "./streamform";

/**
 * How long a resumable stream may be silent before another engine is looked for, in milliseconds.
 */
const SILENCE_TIMEOUT_MS = 1200;
/** How long its first event may take before, in milliseconds. */
const FIRST_EVENT_TIMEOUT_MS = 2500;

/** Time over which the pace of a stream is measured, in milliseconds; some dozen events of an engine. */
const PACE_WINDOW_MS = 250;
/** Fewer events say more of the network than of the engine. */
const MIN_PACE_EVENTS = 8;

/** Why a run is not joined whose stream has a first engine of unknown version. */
const UNKNOWN_ORIGIN = "it is not known any more which version began the stream";

/** Receives the response stream and writes it to the caller. */
export interface StreamSink {
  /**
   * Sends the response head.
   *
   * @param isFramed - false if the engine's response has no length or chunks and ends with its connection
   */
  begin(status: number, headers: readonly string[], isFramed: boolean): void;
  write(bytes: Buffer): void;
  /** Ends the response as complete. */
  end(): void;
  /** Closes the connection, so that the response cannot look complete. */
  cut(): void;
}

/** Streams one generation to its caller, over all its tries. */
export class Decoder {
  private readonly request: ForwardRequest;
  private originOfStream: StreamOrigin | undefined;
  private lastEvent: string | undefined;
  private firstSentAt: Moment | undefined;
  /** When the first event of the current run arrived; undefined before. */
  private firstEventOfRunAt: Moment | undefined;
  /** Events of the current run since its pace was last recorded. */
  private pace: { readonly startedAt: Moment; events: number } | undefined;
  /** True once the current run has shown that the request crashes no engine. */
  private isRunAcquitted = false;
  /** True once it turned out amid a stream that no engine can go on with it. */
  private hasUnknownOrigin = false;
  private readonly firstWriter: FirstWriter;
  /** Whether the first engine's response was framed. */
  private isFramed = true;

  constructor(
    private readonly parts: RunSenderParts,
    private readonly sender: RunSender,
    { request, origin }: StreamStart,
    private readonly times: RequestTimes,
    private readonly sink: StreamSink,
    private readonly form: StreamForm,
  ) {
    this.request = request;
    this.originOfStream = origin;
    this.lastEvent = request.head.lastEventId;
    this.firstWriter = new FirstWriter(parts.context, request.head.id, (startedAt) => {
      this.dropVersion(startedAt);
    });
  }

  /** The engine that wrote the first event of the stream; undefined before there is one. */
  get origin(): StreamOrigin | undefined {
    const { directory } = this.parts.context;
    const origin = this.originOfStream;
    return origin && confirmOrigin(origin, directory.processes.list(origin.endpoint));
  }

  /** Resolves once the engine that began the stream was asked whether it is the listed process, or soon. */
  waitForOrigin(): Promise<void> {
    const { clock } = this.parts.context;
    return this.firstWriter.wait(computeRemainingMs(this.times.deadline, clock.now()));
  }

  /** The id of the last event that was sent to the caller, as its engine assigned it. */
  get lastEventId(): string | undefined {
    return this.lastEvent;
  }

  /** When the first event was sent to the caller; undefined before. */
  get firstEventAt(): Moment | undefined {
    return this.firstSentAt;
  }

  /**
   * Forwards the events of a run, until it ends or another one takes its place.
   *
   * @param replacer - looks for another engine while this one is silent
   */
  async follow(sent: SentRun, replacer: RunReplacer): Promise<TryResult> {
    this.firstEventOfRunAt = undefined;
    this.pace = undefined;
    this.isRunAcquitted = false;
    this.form.beginRun();
    const watch = this.sender.isResumable ? this.createWatch(sent, replacer) : undefined;
    try {
      const response = await this.sender.readHead(sent, () => watch?.signal.aborted === true);
      if (E.isLeft(response)) return response.left;
      return await this.followStream(response.right, sent, watch);
    } finally {
      watch?.close();
    }
  }

  private createWatch(sent: SentRun, replacer: RunReplacer): SilenceWatch {
    const { endpoint } = sent;
    const hasStarted = this.firstSentAt !== undefined;
    const watch = new SilenceWatch({
      clock: this.parts.context.clock,
      logger: this.parts.context.logger,
      timeoutMs: hasStarted ? SILENCE_TIMEOUT_MS : FIRST_EVENT_TIMEOUT_MS,
      finder: replacer,
      onSilent: () => {
        this.sender.markUnavailable(endpoint);
        // Nothing else may try the way while the run is silent.
        this.parts.context.dialer.checkDirect(endpoint);
      },
      onResumed: () => {
        replacer.close();
        this.parts.engineLoad.markAvailable(endpoint.id);
      },
    });
    const onReplaced = () => {
      sent.abort();
    };
    watch.signal.addEventListener("abort", onReplaced, { once: true });
    return watch;
  }

  private followStream(
    response: OpenResponse,
    sent: SentRun,
    watch: SilenceWatch | undefined,
  ): Promise<TryResult> {
    this.parts.engineLoad.markAvailable(sent.endpoint.id);
    watch?.onProgress();
    return this.relay(response, sent, watch);
  }

  private async relay(
    response: OpenResponse,
    { endpoint, start }: SentRun,
    watch: SilenceWatch | undefined,
  ): Promise<TryResult> {
    const { deadlineSignal } = start;
    const relayed = await relayEvents({
      response,
      deadlineSignal,
      replaced: watch?.signal,
      lastId: this.lastEvent,
      follows: (event, lastId) => this.follows(endpoint, event, lastId),
      onEvents: (events) => {
        watch?.onProgress(SILENCE_TIMEOUT_MS);
        this.recordJoin(endpoint, events[0]);
        this.recordProgress();
        this.recordPace(endpoint, events.length);
        this.recordOrigin(endpoint, response);
        this.forwardEvents(response, events);
      },
    });
    const { end, message, answerEnd } = await this.confirmEnd(relayed, response, endpoint);
    if (answerEnd?.proof !== undefined && this.canEndWith(answerEnd.proof)) {
      this.forwardEvents(response, []);
      if (this.isProof(response)) this.recordCompletion();
      this.sink.end();
      return { end: TryEnd.complete, message, answerEnd, peer: response.peer };
    }
    const aborted = createAbortResult(deadlineSignal);
    if (aborted !== undefined) return aborted;
    if (this.hasUnknownOrigin) return { end: TryEnd.broken, message: UNKNOWN_ORIGIN };
    const isEngineFault = end === RelayEnd.replaced || end === RelayEnd.malformed;
    if (!isEngineFault) {
      const broken = await this.sender.handleBreak(endpoint, this.firstEventOfRunAt, message);
      return { ...broken, peer: response.peer };
    }
    this.sender.markUnavailable(endpoint);
    return { end: TryEnd.broken, message, peer: response.peer };
  }

  /** Checks whether an event is the next one; records a run that leaves events out. */
  private follows(
    endpoint: EndpointEntry,
    event: StreamEvent,
    lastId: string | undefined,
  ): boolean {
    if (!this.isOfVersion(endpoint)) return false;
    if (this.form.isNext(event, lastId)) return true;
    if (this.form.leavesOut(event, lastId))
      recordLeftOut(this.parts.context, this.request, { endpoint, event, lastId });
    return false;
  }

  /** Checks before a run's first event whether the run is still known to be of the stream's version. */
  private isOfVersion(endpoint: EndpointEntry): boolean {
    if (this.firstEventOfRunAt !== undefined || canGoOn(this.origin, endpoint)) return true;
    this.hasUnknownOrigin = true;
    return false;
  }

  /** Asks who asserted the end of a stream that seems complete; one that nobody did is broken. */
  private async confirmEnd(
    relayed: RelayResult,
    response: OpenResponse,
    endpoint: EndpointEntry,
  ): Promise<RelayResult & { readonly answerEnd?: AnswerEnd }> {
    if (relayed.end !== RelayEnd.complete) return relayed;
    const { context } = this.parts;
    const broken = { firstEventAt: this.firstEventOfRunAt, brokeAt: context.clock.now() };
    const answerEnd = await confirmEnd(context, {
      request: this.request,
      endpoint,
      response,
      isSuspect: isSuspect(broken),
    });
    if (answerEnd.proof !== undefined) return { ...relayed, answerEnd };
    return { end: RelayEnd.broken, message: describeUnasserted(answerEnd) };
  }

  /**
   * Records which engine began the stream, before the caller can come back for it; also under the id
   * of a request that takes it up.
   */
  private recordOrigin(engine: EndpointEntry, response: OpenResponse): void {
    if (this.firstSentAt !== undefined || !this.sender.isResumable) return;
    if (this.originOfStream === undefined) this.firstWriter.ask(engine, response);
    const { id: endpoint, service, version, processStartedAt } = engine;
    const beganAt = this.parts.context.readWallClock();
    this.originOfStream ??= { service, version, endpoint, processStartedAt, beganAt };
    const { sharedOrigins } = this.parts.context;
    // What the list here says of its engine by now may not reach an instance that starts later.
    const origin = this.origin ?? this.originOfStream;
    sharedOrigins.record({ stream: this.streamName, origin });
  }

  /** Has nobody go on with the stream: a process that is not listed, and started at a time if it tells, began it. */
  private dropVersion(startedAt: number | undefined): void {
    if (this.originOfStream === undefined) return;
    this.originOfStream = dropVersion(this.originOfStream, startedAt);
    const { sharedOrigins } = this.parts.context;
    sharedOrigins.withdraw({ stream: this.streamName, origin: this.originOfStream });
  }

  private get streamName(): StreamName {
    const { head, workspace } = this.request;
    return { workspace: workspace?.name ?? "", request: head.id };
  }

  /** Records that a run goes on with a stream, at the first of its events. */
  private recordJoin(endpoint: EndpointEntry, firstEvent: StreamEvent | undefined): void {
    const { origin, lastEvent: lastId } = this;
    const isJoined = lastId !== undefined || this.firstSentAt !== undefined;
    if (this.firstEventOfRunAt !== undefined || !isJoined) return;
    recordJoin(this.parts.context, this.request, { endpoint, origin, lastId, firstEvent });
  }

  /** Records how long the engine took for the events since the last record. */
  private recordPace({ id, service }: EndpointEntry, events: number): void {
    const { clock, health } = this.parts.context;
    const now = clock.now();
    const pace = this.pace ?? { startedAt: now, events: -events };
    pace.events += events;
    this.pace = pace;
    const ms = now - pace.startedAt;
    if (ms < PACE_WINDOW_MS || pace.events < MIN_PACE_EVENTS) return;
    const kind = createWorkKind(EngineStage.decode, service);
    health.recordWork(kind, id, { ms, units: pace.events }, now);
    this.pace = { startedAt: now, events: 0 };
  }

  /** Records events of the current run; it shows that it crashes no engine once it goes on. */
  private recordProgress(): void {
    const now = this.parts.context.clock.now();
    this.firstEventOfRunAt ??= now;
    if (this.isRunAcquitted || !isAcquitted(this.firstEventOfRunAt, now)) return;
    this.isRunAcquitted = true;
    this.recordCompletion();
  }

  /**
   * Checks whether a complete response shows that its run crashed no engine: a crash may have ended
   * an unframed one, and a run that only found a resumed stream at its end wrote nothing.
   */
  private isProof({ isFramed }: OpenResponse): boolean {
    return isFramed && this.firstEventOfRunAt !== undefined;
  }

  private recordCompletion(): void {
    const { crashes, clock } = this.parts.context;
    crashes.recordCompletion(createSuspect(this.request), clock.now());
  }

  /** An end of a writer that does not tell its process must not complete what its first engine framed. */
  private canEndWith(proof: EndProof): boolean {
    const hasStarted = this.firstSentAt !== undefined;
    return proof !== EndProof.untold || !hasStarted || !this.isFramed;
  }

  private forwardEvents(response: OpenResponse, events: readonly StreamEvent[]): void {
    this.begin(response);
    for (const event of events) {
      this.lastEvent = event.id ?? this.lastEvent;
      this.sink.write(event.bytes);
    }
  }

  /**
   * Sends the response head once: that of the first engine, also if another engine goes on
   * with the stream.
   */
  private begin(response: OpenResponse): void {
    if (this.firstSentAt !== undefined) return;
    const { clock, meter } = this.parts.context;
    this.firstSentAt = clock.now();
    const { route, priority } = this.request;
    meter.recordFirstEvent(route.name, priority, this.firstSentAt - this.times.arrivedAt);
    this.isFramed = response.isFramed;
    this.form.begin(response.head);
    this.sink.begin(response.head.status, response.head.headers, response.isFramed);
  }
}
