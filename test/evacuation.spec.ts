/**
 * Evacuation of a data centre, through a real instance: nothing more is sent to its endpoints. Guards against sends of
 * every kind that reach them, in each state in which the evacuation may find a request, and against callers that wait
 * though no endpoint is left.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { pause } from "../src/core/clock";
import { EngineStage } from "../src/fleet/entries";
import { addEndpoint, get, port, prepareEach, start, store } from "./harness/fixture";
import { waitUntil } from "./harness/forward";
import { type RawEndpoint, writeAnswer } from "./harness/raw";

prepareEach();

/** Far longer than an instance takes to read a record, in milliseconds. */
const IN_FORCE_MS = 400;
const GENERATION = { "x-tokens": "300" };

const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const decodeAt = (dataCentre: string) => ({
  service: "models",
  stage: EngineStage.decode,
  dataCentre,
});
const prefillAt = (dataCentre: string) => ({
  service: "models",
  stage: EngineStage.prefill,
  dataCentre,
});

async function evacuate(...dataCentres: readonly string[]): Promise<void> {
  for (const each of dataCentres) store.configuration.put(`evacuate/${each}`, Buffer.from("{}"));
  await pause(IN_FORCE_MS);
}

async function withdraw(dataCentre: string): Promise<void> {
  store.configuration.put(`evacuate/${dataCentre}`, undefined);
  await pause(IN_FORCE_MS);
}

function answer(text: string) {
  return (head: string, socket: Socket) => {
    writeAnswer(socket, head, text);
  };
}

function writeStreamHead(socket: Socket, head: string): void {
  const id = /x-id: (\S+)/i.exec(head)?.[1] ?? "";
  socket.write(
    `HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-type: text/event-stream\r\n` +
      "transfer-encoding: chunked\r\n\r\n",
  );
}

/** Answers as a decode engine: grants each hold, and writes one event. */
function runAsEngine(head: string, socket: Socket): void {
  if (head.startsWith("POST /hold")) {
    socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nh1");
    return;
  }
  const next = Number(/x-after: (\d+)/i.exec(head)?.[1] ?? "0") + 1;
  writeStreamHead(socket, head);
  socket.write(`${chunk(`id: ${next}\ndata: t${next}\n\n`)}0\r\n\r\n`);
}

/** Adds a decode engine whose answers to holds wait for the test. */
async function addSlowHolder(dataCentre: string) {
  const answers: (() => void)[] = [];
  const engine = await addEndpoint(
    `slow-${dataCentre}`,
    (head, socket) => {
      if (head.startsWith("POST /hold")) answers.push(() => runAsEngine(head, socket));
      else runAsEngine(head, socket);
    },
    decodeAt(dataCentre),
  );
  const grant = () => {
    for (const each of answers.splice(0)) each();
  };
  return { engine, answers, grant };
}

/** Checks that nothing has reached an endpoint since it had a number of requests. */
function assertUnused(endpoint: RawEndpoint, before: number): void {
  assert.deepEqual(endpoint.requests.slice(before), []);
}

