/**
 * The watch over silent runs alone. Guards against a search whose fault ends the process or the watch.
 */
import assert from "node:assert/strict";
import { once } from "node:events";
import { it } from "node:test";
import { MonotonicClock, pause } from "../src/core/clock";
import { type LogFields, SILENT_LOGGER } from "../src/core/log";
import { SilenceWatch } from "../src/core/silence";

/** Watches a run that stays silent, with searches of which the first one fails. */
function watchSilent(fail: () => Promise<boolean>, onSilent: () => void = () => undefined) {
  let searches = 0;
  const errors: unknown[] = [];
  const logger = {
    ...SILENT_LOGGER,
    error: (_: string, fields: LogFields) => errors.push(fields.stack),
  };
  const find = () => ((searches += 1) === 1 ? fail() : Promise.resolve(true));
  const watch = new SilenceWatch({
    clock: new MonotonicClock(),
    logger,
    timeoutMs: 20,
    finder: { find },
    onSilent,
    onResumed: () => undefined,
  });
  return { watch, errors };
}

for (const [kind, fail] of [
  ["rejects", () => Promise.reject(new Error("broken invariant"))],
  [
    "throws",
    () => {
      throw new Error("broken invariant");
    },
  ],
] as const) {
  it(`a search that ${kind} is logged, and the silence is searched again`, async () => {
    const { watch, errors } = watchSilent(fail);
    await Promise.race([once(watch.signal, "abort"), pause(2000)]);
    watch.close();
    assert.equal(watch.signal.aborted, true);
    assert.match(String(errors), /broken invariant/);
  });
}

it("an error as the silence is told is logged, and the silence is searched", async () => {
  const faults: unknown[] = [];
  const onFault = (error: unknown) => void faults.push(error);
  process.on("uncaughtException", onFault);
  const { watch, errors } = watchSilent(
    () => Promise.resolve(true),
    () => {
      throw new Error("broken invariant");
    },
  );
  await Promise.race([once(watch.signal, "abort"), pause(1000)]);
  watch.close();
  process.off("uncaughtException", onFault);
  assert.deepEqual([watch.signal.aborted, faults], [true, []]);
  assert.match(String(errors), /broken invariant/);
});
