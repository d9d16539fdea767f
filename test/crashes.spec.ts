/**
 * Requests that crash engines, through running instances and raw engines that close as a crashed process does. Guards
 * against a prompt part that goes from engine to engine in requests of which no two are alike, and against refusing
 * those that only ran beside it.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { pause } from "../src/core/clock";
import { EngineStage } from "../src/fleet/entries";
import { addEndpoint, get, instance, port, prepareEach, start, store } from "./harness/fixture";
import { startInstance, waitUntil } from "./harness/forward";
import type { RawEndpoint } from "./harness/raw";

prepareEach();

const ENGINES = 10;
const SHARED_PART = "a0";
const POISON_PART = "bad";
/** How long an engine goes on after it began to write an answer with the poisoned part, in milliseconds. */
const CRASH_MS = 40;
/** How long a stream named `long` is open, in milliseconds. */
const LONG_MS = 2500;

/** Whether the engines of the running test refuse to reserve memory. */
let isFull = false;

const event = (id: number) => `id: ${id}\ndata: t${id}\n\n`;
const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const readId = (head: string) => /x-id: (\S+)/i.exec(head)?.[1] ?? "";
const openStream = (head: string) =>
  `HTTP/1.1 200 OK\r\nx-id: ${readId(head)}\r\n` +
  "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
const listRuns = (engine: RawEndpoint) =>
  engine.requests.filter((head) => head.includes("x-task: run"));
const countRuns = (engines: readonly RawEndpoint[], prefix: string) =>
  engines.flatMap(listRuns).filter((head) => readId(head).startsWith(prefix)).length;

/** Starts decode engines that crash on requests whose ids begin with `bad`. */
async function startEngines(count = ENGINES): Promise<readonly RawEndpoint[]> {
  isFull = false;
  const engines: RawEndpoint[] = [];
  const answer = (head: string, socket: Socket) => {
    if (head.startsWith("POST /hold") && isFull) {
      socket.write("HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n");
      return;
    }
    if (head.startsWith("POST /hold")) {
      socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nh1");
      return;
    }
    if (!head.includes("x-task: run")) return;
    socket.write(openStream(head) + chunk(event(1)));
    const id = readId(head);
    if (id.startsWith("bad")) {
      const crashed = engines.find((engine) => engine.sockets.has(socket));
      setTimeout(() => crashed?.close(), CRASH_MS);
    } else if (id.startsWith("long")) {
      const end = performance.now() + LONG_MS;
      const timer = setInterval(() => {
        const isOver = performance.now() > end;
        if (isOver || socket.destroyed) clearInterval(timer);
        socket.write(isOver ? "0\r\n\r\n" : chunk(event(2)));
      }, 100);
    } else socket.write("0\r\n\r\n");
  };
  const decode = { service: "models", stage: EngineStage.decode };
  for (let index = 0; index < count; index += 1) {
    engines.push(await addEndpoint(`d${index}`, answer, decode));
  }
  return engines;
}

/** Sends a generation; no two have the same fingerprint, as their paths differ. */
function generate(id: string, parts: readonly string[], at = port) {
  const headers = { "x-id": id, "x-tokens": "300", "x-parts": [...parts, `own-${id}`].join(",") };
  return get(at, `/draft/${id}`, headers);
}

describe("a prompt part that crashes engines", () => {
  it("requests that share one part are refused after it crashed three engines, whatever else they hold", async () => {
    const engines = await startEngines();
    await start();
    for (let turn = 0; turn < 8; turn += 1) {
      await generate(`bad-${turn}`, [SHARED_PART, POISON_PART, `other-${turn}`]);
      const sound = await generate(`good-${turn}`, [SHARED_PART, `other-${turn}`]);
      assert.deepEqual([sound.status, sound.isComplete], [200, true], "a sound request is served");
    }
    assert.equal(countRuns(engines, "bad"), 3, "runs of requests with the part");
    const startedAt = performance.now();
    const refused = await generate("bad-last", [SHARED_PART, POISON_PART]);
    assert.equal(refused.status, 503);
    assert.equal(refused.headers["x-retry-ms"], "", "a retry is of no use");
    assert.ok(performance.now() - startedAt < 200, "it is refused at once");
  });

  it("requests with it are refused by an instance that only heard of the crashes from peers", async () => {
    const engines = await startEngines();
    await start();
    const knownPeers: string[] = [];
    const others: Awaited<ReturnType<typeof startInstance>>[] = [];
    for (const name of ["nizwa-2", "nizwa-3", "nizwa-4"]) {
      const other = await startInstance(store, name, { knownPeers: [...knownPeers] });
      others.push(other);
      knownPeers.push(`127.0.0.1:${other.settings.peers.port}`);
    }
    instance.reload({ ...(others[0]?.settings ?? assert.fail()), knownPeers });
    await waitUntil(async () => {
      const answers = others.map(async ({ settings }) => get(settings.ready.port, "/"));
      return (await Promise.all(answers)).every((answer) => answer.status === 200);
    });
    await pause(1200);
    for (const [index, { settings }] of others.entries()) {
      const at = settings.callers.port;
      await generate(`good-${index}`, [SHARED_PART], at);
      await generate(`bad-${index}`, [SHARED_PART, POISON_PART, `other-${index}`], at);
      await pause(300);
    }
    const refused = await generate("bad-last", [SHARED_PART, POISON_PART]);
    const served = await generate("good-last", [SHARED_PART]);
    await Promise.all(others.map((other) => other.instance.close()));
    assert.equal(countRuns(engines, "bad"), 3);
    assert.deepEqual([refused.status, served.status], [503, 200]);
  });

  it("a request with it that waits for an engine is refused as soon as the part is banned", async () => {
    const engines = await startEngines(4);
    await start();
    await generate("good", [SHARED_PART]);
    const waiting = Array.from({ length: 3 }, (_, turn) =>
      generate(`bad-${turn}`, [SHARED_PART, POISON_PART, `other-${turn}`]),
    );
    await waitUntil(() => countRuns(engines, "bad") === 3);
    isFull = true;
    const startedAt = performance.now();
    const queued = generate("bad-last", [SHARED_PART, POISON_PART]);
    await Promise.all(waiting);
    assert.equal((await queued).status, 503);
    assert.equal((await queued).headers["x-retry-ms"], "");
    assert.ok(performance.now() - startedAt < 500, "before the time after which it would give up");
    assert.equal(countRuns(engines, "bad"), 3);
  });

  it("copies of a stream are served whose engines crashed long after they began to write it", async () => {
    const engines = await startEngines(3);
    await start();
    const stream = get(port, "/summary/1", {
      "x-id": "long-1",
      "x-tokens": "300",
      "x-parts": "c1",
    });
    for (let runs = 1; runs <= 2; runs += 1) {
      await waitUntil(() => countRuns(engines, "long") === runs);
      await pause(700);
      engines.find((engine) => engine.sockets.size > 0 && listRuns(engine).length > 0)?.close();
    }
    assert.equal((await stream).isComplete, false, "its second run was its last");
    const copy = await get(port, "/summary/1", { "x-id": "copy-1", "x-tokens": "300" });
    assert.deepEqual([copy.status, copy.isComplete], [200, true]);
  });
});
