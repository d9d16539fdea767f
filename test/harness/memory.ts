/**
 * In-memory store of feeds and orders; a test can make each of them unavailable.
 */
import * as E from "fp-ts/Either";
import { pause } from "../../src/core/clock";
import type { FleetConfig } from "../../src/fleet/config";
import type { EndpointEntry } from "../../src/fleet/entries";
import { FIRST_ERA, type LogPosition } from "../../src/fleet/position";
import {
  type AppendLog,
  type Feed,
  type FeedRecord,
  type HistoryFeed,
  type OrderLog,
  type OrderRecord,
  type WritableFeed,
  type Store,
  StoreError,
  StoreFault,
} from "../../src/fleet/store";

/** In-memory feed; reads all records from an offset, or the newest record of each key. */
export class MemoryFeed implements WritableFeed, HistoryFeed {
  records: FeedRecord[] = [];
  /** Offset of the first record that the history keeps. */
  first = 0;
  isDown = false;
  era = FIRST_ERA;

  get next(): LogPosition {
    return { era: this.era, offset: this.records.length };
  }

  put(key: string, value: Buffer | undefined): void {
    this.records.push({ key, value, position: this.next });
  }

  /** Drops the records from an offset on, and begins a new era. */
  restore(end: number): void {
    this.era += 1;
    const kept = this.records.slice(0, end);
    this.records = kept.map((record) => ({
      ...record,
      position: { ...record.position, era: this.era },
    }));
  }

  append: WritableFeed["append"] = (key, value) => () => {
    if (this.isDown) return Promise.resolve(E.left(createUnavailableError()));
    this.put(key, value);
    return Promise.resolve(E.right(undefined));
  };

  readNewest: Feed["readNewest"] = () => () => {
    if (this.isDown) return Promise.resolve(E.left(createUnavailableError()));
    const newest = new Map(this.records.map((record) => [record.key, record]));
    const records = [...newest.values()].filter((record) => record.value !== undefined);
    return Promise.resolve(E.right({ records, next: this.next }));
  };

  readHistory: HistoryFeed["readHistory"] = () => () =>
    Promise.resolve(
      this.isDown
        ? E.left(createUnavailableError())
        : E.right({ records: this.records.slice(this.first), next: this.next }),
    );

  read: Feed["read"] = (from, waitMs) => async () => {
    if (this.records.length <= from) await pause(Math.min(waitMs, 20));
    if (this.isDown) return E.left(createUnavailableError());
    if (from > this.records.length) return E.left(new StoreError(StoreFault.trimmed, "no offset"));
    return E.right({ records: this.records.slice(from), next: this.next });
  };
}

/** In-memory order log; accepts a record only at its current end. */
export class MemoryOrders implements OrderLog {
  records: OrderRecord[] = [];
  isDown = false;
  era = FIRST_ERA;

  /** Drops the records from an offset on, and begins a new era. */
  restore(end: number): void {
    this.era += 1;
    this.records = this.records.slice(0, end);
  }

  read: OrderLog["read"] = (from) => () =>
    Promise.resolve(
      this.isDown
        ? E.left(createUnavailableError())
        : E.right({ records: this.records.slice(from), end: this.records.length }),
    );

  appendAt: OrderLog["appendAt"] = (end, value) => () => {
    if (this.isDown) return Promise.resolve(E.left(createUnavailableError()));
    if (end !== this.records.length) {
      return Promise.resolve(E.left(new StoreError(StoreFault.moved, "moved")));
    }
    this.records.push({ value, offset: end });
    return Promise.resolve(E.right({ era: this.era, offset: end }));
  };
}

/** In-memory log. */
export class MemoryLog implements AppendLog {
  values: Buffer[] = [];

  read: AppendLog["read"] = (from) => () => {
    const records = this.values
      .slice(from)
      .map((value, index) => ({ value, offset: from + index }));
    return Promise.resolve(E.right({ records, end: this.values.length }));
  };

  append: AppendLog["append"] = (value) => () => {
    this.values.push(value);
    return Promise.resolve(E.right(undefined));
  };
}

/** In-memory store. */
export class MemoryStore implements Store {
  readonly configuration = new MemoryFeed();
  readonly endpoints = new MemoryFeed();
  readonly members = new MemoryFeed();
  readonly orders = new MemoryOrders();
  readonly origins = new MemoryLog();

  private readonly restoreListeners: ((era: number) => void)[] = [];

  onRestored(listener: (era: number) => void): void {
    this.restoreListeners.push(listener);
  }

  /** Goes back to a copy that lacks the newest records of each feed. */
  restore(lost: { configuration?: number; endpoints?: number; members?: number }): void {
    for (const name of ["configuration", "endpoints", "members"] as const) {
      this[name].restore(this[name].records.length - (lost[name] ?? 0));
    }
    this.orders.restore(this.orders.records.length);
    for (const listener of this.restoreListeners) listener(this.orders.era);
  }

  reset(): void {
    // There is no connection to reset.
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  putConfig(config: FleetConfig): void {
    this.configuration.put("config", Buffer.from(JSON.stringify(config)));
  }

  putEndpoint(entry: EndpointEntry): void {
    this.endpoints.put(entry.id, Buffer.from(JSON.stringify(entry)));
  }
}

function createUnavailableError(): StoreError {
  return new StoreError(StoreFault.refused, "down");
}
