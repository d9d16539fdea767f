/**
 * Failures of engines that are passed on to callers and have neither a length nor chunks. The tests guard against a cut
 * one that counts as whole: a process that dies ends its connections like one that has finished.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { EngineStage } from "../src/fleet/entries";
import { addEndpoint, get, port, prepareEach, start } from "./harness/fixture";
import type { RawEndpoint } from "./harness/raw";

prepareEach();

const TOKENS = { "x-tokens": "30" };
const DECODE = { service: "models", stage: EngineStage.decode };
const PAGE = "no such model";
const FAILURES = ["400 Bad Request", "404 Not Found", "500 Failed", "200 OK"];

type Answer = (head: string, socket: Socket, die: () => void) => void;

const openPage = (head: string, status: string) => {
  const id = /x-id: (\S+)/i.exec(head)?.[1] ?? "";
  return `HTTP/1.1 ${status}\r\nx-id: ${id}\r\ncontent-type: text/plain\r\nconnection: close\r\n\r\n`;
};

/** Writes a part of a failure and dies, which ends its connections properly. */
const die =
  (status: string, part: string): Answer =>
  (head, socket, stopListening) => {
    socket.write(openPage(head, status) + part);
    setTimeout(() => {
      stopListening();
      socket.end();
    }, 30);
  };

const fail =
  (status: string): Answer =>
  (head, socket) => {
    socket.end(openPage(head, status) + PAGE);
  };

/** Adds engines that give the answers in turn, whichever is asked; returns the heads of the runs. */
async function addInTurn(ids: readonly string[], answers: readonly Answer[]) {
  const heads: string[] = [];
  const engines: RawEndpoint[] = [];
  const answer = (head: string, socket: Socket) => {
    if (/^(POST|DELETE) \/hold/.test(head)) {
      socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nh1");
      return;
    }
    heads.push(head);
    const asked = engines.find((engine) => engine.sockets.has(socket));
    answers[heads.length - 1]?.(head, socket, () => asked?.stopListening());
  };
  for (const id of ids) engines.push(await addEndpoint(id, answer, DECODE));
  return heads;
}

describe("a failure of an engine with neither a length nor chunks", () => {
  for (const status of FAILURES) {
    for (const part of ["", PAGE.slice(0, 5)]) {
      it(`is not passed on if its engine died: ${status}, after ${part.length} bytes`, async () => {
        const heads = await addInTurn(["d1", "d2"], [die(status, part)]);
        await start();
        const response = await get(port, "/draft/1", TOKENS);
        assert.deepEqual([response.status, heads.length], [502, 1]);
        assert.doesNotMatch(response.body, /no su/);
      });
    }

    it(`is passed on if its engine ended it and is up: ${status}`, async () => {
      const heads = await addInTurn(["d1", "d2"], [fail(status)]);
      await start();
      const response = await get(port, "/draft/1", TOKENS);
      const expected = [Number(status.slice(0, 3)), PAGE, true];
      assert.deepEqual([response.status, response.body, response.isComplete], expected);
      assert.equal(heads.length, 1);
    });
  }

  it("gives way to another engine if its own died and the request may run again", async () => {
    const event = "id: 1\ndata: t1\n\n";
    const stream: Answer = (head, socket) => {
      socket.end(openPage(head, "200 OK").replace("text/plain", "text/event-stream") + event);
    };
    await addInTurn(["d1", "d2"], [die("500 Failed", PAGE.slice(0, 5)), stream]);
    await start();
    const response = await get(port, "/summary/1", TOKENS);
    assert.deepEqual([response.status, response.body, response.isComplete], [200, event, true]);
  });
});
