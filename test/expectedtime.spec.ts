/**
 * The choice of endpoints by expected time. Guards against slow endpoints that get as much work as fast ones,
 * instances that all choose the same endpoint, reports that mislead, and changes for services whose endpoints
 * are equals.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { EngineStage } from "../src/fleet/entries";
import { chooseEndpoint } from "../src/forward/calls/balancer";
import { computeFreeAfterMs, isHopeless } from "../src/forward/calls/waiting";
import { HealthTracker } from "../src/forward/endpoints/health";
import { hasSpeedDifference, SpeedTracker } from "../src/forward/endpoints/speeds";
import {
  chooseDecode,
  choosePrefill,
  EngineLoadTracker,
  type EngineView,
  type EngineWork,
} from "../src/forward/engines/load";
import { createEntry } from "./harness/forward";

const KIND = "lookups@job-sheets";
const LIMITS = {
  slots: 16,
  capacityTokens: 30_000,
  holdTtlMs: 2000,
  handleTtlMs: 8000,
  stageChangeMs: 1500,
};

function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

function createReport(factor: number, ageMs = 0) {
  return { factor, ageMs };
}

describe("the speed of an endpoint", () => {
  it("follows a reported slowness at once, and forgets it within a second or two", () => {
    const speeds = new SpeedTracker();
    const ratio = (ageMs: number) => speeds.estimate(KIND, "a", createReport(2.5, ageMs), 0).ratio;
    assert.ok(Math.abs(ratio(0) - 2.5) < 1e-9);
    assert.ok(ratio(100) > 2);
    assert.ok(ratio(2000) < 1.1);
  });

  it("is learnt from measured times where none is reported", () => {
    const speeds = new SpeedTracker();
    for (let turn = 0; turn < 60; turn += 1) {
      speeds.recordSample(KIND, "fast", { ms: 40, units: 1 }, undefined, turn);
      speeds.recordSample(KIND, "slow", { ms: 80, units: 1 }, undefined, turn);
    }
    const estimate = (id: string, now: number) => speeds.estimate(KIND, id, undefined, now);
    const factor = estimate("slow", 60).ratio / estimate("fast", 60).ratio;
    assert.ok(factor > 1.9 && factor < 2.1, `factor ${factor}`);
    assert.ok(Math.abs((estimate("slow", 60).ms ?? 0) - 80) < 4);
    assert.ok(estimate("slow", 20_000).ratio < 1.05, "it is tried again after some time");
  });

  it("of one that was not measured counts as typical, also when times have become shorter", () => {
    const speeds = new SpeedTracker();
    for (let turn = 0; turn < 60; turn += 1) {
      speeds.recordSample(KIND, "known", { ms: 200 / (turn + 1), units: 1 }, undefined, turn);
    }
    const ratio = speeds.estimate(KIND, "known", undefined, 60).ratio;
    assert.ok(ratio > 0.95, `a new endpoint must be tried beside one at ${ratio}`);
  });

  it("is not told by a first time that may hold the opening of a connection", () => {
    const speeds = new SpeedTracker();
    const record = (id: string, ms: number, factor: number, now: number) => {
      speeds.recordSample(
        KIND,
        id,
        { ms, units: 1, mayHoldConnect: true },
        createReport(factor),
        now,
      );
    };
    const ratio = (id: string, factor: number, ageMs: number) =>
      speeds.estimate(KIND, id, createReport(factor, ageMs), 60).ratio;
    // Whatever the random share of the expected time is, a quarter of it at most.
    const assertChosen = () => {
      const [free, slow] = [ratio("free", 1, 0), ratio("slow", 2.5, 0)];
      assert.ok(free * 1.25 < slow, `${free} and ${slow}`);
    };
    for (let turn = 0; turn < 60; turn += 1) record("slow", 37, 2.5, turn);
    record("free", 300, 1, 60);
    assertChosen();
    assert.ok(ratio("free", 1, 2000) <= 1, `${ratio("free", 1, 2000)} once its report is old`);
    record("free", 15, 1, 60);
    assertChosen();
    record("free", 60, 1, 60);
    assertChosen();
  });

  it("combines the machine's own speed with the slowness that it reports", () => {
    const speeds = new SpeedTracker();
    for (let turn = 0; turn < 60; turn += 1) {
      const factor = turn % 2 === 0 ? 1 : 2.5;
      const report = createReport(factor);
      speeds.recordSample(KIND, "fast", { ms: 30 * factor, units: 1 }, report, turn);
      speeds.recordSample(KIND, "slow", { ms: 60 * factor, units: 1 }, report, turn);
    }
    const ms = (id: string, factor: number) =>
      speeds.estimate(KIND, id, createReport(factor), 60).ms ?? 0;
    assert.ok(Math.abs(ms("fast", 2.5) - 75) < 8, `${ms("fast", 2.5)}`);
    assert.ok(Math.abs(ms("slow", 1) - 60) < 6, `${ms("slow", 1)}`);
  });

  it("gives no weight to reports that contradict the measured times for long", () => {
    const speeds = new SpeedTracker();
    for (let turn = 0; turn < 60; turn += 1) {
      const report = createReport(turn % 2 === 0 ? 0.2 : 20);
      speeds.recordSample(KIND, "a", { ms: 40, units: 1 }, report, turn);
    }
    const { ratio } = speeds.estimate(KIND, "a", createReport(20), 60);
    assert.ok(ratio < 1.2, `ratio ${ratio}`);
  });

  it("differs clearly only where chance does not explain it", () => {
    let clear = 0;
    for (let seed = 1; seed <= 50; seed += 1) {
      const speeds = new SpeedTracker();
      const random = createRandom(seed);
      for (let turn = 0; turn < 200; turn += 1) {
        const ms = -Math.log(1 - random()) * 40;
        speeds.recordSample(KIND, `e${turn % 3}`, { ms, units: 1 }, undefined, turn);
      }
      const estimates = ["e0", "e1", "e2"].map((id) => speeds.estimate(KIND, id, undefined, 200));
      if (hasSpeedDifference(estimates)) clear += 1;
    }
    assert.ok(clear <= 1, `${clear} of 50 services of equal endpoints`);
  });
});

describe("the choice of a plain endpoint", () => {
  const ids = ["a", "b", "c"];
  const list = (health: HealthTracker, now: number) =>
    ids.map((id) => ({
      endpoint: createEntry(id, `${id}:1`, { slots: 6 }),
      health: health.readView(id, now),
      isInDoubt: false,
      isLimited: false,
      speed: health.estimateSpeed(KIND, id, now),
    }));
  const choose = (health: HealthTracker, now: number, random: () => number) =>
    chooseEndpoint(list(health, now), "nizwa", new Set(), random)?.endpoint.id;

  it("leaves an endpoint that reports to be slow until the others are fuller", () => {
    const health = new HealthTracker();
    health.recordLoad("a", { running: 0, waiting: 0, slots: 6, slowness: 2.5 }, 0);
    for (const id of ["b", "c"]) {
      health.recordLoad(id, { running: 4, waiting: 0, slots: 6, slowness: 1 }, 0);
    }
    assert.notEqual(
      choose(health, 10, () => 0),
      "a",
    );
    for (const id of ["b", "c"]) {
      health.recordLoad(id, { running: 6, waiting: 9, slots: 6, slowness: 1 }, 20);
    }
    assert.equal(
      choose(health, 30, () => 0),
      "a",
      "a queue takes longer than a slow machine",
    );
  });

  it("spreads the choices of instances with the same view", () => {
    const health = new HealthTracker();
    for (const id of ids) {
      health.recordLoad(id, { running: 2, waiting: 0, slots: 6, slowness: 1 }, 0);
    }
    const random = createRandom(7);
    const counts = new Map<string, number>();
    for (let turn = 0; turn < 300; turn += 1) {
      const id = choose(health, 10, random) ?? "";
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    for (const id of ids) assert.ok((counts.get(id) ?? 0) > 60, `${id}: ${counts.get(id)}`);
  });

  it("is as before where the load is told in three figures, whatever the measured times", () => {
    const health = new HealthTracker();
    for (let turn = 0; turn < 40; turn += 1) {
      ids.forEach((id, index) => {
        health.recordWork(KIND, id, { ms: 20 * (index + 1), units: 1 }, turn);
        health.recordLoadOfAnswer(id, { running: 1, waiting: 0, slots: 6 }, turn);
        health.recordLoad(id, { running: 3 - index, waiting: 0, slots: 6 }, turn);
      });
    }
    assert.equal(
      choose(health, 41, () => 0),
      "c",
      "the one with the least load",
    );
  });
});

describe("a request that no endpoint can serve in time", () => {
  const endpoint = createEntry("a", "a:1", { slots: 6 });
  const list = (waiting: number, hasReport = true) => {
    const health = new HealthTracker();
    for (let turn = 0; turn < 40; turn += 1)
      health.recordWork(KIND, "a", { ms: 43, units: 1 }, turn);
    const load = { running: 6, waiting, slots: 6 };
    health.recordLoad("a", hasReport ? { ...load, slowness: 1 } : load, 40);
    const speed = health.estimateSpeed(KIND, "a", 41);
    const view = health.readView("a", 41);
    return [{ endpoint, health: view, isInDoubt: false, isLimited: false, speed }];
  };

  it("is refused only if its endpoints report a queue that is far too long", () => {
    assert.equal(isHopeless(list(0), 100), false);
    assert.equal(isHopeless(list(12), 200), false, "it may just be in time");
    assert.equal(isHopeless(list(60), 200), true);
    assert.equal(isHopeless(list(60, false), 200), false, "loads in three figures refuse nothing");
    assert.equal(isHopeless([], 200), false);
  });

  it("may come back when a slot is expected to be free, spread over half as much again", () => {
    assert.equal(
      computeFreeAfterMs(list(0), 250, () => 0),
      250,
    );
    assert.equal(
      computeFreeAfterMs(list(60, false), 250, () => 1),
      250,
    );
    const soonestMs = computeFreeAfterMs(list(60), 250, () => 0);
    assert.ok(soonestMs > 430 && soonestMs < 600, `${soonestMs}`);
    assert.equal(
      computeFreeAfterMs(list(60), 250, () => 1),
      Math.round(soonestMs * 1.5),
    );
  });
});

describe("the choice of engines that differ in speed", () => {
  const createView = (id: string, ratio: number, more: Partial<EngineView> = {}): EngineView => ({
    endpoint: createEntry(id, `${id}:1`, { stage: EngineStage.decode, dataCentre: "nizwa" }),
    heldTokens: 0,
    promptTokens: 0,
    requests: 0,
    isFull: false,
    isUnavailable: false,
    isLimited: false,
    estimate: { ratio, ms: undefined, isReported: true, measured: undefined },
    ...more,
  });
  const demand = { needTokens: 3200, dataCentre: "nizwa" };

  it("prefers a fast decode engine as long as it has room to spare", () => {
    const slow = createView("slow", 1.3);
    const choose = (heldTokens: number) =>
      chooseDecode([createView("fast", 0.55, { heldTokens }), slow], LIMITS, demand)?.endpoint.id;
    assert.equal(choose(12_000), "fast");
    assert.equal(choose(24_000), "slow");
  });

  it("takes the slots that an engine reports for its number of slots", () => {
    const full = createView("full", 0.55, { requests: 12, report: { requests: 12, slots: 12 } });
    const free = createView("free", 1.3);
    assert.equal(chooseDecode([full, free], LIMITS, demand)?.endpoint.id, "free");
    assert.equal(chooseDecode([full], LIMITS, demand), undefined);
  });

  it("moves a generation to another data centre only if it takes clearly less time there", () => {
    const far = createEntry("far", "far:1", { stage: EngineStage.decode, dataCentre: "izki" });
    const choose = (ratio: number) => {
      const views = [createView("near", 1), createView("far", ratio, { endpoint: far })];
      return chooseDecode(views, LIMITS, demand)?.endpoint.id;
    };
    assert.equal(choose(0.95), "near");
    assert.equal(choose(0.6), "far");
  });

  it("has a prompt read where it is read first, not where the fewest tokens wait", () => {
    const create = (id: string, ratio: number, promptTokens: number) => {
      const endpoint = createEntry(id, `${id}:1`, { stage: EngineStage.prefill });
      return createView(id, ratio, { endpoint, promptTokens });
    };
    const prompt = { promptTokens: 3000, tokensPerMs: 30, leftMs: 900 };
    const views = [create("slow", 2.5, 0), create("fast", 0.6, 4000)];
    assert.equal(choosePrefill(views, new Set(), prompt)?.endpoint.id, "fast");
  });
});

describe("the work that peers report", () => {
  it("sums to what the reports of the peers that are not silent sum to", () => {
    const engines = ["a", "b"].map((id) => createEntry(id, `${id}:1`));
    const work = fc.record({
      engine: fc.constantFrom("a", "b"),
      heldTokens: fc.nat(5000),
      promptTokens: fc.nat(5000),
      requests: fc.nat(3),
    });
    const step = fc.record({
      waitMs: fc.nat(1500),
      peer: fc.constantFrom("p", "q", "r"),
      works: fc.uniqueArray(work, { selector: ({ engine }) => engine }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
        const tracker = new EngineLoadTracker();
        const reports = new Map<string, { works: readonly EngineWork[]; at: number }>();
        let now = 0;
        for (const { waitMs, peer, works } of steps) {
          now += waitMs;
          tracker.replacePeerWork(peer, works, now);
          reports.set(peer, { works, at: now });
          const counted = [...reports.values()].filter(({ at }) => now - at <= 3000);
          for (const engine of engines) {
            const expected = counted
              .flatMap((report) => report.works.filter((item) => item.engine === engine.id))
              .reduce((sum, item) => sum + item.heldTokens, 0);
            assert.equal(tracker.readView(engine, false, now).heldTokens, expected);
          }
        }
      }),
    );
  });
});
