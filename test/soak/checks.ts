/**
 * Checks of a recorded soak: the promises that hold whatever faults are played.
 */
import { createBody, isOwnStream } from "./answers";
import { describeFault, type Fault } from "./faults";
import {
  type Breach,
  getStream,
  type History,
  ONCE_KINDS,
  readRefusal,
  type Run,
  STREAM_KINDS,
  type Try,
} from "./history";
import { checkOrder } from "./order";
import { checkCutInstances, checkServedAgain } from "./recover";
import { isCrashOf, isExcused, isSpoiledPage } from "./touch";

/** A check of one promise. */
export type Check = (history: History) => readonly Breach[];

/** How long after its sending a request surely was read, in milliseconds. */
const READ_MS = 500;
/** How much later than its deadline a request must have its answer, in milliseconds. */
const LATE_MS = 1000;
/** Statuses by which an instance promises that a request was not run and will not be. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const NOT_RUN = "not run";
/** Processes that die amid the runs of a request without which it is not known to crash them. */
const CRASHES_TO_BAN = 2;
const OVER_RATE = "over_rate";
const BANNED = "request_crashes_endpoints";

/** All checks of a soak. */
export const CHECKS: readonly Check[] = [
  checkRunOnce,
  checkNotRun,
  checkUnasked,
  checkAnswers,
  checkOrder,
  checkPrompts,
  checkLost,
  checkDenied,
  checkBans,
  checkRates,
  checkProcessEnds,
  checkKindsServed,
  checkCutInstances,
  checkServedAgain,
];

/** Finds runs of one request beyond the first, where it may run once. */
export function checkRunOnce({ tries, runs }: History): readonly Breach[] {
  const counts = countRuns(runs);
  const repeated = tries.filter(
    ({ id, kind }) => ONCE_KINDS.has(kind) && (counts.get(id) ?? 0) > 1,
  );
  return createBreaches("TWICE", "ran more than once, and may run once", repeated);
}

/** Finds requests that were refused as not run, and have run before or after. */
export function checkNotRun({ tries, runs }: History): readonly Breach[] {
  const counts = countRuns(runs);
  const untrue = tries.filter((item) => isSaidNotRun(item) && counts.has(item.id));
  return createBreaches("REFUSED", "has run, and was refused as not run", untrue);
}

/** Finds runs that no caller asked for. */
export function checkUnasked({ tries, runs }: History): readonly Breach[] {
  const asked = new Set(tries.map(({ id }) => id));
  const unasked = runs.filter(({ id }) => !asked.has(id));
  return createBreaches("UNASKED", "ran, and no caller sent it", unasked);
}

/** Finds answers that are another request's, not what the endpoint must write, or cut short and yet look whole. */
export function checkAnswers({ tries, faults }: History): readonly Breach[] {
  const mixed = tries.filter(
    (item) => item.status === 200 && !isOwnAnswer(item) && !isSpoiledPage(item, faults),
  );
  const foreign = tries.filter(
    ({ id, answeredId }) => answeredId !== undefined && answeredId !== id,
  );
  return [
    ...createBreaches("MIXED", "was not answered with its own whole answer", mixed),
    ...createBreaches("MIXED", "got an answer that names another request", foreign),
  ];
}

/** Finds generations that go on from the prompt of another request. */
export function checkPrompts({ runs }: History): readonly Breach[] {
  const mixed = runs.filter(({ id, promptOf }) => promptOf !== undefined && promptOf !== id);
  return createBreaches("MIXED", "goes on from the prompt of another request", mixed);
}

/** Finds requests that an instance has read, and whose connection ended without a whole answer and without an excuse. */
export function checkLost({ tries, runs, faults }: History): readonly Breach[] {
  const lost = tries.filter((item) => {
    if (item.status !== 0 && item.isComplete) return false;
    if (item.isLeft === true) return false;
    const ownRuns = runs.filter(({ id }) => id === item.id);
    const wasRead = ownRuns.length > 0 || item.endedAt - item.sentAt > READ_MS;
    const isInTime = item.endedAt < item.sentAt + item.patienceMs;
    const isOverdue = item.endedAt > item.sentAt + item.patienceMs + LATE_MS;
    return wasRead && (isInTime || isOverdue) && !isExcused(item, ownRuns, faults);
  });
  return createBreaches("LOST", "was read and got no whole answer", lost);
}

/** Finds sound requests that were denied as if they were not allowed. */
export function checkDenied({ tries }: History): readonly Breach[] {
  const isDenial = ({ status }: Try) => status >= 300 && status < 500;
  const denied = tries.filter((item) => isDenial(item) && !NOT_RUN_STATUSES.has(item.status));
  return createBreaches("DENIED", "is allowed and was denied", denied);
}

