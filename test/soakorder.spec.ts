/**
 * How the fault soak judges streams, also those that are taken up. Guards against a soak that can't see rule ORDER.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createEvent, createEvents, PAGE, PAGE_TYPE } from "./soak/answers";
import { checkAnswers, checkBans, checkLost, checkRunOnce } from "./soak/checks";
import { type Fault, FaultKind } from "./soak/faults";
import { CallKind, type Try } from "./soak/history";
import { checkOrder, listOrderBreaches, OrderBreach } from "./soak/order";
import { checkServedAgain } from "./soak/recover";
import {
  CALM_AT,
  createFault,
  createHistory,
  createRun,
  createSoak,
  createTry,
  listRules,
  refuse,
} from "./soak/samples";
import { readAnswer } from "./soak/streamcaller";

const WRITER = { version: "v1", process: "d1@1" };
const NEXT_WRITER = { version: "v1", process: "d1@2" };
const OTHER_VERSION = { version: "v2", process: "d2@1" };
const kind = CallKind.summary;

/** Creates the request that takes up `s1` after an event, and the events that it gets. */
function takeUp(after: number, more: Partial<Try> = {}): Try {
  const id = "s1.2";
  const body = createEvents(id, after, NEXT_WRITER).join("");
  return createTry({ id, kind, body, takenUp: { stream: "s1", after }, sentAt: 2000, ...more });
}

/** Creates the first request of `s1`, with its first events. */
function begin(count: number, more: Partial<Try> = {}): Try {
  const body = createEvents("s1", 0, WRITER).slice(0, count).join("");
  return createTry({ id: "s1", kind, body, isComplete: count === 12, ...more });
}

describe("the order of streams", () => {
  const allOf = (text: string) => createEvents(text, 0, WRITER);

  it("is kept by a whole stream, one that is cut, and one that is taken up where it broke off", () => {
    const refused = begin(0, { status: 503, isComplete: true });
    for (const tries of [[begin(12)], [begin(5)], [begin(5), takeUp(5)], [refused]])
      assert.deepEqual(checkOrder(createHistory({ tries })), []);
  });

  it("may be gone on with by another process where the kind may be resumed, and not else", () => {
    const events = [...allOf("s1").slice(0, 5), ...createEvents("s1", 5, NEXT_WRITER)];
    const joined = { body: events.join("") };
    assert.deepEqual(listOrderBreaches([begin(12, joined)]), []);
    const draft = begin(12, { ...joined, kind: CallKind.draft });
    assert.deepEqual(listOrderBreaches([draft]), [OrderBreach.twoRuns]);
  });

  it("is broken by an early end, whoever was stopped and however old the caller is", () => {
    const faults = [FaultKind.kill, FaultKind.freeze, FaultKind.terminate, FaultKind.restart].map(
      (fault) => createFault(fault, 1000, 1010, { instances: ["nizwa-1"], endpoints: ["d1"] }),
    );
    for (const more of [{}, { isOldCaller: true }, { kind: CallKind.draft }]) {
      const tries = [begin(5, { isComplete: true, ...more })];
      const breaches = checkOrder(createHistory({ tries, faults }));
      assert.deepEqual(listRules(breaches), ["ORDER"]);
      assert.match(breaches[0]?.message ?? "", /early end/);
      assert.deepEqual(listRules(checkAnswers(createHistory({ tries }))), ["MIXED"]);
    }
  });

  it("is broken by an early end of a request that takes a stream up, also without any event", () => {
    const half = createEvents("s1.2", 5, NEXT_WRITER).slice(0, 3).join("");
    for (const body of [half, ""]) {
      assert.deepEqual(listOrderBreaches([begin(5), takeUp(5, { body })]), [OrderBreach.earlyEnd]);
    }
  });

  it("is broken by a missing event, within an answer and between two", () => {
    const body = allOf("s1")
      .filter((_, index) => index !== 6)
      .join("");
    assert.deepEqual(listOrderBreaches([begin(12, { body })]), [OrderBreach.gap]);
    const late = takeUp(5, { body: createEvents("s1.2", 6, WRITER).join("") });
    assert.deepEqual(listOrderBreaches([begin(5), late]), [OrderBreach.gap]);
  });

  it("is broken by an event that comes twice or goes back, within an answer and between two", () => {
    const events = allOf("s1");
    const twice = [...events.slice(0, 6), ...events.slice(5)].join("");
    assert.deepEqual(listOrderBreaches([begin(12, { body: twice })]), [OrderBreach.repeat]);
    const again = takeUp(5, { body: createEvents("s1.2", 4, WRITER).join("") });
    assert.deepEqual(listOrderBreaches([begin(5), again]), [OrderBreach.repeat]);
  });

  it("is broken by events of two versions, within an answer and between two", () => {
    const joined = [...allOf("s1").slice(0, 5), ...createEvents("s1", 5, OTHER_VERSION)].join("");
    assert.deepEqual(listOrderBreaches([begin(12, { body: joined })]), [OrderBreach.twoVersions]);
    const other = takeUp(5, { body: createEvents("s1.2", 5, OTHER_VERSION).join("") });
    assert.deepEqual(listOrderBreaches([begin(5), other]), [OrderBreach.twoVersions]);
  });

  it("is broken by an event of another request, also of one of the same stream", () => {
    const body = [...allOf("s1").slice(0, 11), createEvent("s2", 12, WRITER)].join("");
    assert.deepEqual(listOrderBreaches([begin(12, { body })]), [OrderBreach.foreign]);
    const old = takeUp(5, { body: createEvents("s1", 5, WRITER).join("") });
    assert.deepEqual(listOrderBreaches([begin(5), old]), [OrderBreach.foreign]);
  });
});

