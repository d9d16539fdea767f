/**
 * HTTP server for callers: reads and checks requests, passes them to the handler and sends each its
 * one final response.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import * as E from "fp-ts/Either";
import { AlignedInterval } from "../../core/aligned";
import type { CallerLimits } from "../../fleet/config";
import { type Clock, type Moment, MS_PER_SECOND } from "../../core/clock";
import { EventGuard } from "../../core/guard";
import { formatStack, type Logger } from "../../core/log";
import { runTask } from "../../core/tasks";
import { ByteBudget } from "../../core/bytebudget";
import { boundTimeoutMs, MAX_TIMEOUT_MS } from "../../core/timeouts";
import { BadConnections } from "../../entry/badconnection";
import { BodyIntake } from "../../entry/bodyintake";
import { BodyFailure, createBodyRefusal, readCallerBody } from "../../entry/callerbody";
import { endIfUnread } from "../../entry/unread";
import {
  createNotRunRefusal,
  createUnknownRefusal,
  Reason,
  type Refusal,
} from "../../core/outcome";
import { acceptWaiting } from "../../core/waiting";
import { CallerAnswerLog } from "./answerlog";
import { CallerConnections } from "./connections";
import { closeUnlessRead, cutResponse, endAfter, endOverdue } from "./endings";
import {
  CHECK_INTERVAL_MS,
  MAX_ADMISSION_MS,
  type OverdueReport,
  OverdueRequests,
  type WatchedRequest,
} from "./overdue";
import { ResponseWriter } from "./responses";
import { ConnectionTurns, Turn } from "./turns";
import type { BufferedResponse, CallerCodec, Meter, RequestHead } from "../requests";
import type { StreamSink } from "../generations";

/** Limits until a configuration is known. */
const INITIAL_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4 * 1024 * 1024,
  headersTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
};
/**
 * Maximum size of a request head that the parser accepts, in bytes; the configured limit may be
 * smaller.
 */
const MAX_PARSED_HEAD_BYTES = 65_536;
/** Connections that may wait to be accepted. */
const LISTEN_BACKLOG = 1024;
/**
 * How often connections are checked for request heads that exceed their timeout, in milliseconds.
 */
const HEADERS_CHECK_INTERVAL_MS = 500;
/** Longest idle timeout that the HTTP server can keep, as it adds a second to it, in milliseconds. */
const MAX_KEEP_ALIVE_MS = MAX_TIMEOUT_MS - MS_PER_SECOND;
/** Error code of a request head that exceeds its timeout. */
const SLOW_HEAD_CODE = "ERR_HTTP_REQUEST_TIMEOUT";

/** A caller's request, read completely. */
export interface CallerRequest {
  readonly head: RequestHead;
  readonly body: Buffer;
  readonly arrivedAt: Moment;
  /** Aborted when the caller leaves. */
  readonly caller: AbortSignal;
  readonly sink: StreamSink;
  /** Told its deadline and what it waits for. */
  readonly watched: WatchedRequest;
}

/** The response to a request; undefined if it was sent through the sink. */
export type CallerResponse = E.Either<Refusal, BufferedResponse> | undefined;

/** Handles a request that was read completely. */
export type CallerHandler = (request: CallerRequest) => Promise<CallerResponse>;

/** Serves callers over HTTP. */
export class ForwardServer {
  private readonly server: Server;
  private readonly connections = new CallerConnections();
  private readonly badConnections = new BadConnections();
  private readonly overdue: OverdueRequests;
  private readonly answers: CallerAnswerLog;
  private readonly responses: ResponseWriter;
  private readonly intake: BodyIntake;
  private readonly turns: ConnectionTurns;
  private overdueTimer: AlignedInterval | undefined;
  private limits = INITIAL_LIMITS;
  private openRequests = 0;
  /** Ends the work on each open request as if its caller had left. */
  private readonly aborts = new Set<AbortController>();
  private hasEnded = false;
  private isClosing = false;

