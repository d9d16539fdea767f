/**
 * Writes lines to a file descriptor without ever blocking: what a slow reader does not take is
 * dropped and counted.
 */
import { write } from "node:fs";

/** Bytes that may wait to be written. */
const MAX_WAITING_BYTES = 512 * 1024;

/** Takes lines. */
export interface LineWriter {
  write(line: string): void;
  /** Lines that were dropped so far. */
  readonly dropped: number;
}

/** Lines to a file descriptor, by the thread pool. */
export class AsyncLineWriter implements LineWriter {
  private waiting: string[] = [];
  private waitingBytes = 0;
  private isWriting = false;
  private droppedLines = 0;

  constructor(private readonly descriptor: number) {}

  get dropped(): number {
    return this.droppedLines;
  }

  write(line: string): void {
    if (this.waitingBytes + line.length > MAX_WAITING_BYTES) {
      this.droppedLines += 1;
      return;
    }
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
    write(this.descriptor, bytes, (error, written) => {
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
