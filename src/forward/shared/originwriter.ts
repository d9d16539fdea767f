/**
 * Writes the origins of streams to the store, so that they outlive a restart of all instances. Two
 * instances of the fleet do so for all, and only for services that have or had several versions.
 */
import * as E from "fp-ts/Either";
import type { Clock, Moment } from "../../core/clock";
import type { Logger } from "../../core/log";
import { runTask } from "../../core/tasks";
import type { HistoryReader } from "../../fleet/historyreader";
import type { AppendLog } from "../../fleet/store";
import type { VersionHistory } from "../../fleet/versionhistory";
import type { Meter } from "../requests";
import { encodeOrigins } from "./originpeer";
import type { NamedOrigin } from "./origins";

/** Shortest time between two appends, in milliseconds. */
const APPEND_INTERVAL_MS = 500;
/** Maximum number of origins in one record, about 60 KB. */
const MAX_BATCH = 512;
/** Maximum number of origins that wait; the store may be down. */
const MAX_WAITING = 4096;

interface WaitingOrigin {
  readonly named: NamedOrigin;
  readonly addedAt: Moment;
}

/** Dependencies of the writer. */
export interface OriginWriterParts {
  readonly log: AppendLog;
  readonly versionHistory: VersionHistory;
  readonly historyReader: HistoryReader;
  /** Computes how long callers may take up a stream of a service after it began, in milliseconds. */
  readonly computeStreamMs: (service: string) => number;
  readonly clock: Clock;
  readonly meter: Meter;
  readonly logger: Logger;
}

/** Collects origins and appends them in batches. */
export class OriginWriter {
  private waiting: WaitingOrigin[] = [];
  private timer: NodeJS.Timeout | undefined;
  private flushAgainAt: Moment = Number.NEGATIVE_INFINITY;
  private isClosed = false;

  constructor(private readonly parts: OriginWriterParts) {}

  /**
   * Adds origins, which are written at once or with the next batch. Those of a service with one
   * version wait for as long as callers may need them, in case that another version appears.
   */
  add(origins: readonly NamedOrigin[]): void {
    const { clock, logger } = this.parts;
    const addedAt = clock.now();
    this.waiting.push(...origins.map((named) => ({ named, addedAt })));
    const dropped = this.waiting.splice(0, Math.max(0, this.waiting.length - MAX_WAITING));
    if (dropped.length > 0) logger.warn("stream origins not stored", { dropped: dropped.length });
    this.scheduleFlush();
  }

  close(): void {
    this.isClosed = true;
    clearTimeout(this.timer);
  }

  private scheduleFlush(): void {
    if (this.isClosed) return;
    const delayMs = Math.max(0, this.flushAgainAt - this.parts.clock.now());
    this.timer ??= setTimeout(() => void this.flush(), delayMs);
  }

  private async flush(): Promise<void> {
    const { clock, logger } = this.parts;
    this.flushAgainAt = clock.now() + APPEND_INTERVAL_MS;
    await runTask("store origins", logger, () => this.writeBatch());
    this.timer = undefined;
    if (this.waiting.length > 0) this.scheduleFlush();
  }

  private async writeBatch(): Promise<void> {
    const { log, historyReader, clock, meter, logger } = this.parts;
    this.discardOld(clock.now());
    if (this.waiting.some(({ named }) => !this.isOnlyVersion(named))) await historyReader.read();
    const batch = this.waiting.filter(({ named }) => this.isNeeded(named)).slice(0, MAX_BATCH);
    if (batch.length === 0) return;
    meter.storeCalls.inc();
    const result = await log.append(encodeOrigins(batch.map(({ named }) => named)))();
    if (E.isLeft(result)) {
      meter.storeFailures.inc();
      logger.warn("origins not stored", { origins: batch.length, error: result.left.message });
      return;
    }
    meter.originsStored.inc(batch.length);
    const written = new Set(batch);
    this.waiting = this.waiting.filter((origin) => !written.has(origin));
    logger.info("origins stored", { origins: batch.length, waiting: this.waiting.length });
  }

  private discardOld(now: Moment): void {
    this.waiting = this.waiting.filter(
      ({ named, addedAt }) => now - addedAt <= this.parts.computeStreamMs(named.origin.service),
    );
  }

  private isOnlyVersion({ origin: { service } }: NamedOrigin): boolean {
    const { versionHistory, computeStreamMs, clock } = this.parts;
    return versionHistory.findOnly(service, computeStreamMs(service), clock.now()) !== undefined;
  }

  private isNeeded({ origin: { service } }: NamedOrigin): boolean {
    const { versionHistory, computeStreamMs, clock } = this.parts;
    return versionHistory.hasSeveral(service, computeStreamMs(service), clock.now());
  }
}
