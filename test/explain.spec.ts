/**
 * Finds the timeline and cause of a request by its identifier, on log lines recorded on a simulated day. Guards against
 * failures whose cause the commands miss, miscount or misplace.
 */
import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { type CauseCount, CauseCounter, Ending } from "../src/explain/cause";
import { parseLine } from "../src/explain/line";
import { findTimeline } from "../src/explain/timeline";
import { formatTimeline } from "../src/explain/format";

const RECORDED_LOG = "test/recorded/busy-day.txt";
const REFUSED_REQUEST = "cac4cee57ff25781";
const RESUMED_REQUEST = "57137d524d395bcc";
const UNKNOWN_REQUEST = "d01dc9a75beae909";

const lines = readFileSync(RECORDED_LOG, "utf8")
  .split("\n")
  .map(parseLine)
  .filter((line) => line !== undefined);

function runCommand(args: readonly string[], input = "") {
  const command = ["--import", "tsx", "src/main.ts", ...args];
  return spawnSync(process.execPath, command, { encoding: "utf8", input });
}

function countCauses(from?: number, to?: number): readonly CauseCount[] {
  const counter = new CauseCounter(from, to);
  for (const line of lines) counter.add(line);
  return counter.list();
}

describe("the timeline of a request", () => {
  it("has its lines in order, with the loss of the store beside a refusal", () => {
    const timeline = findTimeline(lines, REFUSED_REQUEST);
    assert.deepEqual(
      timeline?.lines.map((line) => line.event),
      ["request", "queued", "refused"],
    );
    assert.ok(timeline.beside.some((line) => line.event === "store lost"));
    assert.ok(timeline.beside.every((line) => line.instance === timeline.lines[0]?.instance));
  });

  it("has each try of a stream, with the event after which it resumed", () => {
    const timeline = findTimeline(lines, RESUMED_REQUEST);
    const tried = timeline?.lines.find((line) => line.event === "try");
    assert.ok(tried?.fields.some(({ name, value }) => name === "lastEvent" && value === "87"));
    assert.equal(timeline?.lines.at(-1)?.event, "answered");
    assert.equal(timeline?.lines.at(-1)?.isWarning, true);
  });

  it("is printed with the time since the first line, whatever the order of the files", () => {
    const timeline = findTimeline([...lines].reverse(), UNKNOWN_REQUEST);
    assert.ok(timeline);
    const text = formatTimeline(timeline);
    assert.match(text, /\+0 ms .*request/);
    assert.match(text, /\+8 ms .*send failed .*ECONNRESET/);
  });

  it("is not found for an unknown request", () => {
    assert.equal(findTimeline(lines, "0000000000000000"), undefined);
  });
});

describe("causes", () => {
  it("are counted with the message of the last step before the end", () => {
    const found = countCauses();
    const refused = found.find((item) => item.reason === "overloaded");
    assert.deepEqual([refused?.ending, refused?.count], [Ending.refused, 1]);
    const reset = found.find((item) => item.example === UNKNOWN_REQUEST);
    assert.equal(reset?.cause, "send failed: unknown: ECONNRESET read ECONNRESET");
    assert.ok(found.some((item) => item.ending === Ending.cancelled));
    const all = found.reduce((sum, item) => sum + item.count, 0);
    assert.equal(all, 6, "an answered request is not counted");
  });

  it("are those of the requested time span", () => {
    const at = findTimeline(lines, UNKNOWN_REQUEST)?.lines.at(-1)?.at ?? 0;
    assert.deepEqual(
      countCauses(at, at + 1).map((item) => item.example),
      [UNKNOWN_REQUEST],
    );
  });
});

describe("text that is not a log line of an instance", () => {
  it("is ignored", () => {
    for (const text of ["", "plain text", "{", "{}", '{"event":1,"level":"INFO"}', "[1]"]) {
      assert.equal(parseLine(text), undefined, text);
    }
  });

  it("may precede a line, as log collectors add prefixes", () => {
    const text = '{"level":"INFO","time":"2026-01-18T03:21:01.616Z","event":"stopped"}';
    assert.equal(parseLine(`12.5 nizwa-1 ${text}`)?.event, "stopped");
  });
});

describe("the commands", () => {
  it("explain a request from files or standard input, and fail for an unknown one", () => {
    const fromFile = runCommand(["explain", UNKNOWN_REQUEST, RECORDED_LOG]);
    assert.equal(fromFile.status, 0, fromFile.stderr);
    const fromInput = runCommand(["explain", UNKNOWN_REQUEST], readFileSync(RECORDED_LOG, "utf8"));
    assert.equal(fromInput.stdout, fromFile.stdout);
    const json = runCommand(["explain", UNKNOWN_REQUEST, RECORDED_LOG, "--json"]);
    assert.equal((JSON.parse(json.stdout) as { request: string }).request, UNKNOWN_REQUEST);
    const none = runCommand(["explain", "0000000000000000", RECORDED_LOG]);
    assert.deepEqual(
      [none.status, none.stderr.trim()],
      [2, "no line names request 0000000000000000"],
    );
  });

  it("count causes as a table or JSON, and fail for an invalid time or file", () => {
    const table = runCommand(["causes", RECORDED_LOG]);
    assert.match(table.stdout, /^count +ending/);
    const json = runCommand(["causes", "--json", RECORDED_LOG]);
    assert.equal((JSON.parse(json.stdout) as unknown[]).length, countCauses().length);
    assert.equal(runCommand(["causes", "--from", "yesterday", RECORDED_LOG]).status, 1);
    assert.equal(runCommand(["causes", "no-such-file.log"]).status, 2);
  });
});
