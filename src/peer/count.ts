/**
 * Bounds numbers for messages to peers: a number that a field cannot have would stop the whole message,
 * and what it counts may come from callers.
 */

/** The largest number that a field of 32 bits can have. */
const MAX_COUNT = 2 ** 32 - 1;

/**
 * Rounds a count to a whole number that a field of 32 bits can have.
 *
 * @example
 * roundCount(5e9); // 4294967295
 */
export function roundCount(value: number): number {
  if (Number.isNaN(value)) return 0;
  return Math.min(MAX_COUNT, Math.max(0, Math.round(value)));
}

/**
 * Rounds an age in milliseconds as a count; undefined where it is endless, or is not known.
 *
 * @example
 * roundAge(Number.POSITIVE_INFINITY); // undefined
 */
export function roundAge(ageMs: number): number | undefined {
  return Number.isFinite(ageMs) ? roundCount(ageMs) : undefined;
}
