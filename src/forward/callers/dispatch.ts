/**
 * Runs a request from admission to its final response, and logs and counts how it ended.
 */
import * as E from "fp-ts/Either";
import type { Moment } from "../../core/clock";
import { ExecutionStatus, Reason, type Refusal } from "../../core/outcome";
import type { EngineLimits } from "../../fleet/config";
import type { StoreWatcher } from "../../fleet/watcher";
import type { Admission } from "./admission";
import { computeTimes, type ForwardContext, type RequestTimes } from "../endpoints";
import type { Arrivals, ReservationQueue, EngineModel, EngineLoadTracker } from "../engines";
import { type ForwardRequest, RequestOutcome, RequestStage } from "../requests";
import type { RefusalTracker } from "../shared";
import { ServiceRun } from "../calls";
import { type ResumeResolver, type StreamStart, StreamRun } from "../generations";
import type { CallerResponse, CallerRequest } from "./server";
import type { StopAdmission } from "./stopadmission";

/** The status recorded for a stream that was sent through the sink. */
const STREAM_STATUS = 200;
/** Responses with this status or a higher one count as failures of the endpoint. */
const MIN_FAILURE_STATUS = 500;

/** Dependencies of the dispatcher. */
export interface DispatchParts {
  readonly context: ForwardContext;
  readonly admission: Admission;
  readonly stopAdmission: StopAdmission;
  readonly resumeResolver: ResumeResolver;
  readonly reservations: ReservationQueue;
  readonly engineLoad: EngineLoadTracker;
  readonly engineModel: EngineModel;
  readonly refusals: RefusalTracker;
  readonly arrivals: Arrivals;
  readonly watcher: StoreWatcher;
}

/** How a request ended. */
interface RequestEnd {
  readonly response: CallerResponse;
  /** True if a stream was cut before its end. */
  readonly isCut: boolean;
  readonly isCallerGone: boolean;
  /** Number of sends that may have run the request. */
  readonly runs: number;
}

/** When a request arrived, and the version of the configuration that admitted it. */
interface Arrival {
  readonly arrivedAt: Moment;
  readonly configVersion: number | undefined;
}

/** Admits requests and runs them. */
export class Dispatcher {
  constructor(private readonly parts: DispatchParts) {}

  /** Runs a request until its final response. */
  async run(request: CallerRequest): Promise<CallerResponse> {
    const { loopDelay } = this.parts.context;
    loopDelay.beginRequest();
    try {
      return await this.handle(request);
    } finally {
      loopDelay.endRequest();
    }
  }

  private async handle(request: CallerRequest): Promise<CallerResponse> {
    const { head, body, arrivedAt } = request;
    const { admission, context } = this.parts;
    const arrival = { arrivedAt, configVersion: this.readConfigVersion() };
    const admitted = await admission.admit(head, body, arrivedAt);
    if (E.isLeft(admitted)) return admitted;
    const times = computeTimes(admitted.right, arrivedAt);
    request.watched.setDeadline(times.deadline);
    const { route } = admitted.right;
    const late = this.parts.stopAdmission.refuse(
      { route, deadline: times.deadline },
      context.clock.now(),
    );
    if (late !== undefined) return E.left(late);
    this.logAdmitted(admitted.right, times);
    request.watched.enter(RequestStage.resume);
    const start = await this.resolveStart(admitted.right);
    const started = E.isLeft(start) ? admitted.right : start.right.request;
    context.retries.recordRequest(started.service, arrivedAt);
    const end = E.isLeft(start)
      ? { response: start, isCut: false, isCallerGone: request.caller.aborted, runs: 0 }
      : await this.runAdmitted(start.right, times, request);
    this.recordEnd(started, end, arrival);
    return end.response;
  }

  /** Finds out where a stream goes on that a caller takes up; other requests start as they are. */
  private async resolveStart(request: ForwardRequest): Promise<E.Either<Refusal, StreamStart>> {
    if (findEngineLimits(request) === undefined) {
      return E.right({ request, origin: undefined });
    }
    return this.parts.resumeResolver.resolve(request);
  }

