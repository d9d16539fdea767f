/**
 * Sound answers without framing that end while their endpoint asks for a pause. Guards against a check of their end that waits for it.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { pause } from "../src/core/clock";
import { EngineStage } from "../src/fleet/entries";
import { addEndpoint, get, port, prepareEach, start, store } from "./harness/fixture";

prepareEach();

const DECODE = { service: "models", stage: EngineStage.decode };
const TOKENS = { "x-tokens": "30" };
/** Shorter than the pause that the endpoint asks for, so that the request which learns of it is refused at once. */
const SHORT_PATIENCE = { "x-patience": "1500" };
const PAUSE_MS = 2000;

const event = (id: number) => `id: ${id}\ndata: t${id}\n\n`;
const readId = (head: string) => /x-id: (\S+)/i.exec(head)?.[1] ?? "";
const openHead = (head: string, framing = "connection: close") =>
  `HTTP/1.1 200 OK\r\nx-id: ${readId(head)}\r\n${framing}\r\n\r\n`;

function answerHold(head: string, socket: Socket): boolean {
  if (!head.startsWith("POST /hold")) return false;
  socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nh1");
  return true;
}

describe("an answer without framing that ends well while its endpoint asks for a pause", () => {
  const refuse = (head: string) =>
    `HTTP/1.1 503 Busy\r\nx-id: ${readId(head)}\r\nx-not-run: 1\r\nx-pause-ms: ${PAUSE_MS}\r\ncontent-length: 0\r\n\r\n`;

  it("reaches its caller whole: a stream", async () => {
    let runs = 0;
    const answer = (head: string, socket: Socket) => {
      if (answerHold(head, socket)) return;
      runs += 1;
      if (runs > 1) {
        socket.write(refuse(head));
        return;
      }
      socket.write(openHead(head) + event(1));
      setTimeout(() => socket.end(event(2)), 600);
    };
    await addEndpoint("d1", answer, DECODE);
    await start();
    const first = get(port, "/draft/1", TOKENS);
    await pause(200);
    const second = get(port, "/draft/2", { ...TOKENS, ...SHORT_PATIENCE });
    const { status, body, isComplete } = await first;
    assert.equal((await second).status, 503);
    assert.equal(runs, 2);
    assert.deepEqual([status, body, isComplete], [200, event(1) + event(2), true]);
  });

  it("reaches its caller whole: a call", async () => {
    let runs = 0;
    const answer = (head: string, socket: Socket) => {
      runs += 1;
      if (runs > 1) {
        socket.write(refuse(head));
        return;
      }
      socket.write(`${openHead(head)}all `);
      setTimeout(() => socket.end("of it"), 600);
    };
    await addEndpoint("a", answer);
    await start();
    const first = get(port, "/once/1");
    await pause(200);
    const second = get(port, "/once/2", SHORT_PATIENCE);
    const { status, body, isComplete } = await first;
    assert.equal((await second).status, 503);
    assert.equal(runs, 2);
    assert.deepEqual([status, body, isComplete], [200, "all of it", true]);
  });
});

describe("a stream without framing whose data centre is evacuated amid it", () => {
  it("reaches its caller whole where its engine ends it well after the evacuation", async () => {
    const answer = (head: string, socket: Socket) => {
      if (answerHold(head, socket)) return;
      socket.write(openHead(head) + event(1));
      setTimeout(() => socket.end(event(2)), 900);
    };
    await addEndpoint("d1", answer, { ...DECODE, dataCentre: "bahla" });
    await start();
    const stream = get(port, "/draft/1", TOKENS);
    await pause(200);
    store.configuration.put("evacuate/bahla", Buffer.from("{}"));
    const { status, body, isComplete } = await stream;
    assert.deepEqual([status, body, isComplete], [200, event(1) + event(2), true]);
  });
});
