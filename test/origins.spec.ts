/**
 * Origins of streams over fleets of 9 to 195 instances, in virtual time. Guards against streams whose version nobody
 * knows any more when instances are killed or a data centre is cut off, and against a wrong version.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { chooseReplicas } from "../src/fleet/replicas";
import { StreamOrigins, type StreamOrigin } from "../src/forward/shared/origins";
import { OriginSource } from "../src/forward/shared/sharedorigins";
import { canGoOn, confirmOrigin } from "../src/forward/shared/versions";
import { EndpointDirectory } from "../src/fleet/directory";
import { compareEntries, EntryChange, type EndpointEntry } from "../src/fleet/entries";
import { createEntry, testCodecs } from "./harness/forward";
import { OriginFleet } from "./harness/originfleet";

const VERSIONS = ["v1", "v1.1"] as const;

/** Begins streams that break after a time and are taken up in the same data centre. */
function startStreams(fleet: OriginFleet, perSecond: number, endsAt: number): void {
  const beginNext = () => {
    if (fleet.now > endsAt) return;
    const dataCentre = Math.floor(fleet.draw() * 3);
    const index = fleet.drawInstance(dataCentre);
    const version = VERSIONS[fleet.draw() < 0.5 ? 0 : 1];
    const name = fleet.begin(index, version);
    const breaksAt = fleet.now + 50 + fleet.draw() * 2500;
    const takeUpOnceBroken = () => {
      if (!fleet.isDown(index) && fleet.now < breaksAt) {
        fleet.events.schedule(20, takeUpOnceBroken);
        return;
      }
      fleet.events.schedule(5 + fleet.draw() * 100, () => {
        fleet.takeUp(fleet.drawInstance(dataCentre), name, version);
      });
    };
    fleet.events.schedule(20, takeUpOnceBroken);
    fleet.events.schedule((-Math.log(1 - fleet.draw()) * 1000) / perSecond, beginNext);
  };
  fleet.events.schedule(0, beginNext);
}

function computeFoundShare(fleet: OriginFleet): number {
  for (const { found, version } of fleet.takenUp) {
    if (found.origin !== undefined) assert.equal(found.origin.version, version);
  }
  const found = fleet.takenUp.filter(({ found: { origin } }) => origin !== undefined);
  return found.length / fleet.takenUp.length;
}

const ORIGIN: StreamOrigin = {
  service: "models",
  version: "v1",
  endpoint: "d1",
  processStartedAt: 1000,
  beganAt: 5000,
};

