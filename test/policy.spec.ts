/**
 * Pure decisions of the scheduler: fair queueing, placement, selectors, rendezvous hashing, and detection of poison
 * requests, which crash the endpoints that they run on.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import type { WaitingRequest } from "../src/control/grants";
import { createWaitingRequest } from "../src/control/waiting";
import { FairQueue, type FairQueueItem, Precedence } from "../src/core/queues/fairqueue";
import { matchesSelector } from "../src/core/labels";
import { type PlacementCandidate, ReservingPolicy } from "../src/core/placement";
import { chooseByRendezvousHash } from "../src/core/rendezvous";
import { PoisonDetector } from "../src/core/crashes/poison";
import { Want } from "../src/peer/gen/peer";

let count = 0;
function createQueueItem(
  workspace: string,
  cost: number,
  weight = 1,
  deadline = 1e9,
): FairQueueItem {
  count += 1;
  return {
    id: `w${count}`,
    workspace,
    priorityClass: `class-${weight}`,
    weight,
    precedence: Precedence.usual,
    cost,
    targetDeadline: deadline,
    deadline,
  };
}

function dequeueNext(queue: FairQueue<FairQueueItem>): FairQueueItem | undefined {
  const [head] = queue.listHeads(0);
  return head === undefined ? undefined : queue.dequeue(head.id);
}

const engine: fc.Arbitrary<PlacementCandidate> = fc.record({
  name: fc.string({ minLength: 1 }),
  dataCentre: fc.constantFrom("nizwa", "bahla"),
  slots: fc.integer({ min: 1, max: 20 }),
  usedSlots: fc.integer({ min: 0, max: 20 }),
  tokensAhead: fc.nat(10_000),
  transfers: fc.nat(4),
  cachedTokens: fc.nat(4000),
  hasSuspect: fc.boolean(),
});

describe("the fair queue", () => {
  it("serves equal tokens, within one request each, to workspaces that always have requests waiting", () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 1, max: 100 }), { minLength: 60, maxLength: 60 }),
        (costs) => {
          const queue = new FairQueue<FairQueueItem>();
          for (const [index, cost] of costs.entries())
            queue.push(createQueueItem(index % 3 === 0 ? "small" : "large", cost));
          const served = { small: 0, large: 0 };
          for (let turn = 0; turn < 20; turn += 1) {
            const item = dequeueNext(queue);
            if (item !== undefined) served[item.workspace as "small" | "large"] += item.cost;
          }
          assert.ok(Math.abs(served.small - served.large) <= 200);
        },
      ),
    );
  });

  it("serves a class of four times the weight four times as many requests", () => {
    const queue = new FairQueue<FairQueueItem>();
    for (let index = 0; index < 100; index += 1) {
      queue.push(createQueueItem("w", 10, 1));
      queue.push(createQueueItem("w", 10, 4));
    }
    const first = Array.from({ length: 50 }, () => dequeueNext(queue)?.weight);
    assert.equal(first.filter((weight) => weight === 4).length, 40);
  });

  it("serves items that can still meet their target first, and removes those past their deadline", () => {
    const queue = new FairQueue<FairQueueItem>();
    const late = { ...createQueueItem("a", 1), targetDeadline: -1 };
    const onTime = createQueueItem("b", 100);
    const expired = createQueueItem("c", 1, 1, -1);
    for (const item of [late, onTime, expired]) queue.push(item);
    assert.deepEqual(
      queue.removeExpired(0).map((item) => item.id),
      [expired.id],
    );
    assert.deepEqual(
      queue.listHeads(0).map((item) => item.id),
      [onTime.id, late.id],
    );
    assert.equal(queue.size, 2);
  });

  it("serves the likely cause of a crash before those that wrote tokens on that engine, however late it is", () => {
    const queue = new FairQueue<WaitingRequest>();
    const push = (id: string, more: Partial<Want>) => {
      const want = Want.fromPartial({ id, outputTokens: 100, patienceMs: 8000, crashes: ["d1@1"] });
      queue.push(createWaitingRequest("session", { ...want, ...more }, 1, 0));
    };
    push("resumed-1", { resumed: true, firstTokenMs: 20_000 });
    push("resumed-2", { resumed: true, firstTokenMs: 20_000 });
    push("suspect", { firstTokenMs: 600 });
    queue.dequeue("resumed-1");
    for (const now of [0, 500, 1000, 4000])
      assert.equal(queue.listHeads(now)[0]?.id, "suspect", `after ${now} ms`);
  });

  it("serves the likely cause of a crash before a flow that has waited for longer", () => {
    const queue = new FairQueue<WaitingRequest>();
    const push = (id: string, more: Partial<Want>) => {
      const want = Want.fromPartial({
        id,
        outputTokens: 100,
        firstTokenMs: 9000,
        patienceMs: 9000,
      });
      queue.push(createWaitingRequest("session", { ...want, ...more }, 1, 0));
    };
    push("resumed", { resumed: true, crashes: ["d1@1"] });
    for (const id of ["usual-1", "usual-2"]) {
      push(id, {});
      queue.dequeue(id);
    }
    push("suspect", { crashes: ["d1@1"] });
    push("usual-3", {});
    const heads = queue.listHeads(0).map(({ id }) => id);
    assert.deepEqual(heads, ["suspect", "resumed", "usual-3"]);
  });
});

describe("placement", () => {
  const request = { promptTokens: 1000, isSuspect: false, dataCentre: "nizwa" };

  it("never chooses an engine without a free slot, nor places a suspect on an engine that runs another", () => {
    fc.assert(
      fc.property(
        fc.array(engine),
        fc.array(engine),
        fc.boolean(),
        (prefills, decodes, isSuspect) => {
          const prefillCandidates = prefills.map((view, index) => ({ ...view, name: `p${index}` }));
          const decodeCandidates = decodes.map((view, index) => ({ ...view, name: `d${index}` }));
          const chosen = new ReservingPolicy().choose(
            { ...request, isSuspect },
            prefillCandidates,
            decodeCandidates,
          );
          const hasRoom = (view: PlacementCandidate | undefined) =>
            view !== undefined && view.usedSlots < view.slots && !(isSuspect && view.hasSuspect);
          const canPlace = prefillCandidates.some(hasRoom) && decodeCandidates.some(hasRoom);
          assert.equal(chosen !== undefined, canPlace);
          if (chosen === undefined) return;
          assert.ok(hasRoom(prefillCandidates.find((view) => view.name === chosen.prefill)));
          assert.ok(hasRoom(decodeCandidates.find((view) => view.name === chosen.decode)));
        },
      ),
    );
  });

  it("prefers the engine with the cached prefix unless too much work is queued there", () => {
    const base = {
      dataCentre: "nizwa",
      slots: 4,
      usedSlots: 0,
      tokensAhead: 0,
      transfers: 0,
      cachedTokens: 0,
      hasSuspect: false,
    };
    const choose = (tokensAhead: number) =>
      new ReservingPolicy().choose(
        request,
        [
          { ...base, name: "cold" },
          { ...base, name: "warm", cachedTokens: 900, tokensAhead },
        ],
        [{ ...base, name: "d" }],
      )?.prefill;
    assert.deepEqual([choose(0), choose(2000)], ["warm", "cold"]);
  });

  it("prefers a decode engine in the data centre of the prefill engine", () => {
    const base = {
      slots: 4,
      usedSlots: 0,
      tokensAhead: 0,
      transfers: 0,
      cachedTokens: 0,
      hasSuspect: false,
    };
    const chosen = new ReservingPolicy().choose(
      request,
      [{ ...base, name: "p", dataCentre: "nizwa" }],
      [
        { ...base, name: "far", dataCentre: "bahla" },
        { ...base, name: "near", dataCentre: "nizwa" },
      ],
    );
    assert.equal(chosen?.decode, "near");
  });
});

describe("selectors and rendezvous hashing", () => {
  it("match an endpoint only if every named label has an allowed value", () => {
    assert.equal(
      matchesSelector({ region: ["nizwa"], tier: ["a", "b"] }, { region: "nizwa", tier: "b" }),
      true,
    );
    assert.equal(matchesSelector({ region: ["nizwa"], tier: ["a"] }, { region: "nizwa" }), false);
    assert.equal(matchesSelector({}, {}), true);
  });

  it("reassign only the names of a removed member", () => {
    const members = ["a", "b", "c", "d"];
    fc.assert(
      fc.property(fc.string(), fc.constantFrom(...members), (name, gone) => {
        const before = chooseByRendezvousHash(name, members);
        const after = chooseByRendezvousHash(
          name,
          members.filter((member) => member !== gone),
        );
        assert.ok(before === gone || after === before);
      }),
    );
  });
});

describe("the poison detector", () => {
  const createRunning = (...names: string[]) =>
    names.map((fingerprint) => ({ fingerprint, isNew: false }));

  it("bans a request at its second crash if it ran beside no other suspect", () => {
    const poison = new PoisonDetector();
    poison.recordCrash("d1@1", createRunning("bad", "good-1", "good-2"), 0);
    assert.equal(poison.isSuspect("good-1", 1), true);
    poison.clear("good-1");
    poison.recordCrash("d2@1", createRunning("bad", "new"), 2);
    assert.ok(poison.findBan("bad", 3) !== undefined);
    for (const otherRequest of ["good-1", "good-2", "new"])
      assert.equal(poison.findBan(otherRequest, 3), undefined);
  });

  it("counts one crash once, however often it is reported", () => {
    const poison = new PoisonDetector();
    for (let report = 0; report < 3; report += 1)
      poison.recordCrash("d1@1", createRunning("only"), report);
    assert.equal(poison.countCrashes("only", 5), 1);
    assert.equal(poison.findBan("only", 5), undefined);
  });

  it("bans no request that was only in crashes beside other suspects", () => {
    fc.assert(
      fc.property(
        fc.array(fc.uniqueArray(fc.constantFrom("a", "b", "c"), { minLength: 2 })),
        (crashes) => {
          const poison = new PoisonDetector();
          poison.recordCrash("first", createRunning("a", "b", "c"), 0);
          for (const [index, running] of crashes.entries())
            poison.recordCrash(`p${index}`, createRunning(...running), index);
          for (const name of ["a", "b", "c"]) assert.equal(poison.findBan(name, 100), undefined);
        },
      ),
    );
  });

  it("holds a likely poison request back, and bans its copies only once both crashes are confirmed", () => {
    const poison = new PoisonDetector();
    poison.recordCrash("d1@1", createRunning("bad"), 0, false);
    poison.recordCrash("d2@1", createRunning("bad"), 1, false);
    assert.deepEqual([poison.isPoison("bad", 2), poison.findBan("bad", 2)], [true, undefined]);
    poison.confirmCrash("d1@1", 3);
    assert.equal(poison.findBan("bad", 3), undefined);
    poison.confirmCrash("d2@1", 4);
    assert.ok(poison.findBan("bad", 4) !== undefined);
  });

  it("clears other suspects once the poison request is confirmed, also when they are reported again for its crashes", () => {
    const poison = new PoisonDetector();
    const isNew = (fingerprint: string) => ({ fingerprint, isNew: true });
    poison.recordCrash("d1@1", ["bad", "good-1"].map(isNew), 0, false);
    poison.recordCrash("d2@1", ["bad", "good-2"].map(isNew), 1, false);
    poison.confirmCrash("d1@1", 2);
    assert.equal(poison.isSuspect("good-1", 2), true, "the second crash is not confirmed yet");
    poison.confirmCrash("d2@1", 3);
    poison.addSuspect("good-1", "d1@1", 4);
    for (const otherRequest of ["good-1", "good-2"]) {
      assert.equal(poison.isSuspect(otherRequest, 5), false);
      assert.equal(poison.isPrimeSuspect(otherRequest), false);
      assert.equal(poison.countCrashes(otherRequest, 5), 0);
    }
    assert.equal(poison.isPoison("bad", 5), true);
    poison.recordCrash("d3@1", [isNew("good-1")], 6);
    assert.equal(poison.isSuspect("good-1", 7), true, "a new crash counts");
  });

  it("does not count a retracted crash, which was only a broken connection", () => {
    const poison = new PoisonDetector();
    poison.recordCrash("d1@1", createRunning("a"), 0, false);
    poison.recordCrash("d2@1", createRunning("a"), 1, false);
    poison.retractCrash("d2@1", 2);
    assert.deepEqual([poison.isPoison("a", 2), poison.countCrashes("a", 2)], [false, 1]);
  });
});
