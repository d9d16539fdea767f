/**
 * Tells crashes that happened at one moment from others: a loss of power ends many processes at
 * once, and says nothing about what ran on them.
 */
import type { Moment } from "../clock";
import type { Crash } from "./memory";

/** Crashes within this time of the first one happened at one moment, in milliseconds. */
const MOMENT_MS = 250;
/** Number of crashes at one moment from which they may have a common cause. */
const MIN_COMMON_CRASHES = 4;
/** The share of them that a request or part must have been in to be their cause. */
const MIN_SHARE = 0.5;

/** Crashes that happened at one moment. */
export type CrashGroup = ReadonlySet<Crash>;

/**
 * Groups crashes by moment, in order.
 *
 * @example
 * groupByMoment(crashes).length; // 1 after a loss of power
 */
export function groupByMoment(crashes: Iterable<Crash>): readonly CrashGroup[] {
  const groups: Set<Crash>[] = [];
  let startedAt: Moment = -Infinity;
  for (const crash of [...crashes].sort((a, b) => a.at - b.at)) {
    const group = groups.at(-1);
    if (group !== undefined && crash.at - startedAt <= MOMENT_MS) group.add(crash);
    else {
      groups.push(new Set([crash]));
      startedAt = crash.at;
    }
  }
  return groups;
}

/**
 * Lists the crashes of a request or part that may be due to it: where many processes crashed at one
 * moment, it must have been in half of them.
 *
 * @param own - the crashes that it was in
 * @param groups - all crashes, by moment
 * @example
 * listOwnCrashes(own, groupByMoment(crashes)).size;
 */
export function listOwnCrashes(
  own: ReadonlySet<Crash>,
  groups: readonly CrashGroup[],
): ReadonlySet<Crash> {
  const found = new Set<Crash>();
  for (const group of groups) {
    const ownOfGroup = [...group].filter((crash) => own.has(crash));
    const isCommon = group.size >= MIN_COMMON_CRASHES;
    if (isCommon && ownOfGroup.length < group.size * MIN_SHARE) continue;
    for (const crash of ownOfGroup) found.add(crash);
  }
  return found;
}
