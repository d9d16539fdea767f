/**
 * HTTP server for callers: checks each request, runs it as a completion or as a call to a plain
 * service, and writes refusals.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import * as E from "fp-ts/Either";
import type { Moment } from "../core/clock";
import { type Route, RouteKind } from "../core/config/objects";
import { formatStack } from "../core/log";
import {
  createNotRunRefusal,
  createUnknownRefusal,
  ExecutionStatus,
  Reason,
  type Refusal,
} from "../core/outcome";
import type { Address } from "../core/settings";
import { countTokens } from "../core/tokens";
import { Metric } from "../core/metrics";
import { pauseAndRead } from "../core/readfirst";
import { acceptWaiting } from "../core/waiting";
import { BadConnections, type BadRequestAnswer } from "./badconnection";
import { BodyIntake } from "./bodyintake";
import { BodyFailure, type BodyLimits, createBodyRefusal, readCallerBody } from "./callerbody";
import { ResponseHeader, writeRefusal } from "./response";
import { type Caller, containsKey, identifyCaller, readKey } from "./caller";
import { chooseClass, parseCompletion } from "./completion";
import { chooseHeaders, type RoutedServiceResponse, type ServiceRouter } from "./service";
import { CompletionRun } from "./runner";
import type { RunnerParts } from "./runnerparts";
import { createSink } from "./sink";
import { endIfUnread } from "./unread";

const DEFAULT_COMPLETION_DEADLINE_MS = 120_000;
const DEFAULT_SERVICE_DEADLINE_MS = 10_000;
const NOT_READY_RETRY_AFTER_MS = 1000;
/** How often connections are checked against the timeout of the request headers. */
const HEADERS_CHECK_INTERVAL_MS = 500;

/** How long connections that wait at the listener are accepted before it closes, in milliseconds. */
const LAST_CONNECTIONS_MS = 1000;
/** How long such a connection may still bring its first request, in milliseconds. */
const FRESH_MS = 200;

/** Limits on what a caller may send. */
export interface CallerLimits {
  readonly maxBodyBytes: number;
  readonly headersTimeoutMs: number;
  /** How long a caller may send no byte of a body that is due, in milliseconds. */
  readonly bodyTimeoutMs: number;
}

/** The route that a request matches, with its name. */
interface MatchedRoute {
  readonly name: string;
  readonly route: Route;
}

/** A request whose head has passed the checks, with its body and its response. */
interface Exchange {
  readonly id: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly arrivedAt: Moment;
  readonly matched: MatchedRoute;
  readonly caller: Caller;
  readonly body: Buffer;
}

/** HTTP server for callers. */
export class CallerServer {
  private readonly server: Server;
  private readonly inFlight = new Set<Promise<void>>();
  private readonly sockets = new Set<Socket>();
  private readonly badConnections = new BadConnections();
  private readonly bodyLimits: BodyLimits;
  private readonly intake: BodyIntake;

  constructor(
    private readonly parts: RunnerParts,
    private readonly serviceRouter: ServiceRouter,
    private readonly limits: CallerLimits,
    private readonly isReady: () => boolean,
  ) {
    this.intake = new BodyIntake(parts.clock);
    this.bodyLimits = { maxBytes: limits.maxBodyBytes, stallTimeoutMs: limits.bodyTimeoutMs };
    this.server = createServer(
      { requestTimeout: 0, connectionsCheckingInterval: HEADERS_CHECK_INTERVAL_MS },
      (request, response) => {
        this.accept(request, response);
      },
    );
    this.server.headersTimeout = limits.headersTimeoutMs;
    this.server.on("clientError", (error: Error & { code?: string }, socket: Socket) => {
      this.rejectBadConnection(error, socket);
    });
    this.server.on("connection", (socket: Socket) => {
      this.sockets.add(socket);
      socket.on("close", () => this.sockets.delete(socket));
    });
  }

