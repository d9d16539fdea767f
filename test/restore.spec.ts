/**
 * A store that comes back from a copy some seconds old: its newest records are gone, and their offsets are given out
 * again. Guards against state of an instance that goes back, endpoints that return after they left, lost membership,
 * and orders of two holders or with fencing tokens that go down.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import * as E from "fp-ts/Either";
import { ManualClock, pause } from "../src/core/clock";
import { SILENT_LOGGER } from "../src/core/log";
import { EndpointDirectory, OUTAGE_GRACE_MS } from "../src/fleet/directory";
import { OrderLeases } from "../src/fleet/orders";
import { chooseLater, isAfter } from "../src/fleet/position";
import { type OrderLog, StoreError, StoreFault } from "../src/fleet/store";
import { addEndpoint, get, port, prepareEach, readyPort, start, store } from "./harness/fixture";
import { createConfig, createEntry, startInstance, testCodecs, waitUntil } from "./harness/forward";
import { MemoryOrders, MemoryStore } from "./harness/memory";
import { writeAnswer } from "./harness/raw";

describe("a position", () => {
  it("comes after every one of an earlier era, and is ordered by offset within one", () => {
    const position = fc.record({ era: fc.nat(3), offset: fc.nat(9) }, { noNullPrototype: true });
    fc.assert(
      fc.property(position, position, (a, b) => {
        const isEqual = a.era === b.era && a.offset === b.offset;
        assert.equal(Number(isAfter(a, b)) + Number(isAfter(b, a)), isEqual ? 0 : 1);
        if (a.era > b.era) assert.ok(isAfter(a, b));
        assert.deepEqual(chooseLater(a, b), chooseLater(b, a));
      }),
    );
  });
});

describe("the endpoint directory over a restore", () => {
  const encode = (id: string, more = {}) =>
    Buffer.from(JSON.stringify(createEntry(id, `${id}:1`, more)));
  const record = (era: number, offset: number, id: string, more?: object) => ({
    key: id,
    value: more === undefined ? undefined : encode(id, more),
    position: { era, offset },
  });
  const listIds = (directory: EndpointDirectory, now: number) =>
    directory
      .listUsable(now)
      .map(({ id }) => id)
      .sort();
  const createDirectory = () => {
    const directory = new EndpointDirectory(testCodecs.decodeEndpoint);
    const records = ["a", "b", "c"].map((id, offset) => record(1, offset, id, { sequence: 5 }));
    directory.apply({ records, next: { era: 1, offset: 3 } }, 0);
    return directory;
  };

  it("does not bring back an endpoint that left, from the copy's older record", () => {
    const directory = createDirectory();
    const gone = [
      record(1, 3, "a", { sequence: 6, isLeaving: true }),
      record(1, 4, "b"),
      record(1, 5, "a"),
    ];
    directory.apply({ records: gone, next: { era: 1, offset: 6 } }, 10);
    directory.recordStoreRestore(20);
    const copy = ["a", "b", "c"].map((id, offset) => record(2, offset, id, { sequence: 5 }));
    directory.applySnapshot({ records: copy, next: { era: 2, offset: 3 } }, 21);
    assert.deepEqual(listIds(directory, 22), ["c"]);
    assert.deepEqual(directory.next, { era: 2, offset: 3 });
    const written = [record(2, 3, "b", { sequence: 6 }), record(2, 4, "a", { sequence: 7 })];
    directory.apply({ records: written, next: { era: 2, offset: 5 } }, 30);
    assert.deepEqual(listIds(directory, 31), ["b", "c"], "b lives; a is still about to leave");
  });

  it("keeps an endpoint that the copy lacks until it had time to write its entry again", () => {
    const directory = createDirectory();
    directory.recordStoreRestore(20);
    const copy = [record(2, 0, "a", { sequence: 4 })];
    directory.applySnapshot({ records: copy, next: { era: 2, offset: 1 } }, 21);
    assert.deepEqual(listIds(directory, 22), ["a", "b", "c"]);
    const written = [record(2, 1, "b", { sequence: 6 })];
    directory.apply({ records: written, next: { era: 2, offset: 2 } }, 500);
    assert.deepEqual(listIds(directory, 20 + OUTAGE_GRACE_MS + 1), ["a", "b"]);
  });

  it("takes a new record at an offset that it knows from the earlier era", () => {
    const directory = createDirectory();
    directory.recordStoreRestore(20);
    const reused = [record(2, 2, "c", { sequence: 6, isLeaving: true })];
    directory.apply({ records: reused, next: { era: 2, offset: 3 } }, 30);
    assert.deepEqual(listIds(directory, 31), ["a", "b"]);
  });

  it("tells peers which endpoints left, so that one that starts now does not use them", () => {
    const directory = createDirectory();
    const gone = [record(1, 3, "a"), record(1, 4, "b", { sequence: 6, isLeaving: true })];
    directory.apply({ records: gone, next: { era: 1, offset: 5 } }, 10);
    assert.deepEqual(directory.listAnnouncedDepartures(11), []);
    directory.recordStoreRestore(20);
    const announced = directory.listAnnouncedDepartures(21);
    const started = new EndpointDirectory(testCodecs.decodeEndpoint);
    started.applyDepartures(announced, 25);
    const copy = ["a", "b", "c"].map((id, offset) => record(2, offset, id, { sequence: 5 }));
    started.applySnapshot({ records: copy, next: { era: 2, offset: 3 } }, 30);
    assert.deepEqual(listIds(started, 31), ["c"]);
    const late = new EndpointDirectory(testCodecs.decodeEndpoint);
    late.applySnapshot({ records: copy, next: { era: 2, offset: 3 } }, 24);
    late.applyDepartures(announced, 25);
    assert.deepEqual(listIds(late, 31), ["c"], "also if it reads the copy first");
  });
});

/** The order log as one instance sees it: the first call after a restore shows the new era. */
class OrderView implements OrderLog {
  onRestored: () => void = () => undefined;
  private era: number;

