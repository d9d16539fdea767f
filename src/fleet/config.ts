/**
 * The published configuration of a fleet that forwards requests whole: routes, services, workspaces
 * and the limits on callers, and the look-ups that each request needs.
 */
import { createHash } from "node:crypto";

/** What may be repeated of the requests on a route. */
export const RetryMode = {
  /** A request may run more than once. */
  any: "any",
  /** A request may run once at most. */
  once: "once",
  /** A stream that broke off may go on from its last event. */
  resume: "resume",
} as const;
export type RetryMode = (typeof RetryMode)[keyof typeof RetryMode];

/** A service and its share of a route's requests. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** Where the requests of a host and path go, and within which times. */
export interface FleetRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly services: readonly WeightedService[];
  readonly retryMode: RetryMode;
  readonly isStream: boolean;
  /** True where no key is needed. */
  readonly isPublic: boolean;
  /** The longest time that a request may be kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** The time within which an answer is on time, in milliseconds. */
  readonly targetLatencyMs: number;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  /** The most endpoints that may run one request. */
  readonly maxAttempts: number;
}

/** What the engines of a service have in common. */
export interface EngineLimits {
  /** Requests that run at once. */
  readonly slots: number;
  /** Memory for KV cache, in tokens. */
  readonly capacityTokens: number;
  /** How long a prefilled prompt waits to be taken, in milliseconds. */
  readonly handleTtlMs: number;
  /** The longest that reserved memory stays reserved before its request comes, in milliseconds. */
  readonly holdTtlMs: number;
  /** How long an engine is away while it changes its stage, in milliseconds. */
  readonly stageChangeMs: number;
}

/** A group of endpoints that can stand in for one another. */
export interface FleetService {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one endpoint takes from all callers together. */
  readonly maxConnections: number;
  /** Absent for a plain service. */
  readonly engine: EngineLimits | undefined;
}

/** Rate and burst over the whole fleet, in units of cost. */
export interface RateLimit {
  readonly perSecond: number;
  readonly burst: number;
}

/** What a request costs a workspace. */
export const CostUnit = { tokens: "tokens", requests: "requests" } as const;
export type CostUnit = (typeof CostUnit)[keyof typeof CostUnit];

/** A customer. */
export interface FleetWorkspace {
  readonly name: string;
  readonly keys: readonly string[];
  /** Goes before the priority of the route. */
  readonly priority: number | undefined;
  /** Absent where there is no limit. */
  readonly limit: RateLimit | undefined;
  readonly unit: CostUnit;
  /** The cost of a request that does not say its size. */
  readonly defaultCost: number;
}

/** Limits on what a caller may send, and how long it may take. */
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

/** A version of the configuration with indexes for the look-ups of requests. */
export class FleetConfigIndex {
  private readonly routesByHost = new Map<string, FleetRoute[]>();
  private readonly workspacesByKeyHash = new Map<string, FleetWorkspace>();
  private readonly servicesByName = new Map<string, FleetService>();

  constructor(readonly config: FleetConfig) {
    for (const route of config.routes) this.addRoute(route);
    for (const routes of this.routesByHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const workspace of config.workspaces) {
      for (const key of workspace.keys) this.workspacesByKeyHash.set(hashKeyText(key), workspace);
    }
    for (const service of config.services) this.servicesByName.set(service.name, service);
  }

  /**
   * Finds the route with the longest prefix of the path.
   *
   * @param path - without the query
   */
  findRoute(host: string, path: string): FleetRoute | undefined {
    return this.routesByHost
      .get(host.toLowerCase())
      ?.find((route) => path.startsWith(route.pathPrefix));
  }

  /** Finds the workspace that a key belongs to. */
  findWorkspace(key: string): FleetWorkspace | undefined {
    return this.workspacesByKeyHash.get(hashKeyText(key));
  }

  /** Finds a service by its name. */
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
 * Chooses the service of a request by the weights of its route.
 *
 * @param point - a number from 0 up to 1, evenly drawn
 * @returns the service, or undefined for a route without one
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

/** Keys are looked up by their hash, so that a comparison tells nothing of a key by its time. */
function hashKeyText(key: string): string {
  return createHash("sha256").update(key).digest("base64");
}
