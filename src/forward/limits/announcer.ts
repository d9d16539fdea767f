/**
 * Tells peers at once, ahead of the next regular heartbeat, what can't wait for it: engines crash
 * faster than heartbeats go, and an endpoint in need gets requests from all instances.
 */
import type { Clock, Moment } from "../../core/clock";
import type { Logger } from "../../core/log";
import { runTask } from "../../core/tasks";

/** Shortest time between two announcements, in milliseconds. */
const MIN_INTERVAL_MS = 100;

/** Announces news, several at a time where they come fast. */
export class Announcer {
  private nextAt: Moment = 0;
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param send - sends what is known to all peers
   */
  constructor(
    private readonly clock: Clock,
    private readonly send: () => void,
    private readonly logger: Logger,
  ) {}

  /** Reports now, or as soon as enough time has passed since the last announcement. */
  report(): void {
    if (this.timer !== undefined) return;
    const now = this.clock.now();
    if (now >= this.nextAt) {
      this.sendNow();
      return;
    }
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.sendNow();
    }, this.nextAt - now);
  }

  /** Cancels a pending announcement. */
  close(): void {
    clearTimeout(this.timer);
  }

  private sendNow(): void {
    this.nextAt = this.clock.now() + MIN_INTERVAL_MS;
    void runTask("announce", this.logger, this.send);
  }
}
