/**
 * Sends runs of a generation to decode engines, reads the heads of their responses, and records what
 * a run without a stream says of its engine.
 */
import * as E from "fp-ts/Either";
import { computeRemainingMs, type Moment } from "../../core/clock";
import { isSuspect } from "../../core/crashes/suspects";
import { formatStack } from "../../core/log";
import { RetryMode } from "../../fleet/config";
import type { EndpointEntry } from "../../fleet/entries";
import { type DeadlineSignal, type ForwardRequest, SendTask, Verdict } from "../requests";
import { createAbortResult, TryEnd, type TryResult } from "./tries";
import {
  discardBody,
  readWholeBody,
  type OpenResponse,
  SendFailure,
  SendFailureKind,
  type ForwardContext,
  type RequestTimes,
  resetDataCentreConnections,
  confirmEnd,
  describeUnasserted,
  EndpointState,
  CheckMoment,
  checkProcess,
  createProcessId,
  isOtherProcess,
  type ProcessState,
  findNotRunEvidence,
  probeEndpoint,
} from "../endpoints";
import type { EngineLoadTracker, ReservationQueue } from "../engines";
import type { StreamOrigin } from "../shared";
import { computeJoinCheckMs, mayJoin, needsList } from "./joinguard";
import { SentRun, type TryStart } from "./sentrun";
import type { StreamForm } from "./streamform";

/** Dependencies of a sender. */
export interface RunSenderParts {
  readonly context: ForwardContext;
  readonly reservations: ReservationQueue;
  readonly engineLoad: EngineLoadTracker;
}

/** Sends the runs of one generation. */
export class RunSender {
  private cachedId: string | undefined;

  constructor(
    private readonly parts: RunSenderParts,
    private readonly request: ForwardRequest,
    private readonly times: RequestTimes,
    private readonly form: StreamForm,
  ) {}

  /**
   * The id of an engine whose connection broke while its process is up: the prompt is still in its
   * cache.
   */
  get cachedEngineId(): string | undefined {
    return this.cachedId;
  }

  /** True if a broken stream may be resumed on another engine. */
  get isResumable(): boolean {
    return this.request.route.retryMode !== RetryMode.once;
  }

  /**
   * Sends the generation with its reservation.
   *
   * @param run - number of this run of the generation, from 1
   * @param lastEventId - the last event that the caller got; undefined if it got none
   */
  send(start: TryStart, run: number, lastEventId: string | undefined): SentRun {
    const { clock, client, logger, listConfirmer } = this.parts.context;
    const { request } = this;
    const { reservation, source } = start.engine;
    const { endpoint, hold } = reservation;
    const leftMs = computeRemainingMs(this.times.deadline, clock.now());
    logger.info("decode", {
      request: request.head.id,
      engine: endpoint.id,
      process: createProcessId(endpoint),
      version: endpoint.version,
      listAgeMs: Math.round(listConfirmer.computeAgeMs()),
      source: source?.endpoint.address ?? "none",
      run,
      lastEvent: lastEventId ?? "",
      leftMs,
    });
    const send = {
      request,
      endpoint,
      task: SendTask.run,
      leftMs,
      cacheSource: source,
      hold,
      lastEventId,
      urgency: undefined,
      needsNewConnection: !this.isResumable,
    };
    const controller = new AbortController();
    const signal = AbortSignal.any([start.deadlineSignal.signal, controller.signal]);
    const opened = client.send(send, signal).catch((error: unknown) => this.convertFault(error));
    return new SentRun(start, this.form, controller, opened);
  }

  /** An unexpected error ends the send; the engine may have got the request. */
  private convertFault(error: unknown): E.Either<SendFailure, never> {
    this.parts.context.logger.error("send threw", {
      request: this.request.head.id,
      stack: formatStack(error),
    });
    return E.left(new SendFailure(SendFailureKind.broken, String(error)));
  }

