/**
 * How long peers take to answer the opening of a connection, and so how long one is waited for before another is asked as
 * well. Without this, every dial would ask all peers where processors are busy, and make them busier.
 */

/** Weight of one answer in the moving average. */
const ANSWER_WEIGHT = 0.2;
/** An answer is overdue once it takes this many times the mean. */
const OVERDUE_FACTOR = 2;
/** The least wait before another peer is asked as well, in milliseconds. */
const MIN_STAGGER_MS = 100;
/** The longest wait, with which a dial still has the time to ask three peers, in milliseconds. */
const MAX_STAGGER_MS = 150;

/**
 * A moving average of the times of answers.
 *
 * @example
 * const times = new AnswerTimes();
 * times.record(80);
 * times.computeStaggerMs();
 */
export class AnswerTimes {
  private meanMs = 0;

  /** Records how long a peer took to answer, or for how long it has not. */
  record(tookMs: number): void {
    this.meanMs += (tookMs - this.meanMs) * ANSWER_WEIGHT;
  }

  /** Computes how long a peer is asked alone before the next one is asked as well, in milliseconds. */
  computeStaggerMs(): number {
    return Math.min(MAX_STAGGER_MS, Math.max(MIN_STAGGER_MS, this.meanMs * OVERDUE_FACTOR));
  }
}
