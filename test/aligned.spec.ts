import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { AlignedInterval, computeNextMultiple, pauseUntilTick, TICK_MS } from "../src/core/aligned";
import { ManualClock } from "../src/core/clock";
import { LoopDelaySampler } from "../src/forward/requests/loopdelay";

describe("periodic work of one process", () => {
  it("expires together, so that an idle process wakes once for all of it", async () => {
    const turns: number[] = [];
    let turn = 0;
    const run = () => {
      turns.push(turn);
      setImmediate(() => (turn += 1));
    };
    const intervals = [TICK_MS, TICK_MS, 2 * TICK_MS].map((ms) => new AlignedInterval(ms, run));
    for (let tick = 0; tick < 4; tick += 1) {
      await pauseUntilTick();
      run();
    }
    for (const interval of intervals) interval.close();
    // Two at each tick and one at every other, with the pauses of this test.
    assert.ok(turns.length >= 12, `${turns.length} runs`);
    assert.ok(new Set(turns).size <= 6, `${turns.length} runs in ${new Set(turns).size} turns`);
  });

  it("is due at the next multiple of its interval, never at once", () => {
    fc.assert(
      fc.property(
        fc.constantFrom(250, 500, 1000, 2000),
        fc.double({ min: 0, max: 1e9, noNaN: true }),
        (ms, now) => {
          const next = computeNextMultiple(ms, now);
          assert.ok(next > now && next <= now + ms);
          assert.equal(next % ms, 0);
        },
      ),
    );
  });
});

describe("the sampler of the event loop's delay", () => {
  it("takes no samples of an idle process, and no standstill from before a request", () => {
    const clock = new ManualClock();
    const sampler = new LoopDelaySampler(clock);
    sampler.rest();
    clock.advance(5000);
    assert.equal(sampler.computeLongestMs(0), 0);
    sampler.beginRequest();
    clock.advance(320);
    assert.equal(sampler.computeLongestMs(5000), 300);
    sampler.endRequest();
    clock.advance(5000);
    assert.equal(sampler.computeLongestMs(5400), 0);
    sampler.close();
  });
});
