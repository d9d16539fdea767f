/**
 * Simulates loads in virtual time against the decisions on queueing, placement and stages, and checks the share of
 * responses on time. The engines' figures are those of their data sheets: a decode engine holds about twelve typical
 * generations, a prefill engine processes ten prompts per second.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import type { EngineLimits } from "../src/fleet/config";
import { EngineStage } from "../src/fleet/entries";
import { chooseDecode, choosePrefill, EngineLoadTracker } from "../src/forward/engines/load";
import { chooseStageChange, computePrefillEngines } from "../src/forward/engines/stages";
import { type UrgentQueueItem, UrgentQueue } from "../src/core/queues/urgentqueue";
import { createEntry } from "./harness/forward";

const LIMITS: EngineLimits = {
  slots: 64,
  capacityTokens: 40_000,
  handleTtlMs: 500,
  holdTtlMs: 2000,
  stageChangeMs: 6000,
};
const STEP_MS = 10;
const PROMPT_TOKENS = 3200;
const PREFILL_MS = 100;
/** Time that a decode engine takes to prefill a prompt itself. */
const SELF_PREFILL_MS = 200;
const MEAN_DECODE_MS = 3400;

/** Spreads the decode times evenly between 400 ms (a few events) and twice the mean. */
function computeDecodeMs(id: string): number {
  return ((Number(id.slice(1)) * 733) % (2 * MEAN_DECODE_MS - 400)) + 400;
}

const TARGET_LATENCY_MS = 900;
const QUEUE_TIMEOUT_MS = 675;
/** Time that the waiting queue allows from the memory reservation to the first event. */
const TYPICAL_FIRST_EVENT_MS = 300;
/** Speed of the simulated prefill engines. */
const TOKENS_PER_MS = 33;

interface Generation extends UrgentQueueItem {
  readonly workspace: string;
}

interface LoadResult {
  readonly onTime: number;
  readonly refused: number;
  readonly asked: number;
}

interface Load {
  /** Computes the arrival rate at a time, in generations per second. */
  readonly rate: (ms: number) => number;
  readonly lengthMs: number;
  /** Returns the workspace of the next generation, and whether it is beyond its rate. */
  readonly next?: (index: number, ms: number) => { workspace: string; isOverRate: boolean };
}

function createEngines(count: number, prefills: number) {
  return Array.from({ length: count }, (_, index) => {
    const id = `e${String(index).padStart(2, "0")}`;
    const stage = index < prefills ? EngineStage.prefill : EngineStage.decode;
    return createEntry(id, `${id}:1`, { stage });
  });
}

const createDemand = (needTokens: number) => ({ needTokens, dataCentre: "nizwa" });

