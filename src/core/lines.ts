/**
 * Writes lines to a file descriptor without ever blocking, and never more than a bounded number of
 * each kind a second: what is beyond, or what a slow reader does not take, is dropped and counted. Lines
 * that explain a failure are dropped last.
 */
import { write } from "node:fs";
import { type Clock, type Moment, MonotonicClock } from "./clock";

/** Bytes that may wait to be written. */
const MAX_WAITING_BYTES = 512 * 1024;
/** The part of them that routine lines may take; the rest is kept for those that explain. */
const MAX_ROUTINE_BYTES = MAX_WAITING_BYTES / 2;
/** Lines of one kind in a second; an instance takes some hundred requests a second at most. */
const MAX_KIND_LINES_PER_SECOND = 150;
/** Routine lines of all kinds in a second: five for each of these requests. */
const MAX_ROUTINE_LINES_PER_SECOND = 500;
const SECOND_MS = 1000;

/** One line. */
export interface Line {
  /** The line without its end. */
  readonly text: string;
  /** What kind of event it tells of. */
  readonly kind: string;
  /** True where it explains a failed or refused request, or a change of what the process believes. */
  readonly isDiagnostic: boolean;
}

/** Takes lines. */
export interface LineWriter {
  write(line: Line): void;
  /** Lines that were dropped so far. */
  readonly dropped: number;
}

/** Writes bytes; calls back with an error or how many were written. */
export type ByteWriter = (
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
) => void;

/**
 * Creates a writer of bytes to a file descriptor, by the thread pool.
 *
 * @example
 * createByteWriter(1)(Buffer.from("line\n"), () => undefined);
 */
export function createByteWriter(descriptor: number): ByteWriter {
  return (bytes, done) => {
    write(descriptor, bytes, done);
  };
}

/** Lines to a writer of bytes, one write at a time. */
export class BoundedLineWriter implements LineWriter {
  private waiting: string[] = [];
  private waitingBytes = 0;
  /** Bytes of the write under way. */
  private writingBytes = 0;
  private droppedLines = 0;
  private secondEndsAt: Moment = 0;
  private routineCount = 0;
  private readonly kindCounts = new Map<string, number>();
  /** By kind: what was dropped since the last report. */
  private readonly unreportedDrops = new Map<string, number>();

  constructor(
    private readonly writeBytes: ByteWriter,
    private readonly clock: Clock = new MonotonicClock(),
  ) {}

  get dropped(): number {
    return this.droppedLines;
  }

  write(line: Line): void {
    this.startSecondIfDue();
    if (this.hasRoom(line)) this.push(line.text);
    else this.drop(line.kind);
  }

  private hasRoom(line: Line): boolean {
    const kindCount = (this.kindCounts.get(line.kind) ?? 0) + 1;
    this.kindCounts.set(line.kind, kindCount);
    if (kindCount > MAX_KIND_LINES_PER_SECOND) return false;
    if (!line.isDiagnostic) this.routineCount += 1;
    if (!line.isDiagnostic && this.routineCount > MAX_ROUTINE_LINES_PER_SECOND) return false;
    const maxBytes = line.isDiagnostic ? MAX_WAITING_BYTES : MAX_ROUTINE_BYTES;
    return this.waitingBytes + this.writingBytes + line.text.length <= maxBytes;
  }

  private drop(kind: string): void {
    this.droppedLines += 1;
    this.unreportedDrops.set(kind, (this.unreportedDrops.get(kind) ?? 0) + 1);
  }

  /** The first line of a second says what was dropped before. */
  private startSecondIfDue(): void {
    const now = this.clock.now();
    if (now < this.secondEndsAt) return;
    this.secondEndsAt = now + SECOND_MS;
    this.routineCount = 0;
    this.kindCounts.clear();
    if (this.unreportedDrops.size === 0) return;
    const kinds = Object.fromEntries(this.unreportedDrops);
    const count = [...this.unreportedDrops.values()].reduce((sum, dropped) => sum + dropped, 0);
    const report = JSON.stringify({ level: "WARN", event: "lines dropped", count, kinds });
    if (this.waitingBytes + this.writingBytes + report.length > MAX_WAITING_BYTES) return;
    this.unreportedDrops.clear();
    this.push(report);
  }

  private push(text: string): void {
    this.waiting.push(text);
    this.waitingBytes += text.length;
    if (this.writingBytes === 0) this.flush();
  }

  private flush(): void {
    const bytes = Buffer.from(`${this.waiting.join("\n")}\n`);
    this.waiting = [];
    this.waitingBytes = 0;
    this.writingBytes = bytes.length;
    this.writeAll(bytes);
  }

  private writeAll(bytes: Buffer): void {
    this.writeBytes(bytes, (error, written) => {
      if (error !== null) this.drop("write failed");
      else if (written < bytes.length) {
        this.writeAll(bytes.subarray(written));
        return;
      }
      this.writingBytes = 0;
      if (this.waiting.length > 0) this.flush();
    });
  }
}
