/**
 * Recognises a late copy of an answer within a body. An endpoint may write part of an answer and then
 * the whole of it, or of an earlier one, again: the copy's head then fills up the body.
 */

/** What every head of a response begins with. */
const HEAD_START = "HTTP/1.";
const STATUS_LINE_PATTERN = /^HTTP\/1\.[01] \d{3}( .*)?$/;
const HEADER_LINE_PATTERN = /^([^\s:]+):[ \t]*(.*)$/;
/** A line that was cut within a status line, from its first bytes on. */
const CUT_STATUS_LINE_PATTERN = /^HTTP\/1\.([01]( (\d{0,3}|\d{3} .*))?)?\r?$/;
const CUT_HEADER_NAME_PATTERN = /^[^\s:]*$/;
/** Maximum length of a line of a head, in bytes; bounds the time that a search takes. */
const MAX_LINE_BYTES = 1024;
/** Maximum length of a cut head that is looked for at the end of a body, in bytes. */
const MAX_CUT_HEAD_BYTES = 4096;
const LINE_FEED = 10;

/**
 * Checks whether bytes contain the head of a response to a request of the connection. The status
 * line alone is no sign: a body may talk about HTTP.
 *
 * @param isOwn - checks whether headers, names and values alternating, name such a request
 * @example
 * containsOwnHead(body, (headers) => codec.readAnsweredId(headers) === "r7");
 */
export function containsOwnHead(
  bytes: Buffer,
  isOwn: (headers: readonly string[]) => boolean,
): boolean {
  let start = bytes.indexOf(HEAD_START);
  while (start >= 0) {
    const headers = readHeadersAt(bytes, start);
    if (headers.length > 0 && isOwn(headers)) return true;
    start = bytes.indexOf(HEAD_START, start + HEAD_START.length);
  }
  return false;
}

/**
 * Checks whether bytes end within what could be the head of a response. Only what came behind them
 * says whether it is one.
 *
 * @example
 * isCutInHead(Buffer.from("sheet HTTP/1.1 200 OK\r\nx-i")); // true
 */
export function isCutInHead(bytes: Buffer): boolean {
  const tail = bytes.subarray(-MAX_CUT_HEAD_BYTES).toString("latin1");
  const start = tail.lastIndexOf(HEAD_START);
  if (start >= 0 && isCutHead(tail.slice(start).split(/\r?\n/))) return true;
  for (let length = 1; length < HEAD_START.length; length += 1) {
    if (tail.endsWith(HEAD_START.slice(0, length))) return true;
  }
  return false;
}

/** Checks lines, of which the last is not whole, for the beginning of a head. */
function isCutHead(lines: readonly string[]): boolean {
  const [statusLine = "", ...headers] = lines;
  const last = headers.pop()?.replace(/\r$/, "");
  if (last === undefined) return CUT_STATUS_LINE_PATTERN.test(statusLine);
  if (!STATUS_LINE_PATTERN.test(statusLine)) return false;
  if (!headers.every((line) => HEADER_LINE_PATTERN.test(line))) return false;
  return CUT_HEADER_NAME_PATTERN.test(last) || HEADER_LINE_PATTERN.test(last);
}

/** Reads the whole header lines after a status line; none if no status line begins there. */
function readHeadersAt(bytes: Buffer, start: number): readonly string[] {
  const headers: string[] = [];
  let line = readLineAt(bytes, start);
  if (line === undefined || !STATUS_LINE_PATTERN.test(line.text)) return headers;
  for (;;) {
    line = readLineAt(bytes, line.end);
    const match = HEADER_LINE_PATTERN.exec(line?.text ?? "");
    if (line === undefined || match === null) return headers;
    headers.push(match[1] ?? "", (match[2] ?? "").trim());
  }
}

/** Reads a line without its end; returns undefined if it is too long or not whole. */
function readLineAt(bytes: Buffer, start: number): { text: string; end: number } | undefined {
  const line = bytes.subarray(start, start + MAX_LINE_BYTES);
  const feed = line.indexOf(LINE_FEED);
  if (feed < 0) return undefined;
  const text = line.toString("latin1", 0, feed).replace(/\r$/, "");
  return { text, end: start + feed + 1 };
}
