/**
 * Asks an endpoint which of its processes it is. The list may be older than the process that answers at an address: one
 * that starts again under its id serves before its entry is read here.
 */
import * as E from "fp-ts/Either";
import type { EndpointEntry } from "../../fleet/entries";
import type { ForwardContext } from "./context";
import { createProcessId } from "./probe";

/** How long the answer is waited for, in milliseconds; an engine that stands still has no say in it. */
const CHECK_TIMEOUT_MS = 150;

/** How the process that answers relates to the listed one. */
export const ProcessState = {
  same: "same",
  other: "other",
  /** It answers and does not tell, or its entry does not. */
  untold: "untold",
  /** It does not answer in time. */
  silent: "silent",
} as const;
export type ProcessState = (typeof ProcessState)[keyof typeof ProcessState];

/**
 * Compares the start of a listed process with the one that the endpoint tells.
 *
 * @param listed - zero if the entry has none
 * @param told - undefined if the answer has none
 * @example
 * compareProcess(1700000000000, 1700000009000); // "other"
 */
export function compareProcess(listed: number, told: number | undefined): ProcessState {
  if (listed === 0 || told === undefined) return ProcessState.untold;
  return listed === told ? ProcessState.same : ProcessState.other;
}

/** When a process is asked for, for the log. */
export const CheckMoment = {
  /** Before a run is sent that goes on with a stream. */
  beforeSend: "before send",
  /** Once the head of its answer is there, before its first event is passed on. */
  beforeJoin: "before join",
} as const;
export type CheckMoment = (typeof CheckMoment)[keyof typeof CheckMoment];

/**
 * Asks an endpoint which of its processes it is; a listed one that another has taken the place of counts as gone.
 *
 * @param request - id of the request for which it is asked, for the log
 * @example
 * const state = await checkProcess(context, engine, { request: head.id, moment: CheckMoment.beforeSend });
 */
export async function checkProcess(
  context: ForwardContext,
  endpoint: EndpointEntry,
  { request, moment }: { readonly request: string; readonly moment: CheckMoment },
): Promise<ProcessState> {
  const { clock, directory, logger, meter, listConfirmer } = context;
  const startedAt = clock.now();
  const told = await askForProcess(context, endpoint);
  const state = E.isLeft(told) ? told.left : compareProcess(endpoint.processStartedAt, told.right);
  meter.processChecks.inc({ service: endpoint.service, moment, state });
  if (state === ProcessState.other) directory.markReplaced(endpoint, clock.now());
  const fields = {
    request,
    engine: endpoint.id,
    moment,
    state,
    process: createProcessId(endpoint),
    told: E.isRight(told) ? told.right : undefined,
    listAgeMs: Math.round(listConfirmer.computeAgeMs()),
    tookMs: Math.round(clock.now() - startedAt),
  };
  if (state === ProcessState.same) logger.info("process checked", fields);
  else logger.warn("process checked", fields);
  return state;
}

/** @returns the start of the process that answers, undefined if it tells none; left if nothing can be compared */
async function askForProcess(
  { client, codec }: ForwardContext,
  endpoint: EndpointEntry,
): Promise<E.Either<ProcessState, number | undefined>> {
  const call = codec.createReportCall(endpoint);
  if (call === undefined || endpoint.processStartedAt === 0) return E.left(ProcessState.untold);
  const answer = await client.call(endpoint, call, CHECK_TIMEOUT_MS, 0);
  if (E.isLeft(answer)) return E.left(ProcessState.silent);
  const { status, body } = answer.right;
  if (codec.isMisdirected(status)) return E.left(ProcessState.other);
  return E.right(codec.readProcessStart(status, body));
}
