/**
 * How long an instance that is told to stop stays for questions after an end. Guards against questions that are answered,
 * and that hold up the stop as if another one could follow.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import * as E from "fp-ts/Either";
import { pause } from "../src/core/clock";
import type { ForwardInstance } from "../src/forward/instance";
import type { ForwardSettings } from "../src/forward/settings";
import { PeerTunnelOpener } from "../src/forward/tunnels/peer";
import { createConfig, createEntry, startInstance, waitUntil } from "./harness/forward";
import { MemoryStore } from "./harness/memory";
import { listenForSockets } from "./harness/tunnels";

const OPEN_TIMEOUT_MS = 2000;
/** From the stop until idle connections are closed, in milliseconds. */
const NOTICE_MS = 2600;
/** How long a peer may ask after an end, in milliseconds, and what the machine takes. */
const QUESTION_TIME_MS = 1000;
const MARGIN_MS = 400;
/** When the question is answered and its connection ended, in milliseconds after the end. */
const ANSWERED_AFTER_MS = 700;

let instance: ForwardInstance;
let settings: ForwardSettings;
let opener: PeerTunnelOpener;
let sockets: Socket[];
let listener: Awaited<ReturnType<typeof listenForSockets>>;

beforeEach(async () => {
  sockets = [];
  listener = await listenForSockets((socket) => sockets.push(socket));
  const store = new MemoryStore();
  store.putConfig(createConfig(1));
  store.putEndpoint(createEntry("a", listener.address));
  ({ instance, settings } = await startInstance(store, "nizwa-2"));
  opener = new PeerTunnelOpener(() => `${settings.peers.host}:${settings.peers.port}`);
  await waitUntil(async () => {
    const opened = await open(true);
    if (E.isRight(opened)) opened.right.destroy();
    return E.isRight(opened);
  });
});

afterEach(async () => {
  opener.close();
  listener.close();
  await instance.close();
});

async function open(isProbe: boolean) {
  const target = createEntry("a", listener.address);
  const opened = await opener.open("nizwa-2", target, OPEN_TIMEOUT_MS, isProbe);
  if (E.isRight(opened)) opened.right.on("error", () => undefined);
  return opened;
}

/** Opens a tunnel, has the endpoint end it, and waits until the peer has read that. */
async function readToEnd(isProbe: boolean, afterMs: number): Promise<void> {
  const opened = await open(isProbe);
  if (E.isLeft(opened)) return assert.fail(opened.left);
  const ended = new Promise((resolve) => opened.right.once("end", resolve));
  opened.right.resume();
  await pause(afterMs);
  sockets.at(-1)?.end("all of it");
  await ended;
  opened.right.destroy();
}

describe("an instance that is told to stop and has relayed an end of an endpoint's", () => {
  it("stops within a second of it, though the question after it was answered and ended", async () => {
    const relayed = readToEnd(false, NOTICE_MS + 200);
    await pause(200);
    const stopped = { at: Infinity };
    void instance.close().then(() => (stopped.at = performance.now()));
    await relayed;
    const endedAt = performance.now();
    await readToEnd(true, ANSWERED_AFTER_MS);
    await waitUntil(() => stopped.at < Infinity);
    const tookMs = Math.round(stopped.at - endedAt);
    assert.ok(tookMs < QUESTION_TIME_MS + MARGIN_MS, `${tookMs} ms`);
  });
});
