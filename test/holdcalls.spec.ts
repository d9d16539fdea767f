/**
 * Calls for holds whose codec throws. Guards against processes that end by such an error, and against engines that
 * are never asked again.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as E from "fp-ts/Either";
import type { EndpointEntry } from "../src/fleet/entries";
import type { ForwardContext } from "../src/forward/endpoints/context";
import { HoldCaller, HoldEnd } from "../src/forward/engines/holdcalls";
import { createEntry, testCodecs } from "./harness/forward";

const DEMAND = { needTokens: 30, holdTtlMs: 2000 };

/** Creates a caller whose engine answers after a time, and whose codec throws. */
function createCaller(throwing: "createReserveHoldCall" | "readHold", answerMs = 0) {
  const errors: string[] = [];
  const codec = Object.create(testCodecs.endpointCodec) as Record<string, unknown>;
  codec[throwing] = () => {
    throw new Error("broken invariant");
  };
  const call = () =>
    new Promise((resolve) => {
      setTimeout(() => {
        resolve(E.right({ status: 200, body: Buffer.from("h1") }));
      }, answerMs);
    });
  const logger = { info: () => undefined, error: (event: string) => errors.push(event) };
  const context = { codec, client: { call }, logger, clock: { now: () => 0 } };
  return { holdCaller: new HoldCaller(context as unknown as ForwardContext), errors };
}

describe("a call for a hold that throws", () => {
  const engine: EndpointEntry = createEntry("d", "127.0.0.1:1");

  for (const throwing of ["createReserveHoldCall", "readHold"] as const) {
    it(`has failed, and is logged: ${throwing}`, async () => {
      const { holdCaller, errors } = createCaller(throwing);
      const { end, granted } = await holdCaller.request(engine, DEMAND);
      assert.deepEqual([end, granted, errors.length], [HoldEnd.failed, undefined, 1]);
      assert.equal(holdCaller.isInCall(engine.id), false);
    });
  }

  it("is logged also after its caller stopped waiting", async () => {
    const { holdCaller, errors } = createCaller("readHold", 700);
    const ask = () => holdCaller.request(engine, DEMAND);
    const both = [ask(), ask()];
    assert.deepEqual(
      (await Promise.all(both)).map(({ end }) => end),
      [HoldEnd.failed, HoldEnd.failed],
    );
    assert.equal(holdCaller.isInCall(engine.id), true);
    await new Promise((resolve) => setTimeout(resolve, 400));
    assert.deepEqual([errors.length, holdCaller.isInCall(engine.id)], [2, false]);
  });
});
