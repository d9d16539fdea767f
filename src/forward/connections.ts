/**
 * Kept connections to endpoints, by undici. Nothing is ever sent twice here. A connection that goes
 * silent or brings an answer to nothing is given up, and with it those beside it.
 */
import type { Readable } from "node:stream";
import * as E from "fp-ts/Either";
import { Pool } from "undici";
import type { Clock, Moment } from "../core/clock";
import { checkDown, checkUnsent } from "../store/http";
import type { AnswerHead, EndpointCodec, OwnCall, Send } from "./exchange";

/** How long a connection may take to stand, in milliseconds; far more than a round trip. */
const CONNECT_MS = 400;
/** How long a connection stays open unused where the endpoint names no time, in milliseconds. */
const IDLE_MS = 400;
/** How much sooner than the endpoint would a connection is closed, in milliseconds. */
const IDLE_MARGIN_MS = 700;
/** How long a pool without calls is kept, in milliseconds. */
const UNUSED_MS = 10_000;
const SWEEP_MS = 5000;
/** The largest answer that is read whole, in bytes. */
const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** A send that got no answer. */
export class SendFailure extends Error {
  override readonly name = "SendFailure";

  constructor(
    message: string,
    /** False only where no byte of the request can have left. */
    readonly isSent: boolean,
    /** True where nothing listens at the other end. */
    readonly isDown: boolean,
    /** True where the router itself ended the send. */
    readonly isAborted: boolean,
  ) {
    super(message);
  }
}

/** An answer whose body is still to be read. */
export interface OpenAnswer {
  readonly head: AnswerHead;
  readonly body: Readable;
}

/** A whole answer to a call of the router's own. */
export interface CallAnswer {
  readonly status: number;
  readonly body: Buffer;
}

/** Sends to endpoints. */
export interface EndpointClient {
  /** Sends once, and resolves with the head of the answer. */
  send(send: Send, signal: AbortSignal): Promise<E.Either<SendFailure, OpenAnswer>>;
  /** Makes a call of the router's own. */
  call(
    address: string,
    call: OwnCall,
    timeoutMs: number,
  ): Promise<E.Either<SendFailure, CallAnswer>>;
  /** Gives up the unused connections to an address. */
  reset(address: string): void;
  close(): Promise<void>;
}

interface KeptPool {
  readonly pool: Pool;
  usedAt: Moment;
}

/** Endpoints over HTTP. */
export class HttpEndpointClient implements EndpointClient {
  private readonly pools = new Map<string, KeptPool>();
  private readonly timer: NodeJS.Timeout;

  /**
   * @param countConnections - how many connections to an endpoint of a service this instance may open
   */
  constructor(
    private readonly codec: EndpointCodec,
    private readonly clock: Clock,
    private readonly countConnections: (service: string) => number,
  ) {
    this.timer = setInterval(() => {
      this.sweep();
    }, SWEEP_MS);
    this.timer.unref();
  }

  async send(send: Send, signal: AbortSignal): Promise<E.Either<SendFailure, OpenAnswer>> {
    const { head, body } = send.request;
    const pool = this.findPool(send.endpoint.address, send.endpoint.service);
    try {
      const response = await pool.request({
        method: head.method as "POST",
        path: head.target,
        headers: this.codec.listHeaders(send),
        body: body.length === 0 ? null : body,
        signal,
        responseHeaders: "raw",
      });
      const headers = response.headers as unknown as readonly string[];
      const answer = this.codec.readAnswer(send, response.statusCode, headers);
      return E.right({ head: answer, body: response.body });
    } catch (error) {
      return E.left(createFailure(error, signal));
    }
  }

  async call(
    address: string,
    call: OwnCall,
    timeoutMs: number,
  ): Promise<E.Either<SendFailure, CallAnswer>> {
    const signal = AbortSignal.timeout(timeoutMs);
    try {
      const response = await this.findPool(address, undefined).request({
        method: call.method,
        path: call.path,
        headers: [...call.headers],
        body: call.body ?? null,
        signal,
      });
      const body = Buffer.from(await response.body.arrayBuffer());
      return E.right({ status: response.statusCode, body });
    } catch (error) {
      return E.left(createFailure(error, signal));
    }
  }

  reset(address: string): void {
    const kept = this.pools.get(address);
    if (kept === undefined) return;
    this.pools.delete(address);
    void kept.pool.close().catch(() => undefined);
  }

  async close(): Promise<void> {
    clearInterval(this.timer);
    const closing = [...this.pools.values()].map(({ pool }) => pool.destroy());
    this.pools.clear();
    await Promise.all(closing);
  }

  private findPool(address: string, service: string | undefined): Pool {
    const now = this.clock.now();
    const known = this.pools.get(address);
    if (known !== undefined) {
      known.usedAt = now;
      return known.pool;
    }
    const connections = service === undefined ? 0 : this.countConnections(service);
    const pool = new Pool(`http://${address}`, {
      connect: { timeout: CONNECT_MS },
      connections: connections > 0 ? connections : null,
      pipelining: 1,
      keepAliveTimeout: IDLE_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: MAX_BODY_BYTES,
    });
    this.pools.set(address, { pool, usedAt: now });
    return pool;
  }

  private sweep(): void {
    const limit = this.clock.now() - UNUSED_MS;
    for (const [address, { usedAt }] of this.pools) if (usedAt < limit) this.reset(address);
  }
}

function createFailure(error: unknown, signal: AbortSignal): SendFailure {
  const { code, message } = error as { code?: string; message?: string };
  const text = [code, message].filter((part) => part !== undefined && part !== "").join(" ");
  return new SendFailure(text, !checkUnsent(error), checkDown(error), signal.aborted);
}
