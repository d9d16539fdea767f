/**
 * Service requests and configuration updates through a real instance. Endpoints send malformed, cut or foreign
 * responses; the tests guard against wrong or repeated results that reach a caller.
 */
import assert from "node:assert/strict";
import { request as httpRequest } from "node:http";
import { describe, it } from "node:test";
import { addEndpoint, get, port, prepareEach, readyPort, start, store } from "./harness/fixture";
import { createConfig, createEntry, startInstance, waitUntil } from "./harness/forward";
import { MemoryStore } from "./harness/memory";
import { pause } from "../src/core/clock";
import { writeAnswer } from "./harness/raw";

prepareEach();

describe("service requests", () => {
  it("return the endpoint's response unchanged", async () => {
    await addEndpoint("a", (head, socket) => {
      writeAnswer(socket, head, "sheet 7");
    });
    await start();
    const response = await get(port, "/once/7");
    assert.deepEqual([response.status, response.body, response.isComplete], [200, "sheet 7", true]);
  });

  it("fail with 502 if a response without a length ends by a connection reset", async () => {
    await addEndpoint("a", (head, socket) => {
      const id = /x-id: (\S+)/i.exec(head)?.[1] ?? "";
      socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nconnection: close\r\n\r\nhalf of a`);
      setTimeout(() => socket.resetAndDestroy(), 30);
    });
    await start();
    const response = await get(port, "/once/7");
    assert.equal(response.status, 502);
  });

  it("accept a response without a length as complete if its connection was closed normally", async () => {
    await addEndpoint("a", (head, socket) => {
      const id = /x-id: (\S+)/i.exec(head)?.[1] ?? "";
      socket.end(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nconnection: close\r\n\r\nall of it`);
    });
    await start();
    const response = await get(port, "/once/7");
    assert.deepEqual([response.status, response.body], [200, "all of it"]);
    const { headers } = response;
    assert.equal(
      headers["content-length"],
      "9",
      "its end was asserted; without a length an end of the instance would look like it",
    );
    assert.equal(headers["transfer-encoding"], undefined);
    assert.equal(response.isComplete, true);
  });

  it("are not sent to a second endpoint if they may run once and were read by the first", async () => {
    const seen: string[] = [];
    for (const id of ["a", "b"]) {
      await addEndpoint(id, (_head, socket) => {
        seen.push(id);
        socket.resetAndDestroy();
      });
    }
    await start();
    const response = await get(port, "/once/7");
    assert.deepEqual([response.status, seen.length], [502, 1]);
  });

  it("are sent to no more endpoints than their route allows if they may be repeated", async () => {
    let seen = 0;
    for (const id of ["a", "b", "c", "d"]) {
      await addEndpoint(id, (_head, socket) => {
        seen += 1;
        socket.resetAndDestroy();
      });
    }
    await start();
    const response = await get(port, "/any/7");
    assert.deepEqual([response.status, seen], [502, 2]);
  });

  it("are sent to another endpoint if the first one responds that it did not run them", async () => {
    await addEndpoint("a", (head, socket) => {
      writeAnswer(socket, head, "", "503 Full\r\nx-not-run: 1");
    });
    await addEndpoint("b", (head, socket) => {
      writeAnswer(socket, head, "from b");
    });
    await start();
    for (let turn = 0; turn < 4; turn += 1) {
      const response = await get(port, "/once/7");
      assert.deepEqual([response.status, response.body], [200, "from b"]);
    }
  });

  it("are refused with 503 and a retry time if all endpoints are full", async () => {
    await addEndpoint("a", (head, socket) => {
      writeAnswer(socket, head, "", "503 Full\r\nx-not-run: 1");
    });
    await start();
    const response = await get(port, "/once/7");
    assert.equal(response.status, 503);
    assert.ok(Number(response.headers["x-retry-ms"]) > 0);
  });

  it("fail with 502 if the response belongs to another request", async () => {
    await addEndpoint("a", (_head, socket) => {
      socket.write("HTTP/1.1 200 OK\r\nx-id: another\r\ncontent-length: 5\r\n\r\nother");
    });
    await start();
    const response = await get(port, "/once/7");
    assert.equal(response.status, 502);
  });

  it("leave the instance ready if an endpoint cannot be reached", async () => {
    store.putEndpoint(createEntry("a", "127.0.0.1:1"));
    await start();
    const response = await get(port, "/once/7");
    assert.equal(response.status, 503);
    assert.equal((await get(readyPort, "/")).status, 200);
  });

  it("are not sent to an endpoint whose address another one has", async () => {
    const moved = await addEndpoint("a", (head, socket) => {
      writeAnswer(socket, head, "", "421 Misdirected");
    });
    await addEndpoint("b", (head, socket) => {
      writeAnswer(socket, head, "from b");
    });
    await start();
    for (let turn = 0; turn < 12; turn += 1) {
      assert.equal((await get(port, "/once/7")).status, 200);
      // Longer than a full endpoint is excluded, so that only the mismatch can keep requests away.
      await pause(160);
    }
    assert.ok(
      moved.requests.length <= 1,
      `${moved.requests.length} requests went to the endpoint that moved`,
    );
  });

  it("are cancelled at the endpoint when their caller leaves", async () => {
    const endpoint = await addEndpoint("a", () => undefined);
    await start();
    const request = httpRequest({
      host: "127.0.0.1",
      port,
      path: "/once/7",
      headers: { "x-id": "g" },
    });
    request.on("error", () => undefined);
    request.end();
    await waitUntil(() => endpoint.sockets.size === 1 && endpoint.requests.length === 1);
    request.destroy();
    await waitUntil(() => endpoint.sockets.size === 0, 400);
  });

  it("end with 504 at the caller's timeout", async () => {
    await addEndpoint("a", () => undefined);
    await start();
    const startedAt = performance.now();
    const response = await get(port, "/once/7", { "x-patience": "400" });
    assert.equal(response.status, 504);
    assert.ok(performance.now() - startedAt < 900);
  });

  it("are refused over the rate, with an unknown key, or without a route", async () => {
    await addEndpoint("a", (head, socket) => {
      writeAnswer(socket, head, "done");
    });
    await start();
    const key = { "x-key": "k1", "x-tokens": "900" };
    assert.equal((await get(port, "/keyed/1", key)).status, 200);
    const over = await get(port, "/keyed/1", key);
    assert.equal(over.status, 429);
    assert.ok(Number(over.headers["x-retry-ms"]) > 1000);
    assert.equal((await get(port, "/keyed/1", { "x-key": "wrong" })).status, 401);
    assert.equal((await get(port, "/nowhere/1")).status, 404);
  });
});

