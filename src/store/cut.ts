/**
 * The error of a connection that ended without proof that the answer on it is whole.
 */
import { constants } from "node:os";
import type { Duplex } from "node:stream";
import { BodyEnd } from "../core/bodyend";

/** What was known of a connection that was cut, for the log. */
export interface CutFacts {
  readonly reason: BodyEnd;
  /** Bytes that arrived on the connection. */
  readonly receivedBytes: number;
  /** Bytes of the request that were written, or were about to be. */
  readonly requestBytes: number;
  /** Those of them that were not taken. */
  readonly untakenBytes: number;
}

const MESSAGES = {
  [BodyEnd.reset]: "the connection was reset, without an error",
  [BodyEnd.untaken]: "the connection ended before the request was taken",
  [BodyEnd.unasserted]: "the connection ended, and the endpoint is not known to have ended it",
  [BodyEnd.whole]: "the connection ended",
} as const satisfies Readonly<Record<BodyEnd, string>>;

/**
 * A connection that was cut. It has undici's own code for a closed socket: undici takes ECONNRESET for
 * the end of a body that has no length.
 */
export class ConnectionCutError extends Error {
  override readonly name = "ConnectionCutError";
  readonly code = "UND_ERR_SOCKET";
  /** As the operating system numbers a reset, which tells a broken connection by it. */
  readonly errno = -constants.errno.ECONNRESET;

  /** @param cause - the error that the operating system reported, if any */
  constructor(
    readonly facts: CutFacts,
    override readonly cause?: Error,
  ) {
    super(cause?.message ?? MESSAGES[facts.reason]);
  }
}

/** Fails a socket once all that came before its cut was read. */
export class LateCut {
  private error: ConnectionCutError | undefined;

  constructor(private readonly socket: Duplex) {}

  /** Has the socket fail, now or after its last read. */
  set(error: ConnectionCutError): void {
    this.error = error;
    this.check();
  }

  /** Called after each read: who reads may put back what it can't take yet, but does so at once. */
  check(): void {
    const { error, socket } = this;
    if (error === undefined || socket.readableLength > 0) return;
    process.nextTick(() => {
      if (socket.readableLength === 0) socket.destroy(error);
    });
  }
}
