// Prints how fast restarted instances recovered, from the log of a simulated day (run ... --log all): the times from
// each start within the day until the instance was ready and until it sent its first answer.
// Usage: node deploy/recovery.mjs LOG...
import { readFileSync } from "node:fs";

/** Starts up to this time of a day, in seconds, are initial starts and not recoveries. */
const INITIAL_START_S = 0;

/** Parses a log line, which holds the simulated time, the instance and a JSON object; undefined for other lines. */
function parseLine(line) {
  const jsonIndex = line.indexOf('{"level"');
  if (jsonIndex < 0) return undefined;
  const [at, instance] = line.slice(0, jsonIndex).trim().split(/ +/);
  return { at: Number(at), instance, event: JSON.parse(line.slice(jsonIndex)).event };
}

/** Lists the starts of all instances within the day, each with the times of its readiness and its first answer. */
function listStarts(lines) {
  const starts = [];
  const latestByInstance = new Map();
  for (const { at, instance, event } of lines) {
    if (event === "started") {
      const start = { instance, at, readyAt: undefined, answeredAt: undefined };
      latestByInstance.set(instance, start);
      starts.push(start);
    }
    const start = latestByInstance.get(instance);
    if (start !== undefined && event === "ready") start.readyAt ??= at;
    if (start !== undefined && event === "answered") start.answeredAt ??= at;
  }
  return starts.filter((start) => start.at > INITIAL_START_S);
}

function formatStatistics(values) {
  const sorted = values.filter((value) => !Number.isNaN(value)).sort((a, b) => a - b);
  if (sorted.length === 0) return "none";
  const median = sorted[Math.floor(sorted.length / 2)];
  return `${sorted.length} of ${values.length}, median ${median.toFixed(2)} s, most ${sorted.at(-1).toFixed(2)} s`;
}

for (const file of process.argv.slice(2)) {
  const lines = readFileSync(file, "utf8")
    .split("\n")
    .map(parseLine)
    .filter((line) => line !== undefined);
  const starts = listStarts(lines);
  const formatDelays = (read) =>
    formatStatistics(starts.map((start) => (read(start) ?? NaN) - start.at));
  console.log(file);
  console.log(`  from start to ready:        ${formatDelays((start) => start.readyAt)}`);
  console.log(`  from start to first answer: ${formatDelays((start) => start.answeredAt)}`);
}
