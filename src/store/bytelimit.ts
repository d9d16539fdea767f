/**
 * Closes a connection on which more bytes arrive than it may bring. A limit on bodies alone doesn't
 * stop what a parser discards: interim responses, chunk extensions and reason phrases without end.
 */
import type { Duplex } from "node:stream";

/** A connection that counts the bytes that it received. */
interface CountingSocket extends Duplex {
  readonly bytesRead: number;
}

/** A connection that brought more bytes than it may. */
export class ByteLimitError extends Error {
  override readonly name = "ByteLimitError";
  readonly code = "BYTE_LIMIT_EXCEEDED";
}

/** Limits how many bytes a socket delivers, with those that a parser discards. */
export class ByteLimit {
  private maxDelivered: number;

  constructor(
    private readonly socket: CountingSocket,
    maxBytes: number,
  ) {
    this.maxDelivered = maxBytes;
    socket.on("readable", () => {
      this.check();
    });
  }

  /**
   * Sets how many bytes more may be delivered from now on.
   *
   * @example
   * byteLimit.reset(65_536);
   */
  reset(maxBytes: number): void {
    this.maxDelivered = this.countDelivered() + maxBytes;
  }

  /** Counts without the bytes that wait, as they may follow the end of what is limited. */
  private countDelivered(): number {
    return this.socket.bytesRead - this.socket.readableLength;
  }

  private check(): void {
    if (this.countDelivered() <= this.maxDelivered) return;
    // Without an error, undici takes a response that has no length as whole.
    this.socket.destroy(new ByteLimitError("the connection brought too many bytes"));
  }
}
