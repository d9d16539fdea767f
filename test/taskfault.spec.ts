/**
 * Tasks in the background that throw an unexpected error. Guards against one error that ends the process with all
 * requests that it has accepted, and against a task that has no further turn.
 */
import assert from "node:assert/strict";
import { after, afterEach, beforeEach, describe, it } from "node:test";
import { MonotonicClock, pause } from "../src/core/clock";
import { type LogFields, SILENT_LOGGER } from "../src/core/log";
import { HeartbeatExchanger, type HeartbeatHost } from "../src/fleet/heartbeat";
import { MemberList } from "../src/fleet/members";
import { type FleetHandler, GrpcFleetTransport, startFleetServer } from "../src/fleet/transport";
import { QuotaCharger } from "../src/forward/shared/charges";
import { ForwardInstance } from "../src/forward/instance";
import { createOutcomeReporter } from "../src/forward/limitparts";
import { Meter } from "../src/forward/requests/meter";
import { StreamOrigins } from "../src/forward/shared/origins";
import { Quotas } from "../src/forward/shared/quota";
import { StageRebalancer, type StageRebalancerParts } from "../src/forward/engines/rebalancer";
import { SharedOrigins } from "../src/forward/shared/sharedorigins";
import { type StatusParts, StatusServers } from "../src/forward/status";
import { Beat, FetchRequest } from "../src/peer/gen/fleet";
import { get } from "./harness/fixture";
import {
  createConfig,
  createEntry,
  createSettings,
  testCodecs,
  waitUntil,
} from "./harness/forward";
import { MemoryFeed, MemoryStore } from "./harness/memory";
import { allocatePort } from "./harness/ports";

const FAULT = "a fault of the task";

/** Number of errors that were thrown in the running test. */
let thrown = 0;

/** Throws on its first call, and does as before after it. */
function failOnce<A extends readonly unknown[], R>(call: (...args: A) => R): (...args: A) => R {
  let hasFailed = false;
  return (...args) => {
    if (hasFailed) return call(...args);
    hasFailed = true;
    thrown += 1;
    throw new Error(FAULT);
  };
}

/** A feed whose first read or write throws. */
function createFaultyFeed(method: "readNewest" | "read" | "append"): MemoryFeed {
  const feed = new MemoryFeed();
  if (method === "append") feed.append = failOnce(feed.append);
  else if (method === "read") feed.read = failOnce(feed.read);
  else feed.readNewest = failOnce(feed.readNewest);
  return feed;
}

class FaultyStore extends MemoryStore {
  override readonly configuration: MemoryFeed;
  override readonly endpoints: MemoryFeed;
  override readonly members: MemoryFeed;

  constructor(feeds: Partial<Pick<MemoryStore, "configuration" | "endpoints" | "members">>) {
    super();
    this.configuration = feeds.configuration ?? new MemoryFeed();
    this.endpoints = feeds.endpoints ?? new MemoryFeed();
    this.members = feeds.members ?? new MemoryFeed();
  }
}

const rejections: unknown[] = [];
const errors: LogFields[] = [];
const logger = {
  ...SILENT_LOGGER,
  error: (_event: string, fields: LogFields) => void errors.push(fields),
};

function onRejection(error: unknown): void {
  rejections.push(error);
}

beforeEach(() => {
  thrown = 0;
  rejections.length = 0;
  errors.length = 0;
  process.on("unhandledRejection", onRejection);
});

after(() => {
  setTimeout(() => process.exit(), 500).unref();
});

afterEach(() => {
  process.off("unhandledRejection", onRejection);
});