  /** Listens; rejects where the address cannot be bound. */
  listen(address: Address): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(address.port, address.host, resolve);
    });
  }

  /** Number of requests that have no final response yet. */
  get inFlightCount(): number {
    return this.inFlight.size;
  }

  /** Stops accepting requests, waits until all have a response, then closes the connections. */
  async close(): Promise<void> {
    await this.acceptLast();
    this.intake.close();
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => {
        resolve();
      });
    });
    this.server.closeIdleConnections();
    while (this.inFlight.size > 0) await Promise.all(this.inFlight);
    this.server.closeIdleConnections();
    for (const socket of this.sockets) socket.end();
    await Promise.race([closed, new Promise((resolve) => setTimeout(resolve, 1000))]);
    this.server.closeAllConnections();
  }

  /** Accepts what waits at the listener, and reads the requests of callers that have just connected. */
  private async acceptLast(): Promise<void> {
    const { clock } = this.parts;
    const { accepted } = await acceptWaiting(this.server, clock, clock.now() + LAST_CONNECTIONS_MS);
    if (accepted > 0) await pauseAndRead(FRESH_MS);
  }

  private rejectBadConnection(error: Error & { code?: string }, socket: Socket): void {
    if (error.code === "ECONNRESET" || !socket.writable) socket.destroy();
    else this.badConnections.answer(socket, createBadRequestAnswer(error));
  }

  private accept(request: IncomingMessage, response: ServerResponse): void {
    this.badConnections.record(request, response);
    const run = this.handle(request, response).catch((error: unknown) => {
      this.failRequest(request, response, error);
    });
    this.inFlight.add(run);
    void run.then(() => {
      this.inFlight.delete(run);
      endIfUnread({ request, response }, this.limits.bodyTimeoutMs, this.badConnections);
    });
  }

  /**
   * Ends a request whose handling threw an unexpected error, of which nothing but this request may
   * notice anything. It may have run; a response whose head was sent is cut.
   */
  private failRequest(request: IncomingMessage, response: ServerResponse, error: unknown): void {
    this.parts.logger.error("unexpected error", { stack: formatStack(error) });
    if (response.writableEnded) return;
    if (response.headersSent) {
      response.socket?.resetAndDestroy();
      return;
    }
    const message = "an unexpected error ended the request";
    const refusal = createUnknownRefusal(Reason.outcomeUnknown, message);
    this.refuse(response, refusal, this.parts.ids.next(), request);
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const id = this.parts.ids.next();
    const arrivedAt = this.parts.clock.now();
    this.parts.metrics.count(Metric.request);
    const checked = this.checkHead(request, arrivedAt);
    if (E.isLeft(checked)) {
      this.refuse(response, checked.left, id, request);
      return;
    }
    const { bodyLimits: limits, intake } = this;
    const body = await readCallerBody(request, { clock: this.parts.clock, intake, limits });
    if (E.isLeft(body)) {
      this.refuse(response, createBodyRefusal(body.left, limits), id, request);
      return;
    }
    const { bytes, release } = body.right;
    try {
      await this.run({ id, request, response, arrivedAt, ...checked.right, body: bytes });
    } finally {
      release();
    }
  }

  private async run(exchange: Exchange): Promise<void> {
    const { id, request, response } = exchange;
    const refusal = this.checkKeyLeak(exchange);
    if (refusal !== undefined) this.refuse(response, refusal, id, request);
    else if (exchange.matched.route.kind === RouteKind.completion)
      await this.runCompletion(exchange);
    else await this.runService(exchange);
  }

  /** Checks what can be checked before the body has arrived: readiness, route, key and length. */
  private checkHead(
    request: IncomingMessage,
    now: Moment,
  ): E.Either<Refusal, { matched: MatchedRoute; caller: Caller }> {
    if (!this.isReady()) {
      const message = "this instance has no configuration yet";
      return E.left(createNotRunRefusal(503, Reason.notReady, message, NOT_READY_RETRY_AFTER_MS));
    }
    const matched = this.findRoute(request.url ?? "/");
    if (matched === undefined)
      return E.left(createNotRunRefusal(404, Reason.unknownRoute, "no route has this path"));
    const caller = identifyCaller(this.parts.board, matched.route, readKey(request.headers), now);
    if (E.isLeft(caller)) return caller;
    const length = Number(request.headers["content-length"] ?? 0);
    if (length > this.limits.maxBodyBytes)
      return E.left(createBodyRefusal(BodyFailure.tooLarge, this.bodyLimits));
    return E.right({ matched, caller: caller.right });
  }

  /**
   * Finds the route with the longest path that is a prefix of the request's path, by whole
   * segments.
   */
  private findRoute(url: string): MatchedRoute | undefined {
    const path = url.split("?")[0] ?? "/";
    let longest: MatchedRoute | undefined;
    for (const [name, route] of Object.entries(
      this.parts.board.config.read().configuration.routes,
    )) {
      const isMatch =
        path === route.path ||
        path.startsWith(route.path.endsWith("/") ? route.path : `${route.path}/`);
      if (isMatch && route.path.length > (longest?.route.path.length ?? 0))
        longest = { name, route };
    }
    return longest;
  }

  private checkKeyLeak(exchange: Exchange): Refusal | undefined {
    const { request, body } = exchange;
    const key = readKey(request.headers);
    const forwardedParts = [
      request.url ?? "",
      ...Object.values(chooseHeaders(request.headers)),
      body.toString("latin1"),
    ];
    if (!containsKey(key, forwardedParts)) return undefined;
    return createNotRunRefusal(
      400,
      Reason.keyInRequest,
      "the key stands in the path, a header or the body that would be passed on",
    );
  }

  private async runCompletion(exchange: Exchange): Promise<void> {
    const { id, request, response, arrivedAt, matched, caller } = exchange;
    const { board, rateLimits, retries } = this.parts;
    const { configuration } = board.config.read();
    const completion = parseCompletion(exchange.body.toString("utf8"), configuration);
    if (E.isLeft(completion)) {
      this.refuse(response, completion.left, id, request);
      return;
    }
    const priorityClass = chooseClass(
      configuration,
      caller.workspace,
      readHeader(request, "x-priority-class"),
    );
    if (E.isLeft(priorityClass)) {
      this.refuse(response, priorityClass.left, id, request);
      return;
    }
    const ban = board.poison.findBan(completion.right.fingerprint, arrivedAt);
    if (ban !== undefined) {
      this.refuse(
        response,
        createNotRunRefusal(422, Reason.poison, "the request crashes the endpoints that run it"),
        id,
        request,
      );
      return;
    }
    const { promptTokens, maxTokens, isStream, isChat, model } = completion.right;
    const isChargeLikely = rateLimits.isChargeLikely(caller.workspace);
    const charge = rateLimits.charge(id, caller.workspace, promptTokens + maxTokens);
    retries.recordRequest(matched.name, arrivedAt);
    const isClosing = board.draining.read();
    const sink = createSink(response, { requestId: id, model, isChat, isClosing }, isStream);
    const run = new CompletionRun(
      this.parts,
      {
        id,
        caller,
        priorityClass: priorityClass.right,
        route: matched.name,
        completion: completion.right,
        charge,
        isChargeLikely,
        arrivedAt,
        deadline:
          arrivedAt +
          readDeadlineMs(request, matched.route.deadlineMs ?? DEFAULT_COMPLETION_DEADLINE_MS),
      },
      sink,
    );
    onDisconnect(response, () => {
      run.cancel(Reason.cancelled);
    });
    await run.run();
  }

  private async runService(exchange: Exchange): Promise<void> {
    const { id, request, response, arrivedAt, matched, caller, body } = exchange;
    const charge = await this.chargeService(exchange);
    if (E.isLeft(charge)) {
      this.refuse(response, charge.left, id, request, caller);
      return;
    }
    this.parts.retries.recordRequest(matched.name, arrivedAt);
    const abortController = new AbortController();
    onDisconnect(response, () => {
      // A call that must not be repeated runs to its end, so that its outcome can be recorded.
      if (matched.route.repeatable !== false) abortController.abort();
    });
    const result = await this.serviceRouter.run({
      id,
      caller,
      routeName: matched.name,
      route: matched.route,
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers: request.headers,
      body,
      deadline:
        arrivedAt +
        readDeadlineMs(request, matched.route.deadlineMs ?? DEFAULT_SERVICE_DEADLINE_MS),
      signal: abortController.signal,
    });
    if (E.isLeft(result)) this.refuse(response, result.left, id, request, caller);
    else this.writeServiceResponse(response, result.right, id);
  }

  /**
   * Charges a service call for the tokens of its body, with a minimum of one. Calls on open routes
   * are not charged.
   */
  private async chargeService(exchange: Exchange): Promise<E.Either<Refusal, unknown>> {
    if (exchange.caller.keyHash === undefined) return E.right(undefined);
    const tokens = Math.max(1, countTokens(exchange.body.toString("utf8")));
    return this.parts.rateLimits.charge(exchange.id, exchange.caller.workspace, tokens);
  }

  private writeServiceResponse(
    response: ServerResponse,
    serviceResponse: RoutedServiceResponse,
    id: string,
  ): void {
    if (response.destroyed) return;
    response.writeHead(serviceResponse.status, {
      "content-type": serviceResponse.headers["content-type"] ?? "application/octet-stream",
      "content-length": serviceResponse.body.length,
      [ResponseHeader.request]: id,
      [ResponseHeader.ran]: ExecutionStatus.answered,
      ...(serviceResponse.isReplayed ? { [ResponseHeader.replayed]: "true" } : {}),
      ...(this.parts.board.draining.read() ? { connection: "close" } : {}),
    });
    response.end(serviceResponse.body);
  }

  /**
   * Refuses a request. Closes the connection where the body was not read to its end, since no other
   * request can follow it.
   */
  private refuse(
    response: ServerResponse,
    refusal: Refusal,
    id: string,
    request: IncomingMessage,
    caller?: Caller,
  ): void {
    const isClosing = this.parts.board.draining.read() || !request.complete;
    this.parts.metrics.count(Metric.refusal, 1, { reason: refusal.reason });
    this.parts.logger.info("refusal", {
      request: id,
      workspace: caller?.workspace ?? "",
      outcome: refusal.ran,
      reason: refusal.reason,
    });
    writeRefusal(response, refusal, id, isClosing);
  }
}

