/**
 * Engines of several software versions side by side in one service, through real instances. Guards against streams
 * that go on at another version than the one that began them, within one answer or over a caller's tries.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { after, afterEach, beforeEach, describe, it } from "node:test";
import { pause } from "../src/core/clock";
import { EngineStage } from "../src/fleet/entries";
import { get } from "./harness/fixture";
import { createConfig, createEntry, waitUntil } from "./harness/forward";
import { type RunningInstances, startInstances } from "./harness/instances";
import { MemoryStore } from "./harness/memory";
import { RawEndpoint } from "./harness/raw";

const event = (id: number) => `id: ${id}\ndata: t${id}\n\n`;
const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const readId = (head: string) => /x-id: (\S+)/i.exec(head)?.[1] ?? "";

let store: MemoryStore;
let instances: RunningInstances | undefined;
let ports: readonly number[] = [];
let engines: Map<string, RawEndpoint>;

/** Entries of decode engines; a version is the software's. */
const ofVersion = (version: string) => ({ service: "models", stage: EngineStage.decode, version });

/** How long an engine that breaks off is silent before it does, in milliseconds. */
const BREAK_MS = 700;

/** Answers a hold, or two events; breaks off some time after them where it is to. */
function answer(head: string, socket: Socket, breaks: () => boolean): void {
  if (!head.includes("x-task: run")) {
    socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nh1");
    return;
  }
  const from = Number(/x-after: (\d+)/i.exec(head)?.[1] ?? "0");
  socket.write(
    `HTTP/1.1 200 OK\r\nx-id: ${readId(head)}\r\ncontent-type: text/event-stream\r\n` +
      "transfer-encoding: chunked\r\n\r\n",
  );
  socket.write(chunk(event(from + 1)) + chunk(event(from + 2)));
  if (!breaks()) socket.write("0\r\n\r\n");
  else
    setTimeout(() => {
      socket.destroy();
    }, BREAK_MS);
}

async function addEngine(id: string, version: string, breaks = () => false): Promise<RawEndpoint> {
  const engine = new RawEndpoint((head, socket) => {
    answer(head, socket, breaks);
  });
  engines.set(id, engine);
  const more = ofVersion(version);
  store.putEndpoint(createEntry(id, await engine.listen(), more));
  return engine;
}

async function startFleet(size: number): Promise<void> {
  instances = await startInstances(store, size);
  ({ ports } = instances);
}

const countRuns = (id: string) =>
  engines.get(id)?.requests.filter((head) => head.includes("x-task: run")).length ?? 0;
const countTakenUp = (id: string) =>
  engines.get(id)?.requests.filter((head) => head.includes("x-after: ")).length ?? 0;

