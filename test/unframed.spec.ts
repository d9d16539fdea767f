/**
 * Answers with neither a length nor chunks, which end with their connection. The tests guard against a cut one that
 * counts as whole: a process that dies closes its connections like one that has finished.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { EngineStage } from "../src/fleet/entries";
import type { OverdueRequests } from "../src/forward/callers/overdue";
import { type Dialer, ConnectState } from "../src/forward/tunnels";
import { pause } from "../src/core/clock";
import { addEndpoint, get, instance, port, prepareEach, start } from "./harness/fixture";
import { type RawEndpoint } from "./harness/raw";

prepareEach();

const TOKENS = { "x-tokens": "30" };
const DECODE = { service: "models", stage: EngineStage.decode };

const event = (id: number) => `id: ${id}\ndata: t${id}\n\n`;
const openUnframed = (head: string, status = "200 OK") =>
  `HTTP/1.1 ${status}\r\nx-id: ${/x-id: (\S+)/i.exec(head)?.[1] ?? ""}\r\nconnection: close\r\n\r\n`;

interface InstanceParts {
  readonly callerServer: { readonly overdue: OverdueRequests };
  readonly parts: { readonly context: { readonly dialer: Dialer } };
}

type Answer = (head: string, socket: Socket, die: () => void) => void;

/** Adds endpoints that give the answers in turn, whichever is asked; `die` stops the one that is asked. */
async function addInTurn(ids: readonly string[], answers: readonly Answer[], more = {}) {
  const heads: string[] = [];
  const endpoints: RawEndpoint[] = [];
  const answer = (head: string, socket: Socket) => {
    if (head.startsWith("POST /hold")) {
      socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nh1");
      return;
    }
    heads.push(head);
    const asked = endpoints.find((endpoint) => endpoint.sockets.has(socket));
    answers[heads.length - 1]?.(head, socket, () => asked?.stopListening());
  };
  for (const id of ids) endpoints.push(await addEndpoint(id, answer, more));
  return heads;
}

/** Answers with a body whose end is that of its connection; the endpoint lives on. */
const end =
  (body: string): Answer =>
  (head, socket) => {
    socket.end(openUnframed(head) + body);
  };

/** Answers with a body that is cut where the endpoint dies, which closes its connections properly. */
const die =
  (body: string, status = "200 OK"): Answer =>
  (head, socket, stopListening) => {
    socket.write(openUnframed(head, status) + body);
    setTimeout(() => {
      stopListening();
      socket.end();
    }, 30);
  };

describe("a stream with neither a length nor chunks", () => {
  it("is complete if it ends after an event and its engine is up", async () => {
    const heads = await addInTurn(["d1", "d2"], [end(event(1) + event(2))], DECODE);
    await start();
    const response = await get(port, "/draft/1", TOKENS);
    assert.deepEqual([response.status, response.body], [200, event(1) + event(2)]);
    assert.equal(response.headers["content-length"], undefined);
    assert.equal(response.headers["transfer-encoding"], "chunked");
    assert.deepEqual([response.isComplete, heads.length], [true, 1]);
  });

  it("is complete if it ends just after its deadline and the probe of its engine takes 1 s", async () => {
    const answer: Answer = (head, socket) => {
      socket.write(openUnframed(head) + event(1));
      setTimeout(() => socket.end(event(2)), 580);
    };
    await addInTurn(["d1", "d2"], [answer], DECODE);
    await start();
    const { callerServer, parts } = instance as unknown as InstanceParts;
    const { dialer } = parts.context;
    const checks = setInterval(() => {
      callerServer.overdue.check();
    }, 25);
    dialer.probe = () => pause(1000).then(() => ConnectState.up);
    const response = await get(port, "/draft/1", { ...TOKENS, "x-patience": "500" });
    clearInterval(checks);
    assert.deepEqual([response.body, response.isComplete], [event(1) + event(2), true]);
  });

  it("is broken if it ends inside an event, and is resumed where it may be", async () => {
    const answers = [end(`${event(1)}id: 2\nda`), end(event(2))];
    const heads = await addInTurn(["d1", "d2"], answers, DECODE);
    await start();
    const response = await get(port, "/summary/1", TOKENS);
    assert.deepEqual([response.body, response.isComplete], [event(1) + event(2), true]);
    assert.match(heads[1] ?? "", /x-after: 1/);
  });

  it("is cut if it ends inside an event and may run once", async () => {
    await addInTurn(["d1", "d2"], [end(`${event(1)}id: 2\nda`)], DECODE);
    await start();
    const response = await get(port, "/draft/1", TOKENS);
    assert.deepEqual([response.body, response.isComplete], [event(1), false]);
  });

  it("is resumed at another engine if its engine died after an event", async () => {
    const answers = [die(event(1)), end(event(2))];
    const heads = await addInTurn(["d1", "d2"], answers, DECODE);
    await start();
    const response = await get(port, "/summary/1", TOKENS);
    assert.deepEqual([response.body, response.isComplete], [event(1) + event(2), true]);
    assert.match(heads[1] ?? "", /x-after: 1/);
  });

  it("is cut if its engine died after an event and it may run once", async () => {
    const heads = await addInTurn(["d1", "d2"], [die(event(1))], DECODE);
    await start();
    const response = await get(port, "/draft/1", TOKENS);
    assert.deepEqual([response.body, response.isComplete], [event(1), false]);
    assert.equal(heads.length, 1);
  });

  it("is run again if it ends without any event", async () => {
    const answers = [end(""), end(event(1))];
    await addInTurn(["d1", "d2"], answers, DECODE);
    await start();
    const response = await get(port, "/summary/1", TOKENS);
    assert.deepEqual([response.status, response.body], [200, event(1)]);
  });

  it("fails with 502 if it ends without any event and may run once", async () => {
    const heads = await addInTurn(["d1", "d2"], [end("")], DECODE);
    await start();
    const response = await get(port, "/draft/1", TOKENS);
    assert.deepEqual([response.status, heads.length], [502, 1]);
  });
});

describe("a service answer with neither a length nor chunks", () => {
  it("is passed on with its length once its end was asserted", async () => {
    const heads = await addInTurn(["a", "b"], [end("all of it")]);
    await start();
    const response = await get(port, "/once/1");
    assert.deepEqual([response.status, response.body], [200, "all of it"]);
    assert.equal(response.headers["content-length"], "9");
    assert.equal(response.headers["transfer-encoding"], undefined);
    assert.deepEqual([response.isComplete, heads.length], [true, 1]);
  });

  it("is asked for again if its endpoint died and the request may be repeated", async () => {
    const heads = await addInTurn(["a", "b"], [die("half of"), end("all of it")]);
    await start();
    const response = await get(port, "/any/1");
    assert.deepEqual([response.status, response.body, heads.length], [200, "all of it", 2]);
  });

  it("is not asked for more often than the route allows", async () => {
    const heads = await addInTurn(["a", "b", "c"], [die("1"), die("2"), end("3")]);
    await start();
    const response = await get(port, "/any/1");
    assert.deepEqual([response.status, heads.length], [502, 2]);
  });

  it("fails with 502 if its endpoint died and the request may run once", async () => {
    const heads = await addInTurn(["a", "b"], [die("half of"), end("all of it")]);
    await start();
    const response = await get(port, "/once/1");
    assert.deepEqual([response.status, heads.length], [502, 1]);
  });

  it("is not passed on if it is a failure that may be cut either", async () => {
    await addInTurn(["a", "b"], [die("half of", "404 Not Found")]);
    await start();
    const response = await get(port, "/once/1");
    assert.equal(response.status, 502);
  });
});
