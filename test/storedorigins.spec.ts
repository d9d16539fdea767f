/**
 * Origins of streams in the store: what is written there, and what is read of it. Guards against a store that is
 * written to without need or too often, origins that are lost in an outage, and records that are taken for more than
 * they say.
 */
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import * as E from "fp-ts/Either";
import { ManualClock, MonotonicClock, pause } from "../src/core/clock";
import { SILENT_LOGGER } from "../src/core/log";
import { HistoryReader } from "../src/fleet/historyreader";
import { ProcessHistory } from "../src/fleet/processhistory";
import { type AppendLog, StoreError, StoreFault } from "../src/fleet/store";
import { VersionHistory } from "../src/fleet/versionhistory";
import { Meter } from "../src/forward/requests";
import { decodeOrigins, encodeOrigins } from "../src/forward/shared/originpeer";
import { OriginPublisher } from "../src/forward/shared/originpublisher";
import type { NamedOrigin } from "../src/forward/shared/origins";
import { OriginWriter } from "../src/forward/shared/originwriter";
import { StoredOrigins } from "../src/forward/shared/storedorigins";
import { createEntry, testCodecs, waitUntil } from "./harness/forward";
import { MemoryFeed, MemoryLog } from "./harness/memory";

const STREAM_MS = 16_000;

const createOrigin = (request: string, version: string | undefined = "v1"): NamedOrigin => ({
  stream: { workspace: "walls", request },
  origin: { service: "sheets", version, endpoint: "d1", processStartedAt: 1, beganAt: 5 },
});

const listEntries = (...versions: string[]) =>
  versions.map((version, index) => createEntry(`d${index}`, "a:1", { version }));

/** A log that fails, or trims, as a test says. */
class FaultyLog extends MemoryLog {
  fault: StoreError | undefined;
  first = 0;
  pageSize = 1000;
  readonly appendedAt: number[] = [];
  readCount = 0;

  override append: AppendLog["append"] = (value) => () => {
    if (this.fault !== undefined) return Promise.resolve(E.left(this.fault));
    this.appendedAt.push(performance.now());
    this.values.push(value);
    return Promise.resolve(E.right(undefined));
  };

  override read: AppendLog["read"] = (from) => () => {
    this.readCount += 1;
    if (this.fault !== undefined) return Promise.resolve(E.left(this.fault));
    if (from < this.first) {
      return Promise.resolve(E.left(new StoreError(StoreFault.trimmed, "gone", this.first)));
    }
    const records = this.values
      .slice(from, from + this.pageSize)
      .map((value, index) => ({ value, offset: from + index }));
    return Promise.resolve(E.right({ records, end: this.values.length }));
  };
}

const DOWN = new StoreError(StoreFault.refused, "down");
let log: FaultyLog;

beforeEach(() => {
  log = new FaultyLog();
});

describe("the writer of origins", () => {
  let versionHistory: VersionHistory;
  let writer: OriginWriter;

  beforeEach(() => {
    const clock = new MonotonicClock();
    const meter = new Meter();
    const logger = SILENT_LOGGER;
    versionHistory = new VersionHistory();
    const processes = new ProcessHistory();
    const feed = new MemoryFeed();
    const decode = testCodecs.decodeEndpoint;
    const read = { feed, decode, versionHistory, processes, clock, meter, logger };
    const historyReader = new HistoryReader(read);
    const computeStreamMs = () => STREAM_MS;
    const parts = { log, versionHistory, historyReader, computeStreamMs, clock, meter, logger };
    writer = new OriginWriter(parts);
  });

  afterEach(() => {
    writer.close();
  });

  const record = (...versions: string[]) => {
    versionHistory.record(listEntries(...versions), performance.now());
  };
  const listStored = () =>
    log.values.flatMap((value) => decodeOrigins(value) ?? []).map(({ stream }) => stream.request);

  it("writes nothing of a service with one version, until another one appears", async () => {
    record("v1");
    writer.add([createOrigin("r1")]);
    await pause(700);
    assert.deepEqual(listStored(), []);
    record("v1", "v2");
    writer.add([createOrigin("r2")]);
    await waitUntil(() => listStored().length === 2);
    assert.deepEqual(listStored(), ["r1", "r2"]);
  });

  it("writes those of a service with one version where a process of unknown version was", async () => {
    record("v1");
    writer.add([createOrigin("r1")]);
    await pause(700);
    assert.deepEqual(listStored(), []);
    versionHistory.recordUnknown("sheets", performance.now(), performance.now() + STREAM_MS);
    writer.add([createOrigin("r2")]);
    await waitUntil(() => listStored().length === 2);
  });

  it("writes the first one at once, and batches at most twice a second", async () => {
    record("v1", "v2");
    const startedAt = performance.now();
    for (let index = 0; index < 150; index += 1) {
      writer.add([createOrigin(`r${index}`)]);
      await pause(10);
    }
    await waitUntil(() => listStored().length === 150);
    const first = (log.appendedAt[0] ?? Infinity) - startedAt;
    assert.ok(first < 200, `${first} ms`);
    const gaps = log.appendedAt.slice(1).map((at, index) => at - (log.appendedAt[index] ?? 0));
    assert.ok(Math.min(...gaps) >= 480, `${Math.min(...gaps)} ms`);
  });

  it("keeps origins while the store is down", async () => {
    record("v1", "v2");
    log.fault = DOWN;
    writer.add([createOrigin("r1")]);
    await pause(300);
    log.fault = undefined;
    await waitUntil(() => listStored().length === 1);
  });
});

