/**
 * HTTP client for endpoints, with a pool of kept-alive connections for each address. It never sends
 * a request twice. A connection that failed, whose response was not read to its end, or that
 * brought an answer to another exchange is closed and never reused.
 */
import * as E from "fp-ts/Either";
import { AlignedInterval } from "../../core/aligned";
import { ByteBudget } from "../../core/bytebudget";
import type { Clock, Moment } from "../../core/clock";
import type { Regions } from "../../fleet/regions";
import { createTimeoutSignal } from "../../core/readfirst";
import type { Logger } from "../../core/log";
import { runTask } from "../../core/tasks";
import {
  createOpenResponse,
  isFramedAnswer,
  isFromEndpoint,
  type OpenResponse,
  releaseAfter,
} from "./answer";
import { MAX_SMALL_BODY_BYTES } from "./body";
import { acceptStatus, describeBroken } from "../../store/brokenanswer";
import type { AnswerFacts, BrokenAnswer } from "./brokenanswer";
import { type Connection, MAX_FRAMED_BYTES, MAX_HEAD_BYTES } from "./connection";
import type { EndpointDialer } from "../tunnels";
import { isJoinedHead, isOwnAnswer, isRefusal } from "./exchange";
import {
  type EndpointCodec,
  type EndpointCall,
  type EndpointLoad,
  type EndpointNotice,
  type EndpointRequest,
  SendTask,
} from "../requests";
import { type EndpointGate, type EndpointTarget, SendEnding } from "../limits";
import { describeCall, describeSend, readEnding, type SendKind } from "./sendkind";
import { ConnectionPool, ConnectionWay } from "./pool";
import { canSendByRegions, createPeerCheck } from "./restriction";
import { createFailure, createHeldFailure, SendFailure, SendFailureKind } from "./sendfailure";

export type { OpenResponse } from "./answer";
export { SendFailure, SendFailureKind } from "./sendfailure";

/**
 * How often idle connections that the endpoint closed are removed from the pools, in milliseconds.
 */
const SWEEP_INTERVAL_MS = 2000;

/** The whole response to a call that the router makes for itself. */
export interface CallResponse {
  readonly status: number;
  readonly body: Buffer;
}

/** Sends requests and calls to endpoints. */
export interface EndpointClient {
  /**
   * Sends a request once; resolves with the response once its head has arrived, or with the
   * failure.
   */
  send(send: EndpointRequest, signal: AbortSignal): Promise<E.Either<SendFailure, OpenResponse>>;
  /**
   * Makes a call for the router itself, and reads the whole response.
   *
   * @param permits - number of sends that the call takes from the endpoint's limit
   */
  call(
    target: EndpointTarget,
    call: EndpointCall,
    timeoutMs: number,
    permits?: number,
  ): Promise<E.Either<SendFailure, CallResponse>>;
  /** Computes how many connections to one endpoint of a service this instance may open. */
  computeMaxConnections(service: string): number;
  /** Closes the idle connections to an address. */
  reset(address: string): void;
  close(): Promise<void>;
}

/** An answer that came where the answer to another exchange was due. */
export interface ForeignAnswer {
  /** Id of the request that waited for its own answer. */
  readonly request: string;
  readonly service: string;
  readonly endpoint: string;
  readonly status: number;
  /** Id of the request that the answer names; undefined if it names none. */
  readonly answeredId: string | undefined;
}

/** What a client asks of its instance. */
export interface ClientHost {
  /** Computes how many connections to one endpoint of a service this instance may open. */
  computeMaxConnections(service: string): number;
  onForeignAnswer(answer: ForeignAnswer): void;
  /** Called with each answer that is not passed on, as it is broken. */
  onBrokenAnswer?(answer: BrokenAnswer): void;
  /** Called with the load that an endpoint tells in an answer of any kind. */
  onLoad?(endpoint: string, load: EndpointLoad): void;
  /** Computes after which silence the direct way to an endpoint is checked, in milliseconds. */
  computeCheckMs(endpoint: string): number;
  readonly logger: Logger;
  readonly regions?: Regions;
  /** Bounds the answers that are collected; absent for a budget of its own. */
  readonly heldBytes?: ByteBudget;
}

