/**
 * Generations and graceful shutdown through a real instance. Engines break connections in the middle of a stream
 * or refuse work; the tests guard against lost, repeated or wrongly completed events.
 */
import assert from "node:assert/strict";
import { Agent } from "node:http";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { EngineStage } from "../src/fleet/entries";
import { addEndpoint, get, instance, port, prepareEach, readyPort, start } from "./harness/fixture";
import { pause } from "../src/core/clock";
import { type RawEndpoint, writeAnswer } from "./harness/raw";
import { waitUntil } from "./harness/forward";

prepareEach();

describe("generations", () => {
  const event = (id: number) => `id: ${id}\ndata: t${id}\n\n`;
  const openStream = (head: string) =>
    `HTTP/1.1 200 OK\r\nx-id: ${/x-id: (\S+)/i.exec(head)?.[1] ?? ""}\r\n` +
    "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
  const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
  const answerHold = (head: string, socket: Socket): boolean => {
    if (!head.startsWith("POST /hold")) return false;
    socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nh1");
    return true;
  };
  const decode = { service: "models", stage: EngineStage.decode };
  const prefill = { service: "models", stage: EngineStage.prefill };

  it("are prefilled at one engine and streamed from another", async () => {
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
    const response = await get(port, "/draft/1", { "x-tokens": "300" });
    assert.deepEqual(
      [response.status, response.body, response.isComplete],
      [200, event(1) + event(2), true],
    );
    assert.match(first.requests[0] ?? "", /x-task: prefill/);
    assert.match(second.requests.at(-1) ?? "", /x-source: kv7/);
    assert.match(second.requests.at(-1) ?? "", /x-hold: h1/);
  });

  it("resume after the last whole event at another engine, each event once", async () => {
    let sends = 0;
    const engines: RawEndpoint[] = [];
    const answer = (head: string, socket: Socket) => {
      if (answerHold(head, socket)) return;
      sends += 1;
      if (sends === 1) {
        socket.write(openStream(head) + chunk(event(1)) + chunk("id: 2\nda"));
        const crashed = engines.find((engine) => engine.sockets.has(socket));
        setTimeout(() => crashed?.close(), 30);
        return;
      }
      assert.match(head, /x-after: 1/);
      socket.write(openStream(head) + chunk(event(2)) + chunk(event(3)) + "0\r\n\r\n");
    };
    for (const id of ["d1", "d2"]) engines.push(await addEndpoint(id, answer, decode));
    await start();
    const response = await get(port, "/summary/1", { "x-tokens": "300" });
    assert.deepEqual([response.body, response.isComplete], [event(1) + event(2) + event(3), true]);
    assert.ok(engines.every((engine) => engine.requests.length > 0));
  });

  it("resume at the same engine if only the connection broke, without a second prefill", async () => {
    const prefillEngine = await addEndpoint(
      "p",
      (_head, socket) => {
        socket.write("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nkv7");
      },
      prefill,
    );
    let sends = 0;
    const engines: RawEndpoint[] = [];
    const answer = (head: string, socket: Socket) => {
      if (answerHold(head, socket)) return;
      sends += 1;
      if (sends === 1) {
        socket.write(openStream(head) + chunk(event(1)));
        setTimeout(() => socket.resetAndDestroy(), 30);
        return;
      }
      socket.write(openStream(head) + chunk(event(2)) + "0\r\n\r\n");
    };
    for (const id of ["d1", "d2"]) engines.push(await addEndpoint(id, answer, decode));
    await start();
    const response = await get(port, "/summary/1", { "x-tokens": "300" });
    assert.deepEqual([response.body, response.isComplete], [event(1) + event(2), true]);
    assert.equal(prefillEngine.requests.length, 1);
    const used = engines.filter((engine) => engine.requests.length > 0);
    assert.equal(used.length, 1, "the engine that has the prompt in its cache");
  });

  it("end with a broken connection if they may run once, so that a cut stream cannot look complete", async () => {
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
    const response = await get(port, "/draft/1", { "x-tokens": "300" });
    assert.deepEqual([response.body, response.isComplete], [event(1), false]);
  });

  it("are refused within one second, with a retry time, if no engine has room", async () => {
    await addEndpoint(
      "d",
      (_head, socket) => {
        socket.write("HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n");
      },
      decode,
    );
    await start();
    const startedAt = performance.now();
    const response = await get(port, "/draft/1", { "x-tokens": "300" });
    assert.equal(response.status, 503);
    assert.ok(performance.now() - startedAt < 1000);
    assert.ok(Number(response.headers["x-retry-ms"]) > 0);
  });

  it("hand the prefilled prompt to a second engine if the first refuses", async () => {
    const first = await addEndpoint(
      "p",
      (_head, socket) => {
        socket.write("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nkv7");
      },
      prefill,
    );
    let refusals = 0;
    const answer = (head: string, socket: Socket) => {
      if (answerHold(head, socket)) return;
      refusals += 1;
      if (refusals === 1) {
        writeAnswer(socket, head, "", "503 Busy\r\nx-not-run: 1");
        return;
      }
      assert.match(head, /x-source: kv7/);
      socket.write(openStream(head) + chunk(event(1)) + "0\r\n\r\n");
    };
    await addEndpoint("d1", answer, decode);
    await addEndpoint("d2", answer, decode);
    await start();
    const response = await get(port, "/draft/1", { "x-tokens": "300" });
    assert.equal(response.body, event(1));
    assert.equal(first.requests.length, 1, "the prompt is prefilled once");
  });
});

describe("a stopping instance", () => {
  it("is immediately not ready, finishes accepted requests, and closes keep-alive connections", async () => {
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
    const keepAliveResponse = await get(port, "/once/7", {}, agent);
    assert.deepEqual(
      [keepAliveResponse.status, keepAliveResponse.headers.connection],
      [200, "close"],
    );
    assert.equal((await slow).status, 200);
    await closing;
    agent.destroy();
  });

  it("closes a connection whose stream began before the stop", async () => {
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
    const response = await stream;
    assert.deepEqual([response.status, response.isComplete], [200, true]);
    await waitUntil(() => Object.keys(agent.freeSockets).length === 0, 500);
    await closing;
    agent.destroy();
  });
});
