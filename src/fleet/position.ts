/**
 * Positions in the logs of the store. A store that was restored from an earlier copy gives out the
 * same offsets again, for other records; its era then rises. So offsets are compared within one era
 * only, and any position of a later era comes after all positions of an earlier one.
 */

/** Era of a store that does not say its era. */
export const FIRST_ERA = 0;

/** A position in a log. */
export interface LogPosition {
  /** Rises each time that the store is restored. */
  readonly era: number;
  readonly offset: number;
}

/** The start of a log. */
export const LOG_START: LogPosition = { era: FIRST_ERA, offset: 0 };

/**
 * Checks whether a position comes after another one.
 *
 * @example
 * isAfter({ era: 2, offset: 10 }, { era: 1, offset: 900 }); // true
 */
export function isAfter(position: LogPosition, other: LogPosition): boolean {
  if (position.era !== other.era) return position.era > other.era;
  return position.offset > other.offset;
}

/**
 * Chooses the later of two positions.
 *
 * @example
 * chooseLater({ era: 1, offset: 7 }, { era: 1, offset: 9 }); // { era: 1, offset: 9 }
 */
export function chooseLater(position: LogPosition, other: LogPosition): LogPosition {
  return isAfter(position, other) ? position : other;
}

/** A part of a log of which each record was read. */
export interface ReadRange {
  readonly from: LogPosition;
  readonly next: LogPosition;
}

/**
 * Computes the position up to which each record was read, after one more read; a read that begins
 * after it leaves a hole, and the position where it is.
 *
 * @example
 * advanceCounted({ era: 0, offset: 3 }, { from: { era: 0, offset: 2 }, next }); // next
 */
export function advanceCounted(position: LogPosition, { from, next }: ReadRange): LogPosition {
  if (from.era !== position.era || isAfter(from, position)) return position;
  return chooseLater(next, position);
}

/** The own reads of a feed, one after the other. */
export class OwnReads {
  private known: ReadRange | undefined;

  /** The part that the last reads make up; undefined before the first one. */
  get range(): ReadRange | undefined {
    return this.known;
  }

  /**
   * Records a read whose records are applied; those before that it doesn't continue are dropped.
   *
   * @param from - the offset that it began at; undefined for a snapshot, which leaves out what came
   *   and went before it
   * @example
   * directory.ownReads.record(5, { era: 0, offset: 9 });
   */
  record(from: number | undefined, next: LogPosition): void {
    if (from === undefined) return;
    const start = { era: next.era, offset: from };
    const { known } = this;
    const isContinued =
      known?.next.era === next.era && !isAfter(start, known.next) && !isAfter(known.from, start);
    this.known = isContinued
      ? { from: known.from, next: chooseLater(next, known.next) }
      : { from: start, next };
  }
}