describe("an evacuated data centre", () => {
  it("gets no requests until the evacuation is withdrawn, and its connections close", async () => {
    const near = await addEndpoint("a", answer("near"), { dataCentre: "nizwa" });
    await addEndpoint("b", answer("far"), { dataCentre: "izki" });
    await start();
    assert.equal((await get(port, "/any/1")).body, "near");
    await evacuate("nizwa");
    const before = near.requests.length;
    for (let turn = 0; turn < 10; turn += 1) {
      const { status, body } = await get(port, "/any/1");
      assert.deepEqual([status, body], [200, "far"]);
    }
    await waitUntil(() => near.sockets.size === 0, 1500);
    assertUnused(near, before);
    await withdraw("nizwa");
    await waitUntil(async () => (await get(port, "/any/1")).body === "near");
  });

  it("makes the instance refuse at once as not run if no other one is left", async () => {
    const endpoints = [
      await addEndpoint("a", answer("a"), { dataCentre: "nizwa" }),
      await addEndpoint("b", answer("b"), { dataCentre: "izki" }),
      await addEndpoint("d", runAsEngine, decodeAt("izki")),
    ];
    await start();
    await evacuate("nizwa", "izki");
    for (const path of ["/any/1", "/once/1", "/draft/1"]) {
      const startedAt = performance.now();
      const response = await get(port, path, GENERATION);
      assert.equal(response.status, 503, path);
      assert.ok(Number(response.headers["x-retry-ms"]) > 0, path);
      assert.ok(performance.now() - startedAt < 200, `${path} waits`);
    }
    for (const endpoint of endpoints) assertUnused(endpoint, 0);
  });

  it("stays evacuated if the store is restored from a copy without the record", async () => {
    const near = await addEndpoint("a", answer("near"), { dataCentre: "nizwa" });
    await addEndpoint("b", answer("far"), { dataCentre: "izki" });
    await start();
    await evacuate("nizwa");
    store.restore({ configuration: 1 });
    await pause(IN_FORCE_MS);
    const before = near.requests.length;
    for (let turn = 0; turn < 5; turn += 1) assert.equal((await get(port, "/any/1")).body, "far");
    assertUnused(near, before);
  });

  it("gets no generation that waits in the queue: it moves to another data centre", async () => {
    const { engine, answers, grant } = await addSlowHolder("nizwa");
    let isFull = true;
    const other = await addEndpoint(
      "d2",
      (head, socket) => {
        if (!isFull) runAsEngine(head, socket);
        else writeAnswer(socket, head, "", "503 Full\r\nx-not-run: 1");
      },
      decodeAt("izki"),
    );
    await start();
    const waiting = ["/draft/1", "/draft/2"].map((path) => get(port, path, GENERATION));
    await waitUntil(() => answers.length > 0);
    await evacuate("nizwa");
    const before = engine.requests.length;
    isFull = false;
    grant();
    for (const { status } of await Promise.all(waiting)) assert.equal(status, 200);
    assertUnused(engine, before);
    const runs = other.requests.filter((head) => head.includes("x-task: run"));
    assert.equal(runs.length, 2);
  });

  it("gets neither the run nor the release of a hold that it grants too late", async () => {
    const { engine, grant } = await addSlowHolder("nizwa");
    await start();
    const response = get(port, "/draft/1", GENERATION);
    await waitUntil(() => engine.requests.length === 1);
    await addEndpoint("d2", runAsEngine, decodeAt("izki"));
    await evacuate("nizwa");
    grant();
    assert.equal((await response).status, 200);
    await pause(200);
    assertUnused(engine, 1);
  });

  it("may finish a prefill, whose result is neither fetched nor released", async () => {
    let finish = () => undefined as unknown;
    const reader = await addEndpoint(
      "p",
      (_head, socket) => {
        finish = () => socket.write("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nkv7");
      },
      prefillAt("nizwa"),
    );
    const engine = await addEndpoint("d", runAsEngine, decodeAt("izki"));
    await start();
    const response = get(port, "/draft/1", GENERATION);
    await waitUntil(() => reader.requests.length === 1);
    await evacuate("nizwa");
    finish();
    assert.equal((await response).status, 200);
    await pause(200);
    const runs = engine.requests.filter((head) => head.includes("x-task: run"));
    assert.equal(runs.length, 1);
    assert.ok(!runs.some((head) => head.includes("x-source")), "the prompt is not fetched");
    assertUnused(reader, 1);
  });

  it("may finish a stream, and is not asked to go on with one that breaks", async () => {
    const sockets: Socket[] = [];
    const engine = await addEndpoint(
      "d1",
      (head, socket) => {
        if (head.startsWith("POST /hold")) {
          runAsEngine(head, socket);
          return;
        }
        writeStreamHead(socket, head);
        socket.write(chunk("id: 1\ndata: t1\n\n"));
        sockets.push(socket);
      },
      decodeAt("nizwa"),
    );
    await start();
    const whole = get(port, "/summary/1", GENERATION);
    await waitUntil(() => sockets.length === 1);
    const broken = get(port, "/summary/2", GENERATION);
    await waitUntil(() => sockets.length === 2);
    const before = engine.requests.length;
    const other = await addEndpoint("d2", runAsEngine, decodeAt("izki"));
    await evacuate("nizwa");
    sockets[0]?.write(`${chunk("id: 2\ndata: t2\n\n")}0\r\n\r\n`);
    sockets[1]?.resetAndDestroy();
    const responses = await Promise.all([whole, broken]);
    assert.deepEqual(
      responses.map(({ isComplete }) => isComplete),
      [true, true],
    );
    assert.ok(responses[0].body.includes("t2"));
    assert.ok(other.requests.some((head) => head.includes("x-after: 1")));
    await pause(200);
    assertUnused(engine, before);
  });
});
