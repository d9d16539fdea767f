/**
 * The statuses that a final answer can have (RFC 9110, section 15).
 */

const MIN_STATUS = 200;
const MAX_STATUS = 599;

/**
 * Checks whether a status is one of a final answer. One below announces it; one above has no class, so
 * that nobody can tell what it says.
 *
 * @example
 * isFinalStatus(600); // false
 */
export function isFinalStatus(status: number): boolean {
  return Number.isInteger(status) && status >= MIN_STATUS && status <= MAX_STATUS;
}
