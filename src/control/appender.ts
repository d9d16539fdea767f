/**
 * Appends records to a stream of the log in batches: the log takes a few hundred appends a second,
 * and batches let it take more records than that. Only reading the stream shows whether a record
 * was stored; the response to the append never does.
 */
import * as E from "fp-ts/Either";
import type { Logger } from "../core/log";
import { runTask } from "../core/tasks";
import type { Appendable, LogClient, StreamName } from "../store/log";
import { LogFault } from "../store/log";

const MAX_RECORDS_PER_APPEND = 200;

/** The result of an append, as far as its response tells. */
export const AppendResult = {
  sent: "sent",
  /** The log certainly does not have the record. */
  refused: "refused",
  /** The log may or may not have the record. */
  unknown: "unknown",
} as const;
export type AppendResult = (typeof AppendResult)[keyof typeof AppendResult];

interface PendingRecord {
  readonly record: Appendable;
  readonly resolve: (result: AppendResult) => void;
}

/** Appends records to one stream, one batch at a time. */
export class Appender {
  private pending: PendingRecord[] = [];
  private isSending = false;

  constructor(
    private readonly log: LogClient,
    private readonly stream: StreamName,
    private readonly logger: Logger,
  ) {}

  /** Queues a record for the next batch; resolves when that batch has been answered. */
  append(record: Appendable): Promise<AppendResult> {
    return new Promise((resolve) => {
      this.pending.push({ record, resolve });
      void this.sendBatches();
    });
  }

  private async sendBatches(): Promise<void> {
    if (this.isSending) return;
    this.isSending = true;
    while (this.pending.length > 0) {
      const batch = this.pending.splice(0, MAX_RECORDS_PER_APPEND);
      // Of an append that fails unexpectedly nothing is known either.
      let outcome: AppendResult = AppendResult.unknown;
      await runTask("append records", this.logger, async () => {
        outcome = await this.sendBatch(batch);
      });
      for (const item of batch) item.resolve(outcome);
    }
    this.isSending = false;
  }

  private async sendBatch(batch: readonly PendingRecord[]): Promise<AppendResult> {
    const records = batch.map((item) => item.record);
    const result = await this.log.append(this.stream, records)();
    if (E.isRight(result)) return AppendResult.sent;
    return result.left.fault === LogFault.refused ? AppendResult.refused : AppendResult.unknown;
  }
}
