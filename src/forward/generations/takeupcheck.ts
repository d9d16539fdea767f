/**
 * Finds out whether the listed process of an engine wrote the first event of a stream that a caller takes up soon after
 * it began. The instance that runs it may still be asking, or be gone, so the one that takes up asks itself.
 */
import type { Clock, Moment } from "../../core/clock";
import type { EndpointDirectory } from "../../fleet/directory";
import type { EndpointEntry } from "../../fleet/entries";
import {
  askWriter,
  CheckMoment,
  type ForwardContext,
  type ProcessAnswer,
  ProcessState,
} from "../endpoints";
import { CLOCK_TOLERANCE_MS, type StreamOrigin } from "../shared";
import { QUESTION_TIME_MS } from "./firstwriter";

/** How far the wall clocks of two instances may differ that both are within the tolerance of an engine's, in milliseconds. */
const INSTANCE_CLOCK_TOLERANCE_MS = 2 * CLOCK_TOLERANCE_MS;
/** How long the engine's answer is waited for, in milliseconds; the caller waits with it, and may come back. */
const QUESTION_TIMEOUT_MS = 150;

/** What is known of who began a stream that a caller takes up. */
export const WriterState = {
  /** The listed process did, or nobody can tell more. */
  settled: "settled",
  /** Another process did, so its version is not known. */
  other: "other",
  /** The engine has not said yet; the caller may ask again. */
  unsettled: "unsettled",
} as const;
export type WriterState = (typeof WriterState)[keyof typeof WriterState];

/** Who began a stream. */
export interface FoundWriter {
  readonly writer: WriterState;
  /** When another process that did started, in milliseconds of its own wall clock; undefined if it does not tell. */
  readonly startedAt?: number | undefined;
}

/** Dependencies of the check. */
export interface TakeUpParts {
  readonly directory: EndpointDirectory;
  readonly clock: Clock;
  readonly readWallClock: () => number;
  /** Asks an engine, for a request, whether its listed process wrote what was there by a moment. */
  readonly askWriter: (
    engine: EndpointEntry,
    wroteBy: Moment,
    request: string,
  ) => Promise<ProcessAnswer>;
}

/**
 * Computes how long the instance that runs a stream may still be asking after its first writer, in milliseconds.
 *
 * @param ageMs - time since the first event by the wall clocks of two instances; less than zero if they differ
 * @example
 * computeAskingMs(400); // 1100
 */
export function computeAskingMs(ageMs: number): number {
  const longestMs = QUESTION_TIME_MS + INSTANCE_CLOCK_TOLERANCE_MS;
  return Math.max(0, Math.min(longestMs, longestMs - ageMs));
}

/**
 * Decides what the answer to a question that began after a stream says of who began the stream.
 *
 * @example
 * decideWriter(ProcessState.silent); // "unsettled"
 */
export function decideWriter(state: ProcessState): WriterState {
  switch (state) {
    case ProcessState.same:
    case ProcessState.untold:
      return WriterState.settled;
    case ProcessState.other:
      return WriterState.other;
    case ProcessState.silent:
      return WriterState.unsettled;
  }
}

/** Finds out who began streams that callers take up. */
export class TakeUpCheck {
  constructor(private readonly parts: TakeUpParts) {}

  /**
   * Finds out who began a stream.
   *
   * @param request - id of the request that takes it up, for the log
   */
  async check(origin: StreamOrigin, request: string): Promise<FoundWriter> {
    const { clock, readWallClock, askWriter } = this.parts;
    const ageMs = readWallClock() - origin.beganAt;
    if (computeAskingMs(ageMs) === 0) return { writer: WriterState.settled };
    const engine = this.findProcess(origin);
    // The list names another process by now, and says when that started.
    if (engine === undefined) return { writer: WriterState.settled };
    const beganBy = clock.now() - Math.max(0, ageMs - INSTANCE_CLOCK_TOLERANCE_MS);
    const { state, startedAt } = await askWriter(engine, beganBy, request);
    return { writer: decideWriter(state), startedAt };
  }

  /** Computes after which time it is settled who began a stream, in milliseconds. */
  computeSettledInMs({ beganAt }: StreamOrigin): number {
    return Math.ceil(computeAskingMs(this.parts.readWallClock() - beganAt));
  }

  /** Finds the process that an origin names, also if its engine is listed no more; not one that another followed. */
  private findProcess({ endpoint, processStartedAt }: StreamOrigin): EndpointEntry | undefined {
    const { directory } = this.parts;
    const last = directory.find(endpoint) ?? directory.processes.list(endpoint).at(-1);
    return last?.processStartedAt === processStartedAt ? last : undefined;
  }
}

/** Creates the check of an instance. */
export function createTakeUpCheck(context: ForwardContext): TakeUpCheck {
  const question = { moment: CheckMoment.beforeTakeUp, timeoutMs: QUESTION_TIMEOUT_MS };
  return new TakeUpCheck({
    ...context,
    askWriter: (engine, wroteBy, request) =>
      askWriter(context, engine, { ...question, wroteBy, request }),
  });
}
