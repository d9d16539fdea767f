/**
 * The two deployments of the brief, with engines modelled on what it states.
 */
import { hashKey } from "../src/core/ids";
import type { EnginePlan, FleetPlan, InstancePlan } from "../test/harness/plan";

/** The names of the deployments. */
export const DEPLOYMENTS = ["cooperative", "arretes-clairs"] as const;
export type DeploymentName = (typeof DEPLOYMENTS)[number];

/** A deployment to be measured. */
export interface Deployment {
  readonly name: DeploymentName;
  readonly plan: FleetPlan;
  /** The first sends more than its rate. */
  readonly workspaces: readonly string[];
  readonly keys: Readonly<Record<string, string>>;
  /** Requests a second inside the rates, over all workspaces. */
  readonly requestsPerSecond: number;
}

/**
 * Requests a second that four decode engines of 20 slots can run: 60 tokens at 40 ms a step, and
 * about 0.1 s for prefill and transfer while the slot is reserved.
 */
export const CAPACITY = 80 / (60 * 0.04 + 0.1);
/** Prompt and answer of a mean request, in tokens. */
const MEAN_TOKENS = 1260;
/** How far a rate is above what its workspace sends, so that chance alone does not pass it. */
const HEADROOM = 1.25;
const BURST_SECONDS = 4;

const SITES: Readonly<Record<DeploymentName, readonly string[]>> = {
  cooperative: ["nizwa", "bahla", "izki", "samail"],
  "arretes-clairs": ["qc-est-a", "qc-est-b", "qc-est-c"],
};
const INSTANCES: Readonly<Record<DeploymentName, number>> = { cooperative: 8, "arretes-clairs": 9 };

const ENGINE = {
  stepMs: 40,
  prefillTokensPerMs: 20,
  transferTokensPerMs: 100,
  exportMs: 800,
  reportLagMs: 500,
  cacheTokens: 20_000,
};

/** Creates a deployment at a load, with a policy. */
export function createDeployment(name: DeploymentName, load: number, policy: string): Deployment {
  const sites = SITES[name];
  const workspaces = ["flooding", "keeping-1", "keeping-2", "keeping-3", "keeping-4"];
  const requestsPerSecond = CAPACITY * load;
  const rate = (requestsPerSecond / workspaces.length) * MEAN_TOKENS * HEADROOM;
  const keys = Object.fromEntries(workspaces.map((workspace) => [workspace, `gf_${workspace}`]));
  const limit = { rate, burst: rate * BURST_SECONDS, classes: ["clause"] };
  const plan: FleetPlan = {
    isDirect: true,
    settings: { policy, logLevel: "warn" },
    instances: createInstances(sites, INSTANCES[name]),
    engines: createEngines(sites),
    services: [],
    configuration: {
      workspaces: Object.fromEntries(workspaces.map((workspace) => [workspace, limit])),
      classes: { clause: { weight: 1, firstTokenMs: 1100, betweenTokensMs: 60, patienceMs: 8000 } },
      keys: Object.fromEntries(
        workspaces.map((workspace) => [hashKey(keys[workspace] ?? ""), { workspace }]),
      ),
    },
  };
  return { name, plan, workspaces, keys, requestsPerSecond };
}

function createInstances(sites: readonly string[], count: number): readonly InstancePlan[] {
  return Array.from({ length: count }, (_, index) => {
    const dataCentre = sites[index % sites.length] ?? "";
    return { name: `${dataCentre}-${Math.floor(index / sites.length) + 1}`, dataCentre };
  });
}

/** Six drafting runners: two prefill, four decode. */
function createEngines(sites: readonly string[]): readonly EnginePlan[] {
  return Array.from({ length: 6 }, (_, index) => ({
    name: `runner-${index + 1}`,
    dataCentre: sites[index % sites.length] ?? "",
    role: index < 2 ? "prefill" : "decode",
    options: ENGINE,
  }));
}
