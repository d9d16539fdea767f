/**
 * Finds the origins of streams that were written to the store, for instances that were all restarted.
 */
import * as E from "fp-ts/Either";
import type { Clock, Moment } from "../../core/clock";
import type { Logger } from "../../core/log";
import { runTask } from "../../core/tasks";
import { type AppendLog, StoreFault } from "../../fleet/store";
import type { Meter } from "../requests";
import { decodeOrigins } from "./originpeer";
import { type StreamName, type StreamOrigin, StreamOrigins } from "./origins";
import type { UnknownOrigins } from "./unknownorigins";

/** Shortest time between two reads, in milliseconds. */
const MIN_READ_INTERVAL_MS = 1000;
/** Number of records at the end of the log that are read: a minute of four a second, and some more. */
const MAX_RECORDS = 400;
/** Maximum number of pages in one read. */
const MAX_PAGES = 40;

/** Within which time of its start the others know an instance, in milliseconds. */
const KNOWN_TO_PEERS_MS = 2000;

/** Dependencies of stored origins. */
export interface StoredOriginParts {
  readonly log: AppendLog;
  /** Is told of each origin whose version is not known. */
  readonly unknown: Pick<UnknownOrigins, "recordStored">;
  readonly clock: Clock;
  readonly meter: Meter;
  readonly logger: Logger;
}

/** What the store's records say of a stream. */
export interface StoredOrigin {
  readonly origin: StreamOrigin | undefined;
  /** False if they could not be read now. */
  readonly isRead: boolean;
}

/** Reads the origins in the store, and keeps them. */
export class StoredOrigins {
  private readonly origins: StreamOrigins;
  private readonly startedAt: Moment;
  private hasRead = false;
  private nextOffset = 0;
  private readAt: Moment = Number.NEGATIVE_INFINITY;
  private reading: Promise<boolean> | undefined;

  constructor(private readonly parts: StoredOriginParts) {
    this.startedAt = parts.clock.now();
    this.origins = new StreamOrigins((origin) => {
      parts.unknown.recordStored(origin);
    });
  }

  /** Reads from the start again: the store was restored. What was read stays true. */
  onStoreRestored(): void {
    this.nextOffset = 0;
  }

  /** Finds the origin of a stream; reads what is new unless that was done within a second. */
  async find(stream: StreamName): Promise<StoredOrigin> {
    const { clock } = this.parts;
    const known = this.origins.find(stream, clock.now());
    if (known !== undefined) return { origin: known, isRead: true };
    if (this.reading === undefined && clock.now() - this.readAt < MIN_READ_INTERVAL_MS) {
      return { origin: undefined, isRead: false };
    }
    this.reading ??= this.read();
    const isRead = await this.reading;
    return { origin: this.origins.find(stream, clock.now()), isRead };
  }

  /**
   * Finds out whether this instance knows of the processes of unknown version that were at services within a time: peers
   * have told it as long as it runs, and the store says what was before.
   *
   * @param forMs - the time up to now, in milliseconds
   */
  async readBefore(forMs: number): Promise<boolean> {
    const now = this.parts.clock.now();
    if (this.hasRead || now - this.startedAt >= forMs + KNOWN_TO_PEERS_MS) return true;
    if (this.reading === undefined && now - this.readAt < MIN_READ_INTERVAL_MS) return false;
    this.reading ??= this.read();
    return this.reading;
  }

  private async read(): Promise<boolean> {
    const { clock, logger } = this.parts;
    this.readAt = clock.now();
    let isRead = false;
    await runTask("read origins", logger, async () => {
      isRead = await this.readPages();
    });
    this.reading = undefined;
    this.hasRead ||= isRead;
    return isRead;
  }

  private async readPages(): Promise<boolean> {
    const { log, meter, logger } = this.parts;
    for (let page = 0; page < MAX_PAGES; page += 1) {
      const from = this.nextOffset;
      meter.storeCalls.inc();
      const result = await log.read(from)();
      if (E.isLeft(result)) {
        const { fault, first, message } = result.left;
        if (fault !== StoreFault.trimmed || first === undefined) {
          meter.storeFailures.inc();
          logger.warn("origins not read", { error: message });
          return false;
        }
        this.nextOffset = first;
        continue;
      }
      const { records, end } = result.right;
      for (const { value } of records) this.recordAll(value);
      const next = from + records.length;
      this.nextOffset = Math.max(next, end - MAX_RECORDS);
      if (next < end && records.length > 0) continue;
      logger.info("origins read", { known: this.origins.size, end });
      return true;
    }
    return false;
  }

  private recordAll(value: Buffer): void {
    const now = this.parts.clock.now();
    const decoded = decodeOrigins(value);
    if (decoded === undefined)
      this.parts.logger.warn("origins unreadable", { bytes: value.length });
    else for (const named of decoded) this.origins.record(named, now);
  }
}
