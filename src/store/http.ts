/**
 * JSON over HTTP to the platform and to endpoints, by undici.
 *
 * Nothing here is ever sent twice. A connection that went silent is given up with the call that
 * found it so: its pool is replaced, so that the next call opens a new connection.
 */
import * as E from "fp-ts/Either";
import type * as TE from "fp-ts/TaskEither";
import { Agent, type Dispatcher } from "undici";

const CONNECT_MS = 1000;
const KEEP_ALIVE_MS = 4000;
const CONNECTIONS_PER_ORIGIN = 256;

/** Error codes of undici and Node.js that come only before a connection stands. */
const NOT_CONNECTED = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** A call that got no answer. */
export class SendError extends Error {
  override readonly name = "SendError";

  constructor(
    message: string,
    /** False only where no byte of the request can have left. */
    readonly isSent: boolean,
    /** True where nothing came back in time. */
    readonly isTimeout: boolean,
    /** True where no process listens at the other end. */
    readonly isDown: boolean,
  ) {
    super(message);
  }
}

/** A call with a JSON body. */
export interface JsonCall {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly url: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

/** An answer with a JSON body. */
export interface JsonResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: unknown;
}

/** Sends calls over kept connections. */
export interface Sender {
  /** The dispatcher for streamed calls. */
  readonly dispatcher: Dispatcher;
  sendJson(call: JsonCall): TE.TaskEither<SendError, JsonResponse>;
  /** Gives up all connections; the next call opens a new one. */
  reset(): void;
  close(): Promise<void>;
}

/**
 * Creates a sender with connections of its own.
 *
 * @example
 * const sender = createSender();
 * await sender.sendJson({ method: "GET", url: "http://127.0.0.1:80/", timeoutMs: 500 })();
 */
export function createSender(): Sender {
  return new PooledSender();
}

/**
 * Checks whether an error of undici or Node.js proves that nothing was sent.
 *
 * @example
 * isConnectError(Object.assign(new Error("refused"), { code: "ECONNREFUSED" })); // true
 */
export function isConnectError(error: unknown): boolean {
  const code = (error as { code?: string }).code ?? "";
  if (NOT_CONNECTED.has(code)) return true;
  const inner = (error as { errors?: readonly unknown[] }).errors;
  return inner !== undefined && inner.length > 0 && inner.every(isConnectError);
}

/**
 * Checks whether an error says that no process listens at the other end.
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
        const response = await agent.request(createOptions(call, signal));
        const text = await response.body.text();
        const body: unknown = text === "" ? undefined : JSON.parse(text);
        return E.right({ status: response.statusCode, headers: response.headers, body });
      } catch (error) {
        if (timeout.aborted && agent === this.agent) this.reset();
        return E.left(
          new SendError(
            `${call.method} failed: ${printError(error)}`,
            !isConnectError(error),
            timeout.aborted,
            isConnectionRefused(error),
          ),
        );
      }
    };
  }

  reset(): void {
    const old = this.agent;
    this.agent = createAgent();
    // Calls that still run on the old connections end by themselves.
    void old.close().catch(() => undefined);
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }
}

function createAgent(): Agent {
  return new Agent({
    connect: { timeout: CONNECT_MS },
    connections: CONNECTIONS_PER_ORIGIN,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

function createOptions(call: JsonCall, signal: AbortSignal): Dispatcher.RequestOptions {
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

function printError(error: unknown): string {
  const { code, message } = error as { code?: string; message?: string };
  return [code, message].filter((part) => part !== undefined && part !== "").join(" ");
}
