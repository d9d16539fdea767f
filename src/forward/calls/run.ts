/**
 * Runs a request at a plain service. A request that may not be retried is run at most once. One that
 * may be is sent to another endpoint if its own is silent: the sends stay open beside each other, and
 * the first that is answered gives up the others.
 */
import * as E from "fp-ts/Either";
import { computeRemainingMs, type Moment } from "../../core/clock";
import {
  createCancelledRefusal,
  createNotRunRefusal,
  createPoisonRefusal,
  createUnknownRefusal,
  ExecutionStatus,
  Reason,
  Refusal,
} from "../../core/outcome";
import { RetryMode } from "../../fleet/config";
import { type Candidate, chooseEndpoint, type EndpointChoice } from "./balancer";
import { computeFreeAfterMs, isHopeless } from "./waiting";
import {
  type ForwardContext,
  type RequestTimes,
  resetDataCentreConnections,
  createSuspect,
  createWorkKind,
  type SlownessReport,
  isInRegions,
} from "../endpoints";
import type { BufferedResponse, ForwardRequest } from "../requests";
import { RaceEventKind, SendRace } from "./sendrace";
import { SendEnd, type SendResult, ServiceSend } from "./send";

/** Maximum number of sends of one request, including those that did not run it. */
const MAX_SENDS = 4;
/**
 * The share of the time from arrival to the soft deadline after which another endpoint is looked for
 * if a retryable request has no response.
 */
const RETRY_TIMEOUT_SHARE = 0.75;
/** The least time before such a retry, as a multiple of the endpoint's usual latency. */
const RETRY_TIMEOUT_LATENCY_FACTOR = 4;
/** Pause between two searches for another endpoint beside a silent one, in milliseconds. */
const SEARCH_PAUSE_MS = 500;
/** Retry delay for callers whose request no endpoint ran, in milliseconds. */
const RETRY_AFTER_MS = 250;
/**
 * Minimum remaining time for another send, in milliseconds; with less, no response can arrive in
 * time.
 */
const MIN_REMAINING_MS = 5;
/**
 * How long before the deadline a failure response is passed on though a send is open that may get a
 * better one, in milliseconds.
 */
const FAILURE_MARGIN_MS = 50;
/** Responses with this status or a higher one are not final while a retry may get another one. */
const MIN_RETRY_STATUS = 500;

/** Why a request is sent to no endpoint. */
interface SendBar {
  /** Undefined if what happened before says it. */
  readonly message: string | undefined;
  /** True if the request or a part of its prompt was found to crash endpoints. */
  readonly isBanned: boolean;
}

/**
 * Runs one request, over all its sends.
 *
 * @example
 * const run = new ServiceRun(context, request, times, caller);
 * const response = await run.run();
 */
export class ServiceRun {
  private readonly triedEndpoints = new Set<string>();
  private readonly race: SendRace<SendResult, ServiceSend>;
  /** Number of sends that have ended, without those that were held back. */
  private sends = 0;
  /** Number of sends that have ended and may have run the request. */
  private endedRuns = 0;
  /** Number of sends that were given up as another one was answered. */
  private givenUp = 0;
  /** Last failure response after which a retry was allowed; final if no retry gets a response. */
  private failedResponse: BufferedResponse | undefined;
  private message: string;
  private isBanned = false;

  constructor(
    private readonly context: ForwardContext,
    private readonly request: ForwardRequest,
    private readonly times: RequestTimes,
    private readonly caller: AbortSignal,
  ) {
    this.race = new SendRace(context.logger);
    const where = request.allowedRegions === undefined ? "listed" : "in an allowed region";
    this.message = `no endpoint of the service is ${where}`;
  }

  /** Number of sends that may have run the request, without one that its caller left. */
  get runs(): number {
    return this.endedRuns + this.givenUp;
  }

  /** Runs the request until its final response. */
  async run(): Promise<E.Either<Refusal, BufferedResponse>> {
    try {
      return await this.runSends();
    } finally {
      this.race.close();
    }
  }

