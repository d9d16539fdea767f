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
