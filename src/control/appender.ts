/**
 * Appends records to a stream of the log in batches: the log takes a few hundred appends a second,
 * and batches let it take more records than that. Only reading the stream shows whether a record
 * was stored; the response to the append never does.
 */
import * as E from "fp-ts/Either";
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
      const result = await this.log.append(
        this.stream,
        batch.map((item) => item.record),
      )();
      const outcome = E.isRight(result)
        ? AppendResult.sent
        : result.left.fault === LogFault.refused
          ? AppendResult.refused
          : AppendResult.unknown;
      for (const item of batch) item.resolve(outcome);
    }
    this.isSending = false;
  }
}
