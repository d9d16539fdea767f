/**
 * A short fault soak with a fixed seed. Longer ones are started by hand: docs/SOAK.md.
 */
import assert from "node:assert/strict";
import { after, describe, it } from "node:test";
import { formatResult } from "./soak/report";
import { runSoak } from "./soak/soak";

const PLAN = { seed: 20261204, lengthMs: 45_000, instances: 4 };

after(() => {
  setTimeout(() => process.exit(), 500);
});

describe("a fleet of processes under overlapping faults", () => {
  it("keeps its promises to callers", async () => {
    const result = await runSoak(PLAN);
    assert.deepEqual(result.breaches, [], formatResult(PLAN, result).join("\n"));
  });
});
