/**
 * Orders to change a stage by an old copy of the list. Guards against an order to the last decode engine of a version,
 * with whose streams no other engine can go on.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as E from "fp-ts/Either";
import { ManualClock, pause } from "../src/core/clock";
import { SILENT_LOGGER } from "../src/core/log";
import { type EndpointEntry, EngineStage } from "../src/fleet/entries";
import { OrderLeases } from "../src/fleet/orders";
import type { EndpointClient } from "../src/forward/endpoints/client";
import { StageRebalancer } from "../src/forward/engines/rebalancer";
import { createConfig, createEntry, testCodecs } from "./harness/forward";
import { createGate } from "./harness/gate";
import { MemoryOrders } from "./harness/memory";

const createDecode = (id: string, version: string) =>
  createEntry(id, `${id}:1`, { service: "models", stage: EngineStage.decode, version });

const OLDER = [createDecode("e", "v1"), createDecode("f", "v1")];
const NEWER = ["a", "b", "c", "d"].map((id) => createDecode(id, "v2"));

/** Checks for a minute whether one engine should prefill; returns the addresses of the orders. */
async function checkForMinute(confirmList: () => readonly EndpointEntry[] | undefined) {
  const clock = new ManualClock(60_000);
  const sent: string[] = [];
  const call: EndpointClient["call"] = ({ address }) => {
    sent.push(address);
    return Promise.resolve(E.right({ status: 202, body: Buffer.alloc(0) }));
  };
  let engines: readonly EndpointEntry[] = [...NEWER, ...OLDER];
  let reads = 0;
  const rebalancer = new StageRebalancer({
    instance: "n1",
    leases: new OrderLeases("n1", new MemoryOrders(), 3000, clock, SILENT_LOGGER, 0),
    client: { call } as unknown as EndpointClient,
    gate: createGate(clock),
    codec: testCodecs.endpointCodec,
    clock,
    logger: SILENT_LOGGER,
    listLive: () => ["n1"],
    listServices: () => createConfig(1).services,
    readStageLoad: () => ({ engines, promptTokensPerSecond: 20_000, tokensPerMs: 33 }),
    confirmList: () => {
      reads += 1;
      const confirmed = confirmList();
      engines = confirmed ?? engines;
      return Promise.resolve(confirmed !== undefined);
    },
    onOrder: (ordered) => {
      engines = engines.map((engine) =>
        engine.id === ordered ? { ...engine, stage: EngineStage.prefill } : engine,
      );
    },
  });
  for (let check = 0; check < 120; check += 1) {
    clock.advance(500);
    await rebalancer.checkStages();
    await pause(0);
  }
  return { sent, reads };
}

describe("an engine that should prefill", () => {
  it("is not the last decode engine of its version, though the copy has another", async () => {
    const confirmed = [...NEWER, ...OLDER.slice(1)];
    assert.deepEqual(await checkForMinute(() => confirmed), { sent: ["d:1"], reads: 2 });
  });

  it("is ordered by one read of the list if the copy is right", async () => {
    const confirmed = [...NEWER, ...OLDER];
    assert.deepEqual(await checkForMinute(() => confirmed), { sent: ["f:1"], reads: 1 });
  });

  it("gets no order while the list can't be read", async () => {
    assert.deepEqual((await checkForMinute(() => undefined)).sent, []);
  });
});
