/**
 * Streams whose first run the next process of an engine writes before it is listed, where the question which process
 * it is brings nothing at first, is not asked, or is still under way. Guards against two versions in one stream.
 */
import assert from "node:assert/strict";
import { request as httpRequest } from "node:http";
import type { Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { pause } from "../src/core/clock";
import { EngineStage } from "../src/fleet/entries";
import { get, port, prepareEach, addEndpoint, start, store } from "./harness/fixture";
import { createEntry, testCodecs } from "./harness/forward";
import { createEvent, encodeChunk, writeStreamHead } from "./harness/handover";
import { writeAnswer } from "./harness/raw";
import { ReportCodec } from "./soak/codec";

prepareEach();

const ENGINE = { service: "models", stage: EngineStage.decode };
/** When the process that is listed at first started, and when the one that takes its place did. */
const LISTED = 1;
const NEXT = 2;
const FIRST_EVENTS = 2;
/** Data centre of the first engine where it is evacuated. */
const EVACUATED = "bahla";
/** How long the first engine writes on nothing before it resets the connection, in milliseconds. */
const BREAK_MS = 500;
/** For how long a question is turned away, in milliseconds; it may be asked for a second. */
const REFUSED_MS = 200;

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

const tellNext: Report = (head, socket) => {
  writeAnswer(socket, head, String(NEXT));
};

/** Adds an engine whose next process writes two events and dies, and a sound one of the listed version. */
async function addEngines(report: Report, { firstEventMs = 0, holdStatus = "503 Full" } = {}) {
  const isFree = () => (holdStatus === "503 Full" ? runs > 0 : refusals > 0);
  let runs = 0;
  let reports = 0;
  let refusals = 0;
  const first = await addEndpoint(
    "d1",
    (head, socket) => {
      if (head.startsWith("GET /report")) report(head, socket, (reports += 1));
      else if (head.includes("x-task: run")) {
        runs += 1;
        writeStreamHead(head, socket);
        setTimeout(() => {
          for (const id of [1, 2]) socket.write(encodeChunk(createEvent(id)));
          setTimeout(() => socket.resetAndDestroy(), BREAK_MS);
        }, firstEventMs);
      } else if (head.startsWith("POST /hold") && runs > 0) {
        refusals += 1;
        writeAnswer(socket, head, "", holdStatus);
      } else writeAnswer(socket, head, "h1");
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
      } else if (head.startsWith("POST /hold") && !isFree())
        writeAnswer(socket, head, "", "503 Full");
      else writeAnswer(socket, head, "h1");
    },
    ENGINE,
  );
  const countJoins = () =>
    second.requests.filter((head) => head.includes("x-task: run") && /x-after/i.test(head)).length;
  return { first, countJoins, countReports: () => reports };
}

/** Plays one stream; tells how many events the caller got, and how often the listed version went on with it. */
async function play(report: Report) {
  const { countJoins, countReports } = await addEngines(report);
  await start();
  const { body, isComplete } = await get(port, "/summary/1", {
    "x-tokens": "30",
    "x-patience": "4000",
  });
  const events = body.split("\n\n").length - 1;
  return { events, isComplete, joins: countJoins(), reports: countReports() };
}

const CUT = { events: FIRST_EVENTS, isComplete: false, joins: 0 };

function checkCut({ reports, ...seen }: Awaited<ReturnType<typeof play>>): void {
  assert.deepEqual(seen, CUT, `after ${reports} questions`);
}

describe("a stream that a process of another version begins before it is listed", () => {
  it("is cut where it tells at once which process it is", async () => {
    checkCut(await play(tellNext));
  });

  it("is cut where it tells so only after the stream broke", async () => {
    const report: Report = (head, socket, count) => {
      setTimeout(() => {
        tellNext(head, socket, count);
      }, BREAK_MS + 200);
    };
    checkCut(await play(report));
  });

  for (const status of ["503 Loading", "404 Not Found"]) {
    it(`is cut where it answers the question by ${status} for 200 ms, then tells`, async () => {
      let firstAt = 0;
      const report: Report = (head, socket, count) => {
        firstAt ||= performance.now();
        if (performance.now() - firstAt < REFUSED_MS) writeAnswer(socket, head, "", status);
        else tellNext(head, socket, count);
      };
      checkCut(await play(report));
    });
  }

  it("is cut where it resets the connection of the question for 200 ms, as beyond its maximum, then tells", async () => {
    let firstAt = 0;
    const report: Report = (head, socket, count) => {
      firstAt ||= performance.now();
      if (performance.now() - firstAt < REFUSED_MS) socket.resetAndDestroy();
      else tellNext(head, socket, count);
    };
    checkCut(await play(report));
  });

  it("is cut where it asks for a pause in the answer to another request, so that it is not asked", async () => {
    const pausing = "503 Full\r\nx-pause-ms: 3000";
    const { countJoins, countReports } = await addEngines(tellNext, {
      firstEventMs: 500,
      holdStatus: pausing,
    });
    await start();
    const headers = { "x-tokens": "30", "x-patience": "4000" };
    const stream = get(port, "/summary/1", headers);
    await pause(200);
    await get(port, "/summary/2", headers);
    const { body, isComplete } = await stream;
    const seen = { events: body.split("\n\n").length - 1, isComplete, joins: countJoins() };
    assert.deepEqual(seen, CUT, `after ${countReports()} questions`);
  });

  it("is cut where its data centre is evacuated before its first event, so that it is not asked", async () => {
    const { first, countJoins, countReports } = await addEngines(tellNext, { firstEventMs: 500 });
    const more = { ...ENGINE, dataCentre: EVACUATED, sequence: 2 };
    store.putEndpoint(createEntry("d1", first.address, more));
    await start();
    const stream = get(port, "/summary/1", { "x-tokens": "30", "x-patience": "4000" });
    await pause(200);
    store.configuration.put(`evacuate/${EVACUATED}`, Buffer.from("{}"));
    const { body, isComplete } = await stream;
    const seen = { events: body.split("\n\n").length - 1, isComplete, joins: countJoins() };
    assert.deepEqual(seen, CUT, `after ${countReports()} questions`);
  });

  it("is not taken up at the listed version once the question is answered", async () => {
    const { countJoins } = await addEngines(tellNext);
    await start();
    const headers = { "x-id": "begun", "x-tokens": "30", "x-patience": "4000" };
    await readAndLeave(headers);
    await pause(300);
    const more = { "x-id": "taken-up", "x-of": "begun", "x-after": "2" };
    const { status, body } = await get(port, "/summary/1", { ...headers, ...more });
    assert.deepEqual([status, body.includes("t3"), countJoins()], [503, false, 0]);
  });

  it("is not taken up at the listed version while the question is under way", async () => {
    const report: Report = (head, socket, count) => {
      setTimeout(() => {
        tellNext(head, socket, count);
      }, 400);
    };
    const { countJoins } = await addEngines(report);
    await start();
    const headers = { "x-id": "begun", "x-tokens": "30", "x-patience": "4000" };
    await readAndLeave(headers);
    const { status, body } = await get(port, "/summary/1", {
      ...headers,
      "x-id": "taken-up",
      "x-of": "begun",
      "x-after": "2",
    });
    assert.deepEqual([status, body.includes("t3"), countJoins()], [503, false, 0]);
  });
});

/** Leaves a stream after its first events. */
function readAndLeave(headers: Record<string, string>): Promise<void> {
  return new Promise((resolve, reject) => {
    const request = httpRequest(
      { host: "127.0.0.1", port, path: "/summary/1", headers },
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