describe("a stream goes on only at the version that began it", () => {
  beforeEach(() => {
    store = new MemoryStore();
    store.putConfig(createConfig(1));
    instances = undefined;
    engines = new Map();
  });

  afterEach(async () => {
    await instances?.close();
    for (const engine of engines.values()) engine.close();
  });

  after(() => {
    setTimeout(() => process.exit(), 500).unref();
  });

  it("within one answer, at another engine of it", async () => {
    const first = await addEngine("d1", "v1", () => true);
    await startFleet(1);
    const begun = get(ports[0] ?? 0, "/summary/1");
    await waitUntil(() => countRuns("d1") > 0);
    for (const id of ["e1", "e2", "e3"]) await addEngine(id, "v2");
    await addEngine("d2", "v1");
    await pause(200);
    first.close();
    const response = await begun;
    assert.equal(response.isComplete, true);
    assert.equal(countTakenUp("d2"), 1);
    assert.equal(countTakenUp("e1") + countTakenUp("e2") + countTakenUp("e3"), 0);
  });

  it("within one answer, and is cut if no engine of it is left", async () => {
    const first = await addEngine("d1", "v1", () => true);
    await startFleet(1);
    const begun = get(ports[0] ?? 0, "/summary/1");
    await waitUntil(() => countRuns("d1") > 0);
    await addEngine("e1", "v2");
    await pause(200);
    store.endpoints.put("d1", undefined);
    await pause(200);
    const startedAt = performance.now();
    first.close();
    const response = await begun;
    assert.deepEqual([response.isComplete, response.body.includes("id: 2")], [false, true]);
    assert.ok(performance.now() - startedAt < 1000, "at once");
    assert.equal(countTakenUp("e1"), 0);
  });

  it("over a caller's tries, at any instance", async () => {
    let isBreaking = true;
    await addEngine("d1", "v1", () => isBreaking);
    await startFleet(3);
    const ids = ["s1", "s2", "s3", "s4", "s5", "s6"];
    const begin = (id: string, turn: number) =>
      get(ports[turn % 3] ?? 0, `/summary/${id}`, { "x-id": id });
    const begun = await Promise.all(ids.map(begin));
    assert.ok(begun.every(({ isComplete, body }) => !isComplete && body.includes("id: 4")));
    const runs = countRuns("d1");
    isBreaking = false;
    for (const id of ["e1", "e2", "e3"]) await addEngine(id, "v2");
    await addEngine("d2", "v1");
    await pause(400);
    const resume = (id: string, turn: number) =>
      get(ports[(turn + 1) % 3] ?? 0, `/summary/${id}`, {
        "x-id": `${id}-again`,
        "x-of": id,
        "x-after": "4",
      });
    const resumed = await Promise.all(ids.map(resume));
    assert.deepEqual(
      resumed.map(({ status, isComplete }) => [status, isComplete]),
      ids.map(() => [200, true]),
    );
    assert.equal(countTakenUp("e1") + countTakenUp("e2") + countTakenUp("e3"), 0);
    assert.equal(countRuns("d1") + countRuns("d2") - runs, ids.length);
  });

  it("and is refused as not run if nobody knows what began it", async () => {
    await addEngine("d1", "v1");
    await addEngine("e1", "v2");
    await startFleet(2);
    const startedAt = performance.now();
    for (const more of [{ "x-of": "unheard" }, { "x-of": "x".repeat(10_000) }, {}]) {
      const response = await get(ports[0] ?? 0, "/summary/1", { ...more, "x-after": "4" });
      assert.equal(response.status, 503);
    }
    const itself = { "x-id": "me", "x-of": "me", "x-after": "4" };
    assert.equal((await get(ports[0] ?? 0, "/summary/1", itself)).status, 503);
    assert.ok(performance.now() - startedAt < 1000, "at once");
    assert.equal(countRuns("d1") + countRuns("e1"), 0);
  });

  it("and not at an engine that started anew under its id with another version", async () => {
    let isBreaking = true;
    const engine = await addEngine("d1", "v1", () => isBreaking);
    await startFleet(1);
    const begun = await get(ports[0] ?? 0, "/summary/s1", { "x-id": "s1" });
    assert.equal(begun.isComplete, false);
    isBreaking = false;
    const more = { ...ofVersion("v2"), processStartedAt: Date.now() + 60_000 };
    store.putEndpoint(createEntry("d1", engine.address, more));
    await pause(400);
    const runs = countRuns("d1");
    const headers = { "x-of": "s1", "x-after": "4" };
    const refused = await get(ports[0] ?? 0, "/summary/s1", headers);
    assert.equal(refused.status, 503);
    await addEngine("d2", "v1");
    await pause(400);
    const resumed = await get(ports[0] ?? 0, "/summary/s1", headers);
    assert.deepEqual([resumed.status, resumed.isComplete], [200, true]);
    assert.equal(countRuns("d1"), runs);
  });

  for (const [replaced, putNext] of [
    ["was removed", () => store.endpoints.put("d1", undefined)],
    [
      "was replaced by a third process",
      (address: string) => {
        const more = { ...ofVersion("v1"), processStartedAt: Date.now() + 60_000 };
        store.putEndpoint(createEntry("d1", address, more));
      },
    ],
    [
      "was replaced by one that is listed for a moment only",
      (address: string) => {
        const more = { ...ofVersion("v1"), processStartedAt: Date.now() + 60_000 };
        store.putEndpoint(createEntry("d1", address, more));
        store.endpoints.put("d1", undefined);
      },
    ],
  ] as const) {
    it(`and is refused if a process of another version may have begun it that ${replaced}`, async () => {
      let isBreaking = true;
      const engine = await addEngine("d1", "v1", () => isBreaking);
      await startFleet(1);
      const processStartedAt = Date.now();
      const begun = await get(ports[0] ?? 0, "/summary/s1", { "x-id": "s1" });
      assert.equal(begun.isComplete, false);
      isBreaking = false;
      // The process had started before the stream, and the list names it only now.
      store.putEndpoint(
        createEntry("d1", engine.address, { ...ofVersion("v2"), processStartedAt }),
      );
      await pause(400);
      putNext(engine.address);
      await addEngine("d2", "v1");
      await pause(400);
      const runs = countRuns("d1");
      const headers = { "x-of": "s1", "x-after": "4" };
      assert.equal((await get(ports[0] ?? 0, "/summary/s1", headers)).status, 503);
      assert.deepEqual([countRuns("d1"), countRuns("d2")], [runs, 0]);
    });
  }

  it("and is refused if its engine's entries have no start time and another version follows", async () => {
    const processStartedAt = 0;
    let isBreaking = true;
    const engine = await addEngine("d1", "v1", () => isBreaking);
    const put = (version: string, sequence: number) => {
      const more = { ...ofVersion(version), processStartedAt, sequence };
      store.putEndpoint(createEntry("d1", engine.address, more));
    };
    store.endpoints.records = [];
    put("v1", 1);
    await startFleet(1);
    assert.equal((await get(ports[0] ?? 0, "/summary/s1", { "x-id": "s1" })).isComplete, false);
    isBreaking = false;
    put("v2", 2);
    await addEngine("d2", "v1");
    await pause(400);
    const runs = countRuns("d1");
    const headers = { "x-of": "s1", "x-after": "4" };
    assert.equal((await get(ports[0] ?? 0, "/summary/s1", headers)).status, 503);
    assert.deepEqual([countRuns("d1"), countRuns("d2")], [runs, 0]);
  });
});
