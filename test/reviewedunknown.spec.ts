/**
 * Take-ups of streams that the listed version did begin, by callers whose stream is not in memory. Guards against sound
 * take-ups that are refused because of another stream's first writer, or of one whose version is known by now.
 */
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { pause } from "../src/core/clock";
import { EngineStage } from "../src/fleet/entries";
import { VersionHistory } from "../src/fleet/versionhistory";
import { addEndpoint, prepareEach, store } from "./harness/fixture";
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
/** How long a slow question takes, in milliseconds. */
const SLOW_MS = 400;
/** Longer than the ids of streams that are remembered. */
const LONG_ID = "a".repeat(129);

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

/** Adds an engine that breaks streams off, and a sound one that has room after so many of them. */
async function addEngines(streams: number, report: (count: number) => [number, number]) {
  let runs = 0;
  let reports = 0;
  const first = await addEndpoint(
    "d1",
    (head, socket) => {
      if (head.startsWith("GET /report")) {
        const [process, afterMs] = report((reports += 1));
        setTimeout(() => {
          if (process === DEAD) socket.resetAndDestroy();
          else writeAnswer(socket, head, String(process));
        }, afterMs);
      } else if (head.includes("x-task: run")) {
        runs += 1;
        writeStreamHead(head, socket);
        for (const id of [1, 2]) socket.write(encodeChunk(createEvent(id)));
        setTimeout(() => socket.resetAndDestroy(), 500);
      } else if (head.startsWith("POST /hold") && runs >= streams)
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
      } else if (head.startsWith("POST /hold") && runs < streams)
        writeAnswer(socket, head, "", "503 Full");
      else writeAnswer(socket, head, "h1");
    },
    ENGINE,
  );
  return { first, countReports: () => reports };
}

describe("a stream of the listed version whose origin is not in memory", () => {
  it("goes on for a caller that names its last event alone once the next process of an engine is listed at the same version", async () => {
    const { first } = await addEngines(1, () => [NEXT, 0]);
    await startWatched();
    await readAndLeave("begun");
    await pause(300);
    const listed = { ...ENGINE, processStartedAt: NEXT, sequence: 2 };
    store.putEndpoint(createEntry("d1", first.address, listed));
    await pause(600);
    const { status, headers } = await takeUp({});
    assert.equal(status, 200, `told ${String(headers["x-retry-ms"])} ms`);
  });

  it("goes on for a caller that names its last event alone where the engine's next process started 500 ms after the first event", async () => {
    let diedAt = 0;
    const { countReports } = await addEngines(1, () => {
      diedAt ||= Date.now();
      return Date.now() < diedAt + 500 ? [DEAD, 0] : [diedAt + 500, 0];
    });
    await startWatched();
    await readAndLeave("begun");
    await pause(1200);
    const { status } = await takeUp({});
    assert.equal(status, 200, `after ${countReports()} questions`);
  });

  it("goes on for a caller that names it while it is asked who began another stream", async () => {
    const { countReports } = await addEngines(2, (count) => [LISTED, count === 1 ? 0 : SLOW_MS]);
    await startWatched();
    await readAndLeave(LONG_ID);
    await pause(700);
    await readAndLeave("another");
    const { status } = await takeUp({ "x-of": LONG_ID });
    assert.equal(status, 200, `after ${countReports()} questions`);
  });
});

describe("the time for which a service has no only version", () => {
  it("is not over for a take-up that arrived within it and is decided on after it", () => {
    const history = new VersionHistory();
    const entries = [createEntry("d1", "127.0.0.1:1", ENGINE)];
    for (let now = 0; now <= 10_000; now += 1000) history.record(entries, now);
    history.recordUnknown("models", 5000, 9000);
    const arrivedAt = 8990;
    assert.equal(history.findOnly("models", 4000, arrivedAt), undefined);
    history.record(entries, 10_000);
    assert.equal(history.findOnly("models", 4000, arrivedAt), undefined);
  });
});
