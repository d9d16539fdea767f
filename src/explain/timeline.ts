/**
 * Collects the log lines of one request from all instances, and lines that give its context: what the instances that
 * handled it logged about their own state and about the endpoints to which the request was sent.
 */
import type { LogLine } from "./line";

/** How long before the first line of a request a line counts as its context, in milliseconds. */
const CONTEXT_BEFORE_MS = 3000;
/**
 * How long after the last line of a request a line counts as its context, in milliseconds; instances detect a crash
 * slightly after it has affected the request.
 */
const CONTEXT_AFTER_MS = 500;
/** Log fields that hold the name or the address of an endpoint. */
const ENDPOINT_FIELDS = new Set(["endpoint", "engine", "prefill", "source", "address", "id"]);
/** Events that affect every request of an instance. */
const INSTANCE_EVENTS = new Set([
  "configuration",
  "store lost",
  "store regained",
  "history trimmed",
  "lines dropped",
  "started",
  "stopping",
  "stopped",
]);

/** The log lines that explain one request. */
export interface RequestTimeline {
  readonly request: string;
  /** The lines of the request, ordered by time. */
  readonly lines: readonly LogLine[];
  /** Lines that are about no request and may explain this one, ordered by time. */
  readonly beside: readonly LogLine[];
}

/**
 * Finds the lines of one request and the lines that may explain it.
 *
 * @param lines - lines of any number of instances, each instance's in the order in which it wrote them
 * @param request - identifier of the request
 * @returns the timeline, or undefined where no line names the request
 * @example
 * findTimeline(lines, "7b9aeac52c4352c4")?.lines.at(-1)?.event; // "refused"
 */
export function findTimeline(
  lines: readonly LogLine[],
  request: string,
): RequestTimeline | undefined {
  const requestLines = sortLines(lines.filter((line) => line.request === request));
  const [first] = requestLines;
  const last = requestLines.at(-1);
  if (first === undefined || last === undefined) return undefined;
  const instances = new Set(requestLines.map((line) => line.instance));
  const endpoints = new Set(requestLines.flatMap(listEndpoints));
  const contextLines = lines.filter(
    (line) =>
      line.request === undefined &&
      line.at >= first.at - CONTEXT_BEFORE_MS &&
      line.at <= last.at + CONTEXT_AFTER_MS &&
      instances.has(line.instance) &&
      (INSTANCE_EVENTS.has(line.event) || listEndpoints(line).some((name) => endpoints.has(name))),
  );
  return { request, lines: requestLines, beside: sortLines(contextLines) };
}

/** Sorts lines by time; lines of the same millisecond keep their order. */
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
