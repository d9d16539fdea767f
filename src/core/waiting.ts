/**
 * Accepts the connections that wait at a listener which is to be closed: the system resets those that nobody accepted,
 * and a caller whose request has come that far gets neither an answer nor a refusal. Node.js accepts one connection a
 * turn of its loop, so that many wait after it stood still, and none does after a turn without one.
 */
import type { Server } from "node:net";
import type { Clock, Moment } from "./clock";

/** What was accepted before the listener is closed. */
export interface Drained {
  readonly accepted: number;
  /** False if connections may still wait. */
  readonly isEmpty: boolean;
}

/**
 * Accepts what waits at a listener, until none does or a deadline has passed.
 *
 * @example
 * await acceptWaiting(server, clock, clock.now() + 1000);
 * server.close();
 */
export async function acceptWaiting(
  server: Pick<Server, "on" | "off">,
  clock: Clock,
  deadline: Moment,
): Promise<Drained> {
  let accepted = 0;
  const count = () => {
    accepted += 1;
  };
  server.on("connection", count);
  try {
    for (;;) {
      const before = accepted;
      await finishTurn();
      if (accepted === before) return { accepted, isEmpty: true };
      if (clock.now() >= deadline) return { accepted, isEmpty: false };
    }
  } finally {
    server.off("connection", count);
  }
}

/** Resolves once the sockets that are ready were read in another turn of the loop. */
function finishTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
