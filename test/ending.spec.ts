/**
 * What the last log lines of a request say of its end. Guards against a lost request whose lines can't tell a silent
 * endpoint from a process that stood still, a used-up budget, or a change of the configuration.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { ManualClock } from "../src/core/clock";
import type { Line } from "../src/core/lines";
import { RetryBudget } from "../src/core/retrybudget";
import { EngineStage } from "../src/fleet/entries";
import type { InstanceBase } from "../src/forward/base";
import { LoopDelaySampler } from "../src/forward/requests/loopdelay";
import { addEndpoint, get, instance, port, prepareEach, start, store } from "./harness/fixture";
import { createConfig, waitUntil } from "./harness/forward";
import { blockFor } from "./harness/standstill";
import { writeAnswer } from "./harness/raw";

type Fields = Readonly<Record<string, unknown>>;

/** Collects the log lines of the instance from now on. */
function collectLines(): Fields[] {
  const lines: Fields[] = [];
  const base = Reflect.get(instance, "base") as InstanceBase;
  base.lines.write = ({ text }: Line) => {
    lines.push(JSON.parse(text) as Fields);
  };
  return lines;
}

describe("the log lines on the end of a request", () => {
  prepareEach();

  it("name both versions of the configuration, its runs, its budget and how long the process stood still", async () => {
    await addEndpoint("a", (head, socket) => {
      store.putConfig(createConfig(2));
      blockFor(150);
      setTimeout(() => {
        writeAnswer(socket, head, "sheet 7");
      }, 100);
    });
    await start({ logLevel: "info" });
    const lines = collectLines();
    await get(port, "/any/7");
    const end = lines.find(({ event }) => event === "answered");
    assert.deepEqual(
      [end?.configAtStart, end?.configAtEnd, end?.runs, end?.maxAttempts, end?.hasBudget],
      [1, 2, 1, 2, true],
    );
    assert.ok(Number(end?.loopDelayMs) >= 100, `${String(end?.loopDelayMs)} ms`);
    assert.equal(end?.isCut, false);
  });

  it("say so of a stream that was cut", async () => {
    const answer = (head: string, socket: Socket) => {
      if (head.startsWith("POST /hold")) {
        socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nh1");
        return;
      }
      const id = /x-id: (\S+)/i.exec(head)?.[1] ?? "";
      socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\ntransfer-encoding: chunked\r\n\r\n`);
      socket.write("d\r\nid: 1\ndata: x\r\n");
      socket.write("2\r\n\n\n\r\n");
      setTimeout(() => socket.resetAndDestroy(), 30);
    };
    await addEndpoint("d", answer, { service: "models", stage: EngineStage.decode });
    await start({ logLevel: "info" });
    const lines = collectLines();
    const response = await get(port, "/draft/1", { "x-tokens": "30" });
    assert.equal(response.isComplete, false);
    await waitUntil(() => lines.some(({ event }) => event === "answered"));
    const end = lines.find(({ event }) => event === "answered");
    assert.deepEqual([end?.level, end?.isCut, end?.runs, end?.maxAttempts], ["WARN", true, 1, 1]);
  });

  it("are written for one that was admitted and then refused too", async () => {
    await addEndpoint("d", () => undefined, { service: "models" });
    await start({ logLevel: "info" });
    const lines = collectLines();
    const response = await get(port, "/any/7");
    const events = lines.filter((line) => "request" in line).map(({ event }) => event);
    assert.deepEqual([response.status, ...events], [503, "request", "refused after", "refused"]);
    assert.deepEqual([lines[1]?.runs, lines[1]?.configAtStart], [0, 1]);
  });
});

describe("the sampler of the event loop's delay", () => {
  it("gives the longest delay since a moment, also of a delay that goes on, and forgets old ones", () => {
    const clock = new ManualClock();
    const sampler = new LoopDelaySampler(clock);
    const passes = [20, 320, 20, 120, 20].map((ms) => {
      clock.advance(ms);
      sampler.sample();
      return clock.now();
    });
    const longest = [...passes, clock.now() + 1].map((at) => sampler.computeLongestMs(at));
    assert.deepEqual(longest, [300, 300, 100, 100, 0, 0]);
    clock.advance(520);
    assert.equal(sampler.computeLongestMs(clock.now()), 500);
    sampler.sample();
    clock.advance(60_001);
    sampler.sample();
    sampler.sample();
    clock.advance(60_001);
    sampler.sample();
    assert.equal(sampler.computeRecentMs(), 59_981);
    sampler.close();
  });
});

describe("a retry budget", () => {
  it("says whether a retry is left without consuming it", () => {
    const budget = new RetryBudget({ ratio: 0.5, slack: 0, windowMs: 1000 }, () => 1, -5000);
    for (let count = 0; count < 3; count += 1) budget.recordRequest("a", 0);
    assert.deepEqual(
      [budget.canConsume("a", 0), budget.canConsume("a", 0), budget.tryConsume("a", 0)],
      [true, true, true],
    );
    assert.deepEqual([budget.canConsume("a", 0), budget.tryConsume("a", 0)], [false, false]);
  });
});
