/**
 * Timeouts of 2^31 ms and more, as a configuration may name them. Guards against a sound request that is ended at once as if its
 * time were up.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { pause } from "../src/core/clock";
import { createTimeoutSignal, ReadFirstTimer } from "../src/core/readfirst";
import { LongTimer } from "../src/core/timeouts";
import { addEndpoint, get, port, prepareEach, start, store } from "./harness/fixture";
import { createConfig } from "./harness/forward";
import { writeAnswer } from "./harness/raw";

const LONG_MS = 2 ** 31;

describe("a request whose route has a timeout of 2^31 ms", () => {
  prepareEach();

  for (const path of ["/once/1", "/any/1"]) {
    it(`is answered on ${path}`, async () => {
      await addEndpoint("a", (head, socket) => {
        setTimeout(() => {
          writeAnswer(socket, head, "done");
        }, 300);
      });
      const config = createConfig(2);
      const routes = config.routes.map((route) => ({ ...route, timeoutMs: LONG_MS }));
      store.putConfig({ ...config, routes });
      await start();
      const answer = await get(port, path, { "x-patience": String(2 * LONG_MS) });
      assert.deepEqual([answer.status, answer.body], [200, "done"]);
    });
  }
});

describe("a timer", () => {
  for (const ms of [LONG_MS, 3 * LONG_MS, Number.POSITIVE_INFINITY]) {
    it(`of ${ms} ms does not run at once`, async () => {
      let runs = 0;
      const timer = new ReadFirstTimer(ms, () => (runs += 1));
      const signal = createTimeoutSignal(ms);
      await pause(30);
      timer.close();
      assert.deepEqual([runs, signal.aborted], [0, false]);
    });
  }

  it("of 3 times 2^31 ms runs at its end", (context) => {
    const parts: { readonly run: () => void; readonly ms: number }[] = [];
    const record = (run: () => void, ms: number) => parts.push({ run, ms });
    context.mock.method(globalThis, "setTimeout", record as unknown as typeof setTimeout);
    let runs = 0;
    new LongTimer(3 * LONG_MS, () => (runs += 1));
    let total = 0;
    for (let part = parts.shift(); part !== undefined; part = parts.shift()) {
      assert.deepEqual([runs, part.ms < LONG_MS], [0, true]);
      total += part.ms;
      part.run();
    }
    assert.deepEqual([runs, total], [1, 3 * LONG_MS]);
  });
});
