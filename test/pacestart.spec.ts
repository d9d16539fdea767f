/**
 * Endpoints that start, through real instances. Guards against a new endpoint that is slow and gets as much as the
 * others before its answers show it, and against a limit on its pace that stays.
 */
import assert from "node:assert/strict";
import { after, afterEach, beforeEach, describe, it } from "node:test";
import { pause } from "../src/core/clock";
import { createConfig, createEntry } from "./harness/forward";
import { get, type ReceivedResponse } from "./harness/fixture";
import { type RunningInstances, startInstances } from "./harness/instances";
import { MemoryStore } from "./harness/memory";
import { RawEndpoint, writeAnswer } from "./harness/raw";

const INSTANCES = 3;
/** Endpoints that an instance sees in its first five seconds may be old. */
const SETTLE_MS = 5200;
const SLOW_MS = 300;

let store: MemoryStore;
let instances: RunningInstances | undefined;
let endpoints: RawEndpoint[] = [];

interface TestEndpoint {
  arrivals: number;
  mostOpen: number;
}

async function addEndpoint(id: string, answerMs: number): Promise<TestEndpoint> {
  const counts = { arrivals: 0, mostOpen: 0 };
  let open = 0;
  const endpoint = new RawEndpoint((head, socket) => {
    counts.arrivals += 1;
    open += 1;
    counts.mostOpen = Math.max(counts.mostOpen, open);
    setTimeout(() => {
      open -= 1;
      writeAnswer(socket, head, id);
    }, answerMs);
  });
  endpoints.push(endpoint);
  store.putEndpoint(createEntry(id, await endpoint.listen()));
  return counts;
}

async function sendFor(ms: number): Promise<readonly ReceivedResponse[]> {
  const ports = instances?.ports ?? [];
  const sent: Promise<ReceivedResponse>[] = [];
  const end = performance.now() + ms;
  while (performance.now() < end) {
    sent.push(get(ports[sent.length % ports.length] ?? 0, "/any/1"));
    await pause(8);
  }
  return Promise.all(sent);
}

async function startFleet(isPaced: boolean): Promise<void> {
  instances = await startInstances(store, INSTANCES, { pace: isPaced });
  await sendFor(1500);
  await pause(SETTLE_MS - 2500);
}

describe("an endpoint that starts", () => {
  beforeEach(async () => {
    store = new MemoryStore();
    store.putConfig(createConfig(1));
    instances = undefined;
    endpoints = [];
    for (const id of ["a", "b"]) await addEndpoint(id, 20);
  });

  afterEach(async () => {
    await instances?.close();
    for (const endpoint of endpoints) endpoint.close();
  });

  after(() => {
    setTimeout(() => process.exit(), 500).unref();
  });

  it("slow gets few requests at a time, and the others serve the rest", async () => {
    await startFleet(true);
    const started = await addEndpoint("c", SLOW_MS);
    const responses = await sendFor(3000);
    assert.ok(responses.every(({ status }) => status === 200));
    assert.ok(started.mostOpen <= 2, `${started.mostOpen} at a time`);
    assert.ok(started.arrivals >= 1, "it is asked now and then");
    assert.ok(started.arrivals <= 20, `${started.arrivals} in 3 s`);
  });

  it("healthy gets its part soon", async () => {
    await startFleet(true);
    const started = await addEndpoint("c", 20);
    await sendFor(2000);
    const from = started.arrivals;
    const responses = await sendFor(1500);
    assert.ok(responses.every(({ status }) => status === 200));
    const share = (started.arrivals - from) / responses.length;
    assert.ok(share > 0.2, `${share} of the requests, of 0.33`);
  });

  it("gets its part at once where the setting is off", async () => {
    await startFleet(false);
    const started = await addEndpoint("c", SLOW_MS);
    await sendFor(3000);
    assert.ok(started.mostOpen > 2, `${started.mostOpen} at a time`);
  });
});
