/**
 * Tracks the holds of this instance on engines, each until the engine acknowledges its release or
 * the hold expires. Until then the release is repeated, over new connections.
 */
import * as E from "fp-ts/Either";
import type { Clock, Moment } from "../core/clock";
import type { Logger } from "../core/log";
import { type Metrics, Metric } from "../core/metrics";
import { PeriodicTask, runTask } from "../core/tasks";
import type { EngineClient } from "../endpoint/engine";

const RELEASE_RETRY_INTERVAL_MS = 250;
const MAX_HOLDS_PER_RELEASE = 200;

interface TrackedHold {
  readonly url: string;
  /** When the engine releases the hold by itself. */
  readonly deadline: Moment;
  isReleasing: boolean;
}

/** Tracks holds and sends their releases. */
export class HoldTracker {
  private readonly entries = new Map<string, TrackedHold>();
  private readonly releasingUrls = new Set<string>();
  private readonly task: PeriodicTask;

  constructor(
    private readonly engines: EngineClient,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly logger: Logger,
  ) {
    this.task = new PeriodicTask("release holds", RELEASE_RETRY_INTERVAL_MS, logger, () => {
      this.sendPendingReleases();
    });
  }

  start(): void {
    this.task.start();
  }

  close(): void {
    this.task.close();
  }

  /** Number of holds that are not known to be released. */
  get size(): number {
    return this.entries.size;
  }

  /** Tracks a hold; called before the engine is asked for it, so that none is missed. */
  track(hold: string, url: string, deadline: Moment): void {
    this.entries.set(hold, { url, deadline, isReleasing: false });
  }

  /** Stops tracking a hold that the engine has reported as ended. */
  markReleased(hold: string): void {
    this.entries.delete(hold);
  }

  /** Releases a hold, with retries until the engine acknowledges it or the hold expires. */
  release(hold: string): void {
    const entry = this.entries.get(hold);
    if (entry === undefined) return;
    entry.isReleasing = true;
    this.startRelease(entry.url);
  }

  private sendPendingReleases(): void {
    const now = this.clock.now();
    this.metrics.gauge(Metric.holdsOpen, this.entries.size);
    const urls = new Set<string>();
    for (const [hold, entry] of this.entries) {
      if (entry.deadline <= now) this.entries.delete(hold);
      else if (entry.isReleasing) urls.add(entry.url);
    }
    for (const url of urls) this.startRelease(url);
  }

  private startRelease(url: string): void {
    void runTask("release holds of an engine", this.logger, () => this.sendRelease(url));
  }

  private async sendRelease(url: string): Promise<void> {
    if (this.releasingUrls.has(url)) return;
    this.releasingUrls.add(url);
    const holds = [...this.entries]
      .filter(([, entry]) => entry.url === url && entry.isReleasing)
      .map(([hold]) => hold)
      .slice(0, MAX_HOLDS_PER_RELEASE);
    try {
      const result = await this.engines.releaseHolds(url, holds)();
      if (E.isLeft(result)) return;
      for (const hold of holds) this.entries.delete(hold);
    } finally {
      this.releasingUrls.delete(url);
    }
  }
}
