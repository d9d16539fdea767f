/**
 * Parses the JSON log lines that instances write.
 */
import * as E from "fp-ts/Either";
import * as t from "io-ts";

const lineCodec = t.intersection([
  t.type({ event: t.string, level: t.string }),
  t.partial({ time: t.string, instance: t.string, request: t.string }),
]);

/** A parsed log line. */
export interface LogLine {
  /** When it was written, in milliseconds since the epoch, by the wall clock of its instance. */
  readonly at: number;
  readonly instance: string;
  readonly event: string;
  /** True for the levels WARN and ERROR: a failure, or a change in the state that the instance assumes of others. */
  readonly isWarning: boolean;
  /** Identifier of the request that the line is about; undefined where it is about none. */
  readonly request: string | undefined;
  /** All other fields, in the order of the line. */
  readonly fields: readonly LogField[];
}

/** A field of a log line. */
export interface LogField {
  readonly name: string;
  readonly value: unknown;
}

/** Fields that lines of every event have; they are not listed in `fields`. */
const COMMON_FIELDS = new Set(["time", "level", "instance", "event", "request", "pid", "hostname"]);

/**
 * Parses a log line. Ignores text before the JSON object, as log collectors add prefixes of their own.
 *
 * @returns the line, or undefined where the text is not a log line of an instance
 * @example
 * parseLine('{"level":"INFO","time":"2026-01-18T03:21:01.616Z","event":"stopped"}');
 */
export function parseLine(text: string): LogLine | undefined {
  const start = text.indexOf("{");
  if (start < 0) return undefined;
  const parsed = E.tryCatch(
    () => JSON.parse(text.slice(start)) as unknown,
    () => undefined,
  );
  if (E.isLeft(parsed) || !lineCodec.is(parsed.right)) return undefined;
  const { event, level, time, instance, request } = parsed.right;
  const at = Date.parse(time ?? "");
  if (Number.isNaN(at)) return undefined;
  return {
    at,
    instance: instance ?? "",
    event,
    isWarning: level === "WARN" || level === "ERROR",
    request: request === "" ? undefined : request,
    fields: listFields(parsed.right),
  };
}

/**
 * Formats a field of a log line as text; returns an empty string where the line has no such field.
 *
 * @example
 * formatField(line, "reason"); // "overloaded"
 */
export function formatField(line: LogLine, name: string): string {
  const value = line.fields.find((field) => field.name === name)?.value;
  return value === undefined ? "" : formatValue(value);
}

/** Formats the value of a field: a string as it is, any other value as JSON. */
export function formatValue(value: unknown): string {
  return typeof value === "string" ? value : JSON.stringify(value);
}

function listFields(value: object): readonly LogField[] {
  return Object.entries(value)
    .filter(([name]) => !COMMON_FIELDS.has(name))
    .map(([name, member]) => ({ name, value: member as unknown }));
}
