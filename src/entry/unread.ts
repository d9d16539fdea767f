/**
 * Ends connections whose caller takes nothing of a response that was written to its end: such a caller
 * would hold its connection and the bytes for good, as its system still answers for it.
 */
import type { BadConnections, Exchange } from "./badconnection";

/**
 * How many times its timeout a caller may take nothing; up to twice as many, as Node.js counts what
 * was taken right after the write only at the end of the first. The system takes bytes in steps of up
 * to a third of its buffer, so that a slow caller seems to take nothing meanwhile.
 */
const UNREAD_TIMEOUTS = 4;

/**
 * Ends the connection of a response if its rest is not taken.
 *
 * @param exchange - a request whose response was ended
 * @param silenceTimeoutMs - how long its caller may be silent while it sends, in milliseconds
 * @param connections - knows whether another request was read from the connection
 * @example
 * response.end(body);
 * endIfUnread({ request, response }, 10_000, connections);
 */
export function endIfUnread(
  { request, response }: Exchange,
  silenceTimeoutMs: number,
  connections: BadConnections,
): void {
  const { socket } = response;
  if (socket === null || socket.writableLength === 0 || !response.writableEnded) return;
  const onTimeout = () => {
    socket.destroy();
  };
  socket.setTimeout(UNREAD_TIMEOUTS * silenceTimeoutMs);
  socket.once("timeout", onTimeout);
  response.once("finish", () => {
    socket.off("timeout", onTimeout);
    // Otherwise Node.js has set the idle timeout by now.
    if (connections.findLastRequest(socket) !== request) socket.setTimeout(0);
  });
}
