/**
 * Which requests and prompt parts are banned for crashes. Guards against parts that crash engines in requests of which
 * no two are alike, and against bans of sound parts that are only often beside them.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { type BanEnd, CrashTracker } from "../src/core/crashes/tracker";
import { isSuspect, type Suspect, SubjectKind } from "../src/core/crashes/suspects";
import { decodeKnowledge, encodeKnowledge } from "../src/forward/shared/crashwire";
import { Beat } from "../src/peer/gen/fleet";

const BAN_MS = 60_000;
/** Age at which a crash counts against parts, and more. */
const SETTLED_MS = 200;

let requests = 0;
let processes = 0;
const createRequest = (...parts: string[]): Suspect => {
  requests += 1;
  return { fingerprint: `f${requests}`, parts };
};
const crash = (tracker: CrashTracker, now: number, ...suspects: readonly Suspect[]) => {
  processes += 1;
  tracker.recordCrash({ process: `d@${processes}`, suspects }, now);
};
const isBanned = (tracker: CrashTracker, part: string, now: number) =>
  tracker.findBan({ fingerprint: "new", parts: [part] }, now)?.subject.kind === SubjectKind.part;
const listBanned = (tracker: CrashTracker, parts: readonly string[], now: number) =>
  parts.filter((part) => isBanned(tracker, part, now));
/** Tells one tracker what another knows, as a heartbeat does. */
const tell = (from: CrashTracker, to: CrashTracker, now: number) => {
  const beat = Beat.fromPartial(encodeKnowledge(from.listKnowledge(now)));
  to.mergeKnowledge(decodeKnowledge(Beat.decode(Beat.encode(beat).finish())), now);
};

describe("a part that crashes engines", () => {
  it("is banned after three crashes in different requests, whatever else these hold", () => {
    const tracker = new CrashTracker();
    for (let turn = 0; turn < 3; turn += 1) {
      assert.equal(isBanned(tracker, "bad", turn * 500 + SETTLED_MS), false);
      tracker.recordCompletion(createRequest("a0"), turn * 500 + 300);
      crash(tracker, turn * 500 + 400, createRequest("a0", "bad", `g${turn}`), createRequest("a0"));
    }
    assert.deepEqual(listBanned(tracker, ["a0", "bad", "g0", "g1", "g2"], 2000), ["bad"]);
  });

  it("is not banned for the crashes of one request, which is refused itself", () => {
    const tracker = new CrashTracker();
    const request = createRequest("a0", "g0");
    for (let turn = 0; turn < 4; turn += 1) crash(tracker, turn * 500, request);
    assert.deepEqual(listBanned(tracker, ["a0", "g0"], 3000), []);
    assert.equal(tracker.findBan(request, 3000)?.subject.kind, SubjectKind.request);
  });

  it("is found beside another one that strikes at the same time", () => {
    const tracker = new CrashTracker();
    for (let turn = 0; turn < 8; turn += 1) {
      tracker.recordCompletion(createRequest("a0", "g0"), turn * 300);
      crash(tracker, turn * 300 + 50, createRequest("a0", turn % 2 === 0 ? "bad1" : "bad2"));
    }
    assert.deepEqual(listBanned(tracker, ["a0", "g0", "bad1", "bad2"], 3000), ["bad1", "bad2"]);
  });

  it("is found where a popular sound part is always beside it", () => {
    const tracker = new CrashTracker();
    for (let turn = 0; turn < 3; turn += 1) {
      crash(tracker, turn * 500 + 100, createRequest("a0", "g0", "bad"));
      if (turn === 0) tracker.recordCompletion(createRequest("a0", "g0"), 200);
    }
    crash(tracker, 2000, createRequest("a0", "g0", "bad"));
    assert.deepEqual(listBanned(tracker, ["a0", "g0", "bad"], 3000), ["bad"]);
  });

  it("is banned with another one only after five crashes if neither was ever without the other", () => {
    const tracker = new CrashTracker();
    tracker.recordCompletion(createRequest("a0"), 0);
    for (let turn = 0; turn < 5; turn += 1) {
      assert.deepEqual(listBanned(tracker, ["bad", "always"], turn * 500 + 400), []);
      crash(tracker, turn * 500 + 500, createRequest("a0", "bad", "always"));
    }
    assert.deepEqual(listBanned(tracker, ["a0", "bad", "always"], 4000), ["bad", "always"]);
  });

  it("explains its crashes, which then don't count against requests that ran beside it", () => {
    const tracker = new CrashTracker();
    const bystander = createRequest("a0", "g0");
    tracker.recordCompletion(createRequest("a0"), 0);
    crash(tracker, 500, createRequest("a0", "bad"), bystander);
    crash(tracker, 1000, createRequest("a0", "bad"), bystander);
    assert.notEqual(tracker.findBan(bystander, 1100), undefined);
    crash(tracker, 1500, createRequest("a0", "bad"));
    assert.equal(tracker.findBan(bystander, 2000), undefined);
    assert.equal(isBanned(tracker, "bad", 2000), true);
  });

  it("is not banned before the reports of all instances may have arrived", () => {
    const tracker = new CrashTracker();
    tracker.recordCompletion(createRequest("a0"), 0);
    for (let turn = 1; turn <= 3; turn += 1) {
      const [at, process] = [turn * 500, `reported@${turn}`];
      tracker.recordCrash({ process, suspects: [createRequest("a0", "g0")] }, at);
      assert.equal(isBanned(tracker, "g0", at + 40), false);
      const suspects = [createRequest("a0", "bad")];
      tracker.recordCrash({ process, suspects, ageMs: 50 }, at + 50);
    }
    assert.deepEqual(listBanned(tracker, ["a0", "g0", "bad"], 1800), [], "not decided yet");
    crash(tracker, 2000, createRequest("a0", "bad"));
    assert.deepEqual(listBanned(tracker, ["a0", "g0", "bad"], 2300), ["bad"]);
  });
});

