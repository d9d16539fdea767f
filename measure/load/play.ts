/**
 * Plays a load on modelled engines under a policy, and says what callers got.
 */
import { build, type Histogram } from "hdr-histogram-js";
import type { EngineLimits } from "../../src/fleet/config";
import { EngineStage } from "../../src/fleet/directory";
import { createArrivals, createDraw, type LoadFigures } from "./arrivals";
import { type EngineFigures, EngineModel } from "./engine";
import {
  type Attempt,
  createEntries,
  type RouterHost,
  RouterModel,
  type RouterPolicy,
  startBeats,
} from "./router";

const PUMP_MS = 20;
/** How much longer than its arrivals a play goes on, in milliseconds. */
const RUN_OUT_MS = 20_000;
/** The share of their time left up to which callers wait before they come back. */
const MOST_RETRY_SHARE = 1 / 3;
const STAGE_CHANGE_MS = 6000;

/** What is played. */
export interface PlayFigures {
  readonly name: string;
  readonly instances: number;
  readonly prefillEngines: number;
  readonly decodeEngines: number;
  readonly engine: EngineFigures;
  readonly load: LoadFigures;
  /** An engine that is lost for a while. */
  readonly lost: { readonly atMs: number; readonly forMs: number } | undefined;
}

/** What callers got. */
export interface PlayResult {
  readonly asked: number;
  readonly onTime: number;
  readonly late: number;
  /** Refused for good. */
  readonly refused: number;
  /** Refused again after they had come back when told. */
  readonly refusedAgain: number;
  /** What they got of what it could have been worth. */
  readonly worth: number;
  readonly firstP50Ms: number;
  readonly firstP99Ms: number;
  /** Prompt tokens read in vain, of all that were read. */
  readonly wastedShare: number;
  readonly preempted: number;
  /** By two seconds of the load: the share of the worth that callers got. */
  readonly windows: readonly number[];
}

const WINDOW_MS = 2000;

interface Tally {
  onTime: number;
  late: number;
  refused: number;
  refusedAgain: number;
  readonly gained: number[];
  readonly possible: number[];
  readonly first: Histogram;
  /** Generations that had their first event; one that lost its engine has another later. */
  readonly served: Set<number>;
}

/**
 * Plays a load under a policy.
 *
 * @param seed - the same seed brings the same arrivals to every policy
 * @example
 * playLoad(PLAYS[0], POLICIES[0], 1).worth;
 */
export function playLoad(play: PlayFigures, policy: RouterPolicy, seed: number): PlayResult {
  const draw = createDraw(seed);
  const arrivals = createArrivals(play.load, draw);
  const time = new Timeline();
  const engines = createEngines(play);
  const tally = createTally(play.load);
  const host: RouterHost = {
    now: () => time.now,
    after: (ms, act) => {
      time.add(time.now + ms, act);
    },
    draw,
    onFirst: (attempt) => {
      countFirst(tally, play.load, attempt, time.now);
    },
    onEnd: () => undefined,
    onRefused: (attempt) => {
      onRefused(attempt);
    },
  };
  const routers = createRouters(play, policy, engines, host);
  const send = (attempt: Attempt) => {
    routers[Math.floor(draw() * routers.length)]?.take(attempt);
  };
  const onRefused = (attempt: Attempt) => {
    const deadline = attempt.askedAt + play.load.deadlineMs;
    const retryMs = Math.min(
      policy.decisions.computeRetryAfterMs(deadline, time.now, draw),
      (deadline - time.now) * MOST_RETRY_SHARE,
    );
    if (attempt.isReturned) {
      tally.refused += 1;
      tally.refusedAgain += 1;
    } else {
      time.add(time.now + retryMs, () => {
        send({ ...attempt, id: `${attempt.id}r`, isReturned: true });
      });
    }
  };
  for (const arrival of arrivals) {
    countAsked(tally, play.load, arrival.at);
    time.add(arrival.at, () => {
      send({ ...arrival, askedAt: arrival.at, isReturned: false, hasStarted: false });
    });
  }
  scheduleLoss(play, engines, time);
  startBeats(routers, host);
  startPumps(routers, host);
  time.run(engines, play.load.lengthMs + RUN_OUT_MS);
  return summarise(tally, play.load, arrivals.length, engines);
}

/** Acts in virtual time, and the steps of engines between them. */
class Timeline {
  now = 0;
  private acts: { readonly at: number; readonly order: number; readonly act: () => void }[] = [];
  private order = 0;

  add(at: number, act: () => void): void {
    this.order += 1;
    const item = { at, order: this.order, act };
    const index = this.findIndex(item.at);
    this.acts.splice(index, 0, item);
  }

