/**
 * The error of a connection that ended without proof that the answer on it is whole.
 */
import { constants } from "node:os";
import type { Duplex } from "node:stream";
import type { Dispatcher } from "undici";
import { BodyEnd } from "../core/bodyend";
import { hasFraming } from "./framing";

/** What was known of a connection that was cut, for the log. */
export interface CutFacts {
  readonly end: BodyEnd;
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
    super(cause?.message ?? MESSAGES[facts.end]);
  }
}

/** An answer that was cut: what is known of it, and of its connection. */
export type Cut<F> = F & CutFacts & { readonly error: string };

/**
 * Describes an answer whose body ended with an error; undefined unless its connection was cut.
 *
 * @param facts - what is known of the answer
 * @example
 * body.once("error", (error) => report(describeCut({ status: 200 }, error)));
 */
export function describeCut<F>(facts: F, error: unknown): Cut<F> | undefined {
  if (!(error instanceof ConnectionCutError)) return undefined;
  return { ...facts, ...error.facts, error: error.message };
}

/** What is known of an answer whose head has arrived. */
export interface AnswerFacts {
  /** Whose answer it is, as a URL without a path. */
  readonly origin: string;
  readonly status: number;
  /** True if the answer has a length, chunks or no body; one without ends with its connection. */
  readonly isFramed: boolean;
}

/** Receives the answers that were cut. */
export type CutListener = (cut: Cut<AnswerFacts>) => void;

/**
 * Reports an answer to a listener if its connection is cut before its end.
 *
 * @example
 * reportCut("http://127.0.0.1:80", await client.request(options), onCut);
 */
export function reportCut(
  origin: string,
  { statusCode: status, headers, body }: Dispatcher.ResponseData,
  onCut: CutListener | undefined,
): void {
  const facts = { origin, status, isFramed: hasFraming(status, Object.keys(headers)) };
  body.once("error", (error: Error) => {
    const cut = describeCut(facts, error);
    if (cut !== undefined) onCut?.(cut);
  });
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
