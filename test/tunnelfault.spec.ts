/**
 * Unexpected errors in the events of a served tunnel. Guards against one that ends the process with all its requests, or
 * that costs more than its tunnel.
 */
import assert from "node:assert/strict";
import { once } from "node:events";
import { afterEach, beforeEach, describe, it } from "node:test";
import { pause } from "../src/core/clock";
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
});
