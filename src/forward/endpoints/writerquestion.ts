/**
 * Asks an engine whether its listed process wrote something, unless that is known. Each asks on its own: a question that
 * is lost must not speak for others.
 */
import type { Moment } from "../../core/clock";
import type { EndpointEntry } from "../../fleet/entries";
import type { ForwardContext } from "./context";
import {
  type CheckMoment,
  type ProcessAnswer,
  ProcessState,
  questionProcess,
} from "./processcheck";

/** What a writer is asked for. */
export interface WriterQuestion {
  /** When the connection was open, or the stream had begun. */
  readonly wroteBy: Moment;
  /** Id of the request for which it is asked, for the log. */
  readonly request: string;
  readonly moment: CheckMoment;
  /** How long the answer is waited for, in milliseconds. */
  readonly timeoutMs: number;
}

/**
 * Finds out whether an engine's listed process wrote something.
 *
 * @example
 * const question = { wroteBy: openedAt, request: head.id, moment, timeoutMs: 150 };
 * const { state } = await askWriter(context, engine, question);
 */
export async function askWriter(
  context: ForwardContext,
  engine: EndpointEntry,
  { wroteBy, request, moment, timeoutMs }: WriterQuestion,
): Promise<ProcessAnswer> {
  const { confirmedProcesses } = context;
  if (confirmedProcesses.covers(engine, wroteBy)) return { state: ProcessState.same };
  if (confirmedProcesses.isUntold(engine)) return { state: ProcessState.untold };
  return await questionProcess(context, engine, { request, moment }, timeoutMs);
}
