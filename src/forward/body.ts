/**
 * Bounds for the bodies of answers that are small by nature, or that nobody needs.
 */
import type { Readable } from "node:stream";

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
