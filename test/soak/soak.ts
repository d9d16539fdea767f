/**
 * Plays a soak of one seed, and judges what callers and endpoints saw.
 */
import { pause } from "../../src/core/clock";
import { SoakCallers } from "./callers";
import { CHECKS } from "./checks";
import type { Fault } from "./faults";
import { SoakFleet } from "./fleet";
import type { Breach, History, ProcessEnd, Run } from "./history";
import { FaultPlayer } from "./player";
import { Random } from "./random";
import { createSchedule } from "./schedule";
import { drawStreamPlan } from "./streamplan";

/** Traffic before the first fault, in milliseconds. */
const WARM_UP_MS = 2000;
/** Traffic after the last fault, in milliseconds. */
const CALM_MS = 8000;
/** How long runs are recorded after the last answer, in milliseconds. */
const LATE_RUNS_MS = 1000;

/** What a soak is played with. */
export interface SoakPlan {
  readonly seed: number;
  /** How long traffic lasts, in milliseconds; stopping instances may take some seconds more. */
  readonly lengthMs: number;
  readonly instances: number;
}

/** A soak that was played. */
export interface SoakResult {
  readonly history: History;
  readonly schedule: readonly Fault[];
  readonly breaches: readonly Breach[];
  /** Folder of the instances' logs; they are kept only if something was broken. */
  readonly folder: string;
}

/**
 * Plays a soak.
 *
 * @example
 * const { breaches } = await runSoak({ seed: 7, lengthMs: 60_000, instances: 6 });
 */
export async function runSoak(plan: SoakPlan): Promise<SoakResult> {
  const record: FleetRecord = { runs: [], ends: [], startedAt: performance.now() };
  const readTime = () => performance.now() - record.startedAt;
  const fleet = await SoakFleet.start(plan.instances, {
    onRun: (run) => record.runs.push({ ...run, at: readTime() }),
    onEnd: (end) => record.ends.push({ ...end, at: readTime() }),
  });
  for (const endpoint of fleet.endpoints.values()) {
    endpoint.isNamed = true;
    endpoint.planStream = (id) => drawStreamPlan(plan.seed, id);
  }
  let isKept = true;
  try {
    const schedule = createFleetSchedule(plan, fleet);
    const history = await runSchedule(plan, fleet, schedule, record);
    const breaches = CHECKS.flatMap((check) => check(history));
    isKept = breaches.length > 0;
    return { history, schedule, breaches, folder: fleet.folder };
  } finally {
    await fleet.close(isKept);
  }
}

/** What the fleet reports while a soak is played. */
interface FleetRecord {
  readonly runs: Run[];
  readonly ends: ProcessEnd[];
  /** When the traffic starts, on the monotonic clock. */
  startedAt: number;
}

function createFleetSchedule({ seed, lengthMs }: SoakPlan, fleet: SoakFleet): readonly Fault[] {
  return createSchedule({
    seed,
    from: WARM_UP_MS,
    until: Math.max(WARM_UP_MS, lengthMs - CALM_MS),
    instances: [...fleet.instances.keys()],
    endpoints: [...fleet.endpoints.values()].map(({ id, stages }) => ({ id, stages })),
  });
}

async function runSchedule(
  { seed }: SoakPlan,
  fleet: SoakFleet,
  schedule: readonly Fault[],
  record: FleetRecord,
): Promise<History> {
  record.startedAt = performance.now();
  const callers = new SoakCallers(new Random(seed), record.startedAt);
  for (const instance of fleet.instances.values()) callers.start(instance);
  const player = new FaultPlayer(fleet, callers, record.startedAt);
  await player.run(schedule);
  const calmAt = performance.now() - record.startedAt;
  await pause(CALM_MS);
  await callers.stop();
  await pause(LATE_RUNS_MS);
  const { tries } = callers;
  return { tries, runs: record.runs, faults: player.played, ends: [...record.ends], calmAt };
}
