/**
 * The right to give an order to an engine. Before each order an instance appends a record at the end
 * of a log in the store; the record's offset is the order's fencing number. After a record of
 * another instance it first waits out a lease, counted from when it first saw that record, so that
 * two instances never take turns at an engine, also where engines do not check the numbers.
 */
import * as E from "fp-ts/Either";
import * as t from "io-ts";
import { uptime } from "node:os";
import type { Clock, Moment } from "../core/clock";
import { decodeText } from "../core/codec";
import type { Logger } from "../core/log";
import { type OrderLog, type OrderRecord, StoreFault } from "./store";

/** How long an append may take for its order to be given still, in milliseconds. */
const MAX_APPEND_MS = 400;
/** How long an order may be under way beyond its lease, in milliseconds. */
const ORDER_MARGIN_MS = 2500;
const MS_PER_SECOND = 1000;

const recordCodec = t.type({ holder: t.string, engine: t.string, stage: t.string });

/** A right to give one order. */
export interface OrderLease {
  /** The fencing number. */
  readonly fence: number;
  /** Checks, right before the order is sent, that the right has not aged meanwhile. */
  isFresh(): boolean;
}

/** What an order is about. */
export interface OrderSubject {
  readonly engine: string;
  readonly stage: string;
}

/** Wins the right to give orders. */
export class OrderLeases {
  private next = 0;
  private otherSeenAt: Moment = Number.NEGATIVE_INFINITY;

  constructor(
    /** One run of a process: a process that started again is another holder. */
    private readonly holder: string,
    private readonly log: OrderLog,
    private readonly leaseMs: number,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Wins the right to one order; undefined where another instance had one of late, or won. */
  async acquire(subject: OrderSubject): Promise<OrderLease | undefined> {
    if (!(await this.readNewRecords())) return undefined;
    const sinceOther = this.clock.now() - this.otherSeenAt;
    if (sinceOther < this.leaseMs + ORDER_MARGIN_MS) return undefined;
    const startedAt = this.clock.now();
    const uptimeAtStart = uptime();
    const value = Buffer.from(JSON.stringify({ holder: this.holder, ...subject }));
    const appended = await this.log.appendAt(this.next, value)();
    if (E.isLeft(appended)) {
      this.logger.info("order not won", { ...subject, error: appended.left.message });
      return undefined;
    }
    this.next = appended.right + 1;
    // A fencing number is never zero, which some take for none.
    const fence = appended.right + 1;
    const isFresh = () => {
      const monotonicMs = this.clock.now() - startedAt;
      // The monotonic clock stands still while the machine is suspended; uptime goes on.
      const uptimeMs = (uptime() - uptimeAtStart) * MS_PER_SECOND;
      return monotonicMs < MAX_APPEND_MS && uptimeMs < MAX_APPEND_MS + MS_PER_SECOND;
    };
    return { fence, isFresh };
  }

  private async readNewRecords(): Promise<boolean> {
    const page = await this.log.read(this.next)();
    if (E.isLeft(page)) {
      if (page.left.fault === StoreFault.trimmed) this.next = page.left.first ?? this.next;
      this.logger.info("orders not read", { error: page.left.message });
      return false;
    }
    for (const record of page.right.records) this.trackHolder(record);
    this.next = page.right.end;
    return true;
  }

  /** What cannot be read counts as another's. */
  private trackHolder(record: OrderRecord): void {
    const decoded = decodeText(recordCodec, record.value.toString("utf8"), "order");
    if (E.isRight(decoded) && decoded.right.holder === this.holder) return;
    this.otherSeenAt = this.clock.now();
  }
}
