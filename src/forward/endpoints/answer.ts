/**
 * An answer of an endpoint whose head has arrived and whose body is still to be read.
 */
import type { Readable } from "node:stream";
import type { Moment } from "../../core/clock";
import type { ByteLease } from "../../core/bytebudget";
import type { ConnectionEnder } from "../../core/connectionender";
import { hasFraming } from "../../store/framing";
import { type ResponseHead, Verdict } from "../requests";
import type { Connection } from "./connection";
import { containsOwnHead, isCutInHead } from "./copy";
import type { ConnectionPool } from "./pool";

const LENGTH_HEADER = "content-length";

/** A response whose body is still to be read. */
export interface OpenResponse {
  readonly head: ResponseHead;
  readonly body: Readable;
  /** True if the response has a length, chunks or no body; one without ends with its connection. */
  readonly isFramed: boolean;
  /** When its connection was open. */
  readonly openedAt: Moment;
  /** The peer over which it came; undefined for a direct connection. */
  readonly peer: string | undefined;
  /** Returns who has ended its connection. */
  readonly findEnder: () => ConnectionEnder;
  /**
   * Returns true if the connection failed that alone delimits the body, so that one that seems to have
   * ended is not whole.
   */
  readonly isBroken: () => boolean;
  /** Returns true if bytes of the body contain the head of a copy of this or an earlier response. */
  readonly containsCopy: (bytes: Buffer) => boolean;
  /** Returns true if the end of a body is the beginning of a copy, whose rest came behind it. */
  readonly isFilledUp: (body: Buffer) => Promise<boolean>;
  /** Length of the body in bytes; undefined if the head doesn't tell it. */
  readonly length: number | undefined;
  /** Counts what is held of the body while it is collected. */
  readonly lease: ByteLease;
}

/** What an open response is created from. */
export interface ResponseParts {
  readonly head: ResponseHead;
  /** Names and values, alternating, as they were received. */
  readonly headers: readonly string[];
  readonly body: Readable;
  readonly connection: Connection;
  /** Checks whether the headers of a head within the body are those of a copy. */
  readonly isCopy: (headers: readonly string[]) => boolean;
  readonly lease: ByteLease;
}

/**
 * Creates the response to a request from its head.
 *
 * @example
 * const response = createOpenResponse({ head, headers, body, connection, isCopy, lease });
 */
export function createOpenResponse(parts: ResponseParts): OpenResponse {
  const { head, headers, body, connection, isCopy, lease } = parts;
  const isFramed = isFramedAnswer(head.status, headers);
  return {
    lease,
    length: readLength(headers),
    head,
    body,
    isFramed,
    openedAt: connection.openedAt,
    peer: connection.peer,
    findEnder: () => connection.endedBy,
    isBroken: () => !isFramed && connection.isBroken,
    containsCopy: (bytes) => containsOwnHead(bytes, isCopy),
    isFilledUp: async (whole) => isCutInHead(whole) && (await connection.waitForStrayBytes()),
  };
}

/**
 * Returns a connection to its pool once the body was read to its end, else closes it.
 *
 * @example
 * releaseAfter(pool, connection, response.body);
 */
export function releaseAfter(pool: ConnectionPool, connection: Connection, body: Readable): void {
  // The reader of the body handles its errors; this listener keeps an error of a body that is not
  // read from being uncaught.
  body.on("error", () => undefined);
  body.once("end", () => {
    pool.release(connection);
  });
  body.once("close", () => {
    if (!body.readableEnded) pool.discard(connection);
  });
}

/**
 * Checks that an answer is that of the process that the request was sent to.
 *
 * @example
 * isFromEndpoint({ verdict: Verdict.misdirected, status: 421, headers: [], load: undefined }); // false
 */
export function isFromEndpoint({ verdict }: ResponseHead): boolean {
  return verdict === Verdict.answered || verdict === Verdict.notRun;
}

function readLength(headers: readonly string[]): number | undefined {
  const at = headers.findIndex(
    (text, index) => index % 2 === 0 && text.toLowerCase() === LENGTH_HEADER,
  );
  return at < 0 ? undefined : Number(headers[at + 1]);
}

/**
 * Checks whether an answer delimits its body by itself.
 *
 * @param headers - names and values, alternating
 * @example
 * isFramedAnswer(200, ["content-length", "7"]); // true
 */
export function isFramedAnswer(status: number, headers: readonly string[]): boolean {
  const fields = headers.flatMap((name, index) =>
    index % 2 === 0 ? { name, value: headers[index + 1] ?? "" } : [],
  );
  return hasFraming(status, fields);
}