  constructor(
    private readonly codec: CallerCodec,
    private readonly handler: CallerHandler,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly meter: Meter,
    /** Called at each head of a request, before it is checked; may set the limits. */
    private readonly onHead: () => void = () => undefined,
    heldBytes = new ByteBudget(clock),
  ) {
    this.overdue = new OverdueRequests(() => clock.now());
    this.turns = new ConnectionTurns(heldBytes.maxBytes);
    this.intake = new BodyIntake(clock, heldBytes.maxBytes, (reason) => {
      meter.bodiesRefused.inc({ reason });
      logger.warn("body refused", { reason, held: this.intake.held });
    });
    this.answers = new CallerAnswerLog(logger, meter);
    this.responses = new ResponseWriter(
      codec,
      this.connections,
      logger,
      meter,
      this.answers,
      (request) => this.isClosing && this.isLast(request),
      heldBytes,
    );
    this.server = createServer(
      {
        maxHeaderSize: MAX_PARSED_HEAD_BYTES,
        connectionsCheckingInterval: HEADERS_CHECK_INTERVAL_MS,
        requestTimeout: 0,
        noDelay: true,
      },
      (request, response) => {
        void this.createGuard(request.socket).run(() => this.onRequest(request, response));
      },
    );
    this.server.on("connection", (socket) => {
      this.guard(socket, () => {
        this.connections.add(socket, clock.now());
      });
    });
    this.server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
      this.guard(socket as Socket, () => {
        if (error.code === SLOW_HEAD_CODE) this.answerUnlessRead(error, socket as Socket);
        else this.answerBadConnection(error, socket as Socket);
      });
    });
    this.server.on("timeout", closeUnlessRead);
    this.setLimits(INITIAL_LIMITS);
  }

  /** Number of requests whose final response is not written out. */
  get inFlightCount(): number {
    return this.openRequests;
  }

  /** Checks whether a caller that has just connected may still send its request. */
  get hasFreshConnections(): boolean {
    return this.connections.hasFresh(this.clock.now());
  }

  /** Starts to listen; rejects if the address is not available. */
  listen(host: string, port: number): Promise<void> {
    this.overdueTimer = new AlignedInterval(CHECK_INTERVAL_MS, () => {
      this.checkOverdue();
    });
    return new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen({ host, port, backlog: LISTEN_BACKLOG }, resolve);
    });
  }

  /** Sets the limits on requests and connections of callers. */
  setLimits(limits: CallerLimits): void {
    const headersTimeoutMs = boundTimeoutMs(limits.headersTimeoutMs);
    const idleTimeoutMs = boundTimeoutMs(limits.idleTimeoutMs);
    this.limits = { ...limits, headersTimeoutMs, idleTimeoutMs };
    this.server.keepAliveTimeout = Math.min(idleTimeoutMs, MAX_KEEP_ALIVE_MS);
    this.server.headersTimeout = headersTimeoutMs;
  }

  /** Closes every connection from now on, after the response to the last request read on it. */
  beginClose(): void {
    this.isClosing = true;
  }

  /** Accepts the connections that wait at the listener, until none does or a deadline has passed. */
  async acceptWaiting(deadline: Moment): Promise<void> {
    const { clock, logger, meter } = this;
    const startedAt = clock.now();
    const { accepted, isEmpty } = await acceptWaiting(this.server, clock, deadline);
    meter.lastConnections.inc(accepted);
    const fields = { accepted, isEmpty, tookMs: Math.round(clock.now() - startedAt) };
    if (isEmpty) logger.info("listener closes", fields);
    else logger.warn("listener closes", fields);
  }

  /** Stops accepting connections, and closes those without a request in flight. */
  closeIdle(): void {
    // An HTTP server's own close cuts responses that are handed over whole and not written out.
    NetServer.prototype.close.call(this.server);
    this.connections.closeIdle();
  }

  /** Ends the work on all requests; those that nothing was sent of yet are answered. */
  endRequests(): void {
    this.hasEnded = true;
    for (const abort of this.aborts) abort.abort();
  }

  /**
   * Stops accepting connections, and closes all connections, also those with requests in flight.
   */
  close(): void {
    this.overdueTimer?.close();
    this.intake.close();
    this.answers.recordStop();
    this.connections.closeAll();
    this.server.close();
  }

  /** Creates the guard of a caller's connection: it is reset, as no answer may look whole after it. */
  private createGuard(socket: Socket): EventGuard {
    return new EventGuard("caller", this.logger, () => {
      socket.resetAndDestroy();
    });
  }

  private guard(socket: Socket, handle: () => void): void {
    this.createGuard(socket).wrap(handle)();
  }

  private async onRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.socket.destroyed) return;
    if (!this.canAnswer(request)) {
      this.dropRequest(request);
      return;
    }
    this.badConnections.record(request, response);
    const written = this.connections.track(request, response);
    this.openRequests += 1;
    try {
      const turn = this.turns.begin(request.socket);
      if (turn === Turn.refused) {
        this.closeCrowded(request);
        return;
      }
      if (turn !== Turn.now) await turn;
      if (request.socket.destroyed) return;
      await this.runRequest(request, response, written);
      this.turns.end(request.socket);
    } finally {
      this.openRequests -= 1;
    }
  }

  /** Runs a request that has its turn; resolves once its response is written out. */
  private async runRequest(
    request: IncomingMessage,
    response: ServerResponse,
    written: Promise<void>,
  ): Promise<void> {
    this.keepAnnounced(request, response, this.server.keepAliveTimeout);
    const arrivedAt = this.clock.now();
    const callerAbort = new AbortController();
    const onCallerGone = () => {
      if (!response.writableFinished) callerAbort.abort();
    };
    response.once("close", onCallerGone);
    request.once("aborted", onCallerGone);
    request.socket.once("end", onCallerGone);
    // The response to a request behind another one is told nothing of it.
    request.socket.once("close", onCallerGone);
    this.aborts.add(callerAbort);
    try {
      await this.respondOrFail(request, response, arrivedAt, callerAbort);
      request.socket.off("end", onCallerGone);
      request.socket.off("close", onCallerGone);
      await written;
    } finally {
      this.aborts.delete(callerAbort);
    }
  }

  /** Closes a connection with too many requests behind each other: all that it sends would be kept. */
  private closeCrowded({ socket }: IncomingMessage): void {
    this.meter.crowdedConnections.inc();
    this.logger.warn("connection crowded", { waiting: this.turns.waitingCount });
    socket.resetAndDestroy();
  }

  private async respondOrFail(
    request: IncomingMessage,
    response: ServerResponse,
    arrivedAt: Moment,
    abort: AbortController,
  ): Promise<void> {
    try {
      await this.respond(request, response, arrivedAt, abort);
    } catch (error) {
      this.failRequest(response, undefined, error);
    }
    endIfUnread({ request, response }, this.limits.idleTimeoutMs, this.badConnections);
    // The head of a stream may have been sent, without "connection: close", before closing began.
    if (this.isClosing && this.isLast(request)) endAfter(request.socket, response);
  }

  /**
   * Keeps a connection open as long as its response announces, also if the limit is lowered before the
   * response ends.
   */
  private keepAnnounced({ socket }: IncomingMessage, response: ServerResponse, ms: number): void {
    response.once("finish", () => {
      const isShorter = this.server.keepAliveTimeout < ms;
      if (isShorter && this.isLast(response.req)) socket.setTimeout(ms + MS_PER_SECOND);
    });
  }

  /** Checks that a request that was read just now did not cross the end of its connection. */
  private canAnswer({ socket }: IncomingMessage): boolean {
    return !this.badConnections.wasAnswered(socket) && !this.connections.isEnding(socket);
  }

  private dropRequest({ socket }: IncomingMessage): void {
    this.logger.info("request behind the end of its connection", {});
    socket.setTimeout(this.limits.idleTimeoutMs);
  }

  /** Checks that no other request was read on its connection after it. */
  private isLast(request: IncomingMessage): boolean {
    return this.badConnections.findLastRequest(request.socket) === request;
  }

  private async respond(
    request: IncomingMessage,
    response: ServerResponse,
    arrivedAt: Moment,
    abort: AbortController,
  ): Promise<void> {
    this.onHead();
    const bodyLimits = {
      maxBytes: this.limits.maxBodyBytes,
      stallTimeoutMs: this.limits.idleTimeoutMs,
    };
    const head = this.readHead(request);
    if (E.isLeft(head)) {
      this.responses.refuse(response, undefined, head.left);
      return;
    }
    const { clock, intake } = this;
    const body = await readCallerBody(request, { clock, intake, limits: bodyLimits });
    if (E.isLeft(body)) {
      if (abort.signal.aborted || body.left === BodyFailure.callerGone) return;
      this.responses.refuse(response, head.right.id, createBodyRefusal(body.left, bodyLimits));
      return;
    }
    const { bytes, release } = body.right;
    const callerRequest = { head: head.right, body: bytes, arrivedAt, caller: abort.signal };
    try {
      if (!abort.signal.aborted) await this.handle(callerRequest, response, abort);
    } finally {
      release();
    }
  }

  private async handle(
    request: Omit<CallerRequest, "sink" | "watched">,
    response: ServerResponse,
    abort: AbortController,
  ): Promise<void> {
    const { id } = request.head;
    try {
      const result = await this.handleInTime(request, response, abort);
      if (result === undefined) return;
      if (E.isLeft(result)) this.responses.refuse(response, id, this.convertCancelled(result.left));
      else this.responses.send(response, id, result.right);
    } catch (error) {
      this.failRequest(response, id, error);
    }
  }

  /** Has a request handled; gives it up once it is overdue, whatever its handling waits for. */
  private handleInTime(
    request: Omit<CallerRequest, "sink" | "watched">,
    response: ServerResponse,
    abort: AbortController,
  ): Promise<CallerResponse> {
    const { id } = request.head;
    return new Promise((resolve, reject) => {
      const giveUp = async (report: OverdueReport) => {
        this.reportOverdue(id, report);
        return Promise.resolve(endOverdue(response));
      };
      const watched = this.overdue.begin(this.clock.now() + MAX_ADMISSION_MS, (report) => {
        resolve(giveUp(report));
        abort.abort();
      });
      const handle = async () => {
        const sink = this.responses.createSink(response, id, watched);
        return this.handler({ ...request, sink, watched });
      };
      const end = () => {
        if (!this.overdue.end(watched)) this.logger.info("overdue request ended", { request: id });
      };
      handle().finally(end).then(resolve, reject);
    });
  }

  private reportOverdue(request: string, { stage, stageMs, overdueMs }: OverdueReport): void {
    this.meter.overdue.inc({ stage });
    this.logger.error("request overdue", {
      request,
      stage,
      stageMs: Math.round(stageMs),
      overdueMs: Math.round(overdueMs),
    });
  }

  /** Checks for overdue requests once sockets were read, which may bring what they wait for. */
  private checkOverdue(): void {
    if (this.overdue.size === 0) return;
    setImmediate(() => {
      void runTask("check overdue requests", this.logger, () => {
        this.overdue.check();
      });
    });
  }

  /**
   * Ends a request whose handling threw an unexpected error, of which nothing but this request may
   * notice anything. It may have run; a response whose head was sent is cut.
   */
  private failRequest(response: ServerResponse, id: string | undefined, error: unknown): void {
    this.logger.error("unexpected error", { request: id ?? "", stack: formatStack(error) });
    if (response.writableEnded) return;
    if (response.headersSent) {
      cutResponse(response);
      return;
    }
    const message = "an unexpected error ended the request";
    this.responses.refuse(response, id, createUnknownRefusal(Reason.outcomeUnknown, message));
  }

  /** A request that this server has ended may have run, and its caller waits for an answer. */
  private convertCancelled(refusal: Refusal): Refusal {
    if (!this.hasEnded || refusal.reason !== Reason.cancelled) return refusal;
    return createUnknownRefusal(Reason.outcomeUnknown, "the instance has stopped");
  }

  private readHead(request: IncomingMessage): E.Either<Refusal, RequestHead> {
    const bytes = request.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
    if (bytes > this.limits.maxHeaderBytes) {
      const message = `the head is larger than ${this.limits.maxHeaderBytes} bytes`;
      return E.left(createNotRunRefusal(431, Reason.badRequest, message));
    }
    return this.codec.readHead(request);
  }

  /**
   * Answers a connection whose request head exceeds its timeout, unless the rest came in time: after
   * the process stood still, the timeout is checked before the socket is read.
   */
  private answerUnlessRead(error: NodeJS.ErrnoException, socket: Socket): void {
    const last = this.badConnections.findLastRequest(socket);
    setImmediate(() => {
      this.guard(socket, () => {
        if (this.badConnections.findLastRequest(socket) !== last) return;
        this.answerBadConnection(error, socket);
      });
    });
  }

  /**
   * Answers a connection whose bytes were no valid request or came too slowly, if the connection
   * can still be written to.
   */
  private answerBadConnection(error: NodeJS.ErrnoException, socket: Socket): void {
    if (error.code === "ECONNRESET" || !socket.writable) {
      socket.destroy();
      return;
    }
    const isSlow = error.code === SLOW_HEAD_CODE;
    this.logger.info("bad connection", { code: error.code ?? "", message: error.message });
    const [status, reason] = isSlow ? [408, "Request Timeout"] : [400, "Bad Request"];
    this.badConnections.answer(socket, { status, reason, headers: {}, body: "" });
  }
}