  constructor(private readonly log: MemoryOrders) {
    this.era = log.era;
  }

  read: OrderLog["read"] = (from) => () => this.check(() => this.log.read(from)());

  appendAt: OrderLog["appendAt"] = (end, value) => () =>
    this.check(() => this.log.appendAt(end, value)());

  private async check<A>(call: () => Promise<E.Either<StoreError, A>>) {
    const result = await call();
    if (this.era === this.log.era) return result;
    this.era = this.log.era;
    this.onRestored();
    return E.left(new StoreError(StoreFault.restored, "restored"));
  }
}

describe("an order lease over a restore", () => {
  const LEASE_MS = 3000;
  const subject = { engine: "e", stage: "decode" };

  it("is void at once for the holder from before", async () => {
    const log = new MemoryOrders();
    const leases = new OrderLeases("a", log, LEASE_MS, new ManualClock(50_000), SILENT_LOGGER, 0);
    const lease = await leases.acquire(subject);
    assert.ok(lease);
    assert.ok(lease.isFresh());
    leases.onStoreRestored();
    assert.equal(lease.isFresh(), false);
    assert.equal(await leases.acquire(subject), undefined);
  });

  it("is not given to an instance that starts right after the record of another was lost", async () => {
    const log = new MemoryOrders();
    const clock = new ManualClock(50_000);
    const holder = new OrderLeases("a", log, LEASE_MS, clock, SILENT_LOGGER, 0);
    assert.ok(await holder.acquire(subject));
    log.restore(0);
    const started = new OrderLeases("b", log, LEASE_MS, clock, SILENT_LOGGER, clock.now());
    clock.advance(LEASE_MS);
    assert.equal(await started.acquire(subject), undefined);
    clock.advance(LEASE_MS);
    assert.ok(await started.acquire(subject));
  });

  it("never lets two holders take turns, nor a fencing token go down, whatever is lost", async () => {
    const step = fc.record({
      who: fc.nat(2),
      waitMs: fc.nat(4000),
      event: fc.constantFrom("order", "order", "order", "restore", "restart"),
      lost: fc.nat(4),
    });
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 30 }), async (steps) => {
        const log = new MemoryOrders();
        const clock = new ManualClock(10_000);
        const create = (name: string, startedAt: number) => {
          const view = new OrderView(log);
          const leases = new OrderLeases(name, view, LEASE_MS, clock, SILENT_LOGGER, startedAt);
          view.onRestored = () => {
            leases.onStoreRestored();
          };
          return leases;
        };
        const fleet = ["a", "b", "c"].map((name) => create(name, 0));
        let last: { who: number; at: number; fence: number } | undefined;
        for (const { who, waitMs, event, lost } of steps) {
          clock.advance(waitMs);
          if (event === "restore") log.restore(Math.max(0, log.records.length - lost));
          if (event === "restart") fleet[who] = create(`${who}/${clock.now()}`, clock.now());
          if (event !== "order") continue;
          const lease = await fleet[who]?.acquire(subject);
          if (lease === undefined) continue;
          const now = clock.now();
          if (last !== undefined && last.who !== who) assert.ok(now - last.at >= LEASE_MS);
          if (last !== undefined) assert.ok(lease.fence > last.fence);
          last = { who, at: now, fence: lease.fence };
        }
      }),
      { numRuns: 300 },
    );
  });
});

