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

const START = 60_000;
/** How long a change has to be called for, and a few checks more, in milliseconds. */
const SOON_MS = 8000;

const OLDER = [createDecode("e", "v1"), createDecode("f", "v1")];
const NEWER = ["a", "b", "c", "d"].map((id) => createDecode(id, "v2"));

/** The list as it is read again, or undefined if it can't be read. */
type ConfirmedEngines = readonly EndpointEntry[] | undefined;

/** Checks for a minute, each half second, whether one engine should prefill; returns the addresses of the orders. */
async function checkForMinute(
  confirmList: () => ConfirmedEngines | Promise<ConfirmedEngines>,
  onCheck: (check: () => Promise<void>) => Promise<void> = (check) => check(),
) {
  const clock = new ManualClock(START);
  const sent: string[] = [];
  const sentAfterMs: number[] = [];
  const call: EndpointClient["call"] = ({ address }) => {
    sent.push(address);
    sentAfterMs.push(clock.now() - START);
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
    confirmList: async () => {
      reads += 1;
      const confirmed = await confirmList();
      engines = confirmed ?? engines;
      return confirmed !== undefined;
    },
    onOrder: (ordered) => {
      engines = engines.map((engine) =>
        engine.id === ordered ? { ...engine, stage: EngineStage.prefill } : engine,
      );
    },
  });
  for (let check = 0; check < 120; check += 1) {
    clock.advance(500);
    await onCheck(() => rebalancer.checkStages());
    await pause(0);
  }
  return { sent, reads, sentAfterMs };
}

describe("an engine that should prefill", () => {
  it("is not the last decode engine of its version, though the copy has another", async () => {
    const confirmed = [...NEWER, ...OLDER.slice(1)];
    const { sent, reads } = await checkForMinute(() => confirmed);
    assert.deepEqual({ sent, reads }, { sent: ["d:1"], reads: 2 });
  });

  it("is ordered by one read of the list if the copy is right", async () => {
    const confirmed = [...NEWER, ...OLDER];
    const { sent, reads } = await checkForMinute(() => confirmed);
    assert.deepEqual({ sent, reads }, { sent: ["f:1"], reads: 1 });
  });

  it("gets no order while the list can't be read", async () => {
    assert.deepEqual((await checkForMinute(() => undefined)).sent, []);
  });

  it("is ordered at the next check after the list could not be read", async () => {
    let failures = 3;
    const confirm = () => ((failures -= 1) < 0 ? [...NEWER, ...OLDER] : undefined);
    const { sent, sentAfterMs } = await checkForMinute(confirm);
    assert.deepEqual(sent, ["f:1"]);
    assert.ok((sentAfterMs[0] ?? Infinity) <= SOON_MS, `after ${sentAfterMs.join(" ")} ms`);
  });

  it("does not wait anew because a check came while the list was read", async () => {
    const held: ((confirmed: ConfirmedEngines) => void)[] = [];
    let isHeld = true;
    const confirm = () =>
      isHeld ? new Promise<ConfirmedEngines>((end) => held.push(end)) : [...NEWER, ...OLDER];
    const { sentAfterMs } = await checkForMinute(confirm, async (check) => {
      const checked = check();
      await pause(0);
      if (held.length > 0) {
        isHeld = false;
        await check();
        for (const end of held.splice(0)) end(undefined);
      }
      await checked;
    });
    assert.ok((sentAfterMs[0] ?? Infinity) <= SOON_MS, `after ${sentAfterMs.join(" ")} ms`);
  });
});
