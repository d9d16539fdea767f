/**
 * Draws the schedule of a soak from its seed: tracks of faults, each in series, which overlap each other.
 */
import { CutMode } from "../harness/cutproxy";
import { CHANGES } from "./changes";
import { describeDeath, drawDeath } from "./deaths";
import { type Fault, FaultKind, InstancePort, StoreFailure } from "./faults";
import { Random, type Range } from "./random";

/** Stages at which an endpoint falls silent. */
export const SilentStage = {
  /** Before the answer of a plain service or of a prefill. */
  answer: "answer",
  /** Before an engine reserves memory. */
  hold: "hold",
  /** Before the head of a stream. */
  head: "head",
  /** Between the events of a stream. */
  event: "event",
} as const;
export type SilentStage = (typeof SilentStage)[keyof typeof SilentStage];

/** What a schedule is drawn for. */
export interface SchedulePlan {
  readonly seed: number;
  /** When the first fault may begin, in milliseconds. */
  readonly from: number;
  /** When all faults have ended, in milliseconds. */
  readonly until: number;
  readonly instances: readonly string[];
  readonly endpoints: readonly ScheduledEndpoint[];
}

/** An endpoint with the stages that its requests have. */
export interface ScheduledEndpoint {
  readonly id: string;
  readonly stages: readonly SilentStage[];
}

/** What is drawn of a fault besides its times. */
type Drawn = Pick<Fault, "kind" | "manner"> & Partial<Pick<Fault, "instances" | "endpoints">>;

/** What a fault is drawn from. */
interface Draw {
  readonly random: Random;
  readonly at: number;
  /** The faults that were drawn before it, on its track and others. */
  readonly before: readonly Fault[];
  readonly plan: SchedulePlan;
}

/** A series of faults of related kinds. */
interface Track {
  /** Pause before each fault, in milliseconds. */
  readonly gapMs: Range;
  /** True if its faults overlap each other. */
  readonly isOverlapping?: boolean;
  /** Draws a fault; undefined if there can be none at that time. */
  draw(draw: Draw): Drawn | undefined;
}

/** How long a fault of each kind lasts, in milliseconds. */
const LENGTH_MS = {
  cut: { min: 6000, max: 12_000 },
  delay: { min: 1000, max: 4000 },
  terminate: { min: 7000, max: 7000 },
  kill: { min: 300, max: 2000 },
  freeze: { min: 500, max: 4000 },
  reconfigure: { min: 0, max: 0 },
  silence: { min: 500, max: 3000 },
  crash: { min: 300, max: 3000 },
  restart: { min: 0, max: 0 },
  copy: { min: 500, max: 3000 },
  spoil: { min: 500, max: 3000 },
  malformed: { min: 0, max: 0 },
  store: { min: 500, max: 5000 },
  burst: { min: 0, max: 0 },
} as const satisfies Record<FaultKind, Range>;
/** The share of all instances that may be disturbed at a time. */
const DISTURBED_SHARE = 2 / 3;
/** Time for which an instance counts as disturbed after a fault of its process, in milliseconds. */
const AFTERMATH_MS = 3000;
/** When engines fall silent after a SIGTERM, in milliseconds: the notice to callers and peers lasts 2600. */
const SILENCE_AFTER_STOP_MS = { min: 2000, max: 2700 };
/** How long before a SIGTERM of a relay callers ask for streams, in milliseconds: these last beyond its notice. */
const BURST_BEFORE_STOP_MS = { min: 150, max: 400 };
const CUT_MODES = [CutMode.hang, CutMode.hangAnswers, CutMode.reset, CutMode.refuseNew] as const;
const PROCESS_KINDS = [FaultKind.terminate, FaultKind.kill, FaultKind.freeze] as const;
type ProcessKind = (typeof PROCESS_KINDS)[number];
/** Faults of relays, most of them graceful stops. */
const RELAY_KINDS = [FaultKind.terminate, FaultKind.terminate, ...PROCESS_KINDS];

