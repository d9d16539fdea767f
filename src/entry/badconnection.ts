/**
 * Answers connections of callers whose bytes are no valid request, or came too slowly, in their
 * turn: requests that were read before still get their own answers, and no other.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** A request of a caller, and its response. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** The answer to bytes that are no valid request. */
export interface BadRequestAnswer {
  readonly status: number;
  readonly reason: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** Keeps the last exchange of each connection, and answers connections that fail. */
export class BadConnections {
  private readonly lastExchanges = new WeakMap<Socket, Exchange>();
  private readonly endingSockets = new WeakSet<Socket>();
  private readonly answeredSockets = new WeakSet<Socket>();

  /** Records a request when its head has been read. */
  record(request: IncomingMessage, response: ServerResponse): void {
    this.lastExchanges.set(request.socket, { request, response });
  }

  /** Finds the last request whose head was read on a connection. */
  findLastRequest(socket: Socket): IncomingMessage | undefined {
    return this.lastExchanges.get(socket)?.request;
  }

  /**
   * Checks whether a connection was answered, so that a request whose rest crossed the answer must
   * not run.
   */
  wasAnswered(socket: Socket): boolean {
    return this.answeredSockets.has(socket);
  }

  /**
   * Answers a connection, and closes it.
   *
   * @example
   * const answer = { status: 400, reason: "Bad Request", headers: {}, body: "" };
   * server.on("clientError", (_error, socket) => connections.answer(socket as Socket, answer));
   */
  answer(socket: Socket, answer: BadRequestAnswer): void {
    this.answeredSockets.add(socket);
    const last = this.lastExchanges.get(socket);
    if (last === undefined || last.response.writableFinished) {
      socket.end(formatAnswer(answer));
      return;
    }
    // Responses go out in order, so the last one is the last to finish.
    this.endAfter(socket, last.response);
    const isOfBody = !last.request.complete;
    if (isOfBody && !last.response.headersSent) writeAnswer(last.response, answer);
  }

  private endAfter(socket: Socket, response: ServerResponse): void {
    if (this.endingSockets.has(socket)) return;
    this.endingSockets.add(socket);
    response.once("finish", () => socket.end());
  }
}

function writeAnswer(response: ServerResponse, { status, headers, body }: BadRequestAnswer): void {
  const length = Buffer.byteLength(body);
  response.sendDate = false;
  response.writeHead(status, { ...headers, "content-length": length, connection: "close" });
  response.end(body);
}

function formatAnswer({ status, reason, headers, body }: BadRequestAnswer): string {
  const lines = Object.entries({
    ...headers,
    "content-length": String(Buffer.byteLength(body)),
    connection: "close",
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${status} ${reason}\r\n${lines.join("")}\r\n${body}`;
}
