/**
 * The loads that are played, with the figures of the users' two deployments, and the policies that are
 * compared.
 */
import type { Burst, LoadFigures } from "./arrivals";
import type { EngineFigures } from "./engine";
import type { PlayFigures } from "./play";
import * as overload from "../../src/forward/overload";
import type { EngineLimits } from "../../src/fleet/config";
import type { OverloadDecisions, RouterPolicy } from "./router";

const ENGINE: EngineFigures = {
  slots: 128,
  capacityTokens: 40_133,
  blockTokens: 16,
  stepMs: 6.45,
  stepMsPerRequest: 0.0967,
  stepMsPerThousand: 0.00293,
  prefillTokensPerMs: 33.3,
  chunkTokens: 2048,
  firstMs: 93,
  transferMs: 5.3,
  transferTokensPerMs: 1280,
  handleTtlMs: 500,
  holdTtlMs: 2000,
};

const LOAD: LoadFigures = {
  perSecond: 10.4,
  swing: 0.15,
  periodMs: 11_000,
  bursts: [],
  lengthMs: 40_000,
  promptTokens: { mean: 3200, spread: 0.5, most: 6600 },
  outputTokens: { mean: 469, spread: 0.7, most: 1120 },
  targetMs: 900,
  deadlineMs: 14_000,
  worth: 31,
  lateWorth: 6.2,
};

const BURSTS: readonly Burst[] = [
  { atMs: 8000, forMs: 5000, factor: 2 },
  { atMs: 20_000, forMs: 5000, factor: 2 },
];

const CALM: PlayFigures = {
  name: "calm",
  instances: 9,
  prefillEngines: 1,
  decodeEngines: 5,
  engine: ENGINE,
  load: LOAD,
  lost: undefined,
};

/** The loads, by their names. */
export const PLAYS: readonly PlayFigures[] = [
  CALM,
  { ...CALM, name: "bursts", load: { ...LOAD, bursts: BURSTS } },
  { ...CALM, name: "lost engine", lost: { atMs: 15_000, forMs: 6000 } },
  {
    ...CALM,
    name: "bursts and lost engine",
    load: { ...LOAD, bursts: BURSTS },
    lost: { atMs: 9000, forMs: 6000 },
  },
];

/** As the router decides. */
const USUAL: RouterPolicy = { name: "usual", decisions: overload };

/** The policies, by their names: the router's, and others that were weighed against it. */
export const POLICIES: readonly RouterPolicy[] = [
  USUAL,
  createPolicy("no headroom", { limitCapacity: (limits) => limits }),
  createPolicy("more headroom", {
    limitCapacity: (limits, isLate) => scaleRoom(limits, isLate, 0.65),
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
    computeWaitLimits: (demand, now) => {
      const wait = overload.computeWaitLimits(demand, now);
      return { ...wait, deadline: wait.deadline + 1000 };
    },
  }),
  createPolicy("short wait", {
    computeWaitLimits: (demand, now) => {
      const wait = overload.computeWaitLimits(demand, now);
      return { ...wait, deadline: wait.deadline - 300 };
    },
  }),
];

function createPolicy(name: string, other: Partial<OverloadDecisions>): RouterPolicy {
  return { name, decisions: { ...overload, ...other } };
}

function scaleRoom(limits: EngineLimits, isLate: boolean, share: number): EngineLimits {
  return isLate ? { ...limits, capacityTokens: limits.capacityTokens * share } : limits;
}
