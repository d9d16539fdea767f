/**
 * What the history of the endpoint feed proves. Guards against a version that is taken for the only one though another
 * was in service, and against histories that prove less than they could.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import type { EndpointEntry } from "../src/fleet/entries";
import { type HistoryProof, HistoryScan } from "../src/fleet/historyproof";
import type { FeedRecord } from "../src/fleet/store";
import { VersionHistory } from "../src/fleet/versionhistory";
import { createEntry, testCodecs } from "./harness/forward";

const FOR_MS = 16_000;
const KEPT_MS = 20_000;
const INTERVAL_MS = 1200;
/** When the history is read. */
const NOW = 60_000;

/** A process of an engine; it writes entries from its start to its end, but for a time in which it is frozen. */
interface SimulatedProcess {
  readonly id: string;
  readonly version: string;
  readonly startsAt: number;
  /** Its entry is removed then. */
  readonly endsAt: number;
  readonly frozenAt?: number;
  readonly frozenMs?: number;
  /** When it writes one more entry at once, as its slots have changed. */
  readonly changesAt?: number;
}

interface WrittenRecord {
  readonly at: number;
  readonly key: string;
  readonly entry: EndpointEntry | undefined;
}

function writeEntries(process: SimulatedProcess): readonly WrittenRecord[] {
  const { id, version, startsAt, endsAt, frozenAt = 0, frozenMs = 0, changesAt } = process;
  const records: WrittenRecord[] = [];
  const base = createEntry(id, "a:1", { version, processStartedAt: startsAt });
  let slots = base.slots;
  const write = (at: number) => {
    const entry = { ...base, slots, sequence: records.length + 1 };
    records.push({ at, key: id, entry });
  };
  for (let at = startsAt; at < endsAt; at += INTERVAL_MS) {
    if (frozenMs > 0 && at >= frozenAt && at < frozenAt + frozenMs) at = frozenAt + frozenMs;
    if (at >= Math.min(endsAt, NOW)) break;
    write(at);
    const isChanged = changesAt !== undefined && changesAt >= at && changesAt < at + INTERVAL_MS;
    if (isChanged && changesAt < endsAt) {
      slots += 1;
      write(changesAt);
    }
  }
  return endsAt < NOW ? [...records, { at: endsAt, key: id, entry: undefined }] : records;
}

function prove(records: readonly FeedRecord[]): HistoryProof {
  const scan = new HistoryScan(testCodecs.decodeEndpoint);
  for (const record of records) scan.add(record);
  return scan.prove();
}

/** Writes the entries of all processes, of which the store keeps some. */
function write(
  processes: readonly SimulatedProcess[],
  isKept = (at: number) => at >= NOW - KEPT_MS,
): readonly FeedRecord[] {
  return processes
    .flatMap(writeEntries)
    .filter(({ at }) => at <= NOW && isKept(at))
    .sort((a, b) => a.at - b.at)
    .map(({ key, entry }, offset) => ({
      key,
      value: entry && Buffer.from(JSON.stringify(entry)),
      position: { era: 0, offset },
    }));
}

function findOnly(records: readonly FeedRecord[]): string | undefined {
  const history = new VersionHistory();
  history.recordProof(prove(records), NOW);
  return history.findOnly("sheets", FOR_MS, NOW);
}

const old = (id: string, startsAt: number, endsAt = Infinity) => ({
  id,
  version: "v1",
  startsAt,
  endsAt,
});
const FLEET = [old("d1", 100), old("d2", 400), old("d3", 900)];

