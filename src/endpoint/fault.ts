/**
 * Why calls to engines fail, and how responses show it.
 */
import type { JsonResponse } from "../store/http";

/** Why a call to an engine failed. */
export const EngineFault = {
  /** No connection was established: no byte of the call can have reached the engine. */
  unreachable: "unreachable",
  /** The connection was refused: no process listens there, and no byte can have reached one. */
  down: "down",
  /** The engine has no free capacity. */
  full: "full",
  /** The engine is draining and leaves the fleet. */
  draining: "draining",
  /** The engine no longer has the hold or the result of the prefill. */
  lost: "lost",
  /** The connection broke after the call may have been sent. */
  broken: "broken",
  /** The engine sent nothing within the timeout. */
  silent: "silent",
  /** The response belongs to another attempt, or its stream skipped a token. */
  mismatch: "mismatch",
  /** The engine rejected the call, or its response could not be decoded. */
  refused: "refused",
  /** The request was cancelled: the caller disconnected or the deadline passed, for example. */
  cancelled: "cancelled",
} as const;
export type EngineFault = (typeof EngineFault)[keyof typeof EngineFault];

/** A failed call to an engine. */
export class EngineError extends Error {
  override readonly name = "EngineError";

  constructor(
    readonly fault: EngineFault,
    message: string,
  ) {
    super(message);
  }
}

/**
 * Checks whether a response names another attempt; a failure usually names none.
 *
 * @example
 * isOfAnother({ "x-attempt-id": "nizwa-1/5f:1" }, "nizwa-1/5f:2"); // true
 */
export function isOfAnother(headers: JsonResponse["headers"], attempt: string): boolean {
  const named = headers["x-attempt-id"];
  return named !== undefined && named !== attempt;
}

/**
 * Maps the status of an engine's error response to a fault.
 *
 * @example
 * mapStatusToFault(409); // "full"
 */
export function mapStatusToFault(status: number): EngineFault {
  if (status === 409) return EngineFault.full;
  if (status === 503) return EngineFault.draining;
  if (status === 404 || status === 410) return EngineFault.lost;
  return EngineFault.refused;
}
