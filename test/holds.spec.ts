/**
 * Holds and their queue when generations share an id or find no connection. Guards against
 * generations that get no answer, and against engine memory that stays reserved for nobody.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { pause } from "../src/core/clock";
import { EngineStage } from "../src/fleet/directory";
import { addEndpoint, get, port, prepareEach, start } from "./harness/fixture";

prepareEach();

/** The route's timeout with what the answer may take after it, in milliseconds. */
const ANSWER_TIMEOUT_MS = 6500;

const DECODE = { service: "models", stage: EngineStage.decode };

const isHold = (head: string) => head.startsWith("POST /hold");
const isRelease = (head: string) => head.startsWith("DELETE ");

function writePlain(socket: Socket, body: string, status = "200 OK"): void {
  socket.write(`HTTP/1.1 ${status}\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
}

function writeStream(socket: Socket, head: string): void {
  const id = /x-id: (\S+)/i.exec(head)?.[1] ?? "";
  const event = "id: 1\ndata: t1\n\n";
  const chunk = `${event.length.toString(16)}\r\n${event}\r\n0\r\n\r\n`;
  socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\ntransfer-encoding: chunked\r\n\r\n${chunk}`);
}

describe("generations with one id at one instance", () => {
  it("each get an answer while holds are refused", async () => {
    let holds = 0;
    const answer = (head: string, socket: Socket) => {
      if (isRelease(head)) return void writePlain(socket, "");
      if (!isHold(head)) return void writeStream(socket, head);
      holds += 1;
      const isGranted = holds >= 3;
      const hold = `h${holds}`;
      setTimeout(() => {
        if (isGranted) writePlain(socket, hold);
        else writePlain(socket, "", "503 Full");
      }, 60);
    };
    await addEndpoint("d", answer, DECODE);
    await start();
    const answers = ["a", "b", "c"].map((name) =>
      get(port, `/draft/${name}`, { "x-id": "same", "x-tokens": "300" }),
    );
    const statuses = await Promise.all(
      answers.map((one) =>
        Promise.race([one.then((got) => got.status), pause(ANSWER_TIMEOUT_MS).then(() => 0)]),
      ),
    );
    const isFinal = (status: number) => status === 200 || status === 503;
    assert.ok(statuses.every(isFinal), `answers: ${statuses.join(", ")}`);
  });
});
