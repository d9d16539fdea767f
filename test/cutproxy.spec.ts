/**
 * The proxy that cuts ways to endpoints. Guards against tests of cuts that pass because nothing was cut.
 */
import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { after, afterEach, beforeEach, describe, it } from "node:test";
import { pause } from "../src/core/clock";
import { CutMode, CutProxy } from "./harness/cutproxy";
import { ListenerKeeper } from "./harness/keeper";
import { RawEndpoint, writeAnswer } from "./harness/raw";

/** How long a connect or an answer is waited for, in milliseconds. */
const WAIT_MS = 400;
/** Time that a turn of a late loop takes, in milliseconds. */
const LATE_TURN_MS = 5;
const REQUEST = "GET / HTTP/1.1\r\nx-id: r1\r\n\r\n";

const keeper = new ListenerKeeper();
let endpoint: RawEndpoint;
let proxy: CutProxy;
let sockets: Socket[] = [];

/** Opens a connection; tells how that ended. */
function open(): Promise<{ end: string; socket: Socket }> {
  const [host = "", port = ""] = proxy.address.split(":");
  const socket = connect({ host, port: Number(port) });
  sockets.push(socket);
  return new Promise((resolve) => {
    const finish = (end: string) => {
      resolve({ end, socket });
    };
    socket.once("connect", () => {
      finish("connected");
    });
    socket.on("error", ({ code = "" }: NodeJS.ErrnoException) => {
      finish(code);
    });
    setTimeout(finish, WAIT_MS, "hung");
  });
}

/** Sends a request on a connection; tells how that ended. */
function exchange(socket: Socket): Promise<string> {
  return new Promise((resolve) => {
    socket.once("data", () => {
      resolve("answered");
    });
    socket.once("error", ({ code = "" }: NodeJS.ErrnoException) => {
      resolve(code);
    });
    setTimeout(resolve, WAIT_MS, "silent");
    if (!socket.destroyed) socket.write(REQUEST);
  });
}

describe("a proxy that cuts the way to an endpoint", () => {
  beforeEach(async () => {
    sockets = [];
    endpoint = new RawEndpoint((head, socket) => {
      writeAnswer(socket, head, "done");
    });
    proxy = new CutProxy("127.0.0.10", await endpoint.listen(), keeper);
    await proxy.listen();
  });

  afterEach(() => {
    for (const socket of sockets) socket.destroy();
    proxy.close();
    endpoint.close();
  });

  after(() => {
    keeper.close();
  });

  it("carries connections while it passes", async () => {
    const { end, socket } = await open();
    assert.deepEqual([end, await exchange(socket)], ["connected", "answered"]);
  });

  it("opens nothing to the endpoint for connections of its own once a cut has ended, also if each turn is late", async () => {
    await proxy.cut(CutMode.hang);
    let opened = 0;
    endpoint.onAccept = () => (opened += 1);
    const endAt = performance.now() + WAIT_MS;
    const delayTurn = () => {
      const until = performance.now() + LATE_TURN_MS;
      while (performance.now() < until);
      if (until < endAt) setImmediate(delayTurn);
    };
    delayTurn();
    await proxy.heal();
    await pause(WAIT_MS);
    assert.equal(opened, 0);
  });

  it("delays what it carries, both ways and in order", async () => {
    const { socket } = await open();
    await exchange(socket);
    proxy.delayMs = 60;
    const startedAt = performance.now();
    assert.equal(await exchange(socket), "answered");
    assert.ok(performance.now() - startedAt >= 2 * 60 - 5);
    let heads = "";
    socket.on("data", (bytes) => (heads += bytes.toString()));
    socket.write(REQUEST.replace("r1", "r2"));
    proxy.delayMs = 0;
    await pause(5);
    socket.write(REQUEST.replace("r1", "r3"));
    await pause(200);
    assert.deepEqual(
      [...heads.matchAll(/x-id: (\S+)/g)].map(([, id]) => id),
      ["r2", "r3"],
    );
  });

  it("lets connects hang, and open connections be silent until it heals", async () => {
    const { socket } = await open();
    await exchange(socket);
    await proxy.cut(CutMode.hang);
    const ends = await Promise.all([open(), open(), open()]);
    assert.deepEqual(
      ends.map(({ end }) => end),
      ["hung", "hung", "hung"],
    );
    assert.equal(await exchange(socket), "silent");
    assert.equal(endpoint.requests.length, 1);
    const late = new Promise((resolve) => socket.once("data", resolve));
    await proxy.heal();
    await late;
    const healed = await open();
    assert.deepEqual([healed.end, await exchange(healed.socket)], ["connected", "answered"]);
  });

  it("holds back answers only, where only that direction is cut", async () => {
    const { socket } = await open();
    await exchange(socket);
    await proxy.cut(CutMode.hangAnswers);
    assert.equal((await open()).end, "hung");
    assert.equal(await exchange(socket), "silent");
    assert.equal(endpoint.requests.length, 2);
  });

  it("resets open connections, and refuses new ones until it heals", async () => {
    const { socket } = await open();
    const isReset = new Promise((resolve) => {
      socket.once("error", ({ code }: NodeJS.ErrnoException) => {
        resolve(code);
      });
    });
    await pause(20);
    await proxy.cut(CutMode.reset);
    assert.equal(await isReset, "ECONNRESET");
    assert.equal((await open()).end, "ECONNREFUSED");
    await proxy.heal();
    assert.equal((await open()).end, "connected");
  });

  it("refuses new connections only, where open ones live on", async () => {
    const { socket } = await open();
    await exchange(socket);
    await proxy.cut(CutMode.refuseNew);
    assert.equal((await open()).end, "ECONNREFUSED");
    assert.equal(await exchange(socket), "answered");
    await proxy.heal();
    assert.equal((await open()).end, "connected");
  });
});
