/**
 * How connections of callers end: with a response, without one, or amid one.
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import * as E from "fp-ts/Either";
import { ExecutionStatus, Reason, Refusal } from "../../core/outcome";

/**
 * Cuts a response whose head was sent, so that it can't look whole.
 *
 * @example
 * cutResponse(response); // its caller gets a reset
 */
export function cutResponse(response: ServerResponse): void {
  response.socket?.resetAndDestroy();
  response.destroy();
}

/**
 * Ends an overdue request: cuts a stream that has begun.
 *
 * @returns the refusal to be sent; undefined if none can be
 * @example
 * endOverdue(response); // left: 504
 */
export function endOverdue(response: ServerResponse): E.Either<Refusal, never> | undefined {
  if (response.writableEnded) return undefined;
  if (response.headersSent) {
    cutResponse(response);
    return undefined;
  }
  const message = "the request was not answered in time";
  return E.left(new Refusal(504, Reason.deadline, ExecutionStatus.unknown, message));
}

/**
 * Closes a kept connection at its idle timeout, unless its next request came in time: after the
 * process stood still, the timeout fires before the socket is read.
 *
 * @example
 * server.on("timeout", closeUnlessRead);
 */
export function closeUnlessRead(socket: Socket): void {
  const { bytesRead } = socket;
  setImmediate(() => {
    if (socket.bytesRead === bytesRead) socket.destroy();
  });
}

/**
 * Closes a connection once its response has been sent.
 *
 * @example
 * endAfter(request.socket, response);
 */
export function endAfter(socket: Socket, response: ServerResponse): void {
  if (response.writableFinished) socket.end();
  else response.once("finish", () => socket.end());
}