/** Sends to endpoints over HTTP/1.1. */
export class HttpEndpointClient implements EndpointClient {
  private readonly pools = new Map<string, ConnectionPool>();
  private readonly timer: AlignedInterval;
  private readonly heldBytes: ByteBudget;

  constructor(
    private readonly codec: EndpointCodec,
    private readonly gate: EndpointGate,
    private readonly dialer: EndpointDialer,
    private readonly clock: Clock,
    private readonly host: ClientHost,
  ) {
    this.heldBytes = host.heldBytes ?? new ByteBudget(clock);
    this.timer = new AlignedInterval(SWEEP_INTERVAL_MS, () => {
      void runTask("remove closed pools", this.host.logger, () => {
        this.removeClosed();
      });
    });
    this.timer.unref();
  }

  async send(
    send: EndpointRequest,
    signal: AbortSignal,
  ): Promise<E.Either<SendFailure, OpenResponse>> {
    const { head, body: requestBody } = send.request;
    const { service } = send.endpoint;
    if (!(await this.canSend(send))) return E.left(createHeldFailure());
    if (signal.aborted) {
      this.recordEnd(send.endpoint, describeSend(send), SendEnding.aborted, this.clock.now());
      return E.left(createHeldFailure());
    }
    const pool = this.getOrCreatePool(send.endpoint);
    const connection = pool.acquireForRequest({
      id: head.id,
      needsNewConnection: send.needsNewConnection,
      maxConnections: this.host.computeMaxConnections(service),
      mayUsePeer: createPeerCheck(send.request.allowedRegions, this.host.regions),
    });
    if (connection === undefined) {
      this.recordEnd(send.endpoint, describeSend(send), SendEnding.aborted, this.clock.now());
      const message = "all connections to the endpoint are in use";
      return E.left(new SendFailure(SendFailureKind.busy, message));
    }
    connection.limitBytes(MAX_HEAD_BYTES);
    const sentAt = this.clock.now();
    const checkTimer = this.scheduleCheck(send.endpoint, connection);
    let answer: AnswerFacts | undefined;
    try {
      const response = await connection.client.request({
        method: head.method as "POST",
        path: head.target,
        headers: this.codec.listHeaders(send),
        body: requestBody.length === 0 ? null : requestBody,
        signal,
        responseHeaders: "raw",
      });
      const headers = response.headers as unknown as readonly string[];
      answer = describeAnswer(send.endpoint, head.id, response.statusCode, headers);
      acceptStatus(response);
      const answeredId = this.codec.readAnsweredId(headers);
      const { isFirstExchange: isFirst } = connection;
      const isJoined = isJoinedHead(response.statusText, headers, (names) =>
        this.codec.readAnsweredId(names),
      );
      const responseHead = this.codec.readResponseHead(send, response.statusCode, headers);
      const isOwn = isOwnAnswer({
        requestId: head.id,
        answeredId,
        isFirst,
        isJoined,
        isRefusal: isRefusal(responseHead),
      });
      const ending = isOwn ? readEnding(response.statusCode) : SendEnding.aborted;
      this.recordEnd(send.endpoint, describeSend(send), ending, sentAt);
      const notice = this.codec.readNotice(response.statusCode, headers);
      // An endpoint that once said that it leaves does so; the age of a pause is not known.
      this.gate.onNotice(send.endpoint, isOwn ? notice : { ...notice, pauseMs: undefined });
      if (!isOwn) {
        response.body.on("error", () => undefined);
        pool.discard(connection);
        // The endpoint may have written late copies on its other connections too.
        pool.closeIdle();
        return E.left(this.reportForeign(send, response.statusCode, answeredId));
      }
      connection.limitBytes(
        send.task === SendTask.prefill ? MAX_SMALL_BODY_BYTES : MAX_FRAMED_BYTES,
      );
      releaseAfter(pool, connection, response.body);
      response.body.once("error", (error: Error) => {
        this.reportBroken(answer, error);
      });
      if (isFromEndpoint(responseHead)) {
        const canEndLimit = send.task === SendTask.run;
        this.gate.onLimitNotice(send.endpoint, notice, { sentAt, canEndLimit });
        this.reportLoad(send.endpoint, notice);
      }
      const isCopy = (names: readonly string[]) => {
        const named = this.codec.readAnsweredId(names);
        return named !== undefined && connection.hasCarried(named);
      };
      const lease = this.heldBytes.open(`endpoint ${send.endpoint.id}`);
      const { body } = response;
      const parts = { head: responseHead, headers, body, connection, isCopy, lease };
      return E.right(createOpenResponse(parts));
    } catch (error) {
      this.reportBroken(answer, error);
      const ending = signal.aborted ? SendEnding.aborted : SendEnding.failed;
      this.recordEnd(send.endpoint, describeSend(send), ending, sentAt);
      pool.discard(connection);
      return E.left(createFailure(error));
    } finally {
      clearTimeout(checkTimer);
    }
  }

