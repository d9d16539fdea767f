/**
 * Ends of tries in which a step throws. Guards against one that keeps load, memory, a retry or a run, or gives it back twice.
 */
import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { EngineReplacer, type ReplacerHost } from "../src/forward/generations/replacement";
import type { SentRun } from "../src/forward/generations/sentrun";
import { StreamRun } from "../src/forward/generations/stream";

/** The steps of a run that a test takes by itself. */
interface RunSteps {
  readonly tries: number;
  readonly runs: number;
  recordBeside(sent: unknown, ending: Promise<never>): Promise<void>;
  begin(start: unknown): unknown;
}

const fail = () => {
  throw new Error("a fault of this test");
};

/** What was given back of a try, each by its number of calls. */
const given = { load: 0, hold: 0, retry: 0, signal: 0, aborts: 0 };
const start = {
  engine: { reservation: { endpoint: { id: "d" }, needTokens: 310 }, source: {} },
  deadlineSignal: { close: () => (given.signal += 1), signal: { aborted: false } },
};

/** A run with one try, of which some steps are replaced. */
function createRun(steps: object): RunSteps {
  const run = Object.create(StreamRun.prototype) as object;
  const parts = {
    engineLoad: { addLocalWork: () => (given.load += 1) },
    reservations: { release: () => (given.hold += 1), dispatchWaiting: () => undefined },
  };
  const recorder = { record: () => undefined, recordRepeat: () => undefined };
  const prefiller = { keep: () => undefined, release: fail };
  const sendBudget = { tryConsumeForRun: () => true, refund: () => (given.retry += 1) };
  const fields = { parts, recorder, prefiller, sendBudget, tries: 1, runs: 0 };
  return Object.assign(run, fields, { unloaded: new WeakSet() }, steps) as unknown as RunSteps;
}

describe("a try in which a step throws", () => {
  beforeEach(() => Object.assign(given, { load: 0, hold: 0, retry: 0, signal: 0, aborts: 0 }));

  it("beside a silent run is ended, and counts as one that may have run", async () => {
    const run = createRun({});
    const sent = { start, abort: () => (given.aborts += 1) };
    await assert.rejects(run.recordBeside(sent, Promise.reject(new Error("a fault"))));
    assert.deepEqual(given, { load: 1, hold: 0, retry: 0, signal: 1, aborts: 1 });
    assert.deepEqual([run.tries, run.runs], [2, 1]);
  });

  it("at its send gives its retry back", () => {
    const run = createRun({ stopBeforeSend: () => undefined, send: fail });
    assert.throws(() => run.begin(start));
    assert.deepEqual(given, { load: 1, hold: 1, retry: 1, signal: 1, aborts: 0 });
  });

  it("at the release of its prompt releases its memory once", () => {
    const steps = { beginRun: () => undefined, canUse: () => true };
    const run = createRun({ ...steps, consumeSendBudget: () => ({ end: "unsent" }) });
    assert.throws(() => run.begin(start));
    assert.deepEqual(given, { load: 1, hold: 1, retry: 0, signal: 1, aborts: 0 });
  });

  it("at the record of a replacement that failed leaves no timer to end it", async (t) => {
    t.mock.timers.enable({ apis: ["setTimeout"] });
    const replacer = new EngineReplacer({ finish: fail } as unknown as ReplacerHost);
    const { finish } = replacer as unknown as { finish: (sent: SentRun) => Promise<void> };
    const sent = { abort: () => (given.aborts += 1) } as unknown as SentRun;
    await assert.rejects(finish.call(replacer, sent));
    t.mock.timers.tick(60_000);
    await new Promise(setImmediate);
    assert.equal(given.aborts, 0);
  });
});
