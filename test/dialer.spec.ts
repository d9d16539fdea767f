/**
 * Dials over cut ways, in virtual time. Guards against callers that wait for an endpoint which a peer reaches, against
 * taking a cut for a crash or the reverse, and against connects without bound.
 */
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import fc from "fast-check";
import * as E from "fp-ts/Either";
import { ConnectState } from "../src/forward/tunnels/dialer";
import { DialFailureKind } from "../src/forward/tunnels/dialrun";
import { isConnectionRefused, isConnectError } from "../src/store/http";
import { createPeers, createTarget, SELF, Ways, WayState } from "./harness/ways";

const target = createTarget("a");
const MAX_DIAL_MS = 450;
const CUTS = [WayState.hang, WayState.refuse, WayState.reset] as const;

let ways: Ways;

beforeEach(() => {
  mock.timers.enable({ apis: ["setTimeout", "setInterval"] });
  ways = new Ways(createPeers(3));
});
afterEach(() => {
  ways.dialer.close();
  mock.timers.reset();
});

async function dialForPeer(id = "a"): Promise<string | undefined> {
  const { result } = await ways.dial(createTarget(id));
  assert.ok(E.isRight(result), E.isLeft(result) ? result.left.message : "");
  result.right.socket.destroy();
  return result.right.peer;
}

async function dialForFailure(): Promise<DialFailureKind> {
  const { result, tookMs } = await ways.dial(target);
  assert.ok(E.isLeft(result) && isConnectError(result.left));
  assert.equal(isConnectionRefused(result.left), result.left.kind === DialFailureKind.refused);
  assert.ok(tookMs <= MAX_DIAL_MS, `${tookMs} ms`);
  return result.left.kind;
}

describe("a dial over an open way", () => {
  it("asks no peer", async () => {
    assert.equal(await dialForPeer(), undefined);
    await ways.advance(500);
    assert.deepEqual([ways.asked.length, ways.openSockets.size], [0, 0]);
  });
});

describe("a dial over peers that are leaving", () => {
  it("is made only with a question about the endpoint itself, and where no other peer is there", async () => {
    const [leaving, ...others] = createPeers(3);
    if (leaving === undefined) assert.fail();
    for (const peers of [[], others]) {
      const alone = new Ways(peers);
      alone.leaving = [leaving];
      alone.cut(SELF, "a", WayState.reset);
      const question = { isDirectOnly: false, isQuestion: true };
      await alone.dial(target);
      const afterRequest = alone.asked.length;
      await alone.wait(alone.dialer.dial(target, question));
      const state = await alone.wait(alone.dialer.probe(target));
      const asked = new Set(alone.asked.map(({ peer }) => peer));
      assert.equal(state, ConnectState.up);
      assert.equal(asked.has(leaving.instance), peers.length === 0);
      assert.equal(afterRequest === 0, peers.length === 0);
      alone.dialer.close();
    }
  });

  it("leaves an endpoint down that refuses, where the one that is leaving is gone", async () => {
    const [leaving] = createPeers(1);
    if (leaving === undefined) assert.fail();
    const alone = new Ways([]);
    alone.leaving = [leaving];
    alone.silentPeers.add(leaving.instance);
    alone.endpoints.set("a", WayState.refuse);
    const state = await alone.wait(alone.dialer.probe(target));
    assert.equal(state, ConnectState.refused);
    alone.dialer.close();
  });
});

