/**
 * The schedule of the fault soak. Guards against soaks that cannot be played again, in which faults do not overlap, or
 * whose changes forbid what the callers send.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { FleetConfigIndex, type FleetConfig } from "../src/fleet/config";
import { CHANGES, createSoakConfig } from "./soak/changes";
import { type Fault, FaultKind } from "./soak/faults";
import { CallKind } from "./soak/history";
import { createSchedule, type SchedulePlan, SilentStage } from "./soak/schedule";

const PLAN: SchedulePlan = {
  seed: 7,
  from: 3000,
  until: 40_000,
  instances: ["nizwa-1", "nizwa-2", "nizwa-3", "bahla-1", "bahla-2", "bahla-3"],
  endpoints: [
    { id: "nizwa-s1", stages: [SilentStage.answer] },
    { id: "nizwa-d1", stages: [SilentStage.hold, SilentStage.head, SilentStage.event] },
  ],
};
/** Fields that name a thing, or say what the requests are; a change of them is another thing. */
const IDENTITY_FIELDS = new Set(["name", "host", "pathPrefix", "isStream", "version"]);

const anyPlan = fc
  .record({ seed: fc.integer(), count: fc.integer({ min: 3, max: 12 }) })
  .map(({ seed, count }) => ({
    ...PLAN,
    seed,
    instances: Array.from({ length: count }, (_, index) => `nizwa-${index + 1}`),
  }));

const STOPPING: ReadonlySet<FaultKind> = new Set([
  FaultKind.cut,
  FaultKind.terminate,
  FaultKind.kill,
  FaultKind.freeze,
]);

function countDisturbed(faults: readonly Fault[], at: number): number {
  const active = faults.filter((fault) => fault.at <= at && fault.until >= at);
  const stopping = active.filter(({ kind }) => STOPPING.has(kind));
  return new Set(stopping.flatMap(({ instances }) => instances)).size;
}

/** Lists the fields whose values differ, by path. */
function listChanged(before: unknown, after: unknown, path: string): readonly string[] {
  if (JSON.stringify(before) === JSON.stringify(after)) return [];
  if (typeof before !== "object" || typeof after !== "object" || !before || !after) return [path];
  const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...keys].flatMap((key) => {
    const inner = Array.isArray(before) ? path : `${path}.${key}`;
    const pair = [before, after].map((value) => (value as Record<string, unknown>)[key]);
    return listChanged(pair[0], pair[1], inner);
  });
}

describe("the schedule of a soak", () => {
  it("is the same for the same seed, and another for another one", () => {
    assert.deepEqual(createSchedule(PLAN), createSchedule(PLAN));
    assert.notDeepEqual(createSchedule(PLAN), createSchedule({ ...PLAN, seed: 8 }));
  });

  it("begins and ends all faults within its time, in the order in which they begin", () => {
    fc.assert(
      fc.property(anyPlan, (plan) => {
        const faults = createSchedule(plan);
        assert.ok(faults.length > 0);
        for (const { at, until } of faults)
          assert.ok(at >= plan.from && until >= at && until <= plan.until);
        const times = faults.map(({ at }) => at);
        assert.deepEqual(
          times,
          [...times].sort((a, b) => a - b),
        );
      }),
    );
  });

  it("leaves a third of the instances alone at any time", () => {
    fc.assert(
      fc.property(anyPlan, (plan) => {
        const faults = createSchedule(plan);
        for (const { at } of faults)
          assert.ok(countDisturbed(faults, at) <= (plan.instances.length * 2) / 3);
      }),
    );
  });

  it("asks for streams in a burst just before a relay is stopped, and at no other time", () => {
    const faults = Array.from({ length: 10 }, (_, seed) => createSchedule({ ...PLAN, seed }));
    for (const schedule of faults) {
      const bursts = schedule.filter(({ kind }) => kind === FaultKind.burst);
      const isDue = ({ at }: Fault) =>
        schedule.some(
          ({ kind, at: stopAt }) =>
            kind === FaultKind.terminate && stopAt > at && stopAt < at + 500,
        ) &&
        schedule.some(
          ({ kind, at: from, until }) => kind === FaultKind.cut && from <= at && until > at,
        );
      assert.ok(bursts.length > 0 && bursts.every(isDue));
    }
  });

  it("plays every kind of fault, and kinds that overlap", () => {
    const faults = Array.from({ length: 10 }, (_, seed) => createSchedule({ ...PLAN, seed }));
    const kinds = new Set(faults.flat().map(({ kind }) => kind));
    assert.deepEqual([...kinds].sort(), Object.values(FaultKind).sort());
    for (const schedule of faults) {
      const isBeside = (one: Fault) =>
        schedule.some(
          (other) => other.kind !== one.kind && other.at < one.until && other.until > one.at,
        );
      assert.ok(schedule.some(isBeside));
    }
  });
});

describe("the changes of a soak", () => {
  const base = createSoakConfig(1);
  const changed = CHANGES.map(({ apply }): FleetConfig => ({ ...base, ...apply(base) }));

  it("change each field", () => {
    const fields = new Set(changed.flatMap((config) => listChanged(base, config, "")));
    const known = [...listChanged({}, base, "")];
    assert.deepEqual(known.sort(), [".limits", ".routes", ".services", ".version", ".workspaces"]);
    const parts = {
      routes: base.routes,
      services: base.services,
      workspaces: base.workspaces,
    };
    const expected = Object.entries(parts).flatMap(([part, items]) =>
      items.flatMap((item) => Object.keys(item).map((key) => `.${part}.${key}`)),
    );
    const isChanged = (field: string) =>
      [...fields].some((one) => one === field || one.startsWith(`${field}.`));
    const unchanged = [...new Set(expected)].filter((field) => !isChanged(field));
    assert.deepEqual(
      unchanged.filter((field) => !IDENTITY_FIELDS.has(field.split(".").at(-1) ?? "")),
      [],
    );
    for (const key of Object.keys(base.limits)) assert.ok(isChanged(`.limits.${key}`), key);
  });

  it("allow all that the callers send", () => {
    for (const [index, config] of changed.entries()) {
      const name = CHANGES[index]?.name;
      const found = new FleetConfigIndex(config);
      for (const kind of Object.values(CallKind)) {
        const route = found.findRoute("test", `/${kind}/r1`);
        assert.equal(route?.name, kind, name);
        assert.equal(route?.isStream, kind === CallKind.draft || kind === CallKind.summary, name);
      }
      assert.equal(found.findWorkspace("k1")?.name, "walls", name);
    }
  });
});
