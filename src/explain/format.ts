/**
 * Formats the timeline of a request and the counts of causes as text.
 */
import type { CauseCount } from "./cause";
import { type LogLine, formatValue } from "./line";
import type { RequestTimeline } from "./timeline";

const COLUMN_GAP = "  ";

/**
 * Formats the timeline of a request: one row for each log line, with the milliseconds since the first line.
 *
 * @example
 * formatTimeline(timeline).split("\n")[0]; // "request 7b9aeac52c4352c4, from 2026-01-18T03:21:01.616Z"
 */
export function formatTimeline(timeline: RequestTimeline): string {
  const [first] = timeline.lines;
  if (first === undefined) return "";
  const title = `request ${timeline.request}, from ${new Date(first.at).toISOString()}`;
  const rows = timeline.lines.map((line) => formatCells(line, first.at));
  const besideRows = timeline.beside.map((line) => formatCells(line, first.at));
  const outputLines = [title, ...formatTable(rows)];
  if (besideRows.length > 0) outputLines.push("beside it:", ...formatTable(besideRows));
  return outputLines.join("\n");
}

/**
 * Formats causes as a table.
 *
 * @example
 * formatCauses(counter.list());
 */
export function formatCauses(causes: readonly CauseCount[]): string {
  if (causes.length === 0) return "no refusal and no failure";
  const header = ["count", "ending", "status", "reason", "instances", "example", "cause"];
  const rows = causes.map((item) => [
    String(item.count),
    item.ending,
    item.status,
    item.reason,
    String(item.instances),
    item.example,
    item.cause,
  ]);
  return formatTable([header, ...rows]).join("\n");
}

function formatCells(line: LogLine, start: number): readonly string[] {
  const sign = line.at < start ? "" : "+";
  const fields = line.fields.map(({ name, value }) => `${name}=${formatValue(value)}`);
  return [`${sign}${line.at - start} ms`, line.instance, line.event, fields.join(" ")];
}

function formatTable(rows: readonly (readonly string[])[]): readonly string[] {
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
