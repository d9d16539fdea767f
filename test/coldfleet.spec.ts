/**
 * Cold endpoints over fleets of 3 to 590 instances, in virtual time, by the history of all arrivals. Guards against
 * seconds in which a cold endpoint gets more than its bound from all instances together, when the owner of its limit
 * is killed, frozen, restarted, cut off or doubled, and against cold endpoints that are left idle.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { LimitAccounts } from "../src/forward/limits/accounts";
import { ColdEndpoints } from "../src/forward/limits/cold";
import { createEntry } from "./harness/forward";
import { LimitFleet } from "./harness/limitfleet";

const WINDOW_MS = 1000;
const COLD_MS = 12_000;
/** How long the news of a cold endpoint takes to reach all instances, in milliseconds. */
const NEWS_MS = 800;
/** Time for sends that were under way when the news came. */
const MARGIN_MS = 200;
const TOLERANCE = { ratio: 1.5, slack: 5 };

function computeBound(perSecond: number): number {
  return perSecond * TOLERANCE.ratio + TOLERANCE.slack;
}

function countMaxInWindow(fleet: LimitFleet, endpoint: string, from: number, end: number): number {
  const moments = fleet.arrivals
    .filter(({ endpoint: id, at }) => id === endpoint && at >= from && at < end)
    .map(({ at }) => at)
    .sort((a, b) => a - b);
  let first = 0;
  let most = 0;
  for (const [index, at] of moments.entries()) {
    while ((moments[first] ?? 0) <= at - WINDOW_MS) first += 1;
    most = Math.max(most, index - first + 1);
  }
  return most;
}

function startTraffic(fleet: LimitFleet, endpoint: string, perSecond: number, endsAt: number) {
  const sendNext = () => {
    if (fleet.now > endsAt) return;
    fleet.request(Math.floor(fleet.draw() ** 2 * fleet.size), endpoint, fleet.draw() < 0.3 ? 2 : 1);
    fleet.events.schedule((-Math.log(1 - fleet.draw()) * 1000) / perSecond, sendNext);
  };
  fleet.events.schedule(0, sendNext);
}

describe("a data centre that is cold at once", () => {
  for (const [size, perSecond, endpoints] of [
    [3, 10, 4],
    [9, 2.5, 4],
    [72, 10, 8],
    [195, 40, 4],
    [590, 10, 4],
  ] as const) {
    it(`gets no more than ${perSecond} a second an endpoint from ${size} instances, and most of it`, async () => {
      const fleet = new LimitFleet(size, size);
      fleet.coldPerSecond = perSecond;
      await fleet.events.runUntil(fleet.now + 2000);
      const ids = Array.from({ length: endpoints }, (_, index) => `e${index}`);
      const coldAt = fleet.now;
      const from = coldAt + NEWS_MS + MARGIN_MS;
      const end = coldAt + (size > 100 ? 5000 : 10_000);
      for (const id of ids) {
        startTraffic(fleet, id, perSecond * 4, end);
        fleet.makeCold(id, COLD_MS, NEWS_MS);
      }
      await fleet.events.runUntil(end);
      for (const id of ids) {
        const most = countMaxInWindow(fleet, id, from, end);
        assert.ok(most <= computeBound(perSecond), `${most} in a second at ${id}`);
        const used = fleet.arrivals.filter((one) => one.endpoint === id && one.at >= from).length;
        const due = (perSecond * (end - from)) / 1000;
        assert.ok(used >= due * 0.6, `${used} of ${due} at ${id}`);
      }
    });
  }

  it("keeps its bound with owners killed, restarted, frozen and cut off", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer({ min: 1, max: 1_000_000 }),
        fc.constantFrom(3, 9, 15),
        fc.constantFrom(2.5, 10, 40),
        async (seed, size, perSecond) => {
          const fleet = new LimitFleet(size, seed);
          fleet.coldPerSecond = perSecond;
          await fleet.events.runUntil(fleet.now + 2000);
          fleet.makeCold("a", 40_000, NEWS_MS);
          const from = fleet.now + NEWS_MS + MARGIN_MS;
          const end = from + 20_000;
          startTraffic(fleet, "a", perSecond * 4, end);
          for (let at = from; at < end - 2000; at += 2500 + fleet.draw() * 2500) {
            fleet.events.schedule(at - fleet.now, () => {
              const index = Math.floor(fleet.draw() * size);
              const kind = Math.floor(fleet.draw() * 4);
              if (kind === 0) fleet.kill(index);
              else if (kind === 1) {
                fleet.restart(index);
                fleet.readCold(index, "a", 40_000);
              } else if (kind === 2) fleet.freeze(index, 300 + fleet.draw() * 4000);
              else {
                fleet.cut(index, 1);
                fleet.events.schedule(3000, () => {
                  fleet.cut(index, 0);
                });
              }
            });
          }
          await fleet.events.runUntil(end);
          const most = countMaxInWindow(fleet, "a", from, end);
          assert.ok(most <= computeBound(perSecond), `${most} of ${computeBound(perSecond)}`);
        },
      ),
      { numRuns: 60, seed: 20_261_205 },
    );
  });

  it("is limited by all once one instance hears of it, and not for longer than it is cold", async () => {
    const fleet = new LimitFleet(9, 4);
    fleet.coldPerSecond = 10;
    await fleet.events.runUntil(fleet.now + 2000);
    startTraffic(fleet, "a", 60, fleet.now + 12_000);
    fleet.answerCold(0, "a", 5000);
    const heardAt = fleet.now;
    await fleet.events.runUntil(heardAt + 8000);
    const most = countMaxInWindow(fleet, "a", heardAt + NEWS_MS + MARGIN_MS, heardAt + 4900);
    assert.ok(most <= computeBound(10), `${most} in a second`);
    const after = fleet.arrivals.filter(({ at }) => at >= heardAt + 6000).length;
    assert.ok(after > 80, `${after} in the two seconds after`);
  });

  it("has the lower of its own limit and that of cold endpoints", async () => {
    const fleet = new LimitFleet(9, 8);
    fleet.coldPerSecond = 10;
    fleet.named.set("a", 3);
    await fleet.events.runUntil(fleet.now + 2000);
    fleet.makeCold("a", COLD_MS, 0);
    startTraffic(fleet, "a", 60, fleet.now + 8000);
    const from = fleet.now + 3000;
    await fleet.events.runUntil(from + 5000);
    const used = fleet.arrivals.filter(({ at }) => at >= from).length;
    assert.ok(used <= 3 * 5 + 5, `${used} in 5 s`);
  });
});

