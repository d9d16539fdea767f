/**
 * Finds out who asserted the end of an answer whose bytes ended without an error. Where nothing but the end of its
 * connection shows that, the endpoint is asked which of its processes it is: one that died ends its connections like one
 * that has finished, and may be back at its address and under its id by then.
 */
import { type EndProof, findEndProof, WriterState } from "../../core/assertedend";
import { computeRemainingMs, type Moment, pause } from "../../core/clock";
import type { ConnectionEnder } from "../../core/connectionender";
import type { EndpointEntry } from "../../fleet/entries";
import type { ForwardRequest } from "../requests";
import type { OpenResponse } from "./answer";
import type { ForwardContext } from "./context";
import { ConnectionWay } from "./pool";
import { createProcessId, EndpointState, probeEndpoint } from "./probe";
import { CheckMoment, checkProcess, isOtherProcess, ProcessState } from "./processcheck";

/** How long the answer to the question is waited for, in milliseconds; the caller has all that came. */
const END_CHECK_TIMEOUT_MS = 1000;
/** With less time left than this, no connection is tried after it, in milliseconds. */
const MIN_PROBE_MS = 50;
/** Time between two questions, in milliseconds; one that is refused is answered at once. */
const ASK_AGAIN_MS = 100;

/** An answer that has ended, and to whom it belongs. */
export interface EndedAnswer {
  readonly request: ForwardRequest;
  readonly endpoint: EndpointEntry;
  readonly response: OpenResponse;
  /** True if the request counts as one that may have crashed the endpoint, if it is down. */
  readonly isSuspect: boolean;
}

/** What is known of the end of an answer. */
export interface AnswerEnd {
  /** What shows that the answer is whole; undefined if nobody asserted its end. */
  readonly proof: EndProof | undefined;
  /** Who ended its connection. */
  readonly by: ConnectionEnder;
  readonly way: ConnectionWay;
  readonly writer: WriterState;
}

/**
 * Finds what shows that an answer is whole, and records it.
 *
 * @example
 * const { proof } = await confirmEnd(context, { request, endpoint, response, isSuspect: true });
 */
export async function confirmEnd(context: ForwardContext, ended: EndedAnswer): Promise<AnswerEnd> {
  const { endpoint, response } = ended;
  const { isFramed, peer } = response;
  const by = response.findEnder();
  const writer = isFramed ? WriterState.unasked : await findWriter(context, ended);
  const proof = findEndProof({ isFramed, endedBy: by, writer });
  const way = peer === undefined ? ConnectionWay.direct : ConnectionWay.peer;
  const labels = { service: endpoint.service, proof: proof ?? "none", by, way, writer };
  context.meter.answerEnds.inc(labels);
  if (!isFramed) recordUnframed(context, ended, { proof, by, way, writer });
  return { proof, by, way, writer };
}

function recordUnframed(
  { logger }: ForwardContext,
  { request, endpoint, response }: EndedAnswer,
  { proof, by, writer }: AnswerEnd,
): void {
  const fields = {
    request: request.head.id,
    endpoint: endpoint.id,
    process: createProcessId(endpoint),
    proof: proof ?? "none",
    endedBy: by,
    peer: response.peer,
    writer,
  };
  if (proof === undefined) logger.warn("unframed answer", fields);
  else logger.info("unframed answer", fields);
}

/** Asks after the process that wrote an answer, until that is known or the time is over. */
async function findWriter(context: ForwardContext, ended: EndedAnswer): Promise<WriterState> {
  const { clock } = context;
  const endedAt = clock.now();
  const deadline = endedAt + END_CHECK_TIMEOUT_MS;
  for (;;) {
    const found = await askForWriter(context, ended, { endedAt, deadline });
    if (found !== WriterState.silent || clock.now() + ASK_AGAIN_MS >= deadline) return found;
    await pause(ASK_AGAIN_MS);
  }
}

/** When an answer ended, and until when its writer is asked after. */
interface EndTimes {
  readonly endedAt: Moment;
  readonly deadline: Moment;
}

/** Asks once; a new connection shows whether anything is up at all. */
async function askForWriter(
  context: ForwardContext,
  { request, endpoint, isSuspect }: EndedAnswer,
  { endedAt, deadline }: EndTimes,
): Promise<WriterState> {
  const { clock } = context;
  const asked = { request: request.head.id, moment: CheckMoment.afterEnd };
  const leftMs = computeRemainingMs(deadline, clock.now());
  const told = await checkProcess(context, endpoint, asked, leftMs);
  if (told === ProcessState.same) return WriterState.alive;
  if (told === ProcessState.other) return WriterState.replaced;
  if (computeRemainingMs(deadline, clock.now()) < MIN_PROBE_MS) return WriterState.silent;
  const state = await probeEndpoint(context, request, endpoint, isSuspect, true);
  if (state === EndpointState.down || state === EndpointState.unconfirmed) return WriterState.gone;
  if (state === EndpointState.silent || told === ProcessState.silent) return WriterState.silent;
  // Answers of plain services are many and short: theirs go by the list as it is.
  if (endpoint.stage !== undefined) await context.listConfirmer.refresh(endedAt);
  const isOther = isOtherProcess(endpoint, context.directory.find(endpoint.id));
  return isOther ? WriterState.replaced : WriterState.untold;
}

/**
 * Describes an end that nobody asserted.
 *
 * @example
 * describeUnasserted({ proof: undefined, by: "endpoint", way: "direct", writer: "replaced" });
 */
export function describeUnasserted({ by, writer }: AnswerEnd): string {
  return `nobody asserted the end of the answer: ended by ${by}, its writer is ${writer}`;
}
