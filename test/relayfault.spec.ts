/**
 * Unexpected errors in the handling of what a neighbour sends on a relay stream. Guards against one that ends the process
 * with all its requests, or that costs more than its record or its stream.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RelayFleet, type RelayNode } from "./harness/relayfleet";

const SETTLE_MS = 6000;
const HEALED_MS = 8000;

/** Makes a method throw at its next call; counts the calls from then on. */
function failOnce(part: object, method: string): { calls: number } {
  const methods = part as Record<string, (...all: unknown[]) => unknown>;
  const whole = methods[method] ?? assert.fail(method);
  const counter = { calls: 0 };
  methods[method] = (...all) => {
    counter.calls += 1;
    if (counter.calls === 1) throw new Error("a fault of this test");
    return whole.apply(part, all);
  };
  return counter;
}

interface Inner {
  readonly links: { readonly listOpen: () => readonly object[] };
}

const readLinks = ({ network }: RelayNode) => (network as unknown as Inner).links;

describe("a message on a relay stream whose handling throws", () => {
  const cases = {
    "the head": { lost: 1, find: ({ host }: RelayNode) => [host, "applyHead"] as const },
    "the count of its bytes": {
      lost: 1,
      find: ({ network }: RelayNode) => [network.traffic, "recordReceived"] as const,
    },
    "the state of a member": {
      lost: 0,
      find: ({ members }: RelayNode) => [members, "recordRelayed"] as const,
    },
  };
  for (const [what, { lost, find }] of Object.entries(cases)) {
    it(`costs no more than its ${lost === 1 ? "stream" : "record"}: ${what}`, async () => {
      const fleet = new RelayFleet(12, 2, 1);
      await fleet.runFor(SETTLE_MS);
      const relay = fleet.listRelays("dc0")[0] ?? assert.fail("no relay");
      const links = readLinks(relay);
      const before = links.listOpen();
      const [part, method] = find(relay);
      const counter = failOnce(part, method);
      await fleet.runFor(HEALED_MS);
      assert.ok(counter.calls > 1, "it goes on");
      const kept = before.filter((link) => links.listOpen().includes(link));
      assert.equal(before.length - kept.length, lost);
      for (const { members } of fleet.live) {
        assert.equal(members.listLive(fleet.now).length, 12);
      }
    });
  }

  it("costs its stream alone, where the end of a stream is recorded", async () => {
    const fleet = new RelayFleet(12, 2, 1);
    await fleet.runFor(SETTLE_MS);
    const relay = fleet.listRelays("dc0")[0] ?? assert.fail("no relay");
    failOnce(readLinks(relay), "recordClosed");
    fleet.kill(fleet.listRelays("dc1")[0] ?? assert.fail("no relay"));
    await fleet.runFor(HEALED_MS);
    for (const { members } of fleet.live) assert.equal(members.listLive(fleet.now).length, 11);
  });
});
