/**
 * Fleet state of an instance: configuration lookups, the endpoint directory, order leases and the member list. Guards
 * against stale, late, unreadable or reordered records that change the state wrongly, and against two instances that
 * hold an order lease at once.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { ManualClock } from "../src/core/clock";
import { SILENT_LOGGER } from "../src/core/log";
import { FleetConfigIndex, chooseService } from "../src/fleet/config";
import { EndpointDirectory, OUTAGE_GRACE_MS } from "../src/fleet/directory";
import type { EndpointEntry } from "../src/fleet/entries";
import { OrderLeases } from "../src/fleet/orders";
import { MemberList } from "../src/fleet/members";
import type { Beat } from "../src/peer/gen/fleet";
import { createConfig, createEntry, testCodecs } from "./harness/forward";
import { MemoryOrders } from "./harness/memory";

function createDirectory(): EndpointDirectory {
  return new EndpointDirectory(testCodecs.decodeEndpoint);
}

const at = (recordOffset: number) => ({ era: 0, offset: recordOffset });

let offset = 0;
function putEntry(directory: EndpointDirectory, entry: EndpointEntry, now: number): void {
  offset += 1;
  const value = Buffer.from(JSON.stringify(entry));
  directory.apply(
    { records: [{ key: entry.id, value, position: at(offset) }], next: at(offset + 1) },
    now,
  );
}

function dropEntry(directory: EndpointDirectory, id: string, now: number): void {
  offset += 1;
  directory.apply(
    { records: [{ key: id, value: undefined, position: at(offset) }], next: at(offset + 1) },
    now,
  );
}

function listIds(directory: EndpointDirectory, now: number): readonly string[] {
  return directory
    .listUsable(now)
    .map((entry) => entry.id)
    .sort();
}

describe("an endpoint address that is used again", () => {
  it("belongs to the endpoint that started last, also while the earlier one is still listed", () => {
    const directory = createDirectory();
    putEntry(directory, createEntry("old", "a:1", { processStartedAt: 100 }), 0);
    putEntry(directory, createEntry("beside", "b:1", { processStartedAt: 100 }), 0);
    putEntry(directory, createEntry("new", "a:1", { processStartedAt: 200 }), 10);
    assert.deepEqual(listIds(directory, 20), ["beside", "new"]);
    putEntry(directory, createEntry("old", "a:1", { processStartedAt: 100, sequence: 2 }), 30);
    assert.deepEqual(listIds(directory, 40), ["beside", "new"]);
    dropEntry(directory, "new", 50);
    assert.deepEqual(listIds(directory, 60), ["beside", "old"]);
  });
});

describe("the configuration", () => {
  it("matches a path to the route of its host with the longest prefix", () => {
    const base = createConfig(1);
    const [first] = base.routes;
    assert.ok(first);
    const routes = ["/a/", "/a/b/", "/c/"].map((pathPrefix) => ({
      ...first,
      name: pathPrefix,
      pathPrefix,
    }));
    const configIndex = new FleetConfigIndex({ ...base, routes });
    assert.equal(configIndex.findRoute("TEST", "/a/b/1")?.name, "/a/b/");
    assert.equal(configIndex.findRoute("test", "/a/x")?.name, "/a/");
    assert.equal(configIndex.findRoute("test", "/a"), undefined);
    assert.equal(configIndex.findRoute("other", "/a/x"), undefined);
  });

  it("splits requests between services by weight", () => {
    const services = [
      { service: "a", weight: 90 },
      { service: "b", weight: 10 },
    ];
    fc.assert(
      fc.property(fc.double({ min: 0, max: 0.9999, noNaN: true }), (point) => {
        assert.equal(chooseService(services, point), point < 0.9 ? "a" : "b");
      }),
    );
    assert.equal(chooseService([], 0.5), undefined);
  });

  it("finds a workspace by each of its keys and by no other string", () => {
    const configIndex = new FleetConfigIndex(createConfig(1));
    assert.equal(configIndex.findWorkspace("k1")?.name, "walls");
    assert.equal(configIndex.findWorkspace("k"), undefined);
    assert.equal(configIndex.findWorkspace(""), undefined);
  });
});

describe("the endpoint directory", () => {
  it("does not list an endpoint that is leaving or dropped as usable", () => {
    const directory = createDirectory();
    putEntry(directory, createEntry("a", "x:1"), 0);
    putEntry(directory, createEntry("b", "x:2"), 0);
    putEntry(directory, createEntry("a", "x:1", { isLeaving: true, sequence: 2 }), 1);
    assert.deepEqual(listIds(directory, 2), ["b"]);
    dropEntry(directory, "b", 3);
    assert.deepEqual(listIds(directory, 4), []);
  });

  it("ignores an entry that was said earlier than the one it holds", () => {
    const directory = createDirectory();
    putEntry(directory, createEntry("a", "x:1", { isLeaving: true, sequence: 7 }), 0);
    putEntry(directory, createEntry("a", "x:1", { sequence: 6 }), 1);
    assert.deepEqual(listIds(directory, 2), []);
    putEntry(directory, createEntry("a", "x:1", { sequence: 8 }), 3);
    assert.deepEqual(listIds(directory, 4), [], "a leaving process does not return");
    putEntry(directory, createEntry("a", "x:1", { sequence: 1, processStartedAt: 2 }), 5);
    assert.deepEqual(listIds(directory, 6), ["a"], "a new process of the same id does return");
  });

  it("does not restore a dropped entry from the older record of a late writer", () => {
    const directory = createDirectory();
    putEntry(directory, createEntry("a", "x:1", { sequence: 4 }), 0);
    dropEntry(directory, "a", 1);
    putEntry(directory, createEntry("a", "x:1", { sequence: 3 }), 2);
    assert.deepEqual(listIds(directory, 3), []);
  });

  it("ignores entries that cannot be decoded", () => {
    const directory = createDirectory();
    putEntry(directory, createEntry("a", "x:1"), 0);
    offset += 1;
    const garbage = { key: "a", value: Buffer.from("{"), position: at(offset) };
    const changes = directory.apply({ records: [garbage], next: at(offset + 1) }, 1);
    assert.deepEqual(
      changes.map((change) => change.change),
      ["unreadable"],
    );
    assert.deepEqual(listIds(directory, 2), ["a"]);
  });

  it("keeps entries that were dropped around a store outage for a grace period, and then drops them", () => {
    const directory = createDirectory();
    putEntry(directory, createEntry("a", "x:1"), 0);
    putEntry(directory, createEntry("b", "x:2"), 0);
    directory.recordStoreRecovery(1000);
    dropEntry(directory, "a", 1001);
    dropEntry(directory, "b", 1001);
    assert.deepEqual(listIds(directory, 1100), ["a", "b"]);
    assert.ok(directory.isInDoubt("a"));
    putEntry(directory, createEntry("b", "x:2", { sequence: 2 }), 2000);
    assert.deepEqual(listIds(directory, 1000 + OUTAGE_GRACE_MS + 1), ["b"]);
  });

  it("excludes an endpoint whose address another one has, until it has a newer entry or for three seconds", () => {
    const directory = createDirectory();
    const entry = createEntry("a", "x:1");
    putEntry(directory, entry, 0);
    directory.markMisdirected(entry, 0);
    assert.deepEqual(listIds(directory, 1), []);
    assert.deepEqual(listIds(directory, 2999), []);
    putEntry(directory, createEntry("a", "x:1", { sequence: 2 }), 2);
    assert.deepEqual(listIds(directory, 3), ["a"]);
    directory.markMisdirected(createEntry("a", "x:1", { sequence: 2 }), 10);
    assert.deepEqual(listIds(directory, 3009), []);
    assert.deepEqual(listIds(directory, 3011), ["a"]);
  });

  it("changes where an endpoint becomes cold, also again, and not as its remaining time runs down", () => {
    const directory = createDirectory();
    const put = (sequence: number, coldRemainingMs: number, now: number) => {
      const entry = createEntry("a", "a:1", { sequence, coldRemainingMs });
      offset += 1;
      const record = { key: "a", value: Buffer.from(JSON.stringify(entry)), position: at(offset) };
      const changes = directory.apply({ records: [record], next: at(offset + 1) }, now);
      return changes.map(({ change }) => change);
    };
    assert.deepEqual(put(1, 0, 0), ["added"]);
    assert.deepEqual(put(2, 6000, 1000), ["cold"]);
    assert.equal(directory.findCold("a")?.endsAt, 7000);
    assert.deepEqual(put(3, 4800, 2250), [], "the store was 50 ms slower");
    assert.deepEqual(put(4, 0, 7100), []);
    assert.deepEqual(put(5, 6000, 9000), ["cold"]);
    dropEntry(directory, "a", 9100);
    assert.equal(directory.findCold("a")?.endsAt, 15_000, "the process may still be up");
    putEntry(directory, createEntry("a", "a:1", { processStartedAt: 9, sequence: 1 }), 9200);
    assert.ok((directory.findCold("a")?.endsAt ?? 0) <= 9200, "another process");
  });

  it("drops entries that a snapshot does not contain", () => {
    const directory = createDirectory();
    putEntry(directory, createEntry("a", "x:1"), 0);
    offset += 5;
    const value = Buffer.from(JSON.stringify(createEntry("b", "x:2")));
    directory.applySnapshot(
      { records: [{ key: "b", value, position: at(offset) }], next: at(offset + 1) },
      1,
    );
    assert.deepEqual(listIds(directory, 2), ["b"]);
  });

  it("lists the same endpoints whatever the order in which the newest records arrive", () => {
    const record = fc.record({
      id: fc.constantFrom("a", "b"),
      isDrop: fc.boolean(),
      isLeaving: fc.boolean(),
    });
    fc.assert(
      fc.property(
        fc.array(record, { maxLength: 8 }),
        fc.infiniteStream(fc.nat()),
        (steps, keys) => {
          const records = steps.map((step, index) => ({
            key: step.id,
            value: step.isDrop
              ? undefined
              : Buffer.from(
                  JSON.stringify(
                    createEntry(step.id, "x:1", { sequence: index + 1, isLeaving: step.isLeaving }),
                  ),
                ),
            position: at(index),
          }));
          const inOrder = createDirectory();
          inOrder.apply({ records, next: at(records.length) }, 0);
          const newest = new Map(records.map((item) => [item.key, item]));
          const late = createDirectory();
          const shuffled = [...newest.values()]
            .map((item) => ({ item, order: keys.next().value ?? 0 }))
            .sort((a, b) => a.order - b.order)
            .map(({ item }) => item);
          late.apply({ records: shuffled, next: at(records.length) }, 0);
          for (const id of listIds(inOrder, 1)) assert.ok(listIds(late, 1).includes(id));
        },
      ),
    );
  });
});

describe("an order lease", () => {
  const LEASE_MS = 3000;

  it("is held by one instance at a time, with increasing fencing tokens", async () => {
    const log = new MemoryOrders();
    const clock = new ManualClock(100_000);
    const create = (name: string) => new OrderLeases(name, log, LEASE_MS, clock, SILENT_LOGGER, 0);
    const first = create("a");
    const second = create("b");
    const subject = { engine: "e", stage: "decode" };
    const lease = await first.acquire(subject);
    assert.ok(lease);
    assert.ok(lease.fence > 0);
    assert.equal(
      await second.acquire(subject),
      undefined,
      "another instance waits until the lease expires",
    );
    clock.advance(1000);
    assert.ok(((await first.acquire(subject))?.fence ?? 0) > lease.fence);
    assert.equal(
      await second.acquire(subject),
      undefined,
      "and until the renewed lease expires, once it has read that",
    );
    clock.advance(LEASE_MS + 2600);
    const later = await second.acquire(subject);
    assert.ok(later && later.fence > lease.fence);
    assert.equal(await first.acquire(subject), undefined);
  });

  it("never lets instances take turns within one lease period, whatever the schedule", async () => {
    const step = fc.record({ who: fc.nat(2), waitMs: fc.nat(4000) });
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 25 }), async (steps) => {
        const log = new MemoryOrders();
        const clock = new ManualClock(0);
        clock.advance(10_000);
        const orderLeases = ["a", "b", "c"].map(
          (name) => new OrderLeases(name, log, LEASE_MS, clock, SILENT_LOGGER, 0),
        );
        let last: { who: number; at: number; fence: number } | undefined;
        for (const { who, waitMs } of steps) {
          clock.advance(waitMs);
          const lease = await orderLeases[who]?.acquire({ engine: "e", stage: "decode" });
          if (lease === undefined) continue;
          const at = clock.now();
          if (last !== undefined && last.who !== who) assert.ok(at - last.at >= LEASE_MS);
          if (last !== undefined) assert.ok(lease.fence > last.fence);
          last = { who, at, fence: lease.fence };
        }
      }),
    );
  });

  it("is stale 500 ms after its append began", async () => {
    const clock = new ManualClock(50_000);
    const leases = new OrderLeases("a", new MemoryOrders(), LEASE_MS, clock, SILENT_LOGGER, 0);
    const lease = await leases.acquire({ engine: "e", stage: "decode" });
    assert.ok(lease);
    assert.ok(lease.isFresh());
    clock.advance(500);
    assert.equal(lease.isFresh(), false);
  });

  it("cannot be acquired while the store is unavailable", async () => {
    const log = new MemoryOrders();
    log.isDown = true;
    const leases = new OrderLeases("a", log, LEASE_MS, new ManualClock(50_000), SILENT_LOGGER, 0);
    assert.equal(await leases.acquire({ engine: "e", stage: "decode" }), undefined);
  });
});

describe("the member list", () => {
  const self = { instance: "n1", incarnation: "n1/1", address: "a:1", dataCentre: "nizwa" };
  const createBeat = (instance: string): Beat => ({
    instance,
    incarnation: `${instance}/1`,
    address: `${instance}:1`,
    dataCentre: "nizwa",
    configVersion: 1,
    endpointsNext: 1,
    endpointsEra: 0,
    storeLost: false,
    engineSpeeds: [],
    endpointsChange: 0,
    refused: [],
    departures: [],
    leaving: false,
    usages: [],
    works: [],
    crashes: [],
    completions: [],
    partBans: [],
    arrivingTokens: 0,
    waiting: 0,
    absences: [],
    endpointLimits: [],
    lostEndpoints: [],
    evacuations: [],
    tellsEvacuations: true,
    evacuated: [],
    heardAddresses: [],
    coldEndpoints: [],
    pacedEndpoints: [],
  });

  it("lists members as live while their beats arrive, and counts them as missing for a while after", () => {
    const members = new MemberList(self, SILENT_LOGGER, -10_000);
    assert.equal(members.recordBeat(createBeat("n2"), 0), true);
    assert.equal(members.recordBeat(createBeat("n2"), 500), false);
    assert.deepEqual([...members.listLive(1000)].sort(), ["n1", "n2"]);
    assert.deepEqual(members.readFleetSize(1000), { heard: 2, missing: 0 });
    assert.deepEqual(members.listLive(5000), ["n1"]);
    assert.deepEqual(members.readFleetSize(5000), { heard: 1, missing: 1 });
    assert.deepEqual(members.readFleetSize(30_000), { heard: 1, missing: 0 });
  });

  it("ignores member records that cannot be decoded", () => {
    const members = new MemberList(self, SILENT_LOGGER, -10_000);
    const validValue = Buffer.from('{"address":"b:1","incarnation":"n2/1","dataCentre":"bahla"}');
    members.addRecords(
      [
        { key: "n2", value: validValue, position: at(0) },
        { key: "n3", value: Buffer.from("?"), position: at(1) },
        { key: "n4", value: undefined, position: at(2) },
      ],
      0,
    );
    assert.deepEqual(members.listAddresses(), ["b:1"]);
  });
});
