/**
 * Appends records many at a time, so that the log's few hundred appends a second carry more than
 * that many records. Whether a record arrived is learnt by reading the stream, never from the
 * answer of the append.
 */
import * as E from "fp-ts/Either";
import type { Appendable, LogClient, StreamName } from "../store/log";
import { LogFault } from "../store/log";

/** Records that go into one append. */
const MAX_RECORDS_PER_APPEND = 200;

/** How an append ended, as far as its answer tells. */
export const AppendResult = {
  sent: "sent",
  /** The log cannot have the record. */
  refused: "refused",
  /** The log may have the record. */
  unknown: "unknown",
} as const;
export type AppendResult = (typeof AppendResult)[keyof typeof AppendResult];

interface PendingRecord {
  readonly record: Appendable;
  readonly resolve: (result: AppendResult) => void;
}

/** Appends to one stream. */
export class Appender {
  private pending: PendingRecord[] = [];
  private isSending = false;

  constructor(
    private readonly log: LogClient,
    private readonly stream: StreamName,
  ) {}

  /** Appends a record with the next batch. */
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
