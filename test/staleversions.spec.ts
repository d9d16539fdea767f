/**
 * Streams that are taken up at an instance that was out of step while a new version joined. Guards against a version
 * that is taken for the only one by a copy of the list from before the request.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { beforeEach, describe, it } from "node:test";
import { pause } from "../src/core/clock";
import { EngineStage, type EndpointEntry } from "../src/fleet/entries";
import { encodeOrigins } from "../src/forward/shared/originpeer";
import { get } from "./harness/fixture";
import { createConfig, createEntry, waitUntil } from "./harness/forward";
import { startInstances } from "./harness/instances";
import { MemoryStore } from "./harness/memory";
import { RawEndpoint } from "./harness/raw";
import { SERVICE, WatchingInstance } from "./harness/watching";

const RETRY_MS = 300;

let instance: WatchingInstance;

beforeEach(() => {
  instance = new WatchingInstance();
  instance.put("d1", "v1");
  instance.watch(20);
});

/** Callers take streams up, one 5 ms after the other. */
async function takeUpMany(count: number) {
  const startedAt = performance.now();
  const takeUps: ReturnType<WatchingInstance["takeUp"]>[] = [];
  for (let index = 0; index < count; index += 1) {
    instance.clock.advance(5);
    takeUps.push(instance.takeUp());
    await pause(5);
  }
  const taken = await Promise.all(takeUps);
  return { taken, elapsedMs: Math.round(performance.now() - startedAt) };
}

