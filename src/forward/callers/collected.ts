/**
 * Collects a stream for a caller that knows no chunks, so that it can be sent with a length: a length alone keeps what
 * a process that dies has not written from looking complete.
 */
import type { ByteLease } from "../../core/bytebudget";

/** What becomes of a collected stream. */
export interface CollectedStreamListener {
  /** Called once with the whole body. */
  onWhole(body: Buffer): void;
  /** Called once if the stream breaks off; nothing of it was sent. */
  onCut(message: string): void;
}

/**
 * Collects the bytes of one stream.
 *
 * @example
 * const stream = new CollectedStream(lease, { onWhole: send, onCut: refuse });
 * stream.write(bytes);
 * stream.end();
 */
export class CollectedStream {
  private pieces: Buffer[] = [];
  private size = 0;
  private isOver = false;

  /** @param lease - room for the bytes; a stream that finds none breaks off */
  constructor(
    private readonly lease: ByteLease,
    private readonly listener: CollectedStreamListener,
  ) {}

  write(bytes: Buffer): void {
    if (this.isOver) return;
    this.size += bytes.length;
    this.pieces.push(bytes);
    if (!this.lease.tryResize(this.size)) this.cut("there is no room to collect the stream");
  }

  /** Ends the stream as complete. */
  end(): void {
    if (this.isOver) return;
    this.isOver = true;
    this.listener.onWhole(Buffer.concat(this.pieces));
    this.pieces = [];
  }

  /** Ends the stream as one that broke off. */
  cut(message = "the stream broke off"): void {
    if (this.isOver) return;
    this.isOver = true;
    this.pieces = [];
    this.lease.update(0);
    this.listener.onCut(message);
  }
}
