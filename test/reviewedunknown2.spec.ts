/**
 * Take-ups of streams that a process began which was never listed with its service. Guards against streams that go on at
 * the listed version because of what a later process answers, or of what the list names the process for.
 */
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { pause } from "../src/core/clock";
import { EngineStage } from "../src/fleet/entries";
import { addEndpoint, get, port, prepareEach, store } from "./harness/fixture";
import { createEntry, testCodecs } from "./harness/forward";
import { createEvent, encodeChunk, writeStreamHead } from "./harness/handover";
import { writeAnswer } from "./harness/raw";
import { readAndLeave, startWatched, takeUp } from "./harness/takeups";
import { ReportCodec } from "./soak/codec";

prepareEach();

const ENGINE = { service: "models", stage: EngineStage.decode };
/** When the process that is listed at first started, and when the one that takes its place did. */
const LISTED = 1;
const NEXT = 2;
/** Nobody answers: the process has died, and the next one is not up yet. */
const DEAD = 0;
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

/** Adds an engine whose first run breaks off after two events, and a sound one that has room after it. */
async function addEngines(report: () => number) {
  let runs = 0;
  const first = await addEndpoint(
    "d1",
    (head, socket) => {
      if (head.startsWith("GET /report")) {
        const process = report();
        if (process === DEAD) socket.resetAndDestroy();
        else writeAnswer(socket, head, String(process));
      } else if (head.includes("x-task: run")) {
        runs += 1;
        writeStreamHead(head, socket);
        for (const id of [1, 2]) socket.write(encodeChunk(createEvent(id)));
        setTimeout(() => socket.resetAndDestroy(), 500);
      } else if (head.startsWith("POST /hold") && runs > 0)
        writeAnswer(socket, head, "", "503 Full");
      else writeAnswer(socket, head, "h1");
    },
    ENGINE,
  );
  await addEndpoint(
    "d2",
    (head, socket) => {
      if (head.startsWith("GET /report")) writeAnswer(socket, head, String(LISTED));
      else if (head.includes("x-task: run")) {
        writeStreamHead(head, socket);
        const chunks = [3, 4].map((id) => encodeChunk(createEvent(id)));
        socket.write(chunks.join("") + "0\r\n\r\n");
      } else if (head.startsWith("POST /hold") && runs === 0)
        writeAnswer(socket, head, "", "503 Full");
      else writeAnswer(socket, head, "h1");
    },
    ENGINE,
  );
  return first;
}

describe("a stream that a process of another version began, which was not listed", () => {
  it("is not taken up at the listed version by its name where that process has died and the next one answers", async () => {
    let diedAt = 0;
    await addEngines(() => {
      diedAt ||= Date.now();
      return Date.now() < diedAt + 500 ? DEAD : diedAt + 500;
    });
    await startWatched();
    await readAndLeave("begun");
    await pause(1200);
    const { status } = await takeUp({ "x-of": "begun" });
    assert.equal(status, 503);
  });

  it("is not joined by a run of the listed version for a caller that stays", async () => {
    let diedAt = 0;
    await addEngines(() => {
      diedAt ||= Date.now();
      return Date.now() < diedAt + 500 ? DEAD : diedAt + 500;
    });
    await startWatched();
    const { body } = await get(port, "/summary/1", { ...HEADERS, "x-id": "stays" });
    assert.deepEqual([body.includes("t2"), body.includes("t3")], [true, false]);
  });

  it("is not taken up at the listed version once the list names that process for another service", async () => {
    const first = await addEngines(() => NEXT);
    await startWatched();
    await readAndLeave("begun");
    await pause(300);
    const { status: before } = await takeUp({});
    const other = { service: "sheets", version: "v2", processStartedAt: NEXT, sequence: 2 };
    store.putEndpoint(createEntry("d1", first.address, { ...ENGINE, ...other }));
    await pause(600);
    const { status } = await takeUp({});
    assert.deepEqual([before, status], [503, 503]);
  });
});
