/**
 * A peer behind a relay that carries bytes late, in this process or in one of its own, so that an instance which opens
 * tunnels over it doesn't share the processor time of its event loop.
 */
import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { join } from "node:path";
import type { EndpointTarget } from "../../src/forward/limits/gate";
import { allocatePort } from "./ports";
import { SlowRelay } from "./slowrelay";
import type { TunnelPair, TunnelScene } from "./tunnels";

/** A peer behind a relay, with an endpoint that it lists. */
export interface SlowPair {
  readonly relay: SlowRelay;
  readonly relayAddress: string;
  readonly pair: TunnelPair;
  readonly target: EndpointTarget;
}

/** Starts a peer behind a relay, with an endpoint that returns what it is sent. */
export async function startSlowPair(scene: TunnelScene): Promise<SlowPair> {
  const peerPort = allocatePort();
  const relay = new SlowRelay(peerPort);
  const relayAddress = await relay.listen();
  scene.onClose(() => {
    relay.close();
  });
  const pair = await scene.startPair({ peerAddress: `127.0.0.1:${peerPort}`, relayAddress });
  const target = pair.list(await scene.listen((peer) => peer.pipe(peer)));
  return { relay, relayAddress, pair, target };
}

/** What a host of a slow pair tells its parent. */
export interface HostedSlowPair {
  /** The peer's own address. */
  readonly peerAddress: string;
  readonly relayAddress: string;
  readonly target: EndpointTarget;
}

/** Starts a slow pair in a process of its own, whose relay carries bytes late from the beginning. */
export async function startHostedSlowPair(
  scene: TunnelScene,
  delayMs: number,
): Promise<HostedSlowPair> {
  const host: ChildProcess = fork(join(__dirname, "slowhost.ts"), [`${delayMs}`]);
  scene.onClose(() => {
    host.disconnect();
  });
  const [hosted] = (await once(host, "message")) as [HostedSlowPair];
  return hosted;
}
