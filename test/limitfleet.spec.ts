/**
 * Limits of endpoints over fleets of 3 to 590 instances, in virtual time, by the history of all arrivals. Guards
 * against windows over a limit when the owner of a limit is killed, frozen, restarted, cut off or doubled, and against
 * limits that outlive the word of their endpoint.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { ManualClock } from "../src/core/clock";
import { LimitAccounts } from "../src/forward/limits/accounts";
import { EndpointLimits, type LimitWord } from "../src/forward/limits/limits";
import { createGate } from "./harness/gate";
import { LimitFleet } from "./harness/limitfleet";

const WINDOW_MS = 4000;
const STABILITY_MS = 3000;

function computeBound(limit: number): number {
  return (limit * 1.5 * WINDOW_MS) / 1000 + 5;
}

function countMaxInWindow(fleet: LimitFleet, endpoint: string, from: number): number {
  const moments = fleet.arrivals
    .filter((arrival) => arrival.endpoint === endpoint && arrival.at >= from)
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

/** Has callers send to an endpoint at a rate; some instances get far more than others. */
function startTraffic(
  fleet: LimitFleet,
  size: number,
  endpoint: string,
  perSecond: number,
  endsAt: number,
) {
  const sendNext = () => {
    if (fleet.now > endsAt) return;
    const count = fleet.draw() < 0.2 ? 2 : 1;
    fleet.request(Math.floor(fleet.draw() ** 2 * size), endpoint, count);
    fleet.events.schedule((-Math.log(1 - fleet.draw()) * 1000) / perSecond, sendNext);
  };
  fleet.events.schedule(0, sendNext);
}

const createWord = (more: Partial<LimitWord>): LimitWord => ({
  endpoint: "a",
  processStartedAt: 1,
  perSecond: 3,
  at: 100,
  isOwn: true,
  ...more,
});

describe("limits of endpoints over a fleet", () => {
  for (const [size, limit] of [
    [3, 2.5],
    [9, 0.5],
    [9, 2.5],
    [9, 12],
    [60, 5],
    [195, 2.5],
    [590, 60],
  ] as const) {
    it(`keeps ${limit} requests a second from ${size} instances, and uses most of it`, async () => {
      const fleet = new LimitFleet(size, size);
      await fleet.events.runUntil(fleet.now + 2000);
      fleet.named.set("a", limit);
      const from = fleet.now + STABILITY_MS;
      const seconds = size > 500 ? 5 : 12;
      startTraffic(fleet, size, "a", Math.max(20, limit * 5), from + seconds * 1000);
      await fleet.events.runUntil(from + seconds * 1000);
      const most = countMaxInWindow(fleet, "a", from);
      assert.ok(most <= computeBound(limit), `${most} in a window`);
      const used = fleet.arrivals.filter(({ at }) => at >= from).length;
      assert.ok(used >= limit * seconds * 0.7, `${used} of ${limit * seconds}`);
      assert.ok(fleet.calls <= 15 * size * 2, `${fleet.calls} calls to owners`);
    });
  }

  it("keeps limits with owners killed, restarted, frozen and cut off", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer({ min: 1, max: 1_000_000 }),
        fc.constantFrom(3, 9, 15),
        fc.constantFrom(1, 2.5, 8, 40),
        async (seed, size, limit) => {
          const fleet = new LimitFleet(size, seed);
          await fleet.events.runUntil(fleet.now + 2000);
          fleet.named.set("a", limit);
          const from = fleet.now + STABILITY_MS;
          startTraffic(fleet, size, "a", limit * 4, from + 20_000);
          for (let at = from; at < from + 18_000; at += 2500 + fleet.draw() * 2500) {
            fleet.events.schedule(at - fleet.now, () => {
              const index = Math.floor(fleet.draw() * size);
              const kind = Math.floor(fleet.draw() * 4);
              if (kind === 0) fleet.kill(index);
              else if (kind === 1) fleet.restart(index);
              else if (kind === 2) fleet.freeze(index, 300 + fleet.draw() * 4000);
              else {
                fleet.cut(index, 1);
                fleet.events.schedule(3000, () => {
                  fleet.cut(index, 0);
                });
              }
            });
          }
          await fleet.events.runUntil(from + 20_000);
          const most = countMaxInWindow(fleet, "a", from);
          assert.ok(most <= computeBound(limit), `${most} of ${computeBound(limit)}`);
        },
      ),
      { numRuns: 60, seed: 20_261_204 },
    );
  });

  it("ends a limit everywhere soon after its endpoint names none", async () => {
    const fleet = new LimitFleet(9, 5);
    fleet.named.set("a", 3);
    startTraffic(fleet, 9, "a", 60, fleet.now + 10_000);
    await fleet.events.runUntil(fleet.now + 6000);
    fleet.named.delete("a");
    const endedAt = fleet.now;
    await fleet.events.runUntil(endedAt + 4000);
    const after = fleet.arrivals.filter(({ at }) => at > endedAt + 3000).length;
    assert.ok(after > 40, `${after} requests in the fourth second`);
  });

  it("keeps a limit of an endpoint that was sent nothing for longer than a minute", async () => {
    const fleet = new LimitFleet(9, 7);
    fleet.named.set("a", 2.5);
    startTraffic(fleet, 9, "a", 30, fleet.now + 6000);
    await fleet.events.runUntil(fleet.now + 75_000);
    const from = fleet.now;
    startTraffic(fleet, 9, "a", 200, from + 6000);
    await fleet.events.runUntil(from + 6000);
    const most = countMaxInWindow(fleet, "a", from);
    assert.ok(most <= computeBound(2.5), `${most} in a window`);
  });

  it("has an endpoint that takes nothing asked now and then, and not more", async () => {
    const fleet = new LimitFleet(9, 6);
    fleet.named.set("a", 0);
    startTraffic(fleet, 9, "a", 30, fleet.now + 40_000);
    const from = fleet.now + STABILITY_MS;
    await fleet.events.runUntil(from + 36_000);
    assert.ok(countMaxInWindow(fleet, "a", from) <= 5);
    assert.ok(fleet.arrivals.filter(({ at }) => at > from).length >= 3);
  });
});

