/**
 * Streams that go on at another engine, whose process is replaced while the prompt is read for it. Guards against
 * events of two versions in one stream, by a list that was read before the hold was granted.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { describe, it, type TestContext } from "node:test";
import { pause } from "../src/core/clock";
import { EngineStage, type EndpointEntry } from "../src/fleet/entries";
import { get } from "./harness/fixture";
import { createConfig, createEntry, waitUntil } from "./harness/forward";
import { startInstances } from "./harness/instances";
import { MemoryStore } from "./harness/memory";
import { RawEndpoint } from "./harness/raw";
import { SERVICE } from "./harness/watching";

const PREFILL_MS = 400;

const event = (id: number) => `id: ${id}\ndata: t${id}\n\n`;
const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const isRun = (head: string) => head.includes("x-task: run");

/** An engine that grants holds; it leaves streams that it begins open, and ends those that it takes up. */
function answerDecode(head: string, socket: Socket): void {
  if (!isRun(head)) {
    socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nh1");
    return;
  }
  const id = /x-id: (\S+)/i.exec(head)?.[1] ?? "";
  const after = /x-after: (\d+)/i.exec(head)?.[1];
  socket.write(
    `HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-type: text/event-stream\r\n` +
      "transfer-encoding: chunked\r\n\r\n",
  );
  socket.write(chunk(event(Number(after ?? "0") + 1)));
  if (after !== undefined) socket.write("0\r\n\r\n");
}

function answerPrefill(_head: string, socket: Socket): void {
  const answer = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nkv7";
  setTimeout(() => socket.write(answer), PREFILL_MS);
}

/** Two decode engines, one for prefills, and an instance; the endpoint's entry is put by `put`. */
async function startFleet(t: TestContext) {
  const store = new MemoryStore();
  store.putConfig(createConfig(1));
  const engines = new Map<string, RawEndpoint>();
  const put = (id: string, more: Partial<EndpointEntry> = {}) => {
    const stage = id === "p" ? EngineStage.prefill : EngineStage.decode;
    const address = engines.get(id)?.address ?? "";
    store.putEndpoint(createEntry(id, address, { service: SERVICE, stage, ...more }));
  };
  for (const id of ["d1", "d2", "p"]) {
    const engine = new RawEndpoint(id === "p" ? answerPrefill : answerDecode);
    engines.set(id, engine);
    await engine.listen();
    put(id);
  }
  const instances = await startInstances(store, 1);
  t.after(async () => {
    await instances.close();
    for (const engine of engines.values()) engine.close();
  });
  return { store, engines, put, port: instances.ports[0] ?? 0 };
}

/** The next read of the list, an instance's own, gets no answer; those that others begin do. */
function holdNextRead({ endpoints }: MemoryStore): void {
  const { read } = endpoints;
  endpoints.read = () => {
    endpoints.read = read;
    return () => new Promise(() => undefined);
  };
}

describe("a stream that goes on at an engine whose process is replaced while the prompt is read", () => {
  for (const isSilent of [false, true]) {
    for (const version of ["v2", "v1"]) {
      const cause = isSilent ? "its run is silent" : "its run broke";
      const outcome = version === "v1" ? "goes on at it" : "is not joined with what it writes";
      it(`${outcome} if the new one has ${version}, as ${cause}`, async (t) => {
        const { store, engines, put, port } = await startFleet(t);
        const runsAt = (id: string) => engines.get(id)?.requests.filter(isRun).length ?? 0;
        const prefills = engines.get("p")?.requests ?? [];
        const answer = get(port, "/summary/s1", { "x-id": "s1", "x-tokens": "300" });
        await waitUntil(() => runsAt("d1") + runsAt("d2") === 1);
        const [first, other] = runsAt("d1") === 1 ? ["d1", "d2"] : ["d2", "d1"];
        holdNextRead(store);
        await pause(800);
        if (!isSilent) engines.get(first)?.close();
        await waitUntil(() => prefills.length === 2);
        put(other, { version, processStartedAt: 2 });
        await answer;
        if (version === "v1") assert.equal(runsAt(other), 1);
        else assert.equal(runsAt(other), 0);
      });
    }
  }
});
