/**
 * Finds another attempt at a completion while the present one is silent. A sound engine may be silent
 * for a while and go on, so the present attempt is given up only once another has a slot, a retry of
 * the budget and the prompt prefilled, and has begun to stream.
 */
import { createTimeoutSignal } from "../core/readfirst";
import type { Grant } from "../peer/gen/peer";
import type { Attempt, AttemptResult } from "./attempt";
import { IMPATIENT_FINDER } from "./enginecall";

/**
 * How long one search waits for a grant, in milliseconds; then the silent engine is asked for its
 * report once more.
 */
const GRANT_WAIT_MS = 1000;
/**
 * How long a silent attempt may go on beside the stream of another one, in milliseconds: engines may
 * not work on one completion side by side for longer than 400.
 */
const MAX_BESIDE_MS = 350;

/** Finds what can take the place of a silent attempt. */
export interface AttemptFinder {
  /** True while an attempt that was found streams and is not taken. */
  readonly isReady: boolean;
  /**
   * Finds an attempt, and begins to stream it.
   *
   * @param excluded - the engine that may not serve it; undefined if any may
   * @param signal - aborted when the silent attempt goes on or ends
   * @returns true once its first bytes are there, or were waited for as long as both may stream; it is
   *   taken by the run after the silent attempt has ended
   */
  find(excluded: string | undefined, signal: AbortSignal): Promise<boolean>;
  /** Gives up an attempt that was found and not taken. */
  close(): void;
}

/** What a finder asks of the run that it works for. */
export interface ReplacementHost {
  /** Checks whether the completion may run once more, and a retry is left for it. */
  canRunAgain(): boolean;
  /** Requests a grant; undefined if it was refused, or the signal was aborted before. */
  requestGrant(excluded: string | undefined, signal: AbortSignal): Promise<Grant | undefined>;
  /** Creates an attempt that ends when the signal is aborted. */
  createAttempt(grant: Grant, signal: AbortSignal): Attempt;
  /** Consumes a retry of the budget; false if none is left. */
  tryCharge(): boolean;
  /** Called with the result of an attempt that failed before it was ready. */
  onFailed(result: AttemptResult): void;
}

/**
 * Begins an attempt that takes the place of a silent one.
 *
 * @example
 * const replacer = new AttemptReplacer(host);
 * if (await replacer.find("engine-1", signal)) replacer.take(); // the silent attempt has ended
 */
export class AttemptReplacer implements AttemptFinder {
  private ready: Attempt | undefined;

  constructor(private readonly host: ReplacementHost) {}

  async find(excluded: string | undefined, signal: AbortSignal): Promise<boolean> {
    const { host } = this;
    this.close();
    if (!host.canRunAgain()) return false;
    const waitSignal = AbortSignal.any([signal, createTimeoutSignal(GRANT_WAIT_MS)]);
    const grant = await host.requestGrant(excluded, waitSignal);
    if (grant === undefined) return false;
    const attempt = await this.prepare(grant, signal);
    return attempt !== undefined && (await this.begin(attempt));
  }

  /** Prepares an attempt up to its stream; undefined if it failed, or is not needed any more. */
  private async prepare(grant: Grant, signal: AbortSignal): Promise<Attempt | undefined> {
    const { host } = this;
    // An attempt that streams outlasts the search: the silent one may end and leave the rest to it.
    const preparation = new AbortController();
    const onSearchEnd = () => {
      preparation.abort();
    };
    signal.addEventListener("abort", onSearchEnd, { once: true });
    const attempt = host.createAttempt(grant, preparation.signal);
    const canPrefill = () => !signal.aborted && host.tryCharge();
    const failed = await attempt.prepare(IMPATIENT_FINDER, canPrefill);
    signal.removeEventListener("abort", onSearchEnd);
    if (failed === undefined && !signal.aborted) return attempt;
    if (failed === undefined) attempt.giveUp();
    else host.onFailed(failed);
    return undefined;
  }

  /** Begins to stream; false if that failed, or the attempt was given up or taken meanwhile. */
  private async begin(attempt: Attempt): Promise<boolean> {
    this.ready = attempt;
    const error = await attempt.begin(this, MAX_BESIDE_MS);
    if (this.ready !== attempt) return false;
    if (error === undefined) return true;
    this.ready = undefined;
    this.host.onFailed(await attempt.fail(error));
    return false;
  }

  get isReady(): boolean {
    return this.ready !== undefined;
  }

  /** Takes the attempt that was found; undefined if there is none. */
  take(): Attempt | undefined {
    const { ready } = this;
    this.ready = undefined;
    return ready;
  }

  close(): void {
    this.take()?.giveUp();
  }
}
