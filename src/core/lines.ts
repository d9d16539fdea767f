/**
 * Writes log lines to a file descriptor without ever blocking, and at most a bounded number of
 * lines of each kind per second. Lines beyond the limits, or that a slow reader does not accept,
 * are dropped and counted. Diagnostic lines, which explain a failure, are dropped last.
 */
import { write } from "node:fs";
import { type Clock, type Moment, MonotonicClock } from "./clock";

/** Maximum bytes that may be buffered, including those of the write in progress. */
const MAX_WAITING_BYTES = 512 * 1024;
/** Share of the buffer that routine lines may use; the rest is reserved for diagnostic lines. */
const MAX_ROUTINE_BYTES = MAX_WAITING_BYTES / 2;
/**
 * Limit of lines of one kind per second; an instance handles about a hundred requests a second at
 * most.
 */
const MAX_KIND_LINES_PER_SECOND = 150;
/** Limit of routine lines of all kinds per second: five for each of these requests. */
const MAX_ROUTINE_LINES_PER_SECOND = 500;
const SECOND_MS = 1000;

/** A log line. */
export interface Line {
  /** The line without a line terminator. */
  readonly text: string;
  /** The kind of event, by which lines are limited and counted. */
  readonly kind: string;
  /**
   * True where the line explains a failed or refused request, or a change in the state that the
   * process assumes.
   */
  readonly isDiagnostic: boolean;
}

/** Accepts log lines. */
export interface LineWriter {
  write(line: Line): void;
  /** Number of lines dropped so far. */
  readonly dropped: number;
}

/** Writes bytes; calls back with an error or the number of bytes written. */
export type ByteWriter = (
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
) => void;

/**
 * Creates a byte writer for a file descriptor, which writes on the thread pool of Node.js.
 *
 * @example
 * createByteWriter(1)(Buffer.from("line\n"), () => undefined);
 */
export function createByteWriter(descriptor: number): ByteWriter {
  return (bytes, done) => {
    write(descriptor, bytes, done);
  };
}

/** Buffers lines and passes them to a byte writer, one write at a time. */
export class BoundedLineWriter implements LineWriter {
  private waiting: string[] = [];
  private waitingBytes = 0;
  /** Bytes of the write in progress; 0 where there is none. */
  private writingBytes = 0;
  private droppedLines = 0;
  private secondEndsAt: Moment = 0;
  private routineCount = 0;
  private readonly kindCounts = new Map<string, number>();
  /** By kind: lines dropped since the last report. */
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

  /** Resets the limits at the start of each second, and reports the lines dropped before. */
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
