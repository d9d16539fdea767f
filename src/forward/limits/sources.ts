/**
 * Combines what limits the sends to an endpoint: the limit that it names itself, and the one of cold
 * endpoints. The lowest applies.
 */
import type { Moment } from "../../core/clock";
import type { ColdEndpoints, ColdState } from "./cold";
import type { EndpointLimits, EndpointProcess } from "./limits";

/** What limits the sends to a process now. */
export interface SendLimit {
  /** The lowest of the sources, in requests a second from all instances together. */
  readonly perSecond: number;
  /** Set while the endpoint is cold. */
  readonly cold: ColdState | undefined;
}

/** The sources of limits. */
export class LimitSources {
  constructor(
    readonly limits: EndpointLimits,
    readonly cold: ColdEndpoints,
  ) {}

  /** Finds the limit of a process; undefined if it has none. */
  find(process: EndpointProcess, now: Moment): SendLimit | undefined {
    return combineLimits(this.limits.find(process), this.cold.find(process, now));
  }

  /** Checks whether the newest process of an endpoint has a limit. */
  hasLimit(endpoint: string, now: Moment): boolean {
    if (this.limits.findWord(endpoint)?.perSecond !== undefined) return true;
    return this.cold.findNewest(endpoint, now) !== undefined;
  }

  /** Checks whether others should be preferred to a process. */
  isAvoided(process: EndpointProcess, now: Moment): boolean {
    return this.limits.isRecent(process, now) || this.cold.find(process, now) !== undefined;
  }

  prune(isListed: (endpoint: string) => boolean, now: Moment): void {
    this.limits.prune(isListed, now);
    this.cold.prune(now);
  }
}

/**
 * Chooses the lowest of the limits.
 *
 * @example
 * combineLimits(3, undefined)?.perSecond; // 3
 */
export function combineLimits(
  named: number | undefined,
  cold: ColdState | undefined,
): SendLimit | undefined {
  if (named === undefined) return cold && { perSecond: cold.perSecond, cold };
  return { perSecond: Math.min(named, cold?.perSecond ?? named), cold };
}