describe("an instance over a restore", () => {
  prepareEach();

  it("keeps its configuration, and writes its membership again", async () => {
    await addEndpoint("a", (head, socket) => {
      writeAnswer(socket, head, "done");
    });
    await start();
    const previous = createConfig(1);
    const routes = previous.routes.map((route) => ({
      ...route,
      pathPrefix: `/new${route.pathPrefix}`,
    }));
    store.putConfig(createConfig(2, { routes }));
    await waitUntil(async () => (await get(port, "/new/any/1")).status === 200);
    await waitUntil(() => store.members.records.length > 0);
    store.restore({ configuration: 1, members: store.members.records.length });
    assert.equal(store.members.records.length, 0);
    await waitUntil(() => store.members.records.some(({ key }) => key === "nizwa-1"));
    assert.equal((await get(port, "/new/any/2")).status, 200);
    assert.equal((await get(port, "/any/2")).status, 404);
    store.putConfig(createConfig(3));
    await waitUntil(async () => (await get(port, "/any/3")).status === 200);
  });

  it("does not send to an endpoint that left before it, nor does a peer that starts after it", async () => {
    const left = await addEndpoint("a", (head, socket) => {
      writeAnswer(socket, head, "from a");
    });
    await addEndpoint("b", (head, socket) => {
      writeAnswer(socket, head, "from b");
    });
    await start();
    store.endpoints.put("a", undefined);
    const sendMany = async (at: number) => {
      for (let turn = 0; turn < 10; turn += 1) {
        assert.equal((await get(at, "/any/1")).body, "from b");
        await pause(10);
      }
    };
    await pause(400);
    await sendMany(port);
    store.restore({ endpoints: 1 });
    await pause(200);
    await sendMany(port);
    const peer = await startInstance(store, "nizwa-2", { knownPeers: [`127.0.0.1:${port + 2}`] });
    await waitUntil(async () => (await get(peer.settings.ready.port, "/")).status === 200);
    await pause(700);
    await sendMany(peer.settings.callers.port);
    await peer.instance.close();
    assert.equal(left.requests.length, 0);
  });

  it("gets what the new era holds from a peer while the store is out of its own reach", async () => {
    await addEndpoint("a", (head, socket) => {
      writeAnswer(socket, head, "from a");
    });
    await start();
    const away = new MemoryStore();
    for (const feed of [away.configuration, away.endpoints, away.members]) feed.isDown = true;
    const peer = `127.0.0.1:${port + 2}`;
    const cut = await startInstance(away, "nizwa-2", { knownPeers: [peer] });
    const cutPort = cut.settings.callers.port;
    await waitUntil(async () => (await get(cutPort, "/any/1")).status === 200);
    store.restore({});
    await addEndpoint("b", (head, socket) => {
      writeAnswer(socket, head, "from b");
    });
    store.endpoints.put("a", undefined);
    await waitUntil(async () => (await get(cutPort, "/any/1")).body === "from b", 6000);
    assert.equal((await get(readyPort, "/")).status, 200);
    await cut.instance.close();
  });
});