describe("a stream that is taken up where the list was last seen before the request", () => {
  for (const recalled of [undefined, { origin: undefined }]) {
    const peers = recalled === undefined ? "silent" : "without the origin";
    for (const ageMs of [500, 2900]) {
      it(`is not joined with the older version if a newer one joined, ${ageMs} ms later, peers ${peers}`, async () => {
        instance.recalled = recalled;
        instance.put("e1", "v2");
        instance.clock.advance(ageMs);
        assert.notEqual(await instance.takeUp(), "v1");
      });
    }
  }

  it("goes on at the only version after an odd entry was removed", async () => {
    instance.feed.put("odd", Buffer.from("{"));
    instance.watch(1);
    instance.feed.put("odd", undefined);
    instance.watch(1);
    assert.equal(await instance.takeUp(), "v1");
  });

  it("is not joined with the older version if a newer one has come and gone", async () => {
    instance.put("e1", "v2");
    instance.feed.put("e1", undefined);
    instance.clock.advance(500);
    assert.notEqual(await instance.takeUp(), "v1");
  });

  for (const isLeaving of [true, false]) {
    const how = isLeaving ? "leaves" : "was removed";
    for (const endpoint of ["e1", "d1"]) {
      it(`is not joined with the older version if the newer one at ${endpoint} ${how} by a peer's word before its entry is read`, async () => {
        const { directory, clock } = instance;
        instance.put(endpoint, "v2", 2);
        directory.applyDepartures(
          [{ endpoint, processStartedAt: 2, sequence: 9, isLeaving }],
          clock.now(),
        );
        instance.watch(1);
        instance.observe();
        instance.clock.advance(500);
        assert.equal((await instance.takeUp())[0], 503);
      });
    }
  }

  it("is not joined with the older version if a peer's list holds only the removal of the newer one", async () => {
    const { directory, feed, clock } = instance;
    instance.put("e1", "v2");
    feed.put("e1", undefined);
    directory.apply({ records: feed.records.slice(-1), next: feed.next }, clock.now());
    instance.watch(1);
    assert.equal((await instance.takeUp())[0], 503);
  });

  for (const isSnapshot of [true, false]) {
    const source = isSnapshot ? "a snapshot" : "a peer";
    it(`is not joined with the older version if a newer one came and went between lists of ${source}`, async () => {
      instance.put("e1", "v2");
      instance.feed.put("e1", undefined);
      instance.clock.advance(1000);
      instance.copyList(isSnapshot);
      instance.clock.advance(500);
      assert.equal((await instance.takeUp())[0], 503);
    });

    it(`is not joined with the older version if an id was of a newer one between lists of ${source}`, async () => {
      instance.put("d1", "v2", 2);
      instance.put("d1", "v1", 3);
      instance.clock.advance(1000);
      instance.copyList(isSnapshot);
      instance.clock.advance(500);
      assert.equal((await instance.takeUp())[0], 503);
    });
  }

  it("is not joined with the older version if the records between lists are trimmed", async () => {
    instance.put("d1", "v2", 2);
    instance.put("d1", "v1", 3);
    instance.feed.first = instance.feed.next.offset;
    instance.copyList(false);
    assert.equal((await instance.takeUp())[0], 503);
    assert.equal(instance.versionHistory.computeWatchedMs(instance.clock.now()), 0);
  });

  it("has the records since the last own read counted once", async () => {
    instance.put("d1", "v1");
    instance.copyList(false);
    const hole = instance.feed.next.offset - 1;
    assert.equal(await instance.takeUp(), "v1");
    assert.equal(instance.feed.readFrom, hole, "from the hole on");
    instance.put("d1", "v1");
    instance.watch(1);
    instance.clock.advance(60);
    assert.equal(await instance.takeUp(), "v1");
    assert.equal(instance.feed.readFrom, hole + 2, "from the last own read on");
  });

  it("is not joined with the older version if the newer one is on a later page", async () => {
    instance.feed.pageSize = 2;
    for (let entry = 0; entry < 5; entry += 1) instance.put("d1", "v1");
    instance.put("e1", "v2");
    assert.notEqual(await instance.takeUp(), "v1");
  });

  it("is not joined by a read of the list that began before the request", async () => {
    instance.feed.isHeld = true;
    const first = instance.takeUp();
    await new Promise(setImmediate);
    instance.clock.advance(10);
    instance.put("e1", "v2");
    const second = instance.takeUp();
    await new Promise(setImmediate);
    instance.feed.release();
    assert.equal(await first, "v1");
    assert.notEqual(await second, "v1");
  });

  it("goes on if the list shows no other version, by one read for all who come at once", async () => {
    instance.clock.advance(900);
    const versions = await Promise.all(Array.from({ length: 20 }, () => instance.takeUp()));
    assert.deepEqual([...new Set(versions)], ["v1"]);
    assert.equal(instance.feed.readCount, 1);
  });

  for (const fault of ["isDown", "isHeld"] as const) {
    it(`is refused as not run, with a short pause, if the store can't be read (${fault})`, async () => {
      instance.feed[fault] = true;
      const startedAt = performance.now();
      assert.deepEqual(await instance.takeUp(), [503, RETRY_MS]);
      assert.ok(performance.now() - startedAt < 400, "refused in time");
      assert.match(await instance.meter.renderMetrics(), /take_ups_unconfirmed_total\{[^}]*\} 1/);
      instance.feed[fault] = false;
      instance.feed.release();
      instance.clock.advance(RETRY_MS);
      assert.equal(await instance.takeUp(), "v1");
    });
  }

  it("has the store read no more than every 50 ms while callers take streams up", async () => {
    const { elapsedMs, taken } = await takeUpMany(100);
    assert.deepEqual([...new Set(taken)], ["v1"]);
    const { readCount } = instance.feed;
    assert.ok(readCount <= elapsedMs / 50 + 2, `${readCount} reads in ${elapsedMs} ms`);
  });

  it("has a store that refuses to be read asked again only after the pause that callers are told", async () => {
    instance.feed.isDown = true;
    const { taken } = await takeUpMany(50);
    assert.deepEqual(taken[0], [503, RETRY_MS]);
    assert.equal(instance.feed.readCount, 1);
    instance.clock.advance(RETRY_MS);
    const startedAt = performance.now();
    assert.deepEqual(await instance.takeUp(), [503, RETRY_MS]);
    assert.deepEqual(await instance.takeUp(), [503, RETRY_MS]);
    assert.ok(performance.now() - startedAt < 140, "refused at once");
    assert.equal(instance.feed.readCount, 2);
  });

  it("is refused if the store was restored since the list was seen", async () => {
    instance.feed.restore(1);
    assert.deepEqual(await instance.takeUp(), [503, RETRY_MS]);
    instance.directory.recordStoreRestore(instance.clock.now());
    instance.watch(3);
    assert.equal((await instance.takeUp())[0], 503, "what was seen before proves nothing");
  });

  it("is refused if its stored origin can't be compared with the list of now", async () => {
    instance.put("e1", "v2");
    instance.watch(1);
    instance.log.values.push(encodeOrigins([instance.createOrigin("d1", "v1")]));
    instance.put("d1", "v2", instance.clock.now() - 100);
    instance.clock.advance(500);
    instance.feed.isDown = true;
    assert.deepEqual(await instance.takeUp(), [503, RETRY_MS]);
    instance.feed.isDown = false;
    instance.clock.advance(1000);
    assert.equal((await instance.takeUp())[0], 503, "another process may have begun it");
  });

  it("is refused if its engine's entry, read last before the stream began, was of another version then", async () => {
    instance.clock.advance(500);
    instance.recalled = instance.createOrigin("d1", "v1");
    instance.put("d1", "v2", instance.clock.now() - 100);
    instance.clock.advance(1000);
    assert.equal((await instance.takeUp())[0], 503);
  });

  it("goes on by an origin that a peer knows, without a read if the list is younger than the stream", async () => {
    instance.recalled = instance.createOrigin("d1", "v1");
    instance.watch(1);
    assert.equal(await instance.takeUp(), "v1");
    assert.equal(instance.feed.readCount, 0);
    instance.recalled = instance.createOrigin("d1", "v1");
    instance.feed.isDown = true;
    instance.clock.advance(1000);
    assert.equal(await instance.takeUp(), "v1", "the store may be down for long");
  });
});

