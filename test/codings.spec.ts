/**
 * Answers whose transfer coding is not chunks, which end with their connection. Guards against a coding that is taken for a proof that
 * the answer is whole.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { EngineStage } from "../src/fleet/entries";
import { addEndpoint, get, port, prepareEach, start } from "./harness/fixture";
import type { RawEndpoint } from "./harness/raw";

prepareEach();

const DECODE = { service: "models", stage: EngineStage.decode };
const TOKENS = { "x-tokens": "30" };

const event = (id: number) => `id: ${id}\ndata: t${id}\n\n`;
const readId = (head: string) => /x-id: (\S+)/i.exec(head)?.[1] ?? "";
const openHead = (head: string, framing = "connection: close") =>
  `HTTP/1.1 200 OK\r\nx-id: ${readId(head)}\r\n${framing}\r\n\r\n`;

function answerHold(head: string, socket: Socket): boolean {
  if (!head.startsWith("POST /hold")) return false;
  socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nh1");
  return true;
}

describe("a stream whose transfer coding is not chunks", () => {
  for (const coding of ["identity", "gzip", "chunked, identity"]) {
    it(`does not end as complete where its engine died after an event: ${coding}`, async () => {
      const engines: RawEndpoint[] = [];
      engines.push(
        await addEndpoint(
          "d1",
          (head, socket) => {
            if (answerHold(head, socket)) return;
            socket.write(openHead(head, `transfer-encoding: ${coding}`) + event(1));
            setTimeout(() => {
              engines[0]?.stopListening();
              socket.end();
            }, 30);
          },
          DECODE,
        ),
      );
      await start();
      const response = await get(port, "/draft/1", TOKENS);
      assert.equal(response.status === 200 && response.isComplete, false, JSON.stringify(response));
    });
  }
});
