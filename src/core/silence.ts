/**
 * Watches a run for silence. A sound engine may be silent for a while and go on, so its run is only
 * given up once another engine has room for the stream: with nothing at hand, ending it would lose
 * what the engine may still write.
 */

import type { Clock, Moment } from "./clock";
import { formatStack, type Logger } from "./log";
import { ReadFirstTimer } from "./readfirst";
import { runTask } from "./tasks";

/** Pause between two searches in one silence, in milliseconds. */
const SEARCH_PAUSE_MS = 500;

/** Looks for what can take the place of a silent run. */
export interface ReplacementFinder {
  /**
   * Finds a replacement.
   *
   * @param overdueMs - how long the run has been silent beyond its timeout
   * @param signal - aborted when the run goes on or ends, so that no replacement is needed
   * @returns true if one is at hand; then the run is given up in the same turn
   */
  find(overdueMs: number, signal: AbortSignal): Promise<boolean>;
}

/** How long a run may be silent before a replacement is looked for, and who looks for it. */
export interface SilenceOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly timeoutMs: number;
  readonly finder: ReplacementFinder;
  /** Called when the silence begins to count, before the first search. */
  readonly onSilent: () => void;
  /** Called when a run that was silent goes on. */
  readonly onResumed: () => void;
}

/**
 * Watches one run, from its send to its end.
 *
 * @example
 * const watch = new SilenceWatch({ clock, logger, timeoutMs: 1200, finder, onSilent, onResumed });
 * watch.onProgress(); // for each event
 * watch.signal.aborted; // true once another engine takes the run's place
 * watch.close();
 */
export class SilenceWatch {
  private readonly replaced = new AbortController();
  private search: AbortController | undefined;
  private timer: ReadFirstTimer | undefined;
  private timeoutMs: number;
  /** When the present silence exceeded its timeout; undefined while it has not. */
  private overdueSince: Moment | undefined;
  private isClosed = false;

  constructor(private readonly options: SilenceOptions) {
    this.timeoutMs = options.timeoutMs;
    this.restartTimer(options.timeoutMs);
  }

  /** Fires once a replacement is at hand, and the run is to be given up. */
  get signal(): AbortSignal {
    return this.replaced.signal;
  }

  /**
   * Records that the run goes on.
   *
   * @param timeoutMs - how long it may be silent from now on; as before if undefined
   */
  onProgress(timeoutMs = this.timeoutMs): void {
    if (this.isClosed) return;
    this.timeoutMs = timeoutMs;
    this.search?.abort();
    this.search = undefined;
    if (this.overdueSince !== undefined) this.options.onResumed();
    this.overdueSince = undefined;
    this.restartTimer(this.timeoutMs);
  }

  /** Stops the watch and any search. */
  close(): void {
    this.isClosed = true;
    this.timer?.close();
    this.search?.abort();
  }

  private restartTimer(timeoutMs: number): void {
    this.timer?.close();
    this.timer = new ReadFirstTimer(timeoutMs, () => {
      void runTask("search beside a silent run", this.options.logger, () => this.onTimeout());
    });
  }

  private async onTimeout(): Promise<void> {
    const now = this.options.clock.now();
    const isNew = this.overdueSince === undefined;
    this.overdueSince ??= now;
    try {
      if (isNew) this.options.onSilent();
    } finally {
      await this.replace(now - this.overdueSince);
    }
  }

  private async replace(overdueMs: number): Promise<void> {
    const search = new AbortController();
    this.search = search;
    const isFound = await this.find(overdueMs, search.signal);
    if (search.signal.aborted) return;
    this.search = undefined;
    if (isFound) this.replaced.abort();
    else this.restartTimer(SEARCH_PAUSE_MS);
  }

  /** Searches; a search that fails has found nothing, and the run goes on. */
  private async find(overdueMs: number, signal: AbortSignal): Promise<boolean> {
    try {
      return await this.options.finder.find(overdueMs, signal);
    } catch (error) {
      this.options.logger.error("search failed", { stack: formatStack(error) });
      return false;
    }
  }
}
