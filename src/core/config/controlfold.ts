/**
 * Folds the control stream, which carries configuration records, duty records and snapshots of
 * both.
 *
 * A reader that starts at offset 0 needs no snapshot. A reader that starts later, because the log
 * has trimmed earlier records, waits for a snapshot that reaches back to its start, restores it,
 * and then folds the records it read after the state in the snapshot. So a snapshot never hides a
 * record.
 */
import * as E from "fp-ts/Either";
import * as t from "io-ts";
import { type Configuration, createEmptyConfiguration, documentCodec } from "./objects";
import { createClosed } from "../codec";
import type { DutyAssignment, DutyAssignments } from "../duties";
import { foldDuty } from "../duties";
import { type ConfigState, createConfigState, foldRecord } from "./fold";

const assignmentCodec = t.type({
  duty: t.keyof({ holder: null, controller: null }),
  dataCentre: t.string,
  incarnation: t.string,
  offset: t.number,
  since: t.number,
  epoch: t.number,
  leaseMs: t.number,
  recordId: t.string,
});

/** The folded state as one record, appended before the log trims the records it replaces. */
export const snapshotCodec = createClosed(
  "snapshot record",
  {
    id: t.string,
    /** Offset of the last record folded into the state. */
    foldedTo: t.number,
    version: t.number,
    lastId: t.string,
    document: documentCodec,
    workspacesFirstSeen: t.record(t.string, t.number),
    dataCentresFirstSeen: t.record(t.string, t.number),
    assignments: t.array(assignmentCodec),
  },
  {},
);
export type Snapshot = t.TypeOf<typeof snapshotCodec>;

/** A record of the log with its offset. */
export interface LogRecord {
  readonly offset: number;
  readonly record: unknown;
}

/** Folds the control stream into the current configuration and duties. */
export class ControlFold {
  private config: ConfigState = createConfigState();
  private assignments: DutyAssignments = new Map();
  private nextOffset = 0;
  /** Offset of the first record that can be read, while the state before it is missing. */
  private missingBefore: number | undefined;
  private pendingRecords: LogRecord[] = [];
  private snapshotOffset = -1;

  /** The folded configuration. */
  get state(): ConfigState {
    return this.config;
  }

  /** The folded duties. */
  get duties(): DutyAssignments {
    return this.assignments;
  }

  /** The offset to read from next. */
  get next(): number {
    return this.nextOffset;
  }

  /** True while the state from before the first record read is missing. */
  get isIncomplete(): boolean {
    return this.missingBefore !== undefined;
  }

  /** Offset of the last snapshot seen, or -1. */
  get lastSnapshotOffset(): number {
    return this.snapshotOffset;
  }

  /**
   * Skips records that the log has trimmed. The state stays incomplete until a snapshot closes the
   * gap; does nothing if there is no gap.
   *
   * @param earliest - the lowest offset that is still kept
   */
  skipTo(earliest: number): void {
    if (earliest <= this.nextOffset) return;
    this.missingBefore = earliest;
    this.pendingRecords = [];
    this.nextOffset = earliest;
  }

  /**
   * Folds one record and advances the next offset; ignores a record that was folded before. While
   * earlier state is missing, records are held back until a snapshot closes the gap.
   */
  fold(logRecord: LogRecord): void {
    if (logRecord.offset < this.nextOffset) return;
    this.nextOffset = logRecord.offset + 1;
    const isSnapshot = snapshotCodec.is(logRecord.record);
    if (isSnapshot) this.snapshotOffset = logRecord.offset;
    if (this.missingBefore === undefined) {
      if (!isSnapshot) this.foldOne(logRecord);
      return;
    }
    this.pendingRecords.push(logRecord);
    if (snapshotCodec.is(logRecord.record)) this.restore(logRecord.record);
  }

  /**
   * Restores the state of a snapshot from the log or a peer. A snapshot that leaves a gap, or that
   * is no newer than a complete state, is ignored.
   *
   * @returns whether the state was restored
   */
  restore(snapshot: Snapshot): boolean {
    const hasGap = snapshot.foldedTo + 1 < (this.missingBefore ?? 0);
    const isNewer = this.missingBefore !== undefined || snapshot.foldedTo >= this.nextOffset;
    if (hasGap || !isNewer) return false;
    this.config = {
      version: snapshot.version,
      lastId: snapshot.lastId,
      configuration: { ...createEmptyConfiguration(), ...snapshot.document } as Configuration,
      workspacesFirstSeen: snapshot.workspacesFirstSeen,
      dataCentresFirstSeen: snapshot.dataCentresFirstSeen,
    };
    this.assignments = new Map(
      snapshot.assignments.map((item: DutyAssignment) => [`${item.duty}/${item.dataCentre}`, item]),
    );
    this.missingBefore = undefined;
    this.nextOffset = Math.max(this.nextOffset, snapshot.foldedTo + 1);
    const laterRecords = this.pendingRecords.filter((item) => item.offset > snapshot.foldedTo);
    this.pendingRecords = [];
    for (const logRecord of laterRecords) this.foldOne(logRecord);
    return true;
  }

  /** Creates a snapshot record of the current state. */
  createSnapshot(id: string): Snapshot {
    return {
      id,
      foldedTo: this.nextOffset - 1,
      version: this.config.version,
      lastId: this.config.lastId,
      document: this.config.configuration,
      workspacesFirstSeen: { ...this.config.workspacesFirstSeen },
      dataCentresFirstSeen: { ...this.config.dataCentresFirstSeen },
      assignments: [...this.assignments.values()],
    };
  }

  private foldOne({ offset, record }: LogRecord): void {
    if (typeof record === "object" && record !== null && "duty" in record) {
      this.assignments = foldDuty(this.assignments, offset, record);
      return;
    }
    const folded = foldRecord(this.config, offset, record);
    if (E.isRight(folded)) this.config = folded.right;
  }
}
