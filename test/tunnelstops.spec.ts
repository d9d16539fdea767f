/**
 * Answers over a peer that is told to stop while their endpoint is silent. Guards against sound answers that such a stop
 * cuts, and against parts that count as whole.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import * as E from "fp-ts/Either";
import { pause } from "../src/core/clock";
import { ConnectionPool } from "../src/forward/endpoints/pool";
import { waitUntil } from "./harness/forward";
import { PEER, type TunnelPair, TunnelScene } from "./harness/tunnels";

const SILENCES_MS = [200, 600, 1500];
const FIRST = "the first half, ";
const LAST = "and the last";
const OK = "HTTP/1.1 200 OK\r\n";

/** What an endpoint writes before its silence and after it, and whether the end of its connection ends the answer. */
interface Form {
  readonly before: string;
  readonly after: string;
  readonly isUnframed: boolean;
}

const FORMS: Record<string, Form> = {
  "no length": { before: `${OK}\r\n${FIRST}`, after: LAST, isUnframed: true },
  "connection: close": {
    before: `${OK}connection: close\r\n\r\n${FIRST}`,
    after: LAST,
    isUnframed: true,
  },
  "HTTP/1.0": { before: `HTTP/1.0 200 OK\r\n\r\n${FIRST}`, after: LAST, isUnframed: true },
  "the head alone": { before: `${OK}\r\n`, after: FIRST + LAST, isUnframed: true },
  "a length": {
    before: `${OK}content-length: ${FIRST.length + LAST.length}\r\n\r\n${FIRST}`,
    after: LAST,
    isUnframed: false,
  },
  chunks: {
    before: `${OK}transfer-encoding: chunked\r\n\r\n${FIRST.length.toString(16)}\r\n${FIRST}\r\n`,
    after: `${LAST.length.toString(16)}\r\n${LAST}\r\n0\r\n\r\n`,
    isUnframed: false,
  },
  "an interim answer before the head": {
    before: "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n",
    after: `${OK}content-length: ${FIRST.length + LAST.length}\r\n\r\n${FIRST}${LAST}`,
    isUnframed: false,
  },
};

/** Writes an answer with a silence within. */
async function answer(socket: Socket, { before, after, isUnframed }: Form, silentMs: number) {
  socket.write(before);
  await pause(silentMs);
  if (isUnframed) socket.end(after);
  else socket.write(after);
}

const isAnswer = ([, text]: [string, string]) => text === "" || text.startsWith(FIRST);

describe("an answer over a peer that is told to stop while the endpoint is silent", () => {
  const scene = new TunnelScene();
  afterEach(() => scene.close());

  /** Starts a peer, an endpoint that takes the name of a form and a silence as the target, and a pool that asks it. */
  async function startPool() {
    const pair = await scene.startPair();
    let asked = 0;
    const address = await scene.listen((socket) => {
      socket.once("data", (head) => {
        asked += 1;
        const [, name = "", silentMs = ""] = /^GET \/(\S+)\/(\d+) /.exec(String(head)) ?? [];
        const form = FORMS[decodeURIComponent(name)] ?? assert.fail(name);
        void answer(socket, form, Number(silentMs));
      });
    });
    const target = pair.list(address);
    const dialer = { dial: async () => E.right({ socket: await pair.open(target), peer: PEER }) };
    const pool = new ConnectionPool(
      target,
      { ...dialer, canReuse: () => true } as never,
      pair.clock,
    );
    scene.onClose(() => {
      pool.close();
    });
    return { pair, pool, countAsked: () => asked };
  }

  /** Exchanges one request and its answer; resolves with its bytes, or with why there are none. */
  async function exchange(pool: ConnectionPool, path: string): Promise<string> {
    const request = { id: path, needsNewConnection: true, maxConnections: 40 };
    const connection = pool.acquireForRequest(request) ?? assert.fail();
    try {
      const { body } = await connection.client.request({ method: "GET", path });
      const text = await body.text();
      pool.release(connection);
      return text;
    } catch (error) {
      pool.discard(connection);
      return String(error);
    }
  }

  /** Starts one answer in each form; `act` is called while all are silent. */
  async function startPlay(silentMs: number) {
    const { pair, pool, countAsked } = await startPool();
    const names = Object.keys(FORMS);
    const play = async (act: (pair: TunnelPair) => unknown) => {
      const answers = names.map(async (name) => {
        const text = await exchange(pool, `/${encodeURIComponent(name)}/${silentMs}`);
        return [name, text] as const;
      });
      await waitUntil(() => countAsked() === names.length);
      await act(pair);
      return Object.fromEntries(await Promise.all(answers));
    };
    return { pair, pool, names, play };
  }

  for (const silentMs of SILENCES_MS) {
    it(`is whole after a silence of ${silentMs} ms, in each form`, async () => {
      const { pair, pool, names, play } = await startPlay(silentMs);
      const ended = await play(() => {
        pair.server.beginClose();
      });
      assert.deepEqual(ended, Object.fromEntries(names.map((name) => [name, FIRST + LAST])));
      await waitUntil(() => pair.server.count === 0, 400);
      assert.equal(pool.isEmpty, true);
    });

    it(`is no whole one after a silence of ${silentMs} ms where the peer has stopped, in each form`, async () => {
      const { play } = await startPlay(silentMs);
      const ended = await play(async (pair) => {
        await pause(silentMs / 2);
        pair.server.close();
      });
      assert.deepEqual(Object.entries(ended).filter(isAnswer), []);
    });
  }

  // The server of a peer that goes away waits for 200 ms before it breaks what is left.
  for (const [silentMs, isWhole] of [[50, true] as const, [600, false] as const]) {
    it(`is ${isWhole ? "whole" : "none"} after a silence of ${silentMs} ms where the peer's channel goes away`, async () => {
      const { names, play } = await startPlay(silentMs);
      const ended = await play((pair) => pair.stopPeer());
      const whole = names.map((name): [string, string] => [name, FIRST + LAST]);
      assert.deepEqual(Object.entries(ended).filter(isAnswer), isWhole ? whole : []);
    });
  }
});
