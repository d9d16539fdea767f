/**
 * Defines the load scenarios of plain services, and the policies that are compared.
 */
import type { LoadParameters } from "./arrivals";
import { type PlainPolicy, type PlainScenario, runPlainScenario } from "./plain";

const REQUEST_SIZE = { mean: 1, coefficientOfVariation: 0, max: 1 };

const LOAD: LoadParameters = {
  requestsPerSecond: 141,
  rateAmplitude: 0.4,
  ratePeriodMs: 11_000,
  bursts: [],
  durationMs: 40_000,
  promptTokens: REQUEST_SIZE,
  outputTokens: REQUEST_SIZE,
  targetLatencyMs: 150,
  deadlineMs: 1000,
  worth: 1,
  lateWorth: 0.2,
};

const FEW_ENDPOINTS: PlainScenario = {
  name: "3 endpoints",
  instances: 72,
  endpoints: 3,
  slots: 6,
  serviceMs: 43,
  load: LOAD,
  machines: {
    dataCentres: ["a", "b", "c"],
    slowness: [0.55, 1.3, 1.3, 0.55],
    noise: { factor: 2.5, everyMs: 1500, meanMs: 400, share: 0.5 },
  },
  keepAliveMs: 4000,
};

/** The scenarios of plain services. */
export const PLAIN_SCENARIOS: readonly PlainScenario[] = [
  FEW_ENDPOINTS,
  {
    ...FEW_ENDPOINTS,
    name: "12 endpoints",
    endpoints: 12,
    load: { ...LOAD, requestsPerSecond: 60 },
  },
  { ...FEW_ENDPOINTS, name: "40 endpoints", endpoints: 40 },
];

/** The router's own policy, and those without its parts. */
export const PLAIN_POLICIES: readonly PlainPolicy[] = [
  { name: "usual", usesExpectedTime: true, usesSubset: true },
  { name: "all endpoints", usesExpectedTime: true, usesSubset: false },
  { name: "by load alone", usesExpectedTime: false, usesSubset: false },
];

/** A row of the table of plain services: means over all seeds. */
export interface PlainRow {
  readonly load: string;
  readonly policy: string;
  readonly onTime: number;
  readonly latencyP99Ms: number;
  readonly connectionsPerRequest: number;
}

/**
 * Runs all scenarios of plain services under all policies.
 *
 * @param seeds - number of seeds, which are 1, 2 and so on
 * @example
 * console.table(comparePlainPolicies(5));
 */
export function comparePlainPolicies(seeds: number): readonly PlainRow[] {
  return PLAIN_SCENARIOS.flatMap((scenario) =>
    PLAIN_POLICIES.map((policy) => createPlainRow(scenario, policy, seeds)),
  );
}

function createPlainRow(scenario: PlainScenario, policy: PlainPolicy, seeds: number): PlainRow {
  const results = Array.from({ length: seeds }, (_, index) =>
    runPlainScenario(scenario, policy, index + 1),
  );
  const mean = (values: readonly number[], digits: number) =>
    Number((values.reduce((sum, value) => sum + value, 0) / seeds).toFixed(digits));
  const read = (key: "onTime" | "latencyP99Ms" | "connections") =>
    results.map((result) => result[key]);
  return {
    load: scenario.name,
    policy: policy.name,
    onTime: mean(read("onTime"), 3),
    latencyP99Ms: mean(read("latencyP99Ms"), 0),
    connectionsPerRequest: mean(read("connections"), 3),
  };
}
