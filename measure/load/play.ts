/**
 * Runs a load scenario against simulated routers and engines under a policy, as a discrete-event simulation, and
 * reports what callers got.
 */
import { build, type Histogram } from "hdr-histogram-js";
import type { EngineLimits } from "../../src/fleet/config";
import { EngineStage } from "../../src/fleet/entries";
import { type Arrival, createArrivals, createRandom, type LoadParameters } from "./arrivals";
import { type EngineParameters, EngineModel, type Machine } from "./engine";
import { createMachine, type MachineParameters } from "./machine";
import {
  type Attempt,
  createEndpointEntries,
  DECODE_DATA_CENTRE,
  type RouterHost,
  RouterModel,
  type RouterPolicy,
  startHeartbeats,
} from "./router";

const DISPATCH_INTERVAL_MS = 20;
/** How long a simulation goes on after the last arrivals, in milliseconds. */
const DRAIN_MS = 20_000;
/** Callers wait at most this share of their remaining time before they retry. */
const MAX_RETRY_WAIT_SHARE = 1 / 3;
const STAGE_CHANGE_MS = 6000;
const MACHINE_SEED_OFFSET = 1000;

/** A load with the instances and engines that serve it. */
export interface Scenario {
  readonly name: string;
  readonly instances: number;
  readonly prefillEngines: number;
  readonly decodeEngines: number;
  readonly engine: EngineParameters;
  readonly load: LoadParameters;
  /** A crash of one decode engine, and how long the engine stays down. */
  readonly engineLoss: { readonly startMs: number; readonly durationMs: number } | undefined;
  /** The machines of the engines, which are spread over data centres; undefined if all are alike. */
  readonly machines?: MachineParameters;
}

/** What callers got in one run of a scenario. */
export interface ScenarioResult {
  readonly requests: number;
  readonly onTime: number;
  readonly late: number;
  /** Requests that got no response because they were refused for the last time. */
  readonly refused: number;
  /** Requests that were refused again when their caller retried after the advised delay. */
  readonly refusedAgain: number;
  /** Worth of all responses, as a share of the worth with all of them on time. */
  readonly worth: number;
  readonly firstTokenP50Ms: number;
  readonly firstTokenP99Ms: number;
  /** Share of the prefilled tokens whose result was not used or had to be computed again. */
  readonly wastedShare: number;
  readonly preempted: number;
  /** Holds that engines rejected, as a share of all requests. */
  readonly rejectedShare: number;
  /** Share of responses on time by class: a paid priority, or requests beyond their rate. */
  readonly onTimeByClass: ReadonlyMap<string, number>;
  /** Share of responses on time by the data centre of the instance that the request came to. */
  readonly onTimeByDataCentre: ReadonlyMap<string, number>;
  /** Lowest share of responses on time of the requests within their rate that came in one second. */
  readonly worstSecond: number;
  /** Share of the worth that callers got, for each window of two seconds, by time of arrival. */
  readonly worthByWindow: readonly number[];
}

const WINDOW_MS = 2000;
const SECOND_MS = 1000;
/** A second with fewer requests says little. */
const MIN_REQUESTS_OF_SECOND = 5;

/** Requests, and those that were answered on time, by a name. */
class OnTimeTally {
  private readonly counts = new Map<string, { requests: number; onTime: number }>();

  record(name: string, requests: number, onTime: number): void {
    const count = this.counts.get(name) ?? { requests: 0, onTime: 0 };
    count.requests += requests;
    count.onTime += onTime;
    this.counts.set(name, count);
  }

  readShares(minRequests = 1): ReadonlyMap<string, number> {
    const shares = new Map<string, number>();
    for (const [name, { requests, onTime }] of [...this.counts].sort())
      if (requests >= minRequests) shares.set(name, onTime / requests);
    return shares;
  }
}

interface Tally {
  onTime: number;
  late: number;
  refused: number;
  refusedAgain: number;
  readonly gainedWorth: number[];
  readonly possibleWorth: number[];
  readonly firstTokenMs: Histogram;
  /**
   * Arrival times of the generations that had their first token; one whose engine crashed has another first
   * token later, which is not counted.
   */
  readonly served: Set<number>;
  readonly byClass: OnTimeTally;
  readonly byDataCentre: OnTimeTally;
  readonly bySecond: OnTimeTally;
}

/**
 * Runs a scenario under a policy.
 *
 * @param seed - seed of the random numbers; every policy gets the same arrivals for the same seed
 * @example
 * runScenario(SCENARIOS[0], POLICIES[0], 1).worth;
 */
