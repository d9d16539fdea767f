/**
 * Codecs of the configuration that operators publish: workspaces, keys, classes, routes, models,
 * endpoints, selectors and data centres, each a named object.
 */
import * as t from "io-ts";
import { createClosed, createRange } from "../codec";

const MAX_TOKENS = 1e12;
const DAY_MS = 86_400_000;

const labelsCodec = t.record(t.string, t.string);
const selectorCodec = t.record(t.string, t.array(t.string));

/** The roles of an endpoint. */
export const Role = { prefill: "prefill", decode: "decode", service: "service" } as const;
export type Role = (typeof Role)[keyof typeof Role];

/** The kinds of route: to the engines of a model, or to a plain service. */
export const RouteKind = { completion: "completion", service: "service" } as const;
export type RouteKind = (typeof RouteKind)[keyof typeof RouteKind];

/** A customer with its rate limit, which applies over the whole fleet. */
export const workspaceCodec = createClosed(
  "workspace",
  {
    /** Refill rate in tokens per second. */
    rate: createRange("rate", 0, MAX_TOKENS),
    /** Burst in tokens. */
    burst: createRange("burst", 1, MAX_TOKENS),
    classes: t.array(t.string),
  },
  {
    selector: t.string,
    /**
     * How long keys stay valid while the log cannot be read, in milliseconds; absent: without
     * limit.
     */
    keyTrustMs: createRange("keyTrustMs", 1000, DAY_MS),
  },
);
export type Workspace = t.TypeOf<typeof workspaceCodec>;

/** A priority class that callers pay for. */
export const classCodec = createClosed(
  "class",
  {
    /** Fair-queueing weight of a workspace in this class, relative to a class of weight 1. */
    weight: createRange("weight", 0.01, 10_000),
    /** Target for the time to first token, in milliseconds. */
    firstTokenMs: createRange("firstTokenMs", 1, DAY_MS),
    /** Target for the time between tokens, in milliseconds. */
    betweenTokensMs: createRange("betweenTokensMs", 1, DAY_MS),
    /** How long a request may wait for its first token before it is abandoned, in milliseconds. */
    patienceMs: createRange("patienceMs", 1, DAY_MS),
  },
  { selector: t.string },
);
export type PriorityClass = t.TypeOf<typeof classCodec>;

/** A path that callers request, and the endpoints that may serve it. */
export const routeCodec = createClosed(
  "route",
  {
    path: t.string,
    kind: t.keyof({ completion: null, service: null }, '"completion" or "service"'),
  },
  {
    /** For a service route: the service name of its endpoints. */
    service: t.string,
    selector: t.string,
    /** False where a call may run at most once, so it must not be retried once sent. */
    repeatable: t.boolean,
    /** True where callers need no API key. */
    open: t.boolean,
    /** True where a call without an Idempotency-Key is refused. */
    idempotencyKeyNeeded: t.boolean,
    /** Time limit of a whole call, in milliseconds. */
    deadlineMs: createRange("deadlineMs", 100, DAY_MS),
  },
);
export type Route = t.TypeOf<typeof routeCodec>;

/** A model and its labels. */
export const modelCodec = createClosed("model", {}, { labels: labelsCodec });
export type Model = t.TypeOf<typeof modelCodec>;

/** A back end: an engine or a plain service. */
export const endpointCodec = createClosed(
  "endpoint",
  {
    url: t.string,
    dataCentre: t.string,
    role: t.keyof(
      { prefill: null, decode: null, service: null },
      '"prefill", "decode" or "service"',
    ),
  },
  {
    models: t.array(t.string),
    service: t.string,
    labels: labelsCodec,
    /**
     * The pool of engines that one scheduler places requests on; the name of the first model by
     * default.
     */
    pool: t.string,
    /** True where the endpoint itself rejects an order with an outdated fencing token. */
    checksFence: t.boolean,
  },
);
export type Endpoint = t.TypeOf<typeof endpointCodec>;

/** A caller's API key; the object's name is the hash of the key. */
export const keyCodec = createClosed(
  "key",
  { workspace: t.string },
  {
    withdrawn: t.boolean,
    /** True where requests in flight are cancelled when the key is withdrawn. */
    cut: t.boolean,
    note: t.string,
  },
);
export type Key = t.TypeOf<typeof keyCodec>;

/** A data centre, which holds a share of the rate of every workspace. */
export const dataCentreCodec = createClosed(
  "dataCentre",
  {},
  {
    region: t.string,
    /** True while nothing is sent to its endpoints. */
    evacuated: t.boolean,
  },
);
export type DataCentre = t.TypeOf<typeof dataCentreCodec>;

/** The codec of each kind of object. */
export const kindCodecs = {
  workspaces: workspaceCodec,
  classes: classCodec,
  routes: routeCodec,
  models: modelCodec,
  endpoints: endpointCodec,
  selectors: selectorCodec,
  keys: keyCodec,
  dataCentres: dataCentreCodec,
} as const;

/** The kinds of object, as members of a configuration document. */
export type ObjectKind = keyof typeof kindCodecs;

/** All kinds of object, in display order. */
export const KINDS = Object.keys(kindCodecs) as readonly ObjectKind[];

/**
 * A whole configuration as a JSON document. Keys are usually left out and managed by the key
 * commands.
 */
export const documentCodec = createClosed(
  "configuration",
  {
    workspaces: t.record(t.string, workspaceCodec),
    classes: t.record(t.string, classCodec),
    routes: t.record(t.string, routeCodec),
    models: t.record(t.string, modelCodec),
    endpoints: t.record(t.string, endpointCodec),
    selectors: t.record(t.string, selectorCodec),
    dataCentres: t.record(t.string, dataCentreCodec),
  },
  { keys: t.record(t.string, keyCodec) },
);
export type ConfigDocument = t.TypeOf<typeof documentCodec>;

/** A whole configuration with its keys. */
export type Configuration = Readonly<Required<ConfigDocument>>;

/**
 * Creates a configuration without any objects.
 *
 * @example
 * createEmptyConfiguration().workspaces; // {}
 */
export function createEmptyConfiguration(): Configuration {
  return {
    workspaces: {},
    classes: {},
    routes: {},
    models: {},
    endpoints: {},
    selectors: {},
    keys: {},
    dataCentres: {},
  };
}
