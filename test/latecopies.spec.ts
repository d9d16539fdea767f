/**
 * Endpoints that answer twice: the second copy of an answer comes late, on a connection that is in use again. Guards
 * against an answer, a handle, a hold or a refusal that is taken for that of another exchange.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { pause } from "../src/core/clock";
import { EngineStage } from "../src/fleet/entries";
import { addEndpoint, get, port, prepareEach, start, store } from "./harness/fixture";
import { createConfig, waitUntil } from "./harness/forward";
import type { RawEndpoint } from "./harness/raw";

prepareEach();

const DECODE = { service: "models", stage: EngineStage.decode };
const PREFILL = { service: "models", stage: EngineStage.prefill };

const readId = (head: string) => /x-id: (\S+)/i.exec(head)?.[1] ?? "";
const isHold = (head: string) => head.startsWith("POST /hold");
const isRelease = (head: string) => head.startsWith("DELETE ");

/** Writes each answer again where the next one on its connection is due. */
function createStutter(answer: (head: string, socket: Socket) => string) {
  const lastAnswers = new WeakMap<Socket, string>();
  return (head: string, socket: Socket) => {
    const text = answer(head, socket);
    socket.write((lastAnswers.get(socket) ?? "") + text);
    lastAnswers.set(socket, text);
  };
}

function createAnswer(head: string, body: string, status = "200 OK"): string {
  const id = readId(head);
  const named = id === "" ? "" : `x-id: ${id}\r\n`;
  return `HTTP/1.1 ${status}\r\n${named}content-length: ${body.length}\r\n\r\n${body}`;
}

function createStream(head: string): string {
  const event = `id: 1\ndata: ${readId(head)}\n\n`;
  const chunk = `${event.length.toString(16)}\r\n${event}\r\n0\r\n\r\n`;
  return `HTTP/1.1 200 OK\r\nx-id: ${readId(head)}\r\ntransfer-encoding: chunked\r\n\r\n${chunk}`;
}

/** Adds a decode engine that answers each exchange once. */
function addDecodeEngine(): Promise<RawEndpoint> {
  const answer = (head: string, socket: Socket) => {
    if (isHold(head)) socket.write(createAnswer("", "h"));
    else if (isRelease(head)) socket.write(createAnswer("", ""));
    else socket.write(createStream(head));
  };
  return addEndpoint("d", answer, DECODE);
}

/** Asserts that each generation went on from its own prompt, or from none. */
function assertOwnSources(decode: RawEndpoint): void {
  for (const head of decode.requests.filter((text) => !isHold(text) && !isRelease(text))) {
    const source = /x-source: (\S+)/.exec(head)?.[1];
    assert.ok(source === undefined || source === `kv-${readId(head)}`, head);
  }
}

const draft = (id: string) => get(port, `/draft/${id}`, { "x-id": id, "x-tokens": "300" });

