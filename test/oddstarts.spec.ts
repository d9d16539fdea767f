/**
 * Entries whose start or sequence number cannot be true. Guards against one odd entry that takes sound
 * endpoints out of service: others at its address, or the one whose id it has.
 */
import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { EndpointDirectory } from "../src/fleet/directory";
import type { EndpointEntry } from "../src/fleet/entries";
import { createEntry, testCodecs } from "./harness/forward";

const NOW = 1_800_000_000_000;
const STARTED = NOW - 60_000;
const FAR = [NOW + 86_400_000, 8e15, Number.MAX_SAFE_INTEGER];

let directory: EndpointDirectory;
let offset = 0;
let wallNow = NOW;

function put(id: string, more: Partial<EndpointEntry> = {}): EndpointEntry {
  const entry = createEntry(id, "10.0.0.1:80", { processStartedAt: STARTED, ...more });
  const value = Buffer.from(JSON.stringify(entry));
  const record = { key: id, value, position: { era: 0, offset } };
  offset += 1;
  directory.apply({ records: [record], next: { era: 0, offset } }, 0);
  return entry;
}

const listIds = (now = 0) => directory.listUsable(now).map(({ id }) => id);

describe("an entry whose start or sequence cannot be true", () => {
  beforeEach(() => {
    offset = 0;
    wallNow = NOW;
    directory = new EndpointDirectory(testCodecs.decodeEndpoint, () => wallNow);
  });

  it("supersedes no other endpoint at its address", () => {
    for (const processStartedAt of FAR) {
      const sound = put("sound");
      put("odd", { processStartedAt });
      assert.ok(listIds().includes("sound"), String(processStartedAt));
      assert.ok(directory.isListedProcess(sound));
    }
  });

  it("does not replace a sound entry under its id, nor make later ones out of date", () => {
    for (const processStartedAt of FAR) put("a", { processStartedAt, slots: 1 });
    put("a", { sequence: 5, slots: 6 });
    assert.equal(directory.find("a")?.slots, 6, "a sound entry replaces an odd one");
    for (const processStartedAt of FAR) put("a", { processStartedAt, slots: 1 });
    for (const sequence of FAR) put("a", { sequence, slots: 1 });
    assert.equal(directory.find("a")?.slots, 6);
    put("a", { sequence: 6, isLeaving: true });
    assert.deepEqual(listIds(), []);
  });

  it("of which a peer says that it left does not make sound entries out of date", () => {
    const left = { endpoint: "a", sequence: 1, isLeaving: true };
    directory.applyDepartures([{ ...left, processStartedAt: 8e15 }], 0);
    put("a");
    directory.applyDepartures([{ ...left, processStartedAt: 8e15, sequence: 2 }], 0);
    put("a", { sequence: 2 });
    assert.deepEqual(listIds(), ["a"]);
  });

  it("is used like others where this instance's own clock is wrong", () => {
    wallNow = 0;
    put("a");
    put("b", { address: "10.0.0.1:81" });
    put("a", { sequence: 2, isLeaving: true });
    assert.deepEqual(listIds(), ["b"]);
    const b = directory.find("b");
    assert.ok(b !== undefined && directory.markLeaving(b, 0));
    assert.deepEqual(listIds(), []);
  });
});

describe("a sound entry that comes while the clock of this instance is hours behind", () => {
  it("replaces the entry before it once its process has written another one", () => {
    directory = new EndpointDirectory(testCodecs.decodeEndpoint, () => NOW);
    put("a", { slots: 1 });
    const processStartedAt = NOW + 7_200_000;
    put("a", { processStartedAt, slots: 6 });
    put("a", { processStartedAt, slots: 6, sequence: 2 });
    assert.equal(directory.find("a")?.slots, 6);
    put("a", { processStartedAt, slots: 6, sequence: 3, isLeaving: true });
    assert.deepEqual(listIds(), []);
  });

  it("is applied at once if that clock was only set back since the start", (context) => {
    const now = Date.now();
    context.mock.method(Date, "now", () => now - 2 * 3_600_000);
    directory = new EndpointDirectory(testCodecs.decodeEndpoint);
    put("a", { processStartedAt: now - 3 * 3_600_000, slots: 1 });
    put("a", { processStartedAt: now, slots: 6 });
    assert.equal(directory.find("a")?.slots, 6);
  });
});

describe("an entry at whose address another endpoint answers", () => {
  it("does not supersede that one, whatever its start is", () => {
    directory = new EndpointDirectory(testCodecs.decodeEndpoint, () => NOW);
    put("sound");
    const odd = put("odd", { processStartedAt: NOW });
    assert.deepEqual(listIds(), ["odd"]);
    directory.markMisdirected(odd, 0);
    assert.deepEqual(listIds(1), ["sound"]);
  });
});
