/**
 * What the runs of requests share within an instance.
 */
import type { Clock, Moment } from "../core/clock";
import type { Logger } from "../core/log";
import type { EndpointDirectory, EndpointEntry } from "../fleet/directory";
import type { EndpointClient } from "./client";
import type { CrashTracker } from "../core/crashes";
import type { EndpointCodec, ForwardRequest } from "./messages";
import type { HealthTracker } from "./health";
import type { Meter } from "./meter";
import type { RetryBudget } from "../core/retrybudget";

/** What the runs of requests share. */
export interface ForwardContext {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly meter: Meter;
  readonly directory: EndpointDirectory;
  readonly health: HealthTracker;
  readonly client: EndpointClient;
  readonly codec: EndpointCodec;
  readonly retries: RetryBudget;
  readonly crashes: CrashTracker;
  readonly dataCentre: string;
  /** Gives numbers from 0 up to 1. */
  readonly draw: () => number;
}

/**
 * Gives up the unused connections to all endpoints beside one that went silent: behind a cut of
 * their data centre they are as dead, and only a new connection shows it before a request is sent.
 *
 * @example
 * resetBeside(context, endpoint);
 */
export function resetDataCentreConnections(context: ForwardContext, endpoint: EndpointEntry): void {
  const { directory, client, clock } = context;
  client.reset(endpoint.address);
  for (const other of directory.listUsable(clock.now())) {
    if (other.dataCentre === endpoint.dataCentre) client.reset(other.address);
  }
}

/** The moments of a request. */
export interface RequestTimes {
  readonly arrivedAt: Moment;
  /** When an answer is no longer on time. */
  readonly softDeadline: Moment;
  /** When the request gets its final answer at the latest. */
  readonly deadline: Moment;
}

/**
 * Computes the moments of a request from its route and its caller's patience.
 *
 * @example
 * computeTimes(request, clock.now()).deadline;
 */
export function computeTimes(request: ForwardRequest, arrivedAt: Moment): RequestTimes {
  const { route, head } = request;
  const wholeMs = Math.min(route.timeoutMs, head.callerTimeoutMs ?? route.timeoutMs);
  return {
    arrivedAt,
    softDeadline: arrivedAt + Math.min(route.targetLatencyMs, wholeMs),
    deadline: arrivedAt + wholeMs,
  };
}
