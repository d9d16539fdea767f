/**
 * Endpoints that ask for a pause or announce that they leave, through a real instance. Guards against requests of any
 * kind that reach an endpoint which wants none: requests, retries, streams that go on, prefills, holds, releases and stage orders.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { pause } from "../src/core/clock";
import { EngineStage } from "../src/fleet/entries";
import { addEndpoint, get, port, prepareEach, start, store } from "./harness/fixture";
import { createEntry, startInstance, waitUntil } from "./harness/forward";
import { type RawEndpoint, writeAnswer } from "./harness/raw";

prepareEach();

const PAUSE_MS = 800;

function writeRefusal(socket: Socket, head: string, pauseMs: number): void {
  const id = /x-id: (\S+)/i.exec(head)?.[1] ?? "";
  socket.write(
    `HTTP/1.1 503 Full\r\nx-id: ${id}\r\nx-not-run: 1\r\nx-pause-ms: ${pauseMs}\r\ncontent-length: 0\r\n\r\n`,
  );
}

function writeLeaving(socket: Socket, head: string, status = "200 OK"): void {
  const id = /x-id: (\S+)/i.exec(head)?.[1] ?? "";
  const notRun = status.startsWith("503") ? "x-not-run: 1\r\n" : "";
  socket.write(
    `HTTP/1.1 ${status}\r\nx-id: ${id}\r\n${notRun}x-leaving: 1\r\ncontent-length: 2\r\n\r\nok`,
  );
}

const event = (id: number) => `id: ${id}\ndata: t${id}\n\n`;
const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;

function writeStreamHead(socket: Socket, head: string, more = ""): void {
  const id = /x-id: (\S+)/i.exec(head)?.[1] ?? "";
  socket.write(
    `HTTP/1.1 200 OK\r\nx-id: ${id}\r\n${more}content-type: text/event-stream\r\n` +
      "transfer-encoding: chunked\r\n\r\n",
  );
}

function writeStream(socket: Socket, head: string, more = ""): void {
  writeStreamHead(socket, head, more);
  socket.write(chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n");
}

function answerHold(head: string, socket: Socket): boolean {
  if (!head.startsWith("POST /hold")) return false;
  socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nh1");
  return true;
}

const decode = { service: "models", stage: EngineStage.decode };
const prefill = { service: "models", stage: EngineStage.prefill };

describe("an endpoint that asks for a pause", () => {
  it("gets nothing until the pause ends, and requests after it", async () => {
    let pausedAt = 0;
    const arrivals: number[] = [];
    await addEndpoint("a", (head, socket) => {
      if (pausedAt === 0) pausedAt = performance.now();
      arrivals.push(performance.now());
      writeRefusal(socket, head, PAUSE_MS);
    });
    await addEndpoint("b", (head, socket) => {
      writeAnswer(socket, head, "from b");
    });
    await start();
    const sendFor = async (ms: number) => {
      const end = performance.now() + ms;
      while (performance.now() < end) {
        assert.equal((await get(port, "/any/1")).status, 200);
        await pause(10);
      }
    };
    await sendFor(500);
    assert.equal(arrivals.length, 1);
    await sendFor(PAUSE_MS);
    assert.ok(arrivals.length >= 2, "it is used again after its pause");
    for (const [index, at] of arrivals.entries()) {
      assert.ok(index === 0 || at - (arrivals[index - 1] ?? 0) >= PAUSE_MS - 5);
    }
  });

  it("makes the instance refuse at once with the least pause if all endpoints ask for one", async () => {
    const endpoints: RawEndpoint[] = [];
    for (const [id, pauseMs] of [
      ["a", 900],
      ["b", 1500],
    ] as const) {
      endpoints.push(
        await addEndpoint(id, (head, socket) => {
          writeRefusal(socket, head, pauseMs);
        }),
      );
    }
    await start();
    await get(port, "/any/1");
    const startedAt = performance.now();
    const response = await get(port, "/any/2");
    assert.equal(response.status, 503);
    const retryMs = Number(response.headers["x-retry-ms"]);
    assert.ok(retryMs > 600 && retryMs <= 900, `${retryMs} ms`);
    assert.ok(performance.now() - startedAt < 100, "it does not wait");
    assert.deepEqual(
      endpoints.map((endpoint) => endpoint.requests.length),
      [1, 1],
    );
  });

  it("gets no holds, and generations go to another engine", async () => {
    const paused = await addEndpoint(
      "d1",
      (head, socket) => {
        writeRefusal(socket, head, PAUSE_MS);
      },
      decode,
    );
    await addEndpoint(
      "d2",
      (head, socket) => {
        if (!answerHold(head, socket)) writeStream(socket, head);
      },
      decode,
    );
    await start();
    for (let turn = 0; turn < 8; turn += 1) {
      const response = await get(port, "/draft/1", { "x-tokens": "300" });
      assert.equal(response.status, 200);
    }
    assert.ok(paused.requests.length <= 1, `${paused.requests.length} holds`);
  });

  it("makes generations be refused at once if it is the only engine", async () => {
    await addEndpoint(
      "d1",
      (head, socket) => {
        writeRefusal(socket, head, PAUSE_MS);
      },
      decode,
    );
    await start();
    const startedAt = performance.now();
    const response = await get(port, "/draft/1", { "x-tokens": "300" });
    assert.equal(response.status, 503);
    assert.ok(performance.now() - startedAt < 300, "it does not wait in the queue");
    const retryMs = Number(response.headers["x-retry-ms"]);
    assert.ok(retryMs > 300 && retryMs <= PAUSE_MS, `${retryMs} ms`);
  });

  it("gets no prefills: decode engines read the prompts meanwhile", async () => {
    const paused = await addEndpoint(
      "p",
      (head, socket) => {
        writeRefusal(socket, head, 5000);
      },
      prefill,
    );
    await addEndpoint(
      "d",
      (head, socket) => {
        if (!answerHold(head, socket)) writeStream(socket, head);
      },
      decode,
    );
    await start();
    for (let turn = 0; turn < 4; turn += 1) {
      const response = await get(port, "/draft/1", { "x-tokens": "300" });
      assert.equal(response.status, 200);
      await pause(600);
    }
    assert.equal(paused.requests.length, 1);
  });

  it("gets releases only after its pause, and none that would come too late", async () => {
    const pauses = [300, 5000];
    const released: number[] = [];
    let pausedAt = 0;
    // The first prefill succeeds; the release of its KV cache falls into the pause that a second one asked for.
    const reader = await addEndpoint(
      "p",
      (head, socket) => {
        if (head.startsWith("DELETE")) {
          released.push(performance.now() - pausedAt);
          socket.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
          return;
        }
        if (head.includes("x-id: pauser")) {
          pausedAt = performance.now();
          writeRefusal(socket, head, pauses.shift() ?? 0);
          return;
        }
        socket.write("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nkv7");
      },
      prefill,
    );
    await addEndpoint(
      "d",
      (head, socket) => {
        if (answerHold(head, socket)) return;
        if (head.includes("x-id: pauser")) {
          writeStream(socket, head);
          return;
        }
        // Refuses the generation only after the prefill engine has asked for a pause.
        setTimeout(() => {
          writeAnswer(socket, head, "", "503 Full\r\nx-not-run: 1");
        }, 60);
      },
      decode,
    );
    await start();
    for (const expected of [1, 1]) {
      const refused = get(port, "/draft/1", { "x-tokens": "300", "x-patience": "200" });
      await waitUntil(() => reader.requests.some((head) => head.includes("x-task: prefill")));
      await get(port, "/draft/2", { "x-tokens": "300", "x-id": "pauser" });
      assert.equal((await refused).status, 503);
      await pause(700);
      assert.equal(released.length, expected);
    }
    assert.ok(
      (released[0] ?? 0) >= 295,
      `released ${released[0]} ms after the pause was asked for`,
    );
  });
});

describe("an endpoint that says in its responses that it leaves", () => {
  const sendMany = async (at: number, path: string) => {
    for (let turn = 0; turn < 12; turn += 1) {
      assert.equal((await get(at, path)).status, 200);
      await pause(20);
    }
  };

  for (const [kind, status] of [
    ["a success", "200 OK"],
    ["a refusal", "503 Full"],
  ] as const) {
    it(`gets no further request after ${kind}`, async () => {
      const leaving = await addEndpoint("a", (head, socket) => {
        writeLeaving(socket, head, status);
      });
      await addEndpoint("b", (head, socket) => {
        writeAnswer(socket, head, "from b");
      });
      await start();
      await sendMany(port, "/any/1");
      assert.equal(leaving.requests.length, 1);
    });
  }

  it("is avoided by peers, which hear of it", async () => {
    const leaving = await addEndpoint("a", (head, socket) => {
      writeLeaving(socket, head);
    });
    await addEndpoint("b", (head, socket) => {
      writeAnswer(socket, head, "from b");
    });
    await start();
    const peer = await startInstance(store, "nizwa-2", { knownPeers: [`127.0.0.1:${port + 2}`] });
    await waitUntil(async () => (await get(peer.settings.ready.port, "/")).status === 200);
    await sendMany(port, "/any/1");
    assert.equal(leaving.requests.length, 1);
    await pause(1200);
    await sendMany(peer.settings.callers.port, "/any/1");
    await peer.instance.close();
    assert.equal(leaving.requests.length, 1);
  });

  it("is used again once it has started anew under the same id", async () => {
    let isLeaving = true;
    const endpoint = await addEndpoint("a", (head, socket) => {
      if (isLeaving) writeLeaving(socket, head);
      else writeAnswer(socket, head, "anew");
    });
    await addEndpoint("b", (head, socket) => {
      writeAnswer(socket, head, "from b");
    });
    await start();
    await sendMany(port, "/any/1");
    isLeaving = false;
    const address = [...endpoint.sockets][0]?.localPort ?? 0;
    store.putEndpoint(createEntry("a", `127.0.0.1:${address}`, { processStartedAt: 2 }));
    await waitUntil(async () => (await get(port, "/any/1")).body === "anew");
  });

  it("gets no new generation after a hold or a stream that says so", async () => {
    const counts = { hold: 0, stream: 0 };
    await addEndpoint(
      "d1",
      (head, socket) => {
        counts.hold += 1;
        if (head.startsWith("POST /hold"))
          socket.write("HTTP/1.1 200 OK\r\nx-leaving: 1\r\ncontent-length: 2\r\n\r\nh1");
        else socket.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
      },
      decode,
    );
    await addEndpoint(
      "d2",
      (head, socket) => {
        if (answerHold(head, socket)) return;
        counts.stream += 1;
        writeStream(socket, head, "x-leaving: 1\r\n");
      },
      decode,
    );
    await addEndpoint(
      "d3",
      (head, socket) => {
        if (!answerHold(head, socket)) writeStream(socket, head);
      },
      decode,
    );
    await start();
    for (let turn = 0; turn < 8; turn += 1) {
      const response = await get(port, "/draft/1", { "x-tokens": "300" });
      assert.equal(response.status, 200);
    }
    assert.ok(counts.hold <= 2, "one hold and its release");
    assert.ok(counts.stream <= 1);
  });
});