describe("the publisher of origins", () => {
  it("sends origins once another version is or was in service, each to one writer", () => {
    const clock = new ManualClock(0);
    const versionHistory = new VersionHistory();
    const sent: string[] = [];
    const publisher = new OriginPublisher({
      versionHistory,
      computeStreamMs: () => STREAM_MS,
      listWriters: () => ["n1", "n2"],
      send: (_writer, { stream }) => sent.push(stream.request),
      clock,
    });
    const watch = (seconds: number, ...versions: string[]) => {
      for (let second = 0; second < seconds; second += 1) {
        clock.advance(1000);
        versionHistory.record(listEntries(...versions), clock.now());
        publisher.maintain();
      }
    };
    watch(20, "v1");
    publisher.publish(createOrigin("old"));
    watch(10, "v1");
    publisher.publish(createOrigin("r1"));
    publisher.publish({
      ...createOrigin("unknown"),
      origin: { ...createOrigin("").origin, version: undefined },
    });
    assert.deepEqual(sent, []);
    watch(7, "v1");
    watch(1, "v1", "v2");
    assert.deepEqual(sent, ["r1"], "only streams that may still run");
    watch(5, "v2");
    publisher.publish(createOrigin("r2", "v2"));
    assert.deepEqual(sent, ["r1", "r2"]);
    watch(20, "v2");
    publisher.publish(createOrigin("r3", "v2"));
    assert.deepEqual(sent, ["r1", "r2"]);
  });
});

describe("the stored origins", () => {
  const clock = new ManualClock(0);
  let stored: StoredOrigins;

  beforeEach(() => {
    clock.advance(10_000);
    const unknown = { recordStored: () => undefined };
    stored = new StoredOrigins({ log, unknown, clock, meter: new Meter(), logger: SILENT_LOGGER });
  });

  const put = (...origins: NamedOrigin[]) => log.values.push(encodeOrigins(origins));
  const find = async (request: string) => {
    const { origin, isRead } = await stored.find({ workspace: "walls", request });
    return [origin?.version, isRead];
  };

  it("are found over several pages, also where the log begins later", async () => {
    for (let index = 0; index < 9; index += 1) put(createOrigin(`r${index}`));
    log.pageSize = 2;
    log.first = 3;
    assert.deepEqual(await find("r8"), ["v1", true]);
    assert.deepEqual(await find("r3"), ["v1", true]);
    clock.advance(1000);
    assert.deepEqual(await find("r2"), [undefined, true]);
  });

  it("are read once a second at most, and kept", async () => {
    put(createOrigin("r1"));
    const both = await Promise.all([find("r1"), find("r2")]);
    assert.deepEqual(both, [
      ["v1", true],
      [undefined, true],
    ]);
    put(createOrigin("r2"));
    assert.deepEqual(await find("r2"), [undefined, false]);
    assert.equal(log.readCount, 1);
    clock.advance(1000);
    assert.deepEqual(await find("r2"), ["v1", true]);
    log.fault = DOWN;
    assert.deepEqual(await find("r1"), ["v1", true]);
    clock.advance(1000);
    assert.deepEqual(await find("r3"), [undefined, false], "the store is down");
    assert.equal(log.readCount, 3);
  });

  it("are no version where two records of a stream differ", async () => {
    put(createOrigin("r1"), createOrigin("r1", "v2"));
    assert.deepEqual(await find("r1"), [undefined, true]);
  });

  it("are read from the start again after a restore, without what can't be read", async () => {
    put(createOrigin("r1"), createOrigin("r2"));
    assert.deepEqual(await find("r1"), ["v1", true]);
    log.values = [Buffer.from("garbage"), encodeOrigins([createOrigin("r3")])];
    stored.onStoreRestored();
    clock.advance(1000);
    assert.deepEqual(await find("r3"), ["v1", true]);
    assert.deepEqual(await find("r2"), ["v1", true], "what was read stays true");
  });

  it("are read at the end of a long log only", async () => {
    for (let index = 0; index < 2000; index += 1) put(createOrigin(`r${index}`));
    log.pageSize = 100;
    assert.deepEqual(await find("r1999"), ["v1", true]);
    assert.ok(log.readCount <= 6, `${log.readCount} reads`);
  });
});