  /**
   * Reads the head of a run's response.
   *
   * @param isReplaced - returns true if the run was given up meanwhile for another one
   * @returns the response of a stream; for any other the result of the try
   */
  async readHead(
    sent: SentRun,
    isReplaced: () => boolean,
  ): Promise<E.Either<TryResult, OpenResponse>> {
    const opened = await sent.opened;
    if (E.isLeft(opened)) return E.left(await this.handleFailure(opened.left, sent, isReplaced()));
    const response = opened.right;
    if (isReplaced()) {
      response.body.destroy();
      return E.left(createReplacedResult());
    }
    if (!this.form.matches(response.head)) {
      return E.left(await this.readOtherResponse(response, sent));
    }
    if (await this.mayJoin(sent)) return E.right(response);
    response.body.destroy();
    return E.left({ end: TryEnd.broken, message: "another process of the engine answered" });
  }

  /**
   * Asks an engine at which a stream is to go on which process it is; where it does not tell, the list is
   * read again.
   *
   * @param grantedAt - when the engine granted memory for the run
   * @param origin - the engine that began the stream; undefined for a new one
   * @returns undefined for a new stream
   */
  async checkBeforeSend(
    endpoint: EndpointEntry,
    grantedAt: Moment,
    origin: StreamOrigin | undefined,
  ): Promise<ProcessState | undefined> {
    if (origin === undefined) return undefined;
    const { context } = this.parts;
    const asked = { request: this.request.head.id, moment: CheckMoment.beforeSend };
    const state = await checkProcess(context, endpoint, asked);
    if (needsList(state)) await context.listConfirmer.refresh(grantedAt);
    return state;
  }

  /** Checks whether the events of a run may go on with the stream that began before it. */
  private async mayJoin({ endpoint, start }: SentRun): Promise<boolean> {
    const { processState: beforeSend } = start;
    if (beforeSend === undefined) return true;
    const asked = { request: this.request.head.id, moment: CheckMoment.beforeJoin };
    const { context } = this.parts;
    const answeredAt = context.clock.now();
    const leftMs = computeRemainingMs(this.times.deadline, answeredAt);
    const checkMs = computeJoinCheckMs(beforeSend, leftMs);
    const beforeJoin = await checkProcess(context, endpoint, asked, checkMs);
    if (needsList(beforeJoin)) await context.listConfirmer.refresh(answeredAt);
    const listed = context.directory.find(endpoint.id);
    return mayJoin({ beforeSend, beforeJoin, isOtherListed: isOtherProcess(endpoint, listed) });
  }

  /** Reads the result of a run that brought no stream, while another run goes on. */
  async readResult(sent: SentRun): Promise<TryResult> {
    const response = await this.readHead(sent, () => false);
    return E.isLeft(response) ? response.left : this.readWithdrawn(sent);
  }

  /** Reads the result of a run that was aborted, as its stream is not needed. */
  async readWithdrawn(sent: SentRun): Promise<TryResult> {
    const opened = await sent.opened;
    const evidence = findNotRunEvidence(opened);
    if (E.isLeft(opened) && evidence !== undefined) {
      this.parts.reservations.release(sent.start.engine.reservation);
      return { end: TryEnd.notRun, message: opened.left.message, evidence };
    }
    if (E.isRight(opened) && evidence !== undefined) {
      return this.readOtherResponse(opened.right, sent);
    }
    if (E.isRight(opened)) opened.right.body.destroy();
    return { end: TryEnd.withdrawn, message: "the silent run before it has gone on or ended" };
  }

  /** Marks an engine that went silent or broke, and closes the idle connections to it. */
  markUnavailable(endpoint: EndpointEntry): void {
    const { context, engineLoad } = this.parts;
    engineLoad.markUnavailable(endpoint.id, context.clock.now());
    resetDataCentreConnections(context, endpoint);
  }