describe("configuration", () => {
  it("applies new versions and never goes back to an older one", async () => {
    await addEndpoint("a", (head, socket) => {
      writeAnswer(socket, head, "done");
    });
    await start();
    const withOne = createConfig(5);
    store.putConfig({ ...withOne, routes: withOne.routes.filter((route) => route.name !== "any") });
    await waitUntil(async () => (await get(port, "/any/1")).status === 404);
    store.putConfig(createConfig(3));
    await pause(150);
    assert.equal((await get(port, "/any/1")).status, 404);
  });

  it("ignores undecodable records in the store", async () => {
    store.endpoints.put("ghost", Buffer.from([0, 1, 2]));
    await addEndpoint("a", (head, socket) => {
      writeAnswer(socket, head, "done");
    });
    await start();
    store.configuration.put("config", Buffer.from("{{{"));
    store.configuration.put("other", Buffer.from("{}"));
    await pause(150);
    assert.equal((await get(port, "/once/1")).status, 200);
  });

  it("comes from a peer while the store is unavailable to this instance", async () => {
    await addEndpoint("a", (head, socket) => {
      writeAnswer(socket, head, "done");
    });
    await start();
    const away = new MemoryStore();
    away.configuration.isDown = true;
    away.endpoints.isDown = true;
    away.members.isDown = true;
    const peer = `127.0.0.1:${port + 2}`;
    const started = await startInstance(away, "nizwa-2", { knownPeers: [peer] });
    const { callers } = started.settings;
    await waitUntil(async () => (await get(callers.port, "/once/1")).status === 200);
    assert.equal((await get(port, "/added-since/1")).status, 404, "it reads the store itself");
    const readUnknown = () => get(callers.port, "/added-since/1");
    await waitUntil(async () => (await readUnknown()).status === 404, 2000);
    for (const feed of [store.configuration, store.endpoints]) feed.isDown = true;
    await pause(4500);
    const unknown = await readUnknown();
    await started.instance.close();
    assert.equal(unknown.status, 503, "no copy in reach is confirmed any more");
    assert.equal(unknown.headers["x-retry-ms"], "300");
  });
});
