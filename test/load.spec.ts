/**
 * Simulates bursts on modelled engines with the router's policy and with the policies before it, and compares the
 * outcomes for callers; also tests the engine model itself. Guards against changes of the overload decisions that cost
 * callers responses on time.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createArrivals, createRandom } from "../measure/load/arrivals";
import { EngineModel } from "../measure/load/engine";
import { type Scenario, runScenario, type ScenarioResult } from "../measure/load/play";
import { SCENARIOS, POLICIES } from "../measure/load/plays";
import { EngineStage } from "../src/fleet/entries";
import {
  computeRetryAfterMs,
  computeWaitLimits,
  limitCapacity,
} from "../src/forward/engines/overload";

const SEEDS = [1, 2, 3, 4, 5];

function findPlay(name: string): Scenario {
  const play = SCENARIOS.find((item) => item.name === name);
  assert.ok(play);
  return play;
}

function playMean(play: Scenario, policyName: string): (read: keyof ScenarioResult) => number {
  const policy = POLICIES.find((item) => item.name === policyName);
  assert.ok(policy);
  const results = SEEDS.map((seed) => runScenario(play, policy, seed));
  return (read) => results.reduce((sum, result) => sum + Number(result[read]), 0) / results.length;
}

describe("engines of two speeds, with spells in which they are slow", () => {
  for (const name of ["uneven", "uneven with waves and flood"]) {
    it(`bring more answers on time if they are chosen by expected time (${name})`, () => {
      const play = findPlay(name);
      const current = playMean(play, "usual");
      const previous = playMean(play, "by load alone");
      assert.ok(current("onTime") > previous("onTime") * 1.02);
      assert.ok(current("worstSecond") > previous("worstSecond"));
      assert.ok(current("rejectedShare") < previous("rejectedShare"));
    });
  }

  it("are chosen as before where all have the same speed", () => {
    const current = playMean(findPlay("bursts"), "usual");
    const previous = playMean(findPlay("bursts"), "by load alone");
    for (const figure of ["onTime", "refused", "worth"] as const) {
      assert.equal(current(figure), previous(figure), figure);
    }
  });
});

describe("bursts of twice the engines' capacity", () => {
  for (const name of ["bursts", "bursts and lost engine"]) {
    it(`bring more answers on time if late generations leave room (${name})`, () => {
      const play = findPlay(name);
      const current = playMean(play, "usual");
      const previous = playMean(play, "neither");
      assert.ok(current("onTime") > previous("onTime") * 1.03);
      assert.ok(current("worth") > previous("worth") + 0.02);
    });

    it(`refuse fewer for good if callers retry later (${name})`, () => {
      const play = findPlay(name);
      assert.ok(playMean(play, "usual")("refused") < playMean(play, "early returns")("refused"));
    });
  }

  it("are handled at no cost to a calm period", () => {
    const current = playMean(findPlay("calm"), "usual");
    const previous = playMean(findPlay("calm"), "neither");
    assert.ok(current("worth") >= previous("worth") - 0.005);
    assert.ok(current("onTime") / current("requests") > 0.95);
  });
});

describe("the queue for engine memory", () => {
  const demand = {
    arrivedAt: 0,
    softDeadline: 900,
    deadline: 14_000,
    isReturned: false,
    hasStarted: false,
  };

  it("counts begun generations as on time and returned ones as late, and waits less than the target latency", () => {
    assert.ok(computeWaitLimits({ ...demand, hasStarted: true }).targetDeadline > 8000);
    assert.equal(computeWaitLimits({ ...demand, hasStarted: true }).deadline, demand.deadline);
    assert.ok(computeWaitLimits({ ...demand, isReturned: true }).targetDeadline <= 0);
    assert.ok(computeWaitLimits(demand).deadline < demand.softDeadline);
    assert.equal(computeWaitLimits({ ...demand, deadline: 100 }).deadline, 100);
  });

  it("leaves less memory to late generations, and spreads retry times over a third", () => {
    const limits = findLimits();
    assert.equal(limitCapacity(limits, false), limits);
    assert.ok(limitCapacity(limits, true).capacityTokens < limits.capacityTokens);
    for (const point of [0, 0.5, 0.999]) {
      const retryMs = computeRetryAfterMs(13_000, 1000, () => point);
      assert.ok(retryMs >= 3000 && retryMs <= 4000, String(retryMs));
    }
    assert.equal(
      computeRetryAfterMs(1000, 2000, () => 0.5),
      0,
    );
  });
});

describe("a modelled engine", () => {
  const { engine: figures, load } = findPlay("calm");

  it("never exceeds its memory capacity, whatever is preempted", () => {
    const engine = new EngineModel("e", EngineStage.decode, figures);
    let ended = 0;
    const job = (id: string) => ({
      id,
      promptTokens: 6000,
      outputTokens: 900,
      isTransferred: true,
      onFirstToken: () => undefined,
      onEnd: () => (ended += 1),
      onLost: () => undefined,
    });
    let now = 0;
    for (let count = 0; count < 6; count += 1) {
      const hold = engine.reserveHold(6000, now);
      assert.ok(hold);
      engine.run(job(`j${count}`), hold, now);
    }
    assert.equal(engine.reserveHold(6000, now), undefined);
    while (ended < 6 && now < 120_000) {
      now = engine.nextEventAt ?? now + 1;
      engine.advance(now);
      assert.ok(engine.usedTokens <= figures.capacityTokens);
    }
    assert.equal(ended, 6);
    assert.ok(engine.counts.preempted > 0);
    assert.equal(engine.usedTokens, 0);
  });

  it("keeps a prefilled prompt for its lifetime, and counts one that was never fetched as wasted", () => {
    const engine = new EngineModel("e", EngineStage.prefill, figures);
    const handles: string[] = [];
    engine.prefill(3000, 0, (_givenAt, handle) => handles.push(handle ?? "none"));
    while (handles.length === 0) engine.advance(engine.nextEventAt ?? 0);
    const [handle = ""] = handles;
    assert.equal(engine.consumeHandle(handle, 300), true);
    assert.equal(engine.consumeHandle(handle, 301), false, "a handle can be taken once");
    engine.prefill(3000, 400, (_givenAt, next) => handles.push(next ?? "none"));
    while (handles.length === 1) engine.advance(engine.nextEventAt ?? 0);
    assert.equal(engine.consumeHandle(handles[1] ?? "", 5000), false);
    assert.equal(engine.counts.wastedTokens, 3000);
  });

  it("loses all work in a crash, and accepts nothing until it has restarted", () => {
    const engine = new EngineModel("e", EngineStage.decode, figures);
    let lost = 0;
    const hold = engine.reserveHold(3000, 0) ?? "";
    const job = { id: "j", promptTokens: 3000, outputTokens: 100, isTransferred: true };
    const callbacks = {
      onFirstToken: () => undefined,
      onEnd: () => undefined,
      onLost: () => (lost += 1),
    };
    engine.run({ ...job, ...callbacks }, hold, 0);
    engine.crash(100, 500);
    assert.deepEqual([lost, engine.usedTokens, engine.nextEventAt], [1, 0, undefined]);
    assert.equal(engine.reserveHold(3000, 400), undefined);
    assert.ok(engine.reserveHold(3000, 501));
  });

  it("gets the same arrivals for the same seed, at the requested rate", () => {
    const first = createArrivals(load, createRandom(3));
    assert.deepEqual(createArrivals(load, createRandom(3)), first);
    const perSecond = first.length / (load.durationMs / 1000);
    assert.ok(Math.abs(perSecond - load.requestsPerSecond) < 2);
  });
});

function findLimits() {
  const { slots, capacityTokens, handleTtlMs, holdTtlMs } = findPlay("calm").engine;
  return { slots, capacityTokens, handleTtlMs, holdTtlMs, stageChangeMs: 6000 };
}
