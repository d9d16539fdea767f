/**
 * Decides on sends as the owner of an endpoint's limit, for this instance and for its peers alike.
 */
import type { Moment } from "../../core/clock";
import type { LimitAccounts, PermitDecision } from "./accounts";
import type { EndpointProcess } from "./limits";
import type { PaceAccounts, SendOutcomes } from "./paceaccounts";
import type { SendLimit } from "./sources";

/** The accounts of the limits that an instance owns. */
export interface OwnerAccounts {
  readonly accounts: LimitAccounts;
  /** Absent if no endpoint is limited in its pace. */
  readonly paceAccounts?: PaceAccounts | undefined;
}

/** What the owner decides on. */
export interface DecisionInput {
  readonly process: EndpointProcess;
  readonly limit: SendLimit;
  readonly count: number;
  /** How earlier sends of the asker ended. */
  readonly outcomes: SendOutcomes | undefined;
}

/** A decision of an owner. */
export interface OwnerDecision extends PermitDecision {
  /** True if the endpoint is no longer limited in its pace. */
  readonly isPaceOver: boolean;
}

/**
 * Decides on a number of sends: all limits of the endpoint must grant them.
 *
 * @example
 * decidePermit({ accounts }, { process, limit, count: 1, outcomes: undefined }, clock.now());
 */
export function decidePermit(
  { accounts, paceAccounts }: OwnerAccounts,
  { process, limit, count, outcomes }: DecisionInput,
  now: Moment,
): OwnerDecision {
  const { perSecond, cold, pacedSince } = limit;
  if (outcomes !== undefined) paceAccounts?.report(process, outcomes, now);
  const pace =
    pacedSince === undefined ? undefined : paceAccounts?.grant(process, pacedSince, count, now);
  const isPaceOver = pacedSince !== undefined && (pace?.isOver ?? true);
  if (pace !== undefined && !pace.isGranted) return { ...pace, isPaceOver };
  if (perSecond === undefined || count === 0) {
    return { isGranted: true, retryAfterMs: 0, isPaceOver };
  }
  const decision = accounts.grant(process.endpoint, perSecond, count, now, cold?.burst);
  const isTakenBack = !decision.isGranted && pace !== undefined && !pace.isOver;
  if (isTakenBack) paceAccounts?.cancel(process, count);
  return { ...decision, isPaceOver };
}
