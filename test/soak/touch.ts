/**
 * Whether a fault may have a part in how a request ended.
 */
import { PAGE, PAGE_TYPE } from "./answers";
import { FaultKind, type Fault } from "./faults";
import type { Run, Try } from "./history";

/** Time after a fault within which what ends is still put down to it, in milliseconds. */
export const STABILITY_WINDOW_MS = 3000;

/** Faults of an instance's process. */
const PROCESS_KINDS: ReadonlySet<FaultKind> = new Set([
  FaultKind.terminate,
  FaultKind.kill,
  FaultKind.freeze,
]);
/** Faults of a process that it has no part in. */
const UNPLANNED_KINDS: ReadonlySet<FaultKind> = new Set([FaultKind.kill, FaultKind.freeze]);

/**
 * Checks whether a fault lies within a request or shortly before it that excuses its end without a whole answer. Planned
 * work is no excuse, nor is a silence of endpoints, a delay or a fault of the store. That an answer breaks off is excused
 * by a crash of its endpoint, and at an instance that is cut off by what may take away its way to the endpoint.
 *
 * @param runs - the runs of the request
 * @example
 * isExcused(item, runs, history.faults); // true beside a SIGKILL of its instance
 */
export function isExcused(item: Try, runs: readonly Run[], faults: readonly Fault[]): boolean {
  const near = faults.filter((fault) => isOverlapping(fault, item));
  const unplanned = near.filter(({ kind }) => UNPLANNED_KINDS.has(kind));
  if (unplanned.some((fault) => fault.instances.includes(item.instance))) return true;
  if (item.status === 0) return false;
  if (near.some((fault) => isCrashOf(fault, runs))) return true;
  const cuts = near.filter(({ kind }) => kind === FaultKind.cut);
  const isCut = cuts.some((fault) => fault.instances.includes(item.instance));
  return isCut && (unplanned.length > 0 || cuts.some((cut) => isChanging(cut, item)));
}

/**
 * Checks whether an answer is the whole page that an engine wrote in place of the rest of a stream: it has its own type, so that
 * its caller doesn't take it for a stream.
 */
export function isSpoiledPage(item: Try, faults: readonly Fault[]): boolean {
  const isPage = item.isComplete && item.type === PAGE_TYPE && item.body === PAGE;
  const isPlayed = faults.some(
    (fault) => fault.kind === FaultKind.spoil && isOverlapping(fault, item),
  );
  return isPage && isPlayed && item.takenUp !== undefined && item.answeredId === item.id;
}

/** Checks whether the process of a request's instance ran undisturbed for long enough. */
export function isInTouch(item: Try, faults: readonly Fault[]): boolean {
  return !faults.some(
    (fault) =>
      (isProcessFault(fault) || fault.kind === FaultKind.delay) &&
      fault.instances.includes(item.instance) &&
      isOverlapping(fault, item),
  );
}

/** Checks whether a fault is one of an instance's process. */
export function isProcessFault({ kind }: Fault): boolean {
  return PROCESS_KINDS.has(kind);
}

/** Checks whether a fault is the death of an endpoint's process that had one of some runs. */
export function isCrashOf({ kind, endpoints }: Fault, runs: readonly Run[]): boolean {
  return (
    (kind === FaultKind.crash || kind === FaultKind.restart) &&
    runs.some(({ endpoint }) => endpoints.includes(endpoint))
  );
}

/** Checks whether a cut begins or ends within a request or shortly before it. */
function isChanging({ at, until }: Fault, item: Try): boolean {
  return [at, until].some(
    (moment) => moment >= item.sentAt - STABILITY_WINDOW_MS && moment <= item.endedAt,
  );
}

function isOverlapping(fault: Fault, { sentAt, endedAt }: Try): boolean {
  return fault.at <= endedAt && fault.until + STABILITY_WINDOW_MS >= sentAt;
}
