/**
 * Numbers of callers that reach messages to peers. Guards against a caller whose request is so large that
 * the heartbeats of its instance can no longer be encoded, so that peers take the instance for gone.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createReport } from "../src/fleet/relay/sums";
import { GrpcFleetTransport } from "../src/fleet/transport";
import { Beat, RelayReport, RelayScope } from "../src/peer/gen/fleet";
import { addEndpoint, get, port, prepareEach, start } from "./harness/fixture";
import { allocatePort } from "./harness/ports";
import { writeAnswer } from "./harness/raw";

const HUGE = 5e9;

describe("a caller's prompt of more tokens than a message can count", () => {
  prepareEach();

  it("does not stop the heartbeats of the instance", async () => {
    const peers = { host: "127.0.0.1", port: allocatePort() };
    await addEndpoint("a", (head, socket) => {
      writeAnswer(socket, head, "answer");
    });
    await start({ peers });
    const transport = new GrpcFleetTransport();
    const beat = Beat.fromPartial({ instance: "nizwa-2", address: "127.0.0.1:1" });
    for (let count = 0; count < 5; count += 1) {
      await get(port, "/draft/1", { "x-tokens": String(HUGE), "x-patience": "200" });
    }
    const reply = await transport.exchange(`127.0.0.1:${peers.port}`, beat, 2000);
    transport.close();
    assert.ok(reply !== undefined);
    assert.ok(reply.arrivingTokens > 0);
  });

  it("does not stop the reports of relays, nor does the sum of several", () => {
    const work = { engine: "e", heldTokens: HUGE, promptTokens: 0.5, requests: HUGE };
    const load = {
      works: new Map([["e", work]]),
      usages: new Map(),
      arrivingTokens: HUGE,
      waiting: HUGE,
    };
    const report = createReport(RelayScope.RELAY_SCOPE_FLEET, undefined, load);
    assert.ok(report !== undefined);
    assert.ok(RelayReport.decode(RelayReport.encode(report).finish()).arrivingTokens > 0);
  });
});