describe("the origin of a stream that its caller takes up elsewhere", () => {
  for (const [size, perSecond] of [
    [9, 30],
    [60, 60],
    [195, 100],
  ] as const) {
    it(`is found by ${size} instances without faults, by a few messages a stream`, async () => {
      const fleet = new OriginFleet(size, size);
      await fleet.events.runUntil(fleet.now + 1500);
      startStreams(fleet, perSecond, fleet.now + 5000);
      await fleet.events.runUntil(fleet.now + 9000);
      assert.ok(fleet.takenUp.length > perSecond * 4);
      assert.equal(computeFoundShare(fleet), 1);
      assert.ok(fleet.messages <= fleet.takenUp.length * 9 * 1.1, `${fleet.messages} messages`);
    });
  }

  it("is found after one and two instances were killed, and with a data centre cut off", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer({ min: 1, max: 1_000_000 }),
        fc.constantFrom("one", "two", "cut", "restart"),
        async (seed, fault) => {
          const fleet = new OriginFleet(9, seed);
          await fleet.events.runUntil(fleet.now + 1500);
          startStreams(fleet, 30, fleet.now + 6000);
          await fleet.events.runUntil(fleet.now + 2500);
          const victim = Math.floor(fleet.draw() * 9);
          if (fault === "cut") fleet.cutDataCentre(victim % 3, 1);
          else fleet.kill(victim);
          if (fault === "two") fleet.kill((victim + 1) % 9);
          if (fault === "restart") {
            await fleet.events.runUntil(fleet.now + 300);
            fleet.restart(victim);
          }
          await fleet.events.runUntil(fleet.now + 8000);
          const share = computeFoundShare(fleet);
          assert.ok(share >= 0.95, `${share} found after ${fault}`);
        },
      ),
      { numRuns: 24, seed: 20_261_204 },
    );
  });

  it("is unknown if its id names streams of two versions at two instances", async () => {
    for (const [first, second] of [
      [0, 4],
      [4, 8],
      [8, 0],
    ] as const) {
      const fleet = new OriginFleet(9, 4);
      await fleet.events.runUntil(fleet.now + 1500);
      const name = fleet.begin(first, "v1");
      fleet.begin(second, "v1.1", name);
      await fleet.events.runUntil(fleet.now + 500);
      for (let index = 0; index < 9; index += 1) fleet.takeUp(index, name, "");
      await fleet.events.runUntil(fleet.now + 500);
      const versions = fleet.takenUp.map(({ found }) => found.origin?.version);
      assert.deepEqual(
        versions,
        Array.from({ length: 9 }, () => undefined),
      );
    }
  });

  it("is withdrawn at all instances, as a caller may not tell its name", async () => {
    for (const size of [3, 9, 60]) {
      const fleet = new OriginFleet(size, size);
      await fleet.events.runUntil(fleet.now + 1500);
      const name = fleet.begin(0, "v1");
      await fleet.events.runUntil(fleet.now + 500);
      assert.equal(fleet.countTold("models"), 0);
      fleet.withdraw(0, name);
      await fleet.events.runUntil(fleet.now + 500);
      assert.equal(fleet.countTold("models"), size);
    }
  });

  it("says whether somebody who may know it did not answer", async () => {
    const fleet = new OriginFleet(9, 4);
    await fleet.events.runUntil(fleet.now + 1500);
    const name = { workspace: "walls", request: "never" };
    fleet.takeUp(0, name, "");
    await fleet.events.runUntil(fleet.now + 500);
    assert.equal(fleet.takenUp[0]?.found.source, OriginSource.nowhere);
    for (const index of [1, 2, 3, 4, 5, 6, 7, 8]) fleet.kill(index);
    fleet.takeUp(0, name, "");
    await fleet.events.runUntil(fleet.now + 500);
    assert.equal(fleet.takenUp[1]?.found.source, OriginSource.unclear);
  });
});

describe("what an instance remembers of origins", () => {
  const stream = { workspace: "walls", request: "r1" };

  it("is one workspace's own, for a minute", () => {
    const origins = new StreamOrigins();
    origins.record({ stream, origin: ORIGIN }, 0);
    assert.deepEqual(origins.find(stream, 59_000), ORIGIN);
    assert.equal(origins.find({ ...stream, workspace: "others" }, 10), undefined);
    assert.equal(origins.find(stream, 61_000), undefined);
  });

  it("is no version where an id names streams of two versions", () => {
    const origins = new StreamOrigins();
    origins.record({ stream, origin: ORIGIN }, 0);
    origins.record({ stream, origin: ORIGIN }, 1);
    assert.equal(origins.find(stream, 2)?.version, "v1");
    origins.record({ stream, origin: { ...ORIGIN, version: "v2" } }, 3);
    assert.equal(origins.find(stream, 4)?.version, undefined);
    origins.record({ stream, origin: ORIGIN }, 5);
    assert.equal(origins.find(stream, 6)?.version, undefined);
  });

  it("is bounded in number and by the length of ids", () => {
    const origins = new StreamOrigins();
    origins.record({ stream: { ...stream, request: "x".repeat(10_000) }, origin: ORIGIN }, 0);
    assert.equal(origins.size, 0);
    for (let index = 0; index < 25_000; index += 1) {
      origins.record({ stream: { ...stream, request: `r${index}` }, origin: ORIGIN }, index / 1000);
    }
    assert.equal(origins.size, 20_000);
    assert.equal(origins.find({ ...stream, request: "r24999" }, 26)?.version, "v1");
  });
});

