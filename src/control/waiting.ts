/**
 * Creates the waiting requests of a pool scheduler from what instances request.
 */
import { computeRemainingMs, type Moment } from "../core/clock";
import { Precedence } from "../core/queues/fairqueue";
import { DEFAULT_PLACEMENT_COSTS } from "../core/placement";
import type { Want } from "../peer/gen/peer";
import type { WaitingRequest } from "./grants";

/**
 * Time to the first token beside prefill and transfer: another prefill ahead, a decode step, the
 * calls.
 */
const START_MARGIN_MS = 150;
/** Requests whose caller has already received tokens: before all of configured classes. */
const RESUMED_FLOW = {
  priorityClass: "(resumed)",
  weight: 1e6,
  precedence: Precedence.resumed,
} as const;
/**
 * A request whose engine crashed before its first token is the most likely cause of the crash. It
 * goes before all others, so that the cause is known as soon as possible.
 */
const SUSPECT_FLOW = {
  priorityClass: "(suspect)",
  weight: 1e9,
  precedence: Precedence.suspect,
} as const;

/**
 * Creates a waiting request. It may wait for the time that its targets leave after the estimated
 * time of the work itself.
 *
 * @param weight - the weight of the request's class
 * @example
 * queue.push(createWaitingRequest(session, want, weight, clock.now()));
 */
export function createWaitingRequest(
  session: string,
  want: Want,
  weight: number,
  now: Moment,
): WaitingRequest {
  const workMs =
    want.promptTokens / DEFAULT_PLACEMENT_COSTS.prefillTokensPerMs +
    want.promptTokens / DEFAULT_PLACEMENT_COSTS.transferTokensPerMs +
    START_MARGIN_MS;
  return {
    id: want.id,
    workspace: want.workspace,
    ...chooseFlow(want, weight),
    cost: want.promptTokens + want.outputTokens,
    targetDeadline: now + computeRemainingMs(want.firstTokenMs, workMs),
    deadline: now + computeRemainingMs(want.patienceMs, workMs),
    want,
    arrivedAt: now,
    session,
  };
}

function chooseFlow(
  want: Want,
  weight: number,
): Pick<WaitingRequest, "priorityClass" | "weight" | "precedence"> {
  if (want.resumed) return RESUMED_FLOW;
  if (want.crashes.length > 0) return SUSPECT_FLOW;
  return { priorityClass: want.class, weight, precedence: Precedence.usual };
}