export function runScenario(
  scenario: Scenario,
  policy: RouterPolicy,
  seed: number,
): ScenarioResult {
  const random = createRandom(seed);
  const arrivals = createArrivals(scenario.load, random);
  const simulator = new EventSimulator();
  const engines = createEngines(scenario, seed);
  const tally = createTally(scenario.load);
  const host: RouterHost = {
    now: () => simulator.now,
    schedule: (ms, action) => {
      simulator.schedule(simulator.now + ms, action);
    },
    random,
    onFirstToken: (attempt) => {
      const dataCentre = dataCentres.get(attempt.requestedAt) ?? "";
      recordFirstToken(tally, scenario.load, { ...attempt, dataCentre }, simulator.now);
    },
    onEnd: () => undefined,
    onRefused: (attempt) => {
      handleRefusal(attempt);
    },
  };
  const routers = createRouters(scenario, policy, engines, host);
  const dataCentres = new Map<number, string>();
  const sendToRandomRouter = (attempt: Attempt) => {
    const router = routers[Math.floor(random() * routers.length)];
    const { requestedAt } = attempt;
    if (!dataCentres.has(requestedAt)) dataCentres.set(requestedAt, router?.dataCentre ?? "");
    router?.submit(attempt);
  };
  const handleRefusal = (attempt: Attempt) => {
    const deadline = attempt.requestedAt + scenario.load.deadlineMs;
    const retryMs = Math.min(
      policy.decisions.computeRetryAfterMs(deadline, simulator.now, random),
      (deadline - simulator.now) * MAX_RETRY_WAIT_SHARE,
    );
    if (attempt.isReturned) {
      tally.refused += 1;
      tally.refusedAgain += 1;
    } else {
      simulator.schedule(simulator.now + retryMs, () => {
        sendToRandomRouter({ ...attempt, id: `${attempt.id}r`, isReturned: true });
      });
    }
  };
  for (const arrival of arrivals) {
    recordRequest(tally, scenario.load, arrival);
    simulator.schedule(arrival.arrivedAt, () => {
      sendToRandomRouter({
        ...arrival,
        requestedAt: arrival.arrivedAt,
        isReturned: false,
        hasStarted: false,
      });
    });
  }
  scheduleEngineLoss(scenario, engines, simulator);
  startHeartbeats(routers, host);
  startDispatching(routers, host);
  simulator.run(engines, scenario.load.durationMs + DRAIN_MS);
  for (const dataCentre of dataCentres.values()) tally.byDataCentre.record(dataCentre, 1, 0);
  return summarise(tally, scenario.load, arrivals.length, engines);
}

/** Runs scheduled events and the steps of engines in the order of virtual time. */
class EventSimulator {
  now = 0;
  private events: { readonly at: number; readonly order: number; readonly action: () => void }[] =
    [];
  private order = 0;

  schedule(at: number, action: () => void): void {
    this.order += 1;
    const event = { at, order: this.order, action };
    const index = this.findIndex(event.at);
    this.events.splice(index, 0, event);
  }

  run(engines: readonly EngineModel[], endAt: number): void {
    for (;;) {
      const event = this.events.at(-1);
      const stepEnds = engines.flatMap((engine) => engine.nextEventAt ?? []);
      const nextAt = Math.min(event?.at ?? Infinity, ...stepEnds);
      if (nextAt > endAt) return;
      this.now = nextAt;
      if (event !== undefined && event.at <= nextAt) {
        this.events.pop();
        event.action();
      } else for (const engine of engines) engine.advance(nextAt);
    }
  }

  /** Events are sorted by descending time; those of the same time run in the order in which they were added. */
  private findIndex(at: number): number {
    let low = 0;
    let high = this.events.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.events[middle]?.at ?? 0) > at) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}

function createEngines(scenario: Scenario, seed: number): readonly EngineModel[] {
  const { machines, load } = scenario;
  // A random sequence of its own, so that every policy gets the same machines.
  const random = createRandom(seed + MACHINE_SEED_OFFSET);
  const endMs = load.durationMs + DRAIN_MS;
  const createOne = (index: number): Machine | undefined =>
    machines === undefined ? undefined : createMachine(machines, index, endMs, random);
  const create = (stage: EngineStage, count: number) =>
    Array.from(
      { length: count },
      (_, index) => new EngineModel(`${stage}-${index}`, stage, scenario.engine, createOne(index)),
    );
  return [
    ...create(EngineStage.prefill, scenario.prefillEngines),
    ...create(EngineStage.decode, scenario.decodeEngines),
  ];
}

function createRouters(
  scenario: Scenario,
  policy: RouterPolicy,
  engines: readonly EngineModel[],
  host: RouterHost,
): readonly RouterModel[] {
  const { slots, capacityTokens, handleTtlMs, holdTtlMs } = scenario.engine;
  const limits: EngineLimits = {
    slots,
    capacityTokens,
    handleTtlMs,
    holdTtlMs,
    stageChangeMs: STAGE_CHANGE_MS,
  };
  const parameters = {
    targetLatencyMs: scenario.load.targetLatencyMs,
    deadlineMs: scenario.load.deadlineMs,
    outputTokenLimit: scenario.load.outputTokens.max,
  };
  const dataCentres = scenario.machines?.dataCentres ?? [DECODE_DATA_CENTRE];
  const enginesById = new Map(engines.map((engine) => [engine.id, engine]));
  const entries = createEndpointEntries(engines);
  return Array.from({ length: scenario.instances }, (_, index) => {
    const dataCentre = dataCentres[index % dataCentres.length] ?? DECODE_DATA_CENTRE;
    const own = { ...parameters, dataCentre };
    return new RouterModel(`router-${index}`, enginesById, entries, limits, own, policy, host);
  });
}

