/**
 * Sends a request to one endpoint of a plain service, once, and buffers the whole response.
 */
import * as E from "fp-ts/Either";
import { computeRemainingMs, type Moment } from "../../core/clock";
import type { EndpointEntry } from "../../fleet/entries";
import {
  AbortCause,
  DeadlineSignal,
  type BufferedResponse,
  type ForwardRequest,
  SendTask,
  Verdict,
} from "../requests";
import {
  discardBody,
  readWholeBody,
  type OpenResponse,
  type SendFailure,
  SendFailureKind,
  type ForwardContext,
  type RequestTimes,
  resetDataCentreConnections,
  CallOutcome,
  confirmEnd,
  createSuspect,
  describeUnasserted,
  findNotRunEvidence,
  type NotRunEvidence,
  createWorkKind,
  type EndpointState,
  probeEndpoint,
} from "../endpoints";
import type { RacingSend } from "./sendrace";

/** How long after the deadline a response in progress is still awaited, in milliseconds. */
const DEADLINE_GRACE_MS = 120;
/** Responses with this status or a higher one don't say that the request ran to completion. */
const MIN_FAILURE_STATUS = 400;

/** How one send ended. */
export const SendEnd = {
  answered: "answered",
  notRun: "not run",
  /** Nothing was sent, as the endpoint wants no request now. */
  held: "held",
  /** The endpoint may have run the request, and no whole response arrived. */
  unknown: "unknown",
  /** It was given up, as another send of the request was answered. */
  replaced: "replaced",
  callerGone: "caller gone",
} as const;
export type SendEnd = (typeof SendEnd)[keyof typeof SendEnd];

/** The result of one send. */
export interface SendResult {
  readonly end: SendEnd;
  readonly response: BufferedResponse | undefined;
  readonly message: string;
  /** What shows that it was not run; undefined if nothing does. */
  readonly evidence?: NotRunEvidence | undefined;
}

/** What all sends of a request share. */
export interface ServiceSendParts {
  readonly context: ForwardContext;
  readonly request: ForwardRequest;
  readonly times: RequestTimes;
  /** Aborted when the caller leaves. */
  readonly caller: AbortSignal;
}

/**
 * One send of a request.
 *
 * @example
 * const send = new ServiceSend(parts, endpoint);
 * const { end, response } = await send.run();
 */
export class ServiceSend implements RacingSend<SendResult> {
  private readonly replaced = new AbortController();
  private wasSilent = false;

  constructor(
    private readonly parts: ServiceSendParts,
    readonly endpoint: EndpointEntry,
  ) {}

  /** Records that the send takes unusually long; given up after that, it counts as a failure. */
  markSilent(): void {
    this.wasSilent = true;
  }

  abort(): void {
    this.replaced.abort();
  }

  async run(): Promise<SendResult> {
    const { context, request, times, caller } = this.parts;
    const { clock, health, client } = context;
    const { endpoint } = this;
    const startedAt = clock.now();
    const units = computeQueuedUnits(health.readView(endpoint.id, startedAt).load, endpoint.slots);
    const call = health.beginCall(endpoint.id, startedAt);
    const deadlineSignal = new DeadlineSignal(clock, times.deadline + DEADLINE_GRACE_MS, caller);
    const send = {
      request,
      endpoint,
      task: SendTask.run,
      leftMs: computeRemainingMs(times.deadline, clock.now()),
      cacheSource: undefined,
      hold: undefined,
      lastEventId: undefined,
      urgency: undefined,
      needsNewConnection: false,
    };
    const signal = AbortSignal.any([deadlineSignal.signal, this.replaced.signal]);
    const opened = await client.send(send, signal);
    const evidence = findNotRunEvidence(opened);
    const received = E.isLeft(opened)
      ? await this.handleFailure(opened.left, evidence, deadlineSignal)
      : await this.readResponse(opened.right, evidence, deadlineSignal);
    deadlineSignal.close();
    const result = { ...received, end: this.classifyEnd(received, deadlineSignal) };
    const outcome = this.classifyCallOutcome(result, opened);
    this.recordResult(result, startedAt);
    call.end(outcome, clock.now());
    if (outcome === CallOutcome.success) {
      const kind = createWorkKind(request.route.name, request.service);
      const sample = { ms: clock.now() - startedAt, units, mayHoldConnect: true };
      health.recordWork(kind, endpoint.id, sample, clock.now());
    }
    if (outcome === CallOutcome.unreachable) {
      const { isUnreachable } = health.readView(endpoint.id, clock.now());
      context.logger.warn("endpoint unreachable", { endpoint: endpoint.id, isUnreachable });
    }
    return result;
  }

  private classifyEnd({ end }: SendResult, { cause }: DeadlineSignal): SendEnd {
    if (cause === AbortCause.callerGone) return SendEnd.callerGone;
    const isReplaced = this.isReplaced && end !== SendEnd.answered && end !== SendEnd.notRun;
    return isReplaced ? SendEnd.replaced : end;
  }

