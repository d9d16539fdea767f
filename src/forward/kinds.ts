/**
 * Splits what an instance tells its peers into kinds, each with a signature that changes only when
 * peers should hear it again. Ages are no part of it: receivers know when a record was written.
 */
import type { Moment } from "../core/clock";
import type { BeatContent } from "../fleet/heartbeat";
import type { KindState } from "../fleet/relay/own";
import { RecordKind } from "../fleet/relay/records";
import { Beat } from "../peer/gen/fleet";

/** Ages are compared as moments, which rounding and delays shift by less than this, in milliseconds. */
const MOMENT_STEP_MS = 100;
/** Completed runs are told again when they are so much newer, in milliseconds. */
const COMPLETION_STEP_MS = 1000;
/** Relative change of a measured speed below which it is not told again. */
const SPEED_STEP = 1.1;

/** The fields of a heartbeat that records carry. */
export type KindContent = Pick<
  BeatContent,
  | "endpointLimits"
  | "crashes"
  | "completions"
  | "partBans"
  | "departures"
  | "absences"
  | "lostEndpoints"
  | "engineSpeeds"
  | "refused"
  | "evacuations"
  | "coldEndpoints"
  | "pacedEndpoints"
>;

/**
 * Creates the state of each kind.
 *
 * @example
 * createKindStates(peerState.createBeatContent(), clock.now());
 */
export function createKindStates(content: KindContent, now: Moment): readonly KindState[] {
  const { endpointLimits, crashes, completions, partBans } = content;
  const {
    departures,
    absences,
    lostEndpoints,
    engineSpeeds,
    refused,
    evacuations,
    coldEndpoints,
    pacedEndpoints,
  } = content;
  const at = (ageMs: number | undefined, stepMs = MOMENT_STEP_MS) =>
    Math.round((now - (ageMs ?? 0)) / stepMs);
  return [
    createState(RecordKind.limits, { endpointLimits }, [
      endpointLimits.map(({ ageMs, ...limit }) => [limit, at(ageMs)]),
    ]),
    createState(RecordKind.crashes, { crashes, completions, partBans }, [
      crashes.map(({ process, fingerprint, parts }) => [process, fingerprint, parts]),
      completions.map(({ ageMs, ...run }) => [run, at(ageMs, COMPLETION_STEP_MS)]),
      partBans.map(({ part, strikes, lastCrashAgeMs }) => [part, strikes, at(lastCrashAgeMs)]),
    ]),
    createState(RecordKind.departures, { departures }, [departures]),
    createState(RecordKind.absences, { absences }, [
      absences.map(({ engine, remainingMs }) => [engine, at(-remainingMs)]),
    ]),
    createState(RecordKind.lostEndpoints, { lostEndpoints }, [lostEndpoints]),
    createState(RecordKind.speeds, { engineSpeeds }, [
      engineSpeeds.map(({ service, tokensPerMs }) => [
        service,
        Math.round(Math.log(tokensPerMs) / Math.log(SPEED_STEP)),
      ]),
    ]),
    createState(RecordKind.refusals, { refused }, [refused]),
    createState(RecordKind.cold, { coldEndpoints }, [
      coldEndpoints.map(({ remainingMs, ...cold }) => [cold, at(-remainingMs)]),
    ]),
    createState(RecordKind.paced, { pacedEndpoints }, [
      pacedEndpoints.map(({ ageMs, ...paced }) => [paced, at(ageMs)]),
    ]),
    createState(RecordKind.evacuations, { evacuations }, [evacuations]),
  ];
}

/** The signature of a kind with nothing to tell is empty. */
function createState(
  kind: RecordKind,
  fields: Partial<KindContent>,
  lists: readonly (readonly unknown[])[],
): KindState {
  const isEmpty = lists.every((list) => list.length === 0);
  return {
    kind,
    signature: isEmpty ? "" : JSON.stringify(lists),
    encode: () => Beat.encode(Beat.fromPartial(fields)).finish(),
  };
}