describe("crashes that no part caused", () => {
  it("ban no part if all engines lose power at once, also if they do so again", () => {
    const tracker = new CrashTracker();
    const parts = Array.from({ length: 8 }, (_, index) => `g${index}`);
    tracker.recordCompletion(createRequest("a0"), 0);
    for (let loss = 0; loss < 4; loss += 1) {
      const at = 1000 + loss * 3000;
      for (let engine = 0; engine < 24; engine += 1) {
        const first = parts[engine % parts.length] ?? "g0";
        const second = parts[(engine + loss) % parts.length] ?? "g0";
        crash(tracker, at + engine * 4, createRequest("a0", first), createRequest("a0", second));
      }
    }
    assert.deepEqual(listBanned(tracker, ["a0", ...parts], 12_000), []);
  });

  it("ban no part that ran through a loss of power of which only the first crash is old enough to count", () => {
    const tracker = new CrashTracker();
    tracker.recordCompletion(createRequest("a0"), 0);
    for (const at of [500, 1500, 2500]) crash(tracker, at, createRequest("a0", "g0"));
    const others = new CrashTracker();
    others.recordCompletion(createRequest("a0"), 0);
    for (const at of [500, 1500]) crash(others, at, createRequest("a0", "g0"));
    crash(others, 2500, createRequest("a0", "g0"));
    for (let engine = 1; engine < 8; engine += 1) crash(others, 2530, createRequest("a0"));
    const firstSettledAt = 2570;
    assert.deepEqual(listBanned(tracker, ["a0", "g0"], firstSettledAt), ["g0"], "alone");
    assert.deepEqual(listBanned(others, ["a0", "g0"], firstSettledAt), [], "with the others");
  });

  it("ban no request that ran through two losses of power", () => {
    const tracker = new CrashTracker();
    const request = createRequest("a0");
    tracker.recordCompletion(createRequest("a0"), 0);
    for (const at of [1000, 6000]) {
      for (let engine = 0; engine < 8; engine += 1) {
        crash(tracker, at + engine * 10, engine === 0 ? request : createRequest("a0"));
      }
    }
    assert.equal(tracker.findBan(request, 7000), undefined);
  });

  it("ban no part that completed since, in any order of crashes and completions", () => {
    const step = fc.record({ isCrash: fc.boolean(), waitMs: fc.integer({ min: 1, max: 2000 }) });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const tracker = new CrashTracker();
        let now = 0;
        let crashes = 0;
        for (const { isCrash, waitMs } of steps) {
          now += waitMs;
          crashes = isCrash ? crashes + 1 : 0;
          if (isCrash) crash(tracker, now, createRequest("g0"));
          else tracker.recordCompletion(createRequest("g0"), now);
          if (crashes < 3) assert.equal(isBanned(tracker, "g0", now), false);
        }
      }),
    );
  });
});

