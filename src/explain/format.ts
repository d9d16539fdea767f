/**
 * Prints what was found, for people.
 */
import type { CauseCount } from "./cause";
import { type LogLine, formatValue } from "./line";
import type { RequestTimeline } from "./timeline";

const COLUMN_GAP = "  ";

/**
 * Prints the life of a request, a line a step, with the milliseconds since its first.
 *
 * @example
 * formatTimeline(timeline).split("\n")[0]; // "request 7b9aeac52c4352c4, from 2026-01-18T03:21:01.616Z"
 */
export function formatTimeline(timeline: RequestTimeline): string {
  const [first] = timeline.lines;
  if (first === undefined) return "";
  const head = `request ${timeline.request}, from ${new Date(first.at).toISOString()}`;
  const rows = timeline.lines.map((line) => listCells(line, first.at));
  const beside = timeline.beside.map((line) => listCells(line, first.at));
  const parts = [head, ...printTable(rows)];
  if (beside.length > 0) parts.push("beside it:", ...printTable(beside));
  return parts.join("\n");
}

/**
 * Prints causes as a table.
 *
 * @example
 * formatCauses(counter.list());
 */
export function formatCauses(causes: readonly CauseCount[]): string {
  if (causes.length === 0) return "no refusal and no failure";
  const head = ["count", "ending", "status", "reason", "instances", "example", "cause"];
  const rows = causes.map((item) => [
    String(item.count),
    item.ending,
    item.status,
    item.reason,
    String(item.instances),
    item.example,
    item.cause,
  ]);
  return printTable([head, ...rows]).join("\n");
}

function listCells(line: LogLine, start: number): readonly string[] {
  const sign = line.at < start ? "" : "+";
  const fields = line.fields.map(({ name, value }) => `${name}=${formatValue(value)}`);
  return [`${sign}${line.at - start} ms`, line.instance, line.event, fields.join(" ")];
}

function printTable(rows: readonly (readonly string[])[]): readonly string[] {
  const columns = Math.max(...rows.map((row) => row.length));
  const widths = Array.from({ length: columns }, (_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );
  return rows.map((row) =>
    row
      .map((cell, column) => (column === row.length - 1 ? cell : cell.padEnd(widths[column] ?? 0)))
      .join(COLUMN_GAP),
  );
}
