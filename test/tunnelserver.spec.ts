/**
 * Tunnels as an instance serves them. Guards against peers that ask for anything else than a tunnel, and against tunnels
 * that keep an instance from stopping or that it ends too early.
 */
import assert from "node:assert/strict";
import { once } from "node:events";
import { Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import * as E from "fp-ts/Either";
import { Client as GrpcClient, credentials } from "@grpc/grpc-js";
import { MonotonicClock, pause } from "../src/core/clock";
import { ConnectionPool } from "../src/forward/endpoints/pool";
import { PeerTunnelOpener } from "../src/forward/tunnels/peer";
import type { EndpointSocket } from "../src/forward/tunnels/openers";
import { FleetClient, TunnelData } from "../src/peer/gen/fleet";
import { createEntry, startInstance, waitUntil } from "./harness/forward";
import { MemoryStore } from "./harness/memory";
import { PEER, TunnelScene } from "./harness/tunnels";

const ANSWER = "HTTP/1.1 200 OK\r\nkeep-alive: timeout=5\r\ncontent-length: 2\r\n\r\nok";

describe("a served tunnel", () => {
  const scene = new TunnelScene();
  afterEach(() => scene.close());

  it("is kept where the peer stops, however long it is silent, and broken where the peer has stopped", async () => {
    const pair = await scene.startPair();
    const target = pair.list(
      await scene.listen((peer) => {
        peer.on("data", (bytes) => {
          if (bytes.toString() === "short") peer.write("answer");
        });
      }),
    );
    const [answered, asked] = await Promise.all([pair.open(target), pair.open(target)]);
    answered.write("short");
    await once(answered, "data");
    asked.write("long");
    pair.server.beginClose();
    assert.equal(await pair.fail(target), "unreachable");
    await waitUntil(() => answered.isLeaving === true && asked.isLeaving === true);
    await pause(700);
    assert.equal(pair.server.count, 2);
    const failures = [answered, asked].map(async (socket) => {
      const [error] = (await once(socket.resume(), "error")) as [NodeJS.ErrnoException];
      return [error.code, socket.readableEnded];
    });
    pair.server.close();
    assert.deepEqual(await Promise.all(failures), [
      ["ECONNRESET", false],
      ["ECONNRESET", false],
    ]);
  });

  it("is closed by its asker at once where the peer stops and no request is under way", async () => {
    const pair = await scene.startPair();
    const target = pair.list(
      await scene.listen((peer) => {
        peer.on("data", () => {
          setTimeout(() => peer.write(ANSWER), 700);
        });
      }),
    );
    const dialer = { dial: async () => E.right({ socket: await pair.open(target), peer: "peer" }) };
    const canReuse = () => true;
    const pool = new ConnectionPool(target, { ...dialer, canReuse } as never, pair.clock);
    scene.onClose(() => {
      pool.close();
    });
    const acquire = (id: string) =>
      pool.acquireForRequest({ id, needsNewConnection: true, maxConnections: 4 }) ?? assert.fail();
    const exchange = async (id: string) => {
      const connection = acquire(id);
      const { body } = await connection.client.request({ method: "GET", path: "/" });
      const text = await body.text();
      pool.release(connection);
      return text;
    };
    await exchange("r1");
    const underWay = exchange("r2");
    await waitUntil(() => pair.server.count === 2);
    pair.server.beginClose();
    await waitUntil(() => pair.server.count === 1, 200);
    assert.equal(await underWay, "ok");
    await waitUntil(() => pair.server.count === 0, 200);
    assert.equal(pool.isEmpty, true);
  });

  it("is opened by a peer that stops where it only asks an endpoint about itself, and by none that has stopped", async () => {
    const pair = await scene.startPair();
    const target = pair.list(await scene.listen((peer) => peer.pipe(peer)));
    pair.server.beginClose();
    assert.equal(await pair.fail(target), "unreachable");
    const opened = await pair.opener.open(PEER, target, 2000, true);
    if (E.isLeft(opened)) assert.fail(opened.left);
    const socket = opened.right.on("error", () => undefined);
    socket.write("who are you");
    assert.equal(String((await once(socket, "data"))[0]), "who are you");
    pair.server.close();
    const late = await pair.opener.open(PEER, target, 2000, true);
    assert.deepEqual(late, E.left("unreachable"));
  });

  it("is opened to an endpoint that is barred only where it asks that one about itself", async () => {
    const pair = await scene.startPair({ isBarred: (endpoint) => endpoint === "e1" });
    const target = pair.list(await scene.listen((peer) => peer.pipe(peer)));
    assert.equal(await pair.fail(target), "unreachable");
    const opened = await pair.opener.open(PEER, target, 2000, true);
    if (E.isLeft(opened)) assert.fail(opened.left);
    opened.right.on("error", () => undefined).destroy();
  });

  it("survives peers that send no target, bytes too early, or no message at all", async () => {
    const pair = await scene.startPair({ connect: () => new Socket() });
    const { id: endpoint, processStartedAt } = pair.list("127.0.0.1:9");
    const client = new FleetClient(pair.peerAddress, credentials.createInsecure());
    const raw = new GrpcClient(pair.peerAddress, credentials.createInsecure());
    scene.onClose(() => {
      client.close();
      raw.close();
    });
    const garbage = (bytes: Buffer) => bytes;
    const path = "/gorsefold.fleet.Fleet/Tunnel";
    const calls = [client.tunnel(), client.tunnel(), client.tunnel()];
    calls[0]?.write(TunnelData.create({ data: Buffer.from("x") }));
    calls[1]?.write(TunnelData.create({ target: { endpoint, processStartedAt } }));
    calls[1]?.write(TunnelData.create({ data: Buffer.from("too early") }));
    calls[2]?.end();
    const malformed = raw.makeBidiStreamRequest(path, garbage, garbage);
    malformed.write(Buffer.from([0xff, 0xff, 0xff]));
    const ends = [...calls, malformed].map(async (call) => {
      call.on("error", () => undefined);
      await new Promise((resolve) => call.resume().once("status", resolve));
    });
    await Promise.all(ends);
    await waitUntil(() => pair.server.count === 0);
    assert.equal(await pair.fail(pair.list("127.0.0.1:9")), "unreachable");
  });

  it("is closed where a peer does not say which endpoint it wants", async () => {
    const pair = await scene.startPair();
    const client = new FleetClient(pair.peerAddress, credentials.createInsecure());
    scene.onClose(() => {
      client.close();
    });
    const call = client.tunnel();
    call.on("error", () => undefined);
    await once(call.resume(), "status");
    await waitUntil(() => pair.server.count === 0);
  });

  /** Opens a tunnel to an endpoint over an instance, which is then told to stop. */
  async function stopInstance(onOpen: (socket: EndpointSocket) => void) {
    const store = new MemoryStore();
    const address = await scene.listen((peer) => peer.pipe(peer));
    const target = createEntry("e1", address);
    store.putEndpoint(target);
    const { instance, settings } = await startInstance(store, "nizwa-1");
    const opener = new PeerTunnelOpener(() => `${settings.peers.host}:${settings.peers.port}`);
    scene.onClose(() => {
      opener.close();
    });
    let socket: EndpointSocket | undefined;
    await waitUntil(async () => {
      const opened = await opener.open("nizwa-1", target, 500);
      socket = opened._tag === "Right" ? opened.right : undefined;
      return socket !== undefined;
    });
    if (socket === undefined) assert.fail();
    socket.on("error", () => undefined);
    socket.write("hello");
    assert.equal(String((await once(socket, "data"))[0]), "hello");
    onOpen(socket);
    const startedAt = performance.now();
    const closing = instance.close();
    const late = await opener.open("nizwa-1", target, 500);
    assert.deepEqual(late, { _tag: "Left", left: "unreachable" });
    await closing;
    return { socket, tookMs: performance.now() - startedAt, graceMs: settings.graceMs };
  }

  it("is served by an instance until it has stopped, which waits for none that its asker closes", async () => {
    const { tookMs } = await stopInstance((socket) => {
      socket.once("leaving", () => socket.destroy());
    });
    assert.ok(tookMs < 4500, `${tookMs} ms`);
  });

  it("keeps an instance from stopping no longer than its grace lasts, and is broken then", async () => {
    const { socket, tookMs, graceMs } = await stopInstance(() => undefined);
    assert.ok(tookMs > 4500 && tookMs < graceMs, `${tookMs} ms`);
    assert.equal((socket.errored as NodeJS.ErrnoException | null)?.code, "ECONNRESET");
    assert.equal(socket.readableEnded, false);
  });

  it("keeps an instance from stopping no longer than its notice lasts, where twenty of its askers' are idle", async () => {
    const address = await scene.listen((peer) => {
      peer.on("data", () => peer.write(ANSWER));
    });
    const store = new MemoryStore();
    const target = createEntry("e1", address);
    store.putEndpoint(target);
    const { instance, settings } = await startInstance(store, "nizwa-1");
    const opener = new PeerTunnelOpener(() => `${settings.peers.host}:${settings.peers.port}`);
    const dial = async () => {
      const opened = await opener.open("nizwa-1", target, 2000);
      return E.isLeft(opened) ? opened : E.right({ socket: opened.right, peer: "nizwa-1" });
    };
    const dialer = { dial, canReuse: () => true };
    const pool = new ConnectionPool(target, dialer as never, new MonotonicClock());
    scene.onClose(() => {
      pool.close();
      opener.close();
    });
    await waitUntil(async () => {
      const opened = await dial();
      if (E.isRight(opened)) opened.right.socket.destroy();
      return E.isRight(opened);
    });
    const exchanges = Array.from({ length: 20 }, async (_, index) => {
      const request = { id: `r${index}`, needsNewConnection: true, maxConnections: 20 };
      const connection = pool.acquireForRequest(request) ?? assert.fail();
      const { body } = await connection.client.request({ method: "GET", path: "/" });
      await body.text();
      return connection;
    });
    for (const connection of await Promise.all(exchanges)) pool.release(connection);
    assert.equal(pool.isEmpty, false);
    const startedAt = performance.now();
    await instance.close();
    const tookMs = performance.now() - startedAt;
    assert.ok(tookMs < 3200, `${tookMs} ms`);
    assert.equal(pool.isEmpty, true);
  });
});