describe("evidence that instances exchange", () => {
  const seeCrash = (tracker: CrashTracker, process: string, now: number) =>
    tracker.recordCrash({ process, suspects: [createRequest("a0", "bad")] }, now);

  it("counts a crash once, however often and by whomever it is told", () => {
    const [here, there] = [new CrashTracker(), new CrashTracker()];
    seeCrash(here, "d1@1", 0);
    seeCrash(there, "d1@1", 5);
    seeCrash(here, "d2@1", 500);
    for (let now = 600; now < 10_000; now += 500) {
      tell(here, there, now);
      tell(there, here, now);
    }
    assert.equal(isBanned(here, "bad", 10_000), false);
    assert.equal(isBanned(there, "bad", 10_000), false);
    assert.equal(here.listKnowledge(10_000).crashes.length, 2);
    assert.deepEqual(
      here.listKnowledge(70_000).crashes,
      [],
      "crashes are forgotten though peers told them again",
    );
  });

  it("adds up after an instance was cut off, and an acquittal is not undone by what it repeats", () => {
    const [here, there] = [new CrashTracker(), new CrashTracker()];
    for (const [index, tracker] of [here, here, there, there].entries()) {
      seeCrash(tracker, `d${index}@1`, index * 400);
    }
    here.recordCompletion(createRequest("a0"), 2000);
    assert.equal(isBanned(here, "bad", 20_000) || isBanned(there, "bad", 20_000), false);
    tell(there, here, 20_000);
    tell(here, there, 20_010);
    assert.deepEqual(
      [here, there].map((tracker) => isBanned(tracker, "bad", 20_020)),
      [true, true],
    );
    here.recordCompletion(createRequest("bad"), 20_100);
    assert.equal(isBanned(here, "bad", 20_100), false);
    tell(there, here, 20_200);
    assert.equal(isBanned(here, "bad", 20_200), false, "the peer still knows the crashes only");
    tell(here, there, 20_300);
    assert.equal(isBanned(there, "bad", 20_300), false);
  });

  it("comes to the same bans in any order", () => {
    const order = fc.shuffledSubarray([0, 1, 2, 3, 4], { minLength: 5 });
    fc.assert(
      fc.property(order, (turns) => {
        const nodes = turns.map(() => new CrashTracker());
        nodes.forEach((node, index) => seeCrash(node, `d${index}@1`, index * 300));
        nodes[0]?.recordCompletion(createRequest("a0"), 250);
        const target = new CrashTracker();
        for (const turn of [...turns, ...turns]) tell(nodes[turn] ?? target, target, 5000);
        assert.deepEqual(listBanned(target, ["a0", "bad"], 5000), ["bad"]);
      }),
    );
  });

  it("of older builds counts, which tell neither parts nor ages", () => {
    const tracker = new CrashTracker();
    for (const process of ["d1@1", "d2@1"]) {
      const crashes = [{ process, fingerprint: "f", parts: [], ageMs: undefined }];
      tracker.mergeKnowledge(decodeKnowledge({ crashes, completions: [], partBans: [] }), 100);
    }
    assert.notEqual(tracker.findBan({ fingerprint: "f", parts: [] }, 200), undefined);
  });
});

