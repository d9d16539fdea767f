/**
 * What became of a request: answered, certainly not run, or not known.
 */

/** Whether an endpoint may have run the request. */
export const ExecutionStatus = {
  notRun: "not run",
  unknown: "unknown",
  answered: "answered",
} as const;
export type ExecutionStatus = (typeof ExecutionStatus)[keyof typeof ExecutionStatus];

/** The machine-readable reasons of a final answer that is not the endpoint's own. */
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
  interrupted: "interrupted",
  cancelled: "cancelled",
  deadline: "deadline",
} as const;
export type Reason = (typeof Reason)[keyof typeof Reason];

/** A final answer that the router gives in place of an endpoint's. */
export class Refusal extends Error {
  override readonly name = "Refusal";

  constructor(
    /** HTTP status. */
    readonly status: number,
    readonly reason: Reason,
    readonly ran: ExecutionStatus,
    message: string,
    /** When the caller may come back, in milliseconds from now; absent where coming back is no use. */
    readonly retryAfterMs?: number,
  ) {
    super(message);
  }
}

/**
 * Creates a refusal of a request that no endpoint can have run.
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
 * Creates the final answer of a request that an endpoint may or may not have run.
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
