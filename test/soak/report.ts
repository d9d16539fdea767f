/**
 * Prints what a soak did and found.
 */
import { describeRequest } from "./checks";
import { describeFault } from "./faults";
import { type Breach, type History, readRefusal, STREAM_KINDS, type Try } from "./history";
import type { SoakPlan, SoakResult } from "./soak";

/** Number of requests of a breach whose history is printed. */
const DESCRIBED_REQUESTS = 5;

/**
 * Formats a result as lines: the seed, how requests fared, and if something was broken the schedule and each breach.
 *
 * @example
 * formatResult(plan, result).join("\n");
 */
export function formatResult(plan: SoakPlan, result: SoakResult): readonly string[] {
  const { history, schedule, breaches, folder } = result;
  const { seed, lengthMs, instances } = plan;
  return [
    `seed ${seed}, ${lengthMs / 1000} s, ${instances} instances: ${breaches.length} breaches`,
    ...countOutcomes(history).map((line) => `  ${line}`),
    `  ${describeStreams(history)}`,
    `  schedule of ${schedule.length} faults, ${history.faults.length} played:`,
    ...history.faults.map((fault) => `    ${describeFault(fault)}`),
    ...breaches.flatMap((breach) => formatBreach(history, breach)),
    ...(breaches.length > 0 ? [`  logs of the instances are in ${folder}`] : []),
  ];
}

function formatBreach(history: History, { rule, message, ids }: Breach): readonly string[] {
  const described = ids.slice(0, DESCRIBED_REQUESTS).flatMap((id) => describeRequest(history, id));
  return [`  ${rule}: ${message}`, ...described.map((line) => `    ${line}`)];
}

/** Says what was seen of streams, so that a soak that met none of what it is for shows it. */
function describeStreams({ tries, runs }: History): string {
  const streams = tries.filter(({ kind }) => STREAM_KINDS.has(kind));
  const takeUps = streams.filter(({ takenUp }) => takenUp !== undefined);
  const isWhole = ({ status, isComplete }: Try) => status === 200 && isComplete;
  const runCount = runs.filter(({ id }) => streams.some((item) => item.id === id)).length;
  return [
    `streams: ${streams.length - takeUps.length}`,
    `${streams.filter(({ isOldCaller }) => isOldCaller).length} requests over HTTP/1.0`,
    `${takeUps.length} take-ups, ${takeUps.filter(isWhole).length} of them whole`,
    `${runCount} runs`,
  ].join(", ");
}

/** Counts how the requests of each kind ended. */
function countOutcomes({ tries }: History): readonly string[] {
  const counts = new Map<string, number>();
  for (const item of tries) {
    const { kind, status, isComplete, failure } = item;
    const end = isComplete ? (readRefusal(item)?.reason ?? "") : `not whole ${failure}`;
    const key = `${kind}: ${status} ${end}`.trim();
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return [...counts].sort().map(([key, count]) => `${count} ${key}`);
}