function scheduleEngineLoss(
  scenario: Scenario,
  engines: readonly EngineModel[],
  simulator: EventSimulator,
): void {
  const { engineLoss } = scenario;
  const lostEngine = engines.find((engine) => engine.stage === EngineStage.decode);
  if (engineLoss === undefined || lostEngine === undefined) return;
  simulator.schedule(engineLoss.startMs, () => {
    lostEngine.crash(engineLoss.startMs, engineLoss.startMs + engineLoss.durationMs);
  });
}

function startDispatching(routers: readonly RouterModel[], host: RouterHost): void {
  const dispatch = () => {
    for (const router of routers) router.dispatchWaiting();
    host.schedule(DISPATCH_INTERVAL_MS, dispatch);
  };
  dispatch();
}

function createTally(load: LoadParameters): Tally {
  const windows = Math.ceil(load.durationMs / WINDOW_MS);
  return {
    onTime: 0,
    late: 0,
    refused: 0,
    refusedAgain: 0,
    gainedWorth: Array.from({ length: windows }, () => 0),
    possibleWorth: Array.from({ length: windows }, () => 0),
    served: new Set(),
    byClass: new OnTimeTally(),
    byDataCentre: new OnTimeTally(),
    bySecond: new OnTimeTally(),
    firstTokenMs: build({ highestTrackableValue: 60_000, numberOfSignificantValueDigits: 2 }),
  };
}

function recordRequest(tally: Tally, load: LoadParameters, arrival: Arrival): void {
  const { arrivedAt: requestedAt, isOverRate } = arrival;
  tally.byClass.record(describeClass(arrival), 1, 0);
  if (!isOverRate) tally.bySecond.record(describeSecond(requestedAt), 1, 0);
  const window = Math.floor(requestedAt / WINDOW_MS);
  tally.possibleWorth[window] = (tally.possibleWorth[window] ?? 0) + load.worth;
}

function describeClass({ isOverRate, priority }: Arrival): string {
  return isOverRate ? "over rate" : `priority ${priority}`;
}

function describeSecond(atMs: number): string {
  return String(Math.floor(atMs / SECOND_MS));
}

function recordFirstToken(
  tally: Tally,
  load: LoadParameters,
  attempt: Attempt & { readonly dataCentre: string },
  now: number,
): void {
  if (tally.served.has(attempt.requestedAt)) return;
  tally.served.add(attempt.requestedAt);
  const latencyMs = now - attempt.requestedAt;
  const isOnTime = latencyMs <= load.targetLatencyMs;
  if (isOnTime) {
    tally.byClass.record(describeClass(attempt), 0, 1);
    tally.byDataCentre.record(attempt.dataCentre, 0, 1);
    if (!attempt.isOverRate) tally.bySecond.record(describeSecond(attempt.requestedAt), 0, 1);
  }
  if (isOnTime) tally.onTime += 1;
  else tally.late += 1;
  tally.firstTokenMs.recordValue(Math.round(latencyMs));
  const window = Math.floor(attempt.requestedAt / WINDOW_MS);
  tally.gainedWorth[window] =
    (tally.gainedWorth[window] ?? 0) + (isOnTime ? load.worth : load.lateWorth);
}

function summarise(
  tally: Tally,
  load: LoadParameters,
  requests: number,
  engines: readonly EngineModel[],
): ScenarioResult {
  const sum = (read: (engine: EngineModel) => number) =>
    engines.reduce((total, engine) => total + read(engine), 0);
  const gainedWorth = tally.gainedWorth.reduce((total, worth) => total + worth, 0);
  return {
    requests,
    onTime: tally.onTime,
    late: tally.late,
    refused: tally.refused,
    refusedAgain: tally.refusedAgain,
    worth: gainedWorth / Math.max(1, requests * load.worth),
    firstTokenP50Ms: tally.firstTokenMs.getValueAtPercentile(50),
    firstTokenP99Ms: tally.firstTokenMs.getValueAtPercentile(99),
    wastedShare:
      sum((engine) => engine.counts.wastedTokens) /
      Math.max(
        1,
        sum((engine) => engine.counts.prefilledTokens),
      ),
    preempted: sum((engine) => engine.counts.preempted),
    rejectedShare: sum((engine) => engine.counts.rejectedHolds) / Math.max(1, requests),
    onTimeByClass: tally.byClass.readShares(),
    onTimeByDataCentre: tally.byDataCentre.readShares(),
    worstSecond: Math.min(1, ...tally.bySecond.readShares(MIN_REQUESTS_OF_SECOND).values()),
    worthByWindow: tally.gainedWorth.map(
      (worth, window) => worth / (tally.possibleWorth[window] ?? worth),
    ),
  };
}
