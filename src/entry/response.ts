/**
 * Writes refusals as JSON responses, and names the headers of all responses to callers.
 */
import type { ServerResponse } from "node:http";
import { MS_PER_SECOND } from "../core/clock";
import type { Refusal } from "../core/outcome";

/** Names of the headers of a response to a caller. */
export const ResponseHeader = {
  request: "x-request-id",
  /** "answered", "not run" or "unknown". */
  ran: "x-gorsefold-outcome",
  /** "true" where the response is the recorded response of an earlier call. */
  replayed: "x-gorsefold-replayed",
} as const;

/**
 * Creates the body of a refusal.
 *
 * @example
 * createRefusalBody(refusal, "nizwa-1/5f:1");
 */
export function createRefusalBody(refusal: Refusal, requestId: string): string {
  return JSON.stringify({
    error: {
      type: refusal.reason,
      message: refusal.message,
      outcome: refusal.ran,
      request: requestId,
      ...(refusal.retryAfterMs === undefined ? {} : { retry_after_ms: refusal.retryAfterMs }),
    },
  });
}

/**
 * Writes a refusal as the response; does nothing where the response head was already sent or the
 * connection is closed.
 *
 * @param isClosing - whether the connection closes after the response
 * @example
 * writeRefusal(response, refusal, "nizwa-1/5f:1", false);
 */
export function writeRefusal(
  response: ServerResponse,
  refusal: Refusal,
  requestId: string,
  isClosing: boolean,
): void {
  if (response.headersSent || response.destroyed) return;
  const body = createRefusalBody(refusal, requestId);
  response.writeHead(refusal.status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
    [ResponseHeader.request]: requestId,
    [ResponseHeader.ran]: refusal.ran,
    ...(refusal.retryAfterMs === undefined
      ? {}
      : { "retry-after": String(Math.ceil(refusal.retryAfterMs / MS_PER_SECOND)) }),
    ...(isClosing ? { connection: "close" } : {}),
  });
  response.end(body);
}