const event = (id: number) => `id: ${id}\ndata: t${id}\n\n`;
const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const isRun = (head: string) => head.includes("x-task: run");

/** Goes on with a stream until its connection ends. */
function writeOn(socket: Socket, open: Socket[]): void {
  open.push(socket);
  let last = 1;
  const timer = setInterval(() => socket.write(chunk(event((last += 1)))), 100);
  socket.on("close", () => {
    clearInterval(timer);
  });
}

/** An engine that grants holds; it goes on with streams that it begins, and ends those that it takes up. */
function createEngine(open: Socket[]): RawEndpoint {
  return new RawEndpoint((head, socket) => {
    if (!isRun(head)) {
      socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nh1");
      return;
    }
    const id = /x-id: (\S+)/i.exec(head)?.[1] ?? "";
    const after = /x-after: (\d+)/i.exec(head)?.[1];
    const from = Number(after ?? "0");
    socket.write(
      `HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-type: text/event-stream\r\n` +
        "transfer-encoding: chunked\r\n\r\n",
    );
    socket.write(chunk(event(from + 1)));
    if (after === undefined) writeOn(socket, open);
    else socket.write("0\r\n\r\n");
  });
}

const STALE_CASES = ["v2", "v1"].flatMap((version) =>
  [2600, 800].map((heldMs) => ({ version, heldMs })),
);

describe("a stream that breaks at an instance whose list is old", () => {
  for (const { version, heldMs } of STALE_CASES) {
    const outcome = version === "v1" ? "goes on at it" : "is not joined with what it writes";
    it(`${outcome} if another engine's process was replaced by one of ${version}, no read for ${heldMs} ms`, async (t) => {
      const store = new MemoryStore();
      store.putConfig(createConfig(1));
      const open: Socket[] = [];
      const engines = new Map(["d1", "d2"].map((id) => [id, createEngine(open)]));
      for (const engine of engines.values()) await engine.listen();
      const put = (id: string, more: Partial<EndpointEntry>) => {
        const address = engines.get(id)?.address ?? "";
        const stage = EngineStage.decode;
        store.putEndpoint(createEntry(id, address, { service: SERVICE, stage, ...more }));
      };
      for (const id of engines.keys()) put(id, {});
      const instances = await startInstances(store, 1);
      t.after(async () => {
        await instances.close();
        for (const engine of engines.values()) engine.close();
      });
      const answer = get(instances.ports[0] ?? 0, "/summary/s1", { "x-id": "s1" });
      await waitUntil(() => open.length === 1);
      const other = engines.get("d1")?.requests.some(isRun) === true ? "d2" : "d1";
      if (heldMs < 1000) await pause(1000);
      holdNextRead(store);
      await pause(heldMs);
      put(other, { version, processStartedAt: 2 });
      engines.get(other === "d1" ? "d2" : "d1")?.close();
      const { isComplete } = await answer;
      const takenUp = engines.get(other)?.requests.filter(isRun).length;
      assert.deepEqual([takenUp, isComplete], version === "v1" ? [1, true] : [0, false]);
    });
  }
});

/** The next read of the list, an instance's own, gets no answer; those that others begin do. */
function holdNextRead({ endpoints }: MemoryStore): void {
  const { read } = endpoints;
  endpoints.read = () => {
    endpoints.read = read;
    return () => new Promise(() => undefined);
  };
}
