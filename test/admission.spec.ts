/**
 * Admission decisions: retry budgets, the order
 * of the waiting queue, endpoint choice, and the trackers of crashes and refusals. Guards against bounds that hold at
 * each instance but not over the fleet.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { ManualClock } from "../src/core/clock";
import { CrashTracker } from "../src/core/crashes/tracker";
import { CallOutcome, HealthTracker } from "../src/forward/endpoints/health";
import { chooseEndpoint } from "../src/forward/calls/balancer";
import { RetryBudget } from "../src/core/retrybudget";
import { RefusalTracker } from "../src/forward/shared/refusals";
import { SendBudget } from "../src/forward/generations/sendbudget";
import { type UrgentQueueItem, UrgentQueue } from "../src/core/queues/urgentqueue";
import { SlidingWindowSum } from "../src/core/window";
import { createEntry } from "./harness/forward";

const WINDOW_MS = 8000;

describe("a sliding window sum", () => {
  it("counts all costs within 15/16 of the window, and none older than 17/16 of it", () => {
    const step = fc.record({ waitMs: fc.nat(900), cost: fc.nat(100) });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const sum = new SlidingWindowSum(WINDOW_MS);
        const past: { at: number; cost: number }[] = [];
        let now = 0;
        for (const { waitMs, cost } of steps) {
          now += waitMs;
          sum.add(cost, now);
          past.push({ at: now, cost });
          const count = (span: number) =>
            past.filter((item) => item.at > now - span).reduce((all, item) => all + item.cost, 0);
          const found = sum.read(now);
          assert.ok(found >= count(WINDOW_MS * (15 / 16)) - 1e-6);
          assert.ok(found <= count(WINDOW_MS * (17 / 16)) + 1e-6);
        }
      }),
    );
  });
});

describe("the retry budget", () => {
  const RETRY_LIMIT = { ratio: 0.2, slack: 56, windowMs: 10_000 };

  it("holds over all instances in any ten-second window", () => {
    const step = fc.record({
      at: fc.nat(7),
      waitMs: fc.nat(40),
      isRetry: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step, { minLength: 200, maxLength: 1500 }), (steps) => {
        const fleet = Array.from(
          { length: 8 },
          () => new RetryBudget(RETRY_LIMIT, () => 8, -60_000),
        );
        const requests: number[] = [];
        const repeats: number[] = [];
        let now = 0;
        for (const { at, waitMs, isRetry } of steps) {
          now += waitMs;
          const retryBudget = fleet[at];
          assert.ok(retryBudget);
          if (!isRetry) {
            retryBudget.recordRequest("s", now);
            requests.push(now);
          } else if (retryBudget.tryConsume("s", now)) repeats.push(now);
        }
        for (const from of repeats) {
          const within = repeats.filter((moment) => moment >= from && moment < from + 10_000);
          const asked = requests.filter(
            (moment) => moment > from - 10_000 && moment < from + 10_000,
          );
          assert.ok(within.length <= asked.length * 0.2 + 56);
        }
      }),
      { numRuns: 30 },
    );
  });

  it("holds over a window in which all instances are killed and start again", () => {
    const bound = { ...RETRY_LIMIT, ratio: 0 };
    let repeats = 0;
    for (const startedAt of [-60_000, 3000]) {
      for (let instance = 0; instance < 8; instance += 1) {
        const retryBudget = new RetryBudget(bound, () => 8, startedAt);
        while (retryBudget.tryConsume("s", startedAt < 0 ? 2000 : 5000)) repeats += 1;
      }
    }
    assert.ok(repeats <= bound.slack, `${repeats} retries within ten seconds`);
  });

  it("counts the resend after a rejected prefill, but not a first send", () => {
    const clock = new ManualClock(1000);
    const retryBudget = new RetryBudget(
      { ratio: 0, slack: 10 / 7, windowMs: 10_000 },
      () => 1,
      -60_000,
    );
    const rejected = new SendBudget(retryBudget, "s", clock);
    rejected.consume();
    assert.equal(rejected.tryConsume(), true, "the decode is the one retry that the budget allows");
    const next = new SendBudget(retryBudget, "s", clock);
    assert.equal(next.tryConsume(), true, "the first send is free");
    assert.equal(next.tryConsume(), false);
  });

  it("is kept for one run, and given back if that is not needed", () => {
    const clock = new ManualClock(1000);
    const limit = { ratio: 0, slack: 10 / 7, windowMs: 10_000 };
    const retryBudget = new RetryBudget(limit, () => 1, -60_000);
    const sends = new SendBudget(retryBudget, "s", clock);
    assert.equal(sends.tryConsume(), true);
    assert.deepEqual([sends.tryKeep(), sends.tryKeep()], [true, true]);
    assert.equal(sends.tryConsume(), false, "a prompt does not take it");
    assert.deepEqual([sends.tryConsumeForRun(), sends.tryConsumeForRun()], [true, false]);
    sends.dropKept();
    assert.equal(retryBudget.canConsume("s", clock.now()), false);
    sends.refund();
    assert.equal(sends.tryKeep(), true);
    sends.dropKept();
    assert.equal(retryBudget.canConsume("s", clock.now()), true);
  });
});

describe("the queue of waiting generations", () => {
  const create = (id: string, more: Partial<UrgentQueueItem> = {}): UrgentQueueItem => ({
    id,
    priority: 1,
    isOverRate: false,
    arrivedAt: 0,
    targetDeadline: 600,
    deadline: 675,
    ...more,
  });
  const list = (waiters: readonly UrgentQueueItem[], now: number) => {
    const queue = new UrgentQueue<UrgentQueueItem>();
    for (const waiter of waiters) queue.push(waiter);
    return queue.listHeads(now).map((waiter) => waiter.id);
  };

  it("orders by whether the target can still be met, then by rate, then priority, then arrival", () => {
    const waiters = [
      create("late", { targetDeadline: 10, priority: 0 }),
      create("over", { isOverRate: true, priority: 0 }),
      create("low", { priority: 2 }),
      create("new", { arrivedAt: 5 }),
      create("old"),
    ];
    assert.deepEqual(list(waiters, 50), ["old", "new", "low", "over", "late"]);
  });

  it("removes items at their deadline", () => {
    const queue = new UrgentQueue<UrgentQueueItem>();
    queue.push(create("a"));
    queue.push(create("b", { deadline: 100 }));
    assert.deepEqual(
      queue.removeExpired(100).map((waiter) => waiter.id),
      ["b"],
    );
    assert.equal(queue.size, 1);
  });
});

describe("the choice of an endpoint", () => {
  const random = () => 0;
  const candidates = (health: HealthTracker, now: number) =>
    ["a", "b"].map((id) => ({
      endpoint: createEntry(id, `${id}:1`),
      health: health.readView(id, now),
      isInDoubt: false,
      isLimited: false,
    }));

  it("avoids an endpoint that fails, hangs or cannot be reached, and uses it again later", () => {
    const chooseId = (health: HealthTracker, now: number) =>
      chooseEndpoint(candidates(health, now), "nizwa", new Set(), random)?.endpoint.id;
    const failing = new HealthTracker();
    for (let turn = 0; turn < 5; turn += 1) failing.beginCall("a", 0).end(CallOutcome.failure, 10);
    assert.equal(chooseId(failing, 20), "b");
    assert.ok(
      failing.readView("a", 60_000).failureRate < 0.001,
      "failures of a minute ago no longer count",
    );
    const hanging = new HealthTracker();
    hanging.beginCall("a", 0);
    assert.equal(chooseId(hanging, 1000), "b");
    const unreachable = new HealthTracker();
    unreachable.beginCall("a", 0).end(CallOutcome.unreachable, 250);
    assert.equal(chooseId(unreachable, 300), "b");
    assert.equal(unreachable.readView("a", 2000).isUnreachable, false);
  });

  it("excludes an unreachable endpoint for longer after each failed connection", () => {
    const health = new HealthTracker();
    health.beginCall("a", 0).end(CallOutcome.unreachable, 0);
    health.beginCall("a", 1600).end(CallOutcome.unreachable, 1600);
    assert.equal(health.readView("a", 1600 + 2500).isUnreachable, true);
    health.beginCall("a", 5000).end(CallOutcome.success, 5010);
    assert.equal(health.readView("a", 5020).isUnreachable, false);
  });

  it("returns nothing if every endpoint has had the request", () => {
    const health = new HealthTracker();
    assert.equal(
      chooseEndpoint(candidates(health, 0), "nizwa", new Set(["a", "b"]), random),
      undefined,
    );
  });
});

describe("requests that crash endpoints", () => {
  it("are refused after crashing two processes, with crashes that peers reported included", () => {
    const here = new CrashTracker();
    const there = new CrashTracker();
    const suspects = [{ fingerprint: "f", parts: [] }];
    const isBanned = (fingerprint: string, now: number) =>
      here.findBan({ fingerprint, parts: [] }, now) !== undefined;
    here.recordCrash({ process: "a@1", suspects }, 0);
    here.recordCrash({ process: "a@1", suspects }, 10);
    assert.equal(isBanned("f", 20), false, "one crash, reported twice");
    there.recordCrash({ process: "b@1", suspects }, 30);
    here.mergeKnowledge(there.listKnowledge(40), 40);
    assert.equal(isBanned("f", 50), true);
    assert.equal(isBanned("g", 50), false);
    assert.equal(isBanned("f", 70_000), false);
  });
});

describe("retries of refused generations", () => {
  it("are recognised for a while at every instance that was told of the refusal", () => {
    const here = new RefusalTracker();
    const there = new RefusalTracker();
    here.recordRefusal("0123456789abcdef", 0);
    there.mergePeerRefusals(here.listLocalRefusals(500), 510);
    assert.equal(there.wasRefused("0123456789abcdef", 2000), true);
    assert.equal(there.wasRefused("fedcba9876543210", 2000), false);
    assert.equal(there.wasRefused("0123456789abcdef", 20_000), false);
    assert.deepEqual(here.listLocalRefusals(3000), [], "peers have been told by then");
    assert.deepEqual(there.listLocalRefusals(600), [], "a peer's refusal is not passed on");
  });
});
