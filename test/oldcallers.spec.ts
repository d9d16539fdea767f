/**
 * Callers that speak HTTP/1.0, which has no chunks. Guards against framing that such a caller takes for a part of its
 * answer, and against a cut stream that looks whole to it.
 */
import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { describe, it } from "node:test";
import { EngineStage } from "../src/fleet/entries";
import { addEndpoint, port, prepareEach, start } from "./harness/fixture";
import { createEvent, encodeChunk, writeStreamHead } from "./harness/handover";
import { writeAnswer } from "./harness/raw";

prepareEach();

const ENGINE = { service: "models", stage: EngineStage.decode };

/** Adds an engine that ends its stream by `end`. */
const addEngine = (end: (socket: Socket) => void) =>
  addEndpoint(
    "d",
    (head, socket) => {
      if (head.startsWith("POST /hold")) {
        writeAnswer(socket, head, "h1");
        return;
      }
      writeStreamHead(head, socket);
      socket.write(encodeChunk(createEvent(1)));
      setTimeout(() => {
        end(socket);
      }, 100);
    },
    ENGINE,
  );

/** Reads all that comes until the connection ends. */
async function read(path: string) {
  const socket = connect(port, "127.0.0.1");
  let text = "";
  let wasReset = false;
  socket.on("data", (bytes: Buffer) => (text += bytes.toString("latin1")));
  socket.on("error", () => (wasReset = true));
  socket.write(`GET ${path} HTTP/1.0\r\nhost: test\r\nx-id: r1\r\nx-tokens: 30\r\n\r\n`);
  await new Promise((resolve) => socket.on("close", resolve));
  const [head = "", body = ""] = text.split(/\r\n\r\n(.*)/s);
  return { head, body, wasReset };
}

describe("a stream to a caller that speaks HTTP/1.0", () => {
  it("has a length and no chunks", async () => {
    await addEngine((socket) => socket.write("0\r\n\r\n"));
    await start();
    const { head, body, wasReset } = await read("/draft/1");
    assert.deepEqual([body, wasReset], [createEvent(1), false], head);
    assert.match(head, new RegExp(`^content-length: ${createEvent(1).length}\r?$`, "im"));
    assert.doesNotMatch(head, /transfer-encoding/i);
  });

  it("does not look whole if it is cut", async () => {
    await addEngine((socket) => socket.resetAndDestroy());
    await start();
    const { head, body } = await read("/draft/1");
    assert.match(head, /^HTTP\/1\.1 502 /);
    assert.match(body, /"outcome":"unknown"/);
    assert.doesNotMatch(body, /data:/);
  });

  it("is refused, and costs no other request, if there is no room to collect it", async () => {
    await addEngine((socket) => {
      const event = encodeChunk(`id: 2\ndata: ${"x".repeat(1024 * 1024)}\n\n`);
      for (let count = 0; count < 24; count += 1) {
        socket.write(event.replace("id: 2", `id: ${count + 2}`));
      }
      socket.write("0\r\n\r\n");
    });
    await start();
    const { head, body } = await read("/draft/1");
    assert.match(head, /^HTTP\/1\.1 502 /);
    assert.doesNotMatch(body, /data:/);
  });
});
