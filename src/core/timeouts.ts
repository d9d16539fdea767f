/**
 * Timeouts that Node.js takes as they are meant: it runs a timer of 2^31 ms or more after 1 ms, and throws
 * where a socket is given a timeout that is negative or not finite.
 */

/** Longest timeout of a timer, in milliseconds. */
export const MAX_TIMEOUT_MS = 2 ** 31 - 1;

/**
 * Bounds a configured timeout; one that is not above zero counts as none.
 *
 * @param ms - the timeout, in milliseconds
 * @returns a timeout from above zero to `MAX_TIMEOUT_MS`, about 25 days
 * @example
 * boundTimeoutMs(15_000); // 15_000
 */
export function boundTimeoutMs(ms: number): number {
  return ms > 0 ? Math.min(ms, MAX_TIMEOUT_MS) : MAX_TIMEOUT_MS;
}

/** A timer of any length. */
export class LongTimer {
  private timer: NodeJS.Timeout;
  private isRef = true;

  /** @param timeoutMs - how long until the callback runs, in milliseconds */
  constructor(
    timeoutMs: number,
    private readonly onExpired: () => void,
  ) {
    this.timer = this.start(timeoutMs);
  }

  /** Lets the process end before the timer does. */
  unref(): void {
    this.isRef = false;
    this.timer.unref();
  }

  close(): void {
    clearTimeout(this.timer);
  }

  private start(leftMs: number): NodeJS.Timeout {
    if (!(leftMs > MAX_TIMEOUT_MS)) return setTimeout(this.onExpired, leftMs);
    return setTimeout(() => {
      this.timer = this.start(leftMs - MAX_TIMEOUT_MS);
      if (!this.isRef) this.timer.unref();
    }, MAX_TIMEOUT_MS);
  }
}
