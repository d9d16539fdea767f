/**
 * Tells the answers that delimit their bodies by themselves from those that end with their connection.
 */

const LENGTH_HEADER = "content-length";
const CODING_HEADER = "transfer-encoding";
const CHUNKED = "chunked";
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** A header of an answer. */
export interface HeaderField {
  /** In any case. */
  readonly name: string;
  readonly value: string;
}

/**
 * Checks for chunks, a length, or a status without a body. A body whose last coding is not chunks ends
 * with its connection, whatever length its head names.
 *
 * @example
 * hasFraming(200, [{ name: "Content-Length", value: "7" }]); // true
 */
export function hasFraming(status: number, fields: readonly HeaderField[]): boolean {
  if (status === NO_CONTENT || status === NOT_MODIFIED) return true;
  const find = (wanted: string) => fields.filter(({ name }) => name.toLowerCase() === wanted);
  const codings = find(CODING_HEADER).flatMap(({ value }) => value.split(","));
  if (codings.length > 0) return codings.at(-1)?.trim().toLowerCase() === CHUNKED;
  return find(LENGTH_HEADER).length > 0;
}
