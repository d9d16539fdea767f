/**
 * Answers of plain services with neither a length nor chunks whose process dies amid the body and is back at once under its
 * id. Guards against a cut one that counts as whole: the next process takes connections at the same address.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { addEndpoint, get, port, prepareEach, start, store } from "./harness/fixture";
import { createEntry } from "./harness/forward";
import { RawEndpoint } from "./harness/raw";

prepareEach();

const WHOLE = "all of it";
const open = (head: string) =>
  `HTTP/1.1 200 OK\r\nx-id: ${/x-id: (\S+)/i.exec(head)?.[1] ?? ""}\r\nconnection: close\r\n\r\n`;

const endWhole = (head: string, socket: Socket) => {
  socket.end(open(head) + WHOLE);
};

const successors: RawEndpoint[] = [];
afterEach(() => {
  for (const successor of successors.splice(0)) successor.close();
});

/**
 * Adds an endpoint that dies amid its answer, and its next process, which answers whole.
 *
 * @param isListedFirst - whether the entry of the next process is there before the connection ends
 */
async function addDying(isListedFirst: boolean): Promise<RawEndpoint> {
  const dying = await addEndpoint("a", (head, socket) => {
    socket.write(open(head) + WHOLE.slice(0, 4));
    setTimeout(() => {
      const { address } = dying;
      dying.stopListening();
      const successor = new RawEndpoint(endWhole);
      successors.push(successor);
      void successor.listen(Number(address.split(":")[1])).then(() => {
        if (isListedFirst) store.putEndpoint(createEntry("a", address, { processStartedAt: 2 }));
        setTimeout(() => socket.end(), isListedFirst ? 100 : 0);
      });
    }, 30);
  });
  return dying;
}

describe("an unframed answer of a plain service whose process is back at once under its id", () => {
  it("is not passed on if its new entry is read", async () => {
    const { requests } = await addDying(true);
    await start();
    const { status } = await get(port, "/once/1");
    assert.deepEqual([status, requests.length], [502, 1]);
  });

  it("is not passed on before its new entry is there", async () => {
    const { requests } = await addDying(false);
    await start();
    const { status } = await get(port, "/once/1");
    assert.deepEqual([status, requests.length], [502, 1]);
  });

  it("is whole if its own process has ended it", async () => {
    await addEndpoint("a", endWhole);
    await start();
    const { status, body, isComplete } = await get(port, "/once/1");
    assert.deepEqual([status, body, isComplete], [200, WHOLE, true]);
  });
});
