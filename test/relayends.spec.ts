/**
 * Streams over neighbours that end in each way while the engine is silent, at real processes. Guards against streams that end
 * as complete though nobody asserted their end, and against sound ones that a graceful stop cuts.
 */
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { pause } from "../src/core/clock";
import { CutMode } from "./harness/cutproxy";
import { Framing, listPlays, Outcome, type Play, RelayFleet, RELAYS } from "./harness/relayplay";
import { CallKind } from "./soak/history";

/** The relays stop waiting 700 ms before it is over. */
const GRACE_MS = 6000;
const STREAMS = listPlays([CallKind.draft, CallKind.summary]);

let relays: RelayFleet;

before(async () => {
  relays = await RelayFleet.start(GRACE_MS);
});

after(() => relays.close());

/** Names the plays that had an outcome. */
function listOf(outcomes: Map<Play, Outcome>, wanted: Outcome): readonly string[] {
  return [...outcomes]
    .filter(([, outcome]) => outcome === wanted)
    .map(([{ kind, framing, place }]) => `${kind} ${framing} ${place}`);
}

/** Plays answers while something happens to relays, which serve again after it. */
async function playAll(
  plays: readonly Play[],
  names: readonly string[],
  act: (names: readonly string[]) => Promise<void>,
) {
  const countEnds = () => names.map((name) => relays.countTunnelEnds(name));
  const before = countEnds();
  const outcomes = await relays.play(plays, () => act(names));
  const after = countEnds();
  await Promise.all(names.map(restart));
  await pause(2000);
  const cut = listOf(outcomes, Outcome.cut);
  // Else none was over the relay, and the play says nothing.
  const isOver = after.every((count, index) => count > (before[index] ?? 0));
  assert.ok(cut.length > 0 || isOver, "no answer came over the relay");
  return { early: listOf(outcomes, Outcome.early), cut };
}

const restart = async (name: string) => {
  await relays.find(name).kill();
  await relays.find(name).start();
};

/** Tells one relay to stop, and then the other; returns before the grace of the first is over. */
async function stopBoth([first = "", second = ""]: readonly string[]): Promise<void> {
  void relays.find(first).terminate();
  await pause(700);
  void relays.find(second).terminate();
  await pause(3000);
}

describe("a stream over neighbours of which one ends while the engine is silent", () => {
  /** What happens to a relay, and whether its stop is graceful and the streams shorter than its grace. */
  const acts: Record<string, { isGraceful: boolean; act: (relay: string) => Promise<void> }> = {
    "is killed": {
      isGraceful: false,
      act: async (relay) => {
        await relays.find(relay).kill();
        await pause(1500);
      },
    },
    "stands still beyond the keep-alive": {
      isGraceful: false,
      act: async (relay) => {
        relays.find(relay).signal("SIGSTOP");
        await pause(4500);
        relays.find(relay).signal("SIGCONT");
        await pause(300);
      },
    },
    "is told to stop, stands still amid its grace, and goes on": {
      isGraceful: true,
      act: async (relay) => {
        void relays.find(relay).terminate();
        await pause(300);
        relays.find(relay).signal("SIGSTOP");
        await pause(900);
        relays.find(relay).signal("SIGCONT");
        await pause(2500);
      },
    },
    "is told to stop, and stands still until behind its grace": {
      isGraceful: false,
      act: async (relay) => {
        void relays.find(relay).terminate();
        await pause(300);
        relays.find(relay).signal("SIGSTOP");
        await pause(GRACE_MS + 500);
        relays.find(relay).signal("SIGCONT");
        await pause(300);
      },
    },
    "is told to stop, and its grace is over": {
      isGraceful: false,
      act: async (relay) => {
        await relays.find(relay).terminate();
        await pause(300);
      },
    },
    "is cut off itself, by resets": {
      isGraceful: false,
      act: async (relay) => {
        await relays.fleet.ways.cut([relay], CutMode.reset);
        await pause(500);
        await relays.fleet.ways.heal([relay], CutMode.reset);
      },
    },
  };

  Object.entries(acts).forEach(([name, { isGraceful, act }], index) => {
    it(`never ends as complete early: the neighbour ${name}`, async () => {
      const relay = RELAYS[index % RELAYS.length] ?? assert.fail();
      const { early, cut } = await playAll(STREAMS, [relay], () => act(relay));
      assert.deepEqual([early, isGraceful ? cut : []], [[], []], `${cut.length} cut`);
    });
  });

  const framings = {
    "framed by a length or chunks": (framing: Framing) => framing !== Framing.none,
    "not framed": (framing: Framing) => framing === Framing.none,
  };
  for (const [name, isPlayed] of Object.entries(framings)) {
    it(`is whole where both neighbours are told to stop, one after the other: one ${name}`, async () => {
      const streams = STREAMS.filter(({ framing }) => isPlayed(framing));
      const { early, cut } = await playAll(streams, RELAYS, stopBoth);
      assert.deepEqual([early, cut], [[], []]);
    });
  }
});

describe("a plain answer over a neighbour that is told to stop", () => {
  [700, 2000].forEach((silentMs, index) => {
    it(`is whole after a silence of ${silentMs} ms before its head, behind it, or within its body`, async () => {
      const relay = RELAYS[index % RELAYS.length] ?? assert.fail();
      const plays = listPlays([CallKind.any]);
      const { early, cut } = await playAll(plays, [relay], async () => {
        void relays.find(relay).terminate();
        await pause(silentMs);
      });
      assert.deepEqual([early, cut], [[], []]);
    });
  });
});
