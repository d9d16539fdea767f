/**
 * Defines the two reference deployments, with simulated engines whose speeds follow their specifications.
 */
import { hashKey } from "../src/core/ids";
import type { EnginePlan, FleetPlan, InstancePlan } from "../test/harness/plan";

/** Names of the deployments, as given on the command line. */
export const DEPLOYMENTS = ["cooperative", "arretes-clairs"] as const;
export type DeploymentName = (typeof DEPLOYMENTS)[number];

/** A fleet to measure, with the workspaces that send load to it. */
export interface Deployment {
  readonly name: DeploymentName;
  readonly plan: FleetPlan;
  /** The first workspace sends more than its rate. */
  readonly workspaces: readonly string[];
  readonly keys: Readonly<Record<string, string>>;
  /** Requests per second within the rates, summed over all workspaces. */
  readonly requestsPerSecond: number;
}

/**
 * Requests per second that four decode engines of 20 slots can run. A request occupies its slot for 60 tokens at
 * 40 ms a step, and for about 0.1 s of prefill and transfer before that.
 */
export const CAPACITY_REQUESTS_PER_SECOND = 80 / (60 * 0.04 + 0.1);
/** Prompt and output tokens of a mean request. */
const MEAN_REQUEST_TOKENS = 1260;
/** Ratio of a rate limit to the mean load of its workspace, so that random peaks alone do not exceed it. */
const RATE_HEADROOM = 1.25;
const BURST_SECONDS = 4;

const DATA_CENTRES: Readonly<Record<DeploymentName, readonly string[]>> = {
  cooperative: ["nizwa", "bahla", "izki", "samail"],
  "arretes-clairs": ["qc-est-a", "qc-est-b", "qc-est-c"],
};
const INSTANCE_COUNTS: Readonly<Record<DeploymentName, number>> = {
  cooperative: 8,
  "arretes-clairs": 9,
};

const ENGINE_OPTIONS = {
  stepMs: 40,
  prefillTokensPerMs: 20,
  transferTokensPerMs: 100,
  exportMs: 800,
  reportLagMs: 500,
  cacheTokens: 20_000,
};

/**
 * Creates a deployment.
 *
 * @param load - load as a multiple of the capacity of the decode engines
 * @param policy - name of the placement policy, for the settings of the instances
 */
export function createDeployment(name: DeploymentName, load: number, policy: string): Deployment {
  const dataCentres = DATA_CENTRES[name];
  const workspaces = ["flooding", "keeping-1", "keeping-2", "keeping-3", "keeping-4"];
  const requestsPerSecond = CAPACITY_REQUESTS_PER_SECOND * load;
  const rate = (requestsPerSecond / workspaces.length) * MEAN_REQUEST_TOKENS * RATE_HEADROOM;
  const keys = Object.fromEntries(workspaces.map((workspace) => [workspace, `gf_${workspace}`]));
  const workspaceLimit = { rate, burst: rate * BURST_SECONDS, classes: ["clause"] };
  const plan: FleetPlan = {
    isDirect: true,
    settings: { policy, logLevel: "warn" },
    instances: createInstances(dataCentres, INSTANCE_COUNTS[name]),
    engines: createEngines(dataCentres),
    services: [],
    configuration: {
      workspaces: Object.fromEntries(workspaces.map((workspace) => [workspace, workspaceLimit])),
      classes: { clause: { weight: 1, firstTokenMs: 1100, betweenTokensMs: 60, patienceMs: 8000 } },
      keys: Object.fromEntries(
        workspaces.map((workspace) => [hashKey(keys[workspace] ?? ""), { workspace }]),
      ),
    },
  };
  return { name, plan, workspaces, keys, requestsPerSecond };
}

function createInstances(dataCentres: readonly string[], count: number): readonly InstancePlan[] {
  return Array.from({ length: count }, (_, index) => {
    const dataCentre = dataCentres[index % dataCentres.length] ?? "";
    return { name: `${dataCentre}-${Math.floor(index / dataCentres.length) + 1}`, dataCentre };
  });
}

/** Creates six engines, two for prefill and four for decode, spread over the data centres. */
function createEngines(dataCentres: readonly string[]): readonly EnginePlan[] {
  return Array.from({ length: 6 }, (_, index) => ({
    name: `runner-${index + 1}`,
    dataCentre: dataCentres[index % dataCentres.length] ?? "",
    role: index < 2 ? "prefill" : "decode",
    options: ENGINE_OPTIONS,
  }));
}