  private async runSends(): Promise<E.Either<Refusal, BufferedResponse>> {
    while (this.race.size > 0 || this.beginNext()) {
      const event = await this.race.next();
      if (event.kind === RaceEventKind.silent) {
        this.searchBeside(event.send);
        continue;
      }
      if (event.kind === RaceEventKind.timeUp) break;
      const { result } = event;
      if (result.end === SendEnd.callerGone) return E.left(createCancelledRefusal());
      this.recordEnd(result);
      if (result.response !== undefined && !this.canImprove(result.response)) {
        this.givenUp = this.race.size;
        return E.right(result.response);
      }
      if (this.failedResponse !== undefined) this.limitOpenSends();
    }
    this.givenUp = this.race.size;
    return this.createFinalResult();
  }

  /** Waits for a better response only as long as the failure response that is there is in time. */
  private limitOpenSends(): void {
    const leftMs = computeRemainingMs(this.times.deadline, this.context.clock.now());
    this.race.limit(Math.max(0, leftMs - FAILURE_MARGIN_MS));
  }

  private recordEnd({ end, response, message }: SendResult): void {
    this.message = message;
    this.failedResponse = response ?? this.failedResponse;
    if (end === SendEnd.held) return;
    this.sends += 1;
    if (end !== SendEnd.notRun) this.endedRuns += 1;
  }

  /** Checks whether a failure response may still be replaced by a better one. */
  private canImprove({ head }: BufferedResponse): boolean {
    if (head.status < MIN_RETRY_STATUS) return false;
    return this.race.size > 0 || (this.isRetryable() && this.canSend());
  }

  /** Begins a send while none is open; returns false if none may follow. */
  private beginNext(): boolean {
    if (!this.canSend()) return false;
    const choice = this.chooseAndCharge();
    if (E.isLeft(choice)) {
      this.message = choice.left.message ?? this.message;
      this.isBanned = choice.left.isBanned;
      return false;
    }
    this.begin(choice.right);
    return true;
  }

  /** Begins a send beside a silent one, which goes on. */
  private searchBeside(silent: ServiceSend): void {
    silent.markSilent();
    this.race.watch(silent, SEARCH_PAUSE_MS);
    if (!this.race.isNewest(silent) || !this.canSend()) return;
    const choice = this.chooseAndCharge();
    if (E.isLeft(choice)) return;
    resetDataCentreConnections(this.context, silent.endpoint);
    this.begin(choice.right);
  }

  private begin(choice: EndpointChoice): void {
    const { endpoint, cost, candidates, isByTime, slowness } = choice;
    const { clock, crashes, meter, logger, directory, health } = this.context;
    const { request, times, caller, context, race } = this;
    crashes.beginRun(createSuspect(request), clock.now());
    if (this.endedRuns + race.size > 0) meter.repeats.inc({ service: request.service });
    logger.info("place", {
      request: request.head.id,
      send: this.sends + race.size + 1,
      endpoint: endpoint.id,
      cost: Math.round(cost * 100) / 100,
      candidates,
      listOffset: directory.next.offset,
      isByTime,
      ...(slowness === undefined ? {} : describeSlowness(slowness)),
    });
    if (isByTime) meter.timedChoices.inc({ service: request.service });
    this.triedEndpoints.add(endpoint.id);
    const send = new ServiceSend({ context, request, times, caller }, endpoint);
    const latencyBasedMs = health.readLatencyMs(endpoint.id) * RETRY_TIMEOUT_LATENCY_FACTOR;
    const shareMs = (times.softDeadline - times.arrivedAt) * RETRY_TIMEOUT_SHARE;
    race.add(send);
    if (this.isRetryable()) race.watch(send, Math.max(shareMs, latencyBasedMs));
  }

  /** Chooses an endpoint that was not tried, and charges a retry to the budget. */
  private chooseAndCharge(): E.Either<SendBar, EndpointChoice> {
    const { clock, crashes, retries, dataCentre, random } = this.context;
    const { service } = this.request;
    const now = clock.now();
    const remainingMs = computeRemainingMs(this.times.deadline, now);
    if (remainingMs < MIN_REMAINING_MS) return createBar();
    if (crashes.findBan(createSuspect(this.request), now) !== undefined) {
      const message = "the request crashes the endpoints that run it";
      return E.left({ message, isBanned: true });
    }
    const candidates = this.listCandidates(now);
    const choice = chooseEndpoint(candidates, dataCentre, this.triedEndpoints, random);
    if (choice === undefined) return createBar();
    const isRetry = this.sends + this.race.size > 0;
    if (!isRetry && isHopeless(candidates, remainingMs)) {
      return createBar("no endpoint can be expected to serve the request in time");
    }
    if (isRetry && !retries.tryConsume(service, now)) {
      return createBar(`${this.message}; no retry is left in the budget`);
    }
    return E.right(choice);
  }