  run(engines: readonly EngineModel[], endAt: number): void {
    for (;;) {
      const act = this.acts.at(-1);
      const steps = engines.flatMap((engine) => engine.nextAt ?? []);
      const nextAt = Math.min(act?.at ?? Infinity, ...steps);
      if (nextAt > endAt) return;
      this.now = nextAt;
      if (act !== undefined && act.at <= nextAt) {
        this.acts.pop();
        act.act();
      } else for (const engine of engines) engine.advance(nextAt);
    }
  }

  /** Acts are kept latest first; those of one moment go in the order in which they were added. */
  private findIndex(at: number): number {
    let low = 0;
    let high = this.acts.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.acts[middle]?.at ?? 0) > at) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}

function createEngines(play: PlayFigures): readonly EngineModel[] {
  const create = (stage: EngineStage, count: number) =>
    Array.from(
      { length: count },
      (_, index) => new EngineModel(`${stage}-${index}`, stage, play.engine),
    );
  return [
    ...create(EngineStage.prefill, play.prefillEngines),
    ...create(EngineStage.decode, play.decodeEngines),
  ];
}

function createRouters(
  play: PlayFigures,
  policy: RouterPolicy,
  engines: readonly EngineModel[],
  host: RouterHost,
): readonly RouterModel[] {
  const { slots, capacityTokens, handleTtlMs, holdTtlMs } = play.engine;
  const limits: EngineLimits = {
    slots,
    capacityTokens,
    handleTtlMs,
    holdTtlMs,
    stageChangeMs: STAGE_CHANGE_MS,
  };
  const figures = {
    targetMs: play.load.targetMs,
    deadlineMs: play.load.deadlineMs,
    mostOutputTokens: play.load.outputTokens.most,
  };
  const byId = new Map(engines.map((engine) => [engine.id, engine]));
  const entries = createEntries(engines);
  return Array.from(
    { length: play.instances },
    (_, index) => new RouterModel(`router-${index}`, byId, entries, limits, figures, policy, host),
  );
}

function scheduleLoss(play: PlayFigures, engines: readonly EngineModel[], time: Timeline): void {
  const { lost } = play;
  const victim = engines.find((engine) => engine.stage === EngineStage.decode);
  if (lost === undefined || victim === undefined) return;
  time.add(lost.atMs, () => {
    victim.crash(lost.atMs, lost.atMs + lost.forMs);
  });
}

function startPumps(routers: readonly RouterModel[], host: RouterHost): void {
  const pump = () => {
    for (const router of routers) router.pump();
    host.after(PUMP_MS, pump);
  };
  pump();
}

function createTally(load: LoadFigures): Tally {
  const windows = Math.ceil(load.lengthMs / WINDOW_MS);
  return {
    onTime: 0,
    late: 0,
    refused: 0,
    refusedAgain: 0,
    gained: Array.from({ length: windows }, () => 0),
    possible: Array.from({ length: windows }, () => 0),
    served: new Set(),
    first: build({ highestTrackableValue: 60_000, numberOfSignificantValueDigits: 2 }),
  };
}

function countAsked(tally: Tally, load: LoadFigures, at: number): void {
  const window = Math.floor(at / WINDOW_MS);
  tally.possible[window] = (tally.possible[window] ?? 0) + load.worth;
}

function countFirst(tally: Tally, load: LoadFigures, attempt: Attempt, now: number): void {
  if (tally.served.has(attempt.askedAt)) return;
  tally.served.add(attempt.askedAt);
  const ms = now - attempt.askedAt;
  const isOnTime = ms <= load.targetMs;
  if (isOnTime) tally.onTime += 1;
  else tally.late += 1;
  tally.first.recordValue(Math.round(ms));
  const window = Math.floor(attempt.askedAt / WINDOW_MS);
  tally.gained[window] = (tally.gained[window] ?? 0) + (isOnTime ? load.worth : load.lateWorth);
}

function summarise(
  tally: Tally,
  load: LoadFigures,
  asked: number,
  engines: readonly EngineModel[],
): PlayResult {
  const sum = (read: (engine: EngineModel) => number) =>
    engines.reduce((total, engine) => total + read(engine), 0);
  const gained = tally.gained.reduce((total, worth) => total + worth, 0);
  return {
    asked,
    onTime: tally.onTime,
    late: tally.late,
    refused: tally.refused,
    refusedAgain: tally.refusedAgain,
    worth: gained / Math.max(1, asked * load.worth),
    firstP50Ms: tally.first.getValueAtPercentile(50),
    firstP99Ms: tally.first.getValueAtPercentile(99),
    wastedShare:
      sum((engine) => engine.counts.wastedTokens) /
      Math.max(
        1,
        sum((engine) => engine.counts.readTokens),
      ),
    preempted: sum((engine) => engine.counts.preempted),
    windows: tally.gained.map((worth, window) => worth / (tally.possible[window] ?? worth)),
  };
}
