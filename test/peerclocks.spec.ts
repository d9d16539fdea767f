/**
 * How old the copies of peers are, by heartbeats that take long. Guards against a copy that seems fresher the longer
 * the heartbeat about it was on its way, so that no instance reads the store in time.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { ManualClock, type Moment, pause } from "../src/core/clock";
import { SILENT_LOGGER } from "../src/core/log";
import { Freshness } from "../src/fleet/freshness";
import {
  type FleetTransport,
  HeartbeatExchanger,
  type HeartbeatHost,
} from "../src/fleet/heartbeat";
import type { MemberIdentity, MemberList } from "../src/fleet/members";
import { PeerClocks } from "../src/fleet/peerclocks";
import { Beat } from "../src/peer/gen/fleet";

/** Where the clock of the peer stands when that of the instance is at 0. */
const PEER_START_MS = 70_000;

describe("a heartbeat that was long on its way", () => {
  const createBeat = (sentAtMs: number | undefined, incarnation = "p1/1") =>
    Beat.fromPartial({ instance: "p1", incarnation, address: "p1", sentAtMs });

  /** Starts an instance that asks a peer at 1000, which replies at once, by its clock. */
  const startExchanged = async () => {
    const clock = new ManualClock(1000);
    const sentAts: (Moment | undefined)[] = [];
    const transport = {
      exchange: () => Promise.resolve(createBeat(PEER_START_MS + 1020)),
    } as unknown as FleetTransport;
    const host = {
      createBeatContent: () => ({}),
      handleBeat: (_beat: Beat, _now: Moment, sentAt: Moment | undefined) => sentAts.push(sentAt),
      shouldFetch: () => false,
    } as unknown as HeartbeatHost;
    const members = { listAddresses: () => ["p1"], recordBeat: () => false };
    const exchanger = new HeartbeatExchanger(
      { instance: "n0" } as MemberIdentity,
      members as unknown as MemberList,
      transport,
      host,
      clock,
      SILENT_LOGGER,
    );
    exchanger.sendHeartbeats();
    await pause(5);
    return { exchanger, clock, sentAts };
  };

  it("counts from when its sender sent it at the earliest", async () => {
    const { exchanger, clock, sentAts } = await startExchanged();
    clock.advance(4000);
    exchanger.onBeat(createBeat(PEER_START_MS + 1500));
    exchanger.close();
    assert.deepEqual(sentAts, [1000, 1480]);
  });

  it("counts for nothing if the clock of its sender is not known", async () => {
    const { exchanger, clock, sentAts } = await startExchanged();
    clock.advance(4000);
    exchanger.onBeat(createBeat(20, "p1/2"));
    exchanger.onBeat(createBeat(undefined));
    exchanger.close();
    assert.deepEqual(sentAts, [1000, undefined, undefined]);
  });

  it("counts for nothing if the time of sending cannot be true, nor do those of the clock", async () => {
    for (const odd of [NaN, Infinity, -Infinity, 1e300, -1e300]) {
      const { exchanger, sentAts } = await startExchanged();
      exchanger.onBeat(createBeat(odd));
      exchanger.close();
      assert.deepEqual(sentAts, [1000, undefined]);
      const clocks = new PeerClocks();
      clocks.recordReply(createBeat(odd), 1000);
      assert.equal(clocks.estimateSentAt(createBeat(20), 1000), undefined);
    }
  });

  it("does not come from the future if this process's clock stood still", async () => {
    const { exchanger, clock, sentAts } = await startExchanged();
    clock.advance(10);
    exchanger.onBeat(createBeat(PEER_START_MS + 9000));
    exchanger.close();
    assert.deepEqual(sentAts, [1000, 1010]);
  });
});

describe("the age of a copy that only one instance confirmed", () => {
  const NODES = 4;
  const delay = fc.integer({ min: 0, max: 3000 });
  const node = fc.integer({ min: 0, max: NODES - 1 });
  const exchange = fc.record({
    from: node,
    to: node,
    at: fc.integer({ min: 0, max: 10_000 }),
    outMs: delay,
    backMs: delay,
  });

  it("never seems less than it is, however heartbeats pass it on", () => {
    fc.assert(
      fc.property(fc.array(exchange, { maxLength: 80 }), (exchanges) => {
        const nodes = Array.from({ length: NODES }, (_, index) => ({
          name: `n${index}`,
          startedAt: index * 1000,
          freshness: new Freshness(),
          clocks: new PeerClocks(),
        }));
        type Node = (typeof nodes)[number];
        const readClock = ({ startedAt }: Node, at: number) => at + startedAt;
        const createBeat = (sender: Node, at: number) => ({
          reading: { instance: sender.name, incarnation: "1", sentAtMs: readClock(sender, at) },
          ageMs: sender.freshness.computeAgeMs(readClock(sender, at)),
        });
        type Told = ReturnType<typeof createBeat>;
        const apply = (receiver: Node, { ageMs }: Told, sentAt: Moment | undefined, at: number) => {
          if (sentAt !== undefined) receiver.freshness.confirm(sentAt - ageMs);
          assert.ok(receiver.freshness.computeAgeMs(readClock(receiver, at)) >= at);
        };
        nodes[0]?.freshness.confirm(0);
        const steps: { readonly at: number; readonly run: () => void }[] = [];
        for (const { from, to, at, outMs, backMs } of exchanges) {
          const [sender, receiver] = [nodes[from], nodes[to]];
          if (sender === undefined || receiver === undefined || from === to) continue;
          const told: Told[] = [];
          steps.push({ at, run: () => told.push(createBeat(sender, at)) });
          const arrivesAt = at + outMs;
          const receive = () => {
            const [beat] = told.splice(0);
            assert.ok(beat);
            const now = readClock(receiver, arrivesAt);
            const sentAt = receiver.clocks.estimateSentAt(beat.reading, now);
            apply(receiver, beat, sentAt, arrivesAt);
            told.push(createBeat(receiver, arrivesAt));
          };
          const repliedAt = arrivesAt + backMs;
          const take = () => {
            const [reply] = told;
            assert.ok(reply);
            sender.clocks.recordReply(reply.reading, readClock(sender, at));
            apply(sender, reply, readClock(sender, at), repliedAt);
          };
          steps.push({ at: arrivesAt, run: receive }, { at: repliedAt, run: take });
        }
        for (const { run } of steps.sort((a, b) => a.at - b.at)) run();
      }),
    );
  });
});