/** Simulates a load on prefill and decode engines; counts the outcomes by workspace. */
function simulateLoad(
  prefills: number,
  decodes: number,
  load: Load,
): ReadonlyMap<string, LoadResult> {
  const engines = [
    ...Array.from({ length: prefills }, (_, index) =>
      createEntry(`p${index}`, `p${index}:1`, { stage: EngineStage.prefill }),
    ),
    ...Array.from({ length: decodes }, (_, index) =>
      createEntry(`d${index}`, `d${index}:1`, { stage: EngineStage.decode }),
    ),
  ];
  const engineLoad = new EngineLoadTracker();
  const queue = new UrgentQueue<Generation>();
  const scheduledEnds: { at: number; end: () => void }[] = [];
  const freeAt = new Map<string, number>();
  const played = new Map<string, { onTime: number; refused: number; asked: number }>();
  const count = (workspace: string) => {
    const known = played.get(workspace) ?? { onTime: 0, refused: 0, asked: 0 };
    played.set(workspace, known);
    return known;
  };
  const start = (generation: Generation, now: number): boolean => {
    const views = engines.map((engine) => engineLoad.readView(engine, false, now));
    const reservationTokens = PROMPT_TOKENS + 100;
    const decode = chooseDecode(views, LIMITS, createDemand(reservationTokens));
    if (decode === undefined) return false;
    engineLoad.addLocalWork(decode.endpoint.id, reservationTokens, 0, 1);
    const leftMs = generation.arrivedAt + TARGET_LATENCY_MS - now;
    const prompt = { promptTokens: PROMPT_TOKENS, tokensPerMs: TOKENS_PER_MS, leftMs };
    const prefill = choosePrefill(views, new Set(), prompt);
    let firstAt = now + SELF_PREFILL_MS;
    if (prefill !== undefined) {
      const { id } = prefill.endpoint;
      firstAt = Math.max(now, freeAt.get(id) ?? 0) + PREFILL_MS;
      freeAt.set(id, firstAt);
      engineLoad.addLocalWork(id, 0, PROMPT_TOKENS, 1);
      scheduledEnds.push({
        at: firstAt,
        end: () => {
          engineLoad.addLocalWork(id, 0, -PROMPT_TOKENS, -1);
        },
      });
    }
    if (firstAt <= generation.arrivedAt + TARGET_LATENCY_MS)
      count(generation.workspace).onTime += 1;
    scheduledEnds.push({
      at: firstAt + computeDecodeMs(generation.id),
      end: () => {
        engineLoad.addLocalWork(decode.endpoint.id, -reservationTokens, 0, -1);
      },
    });
    return true;
  };
  let pendingArrivals = 0;
  let index = 0;
  for (let now = 0; now < load.lengthMs; now += STEP_MS) {
    for (const { end } of removeDue(scheduledEnds, now)) end();
    pendingArrivals += (load.rate(now) * STEP_MS) / 1000;
    for (; pendingArrivals >= 1; pendingArrivals -= 1) {
      const { workspace, isOverRate } = load.next?.(index, now) ?? {
        workspace: "w",
        isOverRate: false,
      };
      index += 1;
      count(workspace).asked += 1;
      queue.push({
        id: `g${index}`,
        workspace,
        isOverRate,
        priority: 1,
        arrivedAt: now,
        targetDeadline: now + TARGET_LATENCY_MS - TYPICAL_FIRST_EVENT_MS,
        deadline: now + QUEUE_TIMEOUT_MS,
      });
    }
    for (const expired of queue.removeExpired(now)) count(expired.workspace).refused += 1;
    for (const generation of queue.listHeads(now)) {
      if (!start(generation, now)) break;
      queue.remove(generation.id);
    }
  }
  return played;
}

function removeDue(scheduledEnds: { at: number; end: () => void }[], now: number) {
  const due = scheduledEnds.filter((item) => item.at <= now);
  const rest = scheduledEnds.filter((item) => item.at > now);
  scheduledEnds.splice(0, scheduledEnds.length, ...rest);
  return due;
}

function computeOnTimeRatio(played: LoadResult | undefined): number {
  assert.ok(played);
  return played.onTime / played.asked;
}

