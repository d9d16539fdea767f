/**
 * Settings that a forwarding instance gets at its start.
 */
import type { LogLevel } from "../core/log";
import type { ColdTolerance } from "./limits";
import type { QuotaTolerance } from "./shared";
import type { RetryLimit } from "../core/retrybudget";

/**
 * Default of `maxDirectInstances`: the cost of heartbeats to all grows with the number of peers, and in
 * a small fleet, where most instances would be relays, these only add a step.
 */
export const DEFAULT_MAX_DIRECT_INSTANCES = 12;

/** An IP address and a port to listen at. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Settings of a forwarding instance. */
export interface ForwardSettings {
  readonly instance: string;
  readonly dataCentre: string;
  /** The region of each data centre; requests may be restricted to some regions. */
  readonly regions: Readonly<Record<string, string>>;
  /** Listen address for callers. */
  readonly callers: ListenAddress;
  /** Listen address for readiness checks by the load balancer. */
  readonly ready: ListenAddress;
  /** Listen address for other instances. */
  readonly peers: ListenAddress;
  /** Listen address for scraping metrics; undefined to serve none. */
  readonly metrics: ListenAddress | undefined;
  /** Addresses of peers that are known before the store is read. */
  readonly knownPeers: readonly string[];
  /** Number of known instances above which control traffic goes through relays. */
  readonly maxDirectInstances?: number;
  /**
   * Longest time for which a starting instance that knows peers leaves the first reads of the store to
   * them, in milliseconds; it may not know yet whether the fleet is large. Default: 0.
   */
  readonly startHoldMs?: number;
  /** Maximum number of bytes that are held of answers of all endpoints; absent for a default. */
  readonly maxHeldBytes?: number;
  readonly logLevel: LogLevel;
  readonly quotaTolerance: QuotaTolerance;
  readonly retryLimit: RetryLimit;
  readonly coldTolerance: ColdTolerance;
  /** True if endpoints that start or recover get few requests at first; absent means false. */
  readonly pace?: boolean;
  /** Time within which new requests to a leaving endpoint must stop, in milliseconds. */
  readonly drainMs: number;
  /** Time within which a published configuration must be in force, in milliseconds. */
  readonly configApplyMs: number;
  /** Time within which an evacuation of a data centre must be in force, in milliseconds. */
  readonly evacuationMs: number;
  /** Time from a signal to stop until the platform kills the process, in milliseconds. */
  readonly graceMs: number;
  /**
   * How long a lease for orders to an engine excludes orders by other instances, in milliseconds.
   */
  readonly orderLeaseMs: number;
}
