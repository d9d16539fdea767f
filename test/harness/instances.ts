/**
 * Starts several forwarding instances in this process, which know each other.
 */
import { pause } from "../../src/core/clock";
import type { ForwardSettings } from "../../src/forward/settings";
import { get } from "./fixture";
import { startInstance, waitUntil } from "./forward";
import type { MemoryStore } from "./memory";

/** Time after which each instance has heard the others, in milliseconds. */
const ACQUAINTED_MS = 1200;

/** Instances that run. */
export interface RunningInstances {
  /** Ports at which they accept callers. */
  readonly ports: readonly number[];
  /** Tells one of them to stop; resolves once it has. */
  stop(index: number): Promise<void>;
  close(): Promise<void>;
}

/** Starts instances and waits until they are ready and have heard each other. */
export async function startInstances(
  store: MemoryStore,
  size: number,
  overrides: Partial<ForwardSettings> = {},
): Promise<RunningInstances> {
  const running: Awaited<ReturnType<typeof startInstance>>[] = [];
  const knownPeers: string[] = [];
  for (let index = 1; index <= size; index += 1) {
    const started = await startInstance(store, `nizwa-${index}`, {
      ...overrides,
      knownPeers: [...knownPeers],
    });
    running.push(started);
    knownPeers.push(`127.0.0.1:${started.settings.peers.port}`);
  }
  await waitUntil(async () => {
    const answers = running.map(({ settings }) => get(settings.ready.port, "/"));
    return (await Promise.all(answers)).every(({ status }) => status === 200);
  });
  if (size > 1) await pause(ACQUAINTED_MS);
  return {
    ports: running.map(({ settings }) => settings.callers.port),
    stop: async (index) => {
      await running[index]?.instance.close();
    },
    close: async () => {
      await Promise.all(running.map(({ instance }) => instance.close()));
    },
  };
}
