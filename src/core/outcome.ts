/**
 * The outcome of a request: answered, certainly not run, or unknown.
 */

/** Whether an endpoint has run, or may have run, the request. */
export const ExecutionStatus = {
  notRun: "not run",
  unknown: "unknown",
  answered: "answered",
} as const;
export type ExecutionStatus = (typeof ExecutionStatus)[keyof typeof ExecutionStatus];

/** Machine-readable reasons of a final response that the router sends in place of the endpoint's. */
export const Reason = {
  badRequest: "bad_request",
  keyMissing: "key_missing",
  keyUnknown: "key_unknown",
  keyWithdrawn: "key_withdrawn",
  keyUnverified: "key_unverified",
  keyInRequest: "key_in_request",
  unknownRoute: "unknown_route",
  unknownModel: "unknown_model",
  unknownClass: "unknown_class",
  bodyTooLarge: "body_too_large",
  largerThanBurst: "larger_than_burst",
  overRate: "over_rate",
  overloaded: "overloaded",
  noEndpoint: "no_endpoint",
  poison: "request_crashes_endpoints",
  idempotencyKeyNeeded: "idempotency_key_needed",
  claimUnavailable: "claim_unavailable",
  claimedElsewhere: "in_progress_elsewhere",
  claimReused: "idempotency_key_reused",
  outcomeUnknown: "outcome_unknown",
  notReady: "not_ready",
  unknownStream: "unknown_stream",
  interrupted: "interrupted",
  cancelled: "cancelled",
  deadline: "deadline",
} as const;
export type Reason = (typeof Reason)[keyof typeof Reason];

/** A final response that the router sends in place of the endpoint's. */
export class Refusal extends Error {
  override readonly name = "Refusal";

  constructor(
    /** HTTP status code. */
    readonly status: number,
    readonly reason: Reason,
    readonly ran: ExecutionStatus,
    message: string,
    /**
     * Time after which the caller may retry, in milliseconds; absent where a retry is of no use.
     */
    readonly retryAfterMs?: number,
  ) {
    super(message);
  }
}

/**
 * Creates the refusal of a request that certainly no endpoint has run.
 *
 * @example
 * createNotRunRefusal(429, Reason.overRate, "the workspace is over its rate", 800);
 */
export function createNotRunRefusal(
  status: number,
  reason: Reason,
  message: string,
  retryAfterMs?: number,
): Refusal {
  return new Refusal(status, reason, ExecutionStatus.notRun, message, retryAfterMs);
}

/**
 * Creates the refusal of a request that is known to crash the endpoints that run it, itself or by a
 * part of its prompt. It has no retry delay, as a retry would be refused as well.
 *
 * @example
 * createPoisonRefusal().status; // 503
 */
export function createPoisonRefusal(): Refusal {
  const message = "the request crashes the endpoints that run it";
  return createNotRunRefusal(503, Reason.poison, message);
}

/**
 * Creates the final response, a 502, for a request that an endpoint may or may not have run.
 *
 * @example
 * createUnknownRefusal(Reason.outcomeUnknown, "the connection broke after the request was sent");
 */
export function createUnknownRefusal(
  reason: Reason,
  message: string,
  retryAfterMs?: number,
): Refusal {
  return new Refusal(502, reason, ExecutionStatus.unknown, message, retryAfterMs);
}

/** Creates the final result of a request whose caller has left. */
export function createCancelledRefusal(): Refusal {
  return new Refusal(499, Reason.cancelled, ExecutionStatus.unknown, "the caller has left");
}
