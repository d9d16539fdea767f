/**
 * Streams that callers take up within a second of their first event, while it is not known yet which process of an engine
 * began them. Guards against two versions in one stream, and against sound streams that are refused for longer than told.
 */
import assert from "node:assert/strict";
import { request as httpRequest } from "node:http";
import type { Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { ManualClock, pause } from "../src/core/clock";
import { EndpointDirectory } from "../src/fleet/directory";
import { EngineStage } from "../src/fleet/entries";
import { ProcessState } from "../src/forward/endpoints";
import { TakeUpCheck, WriterState } from "../src/forward/generations/takeupcheck";
import { addEndpoint, get, port, prepareEach, start, store } from "./harness/fixture";
import { createConfig, createEntry, testCodecs } from "./harness/forward";
import { createEvent, encodeChunk, writeStreamHead } from "./harness/handover";
import { startInstances } from "./harness/instances";
import { MemoryFeed } from "./harness/memory";
import { writeAnswer } from "./harness/raw";
import { ReportCodec } from "./soak/codec";

prepareEach();

const ENGINE = { service: "models", stage: EngineStage.decode };
/** When the process that is listed at first started, and when the one that takes its place did. */
const LISTED = 1;
const NEXT = 2;
/** How long the next process takes to tell which one it is, in milliseconds; it may be asked for a second. */
const TELL_MS = 400;
/** How long the first engine writes on nothing before it resets the connection, in milliseconds. */
const BREAK_MS = 500;
/** Time between two streams, in milliseconds: the question after the first is under way. */
const APART_MS = 150;
/** How far the clocks of two instances are apart that each differ by 200 ms from an engine's, in milliseconds. */
const CLOCKS_APART_MS = 400;
/** Timeout of the routes where the list must have been watched for as long as a stream lasts, in milliseconds. */
const ROUTE_MS = 1500;
/** How long after the end of its request a caller may take its stream up, in milliseconds. */
const RETURN_MS = 2000;
/** How long it must have been watched then, in milliseconds: also while its caller may come back. */
const WATCHED_MS = ROUTE_MS + RETURN_MS + 1500;
/** More than keep the origin of a stream. */
const INSTANCES = 5;
/** How long an engine is asked whether its listed process began a stream, in milliseconds. */
const QUESTION_MS = 1000;
const HEADERS = { "x-tokens": "30", "x-patience": "5000" };

const { endpointCodec } = testCodecs;
const { createReportCall, readProcessStart } = endpointCodec;

beforeEach(() => {
  const reports = new ReportCodec();
  Object.assign(endpointCodec, {
    createReportCall: reports.createReportCall,
    readProcessStart: reports.readProcessStart,
  });
});

afterEach(() => {
  Object.assign(endpointCodec, { createReportCall, readProcessStart });
});

/** Answers the question which process it is; `count` is the number of the question, from 1. */
type Report = (head: string, socket: Socket, count: number) => void;

const createReport =
  (process: number, afterMs = 0): Report =>
  (head, socket) => {
    setTimeout(() => {
      writeAnswer(socket, head, String(process));
    }, afterMs);
  };

/** Leaves the first question without an answer, as one whose connection is lost, and answers the others at once. */
const createReportAfterLost =
  (process: number): Report =>
  (head, socket, count) => {
    if (count > 1) writeAnswer(socket, head, String(process));
  };

interface EngineOptions {
  /** Number of streams that the first engine begins; it has no room for more. */
  readonly streams?: number;
  readonly breakMs?: number;
  /** How it answers when it has no room. */
  readonly fullStatus?: string;
}

/** Adds an engine that begins streams and breaks them off, and a sound one of the listed version. */
async function addEngines(
  report: Report,
  { streams = 1, breakMs = BREAK_MS, fullStatus = "503 Full" }: EngineOptions = {},
) {
  let runs = 0;
  let reports = 0;
  const first = await addEndpoint(
    "d1",
    (head, socket) => {
      if (head.startsWith("GET /report")) report(head, socket, (reports += 1));
      else if (head.includes("x-task: run")) {
        runs += 1;
        writeStreamHead(head, socket);
        for (const id of [1, 2]) socket.write(encodeChunk(createEvent(id)));
        setTimeout(() => socket.resetAndDestroy(), breakMs);
      } else if (head.startsWith("POST /hold") && runs >= streams)
        writeAnswer(socket, head, "", fullStatus);
      else writeAnswer(socket, head, "h1");
    },
    ENGINE,
  );
  const second = await addEndpoint(
    "d2",
    (head, socket) => {
      const after = Number(/x-after: (\d+)/i.exec(head)?.[1] ?? "0");
      if (head.startsWith("GET /report")) writeAnswer(socket, head, String(LISTED));
      else if (head.includes("x-task: run")) {
        writeStreamHead(head, socket);
        const chunks = [1, 2, 3, 4].slice(after).map((id) => encodeChunk(createEvent(id)));
        socket.write(chunks.join("") + "0\r\n\r\n");
      } else if (head.startsWith("POST /hold") && runs < streams)
        writeAnswer(socket, head, "", "503 Full");
      else writeAnswer(socket, head, "h1");
    },
    ENGINE,
  );
  const countJoins = () =>
    second.requests.filter((head) => head.includes("x-task: run") && /x-after/i.test(head)).length;
  return { first, countJoins, countReports: () => reports };
}

/** Leaves a stream after its first two events. */
function readAndLeave(id: string, at = port): Promise<void> {
  return new Promise((resolve, reject) => {
    const headers = { ...HEADERS, "x-id": id };
    const request = httpRequest(
      { host: "127.0.0.1", port: at, path: "/summary/1", headers },
      (response) => {
        response.on("error", () => undefined);
        response.on("data", (bytes: Buffer) => {
          if (!bytes.includes("t2")) return;
          request.destroy();
          resolve();
        });
      },
    );
    request.on("error", reject);
    request.end();
  });
}

let takeUps = 0;

/** Takes the stream "begun" up after its second event; by its id unless told otherwise. */
function takeUp(of: Record<string, string> = { "x-of": "begun" }, at = port) {
  const id = `taken-up-${(takeUps += 1)}`;
  return get(at, "/summary/1", { ...HEADERS, ...of, "x-id": id, "x-after": "2" });
}

/** Starts the instance, and waits until it knows which version the service had while any stream may have begun. */
async function startWatched(): Promise<void> {
  putShortRoutes();
  await start();
  await pause(WATCHED_MS);
}

/** Gives the routes a timeout of which the list is soon watched for as long. */
function putShortRoutes(): void {
  const config = createConfig(2);
  const routes = config.routes.map((route) => ({ ...route, timeoutMs: ROUTE_MS }));
  store.putConfig({ ...config, routes });
}

/** Takes the stream "begun" up, and again after the delay that the caller was told; it must be served by then. */
async function checkServedAfterDelay(): Promise<void> {
  const startedAt = performance.now();
  const refused = await takeUp();
  if (refused.status === 200) return;
  const toldMs = Number(refused.headers["x-retry-ms"] ?? "0");
  await pause(toldMs);
  const { status } = await takeUp();
  let last = status;
  for (let tries = 0; last !== 200 && tries < 40; tries += 1) {
    await pause(50);
    last = (await takeUp()).status;
  }
  const tookMs = Math.round(performance.now() - startedAt);
  assert.equal(status, 200, `told ${toldMs} ms, ${last} after ${tookMs} ms`);
}

/** What must be seen of a stream at which nobody may go on. */
const REFUSED = { status: 503, hasRest: false, joins: 0 };

describe("a stream that a process of another version begins before it is listed", () => {
  it("is not taken up at the listed version where the entry of its engine was removed meanwhile", async () => {
    const { countJoins } = await addEngines(createReport(NEXT, TELL_MS));
    await start();
    await readAndLeave("begun");
    store.endpoints.put("d1", undefined);
    await pause(100);
    const { status, body } = await takeUp();
    assert.deepEqual({ status, hasRest: body.includes("t3"), joins: countJoins() }, REFUSED);
  });

  it("is not taken up at the listed version by a caller that names its last event alone, while the question is under way", async () => {
    const { countJoins } = await addEngines(createReport(NEXT, TELL_MS));
    await startWatched();
    await readAndLeave("begun");
    const { status, body } = await takeUp({});
    assert.deepEqual({ status, hasRest: body.includes("t3"), joins: countJoins() }, REFUSED);
  });

  it("is not taken up at the listed version by a caller that names its last event alone, once the question is answered", async () => {
    const { countJoins } = await addEngines(createReport(NEXT));
    await startWatched();
    await readAndLeave("begun");
    await pause(300);
    const { status, body } = await takeUp({});
    assert.deepEqual({ status, hasRest: body.includes("t3"), joins: countJoins() }, REFUSED);
  });

  it("is not taken up at the listed version at any instance by a caller that names its last event alone, once the question is answered", async () => {
    const { countJoins } = await addEngines(createReport(NEXT));
    putShortRoutes();
    const instances = await startInstances(store, INSTANCES);
    try {
      await pause(WATCHED_MS);
      await readAndLeave("begun", instances.ports[0]);
      await pause(300);
      const tries = instances.ports.map((at) => takeUp({}, at));
      const statuses = (await Promise.all(tries)).map(({ status }) => status);
      const refused = instances.ports.map(() => 503);
      assert.deepEqual({ statuses, joins: countJoins() }, { statuses: refused, joins: 0 });
    } finally {
      await instances.close();
    }
  });

  it("is cut where the question of an earlier stream is lost and a second one would be answered", async () => {
    const { countJoins, countReports } = await addEngines(createReportAfterLost(NEXT), {
      streams: 2,
    });
    await start();
    await readAndLeave("earlier");
    await pause(APART_MS);
    const { body, isComplete } = await get(port, "/summary/1", HEADERS);
    const seen = { hasRest: body.includes("t3"), isComplete, joins: countJoins() };
    const cut = { hasRest: false, isComplete: false, joins: 0 };
    assert.deepEqual(seen, cut, `after ${countReports()} questions`);
  });
});

describe("a stream that the listed process begins, and that is taken up soon", () => {
  it("goes on at once where the first question is lost and a second one is answered", async () => {
    const { countReports } = await addEngines(createReportAfterLost(LISTED));
    await start();
    await readAndLeave("begun");
    await pause(APART_MS);
    const { status } = await takeUp();
    assert.equal(status, 200, `after ${countReports()} questions`);
  });

  it("goes on for a caller that names its last event alone, at once", async () => {
    await addEngines(createReport(LISTED));
    await startWatched();
    await readAndLeave("begun");
    assert.equal((await takeUp({})).status, 200);
  });

  it("goes on for a caller that names its last event alone and comes back after the delay that it was told", async () => {
    await addEngines(createReport(LISTED, TELL_MS));
    await startWatched();
    await readAndLeave("begun");
    const { status, headers } = await takeUp({});
    assert.equal(status, 503);
    const toldMs = Number(headers["x-retry-ms"] ?? "0");
    assert.ok(toldMs > 0 && toldMs <= QUESTION_MS, `told ${toldMs} ms`);
    await pause(toldMs);
    assert.equal((await takeUp({})).status, 200);
  });

  it("goes on for a caller that names its last event alone once no stream of another process can be taken up", async () => {
    await addEngines(createReport(NEXT));
    await startWatched();
    await readAndLeave("begun");
    await pause(ROUTE_MS);
    await readAndLeave("sound");
    assert.equal((await takeUp({})).status, 503, "the other process's stream may be meant");
    await pause(RETURN_MS + 300);
    await readAndLeave("later");
    assert.equal((await takeUp({})).status, 200);
  });

  it("goes on at once where its engine asks for a pause, and tells", async () => {
    await addEngines(createReport(LISTED), { fullStatus: "503 Full\r\nx-pause-ms: 3000" });
    await start();
    await readAndLeave("begun");
    await get(port, "/summary/2", HEADERS);
    assert.equal((await takeUp()).status, 200);
  });

  it("goes on where its engine has died and the caller comes back after the delay that it was told", async () => {
    const { first } = await addEngines(createReport(LISTED, TELL_MS), { breakMs: 60_000 });
    await start();
    await readAndLeave("begun");
    first.close();
    await checkServedAfterDelay();
  });

  it("goes on where its engine has no connection left and the caller comes back after the delay that it was told", async () => {
    await addEngines((_head, socket) => socket.resetAndDestroy(), { breakMs: 60_000 });
    await start();
    await readAndLeave("begun");
    await checkServedAfterDelay();
  });

  it("is asked after by an instance whose clock is ahead as far as its engines' clocks may differ", async () => {
    const clock = new ManualClock(10_000);
    const directory = new EndpointDirectory(testCodecs.decodeEndpoint);
    const feed = new MemoryFeed();
    feed.put("d1", Buffer.from(JSON.stringify(createEntry("d1", "127.0.0.1:1", ENGINE))));
    directory.apply({ records: feed.records, next: feed.next }, clock.now());
    const check = new TakeUpCheck({
      ...{ directory, clock, readWallClock: () => clock.now() + CLOCKS_APART_MS },
      askWriter: () => Promise.resolve({ state: ProcessState.other }),
    });
    const origin = { service: "models", version: "v1", endpoint: "d1", processStartedAt: LISTED };
    const began = { ...origin, beganAt: clock.now() };
    clock.advance(900);
    assert.equal((await check.check(began, "r")).writer, WriterState.other);
  });
});
