/**
 * Log lines: never blocking, bounded, and honest on what was left out.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ManualClock } from "../src/core/clock";
import { BoundedLineWriter } from "../src/core/lines";

describe("log lines", () => {
  it("are bounded a second, and the next one says how many were dropped", () => {
    let text = "";
    const clock = new ManualClock(10_000);
    const lines = new BoundedLineWriter((bytes, done) => {
      text += bytes.toString();
      done(null, bytes.length);
    }, clock);
    for (let count = 0; count < 2000; count += 1) lines.write("{}");
    assert.equal(text.trimEnd().split("\n").length, 500);
    assert.equal(lines.dropped, 1500);
    clock.advance(1001);
    lines.write('{"after":1}');
    const [report, next] = text.trimEnd().split("\n").slice(-2);
    assert.match(report ?? "", /"count":1500/);
    assert.equal(next, '{"after":1}');
  });

  it("do not wait for a reader that takes nothing, and keep bounded memory", () => {
    const clock = new ManualClock(10_000);
    const lines = new BoundedLineWriter(() => undefined, clock);
    const line = "x".repeat(10_000);
    for (let second = 0; second < 10; second += 1) {
      for (let count = 0; count < 100; count += 1) lines.write(line);
      clock.advance(1001);
    }
    assert.ok(lines.dropped > 900);
  });

  it("are written whole where the descriptor takes a part at a time", () => {
    let text = "";
    const lines = new BoundedLineWriter((bytes, done) => {
      text += bytes.subarray(0, 3).toString();
      done(null, Math.min(3, bytes.length));
    });
    lines.write("one line");
    lines.write("another");
    assert.equal(text, "one line\nanother\n");
  });
});
