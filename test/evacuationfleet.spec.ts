/**
 * Evacuations in a fleet whose instances can or cannot read the store. Guards against an evacuation that was
 * acknowledged and is not in force everywhere in time, and against an instance that starts without it.
 */
import assert from "node:assert/strict";
import { after, afterEach, beforeEach, describe, it } from "node:test";
import * as E from "fp-ts/Either";
import { pause } from "../src/core/clock";
import { type FeedPage, StoreError, StoreFault } from "../src/fleet/store";
import type { ForwardInstance } from "../src/forward/instance";
import { get } from "./harness/fixture";
import { createConfig, createEntry, startInstance, waitUntil } from "./harness/forward";
import { MemoryFeed, MemoryStore } from "./harness/memory";
import { RawEndpoint, writeAnswer } from "./harness/raw";

/** Time within which an evacuation must be in force, in milliseconds. */
const BOUND_MS = 2400;
/** Time in which a fleet has settled on its readers, in milliseconds. */
const SETTLED_MS = 1500;

type FeedResult = E.Either<StoreError, FeedPage>;

/** The feed of another store, as one instance reaches it. */
class FeedView extends MemoryFeed {
  reads = 0;
  /** True while calls get no answer. */
  isSilent = false;

  constructor(private readonly feed: MemoryFeed) {
    super();
  }

  override readNewest: MemoryFeed["readNewest"] = () => this.call(() => this.feed.readNewest()());

  override read: MemoryFeed["read"] = (from, waitMs) =>
    this.call(() => this.feed.read(from, waitMs)());

  private call(run: () => Promise<FeedResult>): () => Promise<FeedResult> {
    return async () => {
      this.reads += 1;
      if (this.isDown) return E.left(new StoreError(StoreFault.refused, "down"));
      const result = await run();
      while (this.isSilent) await pause(20);
      return result;
    };
  }
}

/** A store as one instance reaches it. */
class StoreView extends MemoryStore {
  override readonly configuration: FeedView;
  override readonly endpoints: FeedView;

  constructor(store: MemoryStore) {
    super();
    this.configuration = new FeedView(store.configuration);
    this.endpoints = new FeedView(store.endpoints);
  }

  setDown(isDown: boolean): void {
    for (const feed of [this.configuration, this.endpoints, this.members]) feed.isDown = isDown;
  }

  setSilent(isSilent: boolean): void {
    this.configuration.isSilent = isSilent;
    this.endpoints.isSilent = isSilent;
  }
}

interface Running {
  readonly instance: ForwardInstance;
  readonly view: StoreView;
  readonly port: number;
  readonly peerAddress: string;
}

let store: MemoryStore;
let running: Running[] = [];
let endpoints: RawEndpoint[] = [];

beforeEach(async () => {
  store = new MemoryStore();
  running = [];
  endpoints = [];
  store.putConfig(createConfig(1));
  for (const dataCentre of ["nizwa", "izki"]) {
    const endpoint = new RawEndpoint((head, socket) => {
      writeAnswer(socket, head, dataCentre);
    });
    endpoints.push(endpoint);
    store.putEndpoint(createEntry(dataCentre, await endpoint.listen(), { dataCentre }));
  }
});

afterEach(async () => {
  await Promise.all(running.map(({ instance }) => instance.close()));
  for (const endpoint of endpoints) endpoint.close();
});

after(() => {
  setTimeout(() => process.exit(), 500).unref();
});

async function startOne(name: string, isCutOff = false): Promise<Running> {
  const view = new StoreView(store);
  view.setDown(isCutOff);
  const { instance, settings } = await startInstance(view, name, {
    drainMs: BOUND_MS,
    configApplyMs: BOUND_MS,
    evacuationMs: BOUND_MS,
    knownPeers: running.map(({ peerAddress }) => peerAddress),
  });
  const { callers, peers, ready } = settings;
  const peerAddress = `${peers.host}:${peers.port}`;
  const one = { instance, view, port: callers.port, peerAddress };
  running.push(one);
  await waitUntil(async () => (await get(ready.port, "/")).status === 200);
  return one;
}

const evacuate = () => {
  store.configuration.put("evacuate/nizwa", Buffer.from("{}"));
};

