/**
 * One kept-alive connection to an endpoint. Each has an undici client of its own, so that it is
 * known which socket brought a response and how that socket ended. Where undici opens another socket
 * for a request, as the one before ended, nothing that is known of that one holds any more.
 */
import { once } from "node:events";
import type { Socket } from "node:net";
import * as E from "fp-ts/Either";
import { type buildConnector, Client } from "undici";
import { type Clock, type Moment, pause } from "../../core/clock";
import { ConnectionEnder } from "../../core/connectionender";
import { ByteLimit } from "../../store/bytelimit";
import {
  type DialOptions,
  type DialledSocket,
  type EndpointDialer,
  type EndpointSocket,
  LEAVING_EVENT,
} from "../tunnels";
import type { EndpointTarget } from "../limits";

/**
 * How long an idle connection is kept if the endpoint sends no keep-alive timeout, in milliseconds.
 */
const DEFAULT_IDLE_TIMEOUT_MS = 400;
/**
 * Maximum time that an idle connection is kept, in milliseconds: an old one may be dead without
 * notice.
 */
const MAX_IDLE_TIMEOUT_MS = 4000;
/**
 * How much earlier than the endpoint's keep-alive timeout a connection is closed, in milliseconds.
 */
const IDLE_MARGIN_MS = 700;
/**
 * Maximum number of requests that one connection carries; bounds the ids that it remembers.
 */
export const MAX_REQUESTS = 200;
/** How soon bytes that belong to those of an answer follow them, in milliseconds. */
const STRAY_BYTES_TIMEOUT_MS = 20;
/** What undici says of bytes that come while no request waits for an answer. */
const STRAY_BYTES_MESSAGE = "bad response";
/** What the error codes of undici's parser begin with. */
const PARSER_CODE_PREFIX = "HPE_";
/** Maximum size of a response, in bytes. */
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

/** Maximum size of a response's head with the interim responses before it, in bytes. */
export const MAX_HEAD_BYTES = 64 * 1024;
/** Maximum size of what follows the head of a response, with its framing, in bytes. */
export const MAX_FRAMED_BYTES = 2 * MAX_RESPONSE_BYTES;

/** A connection that carries one request at a time. */
export class Connection {
  readonly client: Client;
  /** When it was last returned to its pool. */
  idleSince: Moment = 0;
  /** When its socket was open. */
  openedAt: Moment = 0;
  private readonly requestIds = new Set<string>();
  private socket: EndpointSocket | undefined;
  private openedBy: string | undefined;
  private byteLimit: ByteLimit | undefined;
  private hasError = false;
  private hasStrayBytes = false;
  /** Called once its peer is told to stop. */
  onLeaving: () => void = () => undefined;

  /** @param options - those of its first request; each request brings its own */
  constructor(
    target: EndpointTarget,
    dialer: EndpointDialer,
    private options: DialOptions,
    private readonly clock: Clock,
  ) {
    this.client = new Client(`http://${target.address}`, {
      connect: (_, callback) => {
        dialer
          .dial(target, this.options)
          .then((dialled) => {
            if (E.isLeft(dialled)) callback(dialled.left, null);
            else this.handOver(dialled.right, callback);
          })
          .catch((error: unknown) => {
            callback(error as Error, null);
          });
      },
      pipelining: 1,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: MAX_IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: MAX_RESPONSE_BYTES,
    });
  }

  /** True if the socket failed, otherwise than by what undici does with one that it needs no more. */
  get isBroken(): boolean {
    return this.hasError;
  }

  /** True while the socket is connected and has not failed, so that a request can be sent on it. */
  get isAlive(): boolean {
    const { socket } = this;
    if (socket === undefined || socket.destroyed || socket.isEnding === true) return false;
    return socket.writable && !this.hasError;
  }

  /** The peer that opened it; undefined for a direct one. */
  get peer(): string | undefined {
    return this.openedBy;
  }

  /** Who ended it; nobody while it is open or where it broke. */
  get endedBy(): ConnectionEnder {
    return this.socket?.endedBy ?? ConnectionEnder.nobody;
  }

  /** True if another request may be sent on it. */
  get isReusable(): boolean {
    const isLeaving = this.socket?.isLeaving === true;
    return this.isAlive && !isLeaving && this.requestIds.size < MAX_REQUESTS;
  }

  /** True if it has carried no request before the present one, whose answer could arrive late. */
  get isFirstExchange(): boolean {
    return this.requestIds.size <= 1;
  }

  /** Checks whether it has carried a request, whose answer could then arrive a second time. */
  hasCarried(requestId: string): boolean {
    return this.requestIds.has(requestId);
  }

  /**
   * Records that a request is about to be sent on it.
   *
   * @param mayUsePeer - checks whether a peer may open the connection for it; all may if undefined
   */
  recordRequest(requestId: string, mayUsePeer: DialOptions["mayUsePeer"]): void {
    this.options = { ...this.options, mayUsePeer };
    this.requestIds.delete(requestId);
    this.requestIds.add(requestId);
  }

  /** Sets how many bytes may arrive from now on; with more, the connection is closed. */
  limitBytes(maxBytes: number): void {
    this.byteLimit?.reset(maxBytes);
  }

  /**
   * Returns true if bytes came behind an answer, or come within moments, that are no answer to a
   * request that waits.
   */
  async waitForStrayBytes(): Promise<boolean> {
    const { socket } = this;
    if (socket !== undefined && !socket.closed && !this.hasStrayBytes) {
      await Promise.race([once(socket, "close"), pause(STRAY_BYTES_TIMEOUT_MS)]).catch(
        () => undefined,
      );
    }
    return this.hasStrayBytes;
  }

  /** Closes the connection, also with a request in flight. */
  close(): void {
    void this.client.destroy().catch(() => undefined);
  }

  private handOver({ socket, peer }: DialledSocket, callback: buildConnector.Callback): void {
    this.openedBy = peer;
    socket.checkAnswers?.();
    this.trackSocket(socket);
    callback(null, socket as Socket);
  }

  private trackSocket(socket: EndpointSocket): void {
    this.socket = socket;
    this.openedAt = this.clock.now();
    this.resetToPresent();
    this.byteLimit = new ByteLimit(socket, MAX_HEAD_BYTES);
    socket.once(LEAVING_EVENT, () => {
      if (this.socket === socket) this.onLeaving();
    });
    socket.prependOnceListener("error", (error: NodeJS.ErrnoException) => {
      if (this.socket !== socket) return;
      // undici destroys sockets it no longer needs with errors of its own, which have no errno.
      if (error.errno !== undefined) this.hasError = true;
      if (isStrayBytesError(error)) this.hasStrayBytes = true;
    });
  }

  /** Forgets what is known of an earlier socket, with all requests but the present one. */
  private resetToPresent(): void {
    this.hasError = false;
    this.hasStrayBytes = false;
    const present = [...this.requestIds].at(-1);
    this.requestIds.clear();
    if (present !== undefined) this.requestIds.add(present);
  }
}

function isStrayBytesError({ code, message }: NodeJS.ErrnoException): boolean {
  return message === STRAY_BYTES_MESSAGE || (code?.startsWith(PARSER_CODE_PREFIX) ?? false);
}