describe("what is known of limits", () => {
  it("is the newest word of the newest process", () => {
    const limits = new EndpointLimits();
    assert.equal(limits.record(createWord({})), true);
    assert.equal(limits.record(createWord({ perSecond: 9, at: 90 })), false, "an older word");
    assert.equal(
      limits.record(createWord({ perSecond: undefined, at: 99 })),
      false,
      "sent before it",
    );
    const process = { endpoint: "a", processStartedAt: 1 };
    assert.equal(limits.find(process), 3);
    assert.equal(limits.find({ ...process, processStartedAt: 2 }), undefined, "a new process");
    assert.equal(limits.record(createWord({ perSecond: undefined, at: 101 })), true);
    assert.equal(limits.find(process), undefined);
    limits.record(createWord({ processStartedAt: 2, perSecond: 7, at: 50 }));
    assert.equal(limits.record(createWord({ perSecond: 1, at: 300 })), false, "the process before");
    assert.equal(limits.find({ ...process, processStartedAt: 2 }), 7);
  });

  it("is told only by the instance that heard it, for a bounded time and number", () => {
    const limits = new EndpointLimits();
    limits.record(createWord({ endpoint: "a", isOwn: false }));
    limits.record(createWord({ endpoint: "b" }));
    assert.deepEqual(
      limits.list(200).map(({ endpoint }) => endpoint),
      ["b"],
    );
    assert.deepEqual(limits.list(61_000), []);
    for (let index = 0; index < 1000; index += 1) {
      limits.record(createWord({ endpoint: `e${index}`, at: 62_000 }));
    }
    assert.equal(limits.list(62_000).length, 256);
  });

  it("is kept for each of a thousand endpoints, though heartbeats tell less", () => {
    const limits = new EndpointLimits();
    const endpoints = Array.from({ length: 1000 }, (_, index) => `e${index}`);
    for (const endpoint of endpoints) limits.record(createWord({ endpoint }));
    const known = endpoints.filter(
      (endpoint) => limits.find({ endpoint, processStartedAt: 1 }) === 3,
    );
    assert.equal(known.length, 1000);
    assert.equal(limits.record(createWord({ endpoint: "e0", at: 200 })), false, "no change");
    const told = limits.list(200).map(({ endpoint }) => endpoint);
    assert.deepEqual([told.length, told.at(-1)], [256, "e0"]);
  });
});

