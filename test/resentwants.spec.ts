/**
 * Requests for grants whose scheduler can't be sent anything at first. Guards against a request that is never sent
 * again, as another one of its instance opened the connection in the meantime.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createBlackboard } from "../src/board/board";
import { MonotonicClock, pause } from "../src/core/clock";
import { SILENT_LOGGER } from "../src/core/log";
import type { Metrics } from "../src/core/metrics";
import { SchedulerClient } from "../src/control/schedulerclient";
import type { PoolScheduler } from "../src/control/scheduler";
import { type BookRequest, Want } from "../src/peer/gen/peer";
import type { PeerTransport } from "../src/peer/transport";

const METRICS = { count: () => undefined } as unknown as Metrics;
const SELF = { instance: "n1", incarnation: "n1/1", dataCentre: "nizwa" };
const PEER = { instance: "n2", incarnation: "n2/1", dataCentre: "nizwa" };
const IDS = ["w1", "w2", "w3", "w4", "w5", "w6"];

/** Requests grants while no address is known, and lists the peer after a time; returns who got them. */
async function play(listedAfterMs: number): Promise<{ atPeer: string[]; atSelf: string[] }> {
  const board = createBlackboard();
  board.draining.write(true);
  board.members.set(PEER.instance, { ...PEER, deadline: Infinity, isDraining: false });
  const atPeer: string[] = [];
  const atSelf: string[] = [];
  const write = ({ wants }: BookRequest) => atPeer.push(...wants.map(({ id }) => id));
  const stream = { on: () => undefined, cancel: () => undefined, write };
  const transport = { openBookStream: () => stream } as unknown as PeerTransport;
  const local = {
    openSession: () => undefined,
    closeSession: () => undefined,
    onBookRequest: (_session: string, { wants }: BookRequest) =>
      atSelf.push(...wants.map(({ id }) => id)),
  } as unknown as PoolScheduler;
  const clock = new MonotonicClock();
  const client = new SchedulerClient(board, SELF, local, transport, clock, SILENT_LOGGER, METRICS);
  client.start();
  for (const id of IDS)
    void client.requestGrant(Want.fromPartial({ id, pool: "drafter", patienceMs: 5000 }));
  await pause(listedAfterMs);
  board.platformList.write([
    { name: "n2", dataCentre: "nizwa", kind: "instance", address: "n2", state: "live" },
  ]);
  await pause(700);
  client.close();
  return { atPeer, atSelf };
}

describe("requests for grants whose scheduler is heard before the list names its address", () => {
  it("all reach it once, as soon as the list does, so that a pool has one scheduler", async () => {
    assert.deepEqual(await play(20), { atPeer: IDS, atSelf: [] });
  });

  it("go to another one if the list does not within a second", async () => {
    assert.deepEqual(await play(1300), { atPeer: [], atSelf: IDS });
  });
});
