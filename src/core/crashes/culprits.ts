/**
 * Finds the prompt parts that explain crashes. Answers the fault that crashes were counted by whole
 * requests, so that requests which share only the part that crashes engines never added up.
 *
 * A part is a culprit if it was in three crashes, in different requests, and no other part was in
 * all of them. More is asked of parts that are trusted, since popular parts are in most crashes: those
 * that completed before, and those that were in several requests of each crash. Crashes that a culprit
 * explains don't count against other parts, so that the fewest parts that explain all crashes are
 * found.
 */
import type { Moment } from "../clock";
import { CRASH_MEMORY_MS, type Crash } from "./memory";
import { groupByMoment, listOwnCrashes } from "./moments";

/** Crashes after which a part that never completed is a culprit if no other part was in all. */
const CRASHES_TO_BAN_PART = 3;
/** Crashes after which parts that were in the same ones are culprits together. */
const CRASHES_TO_BAN_TIED = 5;
/** Moments with crashes after which a trusted part is a culprit. */
const MOMENTS_TO_BAN_TRUSTED = 5;
/** Different requests that a culprit was in; the crashes of a single one are its own. */
const MIN_REQUESTS = 2;
/**
 * Mean number of requests with a part in each crash from which it is trusted: the first of several
 * requests with a part that crashes engines ends the run of the others.
 */
const SHARED_REQUESTS = 3;
/** Number of parts that are compared with each other: those in the most crashes. */
const MAX_COMPARED = 256;

/** Reads when a run with the part last completed; undefined if none did. */
export type CompletionReader = (part: string) => Moment | undefined;

/** What speaks against a part. */
interface PartEvidence {
  readonly part: string;
  /** The crashes since its last completed run. */
  readonly crashes: ReadonlySet<Crash>;
  /** Fingerprints of the requests with the part in these crashes. */
  readonly requests: ReadonlySet<string>;
  /** Whether it completed in the time before these crashes, or is shared by bystanders. */
  readonly isTrusted: boolean;
}

/** A part that explains crashes, with the inputs that decided. */
export interface Culprit {
  readonly part: string;
  /** Number of crashes that it explains. */
  readonly crashes: number;
  /** Number of different requests with the part in them. */
  readonly requests: number;
  /** Number of parts, no more trusted, that were in the same crashes. */
  readonly rivals: number;
  /** Whether it completed in the time before these crashes, or is shared by bystanders. */
  readonly isTrusted: boolean;
  readonly firstCrashAt: Moment;
  readonly lastCrashAt: Moment;
}

/**
 * Finds the culprits of crashes, those that explain most crashes first.
 *
 * @param crashes - all crashes, also those that are too young to count against parts: these show
 *   what else crashed at the moment of an older one
 * @param settledAt - the latest moment of a crash that counts
 * @example
 * findCulprits(crashes, now - 60, (part) => completions.get(part)).map((culprit) => culprit.part);
 */
export function findCulprits(
  crashes: readonly Crash[],
  settledAt: Moment,
  readCompletion: CompletionReader,
): readonly Culprit[] {
  const culprits: Culprit[] = [];
  let unexplained = crashes;
  for (;;) {
    const next = chooseCulprits(collectEvidence(unexplained, settledAt, readCompletion));
    if (next.length === 0) return culprits;
    culprits.push(...next);
    const parts = new Set(next.map(({ part }) => part));
    unexplained = listUnexplained(unexplained, parts, readCompletion);
  }
}

/**
 * Lists the crashes that none of the parts explains: none of them was in it, or it has completed
 * since.
 *
 * @example
 * listUnexplained(crashes, new Set(["a"]), () => undefined);
 */
export function listUnexplained(
  crashes: readonly Crash[],
  parts: ReadonlySet<string>,
  readCompletion: CompletionReader,
): readonly Crash[] {
  if (parts.size === 0) return crashes;
  const explains = (part: string, at: Moment) =>
    parts.has(part) && at > (readCompletion(part) ?? -Infinity);
  return crashes.filter(({ at, suspects }) =>
    [...suspects.values()].every((suspect) => !suspect.parts.some((part) => explains(part, at))),
  );
}

