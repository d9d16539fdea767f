/**
 * Kept connections of callers across changes of the limits. Guards against a connection that is closed before the time that
 * its last response announced, so that the next request on it gets neither an answer nor a refusal, and against limits that
 * end the process.
 */
import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import * as E from "fp-ts/Either";
import { MonotonicClock, pause } from "../src/core/clock";
import { SILENT_LOGGER } from "../src/core/log";
import type { CallerLimits } from "../src/fleet/config";
import { ForwardServer } from "../src/forward/callers/server";
import { Meter } from "../src/forward/requests/meter";
import { testCodecs, waitUntil } from "./harness/forward";
import { allocatePort } from "./harness/ports";

const LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_000_000,
  headersTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
};
const RUN_MS = 80;
const IDLE_MS = 1600;

describe("a kept connection of a caller", () => {
  const faults: unknown[] = [];
  const onFault = (error: unknown) => void faults.push(error);
  let server: ForwardServer;
  let caller: Socket;
  let text = "";
  let isClosed = false;

  beforeEach(async () => {
    faults.length = 0;
    text = "";
    isClosed = false;
    process.on("uncaughtException", onFault);
    const head = { status: 200, headers: [], verdict: "answered", load: undefined } as const;
    server = new ForwardServer(
      testCodecs.callerCodec,
      async () => {
        await pause(RUN_MS);
        return E.right({ head, body: Buffer.from("done"), isFramed: true });
      },
      new MonotonicClock(),
      SILENT_LOGGER,
      new Meter(),
    );
    server.setLimits(LIMITS);
    const at = allocatePort();
    await server.listen("127.0.0.1", at);
    caller = connect(at, "127.0.0.1");
    caller.on("data", (bytes) => (text += bytes.toString("latin1")));
    caller.on("error", () => undefined);
    caller.on("close", () => (isClosed = true));
  });

  afterEach(() => {
    process.off("uncaughtException", onFault);
    caller.destroy();
    server.close();
  });

  /** Sends a request; resolves once its answer has come. */
  const send = async () => {
    const answers = text.split("done").length;
    caller.write("GET /any/1 HTTP/1.1\r\nhost: test\r\nx-id: r1\r\n\r\n");
    await waitUntil(() => text.split("done").length > answers, 1000);
  };

  it("stays open as long as its response announced, though the limit was lowered meanwhile", async () => {
    const answer = send();
    await pause(RUN_MS / 2);
    server.setLimits({ ...LIMITS, idleTimeoutMs: IDLE_MS / 8 });
    await answer;
    assert.match(text, /keep-alive: timeout=15/i);
    await pause(IDLE_MS);
    assert.equal(isClosed, false);
  });

  it("closes by the lowered limit after a response that came under it", async () => {
    server.setLimits({ ...LIMITS, idleTimeoutMs: IDLE_MS / 8 });
    await send();
    await pause(IDLE_MS);
    assert.equal(isClosed, true);
  });

  for (const ms of [
    2 ** 31,
    2 ** 32 + 5,
    1e30,
    Number.POSITIVE_INFINITY,
    -1,
    -5000,
    Number.NaN,
    0.4,
  ]) {
    it(`is answered on under limits of ${ms} ms, and ends nothing else`, async () => {
      server.setLimits({ ...LIMITS, idleTimeoutMs: ms, headersTimeoutMs: ms });
      await send();
      await pause(600);
      await send();
      assert.deepEqual(faults, []);
    });
  }
});
