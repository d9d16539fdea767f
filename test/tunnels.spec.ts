/**
 * Connections to endpoints that a peer opens. Guards against bytes lost or held without bound, against broken
 * connections taken for complete ones, and against engines that stay busy after their caller has left.
 */
import assert from "node:assert/strict";
import { createHash, randomBytes } from "node:crypto";
import { once } from "node:events";
import { connect, Socket } from "node:net";
import { buffer, text } from "node:stream/consumers";
import { afterEach, describe, it } from "node:test";
import { Client } from "undici";
import { pause } from "../src/core/clock";
import type { EndpointTarget } from "../src/forward/limits/gate";
import type { EndpointSocket } from "../src/forward/tunnels/openers";
import { waitUntil } from "./harness/forward";
import { allocatePort } from "./harness/ports";
import { RawEndpoint, writeAnswer } from "./harness/raw";
import { PEER, TunnelScene } from "./harness/tunnels";

const MIB = 1024 * 1024;

describe("a tunnel", () => {
  const scene = new TunnelScene();
  afterEach(() => scene.close());

  async function openTo(onSocket: (socket: Socket) => void): Promise<EndpointSocket> {
    const pair = await scene.startPair();
    return pair.open(pair.list(await scene.listen(onSocket)));
  }

  function createClient(socket: EndpointSocket): Client {
    const client = new Client("http://endpoint", {
      connect: (_options, callback) => {
        // undici loops without end where its connector calls back before it returns.
        queueMicrotask(() => {
          callback(null, socket as Socket);
        });
      },
    });
    scene.onClose(() => client.destroy());
    return client;
  }

  it("carries bytes both ways without loss, and counts those that arrived", async () => {
    const socket = await openTo((peer) => peer.pipe(peer));
    const sent = randomBytes(3 * MIB + 17);
    const received = buffer(socket);
    socket.write(sent.subarray(0, 5));
    socket.end(sent.subarray(5));
    assert.ok(sent.equals(await received));
    assert.equal(socket.bytesRead, sent.length);
  });

  it("holds few bytes of an endpoint whose answer is read slowly", async () => {
    const total = 24 * MIB;
    let written = 0;
    const hash = createHash("sha256");
    const socket = await openTo((peer) => {
      const writeMore = () => {
        while (written < total) {
          const chunk = randomBytes(64 * 1024);
          hash.update(chunk);
          written += chunk.length;
          if (!peer.write(chunk)) return;
        }
        peer.end();
      };
      peer.on("drain", writeMore);
      writeMore();
    });
    await pause(500);
    const early = written;
    assert.ok(early < 12 * MIB, `${early} bytes were taken before any was read`);
    await pause(300);
    assert.equal(written, early);
    const read = createHash("sha256");
    for await (const chunk of socket) read.update(chunk as Buffer);
    assert.equal(read.digest("hex"), hash.digest("hex"));
  });

  it("holds few bytes for an endpoint that reads slowly", async () => {
    const total = 24 * MIB;
    const chunk = randomBytes(64 * 1024);
    let peer: Socket | undefined;
    const socket = await openTo((accepted) => {
      peer = accepted.pause();
    });
    let written = 0;
    const writeMore = () => {
      while (written < total) {
        written += chunk.length;
        if (!socket.write(chunk)) return;
      }
      socket.end();
    };
    socket.on("drain", writeMore);
    writeMore();
    await pause(500);
    const early = written;
    assert.ok(early < 12 * MIB, `${early} bytes were taken before any was read`);
    await pause(300);
    assert.equal(written, early);
    let readCount = 0;
    peer?.on("data", (bytes) => (readCount += bytes.length)).resume();
    await waitUntil(() => readCount >= total, 10_000);
    assert.equal(readCount, total);
  });

  it("does not let a tunnel that is not read stall others", async () => {
    const pair = await scene.startPair();
    const address = await scene.listen((peer) => {
      peer.once("data", (bytes) => {
        if (bytes.toString() === "flood") peer.write(Buffer.alloc(16 * MIB));
        else peer.end(bytes);
      });
    });
    const target = pair.list(address);
    const floods = await Promise.all([1, 2, 3, 4].map(() => pair.open(target)));
    for (const flood of floods) flood.write("flood");
    await pause(300);
    const startedAt = performance.now();
    const socket = await pair.open(target);
    socket.write("hello");
    assert.equal(await text(socket), "hello");
    const tookMs = performance.now() - startedAt;
    assert.ok(tookMs < 500, `${tookMs} ms`);
    for (const flood of floods) flood.destroy();
  });

  it("passes on that the client ends its side, and still brings the answer", async () => {
    const socket = await openTo((peer) => {
      peer.on("end", () => peer.end("after the end"));
      peer.resume();
    });
    socket.end("all");
    assert.equal(await text(socket), "after the end");
    await waitUntil(() => socket.destroyed);
    assert.equal(socket.errored, null);
  });

  it("ends without an error where the endpoint closes its connection", async () => {
    const pair = await scene.startPair();
    const target = pair.list(await scene.listen((peer) => peer.end("whole")));
    const socket = await pair.open(target);
    assert.equal(await text(socket), "whole");
    await waitUntil(() => pair.server.count === 0);
    assert.equal(socket.errored, null);
  });

  it("brings the last bytes to a slow endpoint after both sides have ended", async () => {
    const sent = randomBytes(16 * MIB);
    const chunks: Buffer[] = [];
    const socket = await openTo((peer) => {
      peer.end();
      peer.on("data", (chunk: Buffer) => {
        chunks.push(chunk);
        peer.pause();
        setTimeout(() => peer.resume(), 2);
      });
    });
    socket.write(sent);
    await once(socket.resume(), "close");
    await waitUntil(() => chunks.reduce((sum, { length }) => sum + length, 0) >= sent.length);
    assert.ok(sent.equals(Buffer.concat(chunks)));
  });

  it("reports a connection that the endpoint reset as broken, not as ended", async () => {
    const socket = await openTo((peer) => {
      peer.write("part");
      setTimeout(() => peer.resetAndDestroy(), 50);
    });
    const [error] = (await once(socket.resume(), "error")) as [NodeJS.ErrnoException];
    assert.equal(error.code, "ECONNRESET");
    assert.equal(typeof error.errno, "number");
    assert.equal(socket.readableEnded, false);
  });

  it("reports a connection as broken where the peer is gone", async () => {
    const pair = await scene.startPair();
    const target = pair.list(await scene.listen((peer) => peer.write("part")));
    const socket = await pair.open(target);
    await once(socket, "data");
    const failure = once(socket, "error");
    await pair.stopPeer();
    const [error] = (await failure) as [NodeJS.ErrnoException];
    assert.equal(error.code, "ECONNRESET");
    assert.equal(typeof error.errno, "number");
  });

  it("closes the endpoint's connection at once where the client leaves", async () => {
    let closedAt = 0;
    const socket = await openTo((peer) => {
      peer.resume();
      peer.on("close", () => (closedAt = performance.now()));
      peer.on("end", () => peer.destroy());
      peer.write("first");
    });
    await once(socket, "data");
    const leftAt = performance.now();
    socket.destroy();
    await waitUntil(() => closedAt > 0);
    assert.ok(closedAt - leftAt < 200, `${closedAt - leftAt} ms`);
  });

  it("closes the endpoint's connection at once where a client leaves that does not read", async () => {
    let closedAt = 0;
    const socket = await openTo((peer) => {
      peer.on("close", () => (closedAt = performance.now()));
      peer.write(Buffer.alloc(16 * MIB));
    });
    await pause(200);
    const leftAt = performance.now();
    socket.destroy();
    await waitUntil(() => closedAt > 0);
    assert.ok(closedAt - leftAt < 200, `${closedAt - leftAt} ms`);
  });

  it("closes the endpoint's connection at once where a client leaves that still sends", async () => {
    const pair = await scene.startPair();
    const socket = await pair.open(pair.list(await scene.listen((peer) => peer.pause())));
    socket.write(randomBytes(24 * MIB));
    await pause(300);
    const leftAt = performance.now();
    socket.destroy();
    await waitUntil(() => pair.server.count === 0);
    const tookMs = performance.now() - leftAt;
    assert.ok(tookMs < 200, `${tookMs} ms`);
  });

  it("is refused where nothing listens at the endpoint's address", async () => {
    const pair = await scene.startPair();
    assert.equal(await pair.fail(pair.list(`127.0.0.1:${allocatePort()}`)), "refused");
    assert.equal(pair.server.count, 0);
  });

  it("is refused as unreachable where the peer that is refused reaches no other endpoint either", async () => {
    const pair = await scene.startPair();
    pair.isLinkSound = false;
    assert.equal(await pair.fail(pair.list(`127.0.0.1:${allocatePort()}`)), "unreachable");
  });

  it("is not opened to another address or process than the peer lists", async () => {
    const pair = await scene.startPair();
    let connectCount = 0;
    const address = await scene.listen(() => (connectCount += 1));
    const other: EndpointTarget = { id: "e2", address, processStartedAt: 1 };
    assert.equal(await pair.fail(other), "unlisted");
    const target = pair.list(address);
    assert.equal(await pair.fail({ ...target, processStartedAt: 2 }), "unlisted");
    const [entry] = pair.directory.listAll();
    assert.ok(entry !== undefined);
    pair.directory.markLeaving(entry, 0);
    assert.equal(await pair.fail(target), "unlisted");
    assert.equal(connectCount, 0);
  });

  it("is reported unreachable where the peer is cut off from the endpoint too", async () => {
    const pair = await scene.startPair({ connect: () => new Socket() });
    const target = pair.list("127.0.0.1:9");
    const startedAt = performance.now();
    assert.equal(await pair.fail(target), "unreachable");
    const tookMs = performance.now() - startedAt;
    assert.ok(tookMs >= 100 && tookMs < 400, `${tookMs} ms`);
    assert.equal(pair.server.count, 0);
  });

  it("is reported silent where the peer does not answer, listen or exist", async () => {
    const mute = await scene.listen(() => undefined);
    const muted = await scene.startPair({ relayAddress: mute });
    const target = muted.list("127.0.0.1:9");
    const startedAt = performance.now();
    assert.equal(await muted.fail(target, 150), "silent");
    assert.ok(performance.now() - startedAt < 350);
    const gone = await scene.startPair({ relayAddress: `127.0.0.1:${allocatePort()}` });
    assert.equal(await gone.fail(target), "silent");
    const unknown = await gone.opener.open("another", target, 100);
    assert.deepEqual(unknown, { _tag: "Left", left: "silent" });
  });

  it("is opened again once a peer that was silent answers, while older ones stay", async () => {
    let isFrozen = false;
    const peerAddress = `127.0.0.1:${allocatePort()}`;
    const port = Number(peerAddress.split(":")[1]);
    const relayAddress = await scene.listen((socket) => {
      if (isFrozen) return;
      const through = connect({ host: "127.0.0.1", port });
      through.on("error", () => undefined);
      through.on("data", (bytes) => {
        if (!isFrozen) socket.write(bytes);
      });
      socket.on("data", (bytes) => {
        if (!isFrozen) through.write(bytes);
      });
      scene.onClose(() => through.destroy());
    });
    const pair = await scene.startPair({ peerAddress, relayAddress });
    const target = pair.list(await scene.listen((peer) => peer.pipe(peer)));
    const older = await pair.open(target);
    isFrozen = true;
    assert.equal(await pair.fail(target, 150), "silent");
    assert.equal(await pair.fail(target, 150), "silent");
    isFrozen = false;
    const newer = await pair.open(target);
    for (const socket of [older, newer]) {
      socket.write("still");
      assert.equal(String((await once(socket, "data"))[0]), "still");
      socket.destroy();
    }
  });

  it("is opened 200 times at once to one endpoint", async () => {
    const pair = await scene.startPair();
    const target = pair.list(await scene.listen((peer) => peer.pipe(peer)));
    const sockets = await Promise.all(Array.from({ length: 200 }, () => pair.open(target)));
    const answers = await Promise.all(
      sockets.map((socket, index) => {
        socket.end(`number ${index}`);
        return text(socket);
      }),
    );
    assert.deepEqual(
      answers,
      sockets.map((_, index) => `number ${index}`),
    );
    await waitUntil(() => pair.server.count === 0);
  });

  it("outlasts the closing of thousands of others", async () => {
    const pair = await scene.startPair();
    const target = pair.list(await scene.listen((peer) => peer.pipe(peer)));
    const kept = await pair.open(target);
    for (let round = 0; round < 100; round += 1) {
      const sockets = await Promise.all(Array.from({ length: 25 }, () => pair.open(target)));
      for (const socket of sockets) socket.destroy();
      await waitUntil(() => pair.server.count === 1);
    }
    kept.write("still");
    assert.equal(String((await once(kept, "data"))[0]), "still");
  });

  it("is refused as unreachable where the peer serves as many as it may", async () => {
    const pair = await scene.startPair();
    const target = pair.list(await scene.listen((peer) => peer.resume()));
    const open = () => pair.opener.open(PEER, target, 5000);
    const results = await Promise.all(Array.from({ length: 530 }, open));
    const failures = results.flatMap((result) => (result._tag === "Left" ? [result.left] : []));
    assert.deepEqual(failures, Array<string>(18).fill("unreachable"));
    for (const result of results) if (result._tag === "Right") result.right.destroy();
    await waitUntil(() => pair.server.count === 0);
    assert.equal(await pair.fail(target), undefined);
  });

  it("carries several HTTP exchanges on one connection", async () => {
    const endpoint = new RawEndpoint((head, socket) => {
      writeAnswer(socket, head, `answer ${endpoint.requests.length}`);
    });
    await endpoint.listen();
    scene.onClose(() => {
      endpoint.close();
    });
    const pair = await scene.startPair();
    const client = createClient(await pair.open(pair.list(endpoint.address)));
    const options = { path: "/any/x", method: "POST", body: "y".repeat(100_000) } as const;
    for (const expected of ["answer 1", "answer 2"]) {
      const { body } = await client.request(options);
      assert.equal(await body.text(), expected);
    }
    assert.equal(endpoint.sockets.size, 1);
  });

  it("tells an unframed answer that ended from one that broke", async () => {
    let isReset = false;
    const endpoint = new RawEndpoint((_head, socket) => {
      socket.write("HTTP/1.1 200 OK\r\n\r\nunframed");
      setTimeout(() => (isReset ? socket.resetAndDestroy() : socket.end(" whole")), 50);
    });
    await endpoint.listen();
    scene.onClose(() => {
      endpoint.close();
    });
    const pair = await scene.startPair();
    const target = pair.list(endpoint.address);
    const options = { path: "/", method: "GET" } as const;
    const whole = await pair.open(target);
    const ended = await createClient(whole).request(options);
    assert.equal(await ended.body.text(), "unframed whole");
    assert.equal((whole.errored as NodeJS.ErrnoException | null)?.errno, undefined);
    isReset = true;
    const broken = await pair.open(target);
    const reset = await createClient(broken).request(options);
    await reset.body.text().catch(() => undefined);
    assert.equal(typeof (broken.errored as NodeJS.ErrnoException | null)?.errno, "number");
  });
});