function readHeader(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return typeof value === "string" && value !== "" ? value : undefined;
}

/**
 * Reads the deadline that the caller requests, which can shorten the route's but not lengthen it.
 */
function readDeadlineMs(request: IncomingMessage, maxMs: number): number {
  const requestedMs = Number(readHeader(request, "x-request-timeout-ms") ?? maxMs);
  return Number.isFinite(requestedMs) && requestedMs > 0 ? Math.min(requestedMs, maxMs) : maxMs;
}

/** Calls the listener where the connection closes before the response was written in full. */
function onDisconnect(response: ServerResponse, listener: () => void): void {
  response.on("close", () => {
    if (!response.writableFinished) listener();
  });
}

/** Creates the usual JSON refusal of bytes that could not be parsed as a request. */
function createBadRequestAnswer(error: Error & { code?: string }): BadRequestAnswer {
  const isHeadersTimeout = error.code === "ERR_HTTP_REQUEST_TIMEOUT";
  const [status, reason] = isHeadersTimeout ? [408, "Request Timeout"] : [400, "Bad Request"];
  const message = isHeadersTimeout ? "the headers came too slowly" : "the request is not HTTP";
  const body = JSON.stringify({
    error: { type: Reason.badRequest, message, outcome: ExecutionStatus.notRun },
  });
  const ran = { [ResponseHeader.ran]: ExecutionStatus.notRun };
  return { status, reason, headers: { "content-type": "application/json", ...ran }, body };
}
