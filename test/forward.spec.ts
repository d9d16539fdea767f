/**
 * Requests that are forwarded whole, through a real instance to endpoints that misbehave on the wire.
 */
import assert from "node:assert/strict";
import { Agent, request as httpRequest } from "node:http";
import { after, afterEach, beforeEach, describe, it } from "node:test";
import { EngineStage } from "../src/fleet/directory";
import type { ForwardInstance } from "../src/forward/instance";
import {
  createConfig,
  createEntry,
  MemoryStore,
  pause,
  RawEndpoint,
  startInstance,
  waitUntil,
  writeAnswer,
} from "./harness/forward";

interface Got {
  readonly status: number;
  readonly body: string;
  /** True where the answer ended as a complete one. */
  readonly isComplete: boolean;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

let store: MemoryStore;
let instance: ForwardInstance;
let port = 0;
let readyPort = 0;
let opened: RawEndpoint[] = [];
let count = 0;

async function start(): Promise<void> {
  const started = await startInstance(store, "nizwa-1");
  instance = started.instance;
  port = started.settings.callers.port;
  readyPort = started.settings.ready.port;
  await waitUntil(async () => (await get(readyPort, "/")).status === 200);
}

async function addEndpoint(
  id: string,
  answer: ConstructorParameters<typeof RawEndpoint>[0],
  more = {},
): Promise<RawEndpoint> {
  const endpoint = new RawEndpoint(answer);
  opened.push(endpoint);
  store.list(createEntry(id, await endpoint.listen(), more));
  return endpoint;
}

function get(
  at: number,
  path: string,
  headers: Record<string, string> = {},
  agent?: Agent,
): Promise<Got> {
  count += 1;
  const id = `r${count}`;
  return new Promise((resolve, reject) => {
    const request = httpRequest(
      { host: "127.0.0.1", port: at, path, agent, headers: { "x-id": id, ...headers } },
      (response) => {
        let body = "";
        response.on("data", (bytes: Buffer) => (body += bytes.toString()));
        const finish = () => {
          const { statusCode = 0, headers: got, complete } = response;
          resolve({ status: statusCode, body, isComplete: complete, headers: got });
        };
        response.on("end", finish);
        response.on("error", finish);
      },
    );
    request.on("error", reject);
    request.end();
  });
}

beforeEach(() => {
  store = new MemoryStore();
  store.publish(createConfig(1));
  opened = [];
});

afterEach(async () => {
  await instance.close();
  for (const endpoint of opened) endpoint.close();
});

after(() => {
  setTimeout(() => process.exit(), 500).unref();
});

describe("plain requests", () => {
  it("brings the endpoint's answer back as it was", async () => {
    await addEndpoint("a", (head, socket) => {
      writeAnswer(socket, head, "sheet 7");
    });
    await start();
    const got = await get(port, "/once/7");
    assert.deepEqual([got.status, got.body, got.isComplete], [200, "sheet 7", true]);
  });

  it("does not take an answer without a length for whole where its connection was reset", async () => {
    await addEndpoint("a", (head, socket) => {
      const id = /x-id: (\S+)/i.exec(head)?.[1] ?? "";
      socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nconnection: close\r\n\r\nhalf of a`);
      setTimeout(() => socket.resetAndDestroy(), 30);
    });
    await start();
    const got = await get(port, "/once/7");
    assert.equal(got.status, 502);
  });

  it("takes an answer without a length for whole where its connection ended", async () => {
    await addEndpoint("a", (head, socket) => {
      const id = /x-id: (\S+)/i.exec(head)?.[1] ?? "";
      socket.end(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nconnection: close\r\n\r\nall of it`);
    });
    await start();
    const got = await get(port, "/once/7");
    assert.deepEqual([got.status, got.body], [200, "all of it"]);
  });

  it("sends a request that may run once to no second endpoint after it was read", async () => {
    const seen: string[] = [];
    for (const id of ["a", "b"]) {
      await addEndpoint(id, (_head, socket) => {
        seen.push(id);
        socket.resetAndDestroy();
      });
    }
    await start();
    const got = await get(port, "/once/7");
    assert.deepEqual([got.status, seen.length], [502, 1]);
  });

  it("sends a request elsewhere that an endpoint says it has not run", async () => {
    await addEndpoint("a", (_head, socket) => {
      socket.write("HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n");
    });
    await addEndpoint("b", (head, socket) => {
      writeAnswer(socket, head, "from b");
    });
    await start();
    for (let turn = 0; turn < 4; turn += 1) {
      const got = await get(port, "/once/7");
      assert.deepEqual([got.status, got.body], [200, "from b"]);
    }
  });

  it("says not run, with when to come back, where all endpoints are full", async () => {
    await addEndpoint("a", (_head, socket) => {
      socket.write("HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n");
    });
    await start();
    const got = await get(port, "/once/7");
    assert.equal(got.status, 503);
    assert.ok(Number(got.headers["x-retry-ms"]) > 0);
  });

  it("does not hand out an answer that belongs to another request", async () => {
    await addEndpoint("a", (_head, socket) => {
      socket.write("HTTP/1.1 200 OK\r\nx-id: another\r\ncontent-length: 5\r\n\r\nother");
    });
    await start();
    const got = await get(port, "/once/7");
    assert.equal(got.status, 502);
  });

  it("lives on where an endpoint cannot be reached", async () => {
    store.list(createEntry("a", "127.0.0.1:1"));
    await start();
    const got = await get(port, "/once/7");
    assert.equal(got.status, 503);
    assert.equal((await get(readyPort, "/")).status, 200);
  });

  it("passes over an endpoint whose address another one has", async () => {
    const moved = await addEndpoint("a", (_head, socket) => {
      socket.write("HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n");
    });
    await addEndpoint("b", (head, socket) => {
      writeAnswer(socket, head, "from b");
    });
    await start();
    for (let turn = 0; turn < 12; turn += 1) assert.equal((await get(port, "/once/7")).status, 200);
    assert.ok(
      moved.requests.length <= 1,
      `${moved.requests.length} went to the endpoint that moved`,
    );
  });

  it("ends work at the endpoint when its caller leaves", async () => {
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

  it("gives its final answer at the route's timeout", async () => {
    await addEndpoint("a", () => undefined);
    await start();
    const startedAt = performance.now();
    const got = await get(port, "/once/7", { "x-patience": "400" });
    assert.equal(got.status, 504);
    assert.ok(performance.now() - startedAt < 900);
  });

  it("refuses what is over the rate, and an unknown key", async () => {
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
  it("follows new versions and never goes back", async () => {
    await addEndpoint("a", (head, socket) => {
      writeAnswer(socket, head, "done");
    });
    await start();
    const withOne = createConfig(5);
    store.publish({ ...withOne, routes: withOne.routes.filter((route) => route.name !== "any") });
    await waitUntil(async () => (await get(port, "/any/1")).status === 404);
    store.publish(createConfig(3));
    await pause(150);
    assert.equal((await get(port, "/any/1")).status, 404);
  });

  it("passes over garbage in the store", async () => {
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

  it("comes from a peer while the store turns this instance away", async () => {
    await addEndpoint("a", (head, socket) => {
      writeAnswer(socket, head, "done");
    });
    await start();
    const away = new MemoryStore();
    away.configuration.isDown = true;
    away.endpoints.isDown = true;
    away.members.isDown = true;
    const first = instance;
    const peer = `127.0.0.1:${port + 2}`;
    const started = await startInstance(away, "nizwa-2", { knownPeers: [peer] });
    const { callers } = started.settings;
    await waitUntil(async () => (await get(callers.port, "/once/1")).status === 200);
    await started.instance.close();
    instance = first;
  });
});

describe("generations", () => {
  const event = (id: number) => `id: ${id}\ndata: t${id}\n\n`;
  const openStream = (head: string) =>
    `HTTP/1.1 200 OK\r\nx-id: ${/x-id: (\S+)/i.exec(head)?.[1] ?? ""}\r\n` +
    "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
  const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
  const answerHold = (head: string, socket: import("node:net").Socket): boolean => {
    if (!head.startsWith("POST /hold")) return false;
    socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nh1");
    return true;
  };
  const decode = { service: "models", stage: EngineStage.decode };
  const prefill = { service: "models", stage: EngineStage.prefill };

  it("prefills at one engine and streams from another", async () => {
    const first = await addEndpoint(
      "p",
      (_head, socket) => {
        socket.write("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nkv7");
      },
      prefill,
    );
    const second = await addEndpoint(
      "d",
      (head, socket) => {
        if (answerHold(head, socket)) return;
        socket.write(openStream(head) + chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n");
      },
      decode,
    );
    await start();
    const got = await get(port, "/draft/1", { "x-tokens": "300" });
    assert.deepEqual([got.status, got.body, got.isComplete], [200, event(1) + event(2), true]);
    assert.match(first.requests[0] ?? "", /x-task: prefill/);
    assert.match(second.requests.at(-1) ?? "", /x-source: kv7/);
    assert.match(second.requests.at(-1) ?? "", /x-hold: h1/);
  });

  it("goes on after the last whole event at another engine, each event once", async () => {
    let sends = 0;
    const answer = (head: string, socket: import("node:net").Socket) => {
      if (answerHold(head, socket)) return;
      sends += 1;
      if (sends === 1) {
        socket.write(openStream(head) + chunk(event(1)) + chunk("id: 2\nda"));
        setTimeout(() => socket.resetAndDestroy(), 30);
        return;
      }
      assert.match(head, /x-after: 1/);
      socket.write(openStream(head) + chunk(event(2)) + chunk(event(3)) + "0\r\n\r\n");
    };
    await addEndpoint("d1", answer, decode);
    await addEndpoint("d2", answer, decode);
    await start();
    const got = await get(port, "/summary/1", { "x-tokens": "300" });
    assert.deepEqual([got.body, got.isComplete], [event(1) + event(2) + event(3), true]);
  });

  it("breaks a stream off that may run once, so that it cannot look complete", async () => {
    await addEndpoint(
      "d",
      (head, socket) => {
        if (answerHold(head, socket)) return;
        socket.write(openStream(head) + chunk(event(1)));
        setTimeout(() => socket.resetAndDestroy(), 30);
      },
      decode,
    );
    await start();
    const got = await get(port, "/draft/1", { "x-tokens": "300" });
    assert.deepEqual([got.body, got.isComplete], [event(1), false]);
  });

  it("gives up in good time where no engine has room, and says when to come back", async () => {
    await addEndpoint(
      "d",
      (_head, socket) => {
        socket.write("HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n");
      },
      decode,
    );
    await start();
    const startedAt = performance.now();
    const got = await get(port, "/draft/1", { "x-tokens": "300" });
    assert.equal(got.status, 503);
    assert.ok(performance.now() - startedAt < 1000);
    assert.ok(Number(got.headers["x-retry-ms"]) > 0);
  });

  it("offers a prompt that was read to a second engine where the first does not take it", async () => {
    const first = await addEndpoint(
      "p",
      (_head, socket) => {
        socket.write("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nkv7");
      },
      prefill,
    );
    let refusals = 0;
    const answer = (head: string, socket: import("node:net").Socket) => {
      if (answerHold(head, socket)) return;
      refusals += 1;
      if (refusals === 1) {
        socket.write("HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n");
        return;
      }
      assert.match(head, /x-source: kv7/);
      socket.write(openStream(head) + chunk(event(1)) + "0\r\n\r\n");
    };
    await addEndpoint("d1", answer, decode);
    await addEndpoint("d2", answer, decode);
    await start();
    const got = await get(port, "/draft/1", { "x-tokens": "300" });
    assert.equal(got.body, event(1));
    assert.equal(first.requests.length, 1, "the prompt is read once");
  });
});

describe("a stopping instance", () => {
  it("is not ready at once, finishes what it has, and ends kept connections", async () => {
    await addEndpoint("a", (head, socket) => {
      const isSlow = head.includes("/once/slow");
      setTimeout(
        () => {
          writeAnswer(socket, head, "done");
        },
        isSlow ? 1500 : 5,
      );
    });
    await start();
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const slow = get(port, "/once/slow");
    await pause(50);
    const closing = instance.close();
    assert.equal((await get(readyPort, "/")).status, 503);
    const kept = await get(port, "/once/7", {}, agent);
    assert.deepEqual([kept.status, kept.headers.connection], [200, "close"]);
    assert.equal((await slow).status, 200);
    await closing;
    agent.destroy();
  });

  it("ends a connection whose stream began before the stop", async () => {
    let finishStream: () => void = () => undefined;
    await addEndpoint(
      "d",
      (head, socket) => {
        if (head.startsWith("POST /hold")) {
          socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nh1");
          return;
        }
        const id = /x-id: (\S+)/i.exec(head)?.[1] ?? "";
        socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\ntransfer-encoding: chunked\r\n\r\n`);
        socket.write("e\r\nid: 1\ndata:x\n\n\r\n");
        finishStream = () => socket.write("0\r\n\r\n");
      },
      { service: "models", stage: EngineStage.decode },
    );
    await start();
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const stream = get(port, "/draft/1", { "x-tokens": "30" }, agent);
    await pause(300);
    const closing = instance.close();
    await pause(100);
    finishStream();
    const got = await stream;
    assert.deepEqual([got.status, got.isComplete], [200, true]);
    await waitUntil(() => Object.keys(agent.freeSockets).length === 0, 500);
    await closing;
    agent.destroy();
  });
});
