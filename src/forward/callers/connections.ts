/**
 * The connections of callers, and which responses on each are not written out yet: one that was
 * handed over whole may still wait for a slow caller to read.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Moment } from "../../core/clock";

/** How long a new connection may still bring its first request, in milliseconds. */
const FRESH_MS = 200;

interface CallerConnection {
  readonly acceptedAt: Moment;
  /** Responses of which a part is not handed to the operating system yet. */
  readonly open: Set<ServerResponse>;
  /** True once a response on it says that it is the last one. */
  isEnding: boolean;
  /** Number of bytes that had arrived when the last response was written out; undefined before. */
  bytesAtLastEnd: number | undefined;
}

/**
 * Tracks the connections of callers.
 *
 * @example
 * const written = connections.track(request, response);
 * response.end(body);
 * await written; // the caller's machine has the response, or the connection is closed
 */
export class CallerConnections {
  private readonly connections = new Map<Socket, CallerConnection>();

  /** Adds a connection until it is closed. */
  add(socket: Socket, acceptedAt: Moment): void {
    const connection = { acceptedAt, open: new Set<ServerResponse>(), isEnding: false };
    this.connections.set(socket, { ...connection, bytesAtLastEnd: undefined });
    socket.once("close", () => this.connections.delete(socket));
  }

  /** Tracks a response; resolves once it is written out or its connection is closed. */
  track({ socket }: IncomingMessage, response: ServerResponse): Promise<void> {
    const connection = this.connections.get(socket);
    if (connection === undefined) return Promise.resolve();
    connection.open.add(response);
    return new Promise((resolve) => {
      const finish = () => {
        connection.open.delete(response);
        connection.bytesAtLastEnd = socket.bytesRead;
        socket.off("close", finish);
        resolve();
      };
      response.once("close", finish);
      // The response to a request behind another one is told nothing of it.
      socket.once("close", finish);
    });
  }

  /** Records that no response follows on a connection. */
  markEnding(socket: Socket): void {
    const connection = this.connections.get(socket);
    if (connection !== undefined) connection.isEnding = true;
  }

  /** Checks whether a request that is read now could not be answered any more. */
  isEnding(socket: Socket): boolean {
    return !socket.writable || this.connections.get(socket)?.isEnding === true;
  }

  /** Checks whether a connection was accepted so recently that the rest of its first request may be on the way. */
  hasFresh(now: Moment): boolean {
    for (const { acceptedAt, open, bytesAtLastEnd } of this.connections.values()) {
      const isUnread = open.size === 0 && bytesAtLastEnd === undefined;
      if (isUnread && now - acceptedAt < FRESH_MS) return true;
    }
    return false;
  }

  /** Closes the connections on which nothing came after a response that is written out. */
  closeIdle(): void {
    for (const [socket, { open, bytesAtLastEnd }] of this.connections) {
      if (open.size === 0 && bytesAtLastEnd === socket.bytesRead) socket.destroy();
    }
  }

  /** Closes all connections; none of the responses on them looks whole that is not, as all are framed. */
  closeAll(): void {
    for (const socket of this.connections.keys()) socket.destroy();
  }
}