const TRACKS: readonly Track[] = [
  { gapMs: { min: 1000, max: 4000 }, draw: drawCut },
  { gapMs: { min: 300, max: 4000 }, draw: (draw) => drawProcessFault(draw) },
  {
    gapMs: { min: 50, max: 3000 },
    draw: ({ random }) => ({ kind: FaultKind.reconfigure, manner: random.choose(CHANGES).name }),
  },
  { gapMs: { min: 100, max: 1500 }, draw: drawSilence },
  {
    gapMs: { min: 3000, max: 9000 },
    draw: ({ random, plan }) => ({
      kind: FaultKind.crash,
      manner: "killed",
      endpoints: [random.choose(plan.endpoints).id],
    }),
  },
  {
    gapMs: { min: 3000, max: 8000 },
    draw: ({ random }) => ({
      kind: FaultKind.store,
      manner: random.choose(Object.values(StoreFailure)),
    }),
  },
  {
    gapMs: { min: 2000, max: 6000 },
    draw: ({ random, plan }) => ({
      kind: FaultKind.delay,
      manner: "100 ms",
      instances: random.select(plan.instances, random.drawInteger({ min: 1, max: 2 })),
    }),
  },
  { gapMs: { min: 1000, max: 6000 }, draw: drawCopy },
  {
    gapMs: { min: 500, max: 4000 },
    draw: ({ random, plan }) => ({
      kind: FaultKind.malformed,
      manner: random.choose(Object.values(InstancePort)),
      instances: [random.choose(plan.instances)],
    }),
  },
  {
    gapMs: { min: 1000, max: 5000 },
    draw: ({ random, plan }) => ({
      kind: FaultKind.spoil,
      manner: "page or endless",
      endpoints: [random.choose(plan.endpoints).id],
    }),
  },
  { gapMs: { min: 400, max: 2500 }, draw: drawRestart },
  { gapMs: { min: 1000, max: 4000 }, draw: drawRelayFault },
  { gapMs: { min: 80, max: 200 }, draw: drawSilenceAfterStop, isOverlapping: true },
  { gapMs: { min: 150, max: 250 }, draw: drawBurst, isOverlapping: true },
];

/**
 * Draws a schedule; the same plan has always the same one.
 *
 * @returns the faults by the time at which they begin
 * @example
 * createSchedule({ seed: 7, from: 3000, until: 40_000, instances, endpoints });
 */
export function createSchedule(plan: SchedulePlan): readonly Fault[] {
  const random = new Random(plan.seed);
  const faults: Fault[] = [];
  for (const [index, track] of TRACKS.entries()) addTrack(faults, track, random.split(index), plan);
  return faults.sort((a, b) => a.at - b.at);
}

/** Draws the faults of a track, and adds them to those of the tracks before. */
function addTrack(faults: Fault[], track: Track, random: Random, plan: SchedulePlan) {
  const { gapMs, draw } = track;
  let at = plan.from + random.draw(gapMs);
  while (at < plan.until) {
    const drawn = draw({ random, at, before: faults, plan });
    const lengthMs = drawn === undefined ? 0 : random.draw(LENGTH_MS[drawn.kind]);
    const until = at + lengthMs;
    if (drawn !== undefined && until <= plan.until)
      faults.push({ instances: [], endpoints: [], ...drawn, at, until });
    // Processes end in close series; other faults of a track follow each other.
    const isEnding = drawn?.kind === FaultKind.terminate || drawn?.kind === FaultKind.kill;
    at = (isEnding || track.isOverlapping === true ? at : until) + random.draw(gapMs);
  }
}

function drawCut({ random, plan: { instances } }: Draw): Drawn {
  const max = Math.max(1, Math.floor(instances.length * DISTURBED_SHARE));
  const count = random.drawInteger({ min: 1, max });
  const manner = random.choose(CUT_MODES);
  return { kind: FaultKind.cut, manner, instances: random.select(instances, count) };
}