  private classifyCallOutcome(
    { end, response }: SendResult,
    opened: E.Either<SendFailure, OpenResponse>,
  ): CallOutcome {
    if (end === SendEnd.callerGone) return CallOutcome.abandoned;
    if (end === SendEnd.replaced) {
      return this.wasSilent ? CallOutcome.failure : CallOutcome.abandoned;
    }
    if (E.isLeft(opened) && opened.left.isLocal) return CallOutcome.abandoned;
    if (E.isLeft(opened) && !opened.left.isSent) return CallOutcome.unreachable;
    if (end === SendEnd.notRun) return CallOutcome.full;
    const isSuccess = response !== undefined && response.head.status < 500;
    return isSuccess ? CallOutcome.success : CallOutcome.failure;
  }

  private recordResult({ end, message, evidence }: SendResult, startedAt: Moment): void {
    const { context, request } = this.parts;
    const { clock, meter, logger } = context;
    const { service, head } = request;
    const endpoint = this.endpoint.id;
    const ms = clock.now() - startedAt;
    meter.recordSend({ service, endpoint, outcome: end }, ms);
    if (end === SendEnd.answered) return;
    const fields = { request: head.id, endpoint, end, evidence, message, ms: Math.round(ms) };
    const isFault = end === SendEnd.replaced ? this.wasSilent : end !== SendEnd.callerGone;
    if (isFault) logger.warn("send failed", fields);
    else logger.info("send failed", fields);
  }

  private async readResponse(
    response: OpenResponse,
    evidence: NotRunEvidence | undefined,
    deadlineSignal: DeadlineSignal,
  ): Promise<SendResult> {
    const { head, isFramed } = response;
    const { health, directory, clock, client } = this.parts.context;
    const { endpoint } = this;
    if (head.load !== undefined) health.recordLoad(endpoint.id, head.load, clock.now());
    if (head.verdict === Verdict.misdirected) directory.markMisdirected(endpoint, clock.now());
    if (evidence !== undefined) {
      discardBody(response.body);
      const message = `the endpoint has ${head.verdict}`;
      return createFailedResult(SendEnd.notRun, message, evidence);
    }
    const whole = await readWholeBody(response);
    if (E.isLeft(whole)) {
      await this.probeAfterBreak(deadlineSignal);
      return createFailedResult(SendEnd.unknown, whole.left.message);
    }
    if (head.verdict === Verdict.unauthentic) {
      client.reset(endpoint.address);
      const message = "the answer does not come from the endpoint itself";
      return createFailedResult(SendEnd.unknown, message);
    }
    const answerEnd = await confirmEnd(this.parts.context, {
      request: this.parts.request,
      endpoint,
      response,
      isSuspect: true,
    });
    if (answerEnd.proof === undefined) {
      return createFailedResult(SendEnd.unknown, describeUnasserted(answerEnd));
    }
    if (isFramed && head.status < MIN_FAILURE_STATUS) this.recordCompletion();
    const answer = { head, body: whole.right, isFramed };
    return { end: SendEnd.answered, response: answer, message: "answered" };
  }

  private recordCompletion(): void {
    const { context, request } = this.parts;
    context.crashes.recordCompletion(createSuspect(request), context.clock.now());
  }

  private async handleFailure(
    failure: SendFailure,
    evidence: NotRunEvidence | undefined,
    deadlineSignal: DeadlineSignal,
  ): Promise<SendResult> {
    const { message, isForeign, kind } = failure;
    const isTimeUp = deadlineSignal.cause === AbortCause.timeUp;
    const hasNoReply = isTimeUp || kind === SendFailureKind.unreachable;
    if (hasNoReply) resetDataCentreConnections(this.parts.context, this.endpoint);
    if (evidence !== undefined) {
      const end = kind === SendFailureKind.held ? SendEnd.held : SendEnd.notRun;
      return createFailedResult(end, message, evidence);
    }
    if (!isForeign) await this.probeAfterBreak(deadlineSignal);
    return createFailedResult(SendEnd.unknown, message);
  }

  /** Probes an endpoint whose connection ended; returns undefined if the send was aborted. */
  private async probeAfterBreak({ cause }: DeadlineSignal): Promise<EndpointState | undefined> {
    if (cause !== undefined || this.isReplaced) return undefined;
    const { context, request } = this.parts;
    return probeEndpoint(context, request, this.endpoint, true);
  }

  private get isReplaced(): boolean {
    return this.replaced.signal.aborted;
  }
}

/** Computes the work at an endpoint until a request ends, with what is ahead of it, in requests. */
function computeQueuedUnits(load: number, slots: number): number {
  const queued = Math.max(0, load + 1 - Math.max(1, slots));
  return 1 + queued / Math.max(1, slots);
}

function createFailedResult(end: SendEnd, message: string, evidence?: NotRunEvidence): SendResult {
  return { end, response: undefined, message, evidence };
}
