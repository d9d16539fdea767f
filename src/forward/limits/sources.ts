/**
 * Combines what limits the sends to an endpoint: the limit that it names itself, the one of cold
 * endpoints, and its pace after a start. All of them must allow a send.
 */
import type { Moment } from "../../core/clock";
import type { ColdEndpoints, ColdState } from "./cold";
import type { EndpointLimits, EndpointProcess } from "./limits";
import type { Pacing } from "./pacing";

/** What limits the sends to a process now. */
export interface SendLimit {
  /**
   * The lowest of the rates, in requests a second from all instances together; undefined if only its
   * pace is limited.
   */
  readonly perSecond: number | undefined;
  /** Set while the endpoint is cold. */
  readonly cold: ColdState | undefined;
  /** When it started or recovered; undefined once its pace is not limited. */
  readonly pacedSince: Moment | undefined;
}

/** The sources of limits. */
export class LimitSources {
  constructor(
    readonly limits: EndpointLimits,
    readonly cold: ColdEndpoints,
    /** Undefined if endpoints that start are not limited in their pace. */
    readonly pacing?: Pacing,
  ) {}

  /** Finds the limit of a process; undefined if it has none. */
  find(process: EndpointProcess, now: Moment): SendLimit | undefined {
    const pacedSince = this.pacing?.find(process, now);
    return combineLimits(this.limits.find(process), this.cold.find(process, now), pacedSince);
  }

  /** Checks whether the newest process of an endpoint has a limit. */
  hasLimit(endpoint: string, now: Moment): boolean {
    if (this.pacing?.isPaced(endpoint, now) === true) return true;
    if (this.limits.findWord(endpoint)?.perSecond !== undefined) return true;
    return this.cold.findNewest(endpoint, now) !== undefined;
  }

  /** Checks whether others should be preferred to a process. */
  isAvoided(process: EndpointProcess, now: Moment): boolean {
    return this.limits.isRecent(process, now) || this.cold.find(process, now) !== undefined;
  }

  /** Counts the endpoints that are cold. */
  countCold(endpoints: readonly { readonly id: string }[], now: Moment): number {
    return endpoints.filter(({ id }) => this.cold.findNewest(id, now) !== undefined).length;
  }

  prune(isListed: (endpoint: string) => boolean, now: Moment): void {
    this.limits.prune(isListed, now);
    this.cold.prune(now);
    this.pacing?.prune(isListed, now);
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
  pacedSince?: Moment,
): SendLimit | undefined {
  const rates = [named, cold?.perSecond].filter((rate) => rate !== undefined);
  if (rates.length === 0 && pacedSince === undefined) return undefined;
  const perSecond = rates.length === 0 ? undefined : Math.min(...rates);
  return { perSecond, cold, pacedSince };
}
