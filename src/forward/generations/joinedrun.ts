/**
 * Records each run that goes on with a stream, as its first event comes: of which process and version, by a list of
 * which age, and with which event. So the log tells a stream of two versions, a gap and a repeat apart.
 */
import type { EndpointEntry } from "../../fleet/entries";
import { createProcessId, type ForwardContext } from "../endpoints";
import type { ForwardRequest } from "../requests";
import { canGoOn, type StreamOrigin } from "../shared";
import type { StreamEvent } from "./events";

/** How the version of the process that is listed now relates to that of the stream's first run. */
export const JoinedVersion = {
  same: "same",
  other: "other",
  /** The engine is not listed, or the first version is not known. */
  unknown: "unknown",
} as const;
export type JoinedVersion = (typeof JoinedVersion)[keyof typeof JoinedVersion];

/** A run that goes on with a stream. */
export interface JoinedRun {
  /** The engine as it was listed when the run was sent. */
  readonly endpoint: EndpointEntry;
  /** The engine that began the stream; undefined if it is not known. */
  readonly origin: StreamOrigin | undefined;
  /** Id of the last event before the run. */
  readonly lastId: string | undefined;
  readonly firstEvent: StreamEvent | undefined;
}

/**
 * Compares the version of a listed process with that of the engine that began a stream.
 *
 * @param listed - the engine as it is listed now
 * @example
 * compareVersion(origin, directory.find("d1")); // "same"
 */
export function compareVersion(
  origin: StreamOrigin | undefined,
  listed: EndpointEntry | undefined,
): JoinedVersion {
  if (origin?.version === undefined || listed === undefined) return JoinedVersion.unknown;
  return canGoOn(origin, listed) ? JoinedVersion.same : JoinedVersion.other;
}

/**
 * Records a run whose first event goes on with a stream.
 *
 * @example
 * recordJoin(context, request, { endpoint, origin, lastId: "39", firstEvent });
 */
export function recordJoin(
  { directory, listConfirmer, logger, meter }: ForwardContext,
  { head, service }: ForwardRequest,
  { endpoint, origin, lastId, firstEvent }: JoinedRun,
): void {
  const listed = directory.find(endpoint.id);
  const version = compareVersion(origin, listed);
  meter.joinedRuns.inc({ service, version });
  logger.info("joined", {
    request: head.id,
    engine: endpoint.id,
    process: createProcessId(endpoint),
    listedProcess: listed && createProcessId(listed),
    originVersion: origin?.version,
    version: listed?.version,
    isSameVersion: version,
    after: lastId ?? "",
    first: firstEvent?.id ?? "",
    listAgeMs: Math.round(listConfirmer.computeAgeMs()),
  });
}

/** A run that was to go on with a stream, and leaves events out. */
export interface LeftOut {
  readonly endpoint: EndpointEntry;
  /** Its first event. */
  readonly event: StreamEvent;
  /** Id of the last event before the run. */
  readonly lastId: string | undefined;
}

/**
 * Records a run of which no event is passed on, as its first one is not the next of the stream.
 *
 * @example
 * recordLeftOut(context, request, { endpoint, event, lastId: "39" });
 */
export function recordLeftOut(
  { logger, meter }: ForwardContext,
  { head, service }: ForwardRequest,
  { endpoint, event, lastId }: LeftOut,
): void {
  meter.leftOutRuns.inc({ service });
  logger.warn("run leaves events out", {
    request: head.id,
    engine: endpoint.id,
    process: createProcessId(endpoint),
    after: lastId ?? "",
    first: event.id ?? "",
  });
}
