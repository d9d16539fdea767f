/**
 * An instance that is told to stop while it relays an answer, at a real one. Guards against a sound answer that counts as
 * broken, as the instance is gone before its peer could ask after the end.
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
/** Within the second in which an asker asks. */
const ASKED_AFTER_MS = 500;

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
  await waitUntil(async () => E.isRight(await open(true)));
});

afterEach(async () => {
  opener.close();
  listener.close();
  await instance.close();
});

async function open(isProbe: boolean) {
  const opened = await opener.open(
    "nizwa-2",
    createEntry("a", listener.address),
    OPEN_TIMEOUT_MS,
    isProbe,
  );
  if (E.isRight(opened)) opened.right.on("error", () => undefined);
  if (E.isRight(opened) && isProbe) opened.right.destroy();
  return opened;
}

/** Opens a tunnel, and tells the instance to stop; resolves once only the tunnel keeps it. */
async function startStop() {
  const opened = await open(false);
  if (E.isLeft(opened)) return assert.fail(opened.left);
  const stopped = { at: Infinity };
  void instance.close().then(() => (stopped.at = performance.now()));
  await pause(NOTICE_MS + 200);
  return { socket: opened.right, stopped };
}

describe("an instance that is told to stop while it relays an answer", () => {
  it("is there for the question after an end of the endpoint's", async () => {
    const { socket, stopped } = await startStop();
    const ended = new Promise((resolve) => socket.once("end", resolve));
    socket.resume();
    sockets.at(-1)?.end("all of it");
    await ended;
    socket.destroy();
    await pause(ASKED_AFTER_MS);
    assert.equal(E.isRight(await open(true)), true);
    await waitUntil(() => stopped.at < Infinity);
  });

  it("stops at once where its peer left before an end", async () => {
    const { socket, stopped } = await startStop();
    const leftAt = performance.now();
    socket.destroy();
    await waitUntil(() => stopped.at < Infinity);
    assert.ok(stopped.at - leftAt < ASKED_AFTER_MS, `${stopped.at - leftAt} ms`);
  });
});
