/**
 * The side of an instance that callers see.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import * as E from "fp-ts/Either";
import type { Moment } from "../core/clock";
import { type Route, RouteKind } from "../core/config";
import { createNotRunRefusal, ExecutionStatus, Reason, type Refusal } from "../core/outcome";
import type { Address } from "../core/settings";
import { countTokens } from "../core/tokens";
import { Metric } from "../core/metrics";
import { ResponseHeader, writeRefusal } from "./response";
import { type Caller, hasKey, identifyCaller, readKey } from "./caller";
import { chooseClass, parseCompletion } from "./completion";
import { chooseHeaders, type RoutedServiceResponse, type ServiceRouter } from "./service";
import { CompletionRun, type RunnerParts } from "./runner";
import { createSink } from "./sink";

const COMPLETION_DEADLINE_MS = 120_000;
const SERVICE_DEADLINE_MS = 10_000;
const NOT_READY_RETRY_MS = 1000;
/** How often connections are looked at for headers that come too slowly. */
const CHECK_MS = 500;

/** Limits on what a caller may send. */
export interface CallerLimits {
  readonly maxBodyBytes: number;
  readonly headersTimeoutMs: number;
}

/** A route with its name. */
interface FoundRoute {
  readonly name: string;
  readonly route: Route;
}

/** A request on its way. */
interface Exchange {
  readonly id: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly arrivedAt: Moment;
  readonly found: FoundRoute;
  readonly caller: Caller;
  readonly body: Buffer;
}

/** Serves callers. */
export class CallerServer {
  private readonly server: Server;
  private readonly running = new Set<Promise<void>>();
  private readonly sockets = new Set<Socket>();

  constructor(
    private readonly parts: RunnerParts,
    private readonly serviceRouter: ServiceRouter,
    private readonly limits: CallerLimits,
    private readonly isReady: () => boolean,
  ) {
    this.server = createServer(
      { requestTimeout: 0, connectionsCheckingInterval: CHECK_MS },
      (request, response) => {
        this.accept(request, response);
      },
    );
    this.server.headersTimeout = limits.headersTimeoutMs;
    this.server.on("clientError", (error: Error & { code?: string }, socket: Socket) => {
      answerBadConnection(error, socket);
    });
    this.server.on("connection", (socket: Socket) => {
      this.sockets.add(socket);
      socket.on("close", () => this.sockets.delete(socket));
    });
  }