describe("what is known of cold endpoints", () => {
  const process = { endpoint: "a", processStartedAt: 7 };
  const create = (perSecond: number | undefined, endsAt = 0) =>
    new ColdEndpoints({
      directory: {
        findCold: () => ({ entry: createEntry("a", "a:1", { processStartedAt: 7 }), endsAt }),
      },
      findLimit: () => (perSecond === undefined ? undefined : { perSecond, startMs: 6000 }),
      tolerance: TOLERANCE,
    });

  it("comes from the entry or a response, for the process that said it, until it is over", () => {
    assert.equal(create(10, 500).find(process, 499)?.perSecond, 10);
    assert.equal(create(10, 500).find(process, 500), undefined);
    assert.equal(create(10, 500).find({ ...process, processStartedAt: 8 }, 400), undefined);
    const cold = create(10);
    assert.equal(cold.record({ ...process, endsAt: 3000, isOwn: true }, 0), true);
    assert.equal(cold.record({ ...process, endsAt: 3100, isOwn: true }, 100), false, "no news");
    assert.equal(cold.find(process, 3050)?.perSecond, 10);
    assert.equal(cold.find({ ...process, processStartedAt: 8 }, 2000), undefined);
  });

  it("means nothing where the service needs no limit", () => {
    const cold = create(undefined, 5000);
    assert.equal(cold.find(process, 100), undefined);
  });

  it("is believed for a minute at most, told only by who heard it, and forgotten when over", () => {
    const cold = create(10);
    cold.record({ ...process, endsAt: 1e9, isOwn: false }, 0);
    assert.equal(cold.find(process, 59_000)?.perSecond, 10);
    assert.equal(cold.find(process, 60_001), undefined, "a value far too high");
    assert.deepEqual(cold.list(100), []);
    cold.record({ ...process, endsAt: 70_000, isOwn: true }, 60_000);
    assert.equal(cold.list(60_100).length, 1);
    cold.prune(70_000);
    assert.deepEqual(cold.list(69_000), []);
  });
});

describe("the owner of a cold endpoint's limit", () => {
  it("keeps seconds for any times and counts of asks", () => {
    fc.assert(
      fc.property(
        fc.double({ min: 0.5, max: 100, noNaN: true }),
        fc.array(
          fc.record({
            gapMs: fc.integer({ min: 0, max: 400 }),
            count: fc.integer({ min: 1, max: 2 }),
          }),
          { maxLength: 200 },
        ),
        (perSecond, asks) => {
          const accounts = new LimitAccounts(() => ({ heard: 1, missing: 0 }));
          const burst = (perSecond * 0.5 + 5) / 2;
          const granted: number[] = [];
          let now = 0;
          for (const { gapMs, count } of asks) {
            now += gapMs;
            if (!accounts.grant("a", perSecond, count, now, burst).isGranted) continue;
            for (let sent = 0; sent < count; sent += 1) granted.push(now);
          }
          for (const from of granted) {
            const most = granted.filter((at) => at >= from && at < from + WINDOW_MS).length;
            assert.ok(most <= computeBound(perSecond), `${most} in a second`);
          }
        },
      ),
    );
  });

  it("grants nothing at first, as what came before was not counted", () => {
    const accounts = new LimitAccounts(() => ({ heard: 1, missing: 0 }));
    for (let now = 0; now < 3000; now += 50) accounts.grant("a", 1000, 1, now);
    for (let now = 3000; now < 3700; now += 50) {
      assert.equal(accounts.grant("a", 10, 1, now, 5).isGranted, false, `at ${now}`);
    }
    assert.equal(accounts.grant("a", 10, 1, 3850, 5).isGranted, true);
  });
});
