/**
 * Several requests on one connection of a caller, sent without waiting for answers. Guards against an answer, or the
 * rest of one, that its caller takes for the answer to another request.
 */
import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { EngineStage } from "../src/fleet/entries";
import { pause } from "../src/core/clock";
import { addEndpoint, port, prepareEach, start, store } from "./harness/fixture";
import { createConfig, waitUntil } from "./harness/forward";
import { writeAnswer } from "./harness/raw";

prepareEach();

/** A caller's connection, with all that was received on it. */
class RawCaller {
  text = "";
  isClosed = false;
  private readonly socket: Socket;

  constructor(at: number) {
    this.socket = connect(at, "127.0.0.1");
    this.socket.on("data", (bytes) => (this.text += bytes.toString("latin1")));
    this.socket.on("error", () => undefined);
    this.socket.on("close", () => (this.isClosed = true));
  }

  write(text: string): void {
    this.socket.write(text);
  }

  close(): void {
    this.socket.destroy();
  }

  reset(): void {
    this.socket.resetAndDestroy();
  }

  /** Lists the status and the id of each answer, in order. */
  listAnswers(): string[] {
    const heads = this.text.matchAll(/HTTP\/1\.1 (\d+)[^\r]*\r\n(.*?)\r\n\r\n/gs);
    return [...heads].map(([, status, head]) => {
      const id = /x-id: (\S+)/i.exec(head ?? "")?.[1] ?? "none";
      return `${status ?? ""} ${id}`;
    });
  }
}

describe("requests on one connection", () => {
  let caller: RawCaller;

  afterEach(() => {
    caller.close();
  });

  const formatRequest = (id: string, path: string, more = "") =>
    `GET ${path} HTTP/1.1\r\nhost: test\r\nx-id: ${id}\r\n${more}\r\n`;
  const readId = (head: string) => /x-id: (\S+)/i.exec(head)?.[1] ?? "";

  it("keep their own answers if the first one's time is up while the second one's answer is there", async () => {
    await addEndpoint("a", (head, socket) => {
      if (readId(head) === "second") writeAnswer(socket, head, "of second");
    });
    await start();
    caller = new RawCaller(port);
    const patience = "x-patience: 400\r\n";
    caller.write(formatRequest("first", "/once/1", patience) + formatRequest("second", "/once/2"));
    await waitUntil(() => caller.listAnswers().length === 2);
    assert.deepEqual(caller.listAnswers(), ["504 first", "200 second"]);
    assert.match(caller.text, /of second$/);
  });

  it("get their own answers after one whose endpoint gave it no length", async () => {
    await addEndpoint("a", (head, socket) => {
      const id = readId(head);
      if (id === "second") writeAnswer(socket, head, "of second");
      else socket.end(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nconnection: close\r\n\r\nall of it`);
    });
    await start();
    caller = new RawCaller(port);
    caller.write(formatRequest("first", "/once/1") + formatRequest("second", "/once/2"));
    await waitUntil(() => caller.text.endsWith("of second"));
    assert.deepEqual(caller.listAnswers(), ["200 first", "200 second"]);
    assert.match(caller.text, /content-length: 9\r\n[^]*\r\n\r\nall of itHTTP\/1\.1 200 /i);
    assert.equal(caller.isClosed, false);
  });

  it("are run behind an answer without a length only if their callers are told", async () => {
    const sent: string[] = [];
    await addEndpoint("a", (head, socket) => {
      const id = readId(head);
      if (id === "") return;
      sent.push(id);
      if (id === "second") writeAnswer(socket, head, "of second");
      else socket.end(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nconnection: close\r\n\r\nall of it`);
    });
    await start();
    caller = new RawCaller(port);
    caller.write(formatRequest("first", "/once/1") + formatRequest("second", "/once/2"));
    await waitUntil(() => caller.isClosed || caller.listAnswers().length === 2);
    assert.deepEqual([...sent].sort(), ["first", "second"]);
    assert.deepEqual(
      caller.listAnswers(),
      sent.sort().map((id) => `200 ${id}`),
    );
  });

  it("get nothing after a stream that was cut", async () => {
    const engine = { service: "models", stage: EngineStage.decode };
    await addEndpoint(
      "d",
      (head, socket) => {
        if (head.startsWith("POST /hold")) {
          socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nh1");
          return;
        }
        const open = `HTTP/1.1 200 OK\r\nx-id: ${readId(head)}\r\ncontent-length: 500\r\n\r\n`;
        socket.write(`${open}id: 1\ndata: t1\n\n`);
        setTimeout(() => socket.resetAndDestroy(), 50);
      },
      engine,
    );
    await addEndpoint("a", (head, socket) => {
      writeAnswer(socket, head, "of second");
    });
    await start();
    caller = new RawCaller(port);
    const tokens = "x-tokens: 300\r\n";
    caller.write(formatRequest("first", "/draft/1", tokens) + formatRequest("second", "/once/2"));
    await waitUntil(() => caller.isClosed);
    assert.deepEqual(caller.listAnswers(), ["200 first"]);
    assert.doesNotMatch(caller.text, /of second/);
  });

  it("keep their own answers if bytes that are no request follow them", async () => {
    await addEndpoint("a", (head, socket) => {
      setTimeout(() => {
        writeAnswer(socket, head, "of first");
      }, 150);
    });
    await start();
    caller = new RawCaller(port);
    caller.write(`${formatRequest("first", "/once/1")}no request\r\n\r\n`);
    await pause(50);
    caller.write("nor this\r\n\r\n");
    await waitUntil(() => caller.isClosed);
    assert.deepEqual(caller.listAnswers(), ["200 first"]);
    assert.match(caller.text, /of first$/);
  });

  it("keep their own answers if the head of the next one comes too slowly", async () => {
    await addEndpoint("a", (head, socket) => {
      setTimeout(() => {
        writeAnswer(socket, head, "of first");
      }, 2000);
    });
    const config = createConfig(2);
    store.putConfig({ ...config, limits: { ...config.limits, headersTimeoutMs: 500 } });
    await start();
    caller = new RawCaller(port);
    caller.write(`${formatRequest("first", "/once/1")}GET /once/2 HTTP/1.1\r\n`);
    await waitUntil(() => caller.isClosed);
    assert.deepEqual(caller.listAnswers(), ["200 first"]);
    assert.match(caller.text, /of first$/);
  });

  it("are all given up at their endpoints once their caller has reset the connection", async () => {
    const endpoint = await addEndpoint("a", () => undefined);
    await start();
    caller = new RawCaller(port);
    const ids = ["first", "second", "third"];
    caller.write(ids.map((id) => formatRequest(id, "/once/1")).join(""));
    await waitUntil(() => endpoint.requests.length === ids.length);
    caller.reset();
    await waitUntil(() => endpoint.sockets.size === 0, 500);
  });

  it("are refused with 400 if the body of the only one is malformed", async () => {
    await addEndpoint("a", () => undefined);
    await start();
    caller = new RawCaller(port);
    const head =
      "POST /once/1 HTTP/1.1\r\nhost: test\r\nx-id: first\r\ntransfer-encoding: chunked\r\n";
    caller.write(`${head}\r\nno length\r\n`);
    await waitUntil(() => caller.isClosed);
    assert.match(caller.text, /^HTTP\/1\.1 400 /);
    assert.equal(caller.listAnswers().length, 1);
  });
});