async function isInForce({ port }: Running): Promise<boolean> {
  return (await get(port, "/any/1")).body === "izki";
}

/** Waits until the evacuation is in force at all instances; returns how long that took, in milliseconds. */
async function measureUntilInForce(instances = running): Promise<number> {
  const startedAt = performance.now();
  await Promise.all(instances.map((each) => waitUntil(() => isInForce(each), 6000)));
  return performance.now() - startedAt;
}

/** Finds the instances that read the store, by the reads of one and a half seconds. */
async function listReaders(): Promise<readonly Running[]> {
  const earlier = running.map(({ view }) => view.endpoints.reads);
  await pause(SETTLED_MS);
  return running.filter(({ view }, at) => view.endpoints.reads > (earlier[at] ?? 0));
}

async function startFleet(): Promise<void> {
  for (const index of [1, 2, 3, 4]) await startOne(`nizwa-${index}`);
  for (const each of running) assert.equal((await get(each.port, "/any/1")).body, "nizwa");
  await pause(SETTLED_MS);
}

describe("an evacuation in a fleet", () => {
  it("is in force at once at all instances, of which few read the store", async () => {
    await startFleet();
    evacuate();
    const tookMs = await measureUntilInForce();
    assert.ok(tookMs < 1000, `${tookMs} ms`);
  });

  it("is in force in time if the readers get no answer any more", async () => {
    await startFleet();
    const readers = await listReaders();
    for (const { view } of readers) view.setSilent(true);
    evacuate();
    const tookMs = await measureUntilInForce();
    for (const { view } of readers) view.setSilent(false);
    assert.ok(tookMs < BOUND_MS, `${tookMs} ms`);
  });

  it("is in force in time if both readers stop", async () => {
    await startFleet();
    const readers = await listReaders();
    running = running.filter((each) => !readers.includes(each));
    const stopped = readers.map(({ instance }) => instance.close());
    evacuate();
    const tookMs = await measureUntilInForce();
    await Promise.all(stopped);
    assert.ok(tookMs < BOUND_MS, `${tookMs} ms`);
  });

  it("is in force in time once the store is back that was lost after it acknowledged", async () => {
    await startFleet();
    for (const { view } of running) view.setDown(true);
    evacuate();
    await pause(SETTLED_MS);
    for (const { view } of running) view.setDown(false);
    const tookMs = await measureUntilInForce();
    assert.ok(tookMs < BOUND_MS, `${tookMs} ms`);
  });

  it("is known to an instance that starts while the store is out of its reach", async () => {
    await startOne("nizwa-1");
    evacuate();
    await measureUntilInForce();
    const before = endpoints[0]?.requests.length;
    const started = await startOne("nizwa-2", true);
    for (let turn = 0; turn < 5; turn += 1) assert.ok(await isInForce(started));
    assert.equal(endpoints[0]?.requests.length, before);
  });

  it("is known to an instance that starts alone, with its first configuration", async () => {
    evacuate();
    const started = await startOne("nizwa-1");
    for (let turn = 0; turn < 5; turn += 1) assert.ok(await isInForce(started));
    assert.equal(endpoints[0]?.requests.length, 0);
  });

  it("ends everywhere when it is withdrawn, also where the store is out of reach", async () => {
    await startOne("nizwa-1");
    evacuate();
    await measureUntilInForce();
    const cutOff = await startOne("nizwa-2", true);
    assert.ok(await isInForce(cutOff));
    store.configuration.put("evacuate/nizwa", undefined);
    await Promise.all(
      running.map((each) => waitUntil(async () => !(await isInForce(each)), BOUND_MS)),
    );
  });

  it("outlasts a store that was restored from a copy without it, and the restart of an instance", async () => {
    await startFleet();
    evacuate();
    await measureUntilInForce();
    store.restore({ configuration: 1 });
    for (const { view } of running) view.restore({});
    await pause(SETTLED_MS);
    const before = endpoints[0]?.requests.length;
    const started = await startOne("nizwa-5", true);
    for (const each of [...running, started]) assert.ok(await isInForce(each));
    assert.equal(endpoints[0]?.requests.length, before);
  });
});
