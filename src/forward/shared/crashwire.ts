/**
 * Translates what the crash tracker knows into the fields of heartbeats and back. A crash is sent as
 * one message for each suspect, which older builds read as a crash of one request.
 */
import type { CompletionReport } from "../../core/completions";
import type { CrashKnowledge } from "../../core/crashes/tracker";
import type { CrashReport } from "../../core/crashes/memory";
import { SubjectKind, type Suspect } from "../../core/crashes/suspects";
import { roundCount } from "../../peer/count";
import type { Beat, Completion, Crash } from "../../peer/gen/fleet";

/** The fingerprint in the message of a crash without suspects. */
const NO_SUSPECT = "";

/** The fields of a heartbeat that carry crashes, completed runs and bans. */
export type CrashFields = Pick<Beat, "crashes" | "completions" | "partBans">;

/**
 * Encodes what peers should know of crashes.
 *
 * @example
 * encodeKnowledge(tracker.listKnowledge(clock.now())).crashes.length;
 */
export function encodeKnowledge({ crashes, completions, bans }: CrashKnowledge): CrashFields {
  return {
    crashes: crashes.flatMap(encodeCrash),
    completions: completions.map(encodeCompletion),
    partBans: bans.map(({ part, strikes, lastCrashAgeMs }) => ({
      part,
      strikes: roundCount(strikes),
      lastCrashAgeMs: roundCount(lastCrashAgeMs),
    })),
  };
}

/**
 * Decodes what a peer knows of crashes.
 *
 * @example
 * tracker.mergeKnowledge(decodeKnowledge(beat), clock.now());
 */
export function decodeKnowledge({ crashes, completions, partBans }: CrashFields): CrashKnowledge {
  return {
    crashes: crashes.map(decodeCrash),
    completions: completions.map(decodeCompletion),
    bans: partBans,
  };
}

function encodeCrash({ process, suspects, ageMs }: CrashReport): Crash[] {
  if (suspects.length === 0) return [{ process, fingerprint: NO_SUSPECT, parts: [], ageMs }];
  return suspects.map(({ fingerprint, parts }) => ({
    process,
    fingerprint,
    parts: [...parts],
    ageMs,
  }));
}

function decodeCrash({ process, fingerprint, parts, ageMs }: Crash): CrashReport {
  const suspects: readonly Suspect[] = fingerprint === NO_SUSPECT ? [] : [{ fingerprint, parts }];
  return { process, suspects, ageMs };
}

function encodeCompletion({ subject, ageMs }: CompletionReport): Completion {
  const isPart = subject.kind === SubjectKind.part;
  return {
    fingerprint: isPart ? "" : subject.name,
    part: isPart ? subject.name : "",
    ageMs,
  };
}

function decodeCompletion({ fingerprint, part, ageMs }: Completion): CompletionReport {
  const subject =
    part === ""
      ? { kind: SubjectKind.request, name: fingerprint }
      : { kind: SubjectKind.part, name: part };
  return { subject, ageMs };
}
