/**
 * The log of orders, read by pages that end before the log does. Guards against records that count as read and were not.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as TE from "fp-ts/TaskEither";
import { FIRST_ERA } from "../src/fleet/position";
import { OrderLeases } from "../src/fleet/orders";
import type { OrderLog, OrderRecord } from "../src/fleet/store";
import { SILENT_LOGGER } from "../src/core/log";

const LEASE_MS = 3000;
const record = (holder: string, offset: number): OrderRecord => ({
  offset,
  value: Buffer.from(JSON.stringify({ holder, engine: "e1", stage: "decode" })),
});

describe("the lease for an order", () => {
  it("is not given while a record of another holder lies behind the end of the page that was read", async () => {
    const records = [record("own", 0), record("other", 1)];
    const log: OrderLog = {
      read: (from) => TE.right({ records: records.slice(from, from + 1), end: records.length }),
      appendAt: (end) => TE.right({ era: FIRST_ERA, offset: end }),
    };
    const clock = { now: () => 100_000 };
    const leases = new OrderLeases("own", log, LEASE_MS, clock as never, SILENT_LOGGER, 0);
    const subject = { engine: "e1", stage: "decode" };
    assert.equal(await leases.acquire(subject), undefined);
  });
});
