/**
 * Large fleets in virtual time while instances fail, return or are cut off. Guards against instances that are taken for
 * lost though they only froze for a moment or are slow, against lost ones that stay in view, against sides of a
 * partition that do not find each other again, and against records that do not arrive.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { ManualClock } from "../src/core/clock";
import { LinkTable } from "../src/fleet/relay/links";
import { OwnRecords } from "../src/fleet/relay/own";
import { type OwnedRecord, RecordTable } from "../src/fleet/relay/records";
import { RelayFleet, type RelayNode } from "./harness/relayfleet";

const SIZE = 48;
const DATA_CENTRES = 4;
const SETTLE_MS = 6000;
/** Time after which a fleet has found together again, in milliseconds. */
const HEALED_MS = 8000;
/** Bound within which an urgent record reaches all, in milliseconds. */
const URGENT_MS = 300;

async function createFleet(seed: number): Promise<RelayFleet> {
  const fleet = new RelayFleet(SIZE, DATA_CENTRES, seed);
  await fleet.runFor(SETTLE_MS);
  return fleet;
}

/** Counts live instances that some live one misses, and lost ones that some still has. */
function countWrong(fleet: RelayFleet): { missing: number; tooMuch: number } {
  const expected = new Set(fleet.live.map(({ name }) => name));
  const wrong = { missing: 0, tooMuch: 0 };
  for (const { members } of fleet.live) {
    const seen = new Set(members.listLive(fleet.now));
    wrong.missing += [...expected].filter((name) => !seen.has(name)).length;
    wrong.tooMuch += [...seen].filter((name) => !expected.has(name)).length;
  }
  return wrong;
}

const NONE_WRONG = { missing: 0, tooMuch: 0 };

function getRelay(fleet: RelayFleet, dataCentre = "dc0"): RelayNode {
  return fleet.listRelays(dataCentre)[0] ?? assert.fail("no relay");
}

/** Has an instance tell something urgent, and returns who has not heard it in time. */
async function listUnaware(fleet: RelayFleet, teller: RelayNode, news: string) {
  teller.host.refused.push(news);
  teller.network.announce();
  await fleet.runFor(URGENT_MS);
  return fleet.live
    .filter((node) => node !== teller && !node.host.heardRefusals.has(news))
    .map(({ name }) => name);
}

