/**
 * Statuses of final answers. Guards against a number that no class of statuses has.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { isFinalStatus } from "../src/core/finalstatus";

describe("a status", () => {
  it("is one of a final answer from 200 to 599", () => {
    for (const status of [200, 204, 304, 418, 599]) assert.ok(isFinalStatus(status), `${status}`);
    for (const status of [0, 1, 99, 100, 199, 600, 999, 200.5, Number.NaN, -200]) {
      assert.ok(!isFinalStatus(status), `${status}`);
    }
  });
});
