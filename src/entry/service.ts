/**
 * Calls to plain services. A call on a non-repeatable route is sent at most once; with an
 * Idempotency-Key it is claimed in the log before it is sent.
 */
import type { IncomingHttpHeaders } from "node:http";
import * as E from "fp-ts/Either";
import type { Blackboard } from "../board/board";
import { type Claimer, ClaimResult } from "../control/claimer";
import { isEndpointLeaving } from "../control/listpoller";
import { UNREACHABLE_COOLDOWN_MS } from "../control/prober";
import type { RecordedAnswer } from "../core/claims";
import type { Clock, Moment } from "../core/clock";
import { computeRemainingMs } from "../core/clock";
import { type Route, Role } from "../core/config";
import { computeFingerprint, type IdGenerator } from "../core/ids";
import { matchesSelector, type Selector } from "../core/labels";
import type { Logger } from "../core/log";
import { Metric, type Metrics } from "../core/metrics";
import { CRASHES_TO_BAN } from "../core/crashes";
import { createNotRunRefusal, createUnknownRefusal, Reason, type Refusal } from "../core/outcome";
import type { RetryBudget } from "../core/retrybudget";
import type { NamedEndpoint } from "../core/pools";
import type { ServiceResponse, ServiceClient, ServiceError } from "../endpoint/service";
import { type Caller, checkCaller } from "./caller";

const MAX_ATTEMPTS = 4;
/** How long a repeatable call may take before it is sent elsewhere. */
const ATTEMPT_MS = 2500;
const RETRY_AFTER_MS = 1000;
const CLAIM_RETRY_MS = 2000;
const BAN_MS = 60_000;

/** Headers that are passed on to a service; all others stay here. */
export const FORWARDED_HEADERS = [
  "accept",
  "accept-language",
  "content-type",
  "idempotency-key",
  "traceparent",
] as const;

/** A plain call that has passed all checks. */
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

/** The answer of a service, or the recorded one of an earlier call. */
export interface RoutedServiceResponse extends ServiceResponse {
  readonly isReplayed: boolean;
}

/** What the calls of an instance share. */
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

/** Routes plain calls. */
export class ServiceRouter {
  private readonly inFlight = new Map<string, number>();
  /** Calls that ran through a crash go one at a time. */
  private suspects: Promise<unknown> = Promise.resolve();

  constructor(private readonly parts: ServiceRouterParts) {}

  /** Runs a call to its final answer. */
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

  private async runClaimed(
    request: RoutedServiceRequest,
    key: string,
  ): Promise<E.Either<Refusal, RoutedServiceResponse>> {
    const { claimer, metrics } = this.parts;
    const name = computeFingerprint(request.caller.workspace, request.routeName, key);
    const digest = computeFingerprint(
      request.method,
      request.path,
      request.body.toString("latin1"),
    );
    const claim = await claimer.claim(name, digest);
    metrics.count(Metric.claim, 1, { result: claim.result });
    if (claim.result === ClaimResult.unavailable) {
      const message = "the claim of the call cannot be recorded now";
      return E.left(createNotRunRefusal(503, Reason.claimUnavailable, message, CLAIM_RETRY_MS));
    }
    if (claim.result === ClaimResult.lost) return this.answerFromClaim(claim.state, digest);
    const answer = await this.runOnce(request);
    if (E.isRight(answer)) {
      void claimer.recordAnswer(name, claim.claimId, createRecorded(answer.right));
    } else if (answer.left.ran === "not run") claimer.release(name, claim.claimId);
    return answer;
  }

  private answerFromClaim(
    state: { readonly digest: string; readonly answer: RecordedAnswer | undefined } | undefined,
    digest: string,
  ): E.Either<Refusal, RoutedServiceResponse> {
    if (state !== undefined && state.digest !== digest) {
      const message = "the Idempotency-Key was used for another call";
      return E.left(createNotRunRefusal(422, Reason.claimReused, message));
    }
    if (state?.answer === undefined) {
      const message = "a call with this Idempotency-Key was begun, and its outcome is not recorded";
      const refusal = createUnknownRefusal(Reason.claimedElsewhere, message, CLAIM_RETRY_MS);
      return E.left(refusal);
    }
    const { status, body, type } = state.answer;
    return E.right({
      status,
      headers: { "content-type": type },
      body: Buffer.from(body),
      isReplayed: true,
    });
  }

