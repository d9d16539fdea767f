/**
 * The life of one request, from the lines of all instances; and what the instances that had it came to
 * believe of the endpoints that it was sent to.
 */
import type { LogLine } from "./line";

/** How long before the request a change of belief may still explain it, in milliseconds. */
const BEFORE_MS = 3000;
/** How long after its end, in milliseconds: a crash is noticed a little later than felt. */
const AFTER_MS = 500;
/** Members of lines that name an endpoint or where it is. */
const ENDPOINT_FIELDS = new Set(["endpoint", "engine", "prefill", "source", "address", "id"]);
/** Events that concern every request of an instance. */
const GENERAL_EVENTS = new Set([
  "configuration",
  "store lost",
  "store regained",
  "history trimmed",
  "lines dropped",
  "started",
  "stopping",
  "stopped",
]);

/** What became of one request. */
export interface RequestTimeline {
  readonly request: string;
  /** Its lines, in order. */
  readonly lines: readonly LogLine[];
  /** Lines on no request that may explain it, in order. */
  readonly beside: readonly LogLine[];
}

/**
 * Picks the lines of one request, and those that may explain it.
 *
 * @param lines - lines of any number of instances, each instance's in the order in which it wrote them
 * @returns undefined where no line names the request
 * @example
 * findTimeline(lines, "7b9aeac52c4352c4")?.lines.at(-1)?.event; // "refused"
 */
export function findTimeline(
  lines: readonly LogLine[],
  request: string,
): RequestTimeline | undefined {
  const own = sortLines(lines.filter((line) => line.request === request));
  const [first] = own;
  const last = own.at(-1);
  if (first === undefined || last === undefined) return undefined;
  const instances = new Set(own.map((line) => line.instance));
  const endpoints = new Set(own.flatMap(listEndpoints));
  const beside = lines.filter(
    (line) =>
      line.request === undefined &&
      line.at >= first.at - BEFORE_MS &&
      line.at <= last.at + AFTER_MS &&
      instances.has(line.instance) &&
      (GENERAL_EVENTS.has(line.event) || listEndpoints(line).some((name) => endpoints.has(name))),
  );
  return { request, lines: own, beside: sortLines(beside) };
}

/** Sorts by time; lines of the same millisecond stay as they came. */
function sortLines(lines: readonly LogLine[]): readonly LogLine[] {
  return [...lines].sort((a, b) => a.at - b.at);
}

function listEndpoints(line: LogLine): readonly string[] {
  return line.fields.flatMap(({ name, value }) =>
    ENDPOINT_FIELDS.has(name) && typeof value === "string" && value !== "none" && value !== ""
      ? [value]
      : [],
  );
}