describe("an instance whose first call of the store throws", () => {
  const stores: readonly (readonly [string, () => MemoryStore])[] = [
    ["the configuration", () => new FaultyStore({ configuration: createFaultyFeed("readNewest") })],
    ["a new configuration", () => new FaultyStore({ configuration: createFaultyFeed("read") })],
    ["the endpoints", () => new FaultyStore({ endpoints: createFaultyFeed("readNewest") })],
    ["new endpoints", () => new FaultyStore({ endpoints: createFaultyFeed("read") })],
    ["the members", () => new FaultyStore({ members: createFaultyFeed("readNewest") })],
    ["its own record", () => new FaultyStore({ members: createFaultyFeed("append") })],
  ];

  for (const [what, createStore] of stores) {
    it(`goes on after a fault with ${what}`, async () => {
      const store = createStore();
      store.putConfig(createConfig(1));
      store.putEndpoint(createEntry("s1", "127.0.0.1:1"));
      const settings = createSettings("nizwa-1");
      const instance = new ForwardInstance(settings, { store, ...testCodecs });
      await instance.start();
      const isReady = async () => (await get(settings.ready.port, "/")).status === 200;
      await waitUntil(async () => (await isReady()) && store.members.records.length > 0);
      store.putConfig(createConfig(2, { routes: [] }));
      await waitUntil(async () => (await get(settings.callers.port, "/any/1")).status === 404);
      await waitUntil(() => thrown > 0);
      await pause(20);
      assert.deepEqual(rejections, []);
      void instance.close();
    });
  }
});

const SELF = { instance: "n1", incarnation: "n1/1", address: "n1:1", dataCentre: "nizwa" };
const CLOCK = new MonotonicClock();

