/**
 * Sends JSON over HTTP to the platform and to endpoints, using undici.
 *
 * No call is ever sent twice, and each has a connection of its own, since most answers carry no id
 * of their call, and failures never do.
 */
import * as E from "fp-ts/Either";
import type * as TE from "fp-ts/TaskEither";
import { type Dispatcher, Pool } from "undici";
import { createTimeoutSignal } from "../core/readfirst";
import { createConnector } from "./connector";
import { type BrokenAnswerListener, acceptAnswer } from "./brokenanswer";

const CONNECT_TIMEOUT_MS = 1000;
const MAX_CONNECTIONS_PER_ORIGIN = 256;
/** Maximum size of the body of a response, in bytes. */
export const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
/** A pool without connections is kept, as creating it costs more than a connection. */
const MAX_POOLS = 1024;
/** How long a connection whose call was given up while it opened is kept for the next call. */
const UNUSED_CONNECTION_TIMEOUT_MS = 1000;

/**
 * Options of undici for a pool whose connections carry one call each and close after it. It is for
 * answers that carry no id of their call: on a kept connection, a late second copy of an answer
 * could not be told from the answer to the next call.
 */
export const SINGLE_CALL_OPTIONS = {
  /** With zero, undici closes a connection after its call. */
  pipelining: 0,
  keepAliveTimeout: UNUSED_CONNECTION_TIMEOUT_MS,
  headersTimeout: 0,
  bodyTimeout: 0,
} as const;

/** Error codes of undici and Node.js that occur only before a connection is established. */
const CONNECT_ERROR_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** System calls that end before a connection is established; undici's own errors name none. */
const CONNECT_CALLS: ReadonlySet<string | undefined> = new Set([
  undefined,
  "connect",
  "bind",
  "getaddrinfo",
]);

/** A call that got no valid response. */
export class SendError extends Error {
  override readonly name = "SendError";

  constructor(
    message: string,
    /** False only where no byte of the request can have been sent. */
    readonly isSent: boolean,
    /** True where no complete response came within the timeout. */
    readonly isTimeout: boolean,
    /** True where the connection was refused: no process listens at the address. */
    readonly isDown: boolean,
  ) {
    super(message);
  }
}

/** A call with a JSON body, or with none. */
export interface JsonCall {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly url: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

/** A response with a JSON body, which is undefined where the response had none. */
export interface JsonResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: unknown;
}

/** Sends calls, each over a connection of its own. */
export interface Sender {
  /** Sends a call with a streamed response. */
  request(origin: string, options: Dispatcher.RequestOptions): Promise<Dispatcher.ResponseData>;
  sendJson(call: JsonCall): TE.TaskEither<SendError, JsonResponse>;
  /** Closes all connections; calls in flight fail. */
  close(): Promise<void>;
}

/**
 * Creates a sender with its own limit on connections.
 *
 * @param onBroken - called with each answer that is broken
 * @example
 * const sender = createSender();
 * await sender.sendJson({ method: "GET", url: "http://127.0.0.1:80/", timeoutMs: 500 })();
 */
export function createSender(onBroken?: BrokenAnswerListener): Sender {
  return new SingleCallSender(onBroken);
}

/**
 * Checks whether an error of undici or Node.js proves that nothing was sent. An aggregate error
 * does where each of its errors does. An established connection may fail with the same codes, in
 * another system call.
 *
 * @example
 * isConnectError(Object.assign(new Error("refused"), { code: "ECONNREFUSED" })); // true
 */
export function isConnectError(error: unknown): boolean {
  const { code = "", syscall } = error as NodeJS.ErrnoException;
  if (CONNECT_ERROR_CODES.has(code)) return CONNECT_CALLS.has(syscall);
  const innerErrors = (error as { errors?: readonly unknown[] }).errors;
  return innerErrors !== undefined && innerErrors.length > 0 && innerErrors.every(isConnectError);
}

/**
 * Checks whether an error means that no process listens at the address.
 *
 * @example
 * isConnectionRefused(Object.assign(new Error("refused"), { code: "ECONNREFUSED" })); // true
 */
export function isConnectionRefused(error: unknown): boolean {
  const { code, syscall } = error as NodeJS.ErrnoException;
  return code === "ECONNREFUSED" && CONNECT_CALLS.has(syscall);
}

class SingleCallSender implements Sender {
  private readonly pools = new Map<string, Pool>();

  constructor(private readonly onBroken: BrokenAnswerListener | undefined) {}

  async request(
    origin: string,
    options: Dispatcher.RequestOptions,
  ): Promise<Dispatcher.ResponseData> {
    const response = await this.findOrCreatePool(origin).request(options);
    acceptAnswer(origin, response, this.onBroken);
    return response;
  }

  sendJson(call: JsonCall): TE.TaskEither<SendError, JsonResponse> {
    return async () => {
      const timeout = createTimeoutSignal(call.timeoutMs);
      const signal = call.signal === undefined ? timeout : AbortSignal.any([timeout, call.signal]);
      const { origin } = new URL(call.url);
      try {
        const response = await this.request(origin, createRequestOptions(call, signal));
        const text = await response.body.text();
        const body: unknown = text === "" ? undefined : JSON.parse(text);
        return E.right({ status: response.statusCode, headers: response.headers, body });
      } catch (error) {
        return E.left(
          new SendError(
            `${call.method} failed: ${formatError(error)}`,
            !isConnectError(error),
            timeout.aborted,
            isConnectionRefused(error),
          ),
        );
      }
    };
  }

  async close(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  private findOrCreatePool(origin: string): Pool {
    const existing = this.pools.get(origin);
    if (existing !== undefined) return existing;
    if (this.pools.size >= MAX_POOLS) this.dropOldestPool();
    const pool = createPool(origin);
    this.pools.set(origin, pool);
    return pool;
  }

  private dropOldestPool(): void {
    const oldest = this.pools.entries().next().value;
    if (oldest === undefined) return;
    const [origin, pool] = oldest;
    this.pools.delete(origin);
    // Calls in flight are left to complete.
    void pool.close().catch(() => undefined);
  }
}

function createPool(origin: string): Pool {
  return new Pool(origin, {
    connect: createConnector(CONNECT_TIMEOUT_MS),
    connections: MAX_CONNECTIONS_PER_ORIGIN,
    maxResponseSize: MAX_RESPONSE_BYTES,
    ...SINGLE_CALL_OPTIONS,
  });
}

function createRequestOptions(call: JsonCall, signal: AbortSignal): Dispatcher.RequestOptions {
  const url = new URL(call.url);
  const headers: Record<string, string> = { accept: "application/json", ...call.headers };
  if (call.body !== undefined) headers["content-type"] = "application/json";
  return {
    path: url.pathname + url.search,
    method: call.method,
    headers,
    body: call.body === undefined ? null : JSON.stringify(call.body),
    signal,
  };
}

function formatError(error: unknown): string {
  const { code, message } = error as { code?: string; message?: string };
  return [code, message].filter((part) => part !== undefined && part !== "").join(" ");
}