describe("a late copy of an answer", () => {
  it("to a prefill does not hand over the prompt of another request", async () => {
    const prefill = await addEndpoint(
      "p",
      createStutter((head) => createAnswer(head, `kv-${readId(head)}`)),
      PREFILL,
    );
    const decode = await addDecodeEngine();
    await start();
    for (const id of ["one", "two", "three"]) {
      const response = await draft(id);
      assert.deepEqual([response.status, response.body], [200, `id: 1\ndata: ${id}\n\n`]);
    }
    assert.ok(prefill.requests.length >= 3);
    assertOwnSources(decode);
  });

  it("to a prefill that names no request does not hand over the prompt of another request", async () => {
    await addEndpoint(
      "p",
      createStutter((head) => createAnswer("", `kv-${readId(head)}`)),
      PREFILL,
    );
    const decode = await addDecodeEngine();
    await start();
    for (const id of ["one", "two", "three"]) assert.equal((await draft(id)).status, 200);
    assertOwnSources(decode);
  });

  it("to a hold does not reserve the memory of another generation", async () => {
    let holds = 0;
    const usedHolds: string[] = [];
    await addEndpoint(
      "d",
      createStutter((head) => {
        if (isHold(head)) return createAnswer("", `h${(holds += 1)}`);
        if (isRelease(head)) return createAnswer("", "");
        usedHolds.push(/x-hold: (\S+)/.exec(head)?.[1] ?? "none");
        return createStream(head);
      }),
      DECODE,
    );
    await start();
    for (const id of ["one", "two", "three", "four"]) {
      const response = await draft(id);
      assert.deepEqual([response.status, response.body], [200, `id: 1\ndata: ${id}\n\n`]);
    }
    assert.equal(new Set(usedHolds).size, usedHolds.length, usedHolds.join(" "));
  });

  it("to a refused hold is not taken for the failure of the generation that follows", async () => {
    let holds = 0;
    await addEndpoint(
      "d",
      createStutter((head) => {
        if (isRelease(head)) return createAnswer("", "");
        if (!isHold(head)) return createStream(head);
        holds += 1;
        return holds % 2 === 1
          ? createAnswer("", "", "503 Service Unavailable")
          : createAnswer("", `h${holds}`);
      }),
      DECODE,
    );
    await start();
    for (const id of ["one", "two", "three"]) {
      const response = await draft(id);
      assert.deepEqual([response.status, response.body], [200, `id: 1\ndata: ${id}\n\n`]);
    }
  });

  it("that says 'not run' does not send a request that may run once to a second endpoint", async () => {
    const runs: string[] = [];
    const answer = createStutter((head) => {
      if (head.includes("/once/full")) return createAnswer(head, "", "503 Full\r\nx-not-run: 1");
      runs.push(readId(head));
      return createAnswer(head, `sheet ${readId(head)}`);
    });
    for (const id of ["a", "b"]) await addEndpoint(id, answer);
    await start();
    for (let turn = 0; turn < 6; turn += 1) {
      await get(port, "/once/full");
      await pause(10);
      await get(port, "/once/7", { "x-id": `turn-${turn}` });
    }
    assert.deepEqual(runs, [...new Set(runs)], "a request ran twice");
  });

  it("of a failure that names no request is not passed on as another request's", async () => {
    await addEndpoint(
      "a",
      createStutter((head) => {
        if (head.includes("/once/broken")) return createAnswer("", "broken", "500 Internal");
        return createAnswer(head, `sheet ${readId(head)}`);
      }),
    );
    await start();
    for (let turn = 0; turn < 4; turn += 1) {
      await get(port, "/once/broken");
      const response = await get(port, "/once/7", { "x-id": `turn-${turn}` });
      assert.notEqual(response.status, 500);
      if (response.status === 200) assert.equal(response.body, `sheet turn-${turn}`);
    }
  });

  for (const path of ["/draft/1", "/summary/1"]) {
    it(`to the same request is not taken for the answer to its second send: ${path}`, async () => {
      let sends = 0;
      await addEndpoint(
        "d",
        createStutter((head) => {
          if (isHold(head)) return createAnswer("", `h${Math.random()}`);
          if (isRelease(head)) return createAnswer("", "");
          sends += 1;
          if (sends > 1) return createStream(head);
          const headers = `x-id: ${readId(head)}\r\nx-not-run: 1\r\nkeep-alive: timeout=5\r\n`;
          return `HTTP/1.1 503 Full\r\n${headers}content-length: 0\r\n\r\n`;
        }),
        DECODE,
      );
      const config = createConfig(2);
      const routes = config.routes.map((route) => ({ ...route, targetLatencyMs: 5000 }));
      // The second send follows the cooldown after a refusal, within the wait that the latency allows.
      store.putConfig({ ...config, routes });
      await start();
      const response = await get(port, path, { "x-id": "one", "x-tokens": "300" });
      assert.deepEqual([response.status, response.body], [200, "id: 1\ndata: one\n\n"]);
      assert.equal(sends, 2, "once refused, once run");
    });
  }

  it("on an idle connection closes it before a request is sent on it", async () => {
    const used = new Set<Socket>();
    let reused = 0;
    const endpoint = await addEndpoint("a", (head, socket) => {
      if (used.has(socket)) reused += 1;
      used.add(socket);
      const answer = createAnswer(head, `sheet ${readId(head)}`);
      socket.write(answer);
      setTimeout(() => socket.write(answer), 20);
    });
    await start();
    for (let turn = 0; turn < 3; turn += 1) {
      const response = await get(port, "/once/7", { "x-id": `turn-${turn}` });
      assert.deepEqual([response.status, response.body], [200, `sheet turn-${turn}`]);
      await waitUntil(() => endpoint.sockets.size === 0, 300);
    }
    assert.equal(reused, 0);
  });
});