describe("a task of an instance whose turn throws", () => {
  const createHeartbeats = (host: Partial<HeartbeatHost>, fetch: () => Promise<undefined>) => {
    const members = new MemberList(SELF, SILENT_LOGGER, CLOCK.now());
    members.addAddress("n2:1", undefined, CLOCK.now());
    const peer = { ...SELF, instance: "n2", incarnation: "n2/1", address: "n2:1" };
    const reply = Beat.fromPartial(peer);
    const transport = {
      exchange: () => Promise.resolve(reply),
      fetch,
      close: () => undefined,
    };
    const complete: HeartbeatHost = {
      createBeatContent: () => Beat.fromPartial({}),
      handleBeat: () => undefined,
      shouldFetch: () => true,
      createFetchRequest: () => FetchRequest.fromPartial({}),
      handleFetchReply: () => undefined,
      ...host,
    };
    return new HeartbeatExchanger(SELF, members, transport, complete, CLOCK, logger);
  };

  const exchangeTwice = async (heartbeats: HeartbeatExchanger) => {
    for (const turn of [1, 2]) {
      heartbeats.sendHeartbeats();
      await pause(5 * turn);
    }
  };

  it("sends the next heartbeat after a fault with a reply", async () => {
    let replies = 0;
    const handleBeat = () => {
      replies += 1;
      throw new Error(FAULT);
    };
    await exchangeTwice(createHeartbeats({ handleBeat }, () => Promise.resolve(undefined)));
    assert.deepEqual([replies, rejections, errors.length], [2, [], 2]);
  });

  it("goes on with heartbeats after a fault of one", async () => {
    let beats = 0;
    const createBeatContent = () => {
      beats += 1;
      if (beats === 2) throw new Error(FAULT);
      return Beat.fromPartial({});
    };
    const heartbeats = createHeartbeats({ createBeatContent }, () => Promise.resolve(undefined));
    heartbeats.start();
    await pause(1250);
    heartbeats.close();
    assert.ok(beats > 2, `${beats} beats`);
    assert.deepEqual([rejections, errors.length], [[], 1]);
  });

  it("reports outcomes of sends again after a fault of a report", async () => {
    let reports = 0;
    const flush = () => {
      reports += 1;
      return Promise.reject(new Error(FAULT));
    };
    const report = createOutcomeReporter(flush, logger);
    for (const turn of [1, 2]) {
      report();
      await pause(300 * turn);
    }
    assert.deepEqual([reports, rejections, errors.length], [2, [], 2]);
  });

  it("fetches again after a fault of a fetch", async () => {
    let fetches = 0;
    const fetch = () => {
      fetches += 1;
      return Promise.reject(new Error(FAULT));
    };
    await exchangeTwice(createHeartbeats({}, fetch));
    assert.deepEqual([fetches, rejections, errors.length], [2, [], 2]);
  });

  it("checks the stages again after a fault of a check", async () => {
    let checks = 0;
    const engine = createConfig(1).services[1]?.engine;
    const service = { name: "models", healthPath: "/", maxConnections: 1, engine };
    const rebalancer = new StageRebalancer({
      instance: "n1",
      listLive: () => ["n1"],
      listServices: () => [service],
      readStageLoad: () => {
        checks += 1;
        throw new Error(FAULT);
      },
      clock: CLOCK,
      logger,
    } as unknown as StageRebalancerParts);
    await rebalancer.checkStages();
    await rebalancer.checkStages();
    assert.deepEqual([checks, errors.length], [2, 2]);
  });

  it("answers a scrape whose metrics can't be rendered", async () => {
    const at = { host: "127.0.0.1", port: allocatePort() };
    const meter = new Meter();
    meter.renderMetrics = () => Promise.reject(new Error(FAULT));
    const parts = { clock: CLOCK, logger, meter, isStopping: () => false };
    const servers = new StatusServers(parts as unknown as StatusParts);
    await servers.listen({ host: "127.0.0.1", port: allocatePort() }, at);
    const answer = await Promise.race([get(at.port, "/"), pause(500)]);
    servers.close();
    assert.deepEqual([answer?.status, rejections], [500, []]);
  });

  it("decides requests of the same workspace after a fault of a charge", async () => {
    const size = () => ({ heard: 2, missing: 0 });
    const charger = new QuotaCharger({
      instance: "n1",
      quotas: new Quotas({ ratio: 0, slack: 9500, windowMs: 8000 }, size, 0),
      transport: { charge: () => Promise.reject(new Error(FAULT)) },
      clock: CLOCK,
      logger,
      listLive: () => ["n2"],
    });
    const limit = { perSecond: 1000, burst: 1_000_000 };
    const admit = () => Promise.race([charger.admit("walls", limit, 1), pause(300)]);
    const decisions = await Promise.all([admit(), admit()]);
    assert.deepEqual(
      decisions.map((decision) => decision?.isAdmitted),
      [true, true],
    );
    assert.deepEqual(rejections, []);
  });

  it("sends origins of streams after a fault of a message", async () => {
    let messages = 0;
    const shared = new SharedOrigins({
      instance: "n1",
      origins: new StreamOrigins(),
      transport: {
        remember: () => {
          messages += 1;
          return Promise.reject(new Error(FAULT));
        },
        recall: () => Promise.resolve(undefined),
      },
      publish: () => undefined,
      publishUnknown: () => undefined,
      listMembers: () => ["n1", "n2"].map((instance) => ({ instance, dataCentre: "nizwa" })),
      clock: CLOCK,
      logger,
    });
    const origin = {
      service: "models",
      version: "v1",
      endpoint: "d1",
      processStartedAt: 1,
      beganAt: 1,
    };
    for (const request of ["r1", "r2"]) {
      shared.record({ stream: { workspace: "", request }, origin });
      await pause(5);
    }
    assert.deepEqual([messages, rejections], [2, []]);
  });
});

describe("a call of a peer whose handling throws", () => {
  it("fails alone: the next one is answered", async () => {
    const address = `127.0.0.1:${allocatePort()}`;
    const faults: unknown[] = [];
    const onException = (error: unknown) => void faults.push(error);
    process.on("uncaughtException", onException);
    const reply = Beat.fromPartial(SELF);
    const handler = { onBeat: failOnce(() => reply) } as unknown as FleetHandler;
    const server = await startFleetServer(address, handler);
    const transport = new GrpcFleetTransport();
    const first = await transport.exchange(address, reply, 300);
    const second = await transport.exchange(address, reply, 300);
    process.off("uncaughtException", onException);
    transport.close();
    await server.close();
    assert.deepEqual([first, second?.instance, faults], [undefined, "n1", []]);
  });
});
