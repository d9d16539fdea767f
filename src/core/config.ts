/**
 * The configuration that operators publish: workspaces, keys, classes, routes, models, endpoints
 * and selectors, each a named object.
 */
import * as t from "io-ts";
import { createClosed, createRange } from "./codec";

const MAX_TOKENS = 1e12;
const DAY_MS = 86_400_000;

const labelsCodec = t.record(t.string, t.string);
const selectorCodec = t.record(t.string, t.array(t.string));

/** The parts that an endpoint can play. */
export const Role = { prefill: "prefill", decode: "decode", service: "service" } as const;
export type Role = (typeof Role)[keyof typeof Role];

/** The kinds of route. */
export const RouteKind = { completion: "completion", service: "service" } as const;
export type RouteKind = (typeof RouteKind)[keyof typeof RouteKind];

/** A customer, its rate and its burst, in tokens over the whole fleet. */
export const workspaceCodec = createClosed(
  "workspace",
  {
    /** Tokens a second. */
    rate: createRange("rate", 0, MAX_TOKENS),
    /** Tokens. */
    burst: createRange("burst", 1, MAX_TOKENS),
    classes: t.array(t.string),
  },
  {
    selector: t.string,
    /** How long keys stay good without word from the log, in milliseconds; absent: without limit. */
    keyTrustMs: createRange("keyTrustMs", 1000, DAY_MS),
  },
);
export type Workspace = t.TypeOf<typeof workspaceCodec>;

/** A priority class that callers pay for. */
export const classCodec = createClosed(
  "class",
  {
    /** The share of a workspace in this class against one of weight 1. */
    weight: createRange("weight", 0.01, 10_000),
    /** Target for the first token, in milliseconds. */
    firstTokenMs: createRange("firstTokenMs", 1, DAY_MS),
    /** Target between tokens, in milliseconds. */
    betweenTokensMs: createRange("betweenTokensMs", 1, DAY_MS),
    /** How long a request may wait for its first token before it is given up, in milliseconds. */
    patienceMs: createRange("patienceMs", 1, DAY_MS),
  },
  { selector: t.string },
);
export type PriorityClass = t.TypeOf<typeof classCodec>;

/** A path that callers use, and where its work may go. */
export const routeCodec = createClosed(
  "route",
  {
    path: t.string,
    kind: t.keyof({ completion: null, service: null }, '"completion" or "service"'),
  },
  {
    /** For a service route: the name that its endpoints carry. */
    service: t.string,
    selector: t.string,
    /** False where a call may run at most once. */
    repeatable: t.boolean,
    /** True where no key is needed. */
    open: t.boolean,
    /** True where a call without an Idempotency-Key is refused. */
    idempotencyKeyNeeded: t.boolean,
    /** The whole time of a call, in milliseconds. */
    deadlineMs: createRange("deadlineMs", 100, DAY_MS),
  },
);
export type Route = t.TypeOf<typeof routeCodec>;

/** A model and its labels. */
export const modelCodec = createClosed("model", {}, { labels: labelsCodec });
export type Model = t.TypeOf<typeof modelCodec>;

/** A back end. */
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
    /** The group of engines that one keeper places work on; by default the name of the model. */
    pool: t.string,
    /** True where the endpoint itself refuses an order with an old fencing number. */
    checksFence: t.boolean,
  },
);
export type Endpoint = t.TypeOf<typeof endpointCodec>;

/** A key, named by its hash. */
export const keyCodec = createClosed(
  "key",
  { workspace: t.string },
  {
    withdrawn: t.boolean,
    /** True where running work of a withdrawn key is cut off. */
    cut: t.boolean,
    note: t.string,
  },
);
export type Key = t.TypeOf<typeof keyCodec>;

/** A data centre that holds a part of every workspace's rate. */
export const dataCentreCodec = createClosed("dataCentre", {}, { region: t.string });
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

/** All kinds, in the order in which they are shown. */
export const KINDS = Object.keys(kindCodecs) as readonly ObjectKind[];

/** A whole configuration as a JSON document; keys are usually left to the key commands. */
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
 * Creates a configuration with nothing in it.
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
