/**
 * Finds out whether the listed process of an engine writes the first run of a stream. One that serves before its entry
 * is read may be of another version, which is then not known, so that no engine can go on with the stream.
 */
import { computeRemainingMs, type Moment, pause } from "../../core/clock";
import { waitAtMost } from "../../core/readfirst";
import { runTask } from "../../core/tasks";
import type { EndpointEntry } from "../../fleet/entries";
import {
  askWriter,
  CheckMoment,
  type ForwardContext,
  type OpenResponse,
  ProcessState,
} from "../endpoints";

/** How long the engine is asked, in milliseconds; the stream goes on meanwhile. */
export const QUESTION_TIME_MS = 1000;
/** Time between two questions, in milliseconds: a process that still loads tells nothing yet. */
const ASK_AGAIN_MS = 100;
/** Time from the first event to the question, in milliseconds: one answers for all that began before it. */
const GATHER_MS = 20;
/** How long a run that is to go on waits for the answer, in milliseconds. */
const MAX_WAIT_MS = 300;
/** The part of the time that is left for which it may wait. */
const MAX_WAIT_SHARE = 0.5;

/** Asks after the writer of one stream's first run. */
export class FirstWriter {
  private asking: Promise<unknown> = Promise.resolve();

  /**
   * @param request - id of the request, for the log
   * @param onOther - called if another process than the listed one writes, with its start by its own wall clock
   */
  constructor(
    private readonly context: ForwardContext,
    private readonly request: string,
    private readonly onOther: (processStartedAt: number | undefined) => void,
  ) {}

  /** Asks the engine which process it is, unless that is known of the connection already. */
  ask(engine: EndpointEntry, { openedAt }: OpenResponse): void {
    const { confirmedProcesses, openQuestions, clock, logger } = this.context;
    if (confirmedProcesses.covers(engine, openedAt) || confirmedProcesses.isUntold(engine)) return;
    const deadline = clock.now() + QUESTION_TIME_MS;
    this.asking = runTask("ask after the first writer", logger, () =>
      this.askUntilTold(engine, openedAt, deadline),
    );
    openQuestions.add(engine.service, this.asking, deadline, this.request);
  }

  /**
   * Resolves once no question is under way, or the time for it is over.
   *
   * @param leftMs - time left until the deadline of the request
   */
  async wait(leftMs: number): Promise<void> {
    const waitMs = Math.min(MAX_WAIT_MS, leftMs * MAX_WAIT_SHARE);
    await waitAtMost(this.asking, waitMs);
  }

  private async askUntilTold(
    engine: EndpointEntry,
    wroteBy: Moment,
    deadline: Moment,
  ): Promise<void> {
    const { clock } = this.context;
    await pause(GATHER_MS);
    const question = { wroteBy, request: this.request, moment: CheckMoment.afterBegin };
    for (;;) {
      const timeoutMs = computeRemainingMs(deadline, clock.now());
      const { state, startedAt } = await askWriter(this.context, engine, {
        ...question,
        timeoutMs,
      });
      if (state === ProcessState.other) this.onOther(startedAt);
      if (state !== ProcessState.silent || clock.now() + ASK_AGAIN_MS >= deadline) return;
      await pause(ASK_AGAIN_MS);
    }
  }
}