describe("the ban of a part", () => {
  const createBanned = (isResponsible: () => boolean) => {
    const ends: BanEnd[] = [];
    const tracker = new CrashTracker(isResponsible, {
      onBan: () => undefined,
      onBanAgain: () => undefined,
      onBanEnd: (_part, end) => ends.push(end),
    });
    for (let turn = 0; turn < 3; turn += 1) crash(tracker, turn * 300, createRequest("p"));
    assert.equal(isBanned(tracker, "p", 1000), true);
    return { tracker, ends };
  };

  it("ends at once if a run with the part completes", () => {
    const { tracker, ends } = createBanned(() => true);
    tracker.recordCompletion(createRequest("p"), 1500);
    assert.equal(isBanned(tracker, "p", 1500), false);
    assert.deepEqual(ends, ["completed"]);
  });

  it("lapses into probation: one request at one instance tries the part, and a crash doubles the ban", () => {
    const lapsedAt = 600 + BAN_MS;
    const { tracker } = createBanned(() => true);
    const { tracker: other } = createBanned(() => false);
    assert.equal(isBanned(tracker, "p", lapsedAt - 1), true);
    assert.equal(isBanned(other, "p", lapsedAt + 1), true, "another instance tries it");
    const trial = createRequest("p");
    assert.equal(tracker.beginRun(trial, lapsedAt + 1), undefined);
    assert.notEqual(tracker.beginRun(createRequest("p"), lapsedAt + 2), undefined);
    assert.equal(tracker.beginRun(trial, lapsedAt + 3), undefined, "its prefill, then its run");
    crash(tracker, lapsedAt + 100, trial);
    tell(tracker, other, lapsedAt + 110);
    for (const each of [tracker, other]) {
      assert.equal(isBanned(each, "p", lapsedAt + 100 + 2 * BAN_MS - 1), true);
    }
    const next = createRequest("p");
    assert.equal(tracker.beginRun(next, lapsedAt + 101 + 2 * BAN_MS), undefined);
    tracker.recordCompletion(next, lapsedAt + 200 + 2 * BAN_MS);
    assert.equal(isBanned(tracker, "p", lapsedAt + 201 + 2 * BAN_MS), false);
  });

  it("is known to an instance that starts after its crashes are forgotten", () => {
    const { tracker } = createBanned(() => true);
    const started = new CrashTracker(() => false);
    tell(tracker, started, 90_000);
    assert.equal(isBanned(started, "p", 90_000), true);
    tracker.recordCompletion(createRequest("p"), 90_100);
    tell(tracker, started, 90_200);
    assert.equal(isBanned(started, "p", 90_200), false);
    const cutOff = createBanned(() => false).tracker;
    tell(cutOff, tracker, 300_000);
    assert.equal(isBanned(tracker, "p", 300_000), false, "it completed since");
    tell(tracker, cutOff, 300_100);
    assert.equal(isBanned(cutOff, "p", 300_100), false);
  });
});

describe("the memory of crashes", () => {
  it("is bounded with thousands of parts and crashes", () => {
    const tracker = new CrashTracker();
    const parts = (turn: number) => Array.from({ length: 100 }, (_, index) => `p${turn}-${index}`);
    for (let turn = 0; turn < 300; turn += 1) {
      const suspects = Array.from({ length: 20 }, (_, index) =>
        createRequest(...parts(turn * 20 + index)),
      );
      crash(tracker, turn * 100, ...suspects);
      tracker.recordCompletion(createRequest(...parts(turn)), turn * 100 + 50);
    }
    const { crashes, completions } = tracker.listKnowledge(30_000);
    assert.equal(crashes.length, 128);
    assert.ok(crashes.every(({ suspects }) => suspects.length <= 16));
    assert.ok(crashes.every(({ suspects }) => suspects.every((one) => one.parts.length <= 32)));
    assert.ok(completions.length <= 1024);
  });
});

describe("a suspect of a crash", () => {
  it("is a run without an event, or one that began to be written just before", () => {
    assert.equal(isSuspect({ firstEventAt: undefined, brokeAt: 5000 }), true);
    assert.equal(isSuspect({ firstEventAt: 4880, brokeAt: 5000 }), true);
    assert.equal(isSuspect({ firstEventAt: 4000, brokeAt: 5000 }), false);
  });
});
