/**
 * Streams whose first run an engine's next process writes before it is listed, and runs that go on at an engine whose
 * report takes long. Guards against two versions in one stream, and against a sound one that is cut for a slow report.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { pause } from "../src/core/clock";
import { EngineStage } from "../src/fleet/entries";
import type { SharedOrigins } from "../src/forward/shared";
import { addEndpoint, get, instance, port, prepareEach, start, store } from "./harness/fixture";
import { createEntry, testCodecs } from "./harness/forward";
import { createEvent, encodeChunk, WHOLE_BODY, writeStreamHead } from "./harness/handover";
import { writeAnswer } from "./harness/raw";
import { ReportCodec } from "./soak/codec";

prepareEach();

const ENGINE = { service: "models", stage: EngineStage.decode };
/** When the process that is listed at first started. */
const LISTED = 1;
/** When the one that takes its place started. */
const NEXT = 2;
/** Longer than a way that delays each direction by 100 ms takes, in milliseconds. */
const SLOW_REPORT_MS = 300;
/** Number of the first events that the first engine writes before its process dies. */
const FIRST_EVENTS = 2;

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

interface InstanceParts {
  readonly parts: { readonly context: { readonly sharedOrigins: SharedOrigins } };
}

/** What an engine does. */
interface Engine {
  /** Start of the process that answers; undefined if it does not tell. */
  readonly tells?: number;
  readonly reportMs?: number;
  /** The events that it writes before it resets the connection; all if undefined. */
  readonly breaksAfter?: number;
  /** Time between its head and its first event, in milliseconds. */
  readonly firstEventMs?: number;
}

function answerAs({ tells, reportMs = 0, ...run }: Engine) {
  return (head: string, socket: Socket) => {
    if (head.startsWith("GET /report")) {
      void pause(reportMs).then(() => {
        writeAnswer(socket, head, String(tells ?? ""));
      });
    } else if (head.includes("x-task: run")) void writeRun(head, socket, run);
    else writeAnswer(socket, head, "h1");
  };
}

async function writeRun(head: string, socket: Socket, { breaksAfter, firstEventMs = 0 }: Engine) {
  const after = Number(/x-after: (\d+)/i.exec(head)?.[1] ?? "0");
  writeStreamHead(head, socket);
  await pause(firstEventMs);
  for (const id of [1, 2, 3, 4].slice(after, breaksAfter)) {
    socket.write(encodeChunk(createEvent(id)));
  }
  if (breaksAfter === undefined) socket.write("0\r\n\r\n");
  else setTimeout(() => socket.resetAndDestroy(), 200);
}

/** Plays a stream that begins at one engine, which breaks it off and is full then, and may go on at another one. */
async function playStream(first: Engine, second: Engine, onBroken?: () => void) {
  let hasBegun = false;
  const refuse = (head: string, socket: Socket) => {
    writeAnswer(socket, head, "", "503 Full");
  };
  const begin = await addEndpoint(
    "d1",
    (head, socket) => {
      if (head.startsWith("POST /hold") && hasBegun) refuse(head, socket);
      else answerAs({ breaksAfter: FIRST_EVENTS, ...first })(head, socket);
      hasBegun ||= head.includes("x-task: run");
      if (head.includes("x-task: run")) socket.once("close", () => onBroken?.());
    },
    ENGINE,
  );
  const goOn = await addEndpoint(
    "d2",
    (head, socket) => {
      if (head.startsWith("POST /hold") && !hasBegun) refuse(head, socket);
      else answerAs({ tells: LISTED, ...second })(head, socket);
    },
    ENGINE,
  );
  await start();
  const headers = { "x-tokens": "30", "x-patience": "4000" };
  const { body, isComplete } = await get(port, "/summary/1", headers);
  const isJoined = goOn.requests.some((head) => head.includes("x-task: run"));
  assert.ok(begin.requests.some((head) => head.includes("x-task: run")));
  return { isWhole: isComplete && body === WHOLE_BODY, isComplete, isJoined };
}

describe("a stream whose first engine dies", () => {
  it("goes on at another engine of the version if the listed process began it", async () => {
    const { isWhole } = await playStream({ tells: LISTED }, {});
    assert.equal(isWhole, true);
  });

  it("goes on where its first engine does not tell which process it is", async () => {
    const { isWhole } = await playStream({}, {});
    assert.equal(isWhole, true);
  });

  it("goes on where its first engine dies before it has told which process it is", async () => {
    const { isWhole } = await playStream({ tells: LISTED, reportMs: 2000 }, {});
    assert.equal(isWhole, true);
  });

  it("goes on at no engine of the listed version if a process that is not listed yet began it", async () => {
    const { isComplete, isJoined } = await playStream({ tells: NEXT }, {});
    assert.deepEqual([isComplete, isJoined], [false, false]);
  });

  it("is not joined if its first engine turns out to be of another version before the first event that goes on", async () => {
    const listNext = () => {
      setTimeout(() => {
        const { address } = createEntry("d1", "127.0.0.1:1");
        const next = { ...ENGINE, version: "v2", processStartedAt: NEXT, sequence: 2 };
        store.putEndpoint(createEntry("d1", address, next));
      }, 300);
    };
    const { isComplete } = await playStream({}, { firstEventMs: 900 }, listNext);
    assert.equal(isComplete, false);
  });
});

describe("a run that goes on with a stream at an engine whose report takes long", () => {
  it("is joined", async () => {
    const { isWhole } = await playStream({ tells: LISTED }, { reportMs: SLOW_REPORT_MS });
    assert.equal(isWhole, true);
  });
});

describe("a stream whose engine is listed as another process between the send and the first event", () => {
  it("is shared without a version, as instances that start later can't tell", async () => {
    const { address } = await addEndpoint("d1", answerAs({ firstEventMs: 500 }), ENGINE);
    await start();
    const shared: (string | undefined)[] = [];
    const { sharedOrigins } = (instance as unknown as InstanceParts).parts.context;
    sharedOrigins.record = ({ origin }) => void shared.push(origin.version);
    const streamed = get(port, "/summary/1", { "x-tokens": "30", "x-patience": "4000" });
    await pause(150);
    const next = { ...ENGINE, version: "v2", processStartedAt: NEXT, sequence: 2 };
    store.putEndpoint(createEntry("d1", address, next));
    await streamed;
    assert.deepEqual(shared, [undefined]);
  });
});
