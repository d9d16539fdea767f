/**
 * Estimates of the speed of engines. Guards against decisions that hold for the engines of one site only, and against
 * single measurements or peers that mislead.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { EngineModel } from "../src/forward/engines/model";

const NETWORK_MS = 4;

describe("the estimated speed of engines", () => {
  it("is right after a few prefills, whatever the speed", () => {
    const prompt = fc.integer({ min: 1000, max: 20_000 });
    fc.assert(
      fc.property(
        fc.double({ min: 2, max: 400, noNaN: true }),
        fc.array(prompt, { minLength: 6, maxLength: 60 }),
        (speed, prompts) => {
          const model = new EngineModel();
          for (const tokens of prompts)
            model.recordPrefill("m", tokens, tokens / speed + NETWORK_MS);
          const found = model.readTokensPerMs("m", 0);
          const slowest = 1000 / (1000 / speed + NETWORK_MS);
          assert.ok(found <= speed * 1.001 && found >= slowest * 0.999, `${found} of ${speed}`);
        },
      ),
    );
  });

  it("is not misled by a few measurements that are far off", () => {
    const model = new EngineModel();
    for (let index = 0; index < 20; index += 1) {
      model.recordPrefill("m", 3000, index % 4 === 0 ? 3000 : 100);
      model.recordPrefill("m", 3000, index % 5 === 0 ? 1 : 100);
    }
    assert.equal(model.readTokensPerMs("m", 0), 30);
  });

  it("follows engines that turn slow", () => {
    const model = new EngineModel();
    for (let index = 0; index < 40; index += 1) model.recordPrefill("m", 3000, 60);
    for (let index = 0; index < 20; index += 1) model.recordPrefill("m", 3000, 240);
    assert.equal(model.readTokensPerMs("m", 0), 12.5);
  });

  it("comes from peers while there are no own measurements, and each service has its own", () => {
    const model = new EngineModel();
    const guess = model.readTokensPerMs("m", 0);
    for (const [peer, tokensPerMs] of [
      ["a", 50],
      ["b", 52],
      ["lying", 1_000_000],
      ["broken", Number.NaN],
    ] as const) {
      model.replacePeerEstimates(peer, [{ service: "m", tokensPerMs }], 0);
    }
    assert.equal(model.readTokensPerMs("m", 1000), 52);
    assert.equal(model.readTokensPerMs("other", 1000), guess);
    assert.equal(model.readTokensPerMs("m", 60_000), guess, "silent peers are forgotten");
    assert.deepEqual(model.listLocalEstimates(), [], "what peers said is not passed on");
  });

  it("ignores prompts that are too short to measure", () => {
    const model = new EngineModel();
    for (let index = 0; index < 20; index += 1) model.recordPrefill("m", 200, 30);
    assert.deepEqual(model.listLocalEstimates(), []);
  });
});
