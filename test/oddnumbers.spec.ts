/**
 * Numbers in messages of peers that cannot be true, as a faulty build may write them. Guards against one
 * that stays in what an instance computes, so that callers are refused long after the message.
 */
import assert from "node:assert/strict";
import { after, describe, it } from "node:test";
import { createInstanceBase } from "../src/forward/base";
import { createParts } from "../src/forward/parts";
import { answerCharge } from "../src/forward/shared";
import { Beat } from "../src/peer/gen/fleet";
import { createSettings, testCodecs } from "./harness/forward";
import { MemoryStore } from "./harness/memory";

const ODD = [NaN, Infinity, 1e300, -1e300, -Infinity];
/** Long enough for any account to be full again, in milliseconds. */
const LONG_MS = 3_600_000;

/** An instance that gets heartbeats of one peer. */
const base = createInstanceBase(createSettings("n1"), { store: new MemoryStore(), ...testCodecs });
const parts = createParts(base, () => false);
const start = base.clock.now();

function receive(content: Partial<Beat>, now: number): void {
  const beat = Beat.fromPartial({ instance: "n2", incarnation: "n2/1", ...content });
  parts.peerState.handleBeat(Beat.decode(Beat.encode(beat).finish()), now, now);
}

after(() => parts.context.client.close());

describe("a cost that cannot be true", () => {
  const limit = { perSecond: 1000, burst: 1000 };
  const { quotas } = parts;
  const charge = (workspace: string, more: { totalCost: number; costs: number[] }) =>
    answerCharge(quotas, { instance: "n3", incarnation: "n3/1", workspace, ...more }, limit, start);

  for (const cost of ODD) {
    it(`in a heartbeat does not use up the account of its workspace: ${cost}`, () => {
      const workspace = `beat ${cost}`;
      quotas.admitAsOwner(workspace, limit, 1, start);
      for (const told of [1, cost, 2]) receive({ usages: [{ workspace, cost: told }] }, start);
      assert.ok(quotas.admitAsOwner(workspace, limit, 1, start + LONG_MS).isAdmitted);
    });

    it(`in a charge leaves the decision to its sender, and the account as it is: ${cost}`, () => {
      const workspace = `charge ${cost}`;
      assert.equal(charge(workspace, { totalCost: 1, costs: [1] }).decisions.length, 1);
      assert.deepEqual(charge(workspace, { totalCost: cost, costs: [1] }).decisions, []);
      assert.deepEqual(charge(workspace, { totalCost: 2, costs: [cost] }).decisions, []);
      assert.equal(charge(workspace, { totalCost: 2, costs: [1] }).decisions.length, 1);
      assert.ok(quotas.admitAsOwner(workspace, limit, 1, start + LONG_MS).isAdmitted);
    });
  }
});
