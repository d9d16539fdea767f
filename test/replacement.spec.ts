/**
 * Judging silent runs, and replacing them. Guards against a run that is given up for another at its own engine on no
 * evidence, against one that is waited for though it is gone, and against a replacement that fails and keeps what it was given.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  EngineReplacer,
  judgeSilentRun,
  type ReplacerHost,
  SilentRunState,
} from "../src/forward/generations/replacement";

describe("a silent run", () => {
  for (const [hasHead, isProcessListed, isDirectLost, state] of [
    [true, true, false, SilentRunState.sound],
    [false, true, false, SilentRunState.inDoubt],
    [true, true, true, SilentRunState.inDoubt],
    [true, false, false, SilentRunState.gone],
    [false, false, true, SilentRunState.gone],
  ] as const) {
    const signs = { hasHead, isProcessListed, isDirectLost };
    it(`is ${state} by ${JSON.stringify(signs)}`, () => {
      assert.equal(judgeSilentRun(signs), state);
    });
  }
});

/** A host of which one step throws, and what it has charged and reserved and not got back. */
function createFaultyHost(step: keyof ReplacerHost) {
  const kept = { retries: 0, memory: 0 };
  const fail = () => {
    throw new Error("a fault of this test");
  };
  const host = {
    canRunAgain: () => true,
    judgeSilentRun: () => SilentRunState.gone,
    reserve: () => Promise.resolve({ id: (kept.memory += 1) }),
    tryCharge: () => (kept.retries += 1) > 0,
    refund: () => (kept.retries -= 1),
    prepare: () => Promise.resolve({}),
    canUse: () => true,
    release: () => (kept.memory -= 1),
    discard: () => (kept.memory -= 1),
    [step]: fail,
  };
  // The preparation releases the memory itself where it throws.
  const prepare = () => Promise.reject(new Error(`no prompt after ${(kept.memory -= 1)}`));
  return { kept, host: { ...host, ...(step === "prepare" ? { prepare } : {}) } };
}

describe("a replacement whose step throws", () => {
  for (const step of ["tryCharge", "prepare", "canUse", "send"] as const) {
    it(`keeps neither its retry nor its memory: ${step}`, async () => {
      const { kept, host } = createFaultyHost(step);
      const replacer = new EngineReplacer(host as unknown as ReplacerHost);
      await assert.rejects(replacer.find(0, new AbortController().signal));
      assert.deepEqual([kept, replacer.take()], [{ retries: 0, memory: 0 }, undefined]);
    });
  }
});
