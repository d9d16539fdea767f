/**
 * Routes calls to plain services. A call on a non-repeatable route is sent at most once; with an
 * Idempotency-Key it is claimed in the log before it is sent. Calls on repeatable routes are retried
 * on other endpoints, within the retry budget.
 */
import type { IncomingHttpHeaders } from "node:http";
import * as E from "fp-ts/Either";
import type { Blackboard } from "../board/board";
import { type Claimer, ClaimResult } from "../control/claimer";
import { UNREACHABLE_COOLDOWN_MS } from "../control/prober";
import type { RecordedResponse } from "../core/claims";
import type { Clock, Moment } from "../core/clock";
import { computeRemainingMs } from "../core/clock";
import type { Route } from "../core/config/objects";
import { computeFingerprint, type IdGenerator } from "../core/ids";
import type { Logger } from "../core/log";
import { Metric, type Metrics } from "../core/metrics";
import { CRASHES_TO_BAN } from "../core/crashes/counter";
import {
  createNotRunRefusal,
  createUnknownRefusal,
  ExecutionStatus,
  Reason,
  type Refusal,
} from "../core/outcome";
import { createTimeoutSignal } from "../core/readfirst";
import type { RetryBudget } from "../core/retrybudget";
import type { NamedEndpoint } from "../core/pools";
import type { ServiceResponse, ServiceClient, ServiceError } from "../endpoint/service";
import type { Caller } from "./caller";
import { sendPatiently } from "./patientsend";
import { EndpointChooser } from "./servicechoice";

const MAX_ATTEMPTS = 4;
/** Time that an endpoint may take to show that it still runs. */
const PROBE_TIMEOUT_MS = 500;
const RETRY_AFTER_MS = 1000;
const CLAIM_RETRY_AFTER_MS = 2000;
const BAN_DURATION_MS = 60_000;

/** Headers that are passed on to a service; all others are dropped. */
export const FORWARDED_HEADERS = [
  "accept",
  "accept-language",
  "content-type",
  "idempotency-key",
  "traceparent",
] as const;

/** A service call that has passed all checks. */
export interface RoutedServiceRequest {
  readonly id: string;
  readonly caller: Caller;
  readonly routeName: string;
  readonly route: Route;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  readonly deadline: Moment;
  readonly signal: AbortSignal;
}

/** The response of a service, or the recorded response of an earlier call. */
export interface RoutedServiceResponse extends ServiceResponse {
  readonly isReplayed: boolean;
}

/** Dependencies that all service calls of an instance share. */
export interface ServiceRouterParts {
  readonly board: Blackboard;
  readonly clock: Clock;
  readonly ids: IdGenerator;
  readonly dataCentre: string;
  readonly claimer: Claimer;
  readonly services: ServiceClient;
  readonly retries: RetryBudget;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Routes calls to plain services. */
export class ServiceRouter {
  private readonly chooser: EndpointChooser;
  /**
   * Settles with the last queued suspect: calls that were running at a crash are sent one at a
   * time.
   */
  private suspectQueue: Promise<unknown> = Promise.resolve();

  constructor(private readonly parts: ServiceRouterParts) {
    this.chooser = new EndpointChooser(parts);
  }

  /** Runs a call to its final response. */
  async run(request: RoutedServiceRequest): Promise<E.Either<Refusal, RoutedServiceResponse>> {
    const key = readIdempotencyKey(request.headers);
    if (request.route.repeatable !== false) return this.runRepeatable(request);
    if (key !== undefined) return this.runClaimed(request, key);
    if (request.route.idempotencyKeyNeeded === true) {
      const message = "the route needs an Idempotency-Key";
      return E.left(createNotRunRefusal(400, Reason.idempotencyKeyNeeded, message));
    }
    return this.runOnce(request);
  }

