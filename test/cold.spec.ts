/**
 * Endpoints that are cold, through real instances. Guards against more requests in a second than a cold endpoint
 * takes from all instances together, by any kind of send, and against requests that wait instead of going elsewhere.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { after, afterEach, beforeEach, describe, it } from "node:test";
import { pause } from "../src/core/clock";
import { type EndpointEntry, EngineStage } from "../src/fleet/entries";
import { createConfig, createEntry } from "./harness/forward";
import { get, type ReceivedResponse } from "./harness/fixture";
import { type RunningInstances, startInstances } from "./harness/instances";
import { MemoryStore } from "./harness/memory";
import { RawEndpoint, writeAnswer } from "./harness/raw";

const INSTANCES = 3;
const WINDOW_MS = 1000;
const COLD = { perSecond: 6, startMs: 8000 };
/** The most requests in a second: the limit times 1.5, and 5. */
const BOUND = COLD.perSecond * 1.5 + 5;
/** Time for all instances to learn of a cold endpoint. */
const NEWS_MS = 1000;
const EVENT = "id: 1\ndata: t1\n\n";
const EVENT_CHUNK = `${EVENT.length.toString(16)}\r\n${EVENT}\r\n`;

let store: MemoryStore;
let instances: RunningInstances | undefined;
let ports: readonly number[] = [];
let endpoints: RawEndpoint[] = [];

function countMaxInWindow(arrivals: readonly number[]): number {
  return Math.max(
    0,
    ...arrivals.map((from) => arrivals.filter((at) => at >= from && at < from + WINDOW_MS).length),
  );
}

async function addEndpoint(
  id: string,
  answer: (head: string, socket: Socket) => void,
  more: Partial<EndpointEntry> = {},
): Promise<{ readonly arrivals: number[]; readonly entry: EndpointEntry }> {
  const arrivals: number[] = [];
  const endpoint = new RawEndpoint((head, socket) => {
    arrivals.push(performance.now());
    answer(head, socket);
  });
  endpoints.push(endpoint);
  const entry = createEntry(id, await endpoint.listen(), more);
  store.putEndpoint(entry);
  return { arrivals, entry };
}

function answerAsEngine(head: string, socket: Socket): void {
  const id = /x-id: (\S+)/i.exec(head)?.[1] ?? "";
  if (!head.includes("x-task: run")) {
    socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-length: 2\r\n\r\nh1`);
    return;
  }
  socket.write(
    `HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-type: text/event-stream\r\n` +
      `transfer-encoding: chunked\r\n\r\n${EVENT_CHUNK}0\r\n\r\n`,
  );
}

async function sendFor(
  ms: number,
  path = "/any/1",
  gapMs = 20,
): Promise<readonly ReceivedResponse[]> {
  const sent: Promise<ReceivedResponse>[] = [];
  const end = performance.now() + ms;
  while (performance.now() < end) {
    sent.push(get(ports[sent.length % ports.length] ?? 0, path));
    await pause(gapMs);
  }
  return Promise.all(sent);
}

describe("an endpoint that is cold", () => {
  beforeEach(() => {
    store = new MemoryStore();
    const config = createConfig(1);
    const services = config.services.map((service) => ({ ...service, cold: COLD }));
    store.putConfig({ ...config, services });
    instances = undefined;
    endpoints = [];
  });

  afterEach(async () => {
    await instances?.close();
    for (const endpoint of endpoints) endpoint.close();
  });

  after(() => {
    setTimeout(() => process.exit(), 500).unref();
  });

  const start = async () => {
    instances = await startInstances(store, INSTANCES);
    ({ ports } = instances);
  };

  it("by its entry, gets no more than its bound, and the rest is refused at once with a delay", async () => {
    const { arrivals, entry } = await addEndpoint("a", (head, socket) => {
      writeAnswer(socket, head, "a");
    });
    await start();
    const warm = await sendFor(500);
    assert.ok(warm.every(({ status }) => status === 200));
    store.putEndpoint({ ...entry, sequence: 2, coldRemainingMs: 8000 });
    await sendFor(NEWS_MS);
    const from = arrivals.length;
    const startedAt = performance.now();
    const responses = await sendFor(4000);
    assert.ok(performance.now() - startedAt < 4500, "nothing waits");
    const got = arrivals.slice(from);
    assert.ok(countMaxInWindow(got) <= BOUND, `${countMaxInWindow(got)} in a second`);
    assert.ok(got.length >= COLD.perSecond * 4 * 0.7, `${got.length} in 4 s`);
    for (const { status, headers } of responses) {
      if (status === 200) continue;
      assert.equal(status, 503);
      const retryMs = Number(headers["x-retry-ms"]);
      assert.ok(retryMs > 0 && retryMs <= 2000, `${retryMs} ms`);
    }
  });

  it("by its own response, is limited at all instances, and others are taken for it", async () => {
    let isCold = false;
    const { arrivals } = await addEndpoint("a", (head, socket) => {
      const id = /x-id: (\S+)/i.exec(head)?.[1] ?? "";
      const cold = isCold ? "x-cold: 8000\r\n" : "";
      socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\n${cold}content-length: 1\r\n\r\na`);
    });
    await addEndpoint("b", (head, socket) => {
      writeAnswer(socket, head, "b");
    });
    await start();
    await sendFor(500);
    isCold = true;
    await sendFor(NEWS_MS);
    const from = arrivals.length;
    const responses = await sendFor(3000);
    assert.ok(responses.every(({ status }) => status === 200));
    const most = countMaxInWindow(arrivals.slice(from));
    assert.ok(most <= BOUND, `${most} in a second`);
  });

  it("as an engine, gets no more than its bound with holds, prefills, runs and releases", async () => {
    const cold = { service: "models", coldRemainingMs: 9000 };
    const decodes = await addEndpoint("d1", answerAsEngine, { ...cold, stage: EngineStage.decode });
    const prefills = await addEndpoint("p1", answerAsEngine, {
      ...cold,
      stage: EngineStage.prefill,
    });
    await start();
    const responses = await sendFor(5000, "/summary/1");
    for (const { arrivals } of [decodes, prefills]) {
      const most = countMaxInWindow(arrivals);
      assert.ok(most <= BOUND, `${most} in a second`);
    }
    const served = responses.filter(({ status }) => status === 200).length;
    assert.ok(served >= (COLD.perSecond / 2) * 5 * 0.6, `${served} generations in 5 s`);
  });
});