  /** Listens; rejects where the address cannot be had. */
  listen(address: Address): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(address.port, address.host, resolve);
    });
  }

  /** Counts requests that have no final answer yet. */
  get inFlightCount(): number {
    return this.running.size;
  }

  /** Accepts nothing more, and waits until all requests are answered. */
  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => {
        resolve();
      });
    });
    this.server.closeIdleConnections();
    while (this.running.size > 0) await Promise.all(this.running);
    this.server.closeIdleConnections();
    for (const socket of this.sockets) socket.end();
    await Promise.race([closed, new Promise((resolve) => setTimeout(resolve, 1000))]);
    this.server.closeAllConnections();
  }

  private accept(request: IncomingMessage, response: ServerResponse): void {
    const run = this.handle(request, response).catch((error: unknown) => {
      this.parts.logger.error("broken invariant", {
        message: (error as Error).message,
        stack: (error as Error).stack,
      });
      throw error;
    });
    this.running.add(run);
    void run.finally(() => this.running.delete(run));
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const id = this.parts.ids.next();
    const arrivedAt = this.parts.clock.now();
    this.parts.metrics.count(Metric.request);
    const checked = this.check(request, arrivedAt);
    if (E.isLeft(checked)) {
      this.refuse(response, checked.left, id, request);
      return;
    }
    const body = await readBody(request, this.limits.maxBodyBytes);
    if (E.isLeft(body)) {
      this.refuse(response, body.left, id, request);
      return;
    }
    const exchange = { id, request, response, arrivedAt, ...checked.right, body: body.right };
    const refusal = this.checkLeak(exchange);
    if (refusal !== undefined) this.refuse(response, refusal, id, request);
    else if (exchange.found.route.kind === RouteKind.completion) await this.runCompletion(exchange);
    else await this.runPlain(exchange);
  }

  /** What can be told before the body has come. */
  private check(
    request: IncomingMessage,
    now: Moment,
  ): E.Either<Refusal, { found: FoundRoute; caller: Caller }> {
    if (!this.isReady()) {
      const message = "this instance has no configuration yet";
      return E.left(createNotRunRefusal(503, Reason.notReady, message, NOT_READY_RETRY_MS));
    }
    const found = this.findRoute(request.url ?? "/");
    if (found === undefined)
      return E.left(createNotRunRefusal(404, Reason.unknownRoute, "no route has this path"));
    const caller = identifyCaller(this.parts.board, found.route, readKey(request.headers), now);
    if (E.isLeft(caller)) return caller;
    const length = Number(request.headers["content-length"] ?? 0);
    if (length > this.limits.maxBodyBytes) return E.left(createTooLarge(this.limits.maxBodyBytes));
    return E.right({ found, caller: caller.right });
  }

  /** The longest path that the request's path begins with. */
  private findRoute(url: string): FoundRoute | undefined {
    const path = url.split("?")[0] ?? "/";
    let best: FoundRoute | undefined;
    for (const [name, route] of Object.entries(
      this.parts.board.config.read().configuration.routes,
    )) {
      const isMatch =
        path === route.path ||
        path.startsWith(route.path.endsWith("/") ? route.path : `${route.path}/`);
      if (isMatch && route.path.length > (best?.route.path.length ?? 0)) best = { name, route };
    }
    return best;
  }

  private checkLeak(exchange: Exchange): Refusal | undefined {
    const { request, body } = exchange;
    const key = readKey(request.headers);
    const parts = [
      request.url ?? "",
      ...Object.values(chooseHeaders(request.headers)),
      body.toString("latin1"),
    ];
    if (!hasKey(key, parts)) return undefined;
    return createNotRunRefusal(
      400,
      Reason.keyInRequest,
      "the key stands in the path, a header or the body that would be passed on",
    );
  }

  private async runCompletion(exchange: Exchange): Promise<void> {
    const { id, request, response, arrivedAt, found, caller } = exchange;
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
    retries.recordRequest(found.name, arrivedAt);
    const isClosing = board.draining.read();
    const sink = createSink(response, { requestId: id, model, isChat, isClosing }, isStream);
    const run = new CompletionRun(
      this.parts,
      {
        id,
        caller,
        priorityClass: priorityClass.right,
        route: found.name,
        completion: completion.right,
        charge,
        isChargeLikely,
        arrivedAt,
        deadline:
          arrivedAt + readDeadlineMs(request, found.route.deadlineMs ?? COMPLETION_DEADLINE_MS),
      },
      sink,
    );
    onGone(response, () => {
      run.cancel(Reason.cancelled);
    });
    await run.run();
  }

  private async runPlain(exchange: Exchange): Promise<void> {
    const { id, request, response, arrivedAt, found, caller, body } = exchange;
    const charge = await this.chargePlain(exchange);
    if (E.isLeft(charge)) {
      this.refuse(response, charge.left, id, request, caller);
      return;
    }
    this.parts.retries.recordRequest(found.name, arrivedAt);
    const abort = new AbortController();
    onGone(response, () => {
      // A call that may not be repeated is left to end, so that its outcome can be recorded.
      if (found.route.repeatable !== false) abort.abort();
    });
    const answer = await this.serviceRouter.run({
      id,
      caller,
      routeName: found.name,
      route: found.route,
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers: request.headers,
      body,
      deadline: arrivedAt + readDeadlineMs(request, found.route.deadlineMs ?? SERVICE_DEADLINE_MS),
      signal: abort.signal,
    });
    if (E.isLeft(answer)) this.refuse(response, answer.left, id, request, caller);
    else this.writePlain(response, answer.right, id);
  }

  /** A plain call counts the tokens of its body, and one at least. */
  private async chargePlain(exchange: Exchange): Promise<E.Either<Refusal, unknown>> {
    if (exchange.caller.keyHash === undefined) return E.right(undefined);
    const tokens = Math.max(1, countTokens(exchange.body.toString("utf8")));
    return this.parts.rateLimits.charge(exchange.id, exchange.caller.workspace, tokens);
  }

  private writePlain(response: ServerResponse, answer: RoutedServiceResponse, id: string): void {
    if (response.destroyed) return;
    response.writeHead(answer.status, {
      "content-type": answer.headers["content-type"] ?? "application/octet-stream",
      "content-length": answer.body.length,
      [ResponseHeader.request]: id,
      [ResponseHeader.ran]: ExecutionStatus.answered,
      ...(answer.isReplayed ? { [ResponseHeader.replayed]: "true" } : {}),
      ...(this.parts.board.draining.read() ? { connection: "close" } : {}),
    });
    response.end(answer.body);
  }

  /** A body that was not read to its end cannot be followed by another request. */
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

function readBody(request: IncomingMessage, most: number): Promise<E.Either<Refusal, Buffer>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let length = 0;
    request.on("data", (chunk: Buffer) => {
      length += chunk.length;
      if (length > most) {
        request.pause();
        resolve(E.left(createTooLarge(most)));
      } else chunks.push(chunk);
    });
    request.on("end", () => {
      resolve(E.right(Buffer.concat(chunks)));
    });
    request.on("close", () => {
      resolve(E.left(createNotRunRefusal(400, Reason.badRequest, "the body did not come whole")));
    });
    request.on("error", () => {
      resolve(E.left(createNotRunRefusal(400, Reason.badRequest, "the body did not come whole")));
    });
  });
}

function createTooLarge(most: number): Refusal {
  return createNotRunRefusal(413, Reason.bodyTooLarge, `a body may have ${most} bytes`);
}

function readHeader(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return typeof value === "string" && value !== "" ? value : undefined;
}

/** A caller may shorten the deadline, not lengthen it. */
function readDeadlineMs(request: IncomingMessage, most: number): number {
  const asked = Number(readHeader(request, "x-request-timeout-ms") ?? most);
  return Number.isFinite(asked) && asked > 0 ? Math.min(asked, most) : most;
}

function onGone(response: ServerResponse, listener: () => void): void {
  response.on("close", () => {
    if (!response.writableFinished) listener();
  });
}

/** What never became a request gets the usual JSON form too, where the connection still takes it. */
function answerBadConnection(error: Error & { code?: string }, socket: Socket): void {
  if (error.code === "ECONNRESET" || !socket.writable) {
    socket.destroy();
    return;
  }
  const isSlow = error.code === "ERR_HTTP_REQUEST_TIMEOUT";
  const status = isSlow ? "408 Request Timeout" : "400 Bad Request";
  const message = isSlow ? "the headers came too slowly" : "the request is not HTTP";
  const body = JSON.stringify({
    error: { type: Reason.badRequest, message, outcome: ExecutionStatus.notRun },
  });
  socket.end(
    `HTTP/1.1 ${status}\r\ncontent-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\n` +
      `${ResponseHeader.ran}: ${ExecutionStatus.notRun}\r\nconnection: close\r\n\r\n${body}`,
  );
}
