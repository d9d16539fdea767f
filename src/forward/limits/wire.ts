/**
 * Translates limits of endpoints into messages to peers and back. Ages stand in place of moments, as
 * each instance has its own clock.
 */
import type { Moment } from "../../core/clock";
import { roundCount } from "../../peer/count";
import type {
  EndpointCold,
  EndpointLimit,
  PacedEndpoint,
  PermitRequest,
} from "../../peer/gen/fleet";
import type { ColdWord } from "./cold";
import type { LimitWord } from "./limits";
import type { PaceWord } from "./pacing";
import type { PermitAsk } from "./permits";

/** Age of a limit that the endpoint never named; any word that is known is newer. */
const NEVER_MS = 2 ** 32 - 1;

/**
 * Encodes a limit.
 *
 * @example
 * encodeLimit(word, clock.now()).ageMs;
 */
export function encodeLimit(word: LimitWord, now: Moment): EndpointLimit {
  const { endpoint, processStartedAt, perSecond, at } = word;
  const ageMs = roundCount(now - at);
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

/**
 * Encodes how long an endpoint is cold.
 *
 * @example
 * encodeCold(word, clock.now()).remainingMs;
 */
export function encodeCold(word: Omit<ColdWord, "isOwn">, now: Moment): EndpointCold {
  const { endpoint, processStartedAt, endsAt } = word;
  return { endpoint, processStartedAt, remainingMs: roundCount(Math.ceil(endsAt - now)) };
}

/**
 * Decodes how long an endpoint is cold, as a peer tells it.
 *
 * @example
 * cold.record(decodeCold(message, clock.now()), clock.now());
 */
export function decodeCold(cold: EndpointCold, now: Moment): ColdWord {
  const { endpoint, processStartedAt, remainingMs } = cold;
  return { endpoint, processStartedAt, endsAt: now + remainingMs, isOwn: false };
}

/**
 * Encodes what the owner of a limit is asked for. Owners of the build before read only the limit that
 * the endpoint named, and grant everything where there is none.
 *
 * @example
 * await transport.permit(address, encodePermitAsk(ask, clock.now()), 150);
 */
export function encodePermitAsk(ask: PermitAsk, now: Moment): PermitRequest {
  const { process, limit, word, count, outcomes } = ask;
  const { cold, pacedSince } = limit;
  const coldPart = cold && encodeCold({ ...process, endsAt: cold.endsAt }, now);
  return {
    limit: word === undefined ? { ...process, ageMs: NEVER_MS } : encodeLimit(word, now),
    count,
    coldPerSecond: cold?.perSecond ?? 0,
    cold: coldPart,
    paced:
      pacedSince === undefined ? undefined : encodePaced({ ...process, begunAt: pacedSince }, now),
    outcomes,
  };
}

/**
 * Encodes when an endpoint started or recovered.
 *
 * @example
 * encodePaced(word, clock.now()).ageMs;
 */
export function encodePaced(word: Omit<PaceWord, "isOwn">, now: Moment): PacedEndpoint {
  const { endpoint, processStartedAt, begunAt } = word;
  return { endpoint, processStartedAt, ageMs: roundCount(now - begunAt) };
}

/**
 * Decodes when an endpoint started or recovered, as a peer tells it.
 *
 * @example
 * pacing.recordPeer(decodePaced(message, clock.now()), clock.now());
 */
export function decodePaced(paced: PacedEndpoint, now: Moment): PaceWord {
  const { endpoint, processStartedAt, ageMs } = paced;
  return { endpoint, processStartedAt, begunAt: now - ageMs, isOwn: false };
}
