/**
 * Serves book streams, on which other instances request grants from the scheduler of this one: a
 * scheduler session for each. A reply at intervals lets the client detect a lost scheduler, and names
 * the requests that were received, so that it does not wait for an answer to one that never was.
 */
import type { Logger } from "../core/log";
import { runTask } from "../core/tasks";
import { BookReply, type BookRequest } from "../peer/gen/peer";
import type { BookServerStream } from "../peer/server";
import type { PoolScheduler } from "./scheduler";

const HEARTBEAT_INTERVAL_MS = 300;

/**
 * Opens a scheduler session on a stream, which is closed with it.
 *
 * @param name - the session's name, unlike that of any other session of the scheduler
 * @example
 * serveBookStream("session-1", stream, scheduler, logger);
 */
export function serveBookStream(
  name: string,
  stream: BookServerStream,
  scheduler: PoolScheduler,
  logger: Logger,
): void {
  let received: string[] = [];
  scheduler.openSession({ name, send: (reply) => stream.write(reply) });
  const heartbeatTimer = setInterval(() => {
    stream.write(BookReply.fromPartial({ received, acknowledges: true }));
    received = [];
  }, HEARTBEAT_INTERVAL_MS);
  const close = () => {
    clearInterval(heartbeatTimer);
    scheduler.closeSession(name);
  };
  stream.on("data", (request: BookRequest) => {
    void runTask("handle a request for engines", logger, () => {
      scheduler.onBookRequest(name, request);
      received.push(...request.wants.map(({ id }) => id));
    });
  });
  stream.on("end", () => {
    close();
    stream.end();
  });
  stream.on("cancelled", close);
  stream.on("error", close);
}
