/**
 * A TCP socket whose end is checked: where the end does not prove that the answer on the connection is
 * whole, the socket fails in its place. Every reader of answers reads from one.
 */
import { Socket } from "node:net";
import { BodyEnd, classifyBodyEnd, findDecisionMoment } from "../core/bodyend";
import type { Moment } from "../core/clock";
import { ConnectionEnder } from "../core/connectionender";
import { ReadFirstTimer } from "../core/readfirst";
import { ConnectionCutError, LateCut } from "./cut";

/** Writes of this size or more may take long, so that their end is tracked, in bytes. */
const LARGE_WRITE_BYTES = 4 * 1024;
/** Codes of the errors by which the operating system reports a reset. */
const RESET_CODES: ReadonlySet<string | undefined> = new Set(["ECONNRESET", "EPIPE"]);

type Callback = (error?: Error | null) => void;

interface WrittenChunk {
  readonly chunk: Buffer | string;
  readonly encoding: BufferEncoding;
}

/** A TCP socket that fails where its end proves nothing. */
export class CheckedSocket extends Socket {
  /** Bytes written since the last ones arrived that answer earlier ones. */
  private requestBytes = 0;
  private sentAt: Moment = Number.NEGATIVE_INFINITY;
  private hasAnswer = false;
  private hasEnd = false;
  private timer: ReadFirstTimer | undefined;
  private readonly lateCut = new LateCut(this);

  /** True once the other side has ended the connection, also while the end is being checked. */
  get isEnding(): boolean {
    return this.hasEnd;
  }

  /** Who ended the connection; undefined before its end. */
  get endedBy(): ConnectionEnder | undefined {
    return this.hasEnd ? ConnectionEnder.endpoint : undefined;
  }

  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    if (chunk === null) {
      this.handleEnd();
      return false;
    }
    this.hasAnswer = true;
    return super.push(chunk, encoding);
  }

  /** Reads; once all that came before a cut was read, the socket fails. */
  override read(size?: number): unknown {
    const chunk: unknown = super.read(size);
    this.lateCut.check();
    return chunk;
  }

  override _write(chunk: Buffer | string, encoding: BufferEncoding, callback: Callback): void {
    super._write(chunk, encoding, this.trackWrite(chunk.length, callback));
  }

  override _writev(chunks: WrittenChunk[], callback: Callback): void {
    const bytes = chunks.reduce((sum, { chunk }) => sum + chunk.length, 0);
    super._writev?.(chunks, this.trackWrite(bytes, callback));
  }

  override _destroy(error: Error | null, callback: Callback): void {
    this.timer?.close();
    super._destroy(this.convertReset(error), callback);
  }

  /** Counts written bytes; those that follow an answer belong to another request. */
  private trackWrite(bytes: number, callback: Callback): Callback {
    if (this.hasAnswer) this.requestBytes = 0;
    this.hasAnswer = false;
    this.requestBytes += bytes;
    if (bytes < LARGE_WRITE_BYTES) {
      this.sentAt = performance.now();
      return callback;
    }
    return (error) => {
      this.sentAt = performance.now();
      callback(error);
    };
  }

  private handleEnd(): void {
    if (this.hasEnd) return;
    this.hasEnd = true;
    const { requestBytes, sentAt } = this;
    const endedAt = performance.now();
    const untakenBytes = this.writableLength;
    const decideAt = findDecisionMoment({ requestBytes, untakenBytes, sentAt, endedAt });
    if (decideAt <= endedAt) {
      this.checkEnd();
      return;
    }
    this.timer = new ReadFirstTimer(decideAt - endedAt, () => {
      this.checkEnd();
      this.read(0);
    });
  }

  private checkEnd(): void {
    if (this.destroyed) return;
    const end = classifyBodyEnd({
      // Node.js asks the operating system the first time only, so this is the only place that asks.
      hasPeer: this.remoteAddress !== undefined,
      isClosedHere: this.writableEnded,
      untakenBytes: this.writableLength,
      endedBy: ConnectionEnder.endpoint,
    });
    if (end === BodyEnd.whole) super.push(null);
    else this.lateCut.set(this.createCut(end));
  }

  /** Has a reset of an open connection fail as a cut, which no reader takes for an end. */
  private convertReset(error: Error | null): Error | null {
    const { code, syscall } = (error ?? {}) as NodeJS.ErrnoException;
    if (error === null || !RESET_CODES.has(code) || syscall === "connect") return error;
    return this.createCut(BodyEnd.reset, error);
  }

  private createCut(reason: BodyEnd, cause?: Error): ConnectionCutError {
    const { bytesRead: receivedBytes, requestBytes, writableLength: untakenBytes } = this;
    return new ConnectionCutError({ reason, receivedBytes, requestBytes, untakenBytes }, cause);
  }
}
