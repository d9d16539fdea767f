/**
 * Plans of test fleets: the processes to start and the initial configuration.
 */
import type { Configuration, Endpoint } from "../../src/core/config/objects";
import { hashKey } from "../../src/core/ids";

/** One entry instance to start. */
export interface InstancePlan {
  readonly name: string;
  readonly dataCentre: string;
}

/** One engine to start; `options` override ENGINE_OPTIONS. */
export interface EnginePlan {
  readonly name: string;
  readonly dataCentre: string;
  readonly role: "prefill" | "decode";
  readonly labels?: Readonly<Record<string, string>>;
  readonly options?: Readonly<Record<string, unknown>>;
}

/** A fleet to start; `configuration` and `settings` override the defaults by member. */
export interface FleetPlan {
  readonly instances: readonly InstancePlan[];
  readonly engines: readonly EnginePlan[];
  readonly services: readonly string[];
  readonly configuration?: Partial<Configuration>;
  readonly settings?: Readonly<Record<string, unknown>>;
  readonly retention?: number;
  /** True where endpoints and the log are reached without proxies, so that measurements exclude them. */
  readonly isDirect?: boolean;
  /** Path of the built binary that instances and commands run in place of a bundle. */
  readonly binary?: string;
}

/** The model that all engines serve. */
export const MODEL = "drafter";

/** API keys by workspace name. */
export const KEYS = { large: "gf_large", small: "gf_small", other: "gf_other" } as const;

/** Default options of a stand-in engine. */
export const ENGINE_OPTIONS = {
  models: [MODEL],
  stepMs: 10,
  prefillTokensPerMs: 20,
  transferTokensPerMs: 200,
  exportMs: 800,
  reportLagMs: 300,
  checksFence: true,
  cacheTokens: 50_000,
};

/** Default fleet: three instances in two data centres, two prefill engines, two decode engines and two services. */
export const SMALL_FLEET: FleetPlan = {
  instances: [
    { name: "nizwa-1", dataCentre: "nizwa" },
    { name: "nizwa-2", dataCentre: "nizwa" },
    { name: "bahla-1", dataCentre: "bahla" },
  ],
  engines: [
    { name: "prefill-1", dataCentre: "nizwa", role: "prefill" },
    { name: "prefill-2", dataCentre: "bahla", role: "prefill" },
    { name: "decode-1", dataCentre: "nizwa", role: "decode" },
    { name: "decode-2", dataCentre: "bahla", role: "decode" },
  ],
  services: ["sheets-1", "sheets-2"],
};

/** Creates the control record that publishes the plan's configuration as the first version. */
export function createRecord(
  plan: FleetPlan,
  endpoints: Readonly<Record<string, Endpoint>>,
): unknown {
  const dataCentres = Object.fromEntries(plan.instances.map((item) => [item.dataCentre, {}]));
  const workspace = { rate: 100_000, burst: 400_000, classes: ["usual", "urgent"] };
  const keys = Object.fromEntries(
    Object.entries(KEYS).map(([name, key]) => [hashKey(key), { workspace: name }]),
  );
  const document = {
    workspaces: { large: workspace, small: workspace, other: workspace },
    classes: {
      usual: { weight: 1, firstTokenMs: 1100, betweenTokensMs: 60, patienceMs: 8000 },
      urgent: { weight: 4, firstTokenMs: 1100, betweenTokensMs: 60, patienceMs: 8000 },
    },
    routes: {
      drafting: { path: "/v1/completions", kind: "completion" },
      chat: { path: "/v1/chat/completions", kind: "completion" },
      issues: { path: "/sheets/issues", kind: "service", service: "sheets", repeatable: false },
      sheets: { path: "/sheets", kind: "service", service: "sheets" },
      notices: { path: "/notices", kind: "service", service: "sheets", open: true },
    },
    models: { [MODEL]: {} },
    endpoints,
    selectors: {},
    keys,
    dataCentres,
    ...plan.configuration,
  };
  const changes = Object.entries(document).flatMap(([kind, objects]) =>
    Object.entries(objects as Record<string, unknown>).map(([name, value]) => ({
      kind,
      name,
      value,
    })),
  );
  return { id: "first", basedOn: -1, changes };
}