  /**
   * Probes an engine whose connection broke.
   *
   * @param firstEventAt - when the first event of the run arrived; undefined if none did
   */
  async handleBreak(
    endpoint: EndpointEntry,
    firstEventAt: Moment | undefined,
    message: string,
  ): Promise<TryResult> {
    resetDataCentreConnections(this.parts.context, endpoint);
    const state = await this.probeAfterBreak(endpoint, firstEventAt);
    if (state === EndpointState.up) this.cachedId = endpoint.id;
    else this.markUnavailable(endpoint);
    return { end: TryEnd.broken, message };
  }

  /** Probes an engine by a new connection; records a crash if it is down. */
  probeAfterBreak(
    endpoint: EndpointEntry,
    firstEventAt: Moment | undefined,
  ): Promise<EndpointState> {
    const { context } = this.parts;
    const broken = { firstEventAt, brokeAt: context.clock.now() };
    return probeEndpoint(context, this.request, endpoint, isSuspect(broken));
  }

  private async handleFailure(
    failure: SendFailure,
    { endpoint, start }: SentRun,
    isReplaced: boolean,
  ): Promise<TryResult> {
    const { context, engineLoad, reservations } = this.parts;
    const { isLocal, isForeign, message } = failure;
    const evidence = findNotRunEvidence(E.left(failure));
    if (evidence !== undefined) reservations.release(start.engine.reservation);
    const aborted = createAbortResult(start.deadlineSignal);
    if (aborted !== undefined) return aborted;
    if (isReplaced) return createReplacedResult();
    if (evidence !== undefined) {
      if (isLocal) engineLoad.markFull(endpoint.id, context.clock.now());
      else this.markUnavailable(endpoint);
      return { end: TryEnd.notRun, message, evidence };
    }
    if (isForeign) return { end: TryEnd.broken, message };
    return this.handleBreak(endpoint, undefined, message);
  }

  private async readOtherResponse(
    response: OpenResponse,
    { endpoint, start }: SentRun,
  ): Promise<TryResult> {
    const { head } = response;
    const { engineLoad, context } = this.parts;
    const evidence = findNotRunEvidence(E.right(response));
    if (evidence !== undefined) {
      discardBody(response.body);
      if (head.verdict === Verdict.misdirected)
        context.directory.markMisdirected(endpoint, context.clock.now());
      else engineLoad.recordRefusal(endpoint.id, context.clock.now());
      return { end: TryEnd.notRun, message: `the engine answered ${head.status}`, evidence };
    }
    if (head.verdict === Verdict.unauthentic) {
      response.body.destroy();
      resetDataCentreConnections(context, endpoint);
      return { end: TryEnd.broken, message: "the answer does not come from the endpoint itself" };
    }
    return this.readFailureResponse(response, endpoint, start.deadlineSignal);
  }

  /** Reads an answer that is passed on as it is; one whose end nobody asserted may be cut. */
  private async readFailureResponse(
    response: OpenResponse,
    endpoint: EndpointEntry,
    deadlineSignal: DeadlineSignal,
  ): Promise<TryResult> {
    const { context } = this.parts;
    const { request } = this;
    const message = `the engine answered ${response.head.status}`;
    const whole = await readWholeBody(response);
    if (E.isLeft(whole)) {
      const broken = { end: TryEnd.broken, message: whole.left.message };
      return createAbortResult(deadlineSignal) ?? broken;
    }
    const answerEnd = await confirmEnd(context, { request, endpoint, response, isSuspect: true });
    if (answerEnd.proof === undefined) {
      const aborted = createAbortResult(deadlineSignal);
      return aborted ?? this.handleBreak(endpoint, undefined, describeUnasserted(answerEnd));
    }
    const { head, isFramed } = response;
    return { end: TryEnd.failed, message, response: { head, body: whole.right, isFramed } };
  }
}

function createReplacedResult(): TryResult {
  return { end: TryEnd.broken, message: "no answer came, and another engine goes on" };
}
