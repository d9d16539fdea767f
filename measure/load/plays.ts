/**
 * Defines the load scenarios, with parameters taken from the users' two deployments, and the policies that are
 * compared.
 */
import type { Burst, LoadParameters } from "./arrivals";
import type { EngineParameters } from "./engine";
import type { Scenario } from "./play";
import * as overload from "../../src/forward/engines/overload";
import type { EngineLimits } from "../../src/fleet/config";
import type { OverloadDecisions, RouterPolicy } from "./router";

const ENGINE_PARAMETERS: EngineParameters = {
  slots: 128,
  capacityTokens: 40_133,
  blockTokens: 16,
  stepMs: 6.45,
  stepMsPerRequest: 0.0967,
  stepMsPerThousandTokens: 0.00293,
  prefillTokensPerMs: 33.3,
  chunkTokens: 2048,
  handleDelayMs: 93,
  transferSetupMs: 5.3,
  transferTokensPerMs: 1280,
  handleTtlMs: 500,
  holdTtlMs: 2000,
};

const CALM_LOAD: LoadParameters = {
  requestsPerSecond: 10.4,
  rateAmplitude: 0.15,
  ratePeriodMs: 11_000,
  bursts: [],
  durationMs: 40_000,
  promptTokens: { mean: 3200, coefficientOfVariation: 0.5, max: 6600 },
  outputTokens: { mean: 469, coefficientOfVariation: 0.7, max: 1120 },
  targetLatencyMs: 900,
  deadlineMs: 14_000,
  worth: 31,
  lateWorth: 6.2,
};

const BURSTS: readonly Burst[] = [
  { startMs: 8000, durationMs: 5000, factor: 2 },
  { startMs: 20_000, durationMs: 5000, factor: 2 },
];

const CALM: Scenario = {
  name: "calm",
  instances: 9,
  prefillEngines: 1,
  decodeEngines: 5,
  engine: ENGINE_PARAMETERS,
  load: CALM_LOAD,
  engineLoss: undefined,
};

/** Arrivals at many instances in two data centres, with three paid priorities. */
const UNEVEN_LOAD: LoadParameters = {
  ...CALM_LOAD,
  requestsPerSecond: 18,
  rateAmplitude: 0.2,
  priorities: 3,
};

/** Engines of two speeds with little memory, some of them with spells in which they are far slower. */
const UNEVEN: Scenario = {
  ...CALM,
  name: "uneven",
  instances: 24,
  prefillEngines: 4,
  decodeEngines: 14,
  engine: { ...ENGINE_PARAMETERS, slots: 14, capacityTokens: 30_000 },
  load: UNEVEN_LOAD,
  machines: {
    dataCentres: ["a", "b"],
    slowness: [0.55, 1.3, 1.3, 0.55],
    noise: { factor: 2.5, everyMs: 1500, meanMs: 400, share: 0.4 },
  },
};

const WAVES_AND_FLOOD: Partial<LoadParameters> = {
  rateAmplitude: 0.5,
  flood: { startMs: 14_000, durationMs: 10_000, factor: 7, share: 0.1 },
};

/** The scenarios, each with its name for the command line and the results. */
export const SCENARIOS: readonly Scenario[] = [
  CALM,
  { ...CALM, name: "bursts", load: { ...CALM_LOAD, bursts: BURSTS } },
  { ...CALM, name: "lost engine", engineLoss: { startMs: 15_000, durationMs: 6000 } },
  {
    ...CALM,
    name: "bursts and lost engine",
    load: { ...CALM_LOAD, bursts: BURSTS },
    engineLoss: { startMs: 9000, durationMs: 6000 },
  },
  UNEVEN,
  { ...UNEVEN, name: "uneven with waves and flood", load: { ...UNEVEN_LOAD, ...WAVES_AND_FLOOD } },
];

/** The router's own decisions. */
const ROUTER_POLICY: RouterPolicy = {
  name: "usual",
  decisions: overload,
  usesExpectedTime: true,
};

/** The router's own policy, and the alternatives that it is compared with. */
export const POLICIES: readonly RouterPolicy[] = [
  ROUTER_POLICY,
  { ...ROUTER_POLICY, name: "by load alone", usesExpectedTime: false },
  createPolicy("no headroom", { limitCapacity: (limits) => limits }),
  createPolicy("more headroom", {
    limitCapacity: (limits, isLate) => scaleCapacity(limits, isLate, 0.65),
  }),
  createPolicy("early returns", { computeRetryAfterMs: () => 1500 }),
  createPolicy("neither", {
    computeRetryAfterMs: () => 1500,
    limitCapacity: (limits) => limits,
  }),
  createPolicy("more memory", {
    computeReservationTokens: (size) => size.promptTokens + size.maxOutputTokens * 0.4,
  }),
  createPolicy("less memory", {
    computeReservationTokens: (size) => size.promptTokens + size.maxOutputTokens * 0.1,
  }),
  createPolicy("known output", {
    computeReservationTokens: (size) => size.promptTokens + size.expectedOutputTokens * 0.6,
  }),
  createPolicy("long wait", {
    computeWaitLimits: (demand) => {
      const wait = overload.computeWaitLimits(demand);
      return { ...wait, deadline: wait.deadline + 1000 };
    },
  }),
  createPolicy("short wait", {
    computeWaitLimits: (demand) => {
      const wait = overload.computeWaitLimits(demand);
      return { ...wait, deadline: wait.deadline - 300 };
    },
  }),
];

function createPolicy(name: string, overrides: Partial<OverloadDecisions>): RouterPolicy {
  return { name, decisions: { ...overload, ...overrides }, usesExpectedTime: true };
}

function scaleCapacity(limits: EngineLimits, isLate: boolean, share: number): EngineLimits {
  return isLate ? { ...limits, capacityTokens: limits.capacityTokens * share } : limits;
}