describe("the history of the endpoint feed", () => {
  it("proves the only version over its 20 s", () => {
    assert.equal(findOnly(write(FLEET)), "v1");
    assert.equal(findOnly(write([old("d1", 100)])), "v1", "with one endpoint");
    assert.equal(findOnly(write([...FLEET, old("d4", NOW - 9000)])), "v1", "with a new one");
    assert.equal(findOnly(write([...FLEET, old("d4", 700, NOW - 9000)])), "v1", "one removed");
  });

  it("proves none if another version was there, however shortly", () => {
    for (const endsAt of [NOW - 14_000, NOW - 3000, Infinity]) {
      const other = { ...old("e1", NOW - 14_200, endsAt), version: "v2" };
      assert.equal(findOnly(write([...FLEET, other])), undefined);
    }
  });

  it("proves none if an endpoint was removed of which it has no entry", () => {
    const gone = { key: "e1", value: undefined, position: { era: 0, offset: 0 } };
    const records = write(FLEET);
    assert.equal(findOnly([gone, ...records]), "v1", "before the time in question");
    assert.equal(findOnly([...records.slice(0, 20), gone, ...records.slice(20)]), undefined);
  });

  it("proves only what it kept", () => {
    assert.equal(prove([]).coveredMs, 0);
    const { coveredMs } = prove(write(FLEET, (at) => at >= NOW - 8000));
    assert.ok(coveredMs > 5000 && coveredMs <= 8000, `${coveredMs} ms`);
    assert.equal(findOnly(write(FLEET, (at) => at >= NOW - 8000)), undefined);
  });

  it("proves nothing from before records that are missing, as after a restore", () => {
    const records = write(
      FLEET,
      (at) => at >= NOW - KEPT_MS && (at < NOW - 9000 || at > NOW - 7000),
    );
    const { coveredMs } = prove(records);
    assert.ok(coveredMs > 4000 && coveredMs <= 7000, `${coveredMs} ms`);
  });

  it("proves nothing from before an entry that can't be read", () => {
    const garbage = { key: "e1", value: Buffer.from("{"), position: { era: 0, offset: 0 } };
    const records = write(FLEET);
    assert.equal(findOnly([...records.slice(0, 30), garbage, ...records.slice(30)]), undefined);
  });

  it("does not count entries that were written for a change", () => {
    const noisy = Array.from({ length: 30 }, (_, sequence) =>
      createEntry("d1", "a:1", { slots: sequence, sequence: sequence + 5 }),
    );
    const records = noisy.map((entry, offset) => ({
      key: "d1",
      value: Buffer.from(JSON.stringify(entry)),
      position: { era: 0, offset },
    }));
    assert.equal(prove(records).coveredMs, 0);
  });

  it("never proves an only version where there was another one", () => {
    const process = fc.record({
      id: fc.constantFrom("d1", "d2", "d3", "d4", "d5", "d6"),
      version: fc.constantFrom("v1", "v1", "v1", "v2"),
      startsAt: fc.integer({ min: 0, max: NOW }),
      livesMs: fc.oneof(fc.integer({ min: 100, max: 30_000 }), fc.constant(Infinity)),
      frozenAt: fc.integer({ min: 30_000, max: NOW }),
      frozenMs: fc.constantFrom(0, 0, 0, 2000, 9000),
      changesAt: fc.integer({ min: 30_000, max: NOW }),
    });
    const loss = fc.record({
      from: fc.integer({ min: NOW - KEPT_MS, max: NOW }),
      ms: fc.constantFrom(0, 0, 500, 1500, 4000),
      keptMs: fc.constantFrom(KEPT_MS, KEPT_MS, 17_000, 10_000),
    });
    let provenCount = 0;
    fc.assert(
      fc.property(fc.array(process, { maxLength: 12 }), loss, (drawn, { from, ms, keptMs }) => {
        const processes = [...FLEET.slice(0, 2), ...dropOverlaps(drawn)];
        const records = write(
          processes,
          (at) => at >= NOW - keptMs && (at < from || at > from + ms),
        );
        const only = findOnly(records);
        if (only === undefined) return;
        provenCount += 1;
        const listed = processes.filter((listable) => {
          const [first] = writeEntries(listable);
          return first?.entry !== undefined && listable.endsAt >= NOW - FOR_MS;
        });
        // What was listed within the lost records only may stay unknown, if it left within 1,200 ms.
        const isLost = (p: SimulatedProcess) =>
          p.startsAt >= from && p.endsAt <= from + ms && p.endsAt - p.startsAt < INTERVAL_MS;
        for (const known of listed) if (!isLost(known)) assert.equal(known.version, only);
      }),
      { numRuns: 2000, seed: 20_261_205 },
    );
    assert.ok(provenCount > 100, `${provenCount} proven`);
  });
});

/** Leaves one process of an id at a time, after those that are there from the beginning. */
function dropOverlaps(
  drawn: readonly (Omit<SimulatedProcess, "endsAt"> & { readonly livesMs: number })[],
): readonly SimulatedProcess[] {
  const kept: SimulatedProcess[] = [];
  for (const { livesMs, ...process } of drawn) {
    const endsAt = process.startsAt + livesMs;
    const isFree = kept.every(
      (other) =>
        other.id !== process.id || other.endsAt < process.startsAt || endsAt < other.startsAt,
    );
    if (isFree && process.id !== "d1" && process.id !== "d2") kept.push({ ...process, endsAt });
  }
  return kept;
}
