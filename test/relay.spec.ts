/**
 * Large fleets, whose control traffic goes through relays, in virtual time. Guards against instances that do not learn
 * who is live, what others tell or how much the fleet has to do, whatever relay fails, and against cost that grows
 * with the fleet.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RelayFleet } from "./harness/relayfleet";

/** Time after which a fleet has settled from its start, in milliseconds. */
const SETTLE_MS = 8000;
/** Bound within which all know a loss, in milliseconds. */
const LOSS_MS = 1800;

async function createFleet(size: number, dataCentres: number, seed = 1): Promise<RelayFleet> {
  const fleet = new RelayFleet(size, dataCentres, seed);
  await fleet.runFor(SETTLE_MS);
  return fleet;
}

/** Lists the instances whose view of the live ones is wrong, with what they miss or have too much. */
function listWrongViews(fleet: RelayFleet) {
  const expected = fleet.live.map(({ name }) => name).sort();
  return fleet.live.flatMap(({ name, members }) => {
    const seen = [...members.listLive(fleet.now)].sort();
    if (JSON.stringify(seen) === JSON.stringify(expected)) return [];
    const missing = expected.filter((other) => !seen.includes(other));
    const tooMuch = seen.filter((other) => !expected.includes(other));
    return [{ name, missing, tooMuch }];
  });
}

for (const [size, dataCentres] of [
  [8, 2],
  [86, 6],
] as const) {
  describe(`a fleet of ${size}`, () => {
    it("finds itself from three addresses each", async () => {
      const fleet = await createFleet(size, dataCentres);
      assert.deepEqual(listWrongViews(fleet), []);
    });

    it("knows within 1.8 s that an instance was killed, whether its streams break off or not", async () => {
      const fleet = await createFleet(size, dataCentres);
      for (const isSilent of [false, true]) {
        for (const node of [...fleet.listRelays("dc0").slice(0, 1), fleet.get(size - 1)]) {
          if (node.isDown) continue;
          fleet.kill(node, isSilent);
          await fleet.runFor(LOSS_MS);
          assert.deepEqual(listWrongViews(fleet), [], `${node.name}, silent: ${isSilent}`);
        }
      }
    });

    it("tells all what one says, also after both relays of its data centre were killed", async () => {
      const fleet = await createFleet(size, dataCentres);
      for (const relay of fleet.listRelays("dc0")) fleet.kill(relay, true);
      await fleet.runFor(4000);
      assert.deepEqual(listWrongViews(fleet), []);
      const teller = fleet.live.find(({ dataCentre }) => dataCentre === "dc0") ?? fleet.get(1);
      teller.host.refused.push("news");
      teller.network.announce();
      await fleet.runFor(500);
      const unaware = fleet.live.filter(
        (node) => node !== teller && !node.host.heardRefusals.has("news"),
      );
      assert.deepEqual(
        unaware.map(({ name }) => name),
        [],
      );
    });

    it("adds up the load of all but oneself, and counts usage once", async () => {
      const fleet = await createFleet(size, dataCentres);
      for (const { host } of fleet.live) {
        host.load = {
          works: new Map([["e1", { engine: "e1", heldTokens: 10, promptTokens: 5, requests: 1 }]]),
          usages: new Map([["walls", 3]]),
          arrivingTokens: 2,
          waiting: 1,
        };
      }
      await fleet.runFor(1500);
      for (const { host, name } of fleet.live) {
        assert.equal(host.peerLoad.works.get("e1")?.requests, size - 1, name);
        assert.equal(host.peerLoad.waiting, size - 1, name);
        assert.equal(host.peerLoad.usages.get("walls"), 3 * (size - 1), name);
      }
    });
  });
}
