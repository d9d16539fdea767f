/**
 * Maintains the configuration and the duty assignments on the blackboard: reads the control stream
 * from the log, applies records pulled from peers while the log is unavailable, and appends
 * snapshots.
 */
import type { Blackboard } from "../board/board";
import type { Clock, Moment } from "../core/clock";
import {
  ControlFold,
  type LogRecord,
  type Snapshot,
  snapshotCodec,
} from "../core/config/controlfold";
import type { IdGenerator } from "../core/ids";
import type { Logger } from "../core/log";
import { PeriodicTask } from "../core/tasks";
import type { PullReply, PullRequest } from "../peer/gen/peer";
import type { LogClient, LogPage } from "../store/log";
import { StreamName } from "../store/log";
import { Appender } from "./appender";
import { type StreamHandler, StreamReader } from "./streamreader";

/** Latest records retained in memory for peers that are behind. */
const MAX_RETAINED_RECORDS = 1024;
/** Number of records after the last snapshot at which a new one is appended. */
const SNAPSHOT_INTERVAL_RECORDS = 256;
const SNAPSHOT_CHECK_INTERVAL_MS = 5000;

/** Reads the control stream and publishes its state on the blackboard. */
export class ControlReader implements StreamHandler {
  private readonly fold = new ControlFold();
  private retainedRecords: LogRecord[] = [];
  private earliestOffset = 0;
  private hasReadLog = false;
  private readonly reader: StreamReader;
  private readonly appender: Appender;
  private readonly task: PeriodicTask;

  constructor(
    private readonly board: Blackboard,
    log: LogClient,
    private readonly clock: Clock,
    private readonly ids: IdGenerator,
    private readonly logger: Logger,
    /** Returns whether this instance is responsible for appending snapshots. */
    private readonly isSnapshotWriter: () => boolean,
  ) {
    this.reader = new StreamReader(log, StreamName.control, this, clock, logger);
    this.appender = new Appender(log, StreamName.control, logger);
    this.task = new PeriodicTask("append a snapshot", SNAPSHOT_CHECK_INTERVAL_MS, logger, () => {
      this.appendSnapshotIfDue();
    });
  }

  get next(): number {
    return this.fold.next;
  }

  /** True once a configuration is available to serve requests with. */
  get hasConfiguration(): boolean {
    return !this.fold.isIncomplete && this.board.config.read().version >= 0;
  }

  /** True once the log itself was read to its end; records pulled from peers may be behind it. */
  get hasReachedLogEnd(): boolean {
    return this.hasReadLog;
  }

  start(): void {
    this.reader.start();
    this.task.start();
  }

  close(): void {
    this.task.close();
    this.reader.close();
  }

  /** Reads the newest records now; returns false where the log did not answer. */
  readNow(): Promise<boolean> {
    return this.reader.readNow();
  }

  onPage(page: LogPage, startedAt: Moment): void {
    this.earliestOffset = page.earliest;
    this.fold.skipTo(page.earliest);
    this.applyRecords(page.records);
    if (this.fold.next < page.end || this.fold.isIncomplete) return;
    this.hasReadLog = true;
    this.recordCaughtUp(startedAt);
  }

  /**
   * Answers a peer that is behind with the records from its offset on, or with a snapshot where
   * these are no longer retained.
   */
  answerPull(request: PullRequest): PullReply {
    if (this.fold.isIncomplete) return { snapshotJson: "", records: [], next: 0 };
    const firstRetained = this.retainedRecords[0]?.offset ?? this.fold.next;
    const isRetained = request.from >= firstRetained;
    const snapshotJson = isRetained
      ? ""
      : JSON.stringify(this.fold.createSnapshot(this.ids.next()));
    const records = isRetained
      ? this.retainedRecords
          .filter((logRecord) => logRecord.offset >= request.from)
          .map((logRecord) => ({
            offset: logRecord.offset,
            json: JSON.stringify(logRecord.record),
          }))
      : [];
    return { snapshotJson, records, next: this.fold.next };
  }

  /**
   * Applies a peer's reply to a pull. Records are ignored where the read position has changed since
   * the request.
   *
   * @param from - the offset that was requested
   */
  applyPullReply(reply: PullReply, from: number): void {
    if (reply.snapshotJson !== "") {
      const snapshot: unknown = JSON.parse(reply.snapshotJson);
      if (snapshotCodec.is(snapshot)) this.applySnapshot(snapshot);
      return;
    }
    if (from !== this.fold.next) return;
    this.applyRecords(
      reply.records.map(({ offset, json }) => ({ offset, record: JSON.parse(json) as unknown })),
    );
  }

  /**
   * Records that, as of a given moment, every record of the control stream had been read here.
   *
   * @param at - the moment for which this holds; ignored where a later one is known
   */
  recordCaughtUp(at: Moment): void {
    if (at > this.board.controlCaughtUpAt.read()) this.board.controlCaughtUpAt.write(at);
  }

  private applyRecords(records: readonly LogRecord[]): void {
    const newRecords = records.filter((logRecord) => logRecord.offset >= this.fold.next);
    if (newRecords.length === 0) return;
    for (const logRecord of newRecords) this.fold.fold(logRecord);
    this.retainedRecords = [...this.retainedRecords, ...newRecords].slice(-MAX_RETAINED_RECORDS);
    this.publishState();
  }

  private applySnapshot(snapshot: Snapshot): void {
    if (!this.fold.restore(snapshot)) return;
    this.retainedRecords = [];
    this.publishState();
  }

  private publishState(): void {
    if (this.fold.isIncomplete) return;
    const before = this.board.config.read().version;
    const { state, duties } = this.fold;
    const now = this.clock.now();
    for (const { recordId } of duties.values()) {
      if (!this.board.dutiesSeenAt.has(recordId)) this.board.dutiesSeenAt.set(recordId, now);
    }
    if (duties !== this.board.duties.read()) this.pruneDutiesSeenAt();
    this.board.duties.write(duties);
    if (state.version === before) return;
    this.board.config.write(state);
    this.logger.info("configuration", { version: state.version, replaced: before });
  }

  private pruneDutiesSeenAt(): void {
    const currentIds = new Set([...this.fold.duties.values()].map((item) => item.recordId));
    for (const id of this.board.dutiesSeenAt.keys()) {
      if (!currentIds.has(id)) this.board.dutiesSeenAt.delete(id);
    }
  }

  private appendSnapshotIfDue(): void {
    if (!this.hasConfiguration || !this.isSnapshotWriter()) return;
    const recordsSinceSnapshot = this.fold.next - 1 - Math.max(this.fold.lastSnapshotOffset, 0);
    const isSnapshotTrimmed = this.earliestOffset > Math.max(this.fold.lastSnapshotOffset, 0);
    if (recordsSinceSnapshot < SNAPSHOT_INTERVAL_RECORDS && !isSnapshotTrimmed) return;
    const snapshot = this.fold.createSnapshot(this.ids.next());
    this.logger.info("snapshot", { foldedTo: snapshot.foldedTo, version: snapshot.version });
    void this.appender.append(snapshot);
  }
}
