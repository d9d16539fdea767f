/**
 * Decides at which engines a stream may go on: those of the software version that began it.
 */
import type { EndpointEntry } from "../../fleet/entries";
import type { StreamOrigin } from "./origins";

/** How far the wall clocks of an instance and of an engine may differ, in milliseconds. */
const CLOCK_TOLERANCE_MS = 250;

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
 * Drops the version of an origin if the engine had started anew, with another version, before the
 * stream began: the list said so only later.
 *
 * @param listed - the engine as it is listed now
 * @example
 * confirmOrigin(origin, directory.find(origin.endpoint)).version;
 */
export function confirmOrigin(
  origin: StreamOrigin,
  listed: EndpointEntry | undefined,
): StreamOrigin {
  const isOtherProcess = listed !== undefined && listed.processStartedAt > origin.processStartedAt;
  if (!isOtherProcess || listed.version === origin.version) return origin;
  const mayHaveBegunIt = listed.processStartedAt <= origin.beganAt + CLOCK_TOLERANCE_MS;
  return mayHaveBegunIt ? { ...origin, version: undefined } : origin;
}
