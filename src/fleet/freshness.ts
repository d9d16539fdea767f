/**
 * How fresh a copy of a feed is: the last moment at which it is known to have held all that the
 * store had, by an own read or by what a peer says of its copy.
 */
import type { Moment } from "../core/clock";

/** Tracks the freshness of one feed. */
export class Freshness {
  private confirmedAt: Moment = Number.NEGATIVE_INFINITY;

  /** Records that the copy held everything at a moment. */
  confirm(at: Moment): void {
    this.confirmedAt = Math.max(this.confirmedAt, at);
  }

  /** Computes the time since the copy was last known to be complete, in milliseconds. */
  computeAgeMs(now: Moment): number {
    return now - this.confirmedAt;
  }
}
