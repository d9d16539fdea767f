/**
 * The state of following one feed of the store, and the age from which its copy is read again.
 */
import type { Moment } from "../../core/clock";
import { Freshness } from "../freshness";

/**
 * The share of a bound after which an instance that is not a reader reads by itself; a random part of
 * it earlier, so that not all instances do so at once.
 */
const UNCONFIRMED_SHARE = { max: 0.7, jitter: 0.15 } as const;
/**
 * The same where other instances read for this one: their reads and confirmations come first, and the
 * rest of the bound is enough for an own read.
 */
const MEMBER_UNCONFIRMED_SHARE = { max: 0.9, jitter: 0.1 } as const;
/** The share of a bound after which the second reader of a large fleet reads beside the first. */
const STANDBY_SHARE = 0.65;
/** The part of an instance in reading the store for the fleet. */
export const ReadRole = {
  /** Reads all the time. */
  reader: "reader",
  /** Reads once its copies are not confirmed for a while: the first reader may be gone. */
  standby: "standby",
  /** Reads only what is not confirmed for longer, as others read for it. */
  member: "member",
  /** Reads only what is not confirmed in time. */
  none: "none",
  /** Reads nothing yet. */
  waiting: "waiting",
} as const;
export type ReadRole = (typeof ReadRole)[keyof typeof ReadRole];

/** The state of following one feed. */
export interface FeedState {
  nextOffset: number | undefined;
  readonly freshness: Freshness;
  /** True while a long poll is open. */
  isWaiting: boolean;
  isUnavailable: boolean;
  /** When the store is tried again after a failed call, also by an instance that is not a reader. */
  retryAt: Moment;
  /** Age from which the copy counts as unconfirmed, in milliseconds, by role. */
  readonly maxAgeMs: number;
  readonly memberMaxAgeMs: number;
  readonly standbyMaxAgeMs: number;
}

/**
 * Creates the state of a feed of which nothing was read yet.
 *
 * @param boundMs - within which changes have to be known, in milliseconds
 * @example
 * createFeedState(bounds.configMs);
 */
export function createFeedState(boundMs: number): FeedState {
  const share = UNCONFIRMED_SHARE.max - Math.random() * UNCONFIRMED_SHARE.jitter;
  const memberShare =
    MEMBER_UNCONFIRMED_SHARE.max - Math.random() * MEMBER_UNCONFIRMED_SHARE.jitter;
  return {
    nextOffset: undefined,
    freshness: new Freshness(),
    isWaiting: false,
    isUnavailable: false,
    retryAt: Number.POSITIVE_INFINITY,
    maxAgeMs: boundMs * share,
    memberMaxAgeMs: boundMs * memberShare,
    standbyMaxAgeMs: boundMs * STANDBY_SHARE,
  };
}

/**
 * Returns the age from which a copy is read again by an instance in a role, in milliseconds.
 *
 * @example
 * getMaxAgeMs(state, ReadRole.standby);
 */
export function getMaxAgeMs(state: FeedState, role: ReadRole): number {
  if (role === ReadRole.waiting) return Number.POSITIVE_INFINITY;
  if (role === ReadRole.member) return state.memberMaxAgeMs;
  return role === ReadRole.standby ? state.standbyMaxAgeMs : state.maxAgeMs;
}
