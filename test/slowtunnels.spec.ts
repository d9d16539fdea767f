/**
 * Tunnels over a peer that answers late. Guards against one late opening that takes the way over the peer away from
 * others, and against an answer that is at hand but unread.
 */
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { afterEach, describe, it } from "node:test";
import * as E from "fp-ts/Either";
import { MonotonicClock, pause } from "../src/core/clock";
import { SILENT_LOGGER } from "../src/core/log";
import { Dialer } from "../src/forward/tunnels/dialer";
import type { EndpointTarget } from "../src/forward/limits/gate";
import { PathTracker } from "../src/forward/tunnels/paths";
import { PeerTunnelOpener } from "../src/forward/tunnels/peer";
import type { EndpointConnector } from "../src/forward/tunnels/tunnel";
import { startHostedSlowPair, startSlowPair } from "./harness/slowpair";
import { PEER, TunnelScene } from "./harness/tunnels";
import { SOUND_LINK } from "./harness/ways";

/** How late the relay carries bytes, in milliseconds. */
const LATE_MS = 120;
/** Timeout of an opening that is not answered in time, in milliseconds. */
const SHORT_MS = 60;
/** How late the relay carries bytes during a burst; setting up a channel and an answer take three times as long. */
const BURST_DELAY_MS = 60;
const BURST_DIALS = 100;
/** Longer than the time between keep-alive pings of a channel, in milliseconds. */
const KEEP_ALIVE_MS = 1300;
/** Timeout of openings that no dial waits for, in milliseconds. */
const OPEN_TIMEOUT_MS = 5000;
/** Time for both sides to have done with tunnels that were closed, in milliseconds. */
const CLOSE_MS = 300;
/** How long this process stands still, in milliseconds. */
const STANDSTILL_MS = 400;

describe("an opening that is late", () => {
  const scene = new TunnelScene();
  afterEach(() => scene.close());

  it("fails no other on a channel that is being set up", async () => {
    const { relay, pair, target } = await startSlowPair(scene);
    relay.delayMs = LATE_MS;
    const late = pair.fail(target, SHORT_MS);
    const others = Promise.all([pair.open(target), pair.open(target)]);
    assert.equal(await late, "silent");
    const after = pair.open(target);
    for (const socket of [...(await others), await after]) socket.destroy();
    const { acceptedCount } = relay;
    assert.ok(acceptedCount <= 2, `${acceptedCount} channels`);
    (await pair.open(target)).destroy();
    assert.equal(relay.acceptedCount, acceptedCount);
  });

  it("breaks no connection on the channel that is replaced for it", async () => {
    const { relay, pair, target } = await startSlowPair(scene);
    const carried = await pair.open(target);
    relay.delayMs = LATE_MS;
    assert.equal(await pair.fail(target, SHORT_MS), "silent");
    await pause(LATE_MS);
    relay.delayMs = 0;
    (await pair.open(target)).destroy();
    assert.equal(relay.acceptedCount, 2);
    await pause(KEEP_ALIVE_MS);
    assert.equal(carried.errored, null);
    carried.write("still");
    assert.equal(String((await once(carried, "data"))[0]), "still");
    carried.destroy();
  });

  it("has no channel replaced on which another was answered since it began", async () => {
    const { relay, pair, target } = await startSlowPair(scene);
    (await pair.open(target)).destroy();
    relay.delayMs = LATE_MS;
    const other = pair.open(target);
    await pause(LATE_MS);
    const late = pair.fail(target, 2 * LATE_MS - SHORT_MS);
    (await other).destroy();
    assert.equal(await late, "silent");
    (await pair.open(target)).destroy();
    assert.equal(relay.acceptedCount, 1);
  });
});

describe("an answer that came before its time was up", () => {
  const scene = new TunnelScene();
  afterEach(() => scene.close());

  it("is not taken for late because this process stood still", async () => {
    let isStanding = false;
    const open: EndpointConnector = (host, port) => {
      const socket = connect({ host, port });
      // The peer writes its answer in the same turn, so that it is unread when the time is up.
      if (isStanding) socket.once("connect", () => setImmediate(standStill, STANDSTILL_MS));
      return socket;
    };
    const pair = await scene.startPair({ connect: open });
    const target = pair.list(await scene.listen((peer) => peer.pipe(peer)));
    (await pair.open(target)).destroy();
    isStanding = true;
    assert.equal(await pair.fail(target, STANDSTILL_MS - SHORT_MS), undefined);
  });
});

describe("a burst of dials over one peer", () => {
  const scene = new TunnelScene();
  afterEach(() => scene.close());

  it("is not answered as unreachable because the channel is new", async () => {
    const hosted = await startHostedSlowPair(scene, BURST_DELAY_MS);
    const { peerAddress, relayAddress, target } = hosted;
    // Both processes have opened tunnels before, as instances have; the channel of the burst is new.
    await openTunnels(peerAddress, target, BURST_DIALS);
    const paths = new PathTracker(Math.random);
    const dialer = new Dialer({
      paths,
      direct: {
        open: async (_, timeoutMs) => {
          await pause(timeoutMs);
          return E.left(new Error("hangs"));
        },
      },
      tunnels: new PeerTunnelOpener((peer) => (peer === PEER ? relayAddress : undefined)),
      links: SOUND_LINK,
      clock: new MonotonicClock(),
      logger: SILENT_LOGGER,
      listener: {
        onWayLost: () => undefined,
        onWayBack: () => undefined,
        onWayUnknown: () => undefined,
      },
      listPeers: () => [{ instance: PEER, dataCentre: "nizwa" }],
      findDataCentre: () => "nizwa",
      onConnection: () => undefined,
    });
    scene.onClose(() => {
      dialer.close();
    });
    const dial = () => dialer.dial(target, { isDirectOnly: false });
    const results = await Promise.all(Array.from({ length: BURST_DIALS }, dial));
    const failures = results.flatMap((result) => (E.isLeft(result) ? [result.left.kind] : []));
    for (const result of results) if (E.isRight(result)) result.right.socket.destroy();
    assert.deepEqual(failures, []);
  });
});

/** Opens tunnels over a peer, all at once, and closes them and their channel. */
async function openTunnels(peerAddress: string, target: EndpointTarget, count: number) {
  const opener = new PeerTunnelOpener(() => peerAddress);
  const open = () => opener.open(PEER, target, OPEN_TIMEOUT_MS);
  const opened = await Promise.all(Array.from({ length: count }, open));
  const sockets = opened.flatMap((tunnel) => (E.isRight(tunnel) ? [tunnel.right] : []));
  for (const socket of sockets) socket.destroy();
  opener.close();
  await Promise.all(sockets.filter(({ closed }) => !closed).map((socket) => once(socket, "close")));
  await pause(CLOSE_MS);
}

/** Keeps this process from reading its sockets. */
function standStill(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}
