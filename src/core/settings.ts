/**
 * The settings of one process, read from a JSON file.
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

/** A host, given by its IP address, and a port. */
export type Address = t.TypeOf<typeof addressCodec>;

/** The settings of an entry instance. */
export const settingsCodec = createClosed(
  "settings",
  {
    instance: t.string,
    dataCentre: t.string,
    /** Address that callers connect to. */
    callers: addressCodec,
    /** Address that other instances connect to. */
    peers: addressCodec,
    /** Address for the platform's probes and for operators. */
    operator: addressCodec,
    /** URLs of the platform's log and list services. */
    platform: createClosed("platform", { log: t.string, list: t.string }, {}),
  },
  {
    /** Address that StatsD metrics are sent to. */
    metrics: addressCodec,
    logLevel: t.keyof(
      { debug: null, info: null, warn: null, error: null },
      '"debug", "info", "warn" or "error"',
    ),
    /** Maximum size of a caller's request body, in bytes. */
    maxBodyBytes: createRange("maxBodyBytes", 1024, 256 * MEBIBYTE),
    /** How long a caller may take to send its headers, in milliseconds. */
    headersTimeoutMs: createRange("headersTimeoutMs", 100, 120_000),
    /** How long a caller may send no byte of a body that is due, in milliseconds. */
    bodyTimeoutMs: createRange("bodyTimeoutMs", 100, 120_000),
    /** How long the load balancer may take to notice a draining instance, in milliseconds. */
    drainNoticeMs: createRange("drainNoticeMs", 0, 120_000),
    /** The policy for placement and queueing; "baseline" serves for comparison measurements. */
    policy: t.keyof({ reserving: null, baseline: null }, '"reserving" or "baseline"'),
  },
);
export type Settings = t.TypeOf<typeof settingsCodec>;

/** Defaults of the optional settings. */
export const DEFAULT_SETTINGS = {
  logLevel: "info",
  maxBodyBytes: 4 * MEBIBYTE,
  headersTimeoutMs: 10_000,
  bodyTimeoutMs: 10_000,
  drainNoticeMs: 2000,
  policy: "reserving",
} as const;
