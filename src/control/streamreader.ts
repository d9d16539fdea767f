/**
 * Follows a stream of the log by long polling, from the earliest record that the log retains, for
 * as long as the process runs.
 */
import * as E from "fp-ts/Either";
import type { Clock, Moment } from "../core/clock";
import type { Logger } from "../core/log";
import { runTask } from "../core/tasks";
import type { LogClient, LogPage, StreamName } from "../store/log";

const LONG_POLL_WAIT_MS = 4000;
const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1000;

/** Receives the pages of a stream and tracks the read position. */
export interface StreamHandler {
  /** The offset of the next record to read. */
  readonly next: number;
  /** Handles a page; `startedAt` is when the call that returned it began. */
  onPage(page: LogPage, startedAt: Moment): void;
}

/** Follows one stream, with jittered exponential backoff after failed reads. */
export class StreamReader {
  private isClosed = false;
  private backoffMs = MIN_BACKOFF_MS;
  private endPause: (() => void) | undefined;
  /** How long the next read waits for records, in milliseconds. */
  private waitMs = 0;
  /** Number of consecutive failed reads. */
  failures = 0;

  constructor(
    private readonly log: LogClient,
    private readonly stream: StreamName,
    private readonly handler: StreamHandler,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  start(): void {
    void this.followStream();
  }

  /**
   * Reads the available records without waiting, beside the long poll.
   *
   * @returns false where the log did not answer
   */
  async readNow(): Promise<boolean> {
    const startedAt = this.clock.now();
    const page = await this.log.read(this.stream, this.handler.next, 0)();
    if (E.isLeft(page)) return false;
    this.handler.onPage(page.right, startedAt);
    return true;
  }

  close(): void {
    this.isClosed = true;
    this.endPause?.();
  }

  private async followStream(): Promise<void> {
    while (!this.isClosed) {
      const failuresBefore = this.failures;
      const isDone = await runTask(`read ${this.stream}`, this.logger, () => this.readPage());
      if (isDone && this.failures <= failuresBefore) continue;
      if (!isDone) this.failures += 1;
      await this.backOff();
    }
  }

  /** Reads one page; a page that can't be applied counts as not read. */
  private async readPage(): Promise<void> {
    const startedAt = this.clock.now();
    const page = await this.log.read(this.stream, this.handler.next, this.waitMs)();
    if (this.isClosed) return;
    if (E.isLeft(page)) {
      this.failures += 1;
      return;
    }
    this.handler.onPage(page.right, startedAt);
    this.failures = 0;
    this.backoffMs = MIN_BACKOFF_MS;
    this.waitMs = this.handler.next >= page.right.end ? LONG_POLL_WAIT_MS : 0;
  }

  private backOff(): Promise<void> {
    const jittered = this.backoffMs * (0.5 + Math.random() / 2);
    this.backoffMs = Math.min(MAX_BACKOFF_MS, this.backoffMs * 2);
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, jittered);
      this.endPause = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }
}
