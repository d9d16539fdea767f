/**
 * Rebalancing of engine stages: one instance at a time orders a change, and only for a lasting need. Guards against
 * duplicate orders of instances that both consider themselves responsible, and against orders on a short peak.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as E from "fp-ts/Either";
import { ManualClock } from "../src/core/clock";
import { SILENT_LOGGER } from "../src/core/log";
import { chooseByRendezvousHash } from "../src/core/rendezvous";
import { EngineStage } from "../src/fleet/entries";
import { OrderLeases } from "../src/fleet/orders";
import type { EndpointClient } from "../src/forward/endpoints/client";
import { StageRebalancer } from "../src/forward/engines/rebalancer";
import { createConfig, createEntry, testCodecs } from "./harness/forward";
import { createGate } from "./harness/gate";
import { MemoryOrders } from "./harness/memory";
import { pause } from "../src/core/clock";

const NAMES = ["n1", "n2", "n3"];

interface SentOrder {
  readonly from: string;
  readonly address: string;
  readonly fence: number;
}

function createRebalancer(
  name: string,
  clock: ManualClock,
  log: MemoryOrders,
  sent: SentOrder[],
  live: readonly string[],
): StageRebalancer {
  const call: EndpointClient["call"] = ({ address }, order) => {
    const { fence } = JSON.parse(order.body?.toString() ?? "{}") as { fence: number };
    sent.push({ from: name, address, fence });
    return Promise.resolve(E.right({ status: 202, body: Buffer.alloc(0) }));
  };
  const engines = ["a", "b", "c", "d", "e", "f"].map((id, index) =>
    createEntry(id, `${id}:1`, {
      service: "models",
      stage: index < 2 ? EngineStage.prefill : EngineStage.decode,
    }),
  );
  return new StageRebalancer({
    instance: name,
    leases: new OrderLeases(name, log, 3000, clock, SILENT_LOGGER, 0),
    client: { call } as unknown as EndpointClient,
    gate: createGate(clock),
    codec: testCodecs.endpointCodec,
    clock,
    logger: SILENT_LOGGER,
    listLive: () => live,
    listServices: () => createConfig(1).services,
    readStageLoad: () => ({ engines, promptTokensPerSecond: 20_000, tokensPerMs: 33 }),
    confirmList: () => Promise.resolve(true),
    onOrder: () => undefined,
  });
}

/** Runs the checks of all rebalancers repeatedly, and advances virtual time by 500 ms before each. */
async function runChecks(
  rebalancers: readonly StageRebalancer[],
  clock: ManualClock,
  checkCount: number,
) {
  for (let check = 0; check < checkCount; check += 1) {
    clock.advance(500);
    await Promise.all(rebalancers.map((rebalancer) => rebalancer.checkStages()));
    await pause(0);
  }
}

describe("the stages of engines", () => {
  it("are changed by one instance, once the need has lasted for several checks", async () => {
    const clock = new ManualClock(60_000);
    const log = new MemoryOrders();
    const sent: SentOrder[] = [];
    const fleet = NAMES.map((name) => createRebalancer(name, clock, log, sent, NAMES));
    await runChecks(fleet, clock, 2);
    assert.equal(sent.length, 0, "not at the first check");
    await runChecks(fleet, clock, 4);
    assert.deepEqual(
      sent.map((order) => [order.from, order.address]),
      [[chooseByRendezvousHash("stages", NAMES), "b:1"]],
    );
    await runChecks(fleet, clock, 4);
    assert.equal(sent.length, 1, "and not again while the engine changes its stage");
  });

  it("are changed by one instance at a time if two consider themselves responsible", async () => {
    const clock = new ManualClock(60_000);
    const log = new MemoryOrders();
    const sent: SentOrder[] = [];
    const fleet = ["n1", "n2"].map((name) => createRebalancer(name, clock, log, sent, [name]));
    await runChecks(fleet, clock, 8);
    assert.equal(sent.length, 1);
    assert.ok((sent[0]?.fence ?? 0) > 0);
  });

  it("are not changed while the store is unavailable", async () => {
    const clock = new ManualClock(60_000);
    const log = new MemoryOrders();
    log.isDown = true;
    const sent: SentOrder[] = [];
    await runChecks([createRebalancer("n1", clock, log, sent, ["n1"])], clock, 20);
    assert.equal(sent.length, 0);
  });
});