describe("the number of prefill engines", () => {
  const bursts: Load = {
    lengthMs: 34_000,
    rate: (ms) => (ms % 10_000 > 6000 ? 22 : 12),
  };

  it("serves more callers on time, once rebalanced, than the stages that the engines start with", () => {
    const prefillCount = computePrefillEngines({
      engines: createEngines(6, 2),
      promptTokensPerSecond: 9 * PROMPT_TOKENS,
      tokensPerMs: TOKENS_PER_MS,
    });
    const rebalancedRatio = computeOnTimeRatio(
      simulateLoad(prefillCount, 6 - prefillCount, bursts).get("w"),
    );
    const initialRatio = computeOnTimeRatio(simulateLoad(2, 4, bursts).get("w"));
    assert.ok(rebalancedRatio > initialRatio, `${rebalancedRatio} against ${initialRatio}`);
    assert.ok(rebalancedRatio >= 0.8, `${rebalancedRatio}`);
  });

  it("is reached by one stage change at a time, and is then kept under a changed load", () => {
    const tokensPerMs = TOKENS_PER_MS;
    const engines = createEngines(6, 2);
    const change = chooseStageChange({ engines, promptTokensPerSecond: 25_000, tokensPerMs });
    assert.equal(change?.engine.id, "e01");
    assert.equal(change.stage, EngineStage.decode);
    const changed = createEngines(6, 1);
    for (const promptTokensPerSecond of [40_000, 0]) {
      const load = { engines: changed, promptTokensPerSecond, tokensPerMs };
      assert.equal(chooseStageChange(load), undefined);
    }
  });

  it("never takes the last decode engine of a version, whose streams no other can go on with", () => {
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            version: fc.constantFrom("v1", "v2", "v3"),
            stage: fc.constantFrom(EngineStage.prefill, EngineStage.decode),
          }),
          { minLength: 3, maxLength: 12 },
        ),
        fc.integer({ min: 0, max: 400_000 }),
        (kinds, promptTokensPerSecond) => {
          const engines = kinds.map((kind, index) =>
            createEntry(`e${index}`, `e${index}:1`, { service: "models", ...kind }),
          );
          const load = { engines, promptTokensPerSecond, tokensPerMs: TOKENS_PER_MS };
          const change = chooseStageChange(load);
          if (change === undefined) return;
          const { engine, stage } = change;
          const countDecodes = (version: string | undefined) =>
            engines.filter((e) => e.version === version && e.stage === EngineStage.decode).length;
          if (stage === EngineStage.prefill) {
            assert.ok(countDecodes(engine.version) > 1, "another decode engine of it is left");
            return;
          }
          const prefills = engines.filter((e) => e.stage === EngineStage.prefill);
          const least = Math.min(...prefills.map((e) => countDecodes(e.version)));
          assert.equal(countDecodes(engine.version), least, "the version with the fewest gets one");
        },
      ),
    );
  });

  it("stays small, since decode engines can prefill prompts as well", () => {
    const compute = (engines: number, promptTokensPerSecond: number) =>
      computePrefillEngines({
        engines: createEngines(engines, 0),
        promptTokensPerSecond,
        tokensPerMs: TOKENS_PER_MS,
      });
    assert.equal(compute(2, 100_000), 0);
    assert.equal(compute(60, 700_000), 15);
  });

  it("follows the speed of the engines, and keeps queues short", () => {
    const compute = (promptTokensPerSecond: number, tokensPerMs: number) =>
      computePrefillEngines({ engines: createEngines(24, 1), promptTokensPerSecond, tokensPerMs });
    assert.equal(compute(26_000, 33), 2, "one would be loaded to four fifths");
    assert.equal(compute(26_000, 55), 1);
    assert.equal(compute(100_000, 33), 5);
    assert.equal(compute(100_000, 8), 6, "a quarter of the engines at most");
  });

  it("does not go up and down with a load that changes a little", () => {
    const compute = (prefills: number, promptTokensPerSecond: number) =>
      computePrefillEngines({
        engines: createEngines(8, prefills),
        promptTokensPerSecond,
        tokensPerMs: TOKENS_PER_MS,
      });
    assert.equal(compute(1, 23_000), 2);
    assert.equal(compute(2, 19_000), 2);
    assert.equal(compute(2, 0), 2, "nothing speaks for another number");
    assert.equal(compute(2, 14_000), 1);
    assert.equal(compute(1, 19_000), 1);
  });
});

