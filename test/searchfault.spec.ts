/**
 * A search for a replacement that throws. Guards against an error of one search that ends the process, and every request
 * in it.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { MonotonicClock, pause } from "../src/core/clock";
import { SILENT_LOGGER } from "../src/core/log";
import { SilenceWatch } from "../src/core/silence";

describe("a search for a replacement that throws", () => {
  it("rejects no promise that nobody waits for", async () => {
    const unhandled: unknown[] = [];
    const record = (error: unknown) => unhandled.push(error);
    process.on("unhandledRejection", record);
    const watch = new SilenceWatch({
      clock: new MonotonicClock(),
      logger: SILENT_LOGGER,
      timeoutMs: 10,
      finder: { find: () => Promise.reject(new Error("broken invariant")) },
      onSilent: () => undefined,
      onResumed: () => undefined,
    });
    await pause(100);
    watch.close();
    process.off("unhandledRejection", record);
    assert.deepEqual(unhandled, []);
  });
});
