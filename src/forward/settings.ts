/**
 * What a forwarding instance has to be told at its start.
 */
import type { LogLevel } from "../core/log";
import type { QuotaTolerance } from "./quota";
import type { RetryLimit } from "../core/retrybudget";

/** An IP number and a port. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Settings of a forwarding instance. */
export interface ForwardSettings {
  readonly instance: string;
  readonly dataCentre: string;
  /** Where callers connect. */
  readonly callers: ListenAddress;
  /** Where the balancer asks whether the instance is ready. */
  readonly ready: ListenAddress;
  /** Where other instances connect. */
  readonly peers: ListenAddress;
  /** Where metrics are read; absent where nobody does. */
  readonly metrics: ListenAddress | undefined;
  /** Peers that are known before the store is asked, by address. */
  readonly knownPeers: readonly string[];
  readonly logLevel: LogLevel;
  readonly quotaTolerance: QuotaTolerance;
  readonly retryLimit: RetryLimit;
  /** How soon a leaving endpoint must get nothing more, in milliseconds. */
  readonly drainMs: number;
  /** How long the process has from a signal to stop until it is killed, in milliseconds. */
  readonly graceMs: number;
  /** How long an order to an engine rules out one by another instance, in milliseconds. */
  readonly orderLeaseMs: number;
}
