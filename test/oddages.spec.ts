/**
 * Ages in messages of peers as old as a field can have. Guards against an instance that can send nothing
 * any more, since what it passes on has become older than the field can say.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ManualClock } from "../src/core/clock";
import { EndpointDirectory } from "../src/fleet/directory";
import { GrpcFleetTransport } from "../src/fleet/transport";
import { decodeLimit, encodePermitAsk } from "../src/forward/limits/wire";
import { PeerState, type PeerStateParts } from "../src/forward/peerstate";
import { Beat, FetchReply, FetchRequest, PermitRequest } from "../src/peer/gen/fleet";
import { addEndpoint, prepareEach, start } from "./harness/fixture";
import { allocatePort } from "./harness/ports";

const MAX_AGE_MS = 2 ** 32 - 1;

describe("the oldest age that a message can have", () => {
  prepareEach();

  it("does not stop heartbeats: that of a banned part, and its strikes", async () => {
    const peers = { host: "127.0.0.1", port: allocatePort() };
    await addEndpoint("a", () => undefined);
    await start({ peers });
    const transport = new GrpcFleetTransport();
    const partBans = [{ part: "a", strikes: MAX_AGE_MS, lastCrashAgeMs: MAX_AGE_MS }];
    const beat = Beat.fromPartial({ instance: "nizwa-2", address: "127.0.0.1:1", partBans });
    const exchange = () => transport.exchange(`127.0.0.1:${peers.port}`, beat, 2000);
    await exchange();
    const reply = await exchange();
    transport.close();
    assert.ok(reply !== undefined);
  });

  it("does not stop asks for permits: that of a limit", () => {
    const process = { endpoint: "e", processStartedAt: 1 };
    const word = decodeLimit({ ...process, perSecond: 1, ageMs: MAX_AGE_MS }, 1000);
    const limit = { perSecond: 1, cold: undefined, pacedSince: 1000 - MAX_AGE_MS };
    const ask = { process, word, limit, count: 1, outcomes: undefined };
    const bytes = PermitRequest.encode(encodePermitAsk(ask, 1001)).finish();
    assert.equal(PermitRequest.decode(bytes).limit?.ageMs, MAX_AGE_MS);
  });

  it("does not stop replies to fetches: the time since an outage", () => {
    const clock = new ManualClock(1000);
    const state = new PeerState({
      clock,
      directory: new EndpointDirectory(() => undefined),
      watcher: {
        evacuations: { list: () => [] },
        applyEvacuations: () => false,
        applyPeerEndpoints: () => false,
        readConfigIndex: () => undefined,
      },
    } as unknown as PeerStateParts);
    const reply = FetchReply.fromPartial({ sinceOutageMs: MAX_AGE_MS });
    state.handleFetchReply(reply, "n1");
    clock.advance(1);
    const bytes = FetchReply.encode(state.answerFetch(FetchRequest.fromPartial({}))).finish();
    assert.equal(FetchReply.decode(bytes).sinceOutageMs, MAX_AGE_MS);
  });
});