function collectEvidence(
  crashes: readonly Crash[],
  settledAt: Moment,
  readCompletion: CompletionReader,
): readonly PartEvidence[] {
  const groups = groupByMoment(crashes);
  const listOwnSettled = (found: ReadonlySet<Crash>) =>
    new Set([...listOwnCrashes(found, groups)].filter(({ at }) => at <= settledAt));
  return [...indexByPart(crashes, readCompletion)]
    .filter(([, found]) => found.size >= CRASHES_TO_BAN_PART)
    .map(([part, found]) => createEvidence(part, listOwnSettled(found), readCompletion))
    .filter((evidence) => evidence.crashes.size >= CRASHES_TO_BAN_PART)
    .sort((a, b) => b.crashes.size - a.crashes.size)
    .slice(0, MAX_COMPARED);
}

/** Indexes the crashes since its last completed run by part. */
function indexByPart(
  crashes: readonly Crash[],
  readCompletion: CompletionReader,
): ReadonlyMap<string, ReadonlySet<Crash>> {
  const crashesByPart = new Map<string, Set<Crash>>();
  for (const crash of crashes) {
    for (const part of listParts(crash)) {
      if (crash.at <= (readCompletion(part) ?? -Infinity)) continue;
      addTo(crashesByPart, part, crash);
    }
  }
  return crashesByPart;
}

function createEvidence(
  part: string,
  crashes: ReadonlySet<Crash>,
  readCompletion: CompletionReader,
): PartEvidence {
  const found = [...crashes].flatMap((crash) => listRequests(crash, part));
  const isShared = found.length >= crashes.size * SHARED_REQUESTS;
  const isTrusted = isShared || hasCompletedBefore(crashes, readCompletion(part));
  return { part, crashes, requests: new Set(found), isTrusted };
}

function listParts({ suspects }: Crash): ReadonlySet<string> {
  return new Set([...suspects.values()].flatMap(({ parts }) => parts));
}

/** Lists the fingerprints of the suspects of a crash that have a part. */
function listRequests({ suspects }: Crash, part: string): readonly string[] {
  return [...suspects.values()]
    .filter(({ parts }) => parts.includes(part))
    .map(({ fingerprint }) => fingerprint);
}

function addTo<T>(sets: Map<string, Set<T>>, key: string, item: T): void {
  const known = sets.get(key);
  if (known === undefined) sets.set(key, new Set([item]));
  else known.add(item);
}

function hasCompletedBefore(crashes: ReadonlySet<Crash>, completedAt: Moment | undefined): boolean {
  if (completedAt === undefined) return false;
  const firstAt = Math.min(...listMoments(crashes));
  return completedAt > firstAt - CRASH_MEMORY_MS;
}

/** Chooses the parts that explain the most crashes; none while it is not decided. */
function chooseCulprits(evidence: readonly PartEvidence[]): readonly Culprit[] {
  // Evidence is sorted by the number of crashes.
  const best = evidence.find((item) => shouldBan(item, listRivals(item, evidence)));
  if (best === undefined) return [];
  const rivals = listRivals(best, evidence);
  return [best, ...rivals]
    .filter(({ requests }) => requests.size >= MIN_REQUESTS)
    .map((item) => createCulprit(item, rivals.length));
}

/** Lists the other parts, no more trusted, that were in all crashes of a part. */
function listRivals(item: PartEvidence, evidence: readonly PartEvidence[]) {
  return evidence.filter(
    (other) =>
      other !== item &&
      (item.isTrusted || !other.isTrusted) &&
      [...item.crashes].every((crash) => other.crashes.has(crash)),
  );
}

function shouldBan(item: PartEvidence, rivals: readonly PartEvidence[]): boolean {
  const { crashes, requests, isTrusted } = item;
  if (requests.size < MIN_REQUESTS) return false;
  if (rivals.some((other) => isBetter(other, item))) return false;
  if (isTrusted) return groupByMoment(crashes).length >= MOMENTS_TO_BAN_TRUSTED;
  return crashes.size >= (rivals.length === 0 ? CRASHES_TO_BAN_PART : CRASHES_TO_BAN_TIED);
}

/** Checks whether a rival explains the crashes of a part better: it is less trusted, or in more. */
function isBetter(rival: PartEvidence, item: PartEvidence): boolean {
  return (item.isTrusted && !rival.isTrusted) || rival.crashes.size > item.crashes.size;
}

function listMoments(crashes: ReadonlySet<Crash>): Moment[] {
  return [...crashes].map(({ at }) => at);
}

function createCulprit(item: PartEvidence, rivals: number): Culprit {
  const { part, crashes, requests, isTrusted } = item;
  const moments = listMoments(crashes);
  return {
    part,
    crashes: crashes.size,
    requests: requests.size,
    rivals,
    isTrusted,
    firstCrashAt: Math.min(...moments),
    lastCrashAt: Math.max(...moments),
  };
}