describe("a dial over a cut way", () => {
  for (const state of CUTS) {
    it(`goes over a peer at once if connects ${state}, and then without trying directly`, async () => {
      ways.cut(SELF, "a", state);
      const { result, tookMs } = await ways.dial(target);
      assert.ok(E.isRight(result) && result.right.peer !== undefined);
      assert.ok(tookMs <= 60, `${tookMs} ms`);
      await ways.advance(300);
      assert.ok(ways.paths.isDirectLost(target));
      const before = ways.directAt.length;
      const next = await ways.dial(target);
      assert.ok(E.isRight(next.result) && next.tookMs <= 10, `${next.tookMs} ms`);
      assert.equal(ways.directAt.length, before);
    });
  }

  it("passes over peers that are silent or cut off too", async () => {
    ways.cut(SELF, "a", WayState.hang);
    for (const peer of ["p0", "p1"]) ways.cut(peer, "a", WayState.hang);
    const { result, tookMs } = await ways.dial(target);
    assert.ok(E.isRight(result) && result.right.peer === "p2");
    assert.ok(tookMs <= MAX_DIAL_MS, `${tookMs} ms`);
  });

  it("closes the connections that it does not need", async () => {
    ways.cut(SELF, "a", WayState.hang);
    ways.cut("p0", "a", WayState.hang);
    const { result } = await ways.dial(target);
    await ways.advance(500);
    assert.ok(E.isRight(result));
    assert.deepEqual([...ways.openSockets], [result.right.socket]);
  });

  it("asks no peer where it must be direct", async () => {
    ways.cut(SELF, "a", WayState.refuse);
    const { result } = await ways.dial(target, true);
    assert.ok(E.isLeft(result));
    assert.equal(ways.asked.length, 0);
  });

  it("is found where connections are reset right after the connect", async () => {
    ways.cut(SELF, "a", WayState.break);
    await ways.dial(target);
    await ways.advance(20);
    assert.ok(ways.paths.isDirectLost(target));
    assert.notEqual(await dialForPeer(), undefined);
  });
});

describe("a dial over peers that have little processor time", () => {
  beforeEach(() => {
    ways.cut(SELF, "a", WayState.hang);
  });

  it("takes an answer that comes within the time of the dial", async () => {
    for (const peer of ["p0", "p1", "p2"]) ways.answerMs.set(peer, 300);
    assert.notEqual(await dialForPeer(), undefined);
  });

  it("asks fewer of them for a dial, so that they do not get busier", async () => {
    for (const peer of ["p0", "p1", "p2"]) ways.answerMs.set(peer, 140);
    for (let turn = 0; turn < 20; turn += 1) await dialForPeer();
    await ways.advance(500);
    const before = ways.asked.length;
    for (let turn = 0; turn < 20; turn += 1) await dialForPeer();
    assert.equal(ways.asked.length - before, 20);
  });

  it("asks them again at once after none was in time", async () => {
    await dialForPeer();
    await ways.advance(300);
    assert.ok(ways.paths.isDirectLost(target));
    for (const peer of ["p0", "p1", "p2"]) ways.answerMs.set(peer, 600);
    assert.equal(await dialForFailure(), DialFailureKind.unreachable);
    ways.answerMs.clear();
    const { result, tookMs } = await ways.dial(target);
    assert.ok(E.isRight(result) && tookMs <= 10, `${tookMs} ms`);
    assert.ok(!ways.events.includes("unknown a"));
  });
});

describe("a dial of an instance that stands still", () => {
  const standStill = () => {
    ways.clock.advance(MAX_DIAL_MS);
  };

  it("has the time to ask peers", async () => {
    ways.cut(SELF, "a", WayState.refuse);
    const dialled = ways.dialer.dial(target, { isDirectOnly: false });
    standStill();
    const result = await ways.wait(dialled);
    assert.ok(E.isRight(result) && result.right.peer !== undefined);
  });

  it("concludes nothing about the endpoint from a part of the peers", async () => {
    ways.cut(SELF, "a", WayState.hang);
    await dialForPeer();
    await ways.advance(300);
    for (const peer of ["p0", "p1", "p2"]) ways.cut(peer, "a", WayState.hang);
    const before = ways.asked.length;
    const dialled = ways.dialer.dial(target, { isDirectOnly: false });
    standStill();
    assert.ok(E.isLeft(await ways.wait(dialled)));
    assert.equal(ways.asked.length, before + 1);
    assert.ok(ways.paths.isDirectLost(target));
  });
});

