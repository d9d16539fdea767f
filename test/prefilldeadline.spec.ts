/**
 * Completions that are cancelled while an engine has their prompt. Guards against callers who are told that nothing was
 * run, and who send it again, though an engine may be running it.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as E from "fp-ts/Either";
import { MonotonicClock } from "../src/core/clock";
import { ExecutionStatus, type Refusal } from "../src/core/outcome";
import { HttpEngineClient } from "../src/endpoint/engine";
import { EngineError, EngineFault } from "../src/endpoint/fault";
import { CompletionRun } from "../src/entry/runner";
import type { RunnerParts } from "../src/entry/runnerparts";
import { createEntryParts, createEntryRequest } from "./harness/entryrun";

const URL = "http://127.0.0.1:1";
const TIMEOUT_MS = 200;

/** Runs a completion to its deadline, with the stated answer to its prefill; returns its refusal. */
async function runToDeadline(answer: () => Promise<unknown>): Promise<Refusal | undefined> {
  const clock = new MonotonicClock();
  const engines = new HttpEngineClient();
  const entryParts = createEntryParts(URL, clock, engines);
  const prefill = () => answer;
  const parts = { ...entryParts, engines: { ...entryParts.engines, prefill } };
  let refusal: Refusal | undefined;
  await new CompletionRun(
    parts as unknown as RunnerParts,
    createEntryRequest(clock.now(), TIMEOUT_MS),
    {
      write: () => true,
      finish: () => undefined,
      fail: (error) => (refusal = error),
      close: () => undefined,
    },
  ).run();
  await engines.close();
  return refusal;
}

describe("a completion whose deadline passes while an engine has its prompt", () => {
  it("is not told to be not run", async () => {
    const refusal = await runToDeadline(() => new Promise(() => undefined));
    assert.deepEqual([refusal?.status, refusal?.ran], [504, ExecutionStatus.unknown]);
  });

  it("is told to be not run, if no byte of the prompt can have reached the engine", async () => {
    const error = new EngineError(EngineFault.down, "refused");
    const refusal = await runToDeadline(() => Promise.resolve(E.left(error)));
    assert.equal(refusal?.ran, ExecutionStatus.notRun);
  });
});