describe("what an instance keeps of endpoints' limits", () => {
  const target = { id: "a", address: "a:1", processStartedAt: 1 };
  const none = { pauseMs: undefined, isLeaving: false, unreadableLimit: undefined };

  it("is told as ended for a while, however many answers without a limit follow", () => {
    const clock = new ManualClock(1000);
    const limits = new EndpointLimits();
    const gate = createGate(clock, limits);
    const answer = () => {
      gate.onLimitNotice(
        target,
        { ...none, limitPerSecond: undefined },
        { sentAt: clock.now(), canEndLimit: true },
      );
    };
    answer();
    assert.equal(limits.findWord("a"), undefined, "one that never named any is not kept");
    gate.onLimitNotice(target, { ...none, limitPerSecond: 3 }, { sentAt: 900, canEndLimit: true });
    assert.equal(gate.isLimited(target), true);
    for (let turn = 0; turn < 30; turn += 1) {
      clock.advance(1000);
      answer();
    }
    assert.equal(gate.isLimited(target), false);
    assert.deepEqual(limits.list(clock.now()), []);
  });

  it("holds nothing back once the endpoint names none", async () => {
    const clock = new ManualClock(1000);
    const gate = createGate(clock);
    gate.onLimitNotice(target, { ...none, limitPerSecond: 0 }, { sentAt: 900, canEndLimit: true });
    assert.equal(await gate.acquirePermits(target, 1), false);
    assert.equal(gate.isHeldBack("a"), true);
    clock.advance(10);
    const answer = { sentAt: 1005, canEndLimit: true };
    gate.onLimitNotice(target, { ...none, limitPerSecond: undefined }, answer);
    assert.equal(gate.isHeldBack("a"), false);
    gate.onLimitNotice(target, { ...none, limitPerSecond: 0 }, answer);
    assert.equal(gate.isHeldBack("a"), false, "the owner has not been asked again");
  });

  it("holds a minute after it was heard, but keeps others from being preferred no longer", async () => {
    const clock = new ManualClock(1000);
    const limits = new EndpointLimits();
    const gate = createGate(clock, limits);
    gate.onLimitNotice(target, { ...none, limitPerSecond: 3 }, { sentAt: 900, canEndLimit: true });
    clock.advance(61_000);
    assert.equal(gate.isLimited(target), false);
    assert.equal(await gate.acquirePermits(target, 1), false, "a new owner begins with nothing");
    gate.prune(() => true);
    assert.equal(limits.findWord("a")?.perSecond, 3);
    gate.prune(() => false);
    assert.equal(limits.findWord("a"), undefined, "the endpoint is gone");
  });

  it("outlasts the entry of the endpoint, and not the time that was named", async () => {
    const clock = new ManualClock(1000);
    const gate = createGate(clock);
    gate.onNotice(target, { ...none, limitPerSecond: undefined, pauseMs: 50_000 });
    gate.onLimitNotice(target, { ...none, limitPerSecond: 3 }, { sentAt: 900, canEndLimit: true });
    assert.equal(await gate.acquirePermits(target, 1), false);
    assert.equal(gate.isHeldBack("a"), true);
    gate.prune(() => false);
    assert.equal(gate.isHeldBack("a"), true);
    clock.advance(50_000);
    gate.prune(() => false);
    assert.equal(gate.isHeldBack("a"), false);
  });
});

describe("the owner of a limit", () => {
  it("keeps windows for any times and counts of asks", () => {
    fc.assert(
      fc.property(
        fc.double({ min: 0.5, max: 200, noNaN: true }),
        fc.array(
          fc.record({
            gapMs: fc.integer({ min: 0, max: 900 }),
            count: fc.integer({ min: 1, max: 2 }),
          }),
          { maxLength: 200 },
        ),
        (limit, asks) => {
          const accounts = new LimitAccounts(() => ({ heard: 1, missing: 0 }));
          const granted: number[] = [];
          let now = 0;
          for (const { gapMs, count } of asks) {
            now += gapMs;
            const { isGranted, retryAfterMs } = accounts.grant("a", limit, count, now);
            if (isGranted) for (let sent = 0; sent < count; sent += 1) granted.push(now);
            else assert.ok(retryAfterMs >= 20 && retryAfterMs <= 2000);
          }
          for (const from of granted) {
            const inWindow = granted.filter((at) => at >= from && at < from + WINDOW_MS).length;
            assert.ok(inWindow <= computeBound(limit), `${inWindow} in a window`);
          }
        },
      ),
    );
  });

  it("begins with nothing, as the owner before may have given all of it", () => {
    const accounts = new LimitAccounts(() => ({ heard: 1, missing: 0 }));
    assert.equal(accounts.grant("a", 20, 1, 0).isGranted, false);
    assert.equal(accounts.grant("a", 20, 1, 60).isGranted, true);
  });

  it("gives its part of the limit while instances are missing", () => {
    const accounts = new LimitAccounts(() => ({ heard: 3, missing: 6 }));
    let granted = 0;
    for (let now = 0; now <= 20_000; now += 50) {
      if (accounts.grant("a", 9, 1, now).isGranted) granted += 1;
    }
    assert.ok(granted >= 45 && granted <= 65, `${granted} in 20 s`);
  });
});
