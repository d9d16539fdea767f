/**
 * Sends to endpoints over kept connections. Nothing is ever sent twice here. A connection that
 * failed, or whose answer was not read to its end, is closed and never used again.
 */
import type { Readable } from "node:stream";
import * as E from "fp-ts/Either";
import type { Clock } from "../core/clock";
import { isConnectionRefused, isConnectError } from "../store/http";
import { Connection } from "./connection";
import type { ResponseHead, EndpointCodec, EndpointCall, EndpointRequest } from "./messages";

/** How often connections that were closed by the other end are forgotten, in milliseconds. */
const SWEEP_MS = 2000;

const FRAMING_HEADERS: ReadonlySet<string> = new Set(["content-length", "transfer-encoding"]);
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** A send that got no answer. */
export class SendFailure extends Error {
  override readonly name = "SendFailure";

  constructor(
    message: string,
    /** False only where no byte of the request can have left. */
    readonly isSent: boolean,
    /** True where nothing listens at the other end. */
    readonly isDown: boolean,
  ) {
    super(message);
  }
}

/** An answer whose body is still to be read. */
export interface OpenResponse {
  readonly head: ResponseHead;
  readonly body: Readable;
  /** True where the answer says how long it is; one that does not ends with its connection. */
  readonly isFramed: boolean;
  /** True where the connection failed, so that a body that seems to have ended is not whole. */
  readonly isBroken: () => boolean;
}

/** A whole answer to a call of the router's own. */
export interface CallResponse {
  readonly status: number;
  readonly body: Buffer;
}

/** Sends to endpoints. */
export interface EndpointClient {
  /** Sends once, and resolves with the head of the answer. */
  send(send: EndpointRequest, signal: AbortSignal): Promise<E.Either<SendFailure, OpenResponse>>;
  /** Makes a call of the router's own. */
  call(
    address: string,
    call: EndpointCall,
    timeoutMs: number,
  ): Promise<E.Either<SendFailure, CallResponse>>;
  /** Closes the unused connections to an address. */
  reset(address: string): void;
  close(): Promise<void>;
}

interface Lane {
  readonly idle: Connection[];
  readonly busy: Set<Connection>;
}

/** Endpoints over HTTP. */
export class HttpEndpointClient implements EndpointClient {
  private readonly lanes = new Map<string, Lane>();
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

  async send(
    send: EndpointRequest,
    signal: AbortSignal,
  ): Promise<E.Either<SendFailure, OpenResponse>> {
    const { head, body } = send.request;
    const { address, service } = send.endpoint;
    const connection = this.take(address, this.countConnections(service));
    if (connection === undefined) {
      return E.left(new SendFailure("all connections to the endpoint are in use", false, false));
    }
    try {
      const response = await connection.client.request({
        method: head.method as "POST",
        path: head.target,
        headers: this.codec.listHeaders(send),
        body: body.length === 0 ? null : body,
        signal,
        responseHeaders: "raw",
      });
      this.giveBackAfter(address, connection, response.body);
      const headers = response.headers as unknown as readonly string[];
      const answer = this.codec.readResponseHead(send, response.statusCode, headers);
      const isBroken = () => connection.isBroken;
      return E.right({
        head: answer,
        body: response.body,
        isFramed: hasFraming(response.statusCode, headers),
        isBroken,
      });
    } catch (error) {
      this.discard(address, connection);
      return E.left(createFailure(error));
    }
  }

  async call(
    address: string,
    call: EndpointCall,
    timeoutMs: number,
  ): Promise<E.Either<SendFailure, CallResponse>> {
    const connection = this.take(address, Number.POSITIVE_INFINITY);
    if (connection === undefined) return E.left(new SendFailure("no connection", false, false));
    try {
      const response = await connection.client.request({
        method: call.method,
        path: call.path,
        headers: [...call.headers],
        body: call.body ?? null,
        signal: AbortSignal.timeout(timeoutMs),
      });
      const body = Buffer.from(await response.body.arrayBuffer());
      this.giveBack(address, connection);
      return E.right({ status: response.statusCode, body });
    } catch (error) {
      this.discard(address, connection);
      return E.left(createFailure(error));
    }
  }

  reset(address: string): void {
    const lane = this.lanes.get(address);
    if (lane === undefined) return;
    for (const connection of lane.idle.splice(0)) connection.close();
  }

  close(): Promise<void> {
    clearInterval(this.timer);
    for (const { idle, busy } of this.lanes.values()) {
      for (const connection of [...idle, ...busy]) connection.close();
    }
    this.lanes.clear();
    return Promise.resolve();
  }

  /** The connection that was used last is the likeliest to be alive. */
  private take(address: string, most: number): Connection | undefined {
    const lane = this.findLane(address);
    for (;;) {
      const connection = lane.idle.pop();
      if (connection === undefined) break;
      if (connection.isAlive) {
        lane.busy.add(connection);
        return connection;
      }
      connection.close();
    }
    if (lane.busy.size >= most) return undefined;
    const connection = new Connection(address);
    lane.busy.add(connection);
    return connection;
  }

  private giveBackAfter(address: string, connection: Connection, body: Readable): void {
    // Whoever reads the body handles its errors; one that is dropped unread has no reader.
    body.on("error", () => undefined);
    body.once("end", () => {
      this.giveBack(address, connection);
    });
    body.once("close", () => {
      if (!body.readableEnded) this.discard(address, connection);
    });
  }

  private giveBack(address: string, connection: Connection): void {
    const lane = this.findLane(address);
    if (!lane.busy.delete(connection)) return;
    if (!connection.isAlive) {
      connection.close();
      return;
    }
    connection.idleSince = this.clock.now();
    lane.idle.push(connection);
  }

  private discard(address: string, connection: Connection): void {
    this.findLane(address).busy.delete(connection);
    connection.close();
  }

  private findLane(address: string): Lane {
    const known = this.lanes.get(address);
    if (known !== undefined) return known;
    const lane: Lane = { idle: [], busy: new Set() };
    this.lanes.set(address, lane);
    return lane;
  }

  private sweep(): void {
    for (const [address, { idle, busy }] of this.lanes) {
      const alive = idle.filter((connection) => connection.isAlive);
      for (const connection of idle) if (!connection.isAlive) connection.close();
      idle.splice(0, idle.length, ...alive);
      if (idle.length === 0 && busy.size === 0) this.lanes.delete(address);
    }
  }
}

/** A length, chunks, or a status that has no body. */
function hasFraming(status: number, headers: readonly string[]): boolean {
  if (status === NO_CONTENT || status === NOT_MODIFIED) return true;
  return headers.some((text, index) => index % 2 === 0 && FRAMING_HEADERS.has(text.toLowerCase()));
}

function createFailure(error: unknown): SendFailure {
  const { code, message } = error as { code?: string; message?: string };
  const text = [code, message].filter((part) => part !== undefined && part !== "").join(" ");
  return new SendFailure(text, !isConnectError(error), isConnectionRefused(error));
}