describe("a large fleet", () => {
  it("keeps a relay that is five times slower, and one that freezes for half a second", async () => {
    const fleet = await createFleet(2);
    const slow = getRelay(fleet);
    slow.isSlow = true;
    fleet.freeze(getRelay(fleet, "dc1"), 500);
    for (let step = 0; step < 20; step += 1) {
      await fleet.runFor(250);
      const judges = fleet.live.filter((node) => node !== slow);
      for (const { name, members } of judges) {
        assert.ok(members.listLive(fleet.now).includes(slow.name), `${name} lost it`);
      }
    }
  });

  it("goes without a relay that freezes for a minute, and takes it back with its records", async () => {
    const fleet = await createFleet(3);
    const relay = getRelay(fleet);
    fleet.freeze(relay, 60_000);
    await fleet.runFor(1800);
    const unaware = fleet.live.filter(
      (node) => node !== relay && node.members.listLive(fleet.now).includes(relay.name),
    );
    assert.equal(unaware.length, 0);
    const teller = fleet.live.find((node) => node !== relay && node.dataCentre === "dc0");
    const missed = await listUnaware(fleet, teller ?? fleet.get(1), "meanwhile");
    assert.deepEqual(missed, [relay.name]);
    await fleet.runFor(58_500 + HEALED_MS);
    assert.deepEqual(countWrong(fleet), NONE_WRONG);
    assert.ok(relay.host.heardRefusals.has("meanwhile"));
    assert.deepEqual(await listUnaware(fleet, relay, "I am back"), []);
  });

  it("finds together when half of it restarts at once", async () => {
    const fleet = await createFleet(4);
    const restarted = fleet.nodes.filter((_, index) => index % 2 === 0);
    for (const node of restarted) fleet.kill(node);
    await fleet.runFor(1500);
    for (const node of restarted) fleet.start(node);
    await fleet.runFor(HEALED_MS);
    assert.deepEqual(countWrong(fleet), NONE_WRONG);
    assert.deepEqual(await listUnaware(fleet, fleet.get(0), "after the restart"), []);
  });

  it("hears one that restarts after its wall clock was set back", async () => {
    const fleet = await createFleet(6);
    for (const node of [getRelay(fleet), fleet.get(0)]) {
      fleet.kill(node);
      await fleet.runFor(1500);
      node.generation -= 10;
      fleet.start(node);
      await fleet.runFor(HEALED_MS);
      assert.deepEqual(countWrong(fleet), NONE_WRONG);
      assert.deepEqual(await listUnaware(fleet, node, `${node.name} is back`), []);
    }
  });

  it("finds together after a data centre was cut off in both directions or in one", async () => {
    for (const isOneWay of [false, true]) {
      const fleet = await createFleet(5);
      fleet.isCut = (from, to) =>
        (from.dataCentre === "dc0" && to.dataCentre !== "dc0") ||
        (!isOneWay && from.dataCentre !== "dc0" && to.dataCentre === "dc0");
      await fleet.runFor(6000);
      const inside = fleet.get(0).members.listLive(fleet.now);
      const outside = fleet.get(1).members.listLive(fleet.now);
      assert.equal(outside.length, (SIZE * (DATA_CENTRES - 1)) / DATA_CENTRES);
      if (!isOneWay) assert.equal(inside.length, SIZE / DATA_CENTRES);
      fleet.isCut = () => false;
      await fleet.runFor(HEALED_MS);
      assert.deepEqual(countWrong(fleet), NONE_WRONG, `one way: ${isOneWay}`);
    }
  });

  it("tells all what a relay says that is cut off from the other data centres", async () => {
    const fleet = await createFleet(6);
    const relay = getRelay(fleet);
    fleet.isCut = (from, to) =>
      from.dataCentre !== to.dataCentre && (from === relay || to === relay);
    await fleet.runFor(4000);
    assert.deepEqual(countWrong(fleet), NONE_WRONG);
    assert.deepEqual(await listUnaware(fleet, relay, "through the other relay"), []);
  });

  it("passes on at once which configuration is new", async () => {
    const fleet = await createFleet(7);
    const reader = getRelay(fleet);
    reader.host.configVersion = 9;
    reader.network.announce();
    await fleet.runFor(URGENT_MS);
    const versions = new Set(fleet.live.map(({ host }) => host.configVersion));
    assert.deepEqual([...versions], [9]);
  });

  it("counts usage once also when relays change", async () => {
    const fleet = await createFleet(8);
    const use = (cost: number) => {
      for (const { host } of fleet.live) {
        host.load = { ...host.load, usages: new Map([["walls", cost]]) };
      }
    };
    use(10);
    await fleet.runFor(1500);
    const observer = fleet.live.find(({ network }) => !network.isRelay) ?? assert.fail();
    const before = observer.host.peerLoad.usages.get("walls") ?? 0;
    assert.equal(before, 10 * (SIZE - 1));
    for (const relay of fleet.listRelays(observer.dataCentre)) fleet.kill(relay);
    await fleet.runFor(5000);
    use(11);
    await fleet.runFor(2000);
    const added = (observer.host.peerLoad.usages.get("walls") ?? 0) - before;
    assert.ok(added <= SIZE - 3, `counted ${added} for ${SIZE - 3}`);
    assert.ok(added >= SIZE - 3 - 1, `counted ${added} for ${SIZE - 3}`);
  });

  it("costs an instance the same messages and about the same bytes from 30 to 150", async () => {
    const measure = async (size: number, dataCentres: number) => {
      const fleet = new RelayFleet(size, dataCentres, 9);
      await fleet.runFor(SETTLE_MS);
      for (const dataCentre of ["dc0", "dc1"]) getRelay(fleet, dataCentre).host.isReader = true;
      await fleet.runFor(1000);
      fleet.sent.clear();
      await fleet.runFor(4000);
      const counts = [...fleet.sent.values()];
      return {
        messages: counts.reduce((sum, { messages }) => sum + messages, 0) / size / 4,
        bytes: counts.reduce((sum, { bytes }) => sum + bytes, 0) / size / 4,
      };
    };
    const small = await measure(30, 3);
    const large = await measure(150, 6);
    assert.ok(large.messages <= small.messages * 1.3, JSON.stringify({ small, large }));
    assert.ok(large.bytes <= small.bytes * 1.3, JSON.stringify({ small, large }));
  });
});

