/**
 * Translates limits of endpoints into messages to peers and back. Ages stand in place of moments, as
 * each instance has its own clock.
 */
import type { Moment } from "../../core/clock";
import type { EndpointLimit } from "../../peer/gen/fleet";
import type { LimitWord } from "./limits";

/**
 * Encodes a limit.
 *
 * @example
 * encodeLimit(word, clock.now()).ageMs;
 */
export function encodeLimit(word: LimitWord, now: Moment): EndpointLimit {
  const { endpoint, processStartedAt, perSecond, at } = word;
  const ageMs = Math.max(0, Math.round(now - at));
  return {
    endpoint,
    processStartedAt,
    ageMs,
    ...(perSecond === undefined ? {} : { perSecond }),
  };
}

/**
 * Decodes a limit that a peer tells.
 *
 * @example
 * limits.record(decodeLimit(message, clock.now()));
 */
export function decodeLimit(limit: EndpointLimit, now: Moment): LimitWord {
  const { endpoint, processStartedAt, perSecond, ageMs } = limit;
  return { endpoint, processStartedAt, perSecond, at: now - ageMs, isOwn: false };
}
