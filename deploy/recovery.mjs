// Prints how fast instances came back, from the lines of a played day (run ... --log all): for each time that an
// instance started within the day, when it was ready and when its first answer went out.
// Usage: node deploy/recovery.mjs LOG...
import { readFileSync } from "node:fs";

/** Starts before this moment of a day, in seconds, are its first. */
const FIRST_START_S = 0;

/** Reads one line: simulated time, instance, JSON. */
function readLine(text) {
  const start = text.indexOf('{"level"');
  if (start < 0) return undefined;
  const [at, instance] = text.slice(0, start).trim().split(/ +/);
  return { at: Number(at), instance, event: JSON.parse(text.slice(start)).event };
}

/** Lists the starts of all instances, with what followed each. */
function listStarts(lines) {
  const starts = [];
  const latest = new Map();
  for (const { at, instance, event } of lines) {
    if (event === "started") {
      const start = { instance, at, readyAt: undefined, answeredAt: undefined };
      latest.set(instance, start);
      starts.push(start);
    }
    const start = latest.get(instance);
    if (start !== undefined && event === "ready") start.readyAt ??= at;
    if (start !== undefined && event === "answered") start.answeredAt ??= at;
  }
  return starts.filter((start) => start.at > FIRST_START_S);
}

function describe(values) {
  const sorted = values.filter((value) => !Number.isNaN(value)).sort((a, b) => a - b);
  if (sorted.length === 0) return "none";
  const middle = sorted[Math.floor(sorted.length / 2)];
  return `${sorted.length} of ${values.length}, median ${middle.toFixed(2)} s, most ${sorted.at(-1).toFixed(2)} s`;
}

for (const file of process.argv.slice(2)) {
  const lines = readFileSync(file, "utf8")
    .split("\n")
    .map(readLine)
    .filter((line) => line !== undefined);
  const starts = listStarts(lines);
  const measure = (read) => describe(starts.map((start) => (read(start) ?? NaN) - start.at));
  console.log(file);
  console.log(`  from start to ready:        ${measure((start) => start.readyAt)}`);
  console.log(`  from start to first answer: ${measure((start) => start.answeredAt)}`);
}
