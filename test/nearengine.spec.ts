/**
 * The choice of a decode engine over data centres. Guards against streams of which most cross to another data centre, so
 * that a cut of one breaks them, as in inc-0542.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { EngineStage } from "../src/fleet/entries";
import { chooseDecode, EngineLoadTracker } from "../src/forward/engines/load";
import { createEntry } from "./harness/forward";

const LIMITS = {
  slots: 64,
  capacityTokens: 40_000,
  holdTtlMs: 2000,
  handleTtlMs: 8000,
  stageChangeMs: 1500,
};
const NEED_TOKENS = 3000;
const DATA_CENTRES = ["bahla", "izki", "nizwa", "samail"] as const;
const ENGINES_PER_DATA_CENTRE = 2;
/** Number of generations that run at a time, and of those that are played. */
const PLAYED = { running: 40, count: 2000 } as const;
/** Share of the streams that may go to another data centre at an even load. */
const MAX_CROSSING_SHARE = 0.25;

function createEngines() {
  return DATA_CENTRES.flatMap((dataCentre) =>
    Array.from({ length: ENGINES_PER_DATA_CENTRE }, (_, index) =>
      createEntry(`${dataCentre}-${index}`, `${dataCentre}-${index}:1`, {
        stage: EngineStage.decode,
        dataCentre,
      }),
    ),
  );
}

/** Plays generations that arrive in random data centres; each ends once a number of others has come. */
function playArrivals(seed: number) {
  const random = xoroshiro128plus(seed);
  const engineLoad = new EngineLoadTracker();
  const engines = createEngines();
  const running: string[] = [];
  let crossing = 0;
  let largestGap = 0;
  for (let turn = 0; turn < PLAYED.count; turn += 1) {
    const dataCentre = DATA_CENTRES[uniformInt(random, 0, DATA_CENTRES.length - 1)] ?? "";
    const views = engines.map((engine) => engineLoad.readView(engine, false, turn));
    const chosen = chooseDecode(views, LIMITS, { needTokens: NEED_TOKENS, dataCentre });
    assert.ok(chosen);
    const held = views.map(({ heldTokens }) => heldTokens);
    largestGap = Math.max(largestGap, chosen.heldTokens - Math.min(...held));
    if (chosen.endpoint.dataCentre !== dataCentre) crossing += 1;
    engineLoad.addLocalWork(chosen.endpoint.id, NEED_TOKENS, 0, 1);
    running.push(chosen.endpoint.id);
    const ended = running.length > PLAYED.running ? running.shift() : undefined;
    if (ended !== undefined) engineLoad.addLocalWork(ended, -NEED_TOKENS, 0, -1);
  }
  return { crossingShare: crossing / PLAYED.count, largestGap };
}

describe("the choice of a decode engine over data centres", () => {
  const [far, near] = ["far", "near"].map((id) =>
    createEntry(id, `${id}:1`, {
      stage: EngineStage.decode,
      dataCentre: id === "near" ? "nizwa" : "bahla",
    }),
  );
  const choose = (nearTokens: number, farTokens: number) => {
    assert.ok(near && far);
    const engineLoad = new EngineLoadTracker();
    engineLoad.addLocalWork("near", nearTokens, 0, 1);
    engineLoad.addLocalWork("far", farTokens, 0, 1);
    const views = [far, near].map((engine) => engineLoad.readView(engine, false, 0));
    const demand = { needTokens: NEED_TOKENS, dataCentre: "nizwa" };
    return chooseDecode(views, LIMITS, demand)?.endpoint.id;
  };

  it("stays in the own one where that holds at most one generation more", () => {
    assert.equal(choose(NEED_TOKENS, 0), "near");
  });

  it("goes to another one where that has more room, or the own one has none", () => {
    assert.equal(choose(NEED_TOKENS + 1, 0), "far");
    assert.equal(choose(LIMITS.capacityTokens, LIMITS.capacityTokens - NEED_TOKENS), "far");
  });

  it("keeps most streams of an even load in their own one, and engines evenly filled", () => {
    for (const seed of [1, 2, 3, 4, 5]) {
      const { crossingShare, largestGap } = playArrivals(seed);
      assert.ok(crossingShare <= MAX_CROSSING_SHARE, `${crossingShare} go elsewhere`);
      assert.ok(largestGap <= NEED_TOKENS, `${largestGap} tokens more than the least filled`);
    }
  });
});
