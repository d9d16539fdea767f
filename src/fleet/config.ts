/**
 * The published configuration of a fleet that forwards whole requests: routes, services,
 * workspaces and caller limits, with indexes for the lookups that each request needs.
 */
import { createHash } from "node:crypto";

/** How requests on a route may be retried. */
export const RetryMode = {
  /** A request may run more than once. */
  any: "any",
  /** A request may run at most once. */
  once: "once",
  /** A broken stream may be resumed after its last event. */
  resume: "resume",
} as const;
export type RetryMode = (typeof RetryMode)[keyof typeof RetryMode];

/** A service, weighted by its share of a route's requests. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** Where requests for a host and path prefix are sent, and their time limits. */
export interface FleetRoute {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly services: readonly WeightedService[];
  readonly retryMode: RetryMode;
  readonly isStream: boolean;
  /** True where callers need no API key. */
  readonly isPublic: boolean;
  /** Maximum time that a request may be kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Target latency within which a response counts as on time, in milliseconds. */
  readonly targetLatencyMs: number;
  /** Priority rank; 0 is the most urgent. */
  readonly priority: number;
  /** Maximum number of endpoints that may run one request. */
  readonly maxAttempts: number;
  /** Regions in which its requests may be run; everywhere if absent or empty. */
  readonly allowedRegions?: readonly string[] | undefined;
}

/** Limits that all engines of a service share. */
export interface EngineLimits {
  /** Requests that an engine runs concurrently. */
  readonly slots: number;
  /** KV cache capacity, in tokens. */
  readonly capacityTokens: number;
  /** How long a prefilled prompt is kept for its decode engine, in milliseconds. */
  readonly handleTtlMs: number;
  /** Maximum time that memory stays reserved before its request arrives, in milliseconds. */
  readonly holdTtlMs: number;
  /** How long an engine is unavailable while it changes its stage, in milliseconds. */
  readonly stageChangeMs: number;
}

/** How many requests a cold endpoint takes from all instances together. */
export interface ColdLimit {
  readonly perSecond: number;
  /** How long an endpoint is cold at most, in milliseconds. */
  readonly startMs: number;
}

/** A group of interchangeable endpoints. */
export interface FleetService {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one endpoint accepts from all callers together. */
  readonly maxConnections: number;
  /** Limits of its engines; undefined for a plain service. */
  readonly engine: EngineLimits | undefined;
  /** Limit of its endpoints while they are cold; absent if they need none. */
  readonly cold?: ColdLimit;
}

/** Rate and burst over the whole fleet, in units of cost. */
export interface RateLimit {
  readonly perSecond: number;
  readonly burst: number;
}

/** The unit in which a workspace is charged for requests. */
export const CostUnit = { tokens: "tokens", requests: "requests" } as const;
export type CostUnit = (typeof CostUnit)[keyof typeof CostUnit];

/** A customer. */
export interface FleetWorkspace {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the priority of the route, where given. */
  readonly priority: number | undefined;
  /** Rate limit; undefined where there is none. */
  readonly limit: RateLimit | undefined;
  readonly unit: CostUnit;
  /** Cost of a request that does not state its size. */
  readonly defaultCost: number;
  /** Regions in which its requests may be run; everywhere if absent or empty. */
  readonly allowedRegions?: readonly string[] | undefined;
}

/** Limits on the size of a caller's request and on the time that it may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headersTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the published configuration. */
export interface FleetConfig {
  readonly version: number;
  readonly routes: readonly FleetRoute[];
  readonly services: readonly FleetService[];
  readonly workspaces: readonly FleetWorkspace[];
  readonly limits: CallerLimits;
}

/** One version of the configuration, indexed for the lookups of requests. */
export class FleetConfigIndex {
  private readonly routesByHost = new Map<string, FleetRoute[]>();
  private readonly workspacesByKeyHash = new Map<string, FleetWorkspace>();
  private readonly workspacesByName = new Map<string, FleetWorkspace>();
  private readonly servicesByName = new Map<string, FleetService>();

  constructor(readonly config: FleetConfig) {
    for (const route of config.routes) this.addRoute(route);
    for (const routes of this.routesByHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const workspace of config.workspaces) {
      this.workspacesByName.set(workspace.name, workspace);
      for (const key of workspace.keys) this.workspacesByKeyHash.set(hashKeyText(key), workspace);
    }
    for (const service of config.services) this.servicesByName.set(service.name, service);
  }

  /**
   * Finds the route of a host whose path prefix is the longest match.
   *
   * @param host - the host name, in any case
   * @param path - the path without the query
   */
  findRoute(host: string, path: string): FleetRoute | undefined {
    return this.routesByHost
      .get(host.toLowerCase())
      ?.find((route) => path.startsWith(route.pathPrefix));
  }

  /** Finds the workspace that an API key belongs to. */
  findWorkspace(key: string): FleetWorkspace | undefined {
    return this.workspacesByKeyHash.get(hashKeyText(key));
  }

  /** Finds a workspace by name. */
  findWorkspaceByName(name: string): FleetWorkspace | undefined {
    return this.workspacesByName.get(name);
  }

  /** Finds a service by name. */
  findService(name: string): FleetService | undefined {
    return this.servicesByName.get(name);
  }

  private addRoute(route: FleetRoute): void {
    const host = route.host.toLowerCase();
    const routes = this.routesByHost.get(host);
    if (routes === undefined) this.routesByHost.set(host, [route]);
    else routes.push(route);
  }
}

/**
 * Chooses the service of a request at random, by the weights of its route.
 *
 * @param point - a uniformly distributed random number, at least 0 and below 1
 * @returns the service, or undefined for a route without services
 * @example
 * chooseService([{ service: "a", weight: 90 }, { service: "b", weight: 10 }], 0.95); // "b"
 */
export function chooseService(
  services: readonly WeightedService[],
  point: number,
): string | undefined {
  const total = services.reduce((sum, item) => sum + item.weight, 0);
  let remaining = point * total;
  for (const item of services) {
    remaining -= item.weight;
    if (remaining < 0) return item.service;
  }
  return services.at(-1)?.service;
}

/**
 * Hashes a key for lookup. Looking keys up by hash prevents timing attacks: the time of a
 * comparison reveals nothing about the key.
 */
function hashKeyText(key: string): string {
  return createHash("sha256").update(key).digest("base64");
}
