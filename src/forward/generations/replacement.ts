/**
 * Finds another engine for a generation whose run is silent. The silent run is kept until the
 * response of its replacement begins, so that the generation always has a run that may end it.
 */
import type { ForwardContext } from "../endpoints";
import type { ReplacementFinder } from "../../core/silence";
import { ReadFirstTimer } from "../../core/readfirst";
import type { Reservation } from "../engines";
import { HeadState, type SentRun, type TryStart } from "./sentrun";

/**
 * How long a run in doubt is silent beyond its timeout before its own engine is asked to run the
 * generation anew, in milliseconds.
 */
const SAME_ENGINE_OVERDUE_MS = 1000;
/**
 * How long a silent run may go on beside its replacement, in milliseconds: engines may not work on
 * one generation side by side for longer than 400.
 */
const MAX_BESIDE_MS = 350;

/**
 * What is known of a silent run. That its engine answers calls on other connections says nothing of
 * it: the run may only be slow.
 */
export const SilentRunState = {
  /** Its connection has worked, and nothing speaks against it: it may go on. */
  sound: "sound",
  /** Its connection may be dead. */
  inDoubt: "in doubt",
  /** The engine's process is gone, and the run with it. */
  gone: "gone",
} as const;
export type SilentRunState = (typeof SilentRunState)[keyof typeof SilentRunState];

/** What the state of a silent run is judged by. */
export interface SilentRunSigns {
  /** True if the head of its response has arrived. */
  readonly hasHead: boolean;
  /** True if the process that it was sent to is still the listed one. */
  readonly isProcessListed: boolean;
  /** True if connections to the engine have to go over a peer now. */
  readonly isDirectLost: boolean;
}

/**
 * Judges a silent run.
 *
 * @example
 * judgeSilentRun({ hasHead: false, isProcessListed: true, isDirectLost: false }); // "in doubt"
 */
export function judgeSilentRun(signs: SilentRunSigns): SilentRunState {
  if (!signs.isProcessListed) return SilentRunState.gone;
  return signs.hasHead && !signs.isDirectLost ? SilentRunState.sound : SilentRunState.inDoubt;
}

/**
 * Reads what is known of a silent run.
 *
 * @param run - undefined if none was sent
 * @example
 * readSilentRunState(context, run) === SilentRunState.gone; // nothing is lost with it
 */
export function readSilentRunState(
  { directory, paths }: ForwardContext,
  run: SentRun | undefined,
): SilentRunState {
  if (run === undefined) return SilentRunState.gone;
  const { endpoint, hasHead } = run;
  const isProcessListed = directory.isListedProcess(endpoint);
  return judgeSilentRun({ hasHead, isProcessListed, isDirectLost: paths.isDirectLost(endpoint) });
}

/** Looks for a run that can take the place of a silent one. */
export interface RunReplacer extends ReplacementFinder {
  /** Gives up a replacement that was not taken. */
  close(): void;
}

/** What a replacer asks of the generation that it works for. */
export interface ReplacerHost {
  /** Checks whether the generation may run once more, and a retry is left for it. */
  canRunAgain(): boolean;
  /** Judges the silent run. */
  judgeSilentRun(): SilentRunState;
  /** Checks whether a run was sent to the engine whose run is silent. */
  isAtSilentEngine(sent: SentRun): boolean;
  /**
   * Reserves memory at an engine.
   *
   * @param mayBeSame - true if it may be the silent engine itself, over another connection
   * @param signal - aborted when the engine is no longer needed
   * @returns undefined if there was no room in time
   */
  reserve(mayBeSame: boolean, signal: AbortSignal): Promise<Reservation | undefined>;
  /** Consumes a retry of the budget; false if none is left. */
  tryCharge(): boolean;
  /**
   * Keeps a retry in case a run that was sent is refused, until the head of its stream arrives;
   * false if none is left.
   */
  tryKeepRetry(sent: SentRun): boolean;
  /** Takes back the retry of a run that was not sent. */
  refund(): void;
  /** Has the prompt read, or leaves it to the decode engine; releases the engine if that throws. */
  prepare(reservation: Reservation, signal: AbortSignal): Promise<TryStart>;
  /** Checks right before its use that the engine is there and that the generation may run. */
  canUse(reservation: Reservation): boolean;
  /** Releases an engine that was not used. */
  release(reservation: Reservation): void;
  /** Releases an engine that was not used and the prompt that was read for it. */
  discard(start: TryStart): void;
  send(start: TryStart): SentRun;
  /** Records the result of a run that was sent and brought no stream. */
  finish(sent: SentRun): Promise<void>;
  /** Aborts a run that was sent and is not needed, and records it. */
  withdraw(sent: SentRun): void;
}

