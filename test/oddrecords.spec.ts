/**
 * Records that other writers left in the store. Guards against one odd record that costs more than
 * itself: the rest of its page, the following of its feed, or what is said of it in the log at each read.
 */
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { MonotonicClock, pause } from "../src/core/clock";
import { type Logger, type LogFields, SILENT_LOGGER } from "../src/core/log";
import { EndpointDirectory } from "../src/fleet/directory";
import type { EndpointDecoder } from "../src/fleet/entries";
import { ReadRole } from "../src/fleet/feeds/state";
import { HistoryScan } from "../src/fleet/historyproof";
import { MemberList } from "../src/fleet/members";
import type { FeedRecord } from "../src/fleet/store";
import { type ConfigDecoder, StoreWatcher } from "../src/fleet/watcher";
import { Meter } from "../src/forward/requests";
import { createConfig, createEntry, testCodecs, waitUntil } from "./harness/forward";
import { MemoryStore } from "./harness/memory";

const ODD = Buffer.from("odd");
const LISTED = ["before", "after"];

/** A decoder in which one record shows a fault that is not known yet. */
const decodeEndpoint: EndpointDecoder = (id, value) => {
  if (value.equals(ODD)) throw new RangeError("Maximum call stack size exceeded");
  return testCodecs.decodeEndpoint(id, value);
};
const decodeConfig: ConfigDecoder = (value) => {
  if (value.equals(ODD)) throw new RangeError("Maximum call stack size exceeded");
  return testCodecs.decodeConfig(value);
};

class LineLog implements Logger {
  readonly lines: { readonly event: string; readonly fields: LogFields }[] = [];
  readonly debug = this.add.bind(this);
  readonly info = this.add.bind(this);
  readonly warn = this.add.bind(this);
  readonly error = this.add.bind(this);

  count(event: string): number {
    return this.lines.filter((line) => line.event === event).length;
  }

  private add(event: string, fields: LogFields): void {
    this.lines.push({ event, fields });
  }
}

describe("an odd record of the store", () => {
  let store: MemoryStore;
  let directory: EndpointDirectory;
  let log: LineLog;
  let meter: Meter;
  let watcher: StoreWatcher;

  beforeEach(() => {
    store = new MemoryStore();
    directory = new EndpointDirectory(decodeEndpoint);
    log = new LineLog();
    meter = new Meter();
    const policy = {
      isLargeFleet: () => false,
      readRole: () => ReadRole.reader,
      holdUntil: Number.NEGATIVE_INFINITY,
    };
    watcher = new StoreWatcher(
      store,
      directory,
      decodeConfig,
      new MonotonicClock(),
      log,
      meter,
      { configMs: 100, endpointsMs: 100 },
      policy,
      () => undefined,
    );
  });

  afterEach(() => {
    watcher.close();
  });

  const listIds = () => directory.listAll().map(({ id }) => id);

  it("among the endpoints costs itself alone, in a snapshot and in a page, and has one line", async () => {
    store.putConfig(createConfig(1));
    store.putEndpoint(createEntry("before", "127.0.0.1:1"));
    store.endpoints.put("odd", ODD);
    store.putEndpoint(createEntry("after", "127.0.0.1:2"));
    watcher.start();
    await waitUntil(() => listIds().length === 2, 1000);
    assert.deepEqual(listIds(), LISTED);
    store.endpoints.put("odd", ODD);
    store.putEndpoint(createEntry("later", "127.0.0.1:3"));
    await waitUntil(() => directory.isUsable("later"), 1000);
    store.restore({});
    store.putEndpoint(createEntry("restored", "127.0.0.1:4"));
    await waitUntil(() => directory.isUsable("restored"), 1000);
    await pause(300);
    assert.equal(log.count("task failed"), 0);
    assert.ok(log.count("record not used") <= 3, "one line a record and era");
    const text = await meter.renderMetrics();
    assert.match(text, /unusable_records_total\{topic="endpoints"\} [23]/);
  });

  it("under the key of the configuration leaves the one before in force, and the next is applied", async () => {
    store.putConfig(createConfig(1));
    store.configuration.put("config", ODD);
    store.configuration.put("evacuate/izki", Buffer.from("{}"));
    watcher.applyConfig(Buffer.from(JSON.stringify(createConfig(1))), "test");
    watcher.start();
    await waitUntil(() => watcher.evacuations.isEvacuated("izki"), 1000);
    store.putConfig(createConfig(3));
    await waitUntil(() => watcher.readConfigIndex()?.config.version === 3, 1000);
    assert.equal(log.count("task failed"), 0);
    assert.equal(log.count("record not used"), 1);
  });

  it("in the history of the endpoints proves nothing before it", () => {
    const scan = new HistoryScan(decodeEndpoint);
    const position = { era: 0, offset: 0 };
    const value = Buffer.from(JSON.stringify(createEntry("before", "127.0.0.1:1")));
    scan.add({ key: "before", value, position });
    scan.add({ key: "odd", value: ODD, position });
    assert.equal(scan.prove().coveredMs, 0);
    assert.equal(scan.prove().processes.length, 1);
  });
});

describe("an odd record among the members", () => {
  it("is ignored if its address is a megabyte, and the others are known", () => {
    const identity = { incarnation: "1", dataCentre: "nizwa" };
    const self = { ...identity, instance: "nizwa-1", address: "127.0.0.1:1" };
    const members = new MemberList(self, SILENT_LOGGER, 0);
    const addresses = ["x".repeat(1_000_000), "127.0.0.1:2"];
    const records = addresses.map((address, offset) => {
      const value = Buffer.from(JSON.stringify({ ...identity, address }));
      return { key: `nizwa-${offset + 2}`, value, position: { era: 0, offset } };
    });
    members.addRecords([{ ...records[0], key: "odd", value: ODD } as FeedRecord, ...records], 0);
    assert.deepEqual(
      members.listAddresses().map(({ length }) => length),
      ["127.0.0.1:2".length],
    );
  });
});
