/**
 * What changes while a permit is waited for. Guards against calls to endpoints that asked for a pause meanwhile.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as E from "fp-ts/Either";
import { ManualClock } from "../src/core/clock";
import { SILENT_LOGGER } from "../src/core/log";
import { HttpEndpointClient, SendFailureKind } from "../src/forward/endpoints/client";
import type { EndpointDialer } from "../src/forward/tunnels/dialer";
import type { EndpointGate } from "../src/forward/limits/gate";
import { createEntry, testCodecs } from "./harness/forward";

describe("a call that waits for a permit", () => {
  it("is not made where its endpoint asks for a pause meanwhile", async () => {
    let isPaused = false;
    let dials = 0;
    const gate = {
      isPaused: () => isPaused,
      acquirePermits: () => {
        isPaused = true;
        return Promise.resolve(true);
      },
    };
    const dialer = {
      dial: () => {
        dials += 1;
        return Promise.resolve(E.left(new Error("not reached")));
      },
      close: () => undefined,
    };
    const client = new HttpEndpointClient(
      testCodecs.endpointCodec,
      gate as unknown as EndpointGate,
      dialer as unknown as EndpointDialer,
      new ManualClock(1000),
      {
        computeMaxConnections: () => 8,
        onForeignAnswer: () => undefined,
        logger: SILENT_LOGGER,
        computeCheckMs: () => 60_000,
      },
    );
    const target = createEntry("d", "127.0.0.1:1");
    const call = testCodecs.endpointCodec.createReserveHoldCall(target, 10);
    const response = await client.call(target, call, 500, 2);
    await client.close();
    assert.equal(E.isLeft(response) && response.left.kind, SendFailureKind.held);
    assert.equal(dials, 0);
  });
});
