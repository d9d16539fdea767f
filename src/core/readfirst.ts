/**
 * Timers that take the silence of a peer for a fault only after the sockets were read once more.
 *
 * Node.js runs expired timers before it reads sockets. After the process stood still for longer than
 * a timeout, bytes that came in time are still unread when its timer runs. One pass is enough to read
 * them: an immediate set by a timer runs after the next poll phase, which takes every socket that is
 * ready (up to 48 times 1024 of them) and reads at least 64 KB of each, or up to its last byte; and
 * the ticks and promises that follow from a read are done before the next socket's turn. It does not
 * help a peer whose request this process had not written yet when it stood still.
 */
import { LongTimer } from "./timeouts";

/** Runs a callback at the end of a timeout, unless it is closed before or while sockets are read. */
export class ReadFirstTimer {
  private immediate: NodeJS.Immediate | undefined;
  private readonly timer: LongTimer;

  /** @param timeoutMs - the timeout, in milliseconds */
  constructor(timeoutMs: number, onExpired: () => void) {
    this.timer = new LongTimer(timeoutMs, () => {
      this.immediate = setImmediate(onExpired);
    });
  }

  close(): void {
    this.timer.close();
    clearImmediate(this.immediate);
  }
}

/**
 * Waits for a time, in milliseconds, and then until sockets were read once more.
 *
 * @example
 * await pauseAndRead(2600);
 */
export function pauseAndRead(ms: number): Promise<void> {
  return new Promise((resolve) => new ReadFirstTimer(ms, resolve));
}

/**
 * Waits for a result up to a time, in milliseconds, and then until sockets were read once more;
 * undefined after it.
 *
 * @example
 * await waitAtMost(listConfirmer.confirm(arrivedAt), 150);
 */
export function waitAtMost<A>(result: Promise<A>, ms: number): Promise<A | undefined> {
  return Promise.race([result, pauseAndRead(ms).then(() => undefined)]);
}

/**
 * Creates a signal that fires at the end of a timeout, after sockets were read once more; it keeps no
 * process alive.
 *
 * @param timeoutMs - the timeout, in milliseconds
 * @example
 * await client.request({ path: "/", method: "GET", signal: createTimeoutSignal(500) });
 */
export function createTimeoutSignal(timeoutMs: number): AbortSignal {
  const controller = new AbortController();
  const message = "The operation was aborted due to timeout";
  const timer = new LongTimer(timeoutMs, () => {
    setImmediate(() => {
      controller.abort(new DOMException(message, "TimeoutError"));
    });
  });
  timer.unref();
  return controller.signal;
}