  private async runAdmitted(
    start: StreamStart,
    times: RequestTimes,
    { head, arrivedAt, caller, sink, watched }: CallerRequest,
  ): Promise<RequestEnd> {
    const { context, reservations, engineLoad, engineModel, refusals, arrivals } = this.parts;
    const engine = findEngineLimits(start.request);
    if (engine === undefined) {
      watched.enter(RequestStage.service);
      const run = new ServiceRun(context, start.request, times, caller);
      const response = await run.run();
      return { response, isCut: false, isCallerGone: caller.aborted, runs: run.runs };
    }
    arrivals.recordLocal(head.size?.promptTokens ?? 0, arrivedAt);
    const parts = { context, reservations, engineLoad, engineModel, arrivals, refusals };
    const run = new StreamRun(parts, start, engine, times, caller, sink, watched);
    const response = await run.run();
    return { response, isCut: run.isCut, isCallerGone: caller.aborted, runs: run.runs };
  }

  private logAdmitted(forwardRequest: ForwardRequest, times: RequestTimes): void {
    const { context, watcher } = this.parts;
    const { head, route, service, workspace, priority, isOverRate } = forwardRequest;
    const { config } = forwardRequest.configIndex;
    context.logger.info("request", {
      request: head.id,
      route: route.name,
      service,
      workspace: workspace?.name ?? "",
      priority,
      isOverRate,
      leftMs: Math.round(times.deadline - times.arrivedAt),
      config: config.version,
      configAgeMs: Math.round(watcher.computeConfigAgeMs()),
    });
  }

  /**
   * Records how a request ended. Refusals are logged where they are sent; the line here adds what is
   * not known there.
   */
  private recordEnd(forwardRequest: ForwardRequest, end: RequestEnd, arrival: Arrival): void {
    const { context } = this.parts;
    const { head, route, priority } = forwardRequest;
    const { response } = end;
    const ms = context.clock.now() - arrival.arrivedAt;
    const outcome = classifyRequestOutcome(end);
    context.meter.recordRequest(route.name, priority, outcome, ms);
    if (outcome === RequestOutcome.answered) this.parts.stopAdmission.record(route.name, ms);
    const state = this.describeState(forwardRequest, end, arrival);
    if (response !== undefined && E.isLeft(response)) {
      context.logger.info("refused after", { request: head.id, route: route.name, ...state });
      return;
    }
    const status = response?.right.head.status ?? STREAM_STATUS;
    const answer = { request: head.id, route: route.name, status, outcome, ms: Math.round(ms) };
    const fields = { ...answer, isCut: end.isCut, ...state };
    if (outcome === RequestOutcome.failed) context.logger.warn("answered", fields);
    else
      context.logger.info(outcome === RequestOutcome.cancelled ? "cancelled" : "answered", fields);
  }

  /** Describes what may have decided how a request ended, beside its endpoints. */
  private describeState(
    { route, service }: ForwardRequest,
    { runs }: RequestEnd,
    { arrivedAt, configVersion }: Arrival,
  ) {
    const { clock, retries, loopDelay } = this.parts.context;
    return {
      runs,
      maxAttempts: route.maxAttempts,
      hasBudget: retries.canConsume(service, clock.now()),
      configAtStart: configVersion,
      configAtEnd: this.readConfigVersion(),
      loopDelayMs: Math.round(loopDelay.computeLongestMs(arrivedAt)),
    };
  }

  private readConfigVersion(): number | undefined {
    return this.parts.watcher.readConfigIndex()?.config.version;
  }
}

/**
 * Finds the limits of a generation's engines in the configuration that admitted it; undefined if the
 * request is not a generation.
 */
function findEngineLimits(request: ForwardRequest): EngineLimits | undefined {
  const { route, service, configIndex } = request;
  return route.isStream ? configIndex.findService(service)?.engine : undefined;
}

function classifyRequestOutcome({ response, isCut, isCallerGone }: RequestEnd): RequestOutcome {
  if (isCut) return isCallerGone ? RequestOutcome.cancelled : RequestOutcome.failed;
  if (response === undefined) return RequestOutcome.answered;
  if (E.isRight(response)) {
    return response.right.head.status < MIN_FAILURE_STATUS
      ? RequestOutcome.answered
      : RequestOutcome.failed;
  }
  if (response.left.reason === Reason.cancelled) return RequestOutcome.cancelled;
  return response.left.ran === ExecutionStatus.notRun
    ? RequestOutcome.refused
    : RequestOutcome.failed;
}
