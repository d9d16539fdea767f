/**
 * Client of plain services: sends each call at most once and never retries it.
 */
import * as E from "fp-ts/Either";
import type * as TE from "fp-ts/TaskEither";
import { Client, type Dispatcher } from "undici";
import { createTimeoutSignal } from "../core/readfirst";
import { createConnector } from "../store/connector";
import { type BrokenAnswerListener, acceptAnswer } from "../store/brokenanswer";
import { isConnectError, isConnectionRefused } from "../store/http";

const CONNECT_TIMEOUT_MS = 1000;
/** Timeout of the connect that shows whether a service still runs, in milliseconds. */
const PROBE_TIMEOUT_MS = 250;
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

/** A call to a plain service. */
export interface ServiceCall {
  /** Sent as X-Attempt-Id; the response has to carry the same value. */
  readonly attempt: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

/** A complete response of a plain service. */
export interface ServiceResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/** A call that got no complete response. */
export class ServiceError extends Error {
  override readonly name = "ServiceError";

  constructor(
    message: string,
    /**
     * False only where no byte of the call can have been sent, so that it may be sent elsewhere.
     */
    readonly isSent: boolean,
  ) {
    super(message);
  }
}

/** Client of all plain services, addressed by URL. */
export interface ServiceClient {
  call(url: string, call: ServiceCall): TE.TaskEither<ServiceError, ServiceResponse>;
}

/**
 * Service client over HTTP. Every call opens its own connection: on a reused connection, a close
 * by the service before it received the call could not be distinguished from one after it.
 */
export class HttpServiceClient implements ServiceClient {
  /** @param onBroken - called with each answer that is broken */
  constructor(private readonly onBroken?: BrokenAnswerListener) {}

  call(url: string, call: ServiceCall): TE.TaskEither<ServiceError, ServiceResponse> {
    return async () => {
      const { origin } = new URL(url);
      const client = new Client(origin, {
        connect: createConnector(CONNECT_TIMEOUT_MS),
        pipelining: 1,
        headersTimeout: 0,
        bodyTimeout: 0,
        maxResponseSize: MAX_RESPONSE_BYTES,
      });
      try {
        return await this.send(client, origin, call);
      } catch (error) {
        return E.left(new ServiceError((error as Error).message, !isConnectError(error)));
      } finally {
        await client.destroy();
      }
    };
  }

  private async send(
    client: Client,
    origin: string,
    call: ServiceCall,
  ): Promise<E.Either<ServiceError, ServiceResponse>> {
    const response = await sendCall(client, call);
    const answer = acceptAnswer(origin, response, this.onBroken);
    if (response.headers["x-attempt-id"] !== call.attempt) {
      return E.left(new ServiceError("the response belongs to another attempt", true));
    }
    const body = Buffer.from(await response.body.arrayBuffer());
    // A process that dies ends its connections like one that has finished.
    if (!answer.isFramed && (await isServiceDown(origin))) {
      const error = "the service is down after the end of its connection";
      this.onBroken?.({ ...answer, reason: "down", receivedBytes: body.length, error });
      return E.left(new ServiceError(error, true));
    }
    const headers = Object.fromEntries(
      Object.entries(response.headers).map(([name, value]) => [name, String(value)]),
    );
    return E.right({ status: response.statusCode, headers, body });
  }
}

/** Sends a call; resolves once the head of the response has arrived. */
function sendCall(client: Client, call: ServiceCall): Promise<Dispatcher.ResponseData> {
  return client.request({
    path: call.path,
    method: call.method as "POST",
    headers: { ...call.headers, "x-attempt-id": call.attempt },
    body: call.body.length === 0 ? null : call.body,
    signal: AbortSignal.any([createTimeoutSignal(call.timeoutMs), call.signal]),
    reset: true,
  });
}

/** Checks whether a service refuses connections; one that can't be reached is not known to. */
function isServiceDown(origin: string): Promise<boolean> {
  const { protocol, hostname, port } = new URL(origin);
  return new Promise((resolve) => {
    createConnector(PROBE_TIMEOUT_MS)({ protocol, hostname, port }, (error, socket) => {
      socket?.destroy();
      resolve(error !== null && isConnectionRefused(error));
    });
  });
}