describe("a workspace that sends far beyond its rate", () => {
  it("does not crowd out a workspace that keeps within its own rate", () => {
    const createOverload = (isMarked: boolean): Load => ({
      lengthMs: 20_000,
      rate: () => 30,
      next: (index) =>
        index % 6 === 0
          ? { workspace: "small", isOverRate: false }
          : { workspace: "large", isOverRate: isMarked },
    });
    const marked = simulateLoad(1, 5, createOverload(true));
    const unmarked = simulateLoad(1, 5, createOverload(false));
    const [small, smallUnmarked, large] = [
      marked.get("small"),
      unmarked.get("small"),
      marked.get("large"),
    ];
    assert.ok(computeOnTimeRatio(small) >= 0.95, `${computeOnTimeRatio(small)}`);
    assert.ok(
      computeOnTimeRatio(smallUnmarked) < 0.7,
      `without the mark ${computeOnTimeRatio(smallUnmarked)}`,
    );
    assert.ok(
      computeOnTimeRatio(large) > 0.2,
      `the remaining capacity goes to it: ${computeOnTimeRatio(large)}`,
    );
  });
});

describe("a generation that cannot be served in time", () => {
  it("is refused before its target latency has passed", () => {
    const overload: Load = { lengthMs: 10_000, rate: () => 60 };
    const played = simulateLoad(1, 5, overload).get("w");
    assert.ok(played && played.refused > 0);
    assert.ok(QUEUE_TIMEOUT_MS < TARGET_LATENCY_MS);
  });
});

describe("the choice of a decode engine", () => {
  it("never exceeds an engine's memory, except for a single generation that runs alone", () => {
    const engineLoad = new EngineLoadTracker();
    const engine = createEntry("d", "d:1", { stage: EngineStage.decode });
    engineLoad.addLocalWork("d", 39_000, 0, 10);
    const views = () => [engineLoad.readView(engine, false, 0)];
    assert.equal(chooseDecode(views(), LIMITS, createDemand(1001)), undefined);
    assert.ok(chooseDecode(views(), LIMITS, createDemand(1000)));
    engineLoad.addLocalWork("d", -39_000, 0, -10);
    assert.ok(chooseDecode(views(), LIMITS, createDemand(50_000)));
  });

  it("counts the work of peers, and forgets that of a peer that is no longer heard", () => {
    const engineLoad = new EngineLoadTracker();
    const engine = createEntry("d", "d:1", { stage: EngineStage.decode });
    const work = { engine: "d", heldTokens: 39_000, promptTokens: 0, requests: 10 };
    engineLoad.replacePeerWork("n2", [work], 0);
    assert.equal(
      chooseDecode([engineLoad.readView(engine, false, 100)], LIMITS, createDemand(3000)),
      undefined,
    );
    assert.ok(
      chooseDecode([engineLoad.readView(engine, false, 10_000)], LIMITS, createDemand(3000)),
    );
  });

  it("excludes an engine that reserved memory and then refused, for longer each time", () => {
    const engineLoad = new EngineLoadTracker();
    const engine = createEntry("d", "d:1", { stage: EngineStage.decode });
    engineLoad.recordRefusal("d", 0);
    assert.equal(engineLoad.readView(engine, false, 300).isFull, true);
    assert.equal(engineLoad.readView(engine, false, 500).isFull, false);
    engineLoad.recordRefusal("d", 500);
    assert.equal(engineLoad.readView(engine, false, 1100).isFull, true);
    engineLoad.markAvailable("d");
    engineLoad.recordRefusal("d", 2000);
    assert.equal(engineLoad.readView(engine, false, 2500).isFull, false);
  });

  it("leaves the prompt to the decode engine if the prefill engines have too much work queued", () => {
    const engineLoad = new EngineLoadTracker();
    const engine = createEntry("p", "p:1", { stage: EngineStage.prefill });
    const choose = (leftMs: number, tokensPerMs = TOKENS_PER_MS) => {
      const prompt = { promptTokens: PROMPT_TOKENS, tokensPerMs, leftMs };
      return choosePrefill([engineLoad.readView(engine, false, 0)], new Set(), prompt);
    };
    assert.ok(choose(900));
    engineLoad.addLocalWork("p", 0, 20_000, 6);
    assert.equal(choose(900), undefined);
    assert.ok(choose(900, 100), "a faster engine still reads it in time");
    assert.ok(choose(2000), "there is time");
  });
});
