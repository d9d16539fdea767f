/**
 * Streams over a neighbour that is told to stop, at real processes. Guards against a relay that takes a pause of an engine
 * for the end of a stream, and against sound streams that a graceful stop of a relay cuts.
 */
import assert from "node:assert/strict";
import { get as httpGet } from "node:http";
import { after, before, describe, it } from "node:test";
import { pause } from "../src/core/clock";
import { CutMode } from "./harness/cutproxy";
import { createBody } from "./soak/answers";
import { SilentStage } from "./soak/schedule";
import { StreamFraming } from "./soak/endpoint";
import { SoakFleet } from "./soak/fleet";
import { CallKind } from "./soak/history";
import type { SoakInstance } from "./soak/instance";

const CUT_OFF = "nizwa-1";
const RELAYS = ["bahla-1", "nizwa-2"] as const;
/** Twelve events take 3.6 s with it, so that a pause after the notice meets the stream midway. */
const EVENT_INTERVAL_MS = 300;
/** When the engines pause, in milliseconds after SIGTERM: the notice ends at 2600. */
const PAUSE_AT_MS = 2100;
const PAUSE_MS = 900;
const PATIENCE_MS = 8000;

let fleet: SoakFleet;

before(async () => {
  fleet = await SoakFleet.start(3, { onRun: () => undefined, onEnd: () => undefined });
  await fleet.ways.cut([CUT_OFF], CutMode.reset);
  for (const endpoint of fleet.endpoints.values()) endpoint.intervalMs = EVENT_INTERVAL_MS;
});

after(() => fleet.close(false));

function findInstance(name: string): SoakInstance {
  return fleet.instances.get(name) ?? assert.fail(name);
}

interface ReadStream {
  readonly status: number;
  readonly body: string;
  readonly isComplete: boolean;
}

/** Reads a stream from the instance that is cut off; `onEvents` is called at its second event. */
function readStream(kind: CallKind, id: string, onEvents: () => void): Promise<ReadStream> {
  const headers = {
    "x-id": id,
    "x-patience": String(PATIENCE_MS),
    "x-tokens": "300",
    "x-parts": `own-${id}`,
  };
  const port = findInstance(CUT_OFF).getPort("callers");
  return new Promise((resolve) => {
    const request = httpGet({ host: "127.0.0.1", port, path: `/${kind}/${id}`, headers });
    request.on("error", () => {
      resolve({ status: 0, body: "", isComplete: false });
    });
    request.on("response", (response) => {
      let body = "";
      let hasFailed = false;
      response.on("data", (bytes: Buffer) => {
        const hadTwo = body.includes("id: 2");
        body += bytes.toString();
        if (!hadTwo && body.includes("id: 2")) onEvents();
      });
      response.on("error", () => (hasFailed = true));
      response.on("close", () => {
        const isComplete = response.complete && !hasFailed;
        resolve({ status: response.statusCode ?? 0, body, isComplete });
      });
    });
  });
}

async function pauseEngines(): Promise<void> {
  await pause(PAUSE_AT_MS);
  for (const endpoint of fleet.endpoints.values()) endpoint.silence(SilentStage.event);
  await pause(PAUSE_MS);
  for (const endpoint of fleet.endpoints.values()) endpoint.resume(SilentStage.event);
}

/** Reads a stream while a neighbour, which may be the one that relays it, is told to stop. */
async function playStop(relay: string, kind: CallKind, framing: StreamFraming) {
  for (const endpoint of fleet.endpoints.values()) endpoint.chooseFraming = () => framing;
  const id = `${relay}-${kind}-${framing}`;
  const stops: Promise<unknown>[] = [];
  const stream = await readStream(kind, id, () => {
    stops.push(findInstance(relay).terminate(), pauseEngines());
  });
  await Promise.all(stops);
  await findInstance(relay).start();
  await pause(1500);
  return { id, stream };
}

describe("a stream over a neighbour that is told to stop while the engine pauses", () => {
  for (const kind of [CallKind.draft, CallKind.summary]) {
    for (const framing of Object.values(StreamFraming)) {
      const name = kind === CallKind.draft ? "that runs once" : "that may be resumed";
      it(`reaches its caller whole: one ${name}, framed by ${framing}`, async () => {
        for (const relay of RELAYS) {
          const { id, stream } = await playStop(relay, kind, framing);
          const expected = { status: 200, body: createBody(kind, id), isComplete: true };
          assert.deepEqual(stream, expected, `${relay} stopped`);
        }
      });
    }
  }
});
