/**
 * Endpoints that name the requests a second that they take from all instances together, through real instances.
 * Guards against each instance sending as if it were alone, by any kind of send.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { after, afterEach, beforeEach, describe, it } from "node:test";
import { pause } from "../src/core/clock";
import { createConfig, createEntry, startInstance, waitUntil } from "./harness/forward";
import { get, type ReceivedResponse } from "./harness/fixture";
import { MemoryStore } from "./harness/memory";
import { RawEndpoint, writeAnswer } from "./harness/raw";

const INSTANCES = ["nizwa-1", "nizwa-2", "nizwa-3"] as const;
const WINDOW_MS = 4000;
const GAP_MS = 25;

let store: MemoryStore;
let ports: readonly number[] = [];
let running: Awaited<ReturnType<typeof startInstance>>[] = [];
let endpoints: RawEndpoint[] = [];

/** The most requests that an endpoint may get in a window, by the users' rule. */
function computeBound(limit: number): number {
  return Math.floor((limit * 1.5 * WINDOW_MS) / 1000 + 5);
}

function countMaxInWindow(arrivals: readonly number[]): number {
  return Math.max(
    0,
    ...arrivals.map((from) => arrivals.filter((at) => at >= from && at < from + WINDOW_MS).length),
  );
}

function writeLimited(socket: Socket, head: string, limit: string): void {
  const id = /x-id: (\S+)/i.exec(head)?.[1] ?? "";
  socket.write(
    `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-limit: ${limit}\r\ncontent-length: 7\r\n\r\nlimited`,
  );
}

async function addEndpoint(id: string, answer: ConstructorParameters<typeof RawEndpoint>[0]) {
  const endpoint = new RawEndpoint(answer);
  endpoints.push(endpoint);
  store.putEndpoint(createEntry(id, await endpoint.listen()));
}

/** Adds an endpoint that names a limit while `isInNeed`, and returns when its requests arrived. */
async function addLimited(id: string, limit: string, isInNeed = () => true): Promise<number[]> {
  const arrivals: number[] = [];
  await addEndpoint(id, (head, socket) => {
    arrivals.push(performance.now());
    if (isInNeed()) writeLimited(socket, head, limit);
    else writeAnswer(socket, head, "limited");
  });
  return arrivals;
}

async function startFleet(): Promise<void> {
  const knownPeers: string[] = [];
  for (const name of INSTANCES) {
    const started = await startInstance(store, name, { knownPeers: [...knownPeers] });
    running.push(started);
    knownPeers.push(`127.0.0.1:${started.settings.peers.port}`);
  }
  ports = running.map(({ settings }) => settings.callers.port);
  await waitUntil(async () => {
    const answers = running.map(({ settings }) => get(settings.ready.port, "/"));
    return (await Promise.all(answers)).every(({ status }) => status === 200);
  });
  await pause(1200);
}

/** Has callers send requests for a time, half of them to the first instance. */
async function sendFor(ms: number, path = "/any/1"): Promise<readonly ReceivedResponse[]> {
  const sent: Promise<ReceivedResponse>[] = [];
  const end = performance.now() + ms;
  while (performance.now() < end) {
    const turn = sent.length;
    sent.push(get(ports[turn % 2 === 0 ? 0 : turn % ports.length] ?? 0, path));
    await pause(GAP_MS);
  }
  return Promise.all(sent);
}

describe("an endpoint that names a limit for all instances together", () => {
  beforeEach(() => {
    store = new MemoryStore();
    store.putConfig(createConfig(1));
    running = [];
    endpoints = [];
  });

  afterEach(async () => {
    await Promise.all(running.map(({ instance }) => instance.close()));
    for (const endpoint of endpoints) endpoint.close();
  });

  after(() => {
    setTimeout(() => process.exit(), 500).unref();
  });

  it("gets no more than its limit from all instances together", async () => {
    const arrivals = await addLimited("a", "3");
    await addEndpoint("b", (head, socket) => {
      writeAnswer(socket, head, "from b");
    });
    await startFleet();
    await sendFor(500);
    const from = arrivals.length;
    const responses = await sendFor(6000);
    assert.ok(responses.every(({ status }) => status === 200));
    const most = countMaxInWindow(arrivals.slice(from));
    assert.ok(most <= computeBound(3), `${most} requests in 4 s`);
  });

  it("is given what it takes, and the rest is refused at once, if no other endpoint is left", async () => {
    const arrivals = await addLimited("a", "6");
    await startFleet();
    await sendFor(500);
    const from = arrivals.length;
    const startedAt = performance.now();
    const responses = await sendFor(6000);
    assert.ok(performance.now() - startedAt < 6500, "nothing waits");
    const served = arrivals.length - from;
    const most = countMaxInWindow(arrivals.slice(from));
    assert.ok(most <= computeBound(6), `${most} requests in 4 s`);
    assert.ok(served >= 6 * 6 * 0.8, `${served} of 36 were served`);
    for (const { status, headers } of responses) {
      if (status === 200) continue;
      assert.equal(status, 503);
      const retryMs = Number(headers["x-retry-ms"]);
      assert.ok(retryMs > 0 && retryMs <= 2000, `${retryMs} ms`);
    }
  });
});