describe("the streams of an instance", () => {
  it("do not grow silent while the process stands still, but afterwards", () => {
    const clock = new ManualClock(0);
    const links = new LinkTable("n0", clock);
    const stream = { send: () => undefined, isWritable: () => true, close: () => undefined };
    const link = links.add(stream, "n1", clock.now());
    const identity = { instance: "n1", incarnation: "n1/1", address: "n1" };
    links.identify(link, { ...identity, dataCentre: "dc0", generation: 1 });
    const check = (ms: number) => {
      clock.advance(ms);
      links.check(clock.now());
      return links.listOpen().length;
    };
    assert.equal(check(0), 1);
    assert.equal(check(60_000), 1);
    for (let step = 0; step < 4; step += 1) assert.equal(check(250), 1);
    for (let step = 0; step < 3; step += 1) check(250);
    assert.equal(links.listOpen().length, 0);
    assert.deepEqual(links.takeLost(clock.now()), ["n1"]);
  });
});

describe("the records of a fleet", () => {
  const record = fc.record({
    instance: fc.constantFrom("n1", "n2"),
    generation: fc.integer({ min: 1, max: 3 }),
    kind: fc.integer({ min: 1, max: 3 }),
    version: fc.integer({ min: 1, max: 4 }),
  });
  const merge = (records: readonly OwnedRecord[]) => {
    const table = new RecordTable();
    for (const one of records) table.merge(one, 0);
    return table
      .listAll()
      .map(({ instance, generation, kind, version }) =>
        [instance, generation, kind, version].join(" "),
      )
      .sort();
  };
  const complete = (one: {
    instance: string;
    generation: number;
    kind: number;
    version: number;
  }) => ({
    ...one,
    incarnation: `${one.instance}/${one.generation}`,
    content: Buffer.from(`${one.version}`),
    writtenAt: 0,
  });

  it("are the same in whatever order and however often they arrive", () => {
    fc.assert(
      fc.property(fc.array(record, { maxLength: 30 }), fc.integer(), (list, seed) => {
        const records = list.map(complete);
        const shuffled = fc.sample(fc.shuffledSubarray(records, { minLength: records.length }), {
          numRuns: 1,
          seed,
        })[0];
        assert.deepEqual(merge([...(shuffled ?? []), ...records]), merge(records));
      }),
    );
  });

  it("are only those of the newest process of each instance, in their newest versions", () => {
    fc.assert(
      fc.property(fc.array(record, { maxLength: 30 }), (list) => {
        const newest = new Map<string, number>();
        for (const { instance, generation } of list) {
          newest.set(instance, Math.max(generation, newest.get(instance) ?? 0));
        }
        for (const kept of merge(list.map(complete))) {
          const [instance = "", generation] = kept.split(" ");
          assert.equal(Number(generation), newest.get(instance));
        }
      }),
    );
  });

  it("are written anew only when their content changes, and after an earlier process that was ahead", () => {
    const self = { instance: "n1", incarnation: "n1/2", address: "n1", dataCentre: "dc0" };
    const own = new OwnRecords(self, 5);
    const write = (signature: string) =>
      own.update({ kind: 3, signature, encode: () => Buffer.from(signature) }, 0)?.version;
    assert.equal(write(""), undefined, "nothing to tell");
    assert.deepEqual([write("a"), write("a"), write("b"), write("")], [1, undefined, 2, 3]);
    assert.deepEqual(own.advance(4), [], "that of an earlier process");
    assert.deepEqual(
      own.advance(9).map(({ generation, version }) => [generation, version]),
      [[10, 4]],
    );
  });

  it("are bounded in number and size, and removed once their owner is not heard for long", () => {
    const table = new RecordTable();
    for (let index = 0; index < 5000; index += 1) {
      table.merge(complete({ instance: `n${index}`, generation: 1, kind: 1, version: 1 }), 0);
    }
    const large = { ...complete({ instance: "n1", generation: 1, kind: 2, version: 1 }) };
    assert.equal(table.merge({ ...large, content: Buffer.alloc(1_000_000) }, 0), false);
    assert.ok(table.ownerCount <= 2048);
    table.prune((name) => name === "n1", 100_000);
    table.prune((name) => name === "n1", 200_000);
    assert.equal(table.ownerCount, 1);
  });
});
