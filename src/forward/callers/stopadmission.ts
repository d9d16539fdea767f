/**
 * Decides whether a stopping instance may take a request: only if it can be ended before the platform ends
 * the process. What would be cut is refused at once as not run, so that its caller goes elsewhere.
 */
import type { Moment } from "../../core/clock";
import { createNotRunRefusal, Reason, type Refusal } from "../../core/outcome";
import { type FleetRoute, RetryMode } from "../../fleet/config";

/** How much longer than the longest of late a request may take; one that may run once has no second chance. */
const TIME_FACTOR = { repeatable: 1.25, once: 2 } as const;
/** How much the longest time of a route fades with each answer: hundreds of them make it forgotten. */
const FADING = 0.99;
/** Maximum number of routes whose times are kept. */
const MAX_ROUTES = 512;
/** When the caller may return, in milliseconds: to another instance, at once. */
const RETRY_MS = 1000;

/** A request that asks to be taken. */
export interface StoppingRequest {
  readonly route: Pick<FleetRoute, "name" | "retryMode">;
  /** When its answer is due at the latest. */
  readonly deadline: Moment;
}

/**
 * Takes requests until the instance stops, and then those that can end in time.
 *
 * @example
 * admission.begin(clock.now() + 7300);
 * admission.refuse({ route, deadline }, clock.now()); // undefined if it is taken
 */
export class StopAdmission {
  private readonly longestByRoute = new Map<string, number>();
  private stopAt: Moment = Number.POSITIVE_INFINITY;

  /** @param stopAt - when the requests that are left will be ended */
  begin(stopAt: Moment): void {
    this.stopAt = Math.min(stopAt, this.stopAt);
  }

  /** Records how long an answered request took, from its arrival to its end, in milliseconds. */
  record(route: string, ms: number): void {
    const longest = this.longestByRoute.get(route) ?? 0;
    this.longestByRoute.delete(route);
    this.longestByRoute.set(route, Math.max(ms, longest * FADING));
    const [oldest = ""] = this.longestByRoute.keys();
    if (this.longestByRoute.size > MAX_ROUTES) this.longestByRoute.delete(oldest);
  }

  /** Refuses a request that may not end before the stop; returns undefined for any other. */
  refuse({ route, deadline }: StoppingRequest, now: Moment): Refusal | undefined {
    if (deadline <= this.stopAt) return undefined;
    const isOnce = route.retryMode === RetryMode.once;
    const factor = isOnce ? TIME_FACTOR.once : TIME_FACTOR.repeatable;
    const longestMs = this.longestByRoute.get(route.name) ?? Number.POSITIVE_INFINITY;
    if (longestMs * factor <= this.stopAt - now) return undefined;
    const message = "the instance is stopping, and the request may not end in time";
    return createNotRunRefusal(503, Reason.notReady, message, RETRY_MS);
  }
}