  /** Sends to another endpoint only while no byte can have reached one. */
  private async runOnce(
    request: RoutedServiceRequest,
  ): Promise<E.Either<Refusal, RoutedServiceResponse>> {
    const excluded = new Set<string>();
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const chosen = this.choose(request, excluded);
      if (E.isLeft(chosen)) return chosen;
      const left = computeRemainingMs(request.deadline, this.parts.clock.now());
      const answer = await this.send(request, chosen.right, left);
      if (E.isRight(answer)) return E.right({ ...answer.right, isReplayed: false });
      if (answer.left.isSent) {
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
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      if (board.poison.findBan(fingerprint, clock.now()) !== undefined)
        return createPoison(wasSent);
      if (attempt > 0 && !retries.tryConsume(request.routeName, clock.now())) break;
      const chosen = this.choose(request, excluded);
      if (E.isLeft(chosen))
        return wasSent
          ? E.left(createUnknownRefusal(Reason.noEndpoint, chosen.left.message, RETRY_AFTER_MS))
          : chosen;
      const answer = await this.sendRepeatable(request, chosen.right, fingerprint);
      if (E.isRight(answer)) return E.right({ ...answer.right, isReplayed: false });
      wasSent = wasSent || answer.left.isSent;
      excluded.add(chosen.right.name);
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
  ): Promise<E.Either<ServiceError, ServiceResponse>> {
    const { board, clock } = this.parts;
    const left = Math.min(ATTEMPT_MS, computeRemainingMs(request.deadline, clock.now()));
    const send = () => this.send(request, endpoint, left);
    const answer = await (board.poison.isSuspect(fingerprint, clock.now())
      ? this.sendAlone(send)
      : send());
    if (E.isRight(answer)) board.poison.clear(fingerprint);
    else if (answer.left.isSent) await this.checkCrash(endpoint, fingerprint);
    return answer;
  }

  private sendAlone<A>(send: () => Promise<A>): Promise<A> {
    const result = this.suspects.then(send);
    this.suspects = result.catch(() => undefined);
    return result;
  }

  /** Nothing listens where a call was running: the call may have crashed it. */
  private async checkCrash(endpoint: NamedEndpoint, fingerprint: string): Promise<void> {
    const { board, clock, services } = this.parts;
    const probe = await services.call(endpoint.url, {
      attempt: "probe",
      method: "GET",
      path: "/livez",
      headers: {},
      body: Buffer.alloc(0),
      timeoutMs: 500,
      signal: AbortSignal.timeout(500),
    })();
    if (E.isRight(probe) || probe.left.isSent) return;
    const now = clock.now();
    board.poison.addSuspect(fingerprint, `${endpoint.name}@${now.toFixed(0)}`, now);
    if (board.poison.countCrashes(fingerprint, now) >= CRASHES_TO_BAN)
      board.poison.ban(fingerprint, now + BAN_MS);
  }

  private async send(
    request: RoutedServiceRequest,
    endpoint: NamedEndpoint,
    timeoutMs: number,
  ): Promise<E.Either<ServiceError, ServiceResponse>> {
    const { services, ids, clock, board } = this.parts;
    this.inFlight.set(endpoint.name, (this.inFlight.get(endpoint.name) ?? 0) + 1);
    const answer = await services.call(endpoint.url, {
      attempt: ids.next(),
      method: request.method,
      path: request.path,
      headers: chooseHeaders(request.headers),
      body: request.body,
      timeoutMs,
      signal: request.signal,
    })();
    this.inFlight.set(endpoint.name, (this.inFlight.get(endpoint.name) ?? 1) - 1);
    if (E.isLeft(answer))
      board.unreachable.set(endpoint.name, { deadline: clock.now() + UNREACHABLE_COOLDOWN_MS });
    return answer;
  }

  /** The key is checked in the turn of the sending, and again for each attempt. */
  private choose(
    request: RoutedServiceRequest,
    excluded: ReadonlySet<string>,
  ): E.Either<Refusal, NamedEndpoint> {
    const { board, clock, logger } = this.parts;
    const now = clock.now();
    const refusal = checkCaller(board, request.caller, now);
    if (refusal !== undefined) return E.left(refusal);
    const allowed = this.listAllowed(request);
    const usable = allowed.filter(
      (endpoint) => !excluded.has(endpoint.name) && !isEndpointLeaving(board, endpoint.name, now),
    );
    const reachable = usable.filter(
      (endpoint) => (board.unreachable.get(endpoint.name)?.deadline ?? 0) <= now,
    );
    const chosen = this.chooseLeastLoaded(reachable.length > 0 ? reachable : usable);
    logger.info("route", {
      request: request.id,
      workspace: request.caller.workspace,
      class: "",
      route: request.routeName,
      candidates: usable.length,
      chosen: chosen?.name ?? "none",
      reason: chosen === undefined ? "no endpoint left" : "fewest in flight, own data centre first",
    });
    if (chosen === undefined) {
      return E.left(
        createNotRunRefusal(503, Reason.noEndpoint, "no endpoint may run the call", RETRY_AFTER_MS),
      );
    }
    return E.right(chosen);
  }

  private listAllowed(request: RoutedServiceRequest): readonly NamedEndpoint[] {
    const { endpoints, selectors, workspaces } = this.parts.board.config.read().configuration;
    const names = [request.route.selector, workspaces[request.caller.workspace]?.selector];
    const wanted: readonly Selector[] = names.flatMap((name) =>
      name === undefined ? [] : [selectors[name] ?? {}],
    );
    return Object.entries(endpoints)
      .filter(
        ([, endpoint]) =>
          endpoint.role === Role.service && endpoint.service === request.route.service,
      )
      .filter(([, endpoint]) =>
        wanted.every((selector) => matchesSelector(selector, endpoint.labels ?? {})),
      )
      .map(([name, endpoint]) => ({ ...endpoint, name }));
  }

  private chooseLeastLoaded(endpoints: readonly NamedEndpoint[]): NamedEndpoint | undefined {
    const near = endpoints.filter((endpoint) => endpoint.dataCentre === this.parts.dataCentre);
    const among = near.length > 0 ? near : endpoints;
    const least = Math.min(...among.map((endpoint) => this.inFlight.get(endpoint.name) ?? 0));
    const best = among.filter((endpoint) => (this.inFlight.get(endpoint.name) ?? 0) === least);
    return best[Math.floor(Math.random() * best.length)];
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

function createPoison(wasSent: boolean): E.Either<Refusal, never> {
  const message = "the request crashes the endpoints that run it";
  return E.left(
    wasSent
      ? createUnknownRefusal(Reason.poison, message)
      : createNotRunRefusal(422, Reason.poison, message),
  );
}

function createRecorded(answer: RoutedServiceResponse): RecordedAnswer {
  return {
    status: answer.status,
    body: answer.body.toString("utf8"),
    type: answer.headers["content-type"] ?? "application/octet-stream",
  };
}
