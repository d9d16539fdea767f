/**
 * Dependencies and helpers that all requests of an instance share.
 */
import type { Clock, Moment } from "../../core/clock";
import type { Logger } from "../../core/log";
import type { EndpointDirectory } from "../../fleet/directory";
import type { EndpointEntry } from "../../fleet/entries";
import type { Regions } from "../../fleet/regions";
import type { Announcer, EndpointGate } from "../limits";
import type { HistoryReader } from "../../fleet/historyreader";
import type { VersionHistory } from "../../fleet/versionhistory";
import type { EndpointClient } from "./client";
import type { Dialer, LinkChecker, PathTracker } from "../tunnels";
import type { ConfirmedProcesses } from "./confirmedprocesses";
import type { Releaser } from "./releaser";
import type { CrashTracker } from "../../core/crashes/tracker";
import type { EndpointCodec, ForwardRequest, LoopDelaySampler, Meter } from "../requests";
import type { HealthTracker } from "./health";
import type { RetryBudget } from "../../core/retrybudget";
import type { EndpointSubsets } from "./subset";
import type {
  ListConfirmer,
  OpenQuestions,
  OriginPublisher,
  SharedOrigins,
  StoredOrigins,
} from "../shared";

/** Dependencies that all requests share. */
export interface ForwardContext {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly meter: Meter;
  readonly loopDelay: LoopDelaySampler;
  readonly directory: EndpointDirectory;
  readonly health: HealthTracker;
  readonly gate: EndpointGate;
  readonly client: EndpointClient;
  readonly dialer: Dialer;
  /** What is known of the ways to endpoints. */
  readonly paths: PathTracker;
  readonly links: LinkChecker;
  readonly releaser: Releaser;
  readonly confirmedProcesses: ConfirmedProcesses;
  readonly codec: EndpointCodec;
  readonly retries: RetryBudget;
  readonly crashes: CrashTracker;
  readonly announcer: Announcer;
  readonly sharedOrigins: SharedOrigins;
  readonly storedOrigins: StoredOrigins;
  readonly originPublisher: OriginPublisher;
  /** The questions after first writers of streams that are under way. */
  readonly openQuestions: OpenQuestions;
  readonly versionHistory: VersionHistory;
  readonly historyReader: HistoryReader;
  readonly listConfirmer: ListConfirmer;
  readonly dataCentre: string;
  readonly subsets: EndpointSubsets;
  readonly regions: Regions;
  /** Returns the wall clock's time, in milliseconds, to compare with that of endpoints. */
  readonly readWallClock: () => number;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

/**
 * Closes the idle connections to an endpoint that went silent and to all endpoints of its data
 * centre: if the data centre is cut off, they are dead too, and only a new connection shows it
 * before a request is sent.
 *
 * @example
 * resetDataCentreConnections(context, endpoint);
 */
export function resetDataCentreConnections(context: ForwardContext, endpoint: EndpointEntry): void {
  const { directory, client, clock } = context;
  client.reset(endpoint.address);
  for (const other of directory.listUsable(clock.now())) {
    if (other.dataCentre === endpoint.dataCentre) client.reset(other.address);
  }
}

/** The arrival and the deadlines of a request. */
export interface RequestTimes {
  readonly arrivedAt: Moment;
  /** When a response is late. */
  readonly softDeadline: Moment;
  /** When the final response is due at the latest. */
  readonly deadline: Moment;
}

/**
 * Computes the deadlines of a request from its route and the timeout of its caller.
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
