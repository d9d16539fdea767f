/**
 * Calls to peers in a process that stood still, while the peers went on. Guards against a late reader that takes a
 * scheduler or the holder of a rate for silent and goes to another one.
 */
import assert from "node:assert/strict";
import { after, describe, it } from "node:test";
import * as E from "fp-ts/Either";
import { createBlackboard } from "../src/board/board";
import type { PoolScheduler } from "../src/control/scheduler";
import type { Metrics } from "../src/core/metrics";
import { SchedulerClient } from "../src/control/schedulerclient";
import { MonotonicClock, pause } from "../src/core/clock";
import { SILENT_LOGGER } from "../src/core/log";
import { type BookRequest, HeartbeatMessage, PeerService, Want } from "../src/peer/gen/peer";
import { GrpcPeerTransport } from "../src/peer/transport";
import { blockAfter, blockFor, startGrpcEcho, startScheduler } from "./harness/standstill";

after(() => {
  setTimeout(() => process.exit(), 500).unref();
});

const METRICS = { count: () => undefined } as unknown as Metrics;
const SELF = { instance: "nizwa-1", incarnation: "nizwa-1/1", dataCentre: "nizwa" };
const PEER = { instance: "bahla-1", incarnation: "bahla-1/1", dataCentre: "bahla" };

describe("after the process stood still for 1300 ms, a request that waits for a grant", () => {
  const wait = async (everyMs: number) => {
    const atPeer: string[] = [];
    const peer = await startScheduler(PeerService.book.path, everyMs, atPeer);
    const board = createBlackboard();
    // This instance schedules only if the peer is skipped.
    board.draining.write(true);
    board.members.set(PEER.instance, { ...PEER, deadline: Infinity, isDraining: false });
    board.platformList.write([
      { ...PEER, kind: "instance", name: PEER.instance, address: `127.0.0.1:${peer.port}` },
    ] as unknown as ReturnType<typeof board.platformList.read>);
    const atSelf: BookRequest[] = [];
    const scheduler = {
      openSession: () => undefined,
      closeSession: () => undefined,
      onBookRequest: (_session: string, request: BookRequest) => atSelf.push(request),
    } as unknown as PoolScheduler;
    const transport = new GrpcPeerTransport();
    const clock = new MonotonicClock();
    const client = new SchedulerClient(
      board,
      SELF,
      scheduler,
      transport,
      clock,
      SILENT_LOGGER,
      METRICS,
    );
    client.start();
    void client.requestGrant(Want.fromPartial({ id: "w1", pool: "main" }));
    await pause(500);
    blockFor(1300);
    await pause(200);
    const counts = { peer: [...atPeer], self: atSelf.length };
    client.close();
    transport.close();
    await peer.close();
    return counts;
  };

  it("stays at a scheduler that has sent replies meanwhile", async () => {
    assert.deepEqual(await wait(200), { peer: ["message"], self: 0 });
  });

  it("goes to another scheduler if none came", async () => {
    const { self } = await wait(10_000);
    assert.equal(self, 1);
  });
});

describe("after the process stood still, a call to a peer", () => {
  const call = async (afterMs: number) => {
    const peer = await startGrpcEcho(PeerService.heartbeat.path, afterMs);
    const transport = new GrpcPeerTransport();
    const address = `127.0.0.1:${peer.port}`;
    const message = HeartbeatMessage.fromPartial({ controlNext: 7 });
    // The call whose time runs out is sent over a connection that is open.
    await transport.heartbeat(address, message, 2000)();
    blockAfter(50, 400);
    const reply = await transport.heartbeat(address, message, 150)();
    transport.close();
    await peer.close();
    return E.isRight(reply) ? reply.right.controlNext : undefined;
  };

  it("takes a reply that came before its timeout", async () => {
    assert.equal(await call(100), 7);
  });

  it("is still given up if no reply came", async () => {
    assert.equal(await call(1000), undefined);
  });
});
