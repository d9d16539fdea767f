/**
 * A stream whose version was dropped, as a process that is not listed began it, and that is taken up after all instances
 * were restarted. Guards against a record of the store that still names the version, so that two are in one stream.
 */
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { pause } from "../src/core/clock";
import { EngineStage } from "../src/fleet/entries";
import { addEndpoint, get, instance, port, prepareEach, start, store } from "./harness/fixture";
import { createEntry, testCodecs } from "./harness/forward";
import { createEvent, encodeChunk, writeStreamHead } from "./harness/handover";
import { writeAnswer } from "./harness/raw";
import { ReportCodec } from "./soak/codec";

prepareEach();

const ENGINE = { service: "models", stage: EngineStage.decode };
const LISTED = 1;
const NEXT = 2;
/** Longer than the time between two appends of origins, in milliseconds. */
const STORED_MS = 1200;
/** How long the first engine writes on nothing before it resets the connection, in milliseconds. */
const BREAK_MS = 300;

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

describe("a stream that a process of another version began before it was listed", () => {
  it("is not taken up at the listed version after a restart of all instances", async () => {
    let hasBegun = false;
    const refuse = "503 Full";
    await addEndpoint(
      "d1",
      (head, socket) => {
        if (head.startsWith("GET /report")) writeAnswer(socket, head, String(NEXT));
        else if (head.includes("x-task: run")) {
          hasBegun = true;
          writeStreamHead(head, socket);
          for (const id of [1, 2]) socket.write(encodeChunk(createEvent(id)));
          setTimeout(() => socket.resetAndDestroy(), BREAK_MS);
        } else if (head.startsWith("POST /hold") && hasBegun) writeAnswer(socket, head, "", refuse);
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
        } else if (head.startsWith("POST /hold") && !hasBegun)
          writeAnswer(socket, head, "", refuse);
        else writeAnswer(socket, head, "h1");
      },
      ENGINE,
    );
    // The service has two versions, so that origins are stored.
    store.putEndpoint(createEntry("d3", "127.0.0.1:1", { ...ENGINE, version: "v2", slots: 0 }));
    await start();
    const headers = { "x-id": "begun", "x-tokens": "30", "x-patience": "4000" };
    const begun = await get(port, "/summary/1", headers);
    assert.deepEqual([begun.isComplete, begun.body], [false, createEvent(1) + createEvent(2)]);
    await pause(STORED_MS);
    await instance.close();
    await start();
    const more = { "x-id": "taken-up", "x-of": "begun", "x-after": "2" };
    const { status, body } = await get(port, "/summary/1", { ...headers, ...more });
    const runs = second.requests.filter((head) => head.includes("x-task: run")).length;
    assert.deepEqual([status, body.includes("t3"), runs], [503, false, 0]);
  });
});
