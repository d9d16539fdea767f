/**
 * Answers that their caller takes late, or amid which it sends more. Guards against an end of this process that looks like the end of the answer.
 */
import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { describe, it } from "node:test";
import { pause } from "../src/core/clock";
import { EngineStage } from "../src/fleet/entries";
import { addEndpoint, port, prepareEach, start, store } from "./harness/fixture";
import { createConfig } from "./harness/forward";

prepareEach();

const DECODE = { service: "models", stage: EngineStage.decode };

const event = (id: number) => `id: ${id}\ndata: t${id}\n\n`;
const readId = (head: string) => /x-id: (\S+)/i.exec(head)?.[1] ?? "";
const openHead = (head: string, framing = "connection: close") =>
  `HTTP/1.1 200 OK\r\nx-id: ${readId(head)}\r\n${framing}\r\n\r\n`;

function answerHold(head: string, socket: Socket): boolean {
  if (!head.startsWith("POST /hold")) return false;
  socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nh1");
  return true;
}

describe("an answer without framing that its caller takes too late", () => {
  const BYTES = 12 * 1024 * 1024;
  const IDLE_TIMEOUT_MS = 300;

  interface Taken {
    readonly bytes: number;
    readonly isReset: boolean;
    /** Length of the body that the head names; undefined if it names none. */
    readonly length: number | undefined;
  }

  /** Asks for an answer, takes nothing for a while, then all that comes. */
  function takeLate(path: string, waitMs: number): Promise<Taken> {
    return new Promise((resolve) => {
      const socket = connect(port, "127.0.0.1");
      let bytes = 0;
      let isReset = false;
      let head = "";
      socket.pause();
      socket.on("error", () => (isReset = true));
      socket.on("data", (part: Buffer) => {
        if (bytes === 0) head = part.toString("latin1").split("\r\n\r\n")[0] ?? "";
        bytes += part.length;
      });
      socket.on("close", () => {
        const length = /content-length: (\d+)/i.exec(head)?.[1];
        resolve({ bytes, isReset, length: length === undefined ? undefined : Number(length) });
      });
      socket.write(`GET ${path} HTTP/1.1\r\nhost: a\r\nx-id: late\r\n\r\n`);
      void pause(waitMs).then(() => socket.resume());
    });
  }

  it("does not end as complete after a part of it", async () => {
    const config = createConfig(2);
    store.putConfig({ ...config, limits: { ...config.limits, idleTimeoutMs: IDLE_TIMEOUT_MS } });
    await addEndpoint("a", (head, socket) => {
      socket.write(openHead(head));
      socket.end(Buffer.alloc(BYTES, "a"));
    });
    await start();
    const { bytes, isReset, length } = await takeLate("/any/1", 4000);
    const isShort = length === BYTES && bytes < BYTES;
    assert.ok(
      bytes >= BYTES || isReset || isShort,
      `ended as complete after ${bytes} of ${BYTES} bytes`,
    );
  });
});

describe("an answer without framing whose caller sends bytes that are no request amid it", () => {
  const BYTES = 12 * 1024 * 1024;

  for (const junk of ["\u0000\u0001junk\r\n\r\n", "GET / HTTP/9.9\r\n\r\n"]) {
    it(`does not end as complete after a part of it: ${JSON.stringify(junk)}`, async () => {
      await addEndpoint("a", (head, socket) => {
        socket.write(openHead(head));
        socket.end(Buffer.alloc(BYTES, "a"));
      });
      await start();
      const socket = connect(port, "127.0.0.1");
      let bytes = 0;
      let isReset = false;
      socket.on("error", () => (isReset = true));
      socket.on("data", (part: Buffer) => {
        if (bytes === 0) socket.write(junk);
        bytes += part.length;
        socket.pause();
        setTimeout(() => socket.resume(), 5);
      });
      const closed = new Promise((resolve) => socket.once("close", resolve));
      socket.write("GET /any/1 HTTP/1.1\r\nhost: a\r\nx-id: junk\r\n\r\n");
      await closed;
      assert.ok(bytes >= BYTES || isReset, `ended as complete after ${bytes} of ${BYTES} bytes`);
    });
  }
});

describe("a stream whose engine pauses for longer than the idle timeout of callers", () => {
  const FRAMINGS = { "without framing": "connection: close", chunks: "transfer-encoding: chunked" };

  for (const [name, framing] of Object.entries(FRAMINGS)) {
    it(`reaches its caller whole where that sends another request amid it: ${name}`, async () => {
      const config = createConfig(2);
      store.putConfig({ ...config, limits: { ...config.limits, idleTimeoutMs: 300 } });
      const isChunked = name === "chunks";
      const frame = (text: string) =>
        isChunked ? `${text.length.toString(16)}\r\n${text}\r\n` : text;
      const answer = (head: string, socket: Socket) => {
        if (answerHold(head, socket)) return;
        socket.write(openHead(head, framing) + frame(event(1)));
        setTimeout(() => {
          if (isChunked) socket.write(`${frame(event(2))}0\r\n\r\n`);
          else socket.end(event(2));
        }, 1500);
      };
      for (const id of ["d1", "d2"]) await addEndpoint(id, answer, DECODE);
      await start();
      const socket = connect(port, "127.0.0.1");
      let text = "";
      let isReset = false;
      socket.on("error", () => (isReset = true));
      const ask = (id: string) =>
        `GET /draft/${id} HTTP/1.1\r\nhost: a\r\nx-id: ${id}\r\nx-tokens: 30\r\n\r\n`;
      socket.on("data", (bytes: Buffer) => {
        if (text === "") setTimeout(() => socket.write(ask("second")), 50);
        text += bytes.toString();
        if (text.includes("0\r\n\r\n")) socket.destroy();
      });
      const closed = new Promise((resolve) => socket.once("close", resolve));
      const limit = setTimeout(() => socket.destroy(), 5000);
      socket.write(ask("first"));
      await closed;
      clearTimeout(limit);
      assert.ok(text.includes(event(2)), `reset: ${isReset}; ${text}`);
    });
  }
});
