/**
 * Client of plain services: sends each call at most once and never retries it.
 */
import type { Socket } from "node:net";
import * as E from "fp-ts/Either";
import type * as TE from "fp-ts/TaskEither";
import { Client, type Dispatcher } from "undici";
import { findEndProof, WriterState } from "../core/assertedend";
import { BodyEnd } from "../core/bodyend";
import type { Moment } from "../core/clock";
import { ConnectionEnder } from "../core/connectionender";
import { createTimeoutSignal } from "../core/readfirst";
import { createConnector } from "../store/connector";
import { type AnswerFacts, type BrokenAnswerListener, acceptAnswer } from "../store/brokenanswer";
import { isConnectError } from "../store/http";
import { openTimedSocket, TimedSocket } from "./timedsocket";
import { Witness } from "./witness";

const CONNECT_TIMEOUT_MS = 1000;
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
      const connection = new CallConnection();
      const client = new Client(origin, {
        connect: connection.connect,
        pipelining: 1,
        headersTimeout: 0,
        bodyTimeout: 0,
        maxResponseSize: MAX_RESPONSE_BYTES,
      });
      try {
        return await this.send(client, connection, origin, call);
      } catch (error) {
        return E.left(new ServiceError((error as Error).message, !isConnectError(error)));
      } finally {
        await client.destroy();
      }
    };
  }

  private async send(
    client: Client,
    connection: CallConnection,
    origin: string,
    call: ServiceCall,
  ): Promise<E.Either<ServiceError, ServiceResponse>> {
    const response = await sendCall(client, call);
    const answer = acceptAnswer(origin, response, this.onBroken);
    if (response.headers["x-attempt-id"] !== call.attempt) {
      return E.left(new ServiceError("the response belongs to another attempt", true));
    }
    const witness = answer.isFramed ? undefined : new Witness(origin);
    const reading = this.readBody(response, answer, connection, witness);
    const read = await reading.finally(() => witness?.close());
    if (E.isLeft(read)) return read;
    const headers = Object.fromEntries(
      Object.entries(response.headers).map(([name, value]) => [name, String(value)]),
    );
    return E.right({ status: response.statusCode, headers, body: read.right });
  }

  /** Reads a body; a process that dies ends its connections like one that has finished. */
  private async readBody(
    { body }: Dispatcher.ResponseData,
    answer: AnswerFacts,
    connection: CallConnection,
    witness: Witness | undefined,
  ): Promise<E.Either<ServiceError, Buffer>> {
    const bytes = Buffer.from(await body.arrayBuffer());
    const endedAt = connection.endedAt ?? performance.now();
    const writer = (await witness?.findWriter(endedAt)) ?? WriterState.unasked;
    const endedBy = ConnectionEnder.endpoint;
    const { isFramed } = answer;
    if (findEndProof({ isFramed, endedBy, writer }) !== undefined) return E.right(bytes);
    const error = `nobody asserted the end of the answer: its writer is ${writer}`;
    const reason = writer === WriterState.gone ? "down" : BodyEnd.unasserted;
    this.onBroken?.({ ...answer, reason, receivedBytes: bytes.length, error });
    return E.left(new ServiceError(error, true));
  }
}

/** The connection of one call. */
class CallConnection {
  readonly connect = createConnector(
    CONNECT_TIMEOUT_MS,
    (socket) => {
      this.socket = socket;
    },
    openTimedSocket,
  );
  private socket: Socket | undefined;

  /** When its end was read; undefined before it, and where TLS hides it. */
  get endedAt(): Moment | undefined {
    return this.socket instanceof TimedSocket ? this.socket.endedAt : undefined;
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
