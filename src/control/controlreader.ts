/**
 * Keeps the blackboard's configuration and duties: reads the control stream from the log, takes
 * what is missing from peers while the log is away, and appends snapshots.
 */
import type { Blackboard } from "../board/board";
import type { Clock, Moment } from "../core/clock";
import { ControlFold, type LogRecord, type Snapshot, snapshotCodec } from "../core/controlfold";
import type { IdGenerator } from "../core/ids";
import type { Logger } from "../core/log";
import type { PullReply, PullRequest } from "../peer/gen/peer";
import type { LogClient, LogPage } from "../store/log";
import { StreamName } from "../store/log";
import { Appender } from "./appender";
import { type StreamHandler, StreamReader } from "./streamreader";

/** Records kept for peers that are behind. */
const KEPT_RECORDS = 1024;
/** Records after which a new snapshot is appended. */
const SNAPSHOT_RECORDS = 256;
const SNAPSHOT_CHECK_MS = 5000;

/** Keeps configuration and duties. */
export class ControlReader implements StreamHandler {
  private readonly fold = new ControlFold();
  private kept: LogRecord[] = [];
  private earliest = 0;
  private hasReadLog = false;
  private readonly reader: StreamReader;
  private readonly appender: Appender;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly board: Blackboard,
    log: LogClient,
    private readonly clock: Clock,
    private readonly ids: IdGenerator,
    private readonly logger: Logger,
    /** Tells whether this instance is the one that appends snapshots. */
    private readonly isSnapshotDuty: () => boolean,
  ) {
    this.reader = new StreamReader(log, StreamName.control, this, clock);
    this.appender = new Appender(log, StreamName.control);
  }

  get next(): number {
    return this.fold.next;
  }

  /** True once there is a configuration to serve by. */
  get hasConfiguration(): boolean {
    return !this.fold.isIncomplete && this.board.config.read().version >= 0;
  }

  /** True once the log itself was read to its end; what peers give may be behind it. */
  get hasReachedLogEnd(): boolean {
    return this.hasReadLog;
  }

  start(): void {
    this.reader.start();
    this.timer = setInterval(() => {
      this.checkSnapshot();
    }, SNAPSHOT_CHECK_MS);
  }

  close(): void {
    clearInterval(this.timer);
    this.reader.close();
  }

  /** Reads the stream's end now; false where the log did not answer. */
  readNow(): Promise<boolean> {
    return this.reader.readNow();
  }

  onPage(page: LogPage, startedAt: Moment): void {
    this.earliest = page.earliest;
    this.fold.skipTo(page.earliest);
    this.takeRecords(page.records);
    if (this.fold.next < page.end || this.fold.isIncomplete) return;
    this.hasReadLog = true;
    this.recordCaughtUp(startedAt);
  }

  /** Answers a peer that is behind. */
  answerPull(request: PullRequest): PullReply {
    if (this.fold.isIncomplete) return { snapshotJson: "", records: [], next: 0 };
    const first = this.kept[0]?.offset ?? this.fold.next;
    const isKept = request.from >= first;
    const snapshotJson = isKept ? "" : JSON.stringify(this.fold.createSnapshot(this.ids.next()));
    const records = isKept
      ? this.kept
          .filter((placed) => placed.offset >= request.from)
          .map((placed) => ({ offset: placed.offset, json: JSON.stringify(placed.record) }))
      : [];
    return { snapshotJson, records, next: this.fold.next };
  }

  /**
   * Takes what a peer answered.
   *
   * @param from - the offset that was asked for
   */
  applyPullReply(reply: PullReply, from: number): void {
    if (reply.snapshotJson !== "") {
      const snapshot: unknown = JSON.parse(reply.snapshotJson);
      if (snapshotCodec.is(snapshot)) this.takeSnapshot(snapshot);
      return;
    }
    if (from !== this.fold.next) return;
    this.takeRecords(
      reply.records.map(({ offset, json }) => ({ offset, record: JSON.parse(json) as unknown })),
    );
  }

  /**
   * Notes that, as of a moment, the log held nothing that was not read here.
   *
   * @param at - when that was so
   */
  recordCaughtUp(at: Moment): void {
    if (at > this.board.controlCaughtUpAt.read()) this.board.controlCaughtUpAt.write(at);
  }

  private takeRecords(records: readonly LogRecord[]): void {
    const fresh = records.filter((placed) => placed.offset >= this.fold.next);
    if (fresh.length === 0) return;
    for (const placed of fresh) this.fold.fold(placed);
    this.kept = [...this.kept, ...fresh].slice(-KEPT_RECORDS);
    this.publish();
  }

  private takeSnapshot(snapshot: Snapshot): void {
    if (!this.fold.restore(snapshot)) return;
    this.kept = [];
    this.publish();
  }

  private publish(): void {
    if (this.fold.isIncomplete) return;
    const before = this.board.config.read().version;
    const { state, duties } = this.fold;
    const now = this.clock.now();
    for (const { recordId } of duties.values()) {
      if (!this.board.dutiesSeenAt.has(recordId)) this.board.dutiesSeenAt.set(recordId, now);
    }
    if (duties !== this.board.duties.read()) this.forgetDuties();
    this.board.duties.write(duties);
    if (state.version === before) return;
    this.board.config.write(state);
    this.logger.info("configuration", { version: state.version, replaced: before });
  }

  private forgetDuties(): void {
    const present = new Set([...this.fold.duties.values()].map((item) => item.recordId));
    for (const id of this.board.dutiesSeenAt.keys()) {
      if (!present.has(id)) this.board.dutiesSeenAt.delete(id);
    }
  }

  private checkSnapshot(): void {
    if (!this.hasConfiguration || !this.isSnapshotDuty()) return;
    const since = this.fold.next - 1 - Math.max(this.fold.lastSnapshotOffset, 0);
    const isForgotten = this.earliest > Math.max(this.fold.lastSnapshotOffset, 0);
    if (since < SNAPSHOT_RECORDS && !isForgotten) return;
    const snapshot = this.fold.createSnapshot(this.ids.next());
    this.logger.info("snapshot", { foldedTo: snapshot.foldedTo, version: snapshot.version });
    void this.appender.append(snapshot);
  }
}
