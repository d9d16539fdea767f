/**
 * Sends a repeatable call to a plain service. A sound service may be silent for a while, so a silent
 * send is given up only once another endpoint and a retry are at hand.
 */
import type * as E from "fp-ts/Either";
import type { Clock } from "../core/clock";
import type { Logger } from "../core/log";
import type { ServiceError, ServiceResponse } from "../endpoint/service";
import { SilenceWatch } from "../core/silence";

/** How long one send may be silent before another endpoint is looked for, in milliseconds. */
const SILENCE_TIMEOUT_MS = 2500;

/** A send, and what may take its place. */
export interface PatientSend {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Secures a send elsewhere; while it cannot, and returns false, the present one goes on. */
  replace(): boolean;
  /** Sends the call; it is given up where the signal is aborted. */
  send(replaced: AbortSignal): Promise<E.Either<ServiceError, ServiceResponse>>;
}

/**
 * Sends a call, and gives it up where it is silent and can be sent elsewhere.
 *
 * @example
 * await sendPatiently({ clock, logger, replace: () => false, send }); // waits as long as `send` does
 */
export async function sendPatiently(
  options: PatientSend,
): Promise<E.Either<ServiceError, ServiceResponse>> {
  const { clock, logger, replace, send } = options;
  const watch = new SilenceWatch({
    clock,
    logger,
    timeoutMs: SILENCE_TIMEOUT_MS,
    finder: { find: () => Promise.resolve(replace()) },
    onSilent: () => undefined,
    onResumed: () => undefined,
  });
  const result = await send(watch.signal);
  watch.close();
  return result;
}
