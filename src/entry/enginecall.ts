/**
 * Calls an engine for an attempt. A call that is silent goes on until another attempt is ready, or the
 * attempt is cancelled, as at its deadline.
 */
import * as E from "fp-ts/Either";
import type { Clock } from "../core/clock";
import type { Logger } from "../core/log";
import { EngineError, EngineFault } from "../endpoint/fault";
import { SilenceWatch } from "../core/silence";
import type { AttemptFinder } from "./replacement";

/** A call, and what is done while it is silent. */
export interface PatientCall<A> {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Name of the engine that is called. */
  readonly engine: string;
  /** How long the engine may be silent before another attempt is looked for, in milliseconds. */
  readonly timeoutMs: number;
  readonly finder: AttemptFinder;
  /** Aborted when the attempt is cancelled. */
  readonly signal: AbortSignal;
  /** Starts the call. The signal is aborted when its result is no longer waited for. */
  start(signal: AbortSignal): Promise<E.Either<EngineError, A>>;
}

/** Gives a call up at the end of its timeout, as the calls of an attempt that is a replacement itself. */
export const IMPATIENT_FINDER: AttemptFinder = {
  isReady: false,
  find: () => Promise.resolve(true),
  close: () => undefined,
};

/**
 * Makes a call; the error is `silent` if another attempt takes over, and `cancelled` after a cancel.
 *
 * @example
 * const start = (signal) => engines.fetchReport(url, { timeoutMs: 10_000, signal })();
 * const report = await callPatiently({ clock, logger, engine, timeoutMs: 1000, finder, signal, start });
 */
export async function callPatiently<A>(call: PatientCall<A>): Promise<E.Either<EngineError, A>> {
  const { clock, logger, engine, timeoutMs, finder, signal } = call;
  const watch = new SilenceWatch({
    clock,
    logger,
    timeoutMs,
    finder: { find: (_overdueMs, search) => finder.find(engine, search) },
    onSilent: () => undefined,
    onResumed: () => undefined,
  });
  const ended = AbortSignal.any([signal, watch.signal]);
  const result = await Promise.race([call.start(ended), waitForAbort(ended)]);
  watch.close();
  if (signal.aborted) return E.left(createCancelledError());
  if (watch.signal.aborted || result === undefined) return E.left(createSilentError());
  // Its answer may have come in the very turn in which another attempt was ready.
  if (E.isRight(result)) finder.close();
  return result;
}

/** Creates the error of an attempt that was cancelled. */
export function createCancelledError(): EngineError {
  return new EngineError(EngineFault.cancelled, "the attempt was cancelled");
}

/** Creates the error of an engine that was silent until another attempt took over. */
export function createSilentError(): EngineError {
  return new EngineError(EngineFault.silent, "the engine sent nothing within the timeout");
}

function waitForAbort(signal: AbortSignal): Promise<undefined> {
  return new Promise((resolve) => {
    const end = () => {
      resolve(undefined);
    };
    if (signal.aborted) end();
    else signal.addEventListener("abort", end, { once: true });
  });
}
