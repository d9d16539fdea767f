/**
 * Writes lines to a file descriptor without ever blocking, and never more than a bounded number a
 * second: what is beyond, or what a slow reader does not take, is dropped and counted.
 */
import { write } from "node:fs";
import { type Clock, type Moment, MonotonicClock } from "./clock";

/** Bytes that may wait to be written. */
const MAX_WAITING_BYTES = 512 * 1024;
/** Lines that are written in a second; some five for each request at a hundred requests a second. */
const MAX_LINES_PER_SECOND = 500;
const SECOND_MS = 1000;

/** Takes lines. */
export interface LineWriter {
  write(line: string): void;
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
  private isWriting = false;
  private droppedLines = 0;
  private reportedLines = 0;
  private secondEnd: Moment = 0;
  private linesInSecond = 0;

  constructor(
    private readonly writeBytes: ByteWriter,
    private readonly clock: Clock = new MonotonicClock(),
  ) {}

  get dropped(): number {
    return this.droppedLines;
  }

  write(line: string): void {
    this.turnSecond();
    this.linesInSecond += 1;
    const isOver = this.linesInSecond > MAX_LINES_PER_SECOND;
    if (isOver || this.waitingBytes + line.length > MAX_WAITING_BYTES) {
      this.droppedLines += 1;
      return;
    }
    this.push(line);
  }

  /** The first line of a second says what was dropped before. */
  private turnSecond(): void {
    const now = this.clock.now();
    if (now < this.secondEnd) return;
    this.secondEnd = now + SECOND_MS;
    this.linesInSecond = 0;
    const count = this.droppedLines - this.reportedLines;
    if (count === 0) return;
    this.reportedLines = this.droppedLines;
    this.push(JSON.stringify({ level: "WARN", event: "lines dropped", count }));
  }

  private push(line: string): void {
    this.waiting.push(line);
    this.waitingBytes += line.length;
    if (!this.isWriting) this.flush();
  }

  private flush(): void {
    const bytes = Buffer.from(`${this.waiting.join("\n")}\n`);
    this.waiting = [];
    this.waitingBytes = 0;
    this.isWriting = true;
    this.writeAll(bytes);
  }

  private writeAll(bytes: Buffer): void {
    this.writeBytes(bytes, (error, written) => {
      if (error !== null) this.droppedLines += 1;
      else if (written < bytes.length) {
        this.writeAll(bytes.subarray(written));
        return;
      }
      this.isWriting = false;
      if (this.waiting.length > 0) this.flush();
    });
  }
}
