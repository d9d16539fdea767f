/**
 * Sockets that remember when their end was read, which may be long before it is decided whether it proves an answer.
 */
import type { Moment } from "../core/clock";
import { CheckedSocket } from "../store/checkedsocket";

/** Time without traffic after which TCP keep-alive probes an open connection, in milliseconds. */
const KEEP_ALIVE_INITIAL_DELAY_MS = 1000;

/** A checked socket that remembers when its end was read. */
export class TimedSocket extends CheckedSocket {
  private endReadAt: Moment | undefined;

  /** When the end of the connection was read; undefined before it. */
  get endedAt(): Moment | undefined {
    return this.endReadAt;
  }

  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    if (chunk === null) this.endReadAt ??= performance.now();
    return super.push(chunk, encoding);
  }
}

/**
 * Opens a TCP socket without delays for small writes, with probes of an idle connection, whose end is checked and timed.
 *
 * @example
 * openTimedSocket("127.0.0.1", 80).once("end", () => undefined);
 */
export function openTimedSocket(host: string, port: number): TimedSocket {
  return new TimedSocket()
    .setNoDelay(true)
    .setKeepAlive(true, KEEP_ALIVE_INITIAL_DELAY_MS)
    .connect({ host, port });
}