/**
 * Sends a run that takes the place of a silent one.
 *
 * @example
 * const replacer = new EngineReplacer(host);
 * if (await replacer.find(0, signal)) replacer.take(); // the silent run has been given up
 */
export class EngineReplacer implements RunReplacer {
  private ready: SentRun | undefined;

  constructor(private readonly host: ReplacerHost) {}

  async find(overdueMs: number, signal: AbortSignal): Promise<boolean> {
    this.close();
    const state = this.host.judgeSilentRun();
    const isLate = overdueMs >= SAME_ENGINE_OVERDUE_MS;
    const mayBeSame = state === SilentRunState.gone || (state === SilentRunState.inDoubt && isLate);
    const sent = await this.reserveAndSend(mayBeSame, signal);
    if (sent === undefined) return false;
    this.ready = sent;
    const headState = await sent.waitForHead(MAX_BESIDE_MS);
    // The silent run has gone on, or has ended and left the generation to this one.
    if (this.ready !== sent) return false;
    if (headState === HeadState.stream) return true;
    if (headState === HeadState.none && !this.isInVain(sent, signal)) return true;
    this.ready = undefined;
    if (headState === HeadState.none) this.host.withdraw(sent);
    else await this.finish(sent);
    return false;
  }

  /** Takes the run that was sent; undefined if there is none. */
  take(): SentRun | undefined {
    const { ready } = this;
    this.ready = undefined;
    return ready;
  }

  close(): void {
    const unused = this.take();
    if (unused !== undefined) this.host.withdraw(unused);
  }

  /** Records a run that failed; the rest of its answer must not keep the search waiting. */
  private async finish(sent: SentRun): Promise<void> {
    const timer = new ReadFirstTimer(MAX_BESIDE_MS, () => {
      sent.abort();
    });
    try {
      await this.host.finish(sent);
    } finally {
      timer.close();
    }
  }

  /**
   * Checks whether a run without an answer is worth no more than the silent one: it has the same
   * engine, which may just be slow, or nothing could follow it if it were refused. If the silent one
   * has ended, the new one is all there is.
   */
  private isInVain(sent: SentRun, signal: AbortSignal): boolean {
    if (signal.aborted) return false;
    const state = this.host.judgeSilentRun();
    if (state === SilentRunState.gone) return false;
    if (this.host.isAtSilentEngine(sent)) return true;
    return state === SilentRunState.sound && !this.host.tryKeepRetry(sent);
  }

  /** Reserves an engine and sends it a run; returns undefined if there is none. */
  private async reserveAndSend(
    mayBeSame: boolean,
    signal: AbortSignal,
  ): Promise<SentRun | undefined> {
    const { host } = this;
    if (!host.canRunAgain()) return undefined;
    const reservation = await host.reserve(mayBeSame, signal);
    if (reservation === undefined) return undefined;
    let isCharged = false;
    try {
      // The prompt may cost a retry as well, which must not be the last one.
      isCharged = !signal.aborted && host.canRunAgain() && host.tryCharge();
    } finally {
      if (!isCharged) host.release(reservation);
    }
    return isCharged ? this.prepareAndSend(reservation, signal) : undefined;
  }

  /** Sends a run that is charged; if none is sent, also as a step throws, nothing of it is kept. */
  private async prepareAndSend(
    reservation: Reservation,
    signal: AbortSignal,
  ): Promise<SentRun | undefined> {
    const { host } = this;
    let start: TryStart | undefined;
    let sent: SentRun | undefined;
    try {
      start = await host.prepare(reservation, signal);
      if (!signal.aborted && host.canUse(reservation)) sent = host.send(start);
      return sent;
    } finally {
      if (sent === undefined) {
        host.refund();
        if (start !== undefined) host.discard(start);
      }
    }
  }
}
