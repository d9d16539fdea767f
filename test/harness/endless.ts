/**
 * Writers of responses without end. Each writes until its connection is closed, and counts what it
 * wrote.
 */
import type { Socket } from "node:net";

/** Size of one write, in bytes. */
const WRITE_BYTES = 16 * 1024;
/** The writer stops here, in bytes, so that a reader without a bound ends the test. */
const MAX_WRITTEN_BYTES = 256 * 1024 * 1024;
/** Pause between the bytes of a response that trickles, in milliseconds. */
const TRICKLE_INTERVAL_MS = 20;

/** What a writer has written and how its connection ended. */
export class EndlessWriter {
  /** Bytes that the other side's kernel has accepted or the socket still holds. */
  bytesWritten = 0;
  closedConnections = 0;
  private isStopped = false;

  /** Writes a text again and again, as fast as the connection takes it. */
  flood(socket: Socket, start: string, text: string): void {
    this.follow(socket);
    socket.write(start, "latin1");
    const bytes = Buffer.from(text.repeat(Math.ceil(WRITE_BYTES / text.length)), "latin1");
    const canWrite = () => !this.isStopped && !socket.destroyed;
    const writeMore = () => {
      while (canWrite() && this.bytesWritten < MAX_WRITTEN_BYTES) {
        this.bytesWritten += bytes.length;
        if (!socket.write(bytes)) return;
      }
    };
    socket.on("drain", writeMore);
    writeMore();
  }

  /** Writes a text again and again, slowly. */
  trickle(socket: Socket, start: string, text: string): void {
    this.follow(socket);
    socket.write(start, "latin1");
    const timer = setInterval(() => {
      this.bytesWritten += text.length;
      socket.write(text, "latin1");
    }, TRICKLE_INTERVAL_MS);
    socket.once("close", () => {
      clearInterval(timer);
    });
  }

  /** Stops all floods of this writer; their connections stay open. */
  stop(): void {
    this.isStopped = true;
  }

  private follow(socket: Socket): void {
    socket.once("close", () => {
      this.closedConnections += 1;
    });
  }
}