describe("a dial to a dead endpoint", () => {
  it("says refused if a peer is refused too", async () => {
    ways.endpoints.set("a", WayState.refuse);
    ways.cut("p0", "a", WayState.hang);
    assert.equal(await dialForFailure(), DialFailureKind.refused);
    assert.equal(await dialForFailure(), DialFailureKind.refused);
  });

  it("says refused if there is no peer to ask", async () => {
    ways = new Ways([]);
    ways.endpoints.set("a", WayState.refuse);
    assert.equal(await dialForFailure(), DialFailureKind.refused);
  });

  it("does not say refused if the peers that were asked are cut off or silent", async () => {
    ways.endpoints.set("a", WayState.refuse);
    ways.silentPeers.add("p0");
    for (const peer of ["p1", "p2"]) ways.cut(peer, "a", WayState.hang);
    assert.equal(await dialForFailure(), DialFailureKind.unreachable);
    assert.equal(await dialForFailure(), DialFailureKind.unreachable);
  });

  it("asks each peer at most once a second", async () => {
    ways.endpoints.set("a", WayState.hang);
    for (let turn = 0; turn < 8; turn += 1) await dialForFailure();
    const seconds = (ways.clock.now() - 10_000) / 1000;
    assert.ok(ways.asked.length <= 3 * (Math.ceil(seconds) + 1), `${ways.asked.length} asked`);
  });

  it("is found also while its direct way is lost", async () => {
    ways.cut(SELF, "a", WayState.refuse);
    await dialForPeer();
    ways.endpoints.set("a", WayState.refuse);
    assert.equal(await dialForFailure(), DialFailureKind.refused);
    assert.equal(ways.paths.isDirectLost(target), false);
  });
});

describe("a probe", () => {
  it("takes no cut for a crash, whatever its manner", async () => {
    for (const state of [...CUTS, WayState.break]) {
      ways.cut(SELF, "a", state);
      assert.equal(await ways.wait(ways.dialer.probe(target)), ConnectState.up, state);
    }
  });

  it("takes no cut for a crash where most peers are cut off alike and refused too", async () => {
    ways = new Ways(createPeers(8));
    for (const id of ["a", "b", "c", "d", "e", "f", "g", "h"]) {
      for (const instance of [SELF, "p1", "p2", "p3", "p4", "p5"]) {
        ways.cut(instance, id, WayState.refuse);
      }
      const state = await ways.wait(ways.dialer.probe(createTarget(id)));
      assert.equal(state, ConnectState.up);
    }
  });

  it("takes no cut for a crash where only a peer that is cut off alike answers in time", async () => {
    for (const id of ["a", "b"]) {
      ways.list(id);
      for (const instance of [SELF, "p0"]) ways.cut(instance, id, WayState.refuse);
    }
    for (const peer of ["p1", "p2"]) ways.silentPeers.add(peer);
    assert.equal(await ways.wait(ways.dialer.probe(target)), ConnectState.unconfirmed);
  });

  it("takes no cut for a crash where a peer is refused by that endpoint alone", async () => {
    for (const id of ["a", "b"]) {
      ways.list(id);
      ways.cut(SELF, id, WayState.refuse);
    }
    ways.cut("p0", "a", WayState.refuse);
    for (const peer of ["p1", "p2"]) ways.silentPeers.add(peer);
    assert.equal(await ways.wait(ways.dialer.probe(target)), ConnectState.unconfirmed);
  });

  it("finds a crash where another endpoint accepts the connections of those that are refused", async () => {
    for (const id of ["a", "b"]) ways.list(id);
    ways.endpoints.set("a", WayState.refuse);
    for (const peer of ["p1", "p2"]) ways.silentPeers.add(peer);
    assert.equal(await ways.wait(ways.dialer.probe(target)), ConnectState.refused);
  });

  it("finds a crash although the direct way hangs, where two peers are refused", async () => {
    ways.cut(SELF, "a", WayState.hang);
    ways.endpoints.set("a", WayState.refuse);
    assert.equal(await ways.wait(ways.dialer.probe(target)), ConnectState.refused);
  });
});

