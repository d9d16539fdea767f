/**
 * Bounds of numbers in messages of peers, which a faulty or a newer build may have written: one that
 * cannot be true costs what it stands in, and never the turn or what is computed from it later.
 */

/**
 * Checks the time at which a peer sent a message, in milliseconds of the monotonic clock of its process.
 *
 * @example
 * isSendTime(Number.NaN); // false
 */
export function isSendTime(sentAtMs: number | undefined): sentAtMs is number {
  return sentAtMs !== undefined && isWithin(sentAtMs, 0, Number.MAX_SAFE_INTEGER);
}

/** False also for what is no number. */
function isWithin(value: number, min: number, max: number): boolean {
  return value >= min && value <= max;
}