  /** Sends the call only where this instance wins its claim in the log, and records the response. */
  private async runClaimed(
    request: RoutedServiceRequest,
    key: string,
  ): Promise<E.Either<Refusal, RoutedServiceResponse>> {
    const { claimer, metrics } = this.parts;
    const claimName = computeFingerprint(request.caller.workspace, request.routeName, key);
    const digest = computeFingerprint(
      request.method,
      request.path,
      request.body.toString("latin1"),
    );
    const claim = await claimer.claim(claimName, digest);
    metrics.count(Metric.claim, 1, { result: claim.result });
    if (claim.result === ClaimResult.unavailable) {
      const message = "the claim of the call cannot be recorded now";
      return E.left(
        createNotRunRefusal(503, Reason.claimUnavailable, message, CLAIM_RETRY_AFTER_MS),
      );
    }
    if (claim.result === ClaimResult.lost) return this.respondFromClaim(claim.state, digest);
    const result = await this.runOnce(request);
    if (E.isRight(result)) {
      void claimer.recordResponse(claimName, claim.claimId, createRecordedResponse(result.right));
    } else if (result.left.ran === ExecutionStatus.notRun)
      claimer.release(claimName, claim.claimId);
    return result;
  }

  private respondFromClaim(
    state: { readonly digest: string; readonly response: RecordedResponse | undefined } | undefined,
    digest: string,
  ): E.Either<Refusal, RoutedServiceResponse> {
    if (state !== undefined && state.digest !== digest) {
      const message = "the Idempotency-Key was used for another call";
      return E.left(createNotRunRefusal(422, Reason.claimReused, message));
    }
    if (state?.response === undefined) {
      const message = "a call with this Idempotency-Key was begun, and its outcome is not recorded";
      const refusal = createUnknownRefusal(Reason.claimedElsewhere, message, CLAIM_RETRY_AFTER_MS);
      return E.left(refusal);
    }
    const { status, body, type } = state.response;
    return E.right({
      status,
      headers: { "content-type": type },
      body: Buffer.from(body),
      isReplayed: true,
    });
  }

  /** Tries another endpoint only while no byte can have reached an earlier one. */
  private async runOnce(
    request: RoutedServiceRequest,
  ): Promise<E.Either<Refusal, RoutedServiceResponse>> {
    const excluded = new Set<string>();
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const chosen = this.chooser.chooseEndpoint(request, excluded);
      if (E.isLeft(chosen)) return chosen;
      const remainingMs = computeRemainingMs(request.deadline, this.parts.clock.now());
      const result = await this.send(request, chosen.right, remainingMs);
      if (E.isRight(result)) return E.right({ ...result.right, isReplayed: false });
      if (result.left.isSent) {
        const message = "the call was sent, and no whole answer came";
        return E.left(createUnknownRefusal(Reason.outcomeUnknown, message));
      }
      excluded.add(chosen.right.name);
    }
    return E.left(
      createNotRunRefusal(503, Reason.noEndpoint, "no endpoint can be reached", RETRY_AFTER_MS),
    );
  }

