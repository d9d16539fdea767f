/**
 * Ends a send when its caller leaves or its time is up, and tells which it was.
 */
import type { Clock, Moment } from "../core/clock";

/** Why a send was ended. */
export const AbortCause = { callerGone: "caller gone", timeUp: "time up" } as const;
export type AbortCause = (typeof AbortCause)[keyof typeof AbortCause];

/** A deadline that also ends when its caller leaves. */
export class DeadlineSignal {
  private readonly controller = new AbortController();
  private readonly timer: NodeJS.Timeout | undefined;
  private found: AbortCause | undefined;
  private readonly onGone = () => {
    this.end(AbortCause.callerGone);
  };

  /**
   * @param deadline - undefined where only the caller ends it
   */
  constructor(
    clock: Clock,
    deadline: Moment | undefined,
    private readonly caller: AbortSignal,
  ) {
    if (deadline !== undefined) {
      const leftMs = Math.max(0, deadline - clock.now());
      this.timer = setTimeout(() => {
        this.end(AbortCause.timeUp);
      }, leftMs);
    }
    if (caller.aborted) this.onGone();
    else caller.addEventListener("abort", this.onGone, { once: true });
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Why it ended; undefined while it has not. */
  get cause(): AbortCause | undefined {
    return this.found;
  }

  /** Stops watching. */
  close(): void {
    clearTimeout(this.timer);
    this.caller.removeEventListener("abort", this.onGone);
  }

  private end(cause: AbortCause): void {
    this.found ??= cause;
    this.controller.abort();
  }
}
