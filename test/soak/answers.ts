/**
 * What endpoints of a soak must write for a request, so that each byte of an answer shows whose it is, and each event
 * which process of an engine wrote it.
 */
import { CallKind, STREAM_KINDS } from "./history";

/** Number of events of a generation. */
export const EVENT_COUNT = 12;
/** Name of the prompt of a request, as a prefill engine returns it. */
export const HANDLE_PREFIX = "kv-";

/** A page with blank lines, as a proxy writes it in place of the rest of a stream. */
export const PAGE = "<html>\n\n<p>Bad gateway</p>\n\n</html>";
export const PAGE_TYPE = "text/html";

/** Who writes an event. */
export interface EventWriter {
  readonly version: string;
  /** The engine's id, and when its process started. */
  readonly process: string;
}

/** An event as a caller got it. */
export interface ReadEvent extends EventWriter {
  /** Id of the request that it was written for. */
  readonly request: string;
  readonly number: number;
}

/** Who writes where that makes no difference. */
export const ANY_WRITER: EventWriter = { version: "v1", process: "d1@1" };
const EVENT_PATTERN = /^id: (\d+)\ndata: (\S+) (\S+) (\S+) t(\d+)$/;

/**
 * Creates one event of a generation.
 *
 * @example
 * createEvent("r7", 1, { version: "v1", process: "d1@5" }); // "id: 1\ndata: r7 v1 d1@5 t1\n\n"
 */
export function createEvent(id: string, number: number, writer: EventWriter = ANY_WRITER): string {
  return `id: ${number}\ndata: ${id} ${writer.version} ${writer.process} t${number}\n\n`;
}

/**
 * Creates the events of a generation that follow one of them, 0 for all.
 *
 * @example
 * createEvents("r7", 10, writer); // the events 11 and 12
 */
export function createEvents(id: string, after: number, writer: EventWriter): readonly string[] {
  const count = Math.max(0, EVENT_COUNT - after);
  return Array.from({ length: count }, (_, index) => createEvent(id, after + index + 1, writer));
}

/**
 * Creates the whole body of the answer to a request.
 *
 * @example
 * createBody("any", "r7"); // "sheet of r7"
 */
export function createBody(kind: CallKind, id: string): string {
  if (!STREAM_KINDS.has(kind)) return `sheet of ${id}`;
  return createEvents(id, 0, ANY_WRITER).join("");
}

/**
 * Reads the whole events of a body; what is no event of a soak's engine is left out.
 *
 * @example
 * listEvents(createEvent("r7", 1)).length; // 1
 */
export function listEvents(body: string): readonly ReadEvent[] {
  const whole = body.split("\n\n").slice(0, -1);
  return whole.flatMap((text): readonly ReadEvent[] => {
    const match = EVENT_PATTERN.exec(text);
    if (match === null || match[1] !== match[5]) return [];
    const [, , request = "", version = "", process = "", number = ""] = match;
    return [{ request, version, process, number: Number(number) }];
  });
}

/**
 * Checks whether a body is what the engines write for a request, or the beginning of it.
 *
 * @param after - the last event that the caller had before
 * @example
 * isOwnStream("r7", 0, createEvent("r7", 1), false); // true
 */
export function isOwnStream(id: string, after: number, body: string, isWhole: boolean): boolean {
  const events = listEvents(body);
  const numbers = events.map(({ number }, index) => number === after + index + 1);
  const text = events.map((event) => createEvent(event.request, event.number, event)).join("");
  const isOwn = events.every(({ request }) => request === id) && !numbers.includes(false);
  if (!isOwn || !body.startsWith(text)) return false;
  const rest = body.slice(text.length);
  const next = after + events.length + 1;
  return isWhole ? rest === "" && next > EVENT_COUNT : isBeginning(id, next, rest);
}

/** Checks whether text may be the beginning of an event, whoever writes it. */
function isBeginning(id: string, number: number, text: string): boolean {
  if (number > EVENT_COUNT) return text === "";
  const known = `id: ${number}\ndata: ${id} `;
  if (text.length <= known.length) return known.startsWith(text);
  if (!text.startsWith(known)) return false;
  const [version = "", process = "", last = "", ...more] = text.slice(known.length).split(" ");
  const isNamed = /^\w+$/.test(version) && /^[\w@-]*$/.test(process) && more.length === 0;
  return (version === "" || isNamed) && `t${number}\n\n`.startsWith(last);
}