describe("checks of a soak with streams that are taken up or left", () => {
  it("know the answer to a request that takes a stream up", () => {
    const ids = (item: Try) => checkAnswers(createHistory({ tries: [item] })).length;
    assert.equal(ids(takeUp(5)), 0);
    assert.equal(ids(takeUp(5, { isComplete: false, body: "" })), 0);
    assert.equal(ids(takeUp(5, { body: createEvents("s1.2", 4, WRITER).join("") })), 1);
    assert.equal(ids(takeUp(5, { body: createEvents("s1.2", 6, WRITER).join("") })), 1);
  });

  it("know the page that an engine wrote in place of the rest, and only as one", () => {
    const page = takeUp(5, { body: PAGE, type: PAGE_TYPE });
    const faults = [createFault(FaultKind.spoil, 1900, 2100, { endpoints: ["d1"] })];
    const check = (item: Try, played: readonly Fault[]) => {
      const history = createHistory({ tries: [begin(5), item], faults: played });
      return listRules([...checkAnswers(history), ...checkOrder(history)]);
    };
    assert.deepEqual(check(page, faults), []);
    assert.deepEqual(check(page, []), ["MIXED", "ORDER"]);
    assert.deepEqual(check({ ...page, type: "text/event-stream" }, faults), ["MIXED", "ORDER"]);
    assert.deepEqual(check({ ...page, body: PAGE.slice(0, 9) }, faults), ["MIXED", "ORDER"]);
    assert.deepEqual(check({ ...page, body: "" }, faults), ["MIXED", "ORDER"]);
  });

  it("find a part of an event that no engine writes", () => {
    const event = createEvent("r1", 1, WRITER);
    const count = (body: string) =>
      checkAnswers(
        createHistory({ tries: [createTry({ id: "r1", kind, body, isComplete: false })] }),
      ).length;
    for (let length = 0; length <= event.length; length += 1)
      assert.equal(count(event.slice(0, length)), 0, event.slice(0, length));
    for (const body of ["id: 2", "id: 1\ndata: r2 v1", "id: 1\ndata: r1 v1 d1@1 t2", ": ping\n\n"])
      assert.equal(count(body), 1, body);
    assert.equal(count(`${event}rest`), 1);
  });

  it("find a request that takes a stream up and runs twice, where it may run once", () => {
    const item = takeUp(5, { kind: CallKind.draft });
    const runs = [createRun("s1.2"), createRun("s1.2", { endpoint: "d2" })];
    assert.deepEqual(listRules(checkRunOnce(createHistory({ tries: [item], runs }))), ["TWICE"]);
  });

  it("find a lost one, and excuse one whose caller has left", () => {
    const tries = [takeUp(5, { isComplete: false }), begin(3, { isLeft: true })];
    const runs = [createRun("s1"), createRun("s1.2")];
    const breaches = checkLost(createHistory({ tries, runs }));
    assert.deepEqual(
      breaches.flatMap(({ ids }) => ids),
      ["s1.2"],
    );
  });

  it("excuse a stream that breaks off as its engine's process dies and is back, and no other one", () => {
    const faults = [createFault(FaultKind.restart, 1005, 1010, { endpoints: ["d1"] })];
    const tries = [begin(5), createTry({ id: "r2", kind, isComplete: false })];
    const runs = [createRun("s1", { endpoint: "d1" }), createRun("r2", { endpoint: "d2" })];
    const breaches = checkLost(createHistory({ tries, runs, faults }));
    assert.deepEqual(
      breaches.flatMap(({ ids }) => ids),
      ["r2"],
    );
  });

  it("find a ban after one death amid the runs of a stream, and excuse it after two", () => {
    const banned = refuse("s1.2", 503, "request_crashes_endpoints", "not run", {
      takenUp: { stream: "s1", after: 5 },
      kind,
      sentAt: 2000,
      endedAt: 2010,
    });
    const tries = [begin(5), banned];
    const runs = [createRun("s1", { endpoint: "d1" }), createRun("s1", { endpoint: "d2" })];
    const deaths = ["d1", "d2"].map((id) =>
      createFault(FaultKind.restart, 1012, 1015, { endpoints: [id] }),
    );
    const late = createFault(FaultKind.crash, 1500, 1600, { endpoints: ["d2"] });
    const count = (faults: readonly Fault[]) =>
      checkBans(createHistory({ tries, runs, faults })).length;
    assert.deepEqual(
      [count(deaths), count(deaths.slice(1)), count([...deaths.slice(1), late])],
      [0, 1, 1],
    );
  });

  it("do not owe a request that takes a stream up an engine of its version after the last fault", () => {
    const tries = createSoak(() => false);
    const sentAt = CALM_AT + 6000;
    const late = refuse("s1.2", 503, "unknown_stream", "not run", {
      takenUp: { stream: "s1", after: 5 },
      sentAt,
      endedAt: sentAt + 10,
    });
    assert.deepEqual(checkServedAgain(createHistory({ tries: [...tries, late] })), []);
    const first = { ...late, takenUp: undefined };
    assert.equal(checkServedAgain(createHistory({ tries: [...tries, first] })).length, 1);
  });
});

describe("a caller on a socket of its own", () => {
  const head = (framing: string) => `HTTP/1.1 200 OK\r\nx-id: r1\r\n${framing}\r\n`;

  it("takes an answer for whole by its length or its last chunk alone, and asks the connection else", () => {
    const { isWhole, body, answeredId } = readAnswer(`${head("content-length: 4\r\n")}text`);
    assert.deepEqual([isWhole, body, answeredId], [true, "text", "r1"]);
    assert.equal(readAnswer(`${head("content-length: 4\r\n")}tex`).isWhole, false);
    const chunks = `${head("transfer-encoding: chunked\r\n")}4\r\ntext\r\n`;
    assert.deepEqual(readAnswer(chunks).isWhole, false);
    assert.equal(readAnswer(`${chunks}0\r\n\r\n`).isWhole, true);
    assert.equal(readAnswer(`${chunks}0\r\n\r\n`).body, "text");
    assert.equal(readAnswer(`${head("")}text`).isWhole, undefined);
    assert.equal(readAnswer("HTTP/1.1 200 OK\r\n").isWhole, false);
  });
});