/** Draws a fault of a process, at an instance by which no more than two thirds of all are disturbed. */
function drawProcessFault(
  { random, at, before, plan: { instances } }: Draw,
  eligible: readonly string[] = instances,
  kinds: readonly ProcessKind[] = [...PROCESS_KINDS, FaultKind.terminate],
): Drawn | undefined {
  const kind = random.choose(kinds);
  const overlapping = before.filter((one) => isOverlapping(one, at, at + LENGTH_MS[kind].max));
  const stopped = new Set(
    overlapping.filter((one) => isProcessKind(one.kind)).flatMap((one) => one.instances),
  );
  const moments = [at, ...overlapping.map((one) => Math.max(at, one.at))];
  const isAllowed = (name: string) =>
    moments.every((moment) => {
      const disturbed = listDisturbed(overlapping, moment).add(name);
      return disturbed.size <= instances.length * DISTURBED_SHARE;
    });
  const candidates = eligible.filter((name) => !stopped.has(name) && isAllowed(name));
  if (candidates.length === 0) return undefined;
  const manner = { terminate: "SIGTERM", kill: "SIGKILL", freeze: "SIGSTOP" }[kind];
  return { kind, manner, instances: [random.choose(candidates)] };
}

function drawSilence({ random, plan: { endpoints } }: Draw): Drawn {
  const { id, stages } = random.choose(endpoints);
  return { kind: FaultKind.silence, manner: random.choose(stages), endpoints: [id] };
}

/** Draws an engine that pauses amid its streams as the notice of an instance that stops is over. */
function drawSilenceAfterStop({ random, at, before, plan }: Draw): Drawn | undefined {
  const isDue = before.some(
    (one) =>
      one.kind === FaultKind.terminate &&
      at >= one.at + SILENCE_AFTER_STOP_MS.min &&
      at <= one.at + SILENCE_AFTER_STOP_MS.max,
  );
  const engines = plan.endpoints.filter(({ stages }) => stages.includes(SilentStage.event));
  if (!isDue || engines.length === 0) return undefined;
  const endpoints = [random.choose(engines).id];
  return { kind: FaultKind.silence, manner: SilentStage.event, endpoints };
}

/** Draws a burst of streams just before an instance stops by which others, which are cut off, reach their engines. */
function drawBurst({ at, before }: Draw): Drawn | undefined {
  const isDue = before.some(
    ({ kind, at: stopAt }) =>
      kind === FaultKind.terminate &&
      at >= stopAt - BURST_BEFORE_STOP_MS.max &&
      at <= stopAt - BURST_BEFORE_STOP_MS.min &&
      before.some((cut) => cut.kind === FaultKind.cut && cut.at <= at && cut.until > stopAt),
  );
  return isDue ? { kind: FaultKind.burst, manner: "drafts" } : undefined;
}

function drawCopy({ random, plan: { endpoints } }: Draw): Drawn {
  const copying = endpoints.filter(({ stages }) => stages.includes(SilentStage.answer));
  return { kind: FaultKind.copy, manner: "late", endpoints: [random.choose(copying).id] };
}

/** Draws the end of an engine's process amid its streams. */
function drawRestart({ random, plan }: Draw): Drawn | undefined {
  const engines = plan.endpoints.filter(({ stages }) => stages.includes(SilentStage.event));
  if (engines.length === 0) return undefined;
  const manner = describeDeath(drawDeath(random));
  return { kind: FaultKind.restart, manner, endpoints: [random.choose(engines).id] };
}

/** Draws a fault of the process of an instance that relays for others, which are cut off at that time. */
function drawRelayFault(draw: Draw): Drawn | undefined {
  const { at, before, plan } = draw;
  const cuts = before.filter((one) => one.kind === FaultKind.cut && one.at <= at && one.until > at);
  if (cuts.length === 0) return undefined;
  const cut = new Set(cuts.flatMap(({ instances }) => instances));
  const relays = plan.instances.filter((name) => !cut.has(name));
  return drawProcessFault(draw, relays, RELAY_KINDS);
}

function isProcessKind(kind: FaultKind): boolean {
  return PROCESS_KINDS.some((one) => one === kind);
}

/** Lists the instances that are disturbed at a moment. */
function listDisturbed(faults: readonly Fault[], at: number): Set<string> {
  const active = faults.filter((fault) => isOverlapping(fault, at, at));
  return new Set(active.flatMap(({ instances }) => instances));
}

function isOverlapping(fault: Fault, from: number, until: number): boolean {
  return fault.at < until + AFTERMATH_MS && from < fault.until + AFTERMATH_MS;
}
