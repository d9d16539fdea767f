/**
 * Streams that callers take up again after all instances were killed at once and restarted, with real processes. Guards
 * against streams that are refused though it can be known which version began them, and against streams that are joined
 * from two versions.
 */
import assert from "node:assert/strict";
import { after, afterEach, beforeEach, describe, it } from "node:test";
import { pause } from "../src/core/clock";
import { ResumeFleet, type ResumedStream } from "./harness/resumefleet";

const SIZE = 3;
const STREAMS = 6;
/** How long a new version is in service before the instances are killed, in milliseconds. */
const RELEASED_MS = 2500;

let fleet: ResumeFleet;

function countWentOn(streams: readonly ResumedStream[]): number {
  for (const { wentOnAt, began } of streams) {
    for (const version of wentOnAt) assert.equal(version, began, "joined from two versions");
  }
  return streams.filter(({ status, isComplete }) => status === 200 && isComplete).length;
}

describe("a stream that is taken up after all instances were killed", () => {
  beforeEach(() => {
    fleet = new ResumeFleet();
  });

  afterEach(async () => {
    await fleet.close();
  });

  after(() => {
    setTimeout(() => process.exit(), 500).unref();
  });

  it("goes on where the service has only one version", async () => {
    await fleet.addEngine("d1", "v1");
    await fleet.addEngine("d2", "v1");
    await fleet.start(SIZE);
    const begun = await fleet.beginStreams(STREAMS);
    await fleet.killAll();
    await fleet.restartAll();
    assert.equal(countWentOn(await fleet.takeUp(begun)), STREAMS);
    assert.equal(fleet.store.origins.values.length, 0, "no origin is stored");
  });

  it("goes on at its version where two are in service", async () => {
    await fleet.addEngine("d1", "v1");
    await fleet.addEngine("e1", "v2");
    await fleet.start(SIZE);
    const begun = await fleet.beginStreams(STREAMS * 2);
    assert.deepEqual([...new Set(begun.map(({ version }) => version))].sort(), ["v1", "v2"]);
    await fleet.killAll();
    await fleet.restartAll();
    assert.equal(countWentOn(await fleet.takeUp(begun)), begun.length);
  });

  it("goes on at the newer version if the older one was removed right before", async () => {
    await fleet.addEngine("d1", "v1");
    await fleet.addEngine("e1", "v2");
    await fleet.start(SIZE);
    const begun = await fleet.beginStreams(STREAMS * 2);
    fleet.removeEngine("d1");
    await fleet.killAll();
    await fleet.restartAll();
    const resumed = await fleet.takeUp(begun);
    assert.equal(countWentOn(resumed), begun.filter(({ version }) => version === "v2").length);
  });

  it("goes on if it began before the second version appeared", async () => {
    await fleet.addEngine("d1", "v1");
    await fleet.start(SIZE);
    const begun = await fleet.beginStreams(STREAMS);
    await fleet.addEngine("e1", "v2", 0);
    await pause(RELEASED_MS);
    await fleet.killAll();
    await fleet.restartAll();
    assert.equal(countWentOn(await fleet.takeUp(begun)), STREAMS);
  });

  it("goes on once more, under either id, after all were killed again", async () => {
    await fleet.addEngine("d1", "v1");
    await fleet.addEngine("e1", "v2");
    await fleet.start(SIZE);
    const begun = await fleet.beginStreams(STREAMS);
    await fleet.killAll();
    await fleet.restartAll();
    const takenUp = await fleet.takeUpOpenly(begun);
    await fleet.killAll();
    await fleet.restartAll();
    assert.equal(countWentOn(await fleet.takeUp(begun)), STREAMS, "under the first id");
    assert.equal(countWentOn(await fleet.takeUp(takenUp)), STREAMS, "under the second id");
  });

  it("is refused with two versions while the store is down, and goes on once it is back", async () => {
    await fleet.addEngine("d1", "v1");
    await fleet.addEngine("e1", "v2");
    await fleet.start(SIZE);
    const begun = await fleet.beginStreams(STREAMS);
    await fleet.killAll();
    await fleet.restartAll();
    fleet.storeServer.isAway = true;
    for (const refused of await fleet.takeUp(begun, 1)) {
      assert.deepEqual([refused.status, refused.retryMs, refused.wentOnAt], [503, "300", []]);
    }
    fleet.storeServer.isAway = false;
    assert.equal(countWentOn(await fleet.takeUp(begun, 6)), STREAMS);
  });

  it("never goes on at another version if the store was restored and lacks its records", async () => {
    await fleet.addEngine("d1", "v1");
    await fleet.addEngine("e1", "v2");
    await fleet.start(SIZE);
    const begun = await fleet.beginStreams(STREAMS);
    fleet.removeEngine("d1");
    await fleet.killAll();
    fleet.store.restore({ endpoints: 4 });
    fleet.store.origins.values = [];
    await fleet.restartAll();
    assert.equal(countWentOn(await fleet.takeUp(begun)), 0);
  });

  it("is refused while the store is down, and goes on once it is back", async () => {
    await fleet.addEngine("d1", "v1");
    await fleet.start(SIZE);
    const begun = await fleet.beginStreams(STREAMS);
    await fleet.killAll();
    await fleet.restartAll();
    for (const fault of ["isAway", "isSilent"] as const) {
      fleet.storeServer[fault] = true;
      for (const refused of await fleet.takeUp(begun, 1)) {
        assert.deepEqual([refused.status, refused.retryMs, refused.wentOnAt], [503, "300", []]);
        assert.ok(refused.tookMs < 150 + 150 + 250, `${refused.tookMs} ms`);
      }
      fleet.storeServer[fault] = false;
    }
    assert.equal(countWentOn(await fleet.takeUp(begun, 6)), STREAMS);
  });

  it("is refused where the store has dropped the history", async () => {
    await fleet.addEngine("d1", "v1");
    await fleet.start(SIZE);
    const begun = await fleet.beginStreams(STREAMS);
    await fleet.killAll();
    fleet.store.endpoints.first = fleet.store.endpoints.records.length;
    await fleet.restartAll();
    const resumed = await fleet.takeUp(begun);
    assert.deepEqual(
      resumed.map(({ status, wentOnAt }) => [status, wentOnAt]),
      begun.map(() => [503, []]),
    );
  });

  it("never goes on at a version that replaced its own right before", async () => {
    await fleet.addEngine("d1", "v1");
    await fleet.start(SIZE);
    const begun = await fleet.beginStreams(STREAMS);
    await fleet.addEngine("e1", "v2", 0);
    fleet.removeEngine("d1");
    await fleet.killAll();
    await fleet.restartAll();
    const resumed = await fleet.takeUp(begun);
    assert.equal(countWentOn(resumed), 0);
    assert.ok(resumed.every(({ status }) => status === 503));
  });

  it("never goes on at another version that its engine returned with under its id", async () => {
    await fleet.addEngine("d1", "v1");
    await fleet.addEngine("d2", "v1");
    await fleet.start(SIZE);
    const begun = await fleet.beginStreams(STREAMS);
    await fleet.killAll();
    fleet.returnEngine("d1", "v2");
    await fleet.restartAll();
    countWentOn(await fleet.takeUp(begun));
  });
});
