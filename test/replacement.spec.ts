/**
 * Judging silent runs. Guards against a run that is given up for another at its own engine on no evidence, and against
 * one that is waited for though it is gone.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { judgeSilentRun, SilentRunState } from "../src/forward/generations/replacement";

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
