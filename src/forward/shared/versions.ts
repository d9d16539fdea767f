/**
 * Decides at which engines a stream may go on: those of the software version that began it.
 */
import type { EndpointEntry } from "../../fleet/entries";
import type { StreamOrigin } from "./origins";

/** How far the wall clocks of an instance and of an engine may differ, in milliseconds. */
export const CLOCK_TOLERANCE_MS = 250;

/**
 * Checks whether an engine may go on with a stream.
 *
 * @param origin - undefined for a stream that has no event yet
 * @example
 * canGoOn(origin, engine); // false at another version
 */
export function canGoOn(origin: StreamOrigin | undefined, engine: EndpointEntry): boolean {
  if (origin === undefined) return true;
  return (
    origin.version !== undefined &&
    origin.version === engine.version &&
    origin.service === engine.service
  );
}

/**
 * Drops the version of an origin if another process of its engine, with another version, may have
 * begun the stream: it had started before the first event, and the list said so only later. Entries
 * without a start time don't tell which process was first.
 *
 * @param processes - the processes that the engine has had, also if it is listed no more
 * @example
 * confirmOrigin(origin, directory.processes.list(origin.endpoint)).version;
 */
export function confirmOrigin(
  origin: StreamOrigin,
  processes: readonly EndpointEntry[],
): StreamOrigin {
  const mayBeWrong = processes.some((process) => mayHaveBegun(process, origin));
  return mayBeWrong ? { ...origin, version: undefined } : origin;
}

/**
 * Checks whether a process had started when a stream began, as far as clocks tell.
 *
 * @param processStartedAt - by its own wall clock, in milliseconds
 * @param beganAt - by the wall clock of the instance at which the stream began
 * @example
 * canHaveBegun(5200, 5000); // true: their clocks may differ
 */
export function canHaveBegun(processStartedAt: number, beganAt: number): boolean {
  return processStartedAt <= beganAt + CLOCK_TOLERANCE_MS;
}

/** Checks whether a process of another version than the recorded one may have begun a stream. */
function mayHaveBegun(process: EndpointEntry, origin: StreamOrigin): boolean {
  if (process.version === origin.version && process.service === origin.service) return false;
  return (
    process.processStartedAt >= origin.processStartedAt &&
    canHaveBegun(process.processStartedAt, origin.beganAt)
  );
}
