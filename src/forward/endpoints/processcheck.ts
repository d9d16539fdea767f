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

/** Answers with this status or a higher one don't tell. */
const MIN_FAILURE_STATUS = 400;

/** How the process that answers relates to the listed one. */
export const ProcessState = {
  same: "same",
  other: "other",
  /** It answers and does not tell, or its entry does not. */
  untold: "untold",
  /** It does not answer in time, or answers with a failure. */
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

/**
 * Checks whether an engine is listed as another process than the one that a run was sent to. One that
 * is listed no more has left, and may still be the same.
 *
 * @example
 * isOtherProcess(engine, directory.find(engine.id));
 */
export function isOtherProcess(sent: EndpointEntry, listed: EndpointEntry | undefined): boolean {
  if (listed === undefined) return false;
  return listed.processStartedAt !== sent.processStartedAt || listed.version !== sent.version;
}

/** What an endpoint says of the process that answers. */
export interface ProcessAnswer {
  readonly state: ProcessState;
  /** When that process started, in milliseconds of its own wall clock; undefined if it does not tell. */
  readonly startedAt?: number | undefined;
}

/** When a process is asked for, for the log. */
export const CheckMoment = {
  /** Before a stream goes on that a caller takes up soon after it began. */
  beforeTakeUp: "before take-up",
  /** Before a run is sent that goes on with a stream. */
  beforeSend: "before send",
  /** Once the first event of a stream has come. */
  afterBegin: "after begin",
  /** Once the head of its answer is there, before its first event is passed on. */
  beforeJoin: "before join",
  /** After the end of an answer that nothing else delimits. */
  afterEnd: "after end",
} as const;
export type CheckMoment = (typeof CheckMoment)[keyof typeof CheckMoment];

/** Questions after what a run already wrote: they are asked also of an engine that takes no new work. */
const OF_BEGUN_RUNS: ReadonlySet<CheckMoment> = new Set([
  CheckMoment.afterEnd,
  CheckMoment.afterBegin,
  CheckMoment.beforeTakeUp,
]);

/**
 * Asks an endpoint which of its processes it is; a listed one that another has taken the place of counts as gone.
 *
 * @param request - id of the request for which it is asked, for the log
 * @param timeoutMs - how long the answer is waited for
 * @example
 * const state = await checkProcess(context, engine, { request: head.id, moment: CheckMoment.beforeSend });
 */
export async function checkProcess(
  context: ForwardContext,
  endpoint: EndpointEntry,
  asked: { readonly request: string; readonly moment: CheckMoment },
  timeoutMs = CHECK_TIMEOUT_MS,
): Promise<ProcessState> {
  return (await questionProcess(context, endpoint, asked, timeoutMs)).state;
}

/**
 * Asks like `checkProcess`, and tells also when the process that answers started.
 *
 * @example
 * const { state, startedAt } = await questionProcess(context, engine, { request: head.id, moment }, 150);
 */
export async function questionProcess(
  context: ForwardContext,
  endpoint: EndpointEntry,
  { request, moment }: { readonly request: string; readonly moment: CheckMoment },
  timeoutMs: number,
): Promise<ProcessAnswer> {
  const { clock, directory, logger, meter, listConfirmer, confirmedProcesses } = context;
  const askedAt = clock.now();
  const told = await askForProcess(context, endpoint, moment, timeoutMs);
  const state = E.isLeft(told) ? told.left : compareProcess(endpoint.processStartedAt, told.right);
  meter.processChecks.inc({ service: endpoint.service, moment, state });
  if (state === ProcessState.other) directory.markReplaced(endpoint, clock.now());
  if (state === ProcessState.same) confirmedProcesses.record(endpoint, askedAt);
  if (state === ProcessState.untold) confirmedProcesses.recordUntold(endpoint);
  const startedAt = E.isRight(told) ? told.right : undefined;
  const fields = {
    request,
    engine: endpoint.id,
    moment,
    state,
    process: createProcessId(endpoint),
    told: startedAt,
    listAgeMs: Math.round(listConfirmer.computeAgeMs()),
    tookMs: Math.round(clock.now() - askedAt),
  };
  if (state === ProcessState.same) logger.info("process checked", fields);
  else logger.warn("process checked", fields);
  return { state, startedAt };
}

/** @returns the start of the process that answers, undefined if it tells none; left if nothing can be compared */
async function askForProcess(
  { client, codec }: ForwardContext,
  endpoint: EndpointEntry,
  moment: CheckMoment,
  timeoutMs: number,
): Promise<E.Either<ProcessState, number | undefined>> {
  const call = codec.createReportCall(endpoint);
  if (call === undefined || endpoint.processStartedAt === 0) return E.left(ProcessState.untold);
  const isEndCheck = OF_BEGUN_RUNS.has(moment);
  const answer = await client.call(endpoint, { ...call, isEndCheck }, timeoutMs, 0);
  if (E.isLeft(answer)) return E.left(ProcessState.silent);
  const { status, body } = answer.right;
  if (codec.isMisdirected(status)) return E.left(ProcessState.other);
  // A process that still loads tells nothing yet; that is not one that never tells.
  if (status >= MIN_FAILURE_STATUS) return E.left(ProcessState.silent);
  return E.right(codec.readProcessStart(status, body));
}
