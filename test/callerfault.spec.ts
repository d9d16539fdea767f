/**
 * Unexpected errors in the events of callers' connections, outside the handling of a request. Guards against one that ends
 * the process with all its requests, and against a request that counts as open for good.
 */
import assert from "node:assert/strict";
import { connect } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import * as E from "fp-ts/Either";
import { MonotonicClock, pause } from "../src/core/clock";
import { SILENT_LOGGER } from "../src/core/log";
import { type CallerResponse, ForwardServer } from "../src/forward/callers/server";
import { Meter } from "../src/forward/requests/meter";
import { get } from "./harness/fixture";
import { createConfig, testCodecs, waitUntil } from "./harness/forward";
import { allocatePort } from "./harness/ports";

const ANSWER: CallerResponse = E.right({
  head: { status: 200, headers: [], verdict: "answered", load: undefined },
  body: Buffer.from("done"),
  isFramed: true,
});
const REQUEST = "GET /any/1 HTTP/1.1\r\nhost: test\r\nx-id: r1\r\n\r\n";
const BAD_REQUEST = "POST /bad HTTP/1.1\r\nhost: test\r\nx-id: r2\r\ncontent-length: 0\r\n\r\n";

describe("an event of a caller's connection whose handler throws", () => {
  const faults: unknown[] = [];
  const errors: string[] = [];
  const onFault = (error: unknown) => void faults.push(error);
  let server: ForwardServer;
  let at = 0;

  beforeEach(async () => {
    faults.length = 0;
    errors.length = 0;
    process.on("uncaughtException", onFault);
    process.on("unhandledRejection", onFault);
    const codec = Object.create(testCodecs.callerCodec) as typeof testCodecs.callerCodec;
    const logger = { ...SILENT_LOGGER, error: (event: string) => void errors.push(event) };
    const handle = ({ head }: { readonly head: { readonly path: string } }) =>
      head.path === "/bad" ? Promise.reject(new Error("not run")) : Promise.resolve(ANSWER);
    server = new ForwardServer(codec, handle, new MonotonicClock(), logger, new Meter());
    server.setLimits({ ...createConfig(1).limits, headersTimeoutMs: 100 });
    at = allocatePort();
    await server.listen("127.0.0.1", at);
  });

  afterEach(() => {
    process.off("uncaughtException", onFault);
    process.off("unhandledRejection", onFault);
    server.close();
  });

  const cases = {
    "a new connection": { part: "connections", method: "add", bytes: "" },
    "the check of a request": { part: "badConnections", method: "wasAnswered", bytes: REQUEST },
    "the tracking of a request": { part: "connections", method: "track", bytes: REQUEST },
    "the refusal of a request": { part: "codec", method: "listRefusalHeaders", bytes: BAD_REQUEST },
    "the refusal of a slow head": { part: "badConnections", method: "answer", bytes: "GET /" },
    "the refusal of what is no request": {
      part: "badConnections",
      method: "answer",
      bytes: "?\r\n",
    },
  };
  for (const [what, { part, method, bytes }] of Object.entries(cases)) {
    it(`costs that connection alone: ${what}`, async () => {
      const inner = (server as unknown as Record<string, Record<string, unknown>>)[part];
      assert.equal(typeof inner?.[method], "function");
      if (inner === undefined) return;
      const whole = inner[method];
      inner[method] = () => {
        throw new Error("a fault of this test");
      };
      const socket = connect({ host: "127.0.0.1", port: at });
      socket.on("error", () => undefined).resume();
      socket.write(bytes);
      const closed = new Promise((resolve) => socket.once("close", () => void resolve("closed")));
      const end = await Promise.race([closed, pause(2000)]);
      inner[method] = whole;
      assert.equal(end, "closed");
      assert.equal((await get(at, "/any/2", { "x-id": "r3" })).status, 200);
      await waitUntil(() => server.inFlightCount === 0, 300);
      assert.deepEqual(faults, []);
      assert.ok(errors.includes("event failed"));
    });
  }
});
