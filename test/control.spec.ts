/**
 * The control stream of configuration and duties: all readers reach the same state, and no version reverts. Guards
 * against diverging readers when writers race, records are repeated, or older records have been trimmed.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { ControlFold, type LogRecord } from "../src/core/config/controlfold";
import { Duty, findAssignment } from "../src/core/duties";

type LogEntry =
  | {
      readonly kind: "config";
      readonly behind: number;
      readonly name: string;
      readonly isRepeat: boolean;
    }
  | { readonly kind: "duty"; readonly behind: number; readonly by: string }
  | { readonly kind: "snapshot"; readonly behind: number };

const behind = fc.oneof(
  { weight: 4, arbitrary: fc.constant(0) },
  { weight: 1, arbitrary: fc.integer({ min: 0, max: 3 }) },
);
const name = fc.constantFrom("near", "far", "large");
const logEntry: fc.Arbitrary<LogEntry> = fc.oneof(
  fc.record({ kind: fc.constant("config" as const), behind, name, isRepeat: fc.boolean() }),
  fc.record({ kind: fc.constant("duty" as const), behind, by: fc.constantFrom("a-1/1", "a-2/1") }),
  fc.record({ kind: fc.constant("snapshot" as const), behind: fc.integer({ min: 0, max: 6 }) }),
);

/** Creates a log whose writers have read only up to `behind` records before its end. */
function writeLog(entries: readonly LogEntry[]): readonly LogRecord[] {
  const records: LogRecord[] = [];
  const states = [new ControlFold()];
  for (const [offset, item] of entries.entries()) {
    const seen = states[Math.max(0, states.length - 1 - item.behind)] ?? new ControlFold();
    const last = records.at(-1)?.record;
    const isRepeat = item.kind === "config" && item.isRepeat && last !== undefined;
    const record = isRepeat ? last : createRecord(item, seen, offset);
    records.push({ offset, record });
    const fold = new ControlFold();
    for (const logRecord of records) fold.fold(logRecord);
    states.push(fold);
  }
  return records;
}

function createRecord(item: LogEntry, seen: ControlFold, offset: number): unknown {
  if (item.kind === "snapshot") return seen.createSnapshot(`s${offset}`);
  if (item.kind === "config") {
    const value = { version: [String(offset)] };
    return {
      id: `c${offset}`,
      basedOn: seen.state.version,
      changes: [{ kind: "selectors", name: item.name, value }],
    };
  }
  const present = findAssignment(seen.duties, Duty.holder, "a");
  return {
    id: `d${offset}`,
    duty: "holder",
    dataCentre: "a",
    incarnation: item.by,
    basedOn: present?.offset ?? -1,
  };
}

function readAll(records: readonly LogRecord[], from: number): ControlFold {
  const fold = new ControlFold();
  fold.skipTo(from);
  for (const logRecord of records.slice(from)) fold.fold(logRecord);
  return fold;
}

describe("the control stream", () => {
  it("brings a reader that starts late and finds a snapshot to the state of one that read all records", () => {
    let compared = 0;
    fc.assert(
      fc.property(
        fc.array(logEntry, { minLength: 1, maxLength: 40 }),
        fc.nat(20),
        (entries, from) => {
          const records = writeLog(entries);
          const complete = readAll(records, 0);
          const partial = readAll(records, Math.min(from, records.length));
          if (partial.isIncomplete) return;
          compared += 1;
          assert.deepEqual(partial.state, { ...complete.state, lastId: partial.state.lastId });
          assert.deepEqual([...partial.duties], [...complete.duties]);
        },
      ),
      { numRuns: 2000 },
    );
    assert.ok(compared > 200);
  });

  it("never reverts: versions rise with the offset, also for a reader that gets pages that overlap", () => {
    fc.assert(
      fc.property(fc.array(logEntry, { maxLength: 30 }), fc.array(fc.nat(30)), (entries, cuts) => {
        const records = writeLog(entries);
        const fold = new ControlFold();
        let version = -1;
        for (const cut of [...cuts.sort((a, b) => a - b), records.length]) {
          for (const logRecord of records.slice(Math.max(0, cut - 5), cut)) {
            if (logRecord.offset > fold.next) continue;
            fold.fold(logRecord);
            assert.ok(fold.state.version >= version);
            version = fold.state.version;
          }
        }
      }),
    );
  });

  it("accepts the first of two racing operators", () => {
    const put = (id: string, value: string) => ({
      id,
      basedOn: -1,
      changes: [{ kind: "selectors", name: "s", value: { v: [value] } }],
    });
    const records = [put("x", "1"), put("y", "2")].map((record, offset) => ({ offset, record }));
    const { configuration, lastId } = readAll(records, 0).state;
    assert.deepEqual([configuration.selectors.s, lastId], [{ v: ["1"] }, "x"]);
  });

  it("ignores a record with an invalid value", () => {
    const record = {
      id: "x",
      basedOn: -1,
      changes: [{ kind: "workspaces", name: "w", value: { rate: -1 } }],
    };
    assert.equal(readAll([{ offset: 0, record }], 0).state.version, -1);
  });
});
