/**
 * Aborts a send when its caller leaves or its deadline passes, and records which came first.
 */
import type { Clock, Moment } from "../../core/clock";
import { ReadFirstTimer } from "../../core/readfirst";

/** Why a send was aborted. */
export const AbortCause = { callerGone: "caller gone", timeUp: "time up" } as const;
export type AbortCause = (typeof AbortCause)[keyof typeof AbortCause];

/** An abort signal that fires at a deadline or when the caller leaves. */
export class DeadlineSignal {
  private readonly controller = new AbortController();
  private readonly timer: ReadFirstTimer | undefined;
  private firstCause: AbortCause | undefined;
  private readonly onCallerGone = () => {
    this.abort(AbortCause.callerGone);
  };

  /**
   * @param deadline - undefined if only the caller aborts it
   * @param caller - aborted when the caller leaves
   */
  constructor(
    clock: Clock,
    deadline: Moment | undefined,
    private readonly caller: AbortSignal,
  ) {
    if (deadline !== undefined) {
      const remainingMs = Math.max(0, deadline - clock.now());
      this.timer = new ReadFirstTimer(remainingMs, () => {
        this.abort(AbortCause.timeUp);
      });
    }
    if (caller.aborted) this.onCallerGone();
    else caller.addEventListener("abort", this.onCallerGone, { once: true });
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Why the signal fired; undefined while it has not. */
  get cause(): AbortCause | undefined {
    return this.firstCause;
  }

  /** Clears the timer and stops listening to the caller. */
  close(): void {
    this.timer?.close();
    this.caller.removeEventListener("abort", this.onCallerGone);
  }

  private abort(cause: AbortCause): void {
    this.firstCause ??= cause;
    this.controller.abort();
  }
}
