/**
 * Tunnels as an instance serves them. Guards against peers that ask for anything else than a tunnel, and against tunnels
 * that keep an instance from stopping or that it ends too early.
 */
import assert from "node:assert/strict";
import { once } from "node:events";
import { Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { Client as GrpcClient, credentials } from "@grpc/grpc-js";
import { pause } from "../src/core/clock";
import { PeerTunnelOpener } from "../src/forward/tunnels/peer";
import type { EndpointSocket } from "../src/forward/tunnels/openers";
import { FleetClient, TunnelData } from "../src/peer/gen/fleet";
import { createEntry, startInstance, waitUntil } from "./harness/forward";
import { MemoryStore } from "./harness/memory";
import { TunnelScene } from "./harness/tunnels";

describe("a served tunnel", () => {
  const scene = new TunnelScene();
  afterEach(() => scene.close());

  it("is ended where the peer stops and no request is under way, and kept where one is", async () => {
    const pair = await scene.startPair();
    const target = pair.list(
      await scene.listen((peer) => {
        peer.on("data", (bytes) => {
          if (bytes.toString() === "short") peer.write("answer");
        });
      }),
    );
    const [idle, busy] = await Promise.all([pair.open(target), pair.open(target)]);
    idle.write("short");
    await once(idle, "data");
    busy.write("long");
    pair.server.beginClose();
    assert.equal(await pair.fail(target), "unreachable");
    await pause(100);
    pair.server.endIdle();
    assert.equal(pair.server.count, 2);
    await pause(600);
    pair.server.endIdle();
    await once(idle.resume(), "end");
    assert.equal(idle.errored, null);
    assert.equal(pair.server.count, 1);
    const failure = once(busy, "error");
    pair.server.close();
    const [error] = (await failure) as [NodeJS.ErrnoException];
    assert.equal(error.code, "ECONNRESET");
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

  it("is served by an instance until it has stopped, which waits for no idle one", async () => {
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
    socket?.write("hello");
    assert.equal(String((await once(socket as EndpointSocket, "data"))[0]), "hello");
    const startedAt = performance.now();
    const closing = instance.close();
    const late = await opener.open("nizwa-1", target, 500);
    assert.deepEqual(late, { _tag: "Left", left: "unreachable" });
    await closing;
    const tookMs = performance.now() - startedAt;
    assert.ok(tookMs < 4500, `${tookMs} ms`);
    assert.equal(socket?.errored, null);
    assert.equal(socket?.readableEnded, true);
  });
});
