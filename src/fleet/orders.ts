/**
 * Leases for sending orders to engines. Before each order an instance appends a record at the end
 * of a log in the store; the order's fencing token follows from the record's position. After a
 * record of another instance, it first waits until that lease has expired, counted from when it
 * first saw the record. So two instances never alternate at an engine, even if engines do not check
 * fencing tokens.
 *
 * A store that was restored from an earlier copy may have lost the newest records, and gives out
 * their offsets again. So an instance that learns of it, and one that has just started, waits as
 * after a record of another instance; and tokens of a later era are higher than all earlier ones.
 */
import * as E from "fp-ts/Either";
import * as t from "io-ts";
import { uptime } from "node:os";
import { type Clock, type Moment, MS_PER_SECOND } from "../core/clock";
import { decodeBytes } from "../core/codec";
import type { Logger } from "../core/log";
import type { LogPosition } from "./position";
import { type OrderLog, type OrderRecord, StoreFault } from "./store";

/** Maximum time that an append may take for its order to be still sent, in milliseconds. */
const MAX_APPEND_MS = 400;
/** How long an order may still be in flight after its lease has expired, in milliseconds. */
const ORDER_MARGIN_MS = 2500;
/** Maximum size of a record, in bytes; those of instances have some hundreds. */
const MAX_RECORD_BYTES = 16 * 1024;
/** Maximum number of pages that are read for one order. */
const MAX_PAGES = 16;
/** Fencing tokens of one era; the log never has as many records. */
const FENCES_PER_ERA = 2 ** 32;

const recordCodec = t.type({ holder: t.string, engine: t.string, stage: t.string });

/** The lease for sending one order. */
export interface OrderLease {
  /** The fencing token. */
  readonly fence: number;
  /** Checks, right before the order is sent, that the lease has not become too old. */
  isFresh(): boolean;
}

/** The engine that an order is for, and the stage it sets. */
export interface OrderSubject {
  readonly engine: string;
  readonly stage: string;
}

/** Acquires leases for orders. */
export class OrderLeases {
  private nextOffset = 0;
  private otherHolderSeenAt: Moment;
  /** How often the store was restored; a lease from before a restore is void. */
  private restores = 0;

  /** @param startedAt - when this process started */
  constructor(
    /** The incarnation: a restarted process is another holder. */
    private readonly holder: string,
    private readonly log: OrderLog,
    private readonly leaseMs: number,
    private readonly clock: Clock,
    private readonly logger: Logger,
    startedAt: Moment,
  ) {
    this.otherHolderSeenAt = startedAt;
  }

  /** Voids leases and offsets from before the store was restored from an earlier copy. */
  onStoreRestored(): void {
    this.restores += 1;
    this.nextOffset = 0;
    this.otherHolderSeenAt = this.clock.now();
  }

  /**
   * Acquires the lease for one order; undefined where another instance had a lease recently, or
   * appended first, or the store did not respond.
   */
  async acquire(subject: OrderSubject): Promise<OrderLease | undefined> {
    if (!(await this.readNewRecords())) return undefined;
    const sinceOtherMs = this.clock.now() - this.otherHolderSeenAt;
    if (sinceOtherMs < this.leaseMs + ORDER_MARGIN_MS) return undefined;
    const startedAt = this.clock.now();
    const uptimeAtStart = uptime();
    const restoresAtStart = this.restores;
    const value = Buffer.from(JSON.stringify({ holder: this.holder, ...subject }));
    const appended = await this.log.appendAt(this.nextOffset, value)();
    if (E.isLeft(appended)) {
      this.logger.info("order not won", { ...subject, error: appended.left.message });
      return undefined;
    }
    this.nextOffset = appended.right.offset + 1;
    const fence = computeFence(appended.right);
    const isFresh = () => {
      if (this.restores !== restoresAtStart) return false;
      const monotonicMs = this.clock.now() - startedAt;
      // The monotonic clock stops while the machine is suspended; uptime does not.
      const uptimeMs = (uptime() - uptimeAtStart) * MS_PER_SECOND;
      return monotonicMs < MAX_APPEND_MS && uptimeMs < MAX_APPEND_MS + MS_PER_SECOND;
    };
    return { fence, isFresh };
  }

  /** Reads to the end of the log; a page may end before it. */
  private async readNewRecords(): Promise<boolean> {
    for (let pages = 0; pages < MAX_PAGES; pages += 1) {
      const page = await this.log.read(this.nextOffset)();
      if (E.isLeft(page)) {
        if (page.left.fault === StoreFault.trimmed)
          this.nextOffset = page.left.first ?? this.nextOffset;
        this.logger.info("orders not read", { error: page.left.message });
        return false;
      }
      const { records, end } = page.right;
      for (const record of records) this.trackHolder(record);
      const next = (records.at(-1)?.offset ?? this.nextOffset - 1) + 1;
      this.nextOffset = Math.min(next, end);
      if (next >= end) return true;
      if (records.length === 0) break;
    }
    this.logger.info("orders not read", { error: "the log goes on behind the last page" });
    return false;
  }

  /**
   * Records when a record of another instance was read. One that cannot be decoded counts as
   * another's.
   */
  private trackHolder(record: OrderRecord): void {
    const decoded = decodeBytes(recordCodec, record.value, "order", MAX_RECORD_BYTES);
    if (E.isRight(decoded) && decoded.right.holder === this.holder) return;
    this.otherHolderSeenAt = this.clock.now();
  }
}

/**
 * Computes the fencing token of an order from the position of its record. It is never zero, since
 * some engines treat zero as a missing token.
 *
 * @example
 * computeFence({ era: 0, offset: 6 }); // 7
 */
export function computeFence({ era, offset }: LogPosition): number {
  return era * FENCES_PER_ERA + offset + 1;
}