describe("a check of the direct way", () => {
  it("finds a cut while a request waits, and connects at most once a second", async () => {
    ways.cut(SELF, "a", WayState.hang);
    for (let turn = 0; turn < 5; turn += 1) {
      ways.dialer.checkDirect(target);
      await ways.advance(10);
    }
    await ways.advance(350);
    assert.equal(ways.directAt.length, 1);
    assert.ok(ways.paths.isDirectLost(target));
  });

  it("changes nothing for a slow endpoint", async () => {
    ways.dialer.checkDirect(target);
    await ways.advance(400);
    assert.deepEqual([ways.asked.length, ways.events.length], [0, 0]);
  });
});

describe("lost ways", () => {
  const ids = Array.from({ length: 10 }, (_, at) => `e${at}`);
  const loseAll = async (state: WayState) => {
    for (const id of ids) ways.cut(SELF, id, state);
    await Promise.all(ids.map((id) => ways.dialer.dial(createTarget(id), { isDirectOnly: false })));
  };

  it("are tried directly at a bounded rate, also under load", async () => {
    const lost = loseAll(WayState.hang);
    await ways.advance(400);
    await lost;
    const before = ways.directAt.length;
    const startedAt = ways.clock.now();
    for (let turn = 0; turn < 100; turn += 1) await dialForPeer(ids[turn % ids.length]);
    await ways.advance(Math.max(0, 4000 - (ways.clock.now() - startedAt)));
    const tries = ways.directAt.length - before;
    assert.ok(tries >= 6 && tries <= 13, `${tries} tries in 4 s`);
  });

  it("are all used again within 2 s after the cut ends, each connected to once", async () => {
    const lost = loseAll(WayState.refuse);
    await ways.advance(100);
    await lost;
    assert.equal(ways.paths.listLost().length, ids.length);
    ways.states.clear();
    const before = ways.directAt.length;
    await ways.advance(2000);
    assert.deepEqual(ways.paths.listLost(), []);
    assert.equal(ways.directAt.length - before, ids.length);
    for (const id of ids) assert.equal(await dialForPeer(id), undefined);
  });
});

describe("dials over ways that are cut at random", () => {
  const anyState = fc.constantFrom(...CUTS, WayState.open);

  it("reach every live endpoint that a peer reaches, within their time", async () => {
    const anyTurn = fc.record({
      self: anyState,
      peers: fc.array(anyState, { minLength: 3, maxLength: 3 }),
      silent: fc.nat({ max: 3 }),
      isDead: fc.boolean(),
    });
    const property = fc.asyncProperty(fc.array(anyTurn, { maxLength: 5 }), async (turns) => {
      ways = new Ways(createPeers(3));
      for (const { self, peers, silent, isDead } of turns) {
        ways.cut(SELF, "a", self);
        for (const [at, state] of peers.entries()) ways.cut(`p${at}`, "a", state);
        ways.silentPeers.clear();
        ways.silentPeers.add(`p${silent}`);
        ways.endpoints.set("a", isDead ? WayState.refuse : WayState.open);
        // Peers that did not reach the endpoint are asked again.
        await ways.advance(1100);
        const { result, tookMs } = await ways.dial(target);
        const isReached =
          self === WayState.open || peers.some((state, at) => state === "open" && at !== silent);
        assert.equal(E.isRight(result), isReached && !isDead);
        assert.ok(tookMs <= MAX_DIAL_MS, `${tookMs} ms`);
        const isRefused = E.isLeft(result) && result.left.kind === DialFailureKind.refused;
        const isKnownDead = isDead && self === WayState.open && isReached && silent === 3;
        if (isKnownDead && peers.includes(WayState.open)) assert.ok(isRefused);
        if (isRefused && !isDead) {
          const refusing = [self, ...peers].filter((state) => state === WayState.refuse);
          assert.ok(refusing.length >= 2, "a sound endpoint is refused by several only");
        }
      }
      ways.dialer.close();
    });
    await fc.assert(property, { numRuns: 40, seed: 7 });
  });
});
