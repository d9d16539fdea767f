/**
 * The versions that a service has had. Guards against taking a version for the only one after a freeze, a cut or a
 * rollout.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VersionHistory } from "../src/fleet/versionhistory";
import { EndpointDirectory } from "../src/fleet/directory";
import type { EndpointEntry } from "../src/fleet/entries";
import { createEntry, testCodecs } from "./harness/forward";

const FOR_MS = 16_000;

function record(
  history: VersionHistory,
  from: number,
  to: number,
  versions: (string | undefined)[],
) {
  const entries = versions.map((version, index) => createEntry(`e${index}`, "a:1", { version }));
  for (let now = from; now <= to; now += 1000) history.record(entries, now);
}

describe("the only version of a service", () => {
  it("is known once it was watched for as long as streams last", () => {
    const history = new VersionHistory();
    record(history, 0, 15_000, ["v1", "v1"]);
    assert.equal(history.findOnly("sheets", FOR_MS, 15_000), undefined);
    record(history, 16_000, 17_000, ["v1"]);
    assert.equal(history.findOnly("sheets", FOR_MS, 17_000), "v1");
    assert.equal(history.findOnly("others", FOR_MS, 17_000), undefined);
  });

  it("is not known while another one is listed, or was of late", () => {
    const history = new VersionHistory();
    record(history, 0, 20_000, ["v1", "v2"]);
    assert.equal(history.findOnly("sheets", FOR_MS, 20_000), undefined);
    record(history, 21_000, 36_000, ["v2"]);
    assert.equal(history.findOnly("sheets", FOR_MS, 36_000), undefined);
    record(history, 37_000, 38_000, ["v2"]);
    assert.equal(history.findOnly("sheets", FOR_MS, 38_000), "v2");
  });

  it("is not known after a time in which nothing was watched", () => {
    const history = new VersionHistory();
    record(history, 0, 20_000, ["v1"]);
    assert.equal(history.findOnly("sheets", FOR_MS, 24_000), undefined, "the list is not current");
    record(history, 25_000, 30_000, ["v1"]);
    assert.equal(
      history.findOnly("sheets", FOR_MS, 30_000),
      undefined,
      "another may have come and gone",
    );
  });

  it("is not known if an entry names none", () => {
    const history = new VersionHistory();
    record(history, 0, 20_000, [undefined]);
    assert.equal(history.findOnly("sheets", FOR_MS, 20_000), undefined);
  });

  it("is not known if another one was listed for a moment between two observations", () => {
    const history = new VersionHistory();
    const directory = new EndpointDirectory(testCodecs.decodeEndpoint);
    const entry = createEntry("e0", "a:1", { service: "sheets", version: "v1" });
    const put = (offset: number, key: string, value: EndpointEntry | undefined) => {
      const bytes = value && Buffer.from(JSON.stringify(value));
      const record = { key, value: bytes, position: { era: 0, offset } };
      directory.apply({ records: [record], next: { era: 0, offset: offset + 1 } }, 10_500);
    };
    put(0, "e0", entry);
    const recordUpTo = (from: number, to: number) => {
      for (let now = from; now <= to; now += 1000) {
        const recent = directory.processes.listSince(now - 1000);
        history.record([...directory.listAll(), ...recent], now);
      }
    };
    recordUpTo(0, 10_000);
    put(1, "e1", { ...entry, id: "e1", version: "v2" });
    put(2, "e1", undefined);
    recordUpTo(11_000, 20_000);
    assert.equal(history.findOnly("sheets", FOR_MS, 20_000), undefined);
    recordUpTo(21_000, 28_000);
    assert.equal(history.findOnly("sheets", FOR_MS, 28_000), "v1");
  });
});

describe("the processes of an endpoint", () => {
  for (const isEarlier of [true, false]) {
    const source = isEarlier ? "an earlier record" : "an entry that is out of date";
    it(`still have the listed one, long after ${source} of another was read`, () => {
      const directory = new EndpointDirectory(testCodecs.decodeEndpoint);
      const apply = (offset: number, processStartedAt: number, now: number) => {
        const entry = createEntry("d1", "a:1", { processStartedAt, sequence: 1 });
        const value = Buffer.from(JSON.stringify(entry));
        const records = [{ key: "d1", value, position: { era: 0, offset } }];
        directory.apply({ records, next: { era: 0, offset: offset + 1 } }, now);
      };
      apply(5, 2, 0);
      apply(isEarlier ? 4 : 6, 1, 1000);
      directory.processes.prune(() => true, 70_000);
      const kept = directory.processes.list("d1").map((process) => process.processStartedAt);
      assert.deepEqual(kept, [2]);
    });
  }
});
