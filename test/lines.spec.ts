/**
 * The log writer never blocks, bounds the rate and memory of lines, reports how many it dropped, and drops lines that
 * explain a failure last. Guards against requests that hang because nobody reads standard output.
 */
import assert from "node:assert/strict";
import { fork } from "node:child_process";
import { once } from "node:events";
import { describe, it } from "node:test";
import { ManualClock } from "../src/core/clock";
import { BoundedLineWriter, type Line } from "../src/core/lines";
import { createLogger } from "../src/core/log";

const START_MS = 10_000;
const OVER_ONE_SECOND_MS = 1001;

/** Creates a writer whose output is read at once and captured. */
function createCapturingWriter() {
  const clock = new ManualClock(START_MS);
  const output = { text: "" };
  const lines = new BoundedLineWriter((bytes, done) => {
    output.text += bytes.toString();
    done(null, bytes.length);
  }, clock);
  const list = () => output.text.trimEnd().split("\n");
  return { clock, lines, list };
}

const routine = (kind: string, text = "{}"): Line => ({ text, kind, isDiagnostic: false });
const explaining = (kind: string, text = "{}"): Line => ({ text, kind, isDiagnostic: true });

describe("log lines", () => {
  it("are bounded per second, and the next one reports how many were dropped", () => {
    const { clock, lines, list } = createCapturingWriter();
    for (let count = 0; count < 2000; count += 1) lines.write(routine(`kind-${count % 20}`));
    assert.equal(list().length, 500);
    assert.equal(lines.dropped, 1500);
    clock.advance(OVER_ONE_SECOND_MS);
    lines.write(routine("last", '{"after":1}'));
    const [report, next] = list().slice(-2);
    assert.match(report ?? "", /"count":1500/);
    assert.equal(next, '{"after":1}');
  });

  it("of one kind leave room for the others, and are counted by kind", () => {
    const { clock, lines, list } = createCapturingWriter();
    for (let count = 0; count < 1000; count += 1) lines.write(routine("noisy"));
    lines.write(routine("rare", '{"rare":1}'));
    assert.equal(list().length, 151);
    assert.equal(list().at(-1), '{"rare":1}');
    clock.advance(OVER_ONE_SECOND_MS);
    lines.write(routine("rare"));
    assert.match(list().at(-2) ?? "", /"kinds":\{"noisy":850\}/);
  });

  it("that explain a failure are written while routine ones are dropped", () => {
    const { lines, list } = createCapturingWriter();
    for (let count = 0; count < 2000; count += 1) lines.write(routine(`kind-${count % 20}`));
    lines.write(explaining("refused", '{"refused":1}'));
    assert.equal(list().at(-1), '{"refused":1}');
  });

  it("that explain a failure still have buffer space while nothing is read", () => {
    const clock = new ManualClock(START_MS);
    const lines = new BoundedLineWriter(() => undefined, clock);
    const text = "x".repeat(10_000);
    for (let count = 0; count < 100; count += 1) lines.write(routine("routine", text));
    const droppedBefore = lines.dropped;
    assert.ok(droppedBefore > 0);
    for (let count = 0; count < 20; count += 1) lines.write(explaining("refused", text));
    assert.equal(lines.dropped, droppedBefore);
  });

  it("are not waited for while nothing is read, and use bounded memory", () => {
    const clock = new ManualClock(START_MS);
    const lines = new BoundedLineWriter(() => undefined, clock);
    const text = "x".repeat(10_000);
    for (let second = 0; second < 10; second += 1) {
      for (let count = 0; count < 100; count += 1) lines.write(explaining("refused", text));
      clock.advance(OVER_ONE_SECOND_MS);
    }
    assert.ok(lines.dropped > 900);
  });

  it("are written in full if the descriptor accepts a part at a time", () => {
    let text = "";
    const lines = new BoundedLineWriter((bytes, done) => {
      text += bytes.subarray(0, 3).toString();
      done(null, Math.min(3, bytes.length));
    });
    lines.write(routine("a", "one line"));
    lines.write(routine("b", "another"));
    assert.equal(text, "one line\nanother\n");
  });

  it("of the logger are JSON with time, level, instance and event; a warning explains a failure", () => {
    const written: Line[] = [];
    const lines = { dropped: 0, write: (line: Line) => written.push(line) };
    const logger = createLogger("nizwa-1", "info", lines);
    logger.debug("left out", {});
    logger.info("request", { request: "r1", config: 7 });
    logger.warn("refused", { request: "r1", status: 503 });
    assert.deepEqual(
      written.map((line) => [line.kind, line.isDiagnostic]),
      [
        ["request", false],
        ["refused", true],
      ],
    );
    const { time, ...first } = JSON.parse(written[0]?.text ?? "") as Record<string, unknown>;
    assert.ok(!Number.isNaN(Date.parse(String(time))));
    const expected = { level: "INFO", instance: "nizwa-1", request: "r1", config: 7 };
    assert.deepEqual(first, { ...expected, event: "request" });
  });

  it("delay no request while the process that reads them stands still", async () => {
    const child = fork("test/standin/chatty.ts", {
      execArgv: ["--import", "tsx"],
      stdio: ["ignore", "pipe", "inherit", "ipc"],
    });
    const [port] = (await once(child, "message")) as [number];
    const times: number[] = [];
    for (let count = 0; count < 40; count += 1) {
      const startedAt = performance.now();
      const answer = await fetch(`http://127.0.0.1:${port}/`, {
        signal: AbortSignal.timeout(5000),
      });
      assert.equal(await answer.text(), "done");
      times.push(performance.now() - startedAt);
    }
    child.kill("SIGKILL");
    assert.ok(Math.max(...times) < 1000, `${Math.round(Math.max(...times))} ms`);
  });
});
