/**
 * The settings of one process, from a JSON file.
 */
import * as t from "io-ts";
import { createClosed, createRange } from "./codec";

const MAX_PORT = 65_535;
const MEBIBYTE = 1024 * 1024;

const addressCodec = createClosed(
  "address",
  { host: t.string, port: createRange("port", 0, MAX_PORT) },
  {},
);

/** A host by its IP number, and a port. */
export type Address = t.TypeOf<typeof addressCodec>;

/** The settings of an entry instance. */
export const settingsCodec = createClosed(
  "settings",
  {
    instance: t.string,
    dataCentre: t.string,
    /** Where callers connect. */
    callers: addressCodec,
    /** Where other instances connect. */
    peers: addressCodec,
    /** Where the platform's probes and operators connect. */
    operator: addressCodec,
    /** URLs of the platform's log and list. */
    platform: createClosed("platform", { log: t.string, list: t.string }, {}),
  },
  {
    /** Where StatsD metrics go. */
    metrics: addressCodec,
    logLevel: t.keyof(
      { debug: null, info: null, warn: null, error: null },
      '"debug", "info", "warn" or "error"',
    ),
    /** Largest body that a caller may send, in bytes. */
    maxBodyBytes: createRange("maxBodyBytes", 1024, 256 * MEBIBYTE),
    /** How long a caller may take over its headers, in milliseconds. */
    headersTimeoutMs: createRange("headersTimeoutMs", 100, 120_000),
    /** How long the balancer may take to notice a draining instance, in milliseconds. */
    drainNoticeMs: createRange("drainNoticeMs", 0, 120_000),
    /** The policy for placement and queueing; "baseline" is there to be measured against. */
    policy: t.keyof({ reserving: null, baseline: null }, '"reserving" or "baseline"'),
  },
);
export type Settings = t.TypeOf<typeof settingsCodec>;

/** Settings that were left out. */
export const DEFAULT_SETTINGS = {
  logLevel: "info",
  maxBodyBytes: 4 * MEBIBYTE,
  headersTimeoutMs: 10_000,
  drainNoticeMs: 2000,
  policy: "reserving",
} as const;
