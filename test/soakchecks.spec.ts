/**
 * The checks of the fault soak. Guards against a soak that passes because its checks find nothing.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createBody, createEvent } from "./soak/answers";
import {
  checkAnswers,
  checkBans,
  checkDenied,
  checkKindsServed,
  checkLost,
  checkNotRun,
  checkProcessEnds,
  checkPrompts,
  checkRates,
  checkRunOnce,
  CHECKS,
  checkUnasked,
  describeRequest,
} from "./soak/checks";
import { FaultKind } from "./soak/faults";
import { CallKind } from "./soak/history";
import {
  CALM_AT,
  createFault,
  createHistory,
  createRun,
  createSoak,
  createTry,
  listRules,
  lose,
  refuse,
} from "./soak/samples";
import { checkCutInstances, checkServedAgain } from "./soak/recover";

const CUT = createFault(FaultKind.cut, 4000, 12_000, { instances: ["nizwa-1", "nizwa-2"] });

describe("checks of a soak", () => {
  it("find nothing in a history without a breach", () => {
    const tries = createSoak(() => false);
    const history = createHistory({
      tries,
      runs: tries.map(({ id }) => createRun(id)),
      faults: [CUT],
    });
    assert.deepEqual(
      CHECKS.flatMap((check) => check(history)),
      [],
    );
  });

  it("find a request that ran twice and may run once", () => {
    const runs = [createRun("r1"), createRun("r1", { endpoint: "s2" }), createRun("r2")];
    const tries = [createTry({ id: "r1" }), createTry({ id: "r2" })];
    assert.deepEqual(listRules(checkRunOnce(createHistory({ tries, runs }))), ["TWICE"]);
  });

  it("allow a request that may be repeated to run twice", () => {
    const tries = [createTry({ id: "r1", kind: CallKind.summary })];
    const runs = [createRun("r1"), createRun("r1")];
    assert.deepEqual(checkRunOnce(createHistory({ tries, runs })), []);
  });

  it("find a request that was refused as not run and has run, before or later", () => {
    const tries = [
      refuse("r1", 503, "no_endpoint", "not run"),
      refuse("r2", 429, "over_rate", ""),
      refuse("r3", 503, "no_endpoint", "not run", { kind: CallKind.any }),
      refuse("r4", 502, "outcome_unknown", "unknown"),
      refuse("r5", 503, "no_endpoint", "not run"),
    ];
    const runs = [createRun("r1"), createRun("r2", { at: 9000 }), createRun("r3"), createRun("r4")];
    const breaches = checkNotRun(createHistory({ tries, runs }));
    assert.deepEqual(
      breaches.flatMap(({ ids }) => ids),
      ["r1", "r2", "r3"],
    );
  });

  it("find a run that no caller asked for", () => {
    const breaches = checkUnasked(createHistory({ runs: [createRun("r1")] }));
    assert.deepEqual(listRules(breaches), ["UNASKED"]);
  });

  it("find answers that are another's, are changed or look whole and are not", () => {
    const kind = CallKind.summary;
    const tries = [
      createTry({ id: "foreign", body: createBody(CallKind.once, "r9") }),
      createTry({ id: "named", answeredId: "r9" }),
      createTry({ id: "short", kind, body: createEvent("short", 1) }),
      createTry({ id: "gap", kind, body: createEvent("gap", 2), isComplete: false }),
      createTry({
        id: "doubled",
        kind,
        body: createEvent("doubled", 1).repeat(2),
        isComplete: false,
      }),
      createTry({ id: "cut", kind, body: createEvent("cut", 1), isComplete: false }),
    ];
    const ids = checkAnswers(createHistory({ tries })).flatMap((breach) => breach.ids);
    assert.deepEqual(ids, ["foreign", "named", "short", "gap", "doubled", "named"]);
  });

  it("find a refusal that names another request", () => {
    const tries = [refuse("r1", 503, "no_endpoint", "not run", { answeredId: "r2" })];
    assert.deepEqual(listRules(checkAnswers(createHistory({ tries }))), ["MIXED"]);
  });

  it("find a generation that goes on from another's prompt", () => {
    const runs = [createRun("r1", { promptOf: "r2" }), createRun("r3", { promptOf: "r3" })];
    assert.deepEqual(listRules(checkPrompts(createHistory({ runs }))), ["MIXED"]);
  });

  it("find requests that are lost around a stop, a change and a silence", () => {
    const faults = [
      createFault(FaultKind.terminate, 500, 8000, { instances: ["nizwa-1"] }),
      createFault(FaultKind.reconfigure, 900, 900),
      createFault(FaultKind.silence, 900, 2000, { endpoints: ["s1"] }),
      createFault(FaultKind.store, 900, 2000),
    ];
    const tries = [
      lose("run"),
      lose("late", { endedAt: 1900 }),
      lose("hung", { endedAt: 6000, failure: "gave up" }),
      createTry({ id: "cut", isComplete: false }),
    ];
    const breaches = checkLost(createHistory({ tries, faults, runs: [createRun("run")] }));
    assert.deepEqual(
      breaches.flatMap(({ ids }) => ids),
      ["run", "late", "hung"],
    );
  });

  it("find a stream that is cut though its endpoint goes on", () => {
    const tries = [createTry({ id: "r1", kind: CallKind.summary, isComplete: false })];
    assert.deepEqual(listRules(checkLost(createHistory({ tries, runs: [createRun("r1")] }))), [
      "LOST",
    ]);
  });

  it("excuse requests that were not read, whose time was up, or whose process was disturbed", () => {
    const killed = createFault(FaultKind.kill, 6000, 6500, { instances: ["nizwa-1"] });
    const tries = [
      lose("unread"),
      lose("expired", { endedAt: 3600 }),
      lose("killed", { sentAt: 5900, endedAt: 6010 }),
      lose("restarted", { sentAt: 9000, endedAt: 9010 }),
      lose("elsewhere", { sentAt: 6000, endedAt: 6010, instance: "nizwa-2" }),
    ];
    const runs = ["killed", "restarted", "elsewhere"].map((id) => createRun(id));
    const breaches = checkLost(createHistory({ tries, runs, faults: [killed] }));
    assert.deepEqual(
      breaches.flatMap(({ ids }) => ids),
      ["elsewhere"],
    );
  });

  it("excuse only answers that break off beside a cut or a crash of their endpoint", () => {
    const faults = [
      createFault(FaultKind.cut, 900, 2000, { instances: ["nizwa-1"] }),
      createFault(FaultKind.crash, 900, 2000, { endpoints: ["s1"] }),
    ];
    const instance = "nizwa-2";
    const tries = [
      lose("cut"),
      createTry({ id: "cut begun", isComplete: false }),
      lose("crash", { instance }),
      createTry({ id: "crash begun", isComplete: false, instance }),
      createTry({ id: "other crash", isComplete: false, instance }),
    ];
    const runs = ["cut", "cut begun", "crash", "crash begun"].map((id) => createRun(id));
    const other = createRun("other crash", { endpoint: "s2" });
    const breaches = checkLost(createHistory({ tries, runs: [...runs, other], faults }));
    assert.deepEqual(
      breaches.flatMap(({ ids }) => ids),
      ["cut", "crash", "other crash"],
    );
  });

  it("find an answer that breaks off while a cut lasts and nothing changes, also as a peer stops", () => {
    const cut = createFault(FaultKind.cut, 1000, 12_000, { instances: ["nizwa-1"] });
    const stop = createFault(FaultKind.terminate, 4500, 9000, { instances: ["nizwa-2"] });
    const kill = createFault(FaultKind.kill, 9500, 9600, { instances: ["nizwa-2"] });
    const tries = [1500, 5000, 9500, 11_990].map((sentAt) =>
      createTry({ id: `r${sentAt}`, sentAt, isComplete: false }),
    );
    const runs = tries.map(({ id }) => createRun(id));
    const breaches = checkLost(createHistory({ tries, runs, faults: [cut, stop, kill] }));
    assert.deepEqual(
      breaches.flatMap(({ ids }) => ids),
      ["r5000"],
    );
  });

  it("find sound requests that were denied, banned or refused as over their rate", () => {
    const tries = [
      refuse("r1", 404, "unknown_route", "not run"),
      refuse("r2", 503, "request_crashes_endpoints", "not run"),
      refuse("r3", 429, "over_rate", "not run"),
    ];
    const history = createHistory({ tries });
    assert.deepEqual(
      [checkDenied, checkBans, checkRates].flatMap((check) => check(history)[0]?.ids),
      ["r1", "r2", "r3"],
    );
  });

  it("find a process that ended by itself", () => {
    const end = { instance: "nizwa-1", at: 5000, cause: "exit code 1" };
    const ends = [
      { ...end, isExpected: false },
      { ...end, isExpected: true },
    ];
    assert.deepEqual(listRules(checkProcessEnds(createHistory({ ends }))), ["ENDED"]);
  });

  it("find that a kind of request was never served, or nothing was sent", () => {
    const tries = [createTry({ id: "r1" }), lose("r2", { kind: CallKind.draft })];
    assert.equal(checkKindsServed(createHistory({ tries })).length, 1);
    assert.equal(checkKindsServed(createHistory()).length, 1);
  });

  it("find that callers of cut instances are served far worse", () => {
    const tries = createSoak(
      (instance, at) => instance !== "nizwa-3" && at >= CUT.at && at < CUT.until,
    );
    const breaches = checkCutInstances(createHistory({ tries, faults: [CUT] }));
    assert.match(breaches[0]?.message ?? "", /^100 of 100 failed .* 0 of 50 at the others/);
  });

  it("find too many failures at cut instances by number alone, unless a process stops beside", () => {
    const isFailed = (instance: string, at: number, index: number) =>
      instance !== "nizwa-3" && at >= CUT.at && at < CUT.until && index % 6 === 0;
    const tries = createSoak(isFailed);
    const freeze = createFault(FaultKind.freeze, 11_000, 12_000, { instances: ["nizwa-3"] });
    assert.equal(checkCutInstances(createHistory({ tries, faults: [CUT] })).length, 1);
    assert.equal(checkCutInstances(createHistory({ tries, faults: [CUT, freeze] })).length, 0);
  });

  it("allow failures before the cut is found, and those that the others see too", () => {
    const isFailed = (instance: string, at: number, index: number) =>
      at < CUT.at + 3000 || index % 3 === 0;
    const tries = createSoak(isFailed);
    assert.deepEqual(checkCutInstances(createHistory({ tries, faults: [CUT] })), []);
  });

  it("do not count a cut instance whose process was disturbed", () => {
    const kill = createFault(FaultKind.kill, 4000, 12_000, { instances: ["nizwa-1"] });
    const tries = createSoak((instance, at) => instance === "nizwa-1" && at >= CUT.at);
    assert.deepEqual(checkCutInstances(createHistory({ tries, faults: [CUT, kill] })), []);
  });

  it("find what still fails after the last fault, and that nothing was asked then", () => {
    const at = CALM_AT + 6000;
    const tries = createSoak((instance, sentAt) => instance === "nizwa-2" && sentAt === at);
    const [breach] = checkServedAgain(createHistory({ tries }));
    assert.match(breach?.message ?? "", /^1 of 150 failed/);
    assert.equal(checkServedAgain(createHistory()).length, 1);
  });

  it("describe a request by its answer, its runs and the faults meanwhile", () => {
    const faults = [createFault(FaultKind.reconfigure, 1005, 1005, { manner: "routes" })];
    const history = createHistory({ tries: [lose("r1")], runs: [createRun("r1")], faults });
    assert.deepEqual(describeRequest(history, "r1"), [
      "r1 (once) at nizwa-1, 1000 to 1020 ms: 0 not whole ECONNRESET",
      "  run at s1 from 1010 ms",
      "  meanwhile 1.005 to 1.005 s: reconfigure (routes)",
    ]);
  });
});
