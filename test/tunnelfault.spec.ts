/**
 * Unexpected errors in the events of a served tunnel. Guards against one that ends the process with all its requests, or
 * that costs more than its tunnel.
 */
import assert from "node:assert/strict";
import { once } from "node:events";
import { PassThrough } from "node:stream";
import { afterEach, beforeEach, describe, it } from "node:test";
import { MonotonicClock, pause } from "../src/core/clock";
import { SILENT_LOGGER } from "../src/core/log";
import { EndpointDirectory } from "../src/fleet/directory";
import { TunnelServer } from "../src/forward/tunnels/server";
import { TunnelData } from "../src/peer/gen/fleet";
import { testCodecs, waitUntil } from "./harness/forward";
import { type TunnelPair, TunnelScene } from "./harness/tunnels";

const faults: unknown[] = [];
const onFault = (error: unknown) => void faults.push(error);

/** Makes a method throw at its next call. */
function failOnce(part: object, method: string): void {
  const methods = part as Record<string, (...all: unknown[]) => unknown>;
  const whole = methods[method] ?? assert.fail(method);
  methods[method] = () => {
    methods[method] = (...all) => whole.apply(part, all);
    throw new Error("a fault of this test");
  };
}

describe("a served tunnel whose handler throws", () => {
  const scene = new TunnelScene();

  beforeEach(() => {
    faults.length = 0;
    process.on("uncaughtException", onFault);
    process.on("unhandledRejection", onFault);
  });

  afterEach(async () => {
    await scene.close();
    process.off("uncaughtException", onFault);
    process.off("unhandledRejection", onFault);
  });

  const opening = {
    "the search of its target": (pair: TunnelPair) => [pair.directory, "find"] as const,
    "the opening of its connection": (pair: TunnelPair) => [pair.clock, "now"] as const,
  };
  for (const [what, find] of Object.entries(opening)) {
    it(`says that it is not open, and the next one is: ${what}`, async () => {
      const pair = await scene.startPair();
      const target = pair.list(await scene.listen(() => undefined));
      const [part, method] = find(pair);
      failOnce(part, method);
      assert.equal(await pair.fail(target, 400), "unreachable");
      assert.equal(await pair.fail(target), undefined);
      assert.deepEqual([faults, pair.errors], [[], ["event failed"]]);
    });
  }

  it("says that it is not open, where the check of the link fails", async () => {
    const pair = await scene.startPair();
    const target = pair.list("127.0.0.1:9");
    failOnce(pair.links, "check");
    assert.equal(await pair.fail(target, 400), "unreachable");
    assert.equal(await pair.fail(target), "refused");
    assert.deepEqual([faults, pair.errors], [[], ["link check failed"]]);
  });

  it("is reset, and the one beside it goes on", async () => {
    const pair = await scene.startPair();
    const address = await scene.listen((peer) => {
      peer.on("data", (bytes) => peer.write(bytes));
    });
    const target = pair.list(address);
    const [broken, sound] = await Promise.all([pair.open(target), pair.open(target)]);
    failOnce(pair.clock, "now");
    broken.write("bytes");
    const failure = await Promise.race([once(broken.resume(), "error"), pause(400)]);
    assert.equal((failure?.[0] as NodeJS.ErrnoException | undefined)?.code, "ECONNRESET");
    sound.write("answer");
    assert.equal(String((await once(sound, "data"))[0]), "answer");
    assert.deepEqual([faults, pair.errors], [[], ["event failed"]]);
    assert.equal(pair.server.count, 1);
  });

  /** Serves tunnels whose calls throw as they write or end. */
  const serveFaulty = (count: number) => {
    const errors: string[] = [];
    const logger = { ...SILENT_LOGGER, error: (event: string) => void errors.push(event) };
    const clock = new MonotonicClock();
    const directory = new EndpointDirectory(testCodecs.decodeEndpoint);
    const server = new TunnelServer(
      directory,
      clock,
      { check: () => Promise.resolve(true) },
      logger,
    );
    const calls = Array.from({ length: count }, () => {
      const call = new PassThrough({ objectMode: true });
      server.open(Object.assign(call, { sendMetadata: () => undefined }) as never);
      return call;
    });
    return { errors, server, calls };
  };

  it("is closed, where the peer can't be told that it is not open", () => {
    const { errors, server, calls } = serveFaulty(1);
    for (const call of calls) {
      call.write = () => assert.fail("a fault of this test");
      call.emit("data", TunnelData.create({ target: { endpoint: "e1" } }));
    }
    assert.deepEqual([server.count, errors, faults], [0, ["event failed"], []]);
  });

  it("keeps none beside it from being closed with the server", () => {
    const { errors, server, calls } = serveFaulty(3);
    for (const call of calls.slice(0, 2)) failOnce(call, "end");
    server.close();
    assert.deepEqual([server.count, errors], [0, ["event failed", "event failed"]]);
  });

  it("keeps none beside it from being told of a stop, and from being closed", async () => {
    const pair = await scene.startPair();
    const target = pair.list(await scene.listen(() => undefined));
    const sockets = [await pair.open(target), await pair.open(target)];
    for (const socket of sockets) socket.on("error", () => undefined);
    const { tunnels } = pair.server as unknown as { tunnels: Set<{ call: object }> };
    for (const { call } of [...tunnels].slice(0, 1)) failOnce(call, "write");
    assert.doesNotThrow(() => {
      pair.server.beginClose();
    });
    await waitUntil(() => sockets.some(({ isLeaving }) => isLeaving === true));
    pair.server.close();
    assert.deepEqual([pair.server.count, pair.errors], [0, ["event failed"]]);
  });

  it("is closed with its connection where the description of its end fails", async () => {
    const pair = await scene.startPair();
    const ended: string[] = [];
    const address = await scene.listen((peer) => {
      peer.resume().on("end", () => ended.push("ended"));
    });
    const target = pair.list(address);
    const sockets = [await pair.open(target), await pair.open(target)];
    for (const socket of sockets) socket.on("error", () => undefined).resume();
    failOnce(pair.clock, "now");
    assert.doesNotThrow(() => {
      pair.server.close();
    });
    await waitUntil(() => ended.length === 2, 400);
    await waitUntil(() => sockets.every(({ destroyed }) => destroyed), 400);
    assert.deepEqual([pair.server.count, pair.errors, faults], [0, ["event failed"], []]);
  });
});
