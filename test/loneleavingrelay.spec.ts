/**
 * Sound streams without framing over the only neighbour, which is told to stop, at real processes.
 * Guards against a sound end that is not believed, as no other neighbour can check it.
 */
import assert from "node:assert/strict";
import { get as httpGet } from "node:http";
import { after, before, describe, it } from "node:test";
import { CutMode } from "./harness/cutproxy";
import { createBody } from "./soak/answers";
import { StreamFraming } from "./soak/endpoint";
import { SoakFleet } from "./soak/fleet";
import { CallKind } from "./soak/history";

const CUT_OFF = "nizwa-1";
const RELAY = "bahla-1";
const EVENT_INTERVAL_MS = 300;

let fleet: SoakFleet;

before(async () => {
  fleet = await SoakFleet.start(2, { onRun: () => undefined, onEnd: () => undefined });
  await fleet.ways.cut([CUT_OFF], CutMode.hang);
  for (const endpoint of fleet.endpoints.values()) {
    endpoint.intervalMs = EVENT_INTERVAL_MS;
    endpoint.chooseFraming = () => StreamFraming.none;
  }
});

after(() => fleet.close(false));

interface ReadStream {
  readonly body: string;
  readonly isComplete: boolean;
}

function readStream(kind: CallKind, id: string, onEvents: () => void): Promise<ReadStream> {
  const headers = { "x-id": id, "x-patience": "8000", "x-tokens": "300", "x-parts": `own-${id}` };
  const port = fleet.instances.get(CUT_OFF)?.getPort("callers") ?? 0;
  return new Promise((resolve) => {
    const request = httpGet({ host: "127.0.0.1", port, path: `/${kind}/${id}`, headers });
    let body = "";
    request.on("error", () => {
      resolve({ body, isComplete: false });
    });
    request.on("response", (response) => {
      let hasFailed = false;
      response.on("data", (bytes: Buffer) => {
        const hadTwo = body.includes("id: 2");
        body += bytes.toString();
        if (!hadTwo && body.includes("id: 2")) onEvents();
      });
      response.on("error", () => (hasFailed = true));
      response.on("close", () => {
        resolve({ body, isComplete: response.complete && !hasFailed });
      });
    });
  });
}

describe("a stream without framing over the only neighbour, which is told to stop", () => {
  for (const kind of [CallKind.draft, CallKind.summary]) {
    it(`reaches its caller whole where its engine ends it before the grace is over: ${kind}`, async () => {
      const id = `only-${kind}`;
      const relay = fleet.instances.get(RELAY) ?? assert.fail();
      const stops: Promise<unknown>[] = [];
      const stream = await readStream(kind, id, () => stops.push(relay.terminate()));
      await Promise.all(stops);
      await relay.start();
      await new Promise((resolve) => setTimeout(resolve, 1500));
      assert.deepEqual(stream, { body: createBody(kind, id), isComplete: true });
    });
  }
});
