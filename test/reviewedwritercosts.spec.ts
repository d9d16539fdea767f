/**
 * What the questions after the writers of runs cost callers and engines. Guards against a sound stream that is cut for a
 * question whose answer nothing hangs on, an end that comes long after its deadline, and questions without bound.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { EngineStage } from "../src/fleet/entries";
import { get, port, prepareEach, addEndpoint, start } from "./harness/fixture";
import { testCodecs } from "./harness/forward";
import { createEvent, encodeChunk, WHOLE_BODY, writeStreamHead } from "./harness/handover";
import { writeAnswer } from "./harness/raw";
import { ReportCodec } from "./soak/codec";

prepareEach();

const ENGINE = { service: "models", stage: EngineStage.decode };
const LISTED = 1;
/** How long a prefill engine keeps a prompt, as the configuration says, in milliseconds. */
const HANDLE_TTL_MS = 500;
/** A stream is cut 120 ms after its deadline, in milliseconds; the rest is for the machine. */
const MAX_LATE_MS = 400;

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

type Report = (head: string, socket: Socket) => void;

const tell: Report = (head, socket) => {
  writeAnswer(socket, head, String(LISTED));
};
const tellNothing: Report = (head, socket) => {
  writeAnswer(socket, head, "");
};
const hang: Report = () => undefined;

/** Writes a run to its end, or up to an event, after which the connection is reset. */
function writeRun(head: string, socket: Socket, breaksAfter?: number): void {
  const after = Number(/x-after: (\d+)/i.exec(head)?.[1] ?? "0");
  writeStreamHead(head, socket);
  const chunks = [1, 2, 3, 4].slice(after, breaksAfter).map((id) => encodeChunk(createEvent(id)));
  socket.write(chunks.join(""));
  if (breaksAfter === undefined) socket.write("0\r\n\r\n");
  else setTimeout(() => socket.resetAndDestroy(), 100);
}

/** Plays a stream that breaks at one engine after two events, and goes on at another one. */
async function playBroken(first: Report, second: Report, patienceMs: number) {
  let hasBegun = false;
  const addEngine = (id: string, report: Report, isFirst: boolean) =>
    addEndpoint(
      id,
      (head, socket) => {
        if (head.startsWith("GET /report")) report(head, socket);
        else if (head.includes("x-task: run")) {
          hasBegun = true;
          writeRun(head, socket, isFirst ? 2 : undefined);
        } else if (head.startsWith("POST /hold") && hasBegun === isFirst)
          writeAnswer(socket, head, "", "503 Full");
        else writeAnswer(socket, head, "h1");
      },
      ENGINE,
    );
  await addEngine("d1", first, true);
  await addEngine("d2", second, false);
  await start();
  const sentAt = performance.now();
  const headers = { "x-tokens": "30", "x-patience": String(patienceMs) };
  const { body, isComplete } = await get(port, "/summary/1", headers);
  return { isWhole: isComplete && body === WHOLE_BODY, tookMs: performance.now() - sentAt };
}

/**
 * Plays a stream that breaks at one engine and goes on at another one, with a prefill engine; returns how old the prompt
 * was that the second run was sent with, in milliseconds.
 */
async function measurePromptAge(first: Report): Promise<number> {
  const prefill = await addEndpoint(
    "p1",
    (head, socket) => {
      if (head.includes("x-task: prefill")) handles.push(performance.now());
      writeAnswer(socket, head, `p${handles.length}`);
    },
    { service: "models", stage: EngineStage.prefill },
  );
  const handles: number[] = [];
  let ageMs = Number.NaN;
  let hasBegun = false;
  const addEngine = (id: string, isFirst: boolean) =>
    addEndpoint(
      id,
      (head, socket) => {
        if (head.startsWith("GET /report")) (isFirst ? first : tell)(head, socket);
        else if (head.includes("x-task: run")) {
          hasBegun = true;
          const handle = Number(/x-source: p(\d+)/i.exec(head)?.[1] ?? "0");
          if (!isFirst) ageMs = performance.now() - (handles[handle - 1] ?? Number.NaN);
          writeRun(head, socket, isFirst ? 2 : undefined);
        } else if (head.startsWith("POST /hold") && hasBegun === isFirst)
          writeAnswer(socket, head, "", "503 Full");
        else writeAnswer(socket, head, "h1");
      },
      ENGINE,
    );
  await addEngine("d1", true);
  await addEngine("d2", false);
  await start();
  await get(port, "/summary/1", { "x-tokens": "30", "x-patience": "4000" });
  assert.ok(prefill.requests.some((head) => head.includes("x-task: prefill")));
  return ageMs;
}

/** Plays sound streams at one engine; returns how often it was asked which process it is. */
async function countQuestions(report: Report, streams: number, atOnce: number): Promise<number> {
  const engine = await addEndpoint(
    "d1",
    (head, socket) => {
      if (head.startsWith("GET /report")) report(head, socket);
      else if (head.includes("x-task: run")) writeRun(head, socket);
      else writeAnswer(socket, head, "h1");
    },
    ENGINE,
  );
  await start();
  for (let sent = 0; sent < streams; sent += atOnce) {
    const answers = Array.from({ length: atOnce }, () =>
      get(port, "/summary/1", { "x-tokens": "30" }),
    );
    for (const { body } of await Promise.all(answers)) assert.equal(body, WHOLE_BODY);
  }
  return engine.requests.filter((head) => head.startsWith("GET /report")).length;
}

describe("a stream whose first engine breaks it off and never answers the question", () => {
  it("goes on within 900 ms, as it would after them", async () => {
    const { isWhole, tookMs } = await playBroken(hang, tell, 900);
    assert.equal(isWhole, true, `after ${Math.round(tookMs)} ms`);
  });

  it("is cut soon after its deadline, not after that of the question", async () => {
    const { tookMs } = await playBroken(hang, tell, 400);
    assert.ok(tookMs < 400 + MAX_LATE_MS, `${Math.round(tookMs)} ms`);
  });
});

describe("a run that goes on while the first engine does not answer the question", () => {
  it("is not sent with a prompt that its engine keeps no more", async () => {
    const ageMs = await measurePromptAge(hang);
    assert.ok(ageMs < HANDLE_TTL_MS, `${Math.round(ageMs)} ms`);
  });
});

describe("a stream that is to go on at an engine that never answers the question", () => {
  it("is cut soon after its deadline, not after that of the question", async () => {
    const { tookMs } = await playBroken(tell, hang, 500);
    assert.ok(tookMs < 500 + MAX_LATE_MS, `${Math.round(tookMs)} ms`);
  });
});

describe("an engine with sound streams", () => {
  it("is asked at most once a connection, of 20 that begin at once on 6 slots", async () => {
    const questions = await countQuestions(tell, 20, 20);
    assert.ok(questions <= 6, `${questions} questions`);
  });

  it("is asked once over a kept connection, of 10 after each other", async () => {
    const questions = await countQuestions(tell, 10, 1);
    assert.ok(questions <= 2, `${questions} questions`);
  });

  it("is not asked again and again if it never tells, of 10 after each other", async () => {
    const questions = await countQuestions(tellNothing, 10, 1);
    assert.ok(questions <= 2, `${questions} questions`);
  });
});
