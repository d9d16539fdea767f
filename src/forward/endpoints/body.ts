/**
 * Reads the bodies of answers, and bounds those that are small by nature or that nobody needs.
 */
import type { Readable } from "node:stream";
import * as E from "fp-ts/Either";
import type { OpenResponse } from "./answer";

/**
 * Maximum size of a body that is small by nature, with its framing, in bytes: an answer to a call
 * of the router or to a prefill, or one that says that nothing was run.
 */
export const MAX_SMALL_BODY_BYTES = 64 * 1024;
/** How long the rest of a body that nobody needs may take, in milliseconds. */
const DISCARD_TIMEOUT_MS = 250;

/**
 * Reads a body that nobody needs, so that its connection can be used again; a body that is long or
 * slow is closed with its connection.
 *
 * @example
 * discardBody(response.body);
 */
export function discardBody(body: Readable): void {
  let bytesRead = 0;
  const timer = setTimeout(() => body.destroy(), DISCARD_TIMEOUT_MS);
  body.once("close", () => {
    clearTimeout(timer);
  });
  body.on("data", (bytes: Buffer) => {
    bytesRead += bytes.length;
    if (bytesRead > MAX_SMALL_BODY_BYTES) body.destroy();
  });
}

/** No room was left for what an endpoint answers. */
export class NoRoomError extends Error {
  override readonly name = "NoRoomError";
}

/**
 * Reads a body to its end, as long as there is room for it.
 *
 * @returns the bytes, or the error that ended the body early
 */
async function readBody({
  body,
  lease,
  length = 0,
}: OpenResponse): Promise<E.Either<Error, Buffer>> {
  const chunks: Buffer[] = [];
  let bytesRead = 0;
  try {
    if (!lease.tryResize(length, true)) {
      body.destroy();
      return E.left(createNoRoomError(length));
    }
    for await (const chunk of body as AsyncIterable<Buffer>) {
      bytesRead += chunk.length;
      // Leaving the loop destroys the body, and so its connection.
      if (!lease.tryResize(Math.max(bytesRead, length), bytesRead <= length))
        return E.left(createNoRoomError(bytesRead));
      chunks.push(chunk);
    }
    return E.right(Buffer.concat(chunks));
  } catch (error) {
    return E.left(error as Error);
  } finally {
    lease.close();
  }
}

function createNoRoomError(bytes: number): NoRoomError {
  return new NoRoomError(`no room is left for an answer of ${bytes} bytes and more`);
}

/**
 * Reads the body of a response to its end; fails if the connection failed, even if the body seems
 * to have ended, or if a copy of the response has filled it up.
 */
export async function readWholeBody(response: OpenResponse): Promise<E.Either<Error, Buffer>> {
  const body = await readBody(response);
  if (response.isBroken()) return E.left(new Error("the connection broke within the answer"));
  if (E.isLeft(body)) return body;
  const isCopied = response.containsCopy(body.right) || (await response.isFilledUp(body.right));
  return isCopied ? E.left(new Error("a copy of the answer came within it")) : body;
}