  async call(
    target: EndpointTarget,
    call: EndpointCall,
    timeoutMs: number,
    permits = 1,
  ): Promise<E.Either<SendFailure, CallResponse>> {
    if (!(await this.canCall(target, call, permits))) return E.left(createHeldFailure());
    const pool = this.getOrCreatePool(target);
    const connection = pool.openForCall({
      isDirectOnly: call.isDirectOnly === true,
      isQuestion: call.isEndCheck,
    });
    const sentAt = this.clock.now();
    connection.limitBytes(MAX_HEAD_BYTES);
    let answer: AnswerFacts | undefined;
    try {
      const response = await connection.client.request({
        method: call.method,
        path: call.path,
        headers: [...call.headers],
        body: call.body ?? null,
        signal: createTimeoutSignal(timeoutMs),
        responseHeaders: "raw",
      });
      const headers = response.headers as unknown as readonly string[];
      answer = describeAnswer(target, "", response.statusCode, headers);
      acceptStatus(response);
      this.recordCallEnd(target, call, readEnding(response.statusCode), sentAt, permits);
      const notice = this.codec.readNotice(response.statusCode, headers);
      this.gate.onNotice(target, notice);
      if (!this.codec.isMisdirected(response.statusCode)) {
        this.gate.onLimitNotice(target, notice, { sentAt, canEndLimit: false });
        this.reportLoad(target, notice);
      }
      connection.limitBytes(MAX_SMALL_BODY_BYTES);
      const body = Buffer.from(await response.body.arrayBuffer());
      return E.right({ status: response.statusCode, body });
    } catch (error) {
      this.reportBroken(answer, error);
      this.recordCallEnd(target, call, SendEnding.failed, sentAt, permits);
      return E.left(createFailure(error));
    } finally {
      pool.discard(connection);
    }
  }

  computeMaxConnections(service: string): number {
    return this.host.computeMaxConnections(service);
  }

  reset(address: string): void {
    this.pools.get(address)?.closeIdle();
  }

  /** Closes the idle connections to an endpoint whose direct way is lost: a hang can't be told. */
  onWayLost({ address }: EndpointTarget): void {
    this.pools.get(address)?.closeIdleOf(ConnectionWay.direct);
  }

  /** Closes the idle connections over peers to an endpoint whose direct way is back. */
  onWayBack({ address }: EndpointTarget): void {
    this.pools.get(address)?.closeIdleOf(ConnectionWay.peer);
  }

  close(): Promise<void> {
    this.timer.close();
    this.dialer.close();
    for (const pool of this.pools.values()) pool.close();
    this.pools.clear();
    return Promise.resolve();
  }

