/**
 * How connections of callers end: with a response, without one, or amid one.
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

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
