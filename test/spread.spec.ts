/**
 * Choices of engines by fleets whose instances have the same view, in virtual time. Guards against all of them
 * choosing the same engine until the next report.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { type EndpointEntry, EngineStage } from "../src/fleet/entries";
import { Arrivals } from "../src/forward/engines/arrivals";
import { chooseDecode, choosePrefill, type EngineView } from "../src/forward/engines/load";
import { createEntry } from "./harness/forward";

const LIMITS = {
  slots: 32,
  capacityTokens: 27_484,
  handleTtlMs: 500,
  holdTtlMs: 2000,
  stageChangeMs: 6000,
};
const NEED_TOKENS = 3400;
const REPORT_INTERVAL_MS = 900;

/** One fleet: what its engines hold, and what all instances believe of it. */
interface Fleet {
  readonly instances: number;
  readonly engines: number;
  readonly perSecond: number;
  readonly holdMs: number;
  readonly seed: number;
}

interface Play {
  readonly granted: number;
  readonly refused: number;
  readonly byEngine: readonly number[];
}

function createRandom(seed: number): () => number {
  let state = seed >>> 0 || 1;
  return () => {
    state ^= state << 13;
    state ^= state >>> 17;
    state ^= state << 5;
    state >>>= 0;
    return state / 2 ** 32;
  };
}

function createEngines(count: number, stage: EngineStage): readonly EndpointEntry[] {
  const names = Array.from({ length: count }, (_, index) => `e${index}`);
  return names.map((id, index) =>
    createEntry(id, `${id}:1`, { stage, dataCentre: `z${index % 4}` }),
  );
}

function createView(endpoint: EndpointEntry, more: Partial<EngineView>): EngineView {
  const none = { heldTokens: 0, promptTokens: 0, requests: 0 };
  return { endpoint, ...none, isFull: false, isUnavailable: false, isLimited: false, ...more };
}

/** Plays ten seconds of generations; what instances know of engines is as old as reports are at most. */
function playDecodes({ instances, engines, perSecond, holdMs, seed }: Fleet): Play {
  const random = createRandom(seed);
  const entries = createEngines(engines, EngineStage.decode);
  const held = entries.map((): number[] => []);
  const byEngine = entries.map(() => 0);
  const arrivals = new Arrivals(() => REPORT_INTERVAL_MS, random);
  let reported = entries.map(() => 0);
  let reportedAt = Number.NEGATIVE_INFINITY;
  let [granted, refused] = [0, 0];
  for (let now = 0; now < 10_000; now += 1000 / perSecond) {
    for (const [index, ends] of held.entries()) held[index] = ends.filter((end) => end > now);
    if (now - reportedAt >= REPORT_INTERVAL_MS) {
      reported = held.map(({ length }) => length);
      reportedAt = now;
    }
    const dataCentre = `z${Math.floor(random() * Math.min(4, instances))}`;
    arrivals.recordPeer("others", ((instances - 1) / instances) * perSecond * NEED_TOKENS, now);
    const full = new Set<number>();
    for (let tries = 0; tries < engines; tries += 1) {
      const views = entries.map((endpoint, index) => {
        const requests = reported[index] ?? 0;
        const heldTokens = requests * NEED_TOKENS;
        return createView(endpoint, { requests, heldTokens, isFull: full.has(index) });
      });
      const unseen = arrivals.estimateUnseen(NEED_TOKENS, now);
      const demand = { needTokens: NEED_TOKENS, dataCentre, unseen };
      const id = chooseDecode(views, LIMITS, demand)?.endpoint.id;
      const chosen = entries.findIndex((entry) => entry.id === id);
      const ends = held[chosen];
      if (ends === undefined) break;
      if ((ends.length + 1) * NEED_TOKENS <= LIMITS.capacityTokens) {
        ends.push(now + holdMs);
        byEngine[chosen] = (byEngine[chosen] ?? 0) + 1;
        granted += 1;
        break;
      }
      refused += 1;
      full.add(chosen);
    }
  }
  return { granted, refused, byEngine };
}

describe("instances with the same view of the engines", () => {
  it("have under 5% of their holds refused where half of the memory is free: 78 instances, 45 engines", () => {
    for (const seed of [1, 2, 3, 4, 5]) {
      const fleet = { instances: 78, engines: 45, perSecond: 58, holdMs: 3000, seed };
      const { granted, refused, byEngine } = playDecodes(fleet);
      assert.ok(refused < 0.05 * (granted + refused), `${refused} refused, ${granted} granted`);
      const mean = granted / byEngine.length;
      assert.ok(Math.max(...byEngine) < 2 * mean, `busiest ${Math.max(...byEngine)}, mean ${mean}`);
      assert.ok(
        byEngine.every((count) => count > 0),
        "an engine got nothing",
      );
    }
  });

  it("have under 5% refused in small fleets too: 8 instances, 4 engines", () => {
    for (const seed of [1, 2, 3, 4, 5]) {
      const fleet = { instances: 8, engines: 4, perSecond: 7, holdMs: 2000, seed };
      const { granted, refused } = playDecodes(fleet);
      assert.ok(refused < 0.05 * (granted + refused), `${refused} refused, ${granted} granted`);
    }
  });

  it("read their prompts at all prefill engines", () => {
    const random = createRandom(7);
    const entries = createEngines(12, EngineStage.prefill);
    const views = entries.map((endpoint) => createView(endpoint, {}));
    const counts = new Map<string, number>();
    for (let choice = 0; choice < 240; choice += 1) {
      const unseen = { generations: 23, random };
      const prompt = { promptTokens: 3000, tokensPerMs: 33, leftMs: 900, unseen };
      const id = choosePrefill(views, new Set(), prompt)?.endpoint.id ?? "none";
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    assert.equal(counts.size, 12);
    assert.ok(Math.max(...counts.values()) <= 60, JSON.stringify([...counts]));
  });

  it("choose the engine with most room where nothing is unseen", () => {
    fc.assert(
      fc.property(fc.array(fc.nat(20_000), { minLength: 1, maxLength: 8 }), (helds) => {
        const entries = createEngines(helds.length, EngineStage.decode);
        const views = entries.map((endpoint, index) =>
          createView(endpoint, { heldTokens: helds[index] ?? 0 }),
        );
        const unseen = { generations: 0, random: () => 0.999 };
        const demand = { needTokens: NEED_TOKENS, dataCentre: "elsewhere", unseen };
        const chosen = chooseDecode(views, LIMITS, demand);
        assert.equal(chosen?.heldTokens, Math.min(...helds));
      }),
    );
  });

  it("choose only engines that have room, whatever is unseen", () => {
    const view = fc.record({ heldTokens: fc.nat(30_000), requests: fc.nat(40) });
    fc.assert(
      fc.property(
        fc.array(view, { maxLength: 8 }),
        fc.nat(100),
        fc.nat(),
        (loads, generations, seed) => {
          const entries = createEngines(loads.length, EngineStage.decode);
          const views = entries.map((endpoint, index) => createView(endpoint, loads[index] ?? {}));
          const unseen = { generations, random: createRandom(seed) };
          const demand = { needTokens: NEED_TOKENS, dataCentre: "z0", unseen };
          const chosen = chooseDecode(views, LIMITS, demand);
          const hasRoom = ({ heldTokens, requests }: EngineView) =>
            requests < 32 && (heldTokens === 0 || heldTokens + NEED_TOKENS <= 27_484);
          assert.equal(chosen !== undefined, views.some(hasRoom));
          assert.ok(chosen === undefined || hasRoom(chosen));
        },
      ),
    );
  });
});
