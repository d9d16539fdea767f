/**
 * Checks of a recorded soak: what callers get at instances that are cut off from all endpoints, and once all faults are
 * over.
 */
import { type Fault, FaultKind, formatSeconds } from "./faults";
import type { Breach, History, Try } from "./history";
import { isInTouch, isProcessFault, STABILITY_WINDOW_MS } from "./touch";

/** The share of what other instances serve that cut ones must serve. */
const SERVED_SHARE = 2 / 3;
/** First tries that may fail at cut instances: a number, and one of so many. */
const FAILED = { count: 10, oneOf: 50 } as const;
/** Time after the last fault from which all is served, in milliseconds. */
const SERVED_AGAIN_MS = 5000;
/** Number of requests without which nothing is shown. */
const LEAST_TRIES = 20;

interface Group {
  readonly count: number;
  readonly failedCount: number;
}

/**
 * Finds cuts at whose instances callers are served far worse than at the others. Where a process stops beside the cut,
 * callers must fare badly in both ways: in number, and against the others.
 */
export function checkCutInstances(history: History): readonly Breach[] {
  const tries = history.tries.filter(isOwed);
  return history.faults
    .filter(({ kind }) => kind === FaultKind.cut)
    .flatMap((cut) => checkCut(cut, { ...history, tries }));
}

/** Finds requests that fail though the last fault is long over. */
export function checkServedAgain({ tries, calmAt }: History): readonly Breach[] {
  const late = tries.filter((item) => isOwed(item) && item.sentAt >= calmAt + SERVED_AGAIN_MS);
  const failed = late.filter(isFailed);
  if (failed.length === 0 && late.length >= LEAST_TRIES) return [];
  const message = `${failed.length} of ${late.length} failed after the last fault had ended`;
  return [{ rule: "RECOVER", message, ids: failed.map(({ id }) => id) }];
}

function checkCut(cut: Fault, { tries, faults }: History): readonly Breach[] {
  const from = cut.at + STABILITY_WINDOW_MS;
  const judged = tries.filter(
    (item) => item.sentAt >= from && item.sentAt < cut.until && isInTouch(item, faults),
  );
  const cutTries = judged.filter(({ instance }) => cut.instances.includes(instance));
  const atCut = countFailures(cutTries);
  const others = countFailures(judged.filter(({ instance }) => !cut.instances.includes(instance)));
  if (others.count === 0) return [];
  const isBeside = faults.some(
    (fault) => isProcessFault(fault) && fault.at < cut.until && fault.until > from,
  );
  if (!isFarWorse(atCut, others, !isBeside)) return [];
  const message =
    `${atCut.failedCount} of ${atCut.count} failed at instances that were cut off at ` +
    `${formatSeconds(cut.at)} s, ${others.failedCount} of ${others.count} at the others`;
  const ids = cutTries.filter(isFailed).map(({ id }) => id);
  return [{ rule: "RECOVER", message, ids }];
}

/** @param isStrict - true to judge the number of failures beyond those at the others by itself */
function isFarWorse(atCut: Group, others: Group, isStrict: boolean): boolean {
  const allowed = FAILED.count + atCut.count / FAILED.oneOf;
  if (atCut.failedCount <= allowed) return false;
  const expected = (atCut.count * others.failedCount) / others.count;
  if (isStrict && atCut.failedCount > allowed + expected) return true;
  return computeServedShare(atCut) < SERVED_SHARE * computeServedShare(others);
}

/**
 * Checks whether a request is owed a whole answer: its caller did not leave, and the engines that it needs are there; those
 * of the version that began a stream may be gone when it is taken up.
 */
function isOwed({ takenUp, isLeft }: Try): boolean {
  return takenUp === undefined && isLeft !== true;
}

function computeServedShare({ count, failedCount }: Group): number {
  return 1 - failedCount / count;
}

function countFailures(tries: readonly Try[]): Group {
  return { count: tries.length, failedCount: tries.filter(isFailed).length };
}

function isFailed({ status, isComplete }: Try): boolean {
  return status !== 200 || !isComplete;
}
