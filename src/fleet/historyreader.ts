/**
 * Reads the history of the endpoint feed once an instance needs it: after its start, or after a time
 * in which it did not watch the list itself.
 */
import * as E from "fp-ts/Either";
import type { Clock, Moment } from "../core/clock";
import type { Logger } from "../core/log";
import { runTask } from "../core/tasks";
import type { Meter } from "../forward/requests";
import type { EndpointDecoder } from "./entries";
import { type HistoryProof, HistoryScan } from "./historyproof";
import type { ProcessHistory } from "./processhistory";
import type { FeedRecord, HistoryFeed } from "./store";
import type { VersionHistory } from "./versionhistory";

/** Shortest time between two reads, in milliseconds. */
const MIN_READ_INTERVAL_MS = 1000;
/** Number of records that are scanned in one turn, about 5 ms of work. */
const RECORDS_PER_TURN = 400;

/** Dependencies of the reader. */
export interface HistoryReaderParts {
  readonly feed: HistoryFeed;
  readonly decode: EndpointDecoder;
  readonly versionHistory: VersionHistory;
  readonly processes: ProcessHistory;
  readonly clock: Clock;
  readonly meter: Meter;
  readonly logger: Logger;
}

/** Reads the history into what the instance knows of versions and processes. */
export class HistoryReader {
  private reading: Promise<void> | undefined;
  private readAt: Moment = Number.NEGATIVE_INFINITY;
  /** The watch of the version history that the history was read for. */
  private readForWatch: number | undefined;

  constructor(private readonly parts: HistoryReaderParts) {}

  /**
   * Reads the history unless it was read for the present watch.
   *
   * @returns whether it is read; false also within a second after a read that failed
   */
  async read(): Promise<boolean> {
    const { clock, logger } = this.parts;
    if (this.isRead()) return true;
    if (this.reading === undefined) {
      const now = clock.now();
      if (now - this.readAt < MIN_READ_INTERVAL_MS) return false;
      this.readAt = now;
      this.reading = runTask("read history", logger, () => this.readOnce(now)).then(() => {
        this.reading = undefined;
      });
    }
    await this.reading;
    return this.isRead();
  }

  private isRead(): boolean {
    return this.readForWatch === this.parts.versionHistory.watch;
  }

  private async readOnce(at: Moment): Promise<void> {
    const { feed, versionHistory, processes, clock, meter, logger } = this.parts;
    meter.storeCalls.inc();
    const page = await feed.readHistory()();
    if (E.isLeft(page)) {
      meter.storeFailures.inc();
      logger.warn("history not read", { error: page.left.message });
      return;
    }
    const { records, next } = page.right;
    const { proof, unreadable } = await this.scan(records);
    versionHistory.recordProof(proof, at, next);
    this.readForWatch = versionHistory.watch;
    for (const { entry, lastListedMs } of proof.processes) {
      processes.record(entry, at - lastListedMs);
    }
    const { coveredMs } = proof;
    const tookMs = Math.round(clock.now() - at);
    logger.info("history", { records: records.length, unreadable, coveredMs, tookMs });
  }

  /** Scans the records in several turns, so that requests are not kept waiting. */
  private async scan(
    records: readonly FeedRecord[],
  ): Promise<{ readonly proof: HistoryProof; readonly unreadable: number }> {
    const history = new HistoryScan(this.parts.decode);
    for (const [index, record] of records.entries()) {
      if (index > 0 && index % RECORDS_PER_TURN === 0) await endTurn();
      history.add(record);
    }
    return { proof: history.prove(), unreadable: history.unreadable };
  }
}

function endTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