  private async runRepeatable(
    request: RoutedServiceRequest,
  ): Promise<E.Either<Refusal, RoutedServiceResponse>> {
    const { board, retries, clock } = this.parts;
    const fingerprint = computeFingerprint(
      request.method,
      request.path,
      request.body.toString("latin1"),
    );
    const excluded = new Set<string>();
    let wasSent = false;
    /** True if the next attempt is free, or its retry was consumed before the last one was given up. */
    let isPaid = true;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      if (board.poison.findBan(fingerprint, clock.now()) !== undefined)
        return createPoisonRefusal(wasSent);
      if (!isPaid && !retries.tryConsume(request.routeName, clock.now())) break;
      isPaid = false;
      const chosen = this.chooser.chooseEndpoint(request, excluded);
      if (E.isLeft(chosen))
        return wasSent
          ? E.left(createUnknownRefusal(Reason.noEndpoint, chosen.left.message, RETRY_AFTER_MS))
          : chosen;
      excluded.add(chosen.right.name);
      const takeRetry = () => {
        const canFollow =
          attempt + 1 < MAX_ATTEMPTS &&
          this.chooser.listReachableEndpoints(request, excluded).length > 0;
        isPaid = canFollow && retries.tryConsume(request.routeName, clock.now());
        return isPaid;
      };
      const result = await this.sendRepeatable(request, chosen.right, fingerprint, takeRetry);
      if (E.isRight(result)) return E.right({ ...result.right, isReplayed: false });
      wasSent = wasSent || result.left.isSent;
      if (clock.now() >= request.deadline || request.signal.aborted) break;
    }
    const message = "no endpoint answered";
    return E.left(
      wasSent
        ? createUnknownRefusal(Reason.outcomeUnknown, message, RETRY_AFTER_MS)
        : createNotRunRefusal(503, Reason.noEndpoint, message, RETRY_AFTER_MS),
    );
  }

  private async sendRepeatable(
    request: RoutedServiceRequest,
    endpoint: NamedEndpoint,
    fingerprint: string,
    takeRetry: () => boolean,
  ): Promise<E.Either<ServiceError, ServiceResponse>> {
    const { board, clock, logger } = this.parts;
    const isSuspect = board.poison.isSuspect(fingerprint, clock.now());
    const send = () =>
      sendPatiently({
        clock,
        logger,
        // Others wait for a suspect, so it is given up in any case.
        replace: () => isSuspect || takeRetry(),
        send: (replaced) => {
          const signal = AbortSignal.any([request.signal, replaced]);
          const remainingMs = computeRemainingMs(request.deadline, clock.now());
          return this.send({ ...request, signal }, endpoint, remainingMs);
        },
      });
    const result = await (isSuspect ? this.sendSerially(send) : send());
    if (E.isRight(result)) board.poison.clear(fingerprint);
    else if (result.left.isSent) await this.checkCrash(endpoint, fingerprint);
    return result;
  }

  private sendSerially<A>(send: () => Promise<A>): Promise<A> {
    const result = this.suspectQueue.then(send);
    this.suspectQueue = result.catch(() => undefined);
    return result;
  }

  /**
   * Probes an endpoint after a call to it failed. Where nothing listens any more, the call may have
   * crashed the endpoint and becomes a suspect; it is banned after `CRASHES_TO_BAN` crashes.
   */
  private async checkCrash(endpoint: NamedEndpoint, fingerprint: string): Promise<void> {
    const { board, clock, services } = this.parts;
    const probe = await services.call(endpoint.url, {
      attempt: "probe",
      method: "GET",
      path: "/livez",
      headers: {},
      body: Buffer.alloc(0),
      timeoutMs: PROBE_TIMEOUT_MS,
      signal: createTimeoutSignal(PROBE_TIMEOUT_MS),
    })();
    if (E.isRight(probe) || probe.left.isSent) return;
    const now = clock.now();
    board.poison.addSuspect(fingerprint, `${endpoint.name}@${now.toFixed(0)}`, now);
    if (board.poison.countCrashes(fingerprint, now) >= CRASHES_TO_BAN)
      board.poison.ban(fingerprint, now + BAN_DURATION_MS);
  }

  private async send(
    request: RoutedServiceRequest,
    endpoint: NamedEndpoint,
    timeoutMs: number,
  ): Promise<E.Either<ServiceError, ServiceResponse>> {
    const { services, ids, clock, board } = this.parts;
    const call = services.call(endpoint.url, {
      attempt: ids.next(),
      method: request.method,
      path: request.path,
      headers: chooseHeaders(request.headers),
      body: request.body,
      timeoutMs,
      signal: request.signal,
    });
    const result = await this.chooser.countWhile(endpoint.name, call);
    if (E.isLeft(result))
      board.unreachable.set(endpoint.name, { deadline: clock.now() + UNREACHABLE_COOLDOWN_MS });
    return result;
  }
}

/**
 * Chooses the headers that are passed on to a service.
 *
 * @example
 * chooseHeaders({ accept: "text/plain", cookie: "a=b" }); // { accept: "text/plain" }
 */
export function chooseHeaders(headers: IncomingHttpHeaders): Readonly<Record<string, string>> {
  const chosen: Record<string, string> = {};
  for (const name of FORWARDED_HEADERS) {
    const value = headers[name];
    if (typeof value === "string") chosen[name] = value;
  }
  return chosen;
}

function readIdempotencyKey(headers: IncomingHttpHeaders): string | undefined {
  const value = headers["idempotency-key"];
  return typeof value === "string" && value !== "" ? value : undefined;
}

function createPoisonRefusal(wasSent: boolean): E.Either<Refusal, never> {
  const message = "the request crashes the endpoints that run it";
  return E.left(
    wasSent
      ? createUnknownRefusal(Reason.poison, message)
      : createNotRunRefusal(422, Reason.poison, message),
  );
}

function createRecordedResponse(response: RoutedServiceResponse): RecordedResponse {
  return {
    status: response.status,
    body: response.body.toString("utf8"),
    type: response.headers["content-type"] ?? "application/octet-stream",
  };
}
