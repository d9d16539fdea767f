/**
 * What is known of evacuations, from the store and from peers. Guards against an evacuation that is forgotten before it
 * is withdrawn, above all when the store is restored from a copy that lacks it, and against one that outlives its
 * withdrawal.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { type EvacuationRecord, Evacuations } from "../src/fleet/evacuations";
import { decodeEvacuation, encodeEvacuation } from "../src/fleet/evacuationwire";
import type { FeedRecord } from "../src/fleet/store";

const record = (era: number, offset: number, isEvacuated: boolean, zone = "izki"): FeedRecord => ({
  key: `evacuate/${zone}`,
  value: isEvacuated ? Buffer.from("{}") : undefined,
  position: { era, offset },
});

const page = (era: number, end: number, ...records: readonly FeedRecord[]) => ({
  records,
  next: { era, offset: end },
});

function createEvacuated(...records: readonly FeedRecord[]): Evacuations {
  const evacuations = new Evacuations();
  evacuations.apply(page(0, 100, ...records), false);
  return evacuations;
}

describe("evacuations", () => {
  it("are in force from their record until the record of their withdrawal, two at once too", () => {
    const evacuations = createEvacuated(record(0, 3, true), record(0, 4, true, "bahla"));
    assert.deepEqual(evacuations.listEvacuated(), ["izki", "bahla"]);
    evacuations.apply(page(0, 6, record(0, 5, false)), false);
    assert.deepEqual(evacuations.listEvacuated(), ["bahla"]);
    evacuations.apply(page(0, 7, record(0, 6, true)), false);
    assert.ok(evacuations.isEvacuated("izki"));
  });

  it("ignore other keys, and one without a data centre", () => {
    const value = Buffer.from("{}");
    const position = { era: 0, offset: 1 };
    const evacuations = createEvacuated(
      { key: "config", value, position },
      { key: "evacuate/", value, position },
    );
    assert.deepEqual(evacuations.list(), []);
  });

  it("end with a snapshot of the same era in which the key is missing or dropped", () => {
    for (const records of [[], [record(0, 9, false)]]) {
      const evacuations = createEvacuated(record(0, 3, true));
      evacuations.apply(page(0, 10, ...records), true);
      assert.ok(!evacuations.isEvacuated("izki"));
    }
  });

  it("stay if a snapshot is older than their record", () => {
    const evacuations = createEvacuated(record(0, 30, true));
    evacuations.apply(page(0, 10), true);
    assert.ok(evacuations.isEvacuated("izki"));
  });

  it("stay if the store was restored from a copy without their record", () => {
    for (const records of [[], [record(1, 5, false)]]) {
      const evacuations = createEvacuated(record(0, 9, true));
      evacuations.apply(page(1, 8, ...records), true);
      assert.ok(evacuations.isEvacuated("izki"));
    }
  });

  it("are withdrawn after a restore by a record that follows, or that the copy cannot hold", () => {
    const following = createEvacuated(record(0, 9, true));
    following.apply(page(1, 8), true);
    following.apply(page(1, 9, record(1, 8, false)), false);
    assert.ok(!following.isEvacuated("izki"));
    const later = createEvacuated(record(0, 9, true));
    later.apply(page(1, 20, record(1, 12, false)), true);
    assert.ok(!later.isEvacuated("izki"));
  });

  it("are the same wherever the records arrive, in any order and any number of times", () => {
    const anyRecord = fc.record({
      dataCentre: fc.constantFrom("a", "b"),
      position: fc.record({ era: fc.nat(2), offset: fc.nat(20) }, { noNullPrototype: true }),
    });
    const history = fc
      .uniqueArray(anyRecord, {
        selector: ({ dataCentre, position: { era, offset } }) => `${dataCentre} ${era} ${offset}`,
      })
      .map((list) =>
        list.map((each, index): EvacuationRecord => ({ ...each, isEvacuated: index % 2 === 0 })),
      );
    const orders = history.chain((list) =>
      fc.tuple(
        fc.constant(list),
        fc.shuffledSubarray([...list, ...list], { minLength: 2 * list.length }),
      ),
    );
    fc.assert(
      fc.property(orders, ([list, shuffled]) => {
        const first = new Evacuations();
        first.merge(list);
        const second = new Evacuations();
        for (const each of shuffled) second.merge([decodeEvacuation(encodeEvacuation(each))]);
        const sort = (each: Evacuations) => [...each.listEvacuated()].sort();
        assert.deepEqual(sort(second), sort(first));
      }),
    );
  });
});
