/**
 * What a crash is counted against: the requests that ran on the crashed process and the parts of
 * their prompts. Answers the fault that crashes were counted against everything that ran there,
 * streams that had been written for seconds included.
 */
import type { Moment } from "../clock";

/**
 * How long after its first event a run may still have crashed its engine, in milliseconds: the
 * known faults strike as an engine begins to write an answer.
 */
const SUSPECT_AFTER_FIRST_EVENT_MS = 500;

/** A request as the crash tracker sees it. */
export interface Suspect {
  /** Hash by which copies of the same request are recognised. */
  readonly fingerprint: string;
  /** Ids of the parts of its prompt that other requests may share. */
  readonly parts: readonly string[];
}

/** What a ban, a completed run or a crash is about. */
export const SubjectKind = {
  request: "request",
  part: "part",
} as const;
export type SubjectKind = (typeof SubjectKind)[keyof typeof SubjectKind];

/** A request, by its fingerprint, or a part of prompts, by its id. */
export interface Subject {
  readonly kind: SubjectKind;
  readonly name: string;
}

/** A run whose stream broke. */
export interface BrokenRun {
  /** When the engine's first event of this run arrived; undefined if none did. */
  readonly firstEventAt: Moment | undefined;
  readonly brokeAt: Moment;
}

/**
 * Checks whether a run may have crashed the engine on which it broke; a run that was being written
 * for long is a bystander.
 *
 * @example
 * isSuspect({ firstEventAt: 1000, brokeAt: 1080 }); // true
 */
export function isSuspect({ firstEventAt, brokeAt }: BrokenRun): boolean {
  if (firstEventAt === undefined) return true;
  return brokeAt - firstEventAt < SUSPECT_AFTER_FIRST_EVENT_MS;
}

/**
 * Checks whether a run has been written for so long that it shows that nothing in the request
 * crashes engines.
 *
 * @example
 * isAcquitted(1000, 1500); // true
 */
export function isAcquitted(firstEventAt: Moment, now: Moment): boolean {
  return !isSuspect({ firstEventAt, brokeAt: now });
}

/**
 * Lists what a request consists of: itself and the parts of its prompt.
 *
 * @example
 * listSubjects({ fingerprint: "f", parts: ["a"] }); // the request f, the part a
 */
export function listSubjects({ fingerprint, parts }: Suspect): readonly Subject[] {
  const request = { kind: SubjectKind.request, name: fingerprint };
  return [request, ...parts.map((name) => ({ kind: SubjectKind.part, name }))];
}