  /** Leaves out the candidates outside the regions in which the request may be run. */
  private listAllowed(candidates: readonly Candidate[]): readonly Candidate[] {
    const { allowedRegions } = this.request;
    return candidates.filter(({ endpoint }) => isInRegions(this.context, allowedRegions, endpoint));
  }

  /** Checks whether a send may follow, beside those that are open, which count as runs too. */
  private canSend(): boolean {
    const runs = this.endedRuns + this.race.size;
    if (this.sends + this.race.size >= MAX_SENDS) return false;
    if (runs > 0 && !this.isRetryable()) return false;
    return runs === 0 || runs < this.request.route.maxAttempts;
  }

  private isRetryable(): boolean {
    return this.request.route.retryMode !== RetryMode.once;
  }

  private listCandidates(now: Moment): readonly Candidate[] {
    const { route, service } = this.request;
    const kind = createWorkKind(route.name, service);
    return this.listAllowed(listCandidates(this.context, service, kind, now));
  }

  /** Computes how long no endpoint of the service takes a request; undefined if one takes some. */
  private computeHoldMs(): number | undefined {
    const { directory, gate, clock } = this.context;
    const endpoints = directory
      .listUsable(clock.now())
      .filter((endpoint) => endpoint.service === this.request.service)
      .filter((endpoint) => isInRegions(this.context, this.request.allowedRegions, endpoint));
    return gate.computeSharedHoldMs(endpoints);
  }

  private computeRetryMs(): number {
    const { clock, random } = this.context;
    return computeFreeAfterMs(this.listCandidates(clock.now()), RETRY_AFTER_MS, random);
  }

  private createFinalResult(): E.Either<Refusal, BufferedResponse> {
    if (this.failedResponse !== undefined) return E.right(this.failedResponse);
    const isLate = this.context.clock.now() >= this.times.deadline;
    if (this.runs === 0 && this.isBanned) return E.left(createPoisonRefusal());
    if (this.runs === 0) {
      const reason = isLate ? Reason.deadline : Reason.noEndpoint;
      const holdMs = this.computeHoldMs();
      const message = holdMs === undefined ? this.message : "no endpoint takes requests now";
      return E.left(createNotRunRefusal(503, reason, message, holdMs ?? this.computeRetryMs()));
    }
    if (isLate)
      return E.left(new Refusal(504, Reason.deadline, ExecutionStatus.unknown, this.message));
    return E.left(createUnknownRefusal(Reason.outcomeUnknown, this.message));
  }
}

function describeSlowness({ factor, ageMs }: SlownessReport) {
  return { slowness: factor, slownessAgeMs: Math.round(ageMs) };
}

function createBar(message?: string): E.Either<SendBar, never> {
  return E.left({ message, isBanned: false });
}

/**
 * Lists the usable endpoints of a service, which excludes leaving ones and those that nothing may be
 * sent to now, with their health and whether they may be gone.
 *
 * @example
 * listCandidates(context, "job-sheets", createWorkKind("lookups", "job-sheets"), clock.now());
 */
export function listCandidates(
  context: ForwardContext,
  service: string,
  workKind: string,
  now: Moment,
) {
  const { directory, health, gate, subsets } = context;
  const endpoints = directory.listUsable(now).filter((endpoint) => endpoint.service === service);
  const subset = subsets.find(service, endpoints);
  return endpoints
    .filter((endpoint) => !gate.isHeldBack(endpoint.id))
    .map((endpoint) => ({
      endpoint,
      health: health.readView(endpoint.id, now),
      isInDoubt: directory.isInDoubt(endpoint.id),
      isLimited: gate.isLimited(endpoint),
      isOutsideSubset: subset !== undefined && !subset.has(endpoint.id),
      speed: health.estimateSpeed(workKind, endpoint.id, now),
    }));
}
