/**
 * Tells the answers that delimit their bodies by themselves from those that end with their connection.
 */

const FRAMING_HEADERS: ReadonlySet<string> = new Set(["content-length", "transfer-encoding"]);
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/**
 * Checks for a length, chunks, or a status without a body.
 *
 * @param names - names of the headers, in any case
 * @example
 * hasFraming(200, ["Content-Length"]); // true
 */
export function hasFraming(status: number, names: readonly string[]): boolean {
  if (status === NO_CONTENT || status === NOT_MODIFIED) return true;
  return names.some((name) => FRAMING_HEADERS.has(name.toLowerCase()));
}
