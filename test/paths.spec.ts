/**
 * What is known of the ways to endpoints. Guards against taking a dead endpoint for a lost way, against bursts of direct
 * tries while ways are lost, and against asking peers that are cut off too.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { ReplicaCandidate } from "../src/fleet/replicas";
import { createInstanceBase } from "../src/forward/base";
import { createParts } from "../src/forward/parts";
import { PathTracker } from "../src/forward/tunnels/paths";
import { TunnelFailureKind } from "../src/forward/tunnels/openers";
import { Beat } from "../src/peer/gen/fleet";
import { createSettings, testCodecs } from "./harness/forward";
import { MemoryStore } from "./harness/memory";
import { createPeers, createTarget } from "./harness/ways";

const target = createTarget("a");
const START = 10_000;

function createLost(ids: readonly string[], at = START): PathTracker {
  const paths = new PathTracker(() => 0.5);
  for (const [index, id] of ids.entries()) {
    paths.recordDirectFailure(createTarget(id), "timeout", at, at + index);
    paths.recordPeerSuccess(createTarget(id), "p0", at + index);
  }
  return paths;
}

describe("the direct way to an endpoint", () => {
  it("is not lost as long as no peer reaches the endpoint", () => {
    const paths = new PathTracker(() => 0.5);
    assert.equal(paths.recordDirectFailure(target, "refused", START, START), false);
    assert.equal(paths.isDirectLost(target), false);
  });

  it("is lost once a peer reaches the endpoint, whichever is known first", () => {
    assert.ok(createLost(["a"]).isDirectLost(target));
    const paths = new PathTracker(() => 0.5);
    paths.recordPeerSuccess(target, "p0", START);
    assert.equal(paths.recordDirectFailure(target, "refused", START, START + 250), true);
    assert.equal(paths.recordDirectFailure(target, "refused", START, START + 260), false);
  });

  it("is not lost by a peer's success long after the failure", () => {
    const paths = new PathTracker(() => 0.5);
    paths.recordDirectFailure(target, "timeout", START, START);
    assert.equal(paths.recordPeerSuccess(target, "p0", START + 2500), false);
  });

  it("is not lost by a connect that began before another one succeeded", () => {
    const paths = new PathTracker(() => 0.5);
    paths.recordPeerSuccess(target, "p0", START);
    paths.recordDirectSuccess(target, START + 100);
    assert.equal(paths.recordDirectFailure(target, "timeout", START, START + 250), false);
  });

  it("is back with the first direct connect, and for a new process", () => {
    const paths = createLost(["a"]);
    assert.equal(paths.isDirectLost(createTarget("a", 2)), false);
    assert.equal(paths.recordDirectSuccess(target, START + 600), true);
    assert.equal(paths.isDirectLost(target), false);
    assert.deepEqual(paths.listLost(), []);
  });

  it("is forgotten with its endpoint", () => {
    const paths = createLost(["a", "b"]);
    paths.prune((id) => id === "b", START + 1);
    assert.deepEqual(paths.listLost(), ["b"]);
  });
});

describe("direct tries while ways are lost", () => {
  it("are at most one each half second for all endpoints together, each in its turn", () => {
    const paths = createLost(Array.from({ length: 20 }, (_, at) => `e${at}`));
    const tried: string[] = [];
    for (let now = START; now < START + 10_000; now += 10) {
      const due = paths.takeDirectTry(now);
      if (due === undefined) continue;
      tried.push(due.id);
      paths.recordDirectFailure(due, "timeout", now, now);
    }
    assert.ok(tried.length >= 18 && tried.length <= 21, `${tried.length} tries`);
    assert.equal(new Set(tried).size, tried.length, "each once before any is tried again");
  });

  it("follow sooner, one by one, once one succeeds", () => {
    const paths = createLost(Array.from({ length: 10 }, (_, at) => `e${at}`));
    let now = START;
    while (paths.hasLost) {
      now += 10;
      const due = paths.takeDirectTry(now);
      if (due !== undefined) paths.recordDirectSuccess(due, now);
      assert.ok(now < START + 2000, "all are tried in time");
    }
  });
});

describe("lost endpoints in heartbeats", () => {
  const createPeerParts = (instance: string) => {
    const settings = createSettings(instance);
    const base = createInstanceBase(settings, { store: new MemoryStore(), ...testCodecs });
    return { base, parts: createParts(base, () => false) };
  };

  it("reach peers, which then ask the sender last", async () => {
    const [from, to] = [createPeerParts("n1"), createPeerParts("n2")];
    const { paths } = from.parts.context;
    const now = from.base.clock.now();
    paths.recordDirectFailure(target, "timeout", now, now);
    paths.recordPeerSuccess(target, "n3", now);
    const content = from.parts.peerState.createBeatContent();
    const beat = { ...from.base.self, ...content, heardAddresses: [] };
    const sent = Beat.decode(Beat.encode(beat).finish());
    to.parts.peerState.handleBeat(sent, now, now);
    const live = ["n1", "n3", "n4"].map((instance) => ({ instance, dataCentre: "nizwa" }));
    for (let turn = 0; turn < 10; turn += 1) {
      const query = { target, dataCentre: "nizwa", live, isThorough: false };
      assert.equal(to.parts.context.paths.rankPeers(query, now).peers.at(-1), "n1");
    }
    await Promise.all([from, to].map(({ parts }) => parts.context.client.close()));
  });

  it("are a bounded number, those lost last first", () => {
    const paths = createLost(Array.from({ length: 100 }, (_, at) => `e${at}`));
    const lost = paths.listLost();
    assert.equal(lost.length, 64);
    assert.deepEqual([lost[0], lost.at(-1)], ["e99", "e36"]);
  });
});

describe("the ranking of peers", () => {
  const createQuery = (live: readonly ReplicaCandidate[], isThorough = false) => ({
    target,
    dataCentre: "nizwa",
    live,
    isThorough,
  });
  const live = [
    { instance: "far", dataCentre: "sur" },
    { instance: "cut", dataCentre: "nizwa" },
    { instance: "near", dataCentre: "nizwa" },
    { instance: "far-cut", dataCentre: "sur" },
  ];

  it("puts those that report the endpoint as lost last, and its data centre first", () => {
    const paths = new PathTracker(Math.random);
    paths.applyPeerLost("cut", ["a"], START);
    paths.applyPeerLost("far-cut", ["a"], START);
    const { peers } = paths.rankPeers(createQuery(live), START + 1000);
    assert.deepEqual(peers, ["near", "far", "cut"]);
  });

  it("forgets reports that are not repeated", () => {
    const paths = new PathTracker(() => 0);
    paths.applyPeerLost("cut", ["a"], START);
    const { peers } = paths.rankPeers(createQuery(live), START + 2000);
    assert.deepEqual(peers.slice(0, 2), ["cut", "near"]);
  });

  it("leaves out peers that did not reach the endpoint a moment ago", () => {
    const paths = new PathTracker(Math.random);
    paths.recordPeerFailure(target, "near", TunnelFailureKind.refused, START);
    const ranking = paths.rankPeers(createQuery(live), START + 500);
    assert.ok(!ranking.peers.includes("near") && ranking.isRefused);
    const later = paths.rankPeers(createQuery(live), START + 1500);
    assert.ok(later.peers.includes("near") && !later.isRefused);
  });

  it("lists all that may know whether the endpoint is up, but those that were refused just now", () => {
    const paths = new PathTracker(Math.random);
    paths.recordPeerFailure(target, "near", TunnelFailureKind.refused, START);
    paths.recordPeerFailure(target, "far", TunnelFailureKind.unreachable, START);
    const { peers, isRefused } = paths.rankPeers(createQuery(live, true), START + 500);
    assert.deepEqual([...peers].sort(), ["cut", "far", "far-cut"]);
    assert.ok(isRefused);
  });

  it("puts a peer that was silent a moment ago last, for every endpoint", () => {
    const paths = new PathTracker(Math.random);
    paths.recordPeerSilence("near", START - 100, START);
    const { peers } = paths.rankPeers(createQuery(live), START + 500);
    assert.equal(peers[0], "cut");
  });

  it("puts a peer that was silent before those that report the endpoint as lost", () => {
    const paths = new PathTracker(() => 0);
    for (const peer of ["far", "cut", "far-cut"]) paths.applyPeerLost(peer, ["a"], START);
    paths.recordPeerSilence("near", START - 100, START);
    const { peers } = paths.rankPeers(createQuery(live), START + 500);
    assert.equal(peers[0], "near");
  });

  it("does not take a peer for silent that has answered since it was asked", () => {
    const paths = new PathTracker(Math.random);
    paths.recordPeerSuccess(createTarget("b"), "near", START - 50);
    paths.recordPeerSilence("near", START - 100, START);
    const others = live.filter(({ instance }) => instance !== "cut");
    const { peers } = paths.rankPeers(createQuery(others), START + 500);
    assert.equal(peers[0], "near");
  });

  it("spreads dials over peers that are alike", () => {
    const paths = new PathTracker(Math.random);
    const first = new Set(
      Array.from(
        { length: 100 },
        () => paths.rankPeers(createQuery(createPeers(4)), START).peers[0],
      ),
    );
    assert.equal(first.size, 4);
  });
});