describe("the instances that keep an origin", () => {
  it("are three, in as many data centres, and stay mostly the same as members come and go", () => {
    const members = Array.from({ length: 18 }, (_, index) => ({
      instance: `n${index}`,
      dataCentre: `dc${index % 6}`,
    }));
    for (let index = 0; index < 100; index += 1) {
      const keepers = chooseReplicas(`r${index}`, members, 0);
      const dataCentres = keepers.map(
        (name) => members.find((m) => m.instance === name)?.dataCentre,
      );
      assert.equal(new Set(dataCentres).size, 3);
      const fewer = members.filter(({ instance }) => instance !== keepers[0]);
      const left = chooseReplicas(`r${index}`, fewer, 0);
      assert.ok(keepers.slice(1).every((name) => left.includes(name)));
    }
    const one = members.slice(0, 4).map((member) => ({ ...member, dataCentre: "dc0" }));
    assert.equal(chooseReplicas("r", one, 0).length, 3);
    assert.equal(chooseReplicas("r", [], 0).length, 0);
  });
});

describe("the engines that may go on with a stream", () => {
  it("are those of its version and service", () => {
    const engine = createEntry("d2", "b:1", { service: "models", version: "v1" });
    assert.equal(canGoOn(undefined, engine), true);
    assert.equal(canGoOn(ORIGIN, engine), true);
    assert.equal(canGoOn(ORIGIN, { ...engine, version: "v2" }), false);
    assert.equal(canGoOn(ORIGIN, { ...engine, service: "others" }), false);
    const unknown = { ...ORIGIN, version: undefined };
    assert.equal(canGoOn(unknown, { ...engine, version: undefined }), false);
  });

  const listed = createEntry("d1", "a:1", { service: "models", version: "v2" });

  it("are none if the process had started anew, with another version, before the first event", () => {
    const confirm = (processStartedAt: number, version = "v2") =>
      confirmOrigin(ORIGIN, [{ ...listed, processStartedAt, version }]).version;
    assert.equal(confirm(500), "v1", "an earlier process");
    assert.equal(confirm(4000), undefined, "it may have written the first event");
    assert.equal(confirm(5200), undefined, "the clocks may differ a little");
    assert.equal(confirm(6000), "v1", "it started later");
    assert.equal(confirm(4000, "v1"), "v1", "the same version");
    assert.equal(confirm(1000, "v1"), "v1", "the same process");
    assert.equal(confirmOrigin(ORIGIN, []).version, "v1");
  });

  it("are none if entries of another version have no other start time", () => {
    assert.equal(confirmOrigin(ORIGIN, [{ ...listed, processStartedAt: 1000 }]).version, undefined);
  });

  it("are none if a process of another version has been replaced or removed since", () => {
    const directory = new EndpointDirectory(testCodecs.decodeEndpoint);
    const put = (offset: number, value: Buffer | undefined) => {
      const record = { key: "d1", value, position: { era: 0, offset } };
      directory.apply({ records: [record], next: { era: 0, offset: offset + 1 } }, offset);
    };
    const encode = (entry: EndpointEntry) => Buffer.from(JSON.stringify(entry));
    const confirm = () => confirmOrigin(ORIGIN, directory.processes.list("d1")).version;
    put(0, encode({ ...listed, version: "v1", processStartedAt: 1000 }));
    assert.equal(confirm(), "v1");
    put(1, encode({ ...listed, processStartedAt: 4000 }));
    assert.equal(confirm(), undefined, "listed");
    put(2, undefined);
    assert.equal(confirm(), undefined, "removed");
    put(3, encode({ ...listed, version: "v1", processStartedAt: 7000 }));
    assert.equal(confirm(), undefined, "replaced");
    const isListed = () => true;
    directory.processes.prune(isListed, 59_000);
    assert.equal(confirm(), undefined, "remembered as long as origins");
    directory.processes.prune(isListed, 70_000);
    assert.equal(confirm(), "v1", "forgotten");
  });
});

describe("an entry in which only the version changed", () => {
  it("counts as changed, so that peers fetch it", () => {
    const entry = createEntry("d1", "a:1", { processStartedAt: 0 });
    assert.equal(compareEntries(entry, { ...entry, sequence: 2 }), undefined);
    const other = { ...entry, version: "v2", sequence: 2 };
    assert.equal(compareEntries(entry, other), EntryChange.changed);
  });
});
