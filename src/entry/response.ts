/**
 * Final answers in the usual JSON form.
 */
import type { ServerResponse } from "node:http";
import type { Refusal } from "../core/outcome";

/** Names of the headers that an answer carries. */
export const ResponseHeader = {
  request: "x-request-id",
  /** "answered", "not run" or "unknown". */
  ran: "x-gorsefold-outcome",
  /** "true" where the recorded answer of an earlier call is given. */
  replayed: "x-gorsefold-replayed",
} as const;

const MS_PER_SECOND = 1000;

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
 * Answers with a refusal, at once.
 *
 * @param isClosing - whether the connection ends with the answer
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
  response.writeHead(refusal.status, {
    "content-type": "application/json",
    [ResponseHeader.request]: requestId,
    [ResponseHeader.ran]: refusal.ran,
    ...(refusal.retryAfterMs === undefined
      ? {}
      : { "retry-after": String(Math.ceil(refusal.retryAfterMs / MS_PER_SECOND)) }),
    ...(isClosing ? { connection: "close" } : {}),
  });
  response.end(createRefusalBody(refusal, requestId));
}
