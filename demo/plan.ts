/**
 * Plan of the demonstration's fleet.
 */
import type { FleetPlan } from "../test/harness/plan";

const LIMIT = { rate: 20_000, burst: 80_000, classes: ["statement", "summary"] };

/**
 * Creates the plan of the fleet and its initial configuration.
 *
 * @param binary - path of the built binary that the instances run
 */
export function createPlan(binary: string): FleetPlan {
  return {
    binary,
    instances: [
      { name: "nizwa-1", dataCentre: "nizwa" },
      { name: "nizwa-2", dataCentre: "nizwa" },
      { name: "bahla-1", dataCentre: "bahla" },
    ],
    engines: [
      { name: "prefill-1", dataCentre: "nizwa", role: "prefill", labels: { tier: "new" } },
      { name: "prefill-2", dataCentre: "bahla", role: "prefill", labels: { tier: "new" } },
      { name: "decode-1", dataCentre: "nizwa", role: "decode", labels: { tier: "new" } },
      { name: "decode-2", dataCentre: "bahla", role: "decode", labels: { tier: "new" } },
      { name: "decode-old", dataCentre: "bahla", role: "decode", labels: { tier: "old" } },
    ],
    services: ["sheets-1", "sheets-2"],
    configuration: {
      workspaces: {
        "nizwa-fort": LIMIT,
        "bahla-walls": LIMIT,
        "falaj-trust": LIMIT,
        "samail-crews": { ...LIMIT, classes: ["summary"] },
      },
      classes: {
        statement: { weight: 4, firstTokenMs: 1100, betweenTokensMs: 60, patienceMs: 10_000 },
        summary: { weight: 1, firstTokenMs: 1100, betweenTokensMs: 60, patienceMs: 8000 },
      },
      routes: {
        drafting: { path: "/v1/completions", kind: "completion", selector: "drafting" },
        "material-issues": {
          path: "/sheets/issues",
          kind: "service",
          service: "sheets",
          repeatable: false,
          idempotencyKeyNeeded: true,
        },
        "sheet-lookups": { path: "/sheets", kind: "service", service: "sheets" },
      },
      selectors: { drafting: { tier: ["new", "old"] } },
      keys: {},
    },
  };
}
