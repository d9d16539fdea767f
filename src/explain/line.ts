/**
 * A log line as an instance wrote it, read back.
 */
import * as E from "fp-ts/Either";
import * as t from "io-ts";

const lineCodec = t.intersection([
  t.type({ event: t.string, level: t.string }),
  t.partial({ time: t.string, instance: t.string, request: t.string }),
]);

/** A line. */
export interface LogLine {
  /** When it was written, in milliseconds of the wall clock of its instance. */
  readonly at: number;
  readonly instance: string;
  readonly event: string;
  /** True where it explains a failure or a change of what the process believes. */
  readonly isWarning: boolean;
  /** The request that it is on; undefined where it is on none. */
  readonly request: string | undefined;
  /** All other members, in their order. */
  readonly fields: readonly LogField[];
}

/** A member of a line. */
export interface LogField {
  readonly name: string;
  readonly value: unknown;
}

const HEAD_NAMES = new Set(["time", "level", "instance", "event", "request", "pid", "hostname"]);

/**
 * Parses one line; what stands before its JSON is passed over, as collectors put there what they like.
 *
 * @returns undefined where it is not a line of an instance
 * @example
 * parseLine('{"level":"INFO","time":"2026-01-18T03:21:01.616Z","event":"stopped"}');
 */
export function parseLine(text: string): LogLine | undefined {
  const start = text.indexOf("{");
  if (start < 0) return undefined;
  const value = E.tryCatch(
    () => JSON.parse(text.slice(start)) as unknown,
    () => undefined,
  );
  if (E.isLeft(value) || !lineCodec.is(value.right)) return undefined;
  const { event, level, time, instance, request } = value.right;
  const at = Date.parse(time ?? "");
  if (Number.isNaN(at)) return undefined;
  return {
    at,
    instance: instance ?? "",
    event,
    isWarning: level === "WARN" || level === "ERROR",
    request: request === "" ? undefined : request,
    fields: listFields(value.right),
  };
}

/**
 * Finds a member of a line as text; empty where it has none of that name.
 *
 * @example
 * readText(line, "reason"); // "overloaded"
 */
export function readText(line: LogLine, name: string): string {
  const value = line.fields.find((field) => field.name === name)?.value;
  return value === undefined ? "" : formatValue(value);
}

/** Prints the value of a member. */
export function formatValue(value: unknown): string {
  return typeof value === "string" ? value : JSON.stringify(value);
}

function listFields(value: object): readonly LogField[] {
  return Object.entries(value)
    .filter(([name]) => !HEAD_NAMES.has(name))
    .map(([name, member]) => ({ name, value: member as unknown }));
}
