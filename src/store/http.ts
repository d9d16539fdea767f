/**
 * Sends JSON over HTTP to the platform and to endpoints, using undici.
 *
 * No call is ever sent twice. Where a call times out, its connection may have gone silent: the
 * connection pool is replaced, so that the next call opens a new connection.
 */
import * as E from "fp-ts/Either";
import type * as TE from "fp-ts/TaskEither";
import { Agent, type Dispatcher } from "undici";

const CONNECT_TIMEOUT_MS = 1000;
const KEEP_ALIVE_TIMEOUT_MS = 4000;
const MAX_CONNECTIONS_PER_ORIGIN = 256;
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

/** Sends calls over a pool of keep-alive connections. */
export interface Sender {
  /** Undici dispatcher for calls with a streamed response. */
  readonly dispatcher: Dispatcher;
  sendJson(call: JsonCall): TE.TaskEither<SendError, JsonResponse>;
  /** Replaces the connection pool; the next call opens a new connection. */
  reset(): void;
  /** Closes all connections; calls in flight fail. */
  close(): Promise<void>;
}

/**
 * Creates a sender with its own connection pool.
 *
 * @example
 * const sender = createSender();
 * await sender.sendJson({ method: "GET", url: "http://127.0.0.1:80/", timeoutMs: 500 })();
 */
export function createSender(): Sender {
  return new PooledSender();
}

/**
 * Checks whether an error of undici or Node.js proves that nothing was sent. An aggregate error
 * does where each of its errors does.
 *
 * @example
 * isConnectError(Object.assign(new Error("refused"), { code: "ECONNREFUSED" })); // true
 */
export function isConnectError(error: unknown): boolean {
  const code = (error as { code?: string }).code ?? "";
  if (CONNECT_ERROR_CODES.has(code)) return true;
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
  return (error as { code?: string }).code === "ECONNREFUSED";
}

class PooledSender implements Sender {
  private agent = createAgent();

  get dispatcher(): Dispatcher {
    return this.agent;
  }

  sendJson(call: JsonCall): TE.TaskEither<SendError, JsonResponse> {
    return async () => {
      const timeout = AbortSignal.timeout(call.timeoutMs);
      const signal = call.signal === undefined ? timeout : AbortSignal.any([timeout, call.signal]);
      const agent = this.agent;
      try {
        const response = await agent.request(createRequestOptions(call, signal));
        const text = await response.body.text();
        const body: unknown = text === "" ? undefined : JSON.parse(text);
        return E.right({ status: response.statusCode, headers: response.headers, body });
      } catch (error) {
        if (timeout.aborted && agent === this.agent) this.reset();
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

  reset(): void {
    const oldAgent = this.agent;
    this.agent = createAgent();
    // Calls in flight on the old connections are left to complete.
    void oldAgent.close().catch(() => undefined);
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }
}

function createAgent(): Agent {
  return new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    connections: MAX_CONNECTIONS_PER_ORIGIN,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

function createRequestOptions(call: JsonCall, signal: AbortSignal): Dispatcher.RequestOptions {
  const url = new URL(call.url);
  const headers: Record<string, string> = { accept: "application/json", ...call.headers };
  if (call.body !== undefined) headers["content-type"] = "application/json";
  return {
    origin: url.origin,
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