  /** Checks that the endpoint takes the request, and acquires its permit where it has a limit. */
  private async canSend(send: EndpointRequest): Promise<boolean> {
    const { endpoint, hold, cacheSource } = send;
    if (!canSendByRegions(send, this.host.regions)) return false;
    if (!this.gate.isOpenForRequest(endpoint)) return false;
    // A hold was given with the permit for its run.
    const permits = hold === undefined ? 1 : 0;
    if ((await this.gate.acquirePermits(endpoint, permits)) !== true) return false;
    // The engine would fetch the prompt from there.
    if (cacheSource !== undefined && this.gate.isEvacuated(cacheSource.endpoint.id)) return false;
    return this.gate.isOpenForRequest(endpoint);
  }

  /** Checks that the endpoint takes a call, and acquires its permits where it has a limit. */
  private async canCall(
    target: EndpointTarget,
    { isEndCheck }: EndpointCall,
    permits: number,
  ): Promise<boolean> {
    // It belongs to a run that is under way.
    if (isEndCheck === true) return true;
    if (this.gate.isPaused(target.id)) return false;
    if ((await this.gate.acquirePermits(target, permits)) !== true) return false;
    return !this.gate.isPaused(target.id);
  }

  private reportLoad({ id }: EndpointTarget, { load }: EndpointNotice): void {
    if (load !== undefined) this.host.onLoad?.(id, load);
  }

  private recordEnd(
    { id: endpoint, processStartedAt, service = "" }: EndpointTarget,
    kind: SendKind,
    ending: SendEnding,
    sentAt: Moment,
  ): void {
    const tookMs = this.clock.now() - sentAt;
    this.gate.recordSend({ endpoint, processStartedAt, service, ...kind, ending, tookMs });
  }

  private recordCallEnd(
    target: EndpointTarget,
    call: EndpointCall,
    ending: SendEnding,
    sentAt: Moment,
    permits: number,
  ): void {
    this.recordEnd(target, describeCall(call), ending, sentAt);
    // A hold that is not granted has no run, whose permit came with it.
    for (let unused = 1; unused < permits && ending !== SendEnding.answered; unused += 1) {
      this.recordEnd(target, describeCall(call), SendEnding.aborted, sentAt);
    }
  }

  private reportBroken(answer: AnswerFacts | undefined, error: unknown): void {
    const broken = answer && describeBroken(answer, error);
    if (broken !== undefined) this.host.onBrokenAnswer?.(broken);
  }

  private reportForeign(
    { request, endpoint }: EndpointRequest,
    status: number,
    answeredId: string | undefined,
  ): SendFailure {
    const { id, service } = endpoint;
    const answer = { request: request.head.id, service, endpoint: id, status, answeredId };
    this.host.onForeignAnswer(answer);
    const named = answeredId === undefined ? "no request" : `request ${answeredId}`;
    const message = `an answer ${status} to ${named} came on the connection`;
    return new SendFailure(SendFailureKind.foreign, message);
  }

  /** Schedules a check of the direct way, should the endpoint stay silent. */
  private scheduleCheck(endpoint: EndpointTarget, connection: Connection): NodeJS.Timeout {
    return setTimeout(() => {
      void runTask("check a silent endpoint", this.host.logger, () => {
        if (connection.isAlive && connection.peer === undefined) this.dialer.checkDirect(endpoint);
      });
    }, this.host.computeCheckMs(endpoint.id));
  }

  private getOrCreatePool(target: EndpointTarget): ConnectionPool {
    const existing = this.pools.get(target.address);
    existing?.setTarget(target);
    if (existing !== undefined) return existing;
    const pool = new ConnectionPool(target, this.dialer, this.clock);
    this.pools.set(target.address, pool);
    return pool;
  }

  private removeClosed(): void {
    for (const [address, pool] of this.pools) {
      pool.removeClosed();
      if (pool.isEmpty) this.pools.delete(address);
    }
  }
}

function describeAnswer(
  { id: endpoint, service = "" }: EndpointTarget,
  request: string,
  status: number,
  headers: readonly string[],
): AnswerFacts {
  return { request, service, endpoint, status, isFramed: isFramedAnswer(status, headers) };
}
