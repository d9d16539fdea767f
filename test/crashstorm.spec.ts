/**
 * Storms of crashes over fleets of 8 instances in virtual time, each seed of its own. Guards against a poisoned part that
 * reaches engines long after it was known, and against refusing sound requests that share other parts with it.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CrashFleet } from "./harness/crashfleet";

const INSTANCES = 8;
const ENGINES = 24;
const SOUND_PER_SECOND = 20;
const POISONED_PER_SECOND = 1.5;
const WARM_UP_MS = 2000;
const STORM_MS = 8000;
const GROUPS = 30;
/** Crashes until the part must be known; times after the last of them, in milliseconds. */
const CRASHES = 5;
const STOPPED_MS = 3000;
const SERVED_MS = 6000;
const MAX_LATE_SENDS = 3;

const isPoison = (part: string) => part.startsWith("bad");

interface Storm {
  readonly seed: number;
  readonly warmUpMs?: number;
  readonly drawPoisoned?: (fleet: CrashFleet) => readonly string[];
  readonly disturb?: (fleet: CrashFleet) => void;
}

function drawGroup(fleet: CrashFleet): string {
  return `g${Math.floor(fleet.draw() ** 2 * GROUPS)}`;
}

async function runStorm({ seed, warmUpMs = WARM_UP_MS, ...more }: Storm): Promise<CrashFleet> {
  const fleet = new CrashFleet(INSTANCES, ENGINES, seed, isPoison);
  const { drawPoisoned = () => ["a0", drawGroup(fleet), "bad"], disturb } = more;
  fleet.startTraffic(SOUND_PER_SECOND, warmUpMs + STORM_MS + 2000, () => ["a0", drawGroup(fleet)]);
  await fleet.events.runUntil(fleet.now + warmUpMs);
  fleet.startTraffic(POISONED_PER_SECOND, STORM_MS, () => drawPoisoned(fleet));
  disturb?.(fleet);
  await fleet.events.runUntil(fleet.now + STORM_MS + 3000);
  return fleet;
}

/** Checks, for each poisoned part, how many engines it crashed and that it is not sent after the fifth. */
function assertStopped(fleet: CrashFleet, seed: number, maxCrashes: number): void {
  const parts = new Set(fleet.list("crash", true).map(({ part }) => part));
  for (const poison of parts) {
    const listOfPart = (kind: "crash" | "send") =>
      fleet.list(kind, true).filter(({ part }) => part === poison);
    const crashes = listOfPart("crash");
    assert.ok(crashes.length <= maxCrashes, `seed ${seed}: ${crashes.length} crashes`);
    const fifthAt = crashes[CRASHES - 1]?.at ?? Infinity;
    const late = listOfPart("send").filter(({ at }) => at > fifthAt + STOPPED_MS);
    assert.equal(late.length, 0, `seed ${seed}: sends after the part must be known`);
  }
}

function assertServed(fleet: CrashFleet, seed: number): void {
  const banned = fleet.list("banned", false).map(({ part }) => part);
  assert.deepEqual(banned, [], `seed ${seed}: sound parts are banned`);
  const fifthAt = fleet.list("crash")[CRASHES - 1]?.at ?? Infinity;
  const refused = fleet.list("refused", false).filter(({ at }) => at > fifthAt + SERVED_MS);
  assert.equal(refused.length, 0, `seed ${seed}: sound requests are refused`);
}

function listSeeds(count: number): readonly number[] {
  return Array.from({ length: count }, (_, index) => index + 1);
}

describe("a storm of crashes", () => {
  it("ends after eight crashes at most, and sound requests of the same first part are served", async (t) => {
    const crashes: number[] = [];
    for (const seed of listSeeds(50)) {
      const fleet = await runStorm({ seed });
      assertStopped(fleet, seed, 8);
      assertServed(fleet, seed);
      crashes.push(fleet.list("crash").length);
    }
    t.diagnostic(`crashes of each seed: ${crashes.join(" ")}`);
  });

  it("ends where nothing had completed before it began", async () => {
    for (const seed of listSeeds(8)) {
      const fleet = await runStorm({ seed, warmUpMs: 0 });
      assertStopped(fleet, seed, 12);
      assertServed(fleet, seed);
    }
  });

  it("ends where two parts are poisoned", async () => {
    for (const seed of listSeeds(8)) {
      const drawPoisoned = (fleet: CrashFleet) => {
        const part = fleet.draw() < 0.5 ? "bad1" : "bad2";
        return ["a0", drawGroup(fleet), part];
      };
      const fleet = await runStorm({ seed, drawPoisoned });
      assertStopped(fleet, seed, 10);
      assertServed(fleet, seed);
    }
  });

  it("ends where all engines lose power in the middle of it, and bans no sound part", async () => {
    for (const seed of listSeeds(8)) {
      const disturb = (fleet: CrashFleet) => {
        fleet.events.schedule(1500, () => {
          fleet.stopEngines(ENGINES);
        });
      };
      const fleet = await runStorm({ seed, disturb });
      assertStopped(fleet, seed, 12);
      assertServed(fleet, seed);
    }
  });

  const allTwice = [1500, 5500].map((at) => ({ at, engines: ENGINES }));
  const oneByOne = [500, 1400, 2300, 3200, 4100, 5000, 5900, 6800].map((at) => ({
    at,
    engines: 1,
  }));
  const losses = [
    { name: "all at once, twice", stops: allTwice },
    { name: "one by one", stops: oneByOne },
    { name: "one by one, and all at once, twice", stops: [...oneByOne, ...allTwice] },
  ];
  for (const { name, stops } of losses) {
    it(`bans nothing where engines only lose power, ${name}`, async () => {
      for (const seed of listSeeds(8)) {
        const disturb = (fleet: CrashFleet) => {
          for (const { at, engines } of stops) {
            fleet.events.schedule(at, () => {
              fleet.stopEngines(engines);
            });
          }
        };
        const drawPoisoned = (fleet: CrashFleet) => ["a0", drawGroup(fleet)];
        const fleet = await runStorm({ seed, drawPoisoned, disturb });
        assert.deepEqual(fleet.list("banned"), [], `seed ${seed}`);
      }
    });
  }

  it("ends within three sends where eight instances meet the part within 100 ms", async () => {
    for (const seed of listSeeds(8)) {
      const disturb = (fleet: CrashFleet) => {
        for (let index = 0; index < INSTANCES; index += 1) {
          fleet.events.schedule(fleet.draw() * 100, () => {
            fleet.request(index, ["a0", drawGroup(fleet), "bad"]);
          });
        }
      };
      const fleet = await runStorm({ seed, disturb });
      const crashes = fleet.list("crash", true);
      const fifthAt = crashes[CRASHES - 1]?.at ?? assert.fail();
      const late = fleet.list("send", true).filter(({ at }) => at > fifthAt + STOPPED_MS);
      assert.ok(late.length <= MAX_LATE_SENDS, `seed ${seed}: ${late.length} sends`);
      assertServed(fleet, seed);
    }
  });
});
