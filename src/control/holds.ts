/**
 * The ledger of holds: what this instance holds on engines, each until the engine acknowledges that
 * it is released. A release is repeated, over new connections, until then.
 */
import * as E from "fp-ts/Either";
import type { Clock, Moment } from "../core/clock";
import { type Metrics, Metric } from "../core/metrics";
import type { EngineClient } from "../endpoint/engine";

const RELEASE_RETRY_INTERVAL_MS = 250;
const MAX_HOLDS_PER_RELEASE = 200;

interface TrackedHold {
  readonly url: string;
  /** When the engine releases the hold by itself. */
  readonly deadline: Moment;
  isReleasing: boolean;
}

/** Holds of this instance. */
export class HoldTracker {
  private readonly entries = new Map<string, TrackedHold>();
  private readonly releasingUrls = new Set<string>();
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly engines: EngineClient,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {}

  start(): void {
    this.timer = setInterval(() => {
      this.sendPendingReleases();
    }, RELEASE_RETRY_INTERVAL_MS);
  }

  close(): void {
    clearInterval(this.timer);
  }

  /** Counts holds that are not known to be released. */
  get size(): number {
    return this.entries.size;
  }

  /** Notes a hold before the engine is asked for it. */
  track(hold: string, url: string, deadline: Moment): void {
    this.entries.set(hold, { url, deadline, isReleasing: false });
  }

  /** Notes that the engine has said that the hold is over. */
  markReleased(hold: string): void {
    this.entries.delete(hold);
  }

  /** Releases a hold, however often that takes. */
  release(hold: string): void {
    const entry = this.entries.get(hold);
    if (entry === undefined) return;
    entry.isReleasing = true;
    void this.sendRelease(entry.url);
  }

  private sendPendingReleases(): void {
    const now = this.clock.now();
    this.metrics.gauge(Metric.holdsOpen, this.entries.size);
    const urls = new Set<string>();
    for (const [hold, entry] of this.entries) {
      if (entry.deadline <= now) this.entries.delete(hold);
      else if (entry.isReleasing) urls.add(entry.url);
    }
    for (const url of urls) void this.sendRelease(url);
  }

  private async sendRelease(url: string): Promise<void> {
    if (this.releasingUrls.has(url)) return;
    this.releasingUrls.add(url);
    const holds = [...this.entries]
      .filter(([, entry]) => entry.url === url && entry.isReleasing)
      .map(([hold]) => hold)
      .slice(0, MAX_HOLDS_PER_RELEASE);
    const result = await this.engines.releaseHolds(url, holds)();
    this.releasingUrls.delete(url);
    if (E.isLeft(result)) return;
    for (const hold of holds) this.entries.delete(hold);
  }
}