/** Finds sound requests that were refused because they would crash endpoints, though engines did not die of them. */
export function checkBans(history: History): readonly Breach[] {
  const banned = history.tries.filter((item) => readRefusal(item)?.reason === BANNED);
  const unfounded = banned.filter((item) => countDeaths(item, history) < CRASHES_TO_BAN);
  return createBreaches("BANNED", "is sound and was banned", unfounded);
}

/** Finds requests that were refused as over their rate, far below which the callers stay. */
export function checkRates({ tries }: History): readonly Breach[] {
  const refused = tries.filter((item) => readRefusal(item)?.reason === OVER_RATE);
  return createBreaches("RATE", "is within its rate and was refused", refused);
}

/** Finds processes that ended by themselves, or failed at a planned stop. */
export function checkProcessEnds({ ends }: History): readonly Breach[] {
  return ends
    .filter(({ isExpected }) => !isExpected)
    .map(({ instance, at, cause }) => ({
      rule: "ENDED",
      message: `the process of ${instance} ended by ${cause} at ${Math.round(at)} ms`,
      ids: [],
    }));
}

/** Finds kinds of requests that were never served, so that a soak that shows nothing does not pass. */
export function checkKindsServed({ tries }: History): readonly Breach[] {
  const served = new Set(tries.filter(isServed).map(({ kind }) => kind));
  const unserved = [...new Set(tries.map(({ kind }) => kind))].filter((kind) => !served.has(kind));
  const message = `never served: ${unserved.length === 0 ? "nothing was sent" : unserved.join(", ")}`;
  return served.size > 0 && unserved.length === 0 ? [] : [{ rule: "SERVED", message, ids: [] }];
}

/**
 * Describes what is known of a request: its answer, its runs, and the faults meanwhile.
 *
 * @example
 * describeRequest(history, "nizwa-1-any-7").join("\n");
 */
export function describeRequest(history: History, id: string): readonly string[] {
  const tries = history.tries.filter((item) => item.id === id);
  const faults = history.faults.filter((fault) =>
    tries.some(({ sentAt, endedAt }) => fault.at <= endedAt && fault.until >= sentAt),
  );
  return [
    ...tries.map(describeTry),
    ...history.runs
      .filter((run) => run.id === id)
      .map(({ endpoint, at }) => `  run at ${endpoint} from ${Math.round(at)} ms`),
    ...faults.map((fault: Fault) => `  meanwhile ${describeFault(fault)}`),
  ];
}

function describeTry(item: Try): string {
  const { id, kind, instance, sentAt, endedAt, status, isComplete, failure } = item;
  const { reason = "", outcome = "" } = readRefusal(item) ?? {};
  const answer = [status, isComplete ? "whole" : "not whole", failure, reason, outcome];
  const times = `${Math.round(sentAt)} to ${Math.round(endedAt)} ms`;
  return `${id} (${kind}) at ${instance}, ${times}: ${answer.filter((part) => part !== "").join(" ")}`;
}

function isServed(item: Try): boolean {
  return item.status === 200 && item.isComplete;
}

function isSaidNotRun(item: Try): boolean {
  const isPromised = ONCE_KINDS.has(item.kind) && NOT_RUN_STATUSES.has(item.status);
  return isPromised || readRefusal(item)?.outcome === NOT_RUN;
}

function isOwnAnswer(item: Try): boolean {
  const { id, kind, body, isComplete, answeredId, takenUp } = item;
  if (STREAM_KINDS.has(kind)) {
    return answeredId === id && isOwnStream(id, takenUp?.after ?? 0, body, isComplete);
  }
  const whole = createBody(kind, id);
  if (answeredId !== id) return false;
  return isComplete ? body === whole : whole.startsWith(body);
}

function countRuns(runs: readonly Run[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const { id } of runs) counts.set(id, (counts.get(id) ?? 0) + 1);
  return counts;
}

/** Counts the deaths of engines amid the runs of a stream, over all requests of its caller before one of them. */
function countDeaths(item: Try, { tries, runs, faults }: History): number {
  const own = tries.filter(
    (one) => getStream(one) === getStream(item) && one.endedAt <= item.endedAt,
  );
  const deaths = faults.filter((fault) =>
    own.some(({ id, endedAt }) => {
      const began = runs.filter((run) => run.id === id && run.at <= fault.until);
      return fault.at <= endedAt && isCrashOf(fault, began);
    }),
  );
  return deaths.length;
}

function createBreaches(
  rule: string,
  message: string,
  items: readonly { readonly id: string }[],
): readonly Breach[] {
  const ids = [...new Set(items.map(({ id }) => id))];
  return ids.map((id) => ({ rule, message: `${id} ${message}`, ids: [id] }));
}
