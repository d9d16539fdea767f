/**
 * Instances that are cut off from all endpoints while their callers, the store and their peers stay in reach. Guards
 * against instances that serve nothing then, as in the incident RECOVER, and against what they conclude of the endpoints.
 */
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { pause } from "../src/core/clock";
import { CallKind, type CallRates, CutCallers, describeBans, type Try } from "./harness/cutcallers";
import { CutFleet, type CutFleetPlan } from "./harness/cutfleet";
import { CutMode } from "./harness/cutproxy";

/** Time from the start of a cut from which instances must serve, in milliseconds. */
const FOUND_MS = 3000;
/** Time from the end of a cut from which all is as before, in milliseconds. */
const HEALED_MS = 1500;
/** Time within which all answers have come without a cut, in milliseconds. */
const SETTLED_MS = 1200;
/** How long tries are counted, before a cut, in it and after it, in milliseconds. */
const COUNTED_MS = { before: 700, cut: 2000, healed: 700 } as const;
/** The share of what other instances serve that cut ones must serve. */
const SERVED_SHARE = 2 / 3;
/** First tries that may fail at cut instances: a number, and one of so many. */
const FAILED = { count: 10, oneOf: 50 } as const;
/** Longest wait of a request that is refused, in milliseconds: the end of a cut must not serve those that were counted. */
const WAIT_MS = 800;
const SEED = 20261204;

interface Size {
  readonly title: string;
  readonly plan: CutFleetPlan;
  /** Number of instances of each data centre that are cut off. */
  readonly cut: number;
  readonly rates: CallRates;
}

const SIZES: readonly Size[] = [
  {
    title: "2 of 3 instances",
    plan: {
      dataCentres: ["nizwa"],
      instances: 3,
      endpoints: { sheets: 3, prefill: 2, decode: 4 },
    },
    cut: 2,
    rates: { any: 8, once: 6, summary: 4 },
  },
  {
    title: "6 of 9 instances in 3 data centres",
    plan: {
      dataCentres: ["nizwa", "bahla", "sohar"],
      instances: 3,
      endpoints: { sheets: 2, prefill: 1, decode: 2 },
    },
    cut: 2,
    rates: { any: 6, once: 5, summary: 3 },
  },
];

const MODES = [
  { mode: CutMode.hang, title: "connections hang" },
  { mode: CutMode.reset, title: "connections are reset" },
  { mode: CutMode.refuseNew, title: "new connections are refused" },
] as const;

after(() => {
  setTimeout(() => process.exit(), 500).unref();
});

/** Tries within one time, at cut instances and at the others. */
interface Counted {
  readonly cut: readonly Try[];
  readonly others: readonly Try[];
}

const countFailed = (tries: readonly Try[]) => tries.filter((item) => !item.isServed).length;
const computeServedShare = (tries: readonly Try[]) => 1 - countFailed(tries) / tries.length;

/** Describes failures by kind of request and answer, for messages. */
function describeFailures(tries: readonly Try[]): string {
  const counts = new Map<string, number>();
  for (const { kind, answer } of tries.filter((item) => !item.isServed)) {
    const key = `${kind}: ${answer}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  const failures = [...counts].map(([key, count]) => `${count} ${key}`);
  return `${countFailed(tries)} of ${tries.length} failed (${failures.join("; ")})`;
}

/** Lists which instances of a fleet are cut: the first ones of each data centre. */
function chooseCut(fleet: CutFleet, count: number): ReadonlySet<string> {
  const names = fleet.instances.map(({ name }) => name);
  return new Set(names.filter((name) => Number(name.split("-")[1]) <= count));
}

/** Plays one cut. */
async function playCut({ plan, cut: cutCount, rates }: Size, mode: CutMode) {
  const fleet = await CutFleet.start(plan);
  const cut = chooseCut(fleet, cutCount);
  const callers = new CutCallers(rates, [], SEED);
  for (const instance of fleet.instances) callers.start(instance);
  const count = async (forMs: number): Promise<() => Counted> => {
    const from = performance.now();
    await pause(forMs);
    const to = performance.now();
    return () => {
      const tries = callers.list(from, to);
      const isCut = ({ instance }: Try) => cut.has(instance);
      return { cut: tries.filter(isCut), others: tries.filter((item) => !isCut(item)) };
    };
  };
  const before = await count(COUNTED_MS.before);
  await pause(SETTLED_MS);
  const cutAt = performance.now();
  await fleet.cut(cut, mode);
  await pause(FOUND_MS - (performance.now() - cutAt));
  const during = await count(COUNTED_MS.cut);
  await pause(WAIT_MS);
  await fleet.heal();
  await pause(HEALED_MS);
  const healed = await count(COUNTED_MS.healed);
  await callers.stop();
  fleet.close();
  const { runCounts } = fleet.endpoints;
  const { tries } = callers;
  return { before: before(), during: during(), healed: healed(), tries, runCounts };
}

type PlayedCut = Awaited<ReturnType<typeof playCut>>;

for (const size of SIZES) {
  for (const { mode, title: manner } of MODES) {
    const name = `${size.title} cut off, ${manner}`;
    describe(`instances cut off from endpoints: ${name}`, () => {
      let played: PlayedCut;

      before(async () => {
        played = await playCut(size, mode);
      });

      it(`serves before the cut at every instance: ${name}`, () => {
        const { cut, others } = played.before;
        assert.ok(cut.length > 0 && others.length > 0);
        assert.equal(countFailed([...cut, ...others]), 0, describeFailures([...cut, ...others]));
      });

      it(`does not leave callers of cut instances unserved: ${name}`, () => {
        const { cut, others } = played.during;
        const message = `cut: ${describeFailures(cut)}; others: ${describeFailures(others)}`;
        assert.ok(computeServedShare(others) > 0, message);
        assert.ok(
          computeServedShare(cut) >= SERVED_SHARE * computeServedShare(others) &&
            countFailed(cut) <= FAILED.count + cut.length / FAILED.oneOf,
          message,
        );
      });

      it(`runs nothing twice that may run once: ${name}`, () => {
        const { runCounts, tries } = played;
        const once = tries.filter(({ kind }) => kind === CallKind.once);
        const repeated = once.filter(({ id }) => (runCounts.get(id) ?? 0) > 1);
        assert.deepEqual(repeated, []);
      });

      it(`runs nothing that it refused as not run: ${name}`, () => {
        const { runCounts, tries } = played;
        const refused = tries.filter(({ isNotRun }) => isNotRun);
        assert.deepEqual(
          refused.filter(({ id }) => runCounts.has(id)),
          [],
        );
      });

      it(`does not ban sound requests as crashing endpoints: ${name}`, () => {
        const banned = played.tries.filter(({ isBanned }) => isBanned);
        assert.equal(banned.length, 0, describeBans(played.tries));
      });

      it(`serves as before once the cut has ended: ${name}`, () => {
        const { cut, others } = played.healed;
        assert.ok(cut.length > 0);
        assert.equal(countFailed(cut), 0, describeFailures(cut));
        assert.equal(countFailed(others), 0, describeFailures(others));
      });
    });
  }
}
