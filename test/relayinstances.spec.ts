/**
 * Instances that use relays over gRPC. Guards against streams that do not open, instances that stay in view after they
 * stopped, and a configuration that does not reach all.
 */
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { get } from "./harness/fixture";
import { createConfig, startInstance, waitUntil } from "./harness/forward";
import { MemoryStore } from "./harness/memory";
import { allocatePort } from "./harness/ports";

const SIZE = 6;

describe("instances above the size from which relays are used", () => {
  const store = new MemoryStore();
  const running: Awaited<ReturnType<typeof startInstance>>[] = [];

  before(async () => {
    store.configuration.put("config", Buffer.from(JSON.stringify(createConfig(1))));
    const knownPeers: string[] = [];
    for (let index = 1; index <= SIZE; index += 1) {
      const dataCentre = index % 2 === 0 ? "nizwa" : "sohar";
      const started = await startInstance(store, `${dataCentre}-${index}`, {
        dataCentre,
        metrics: { host: "127.0.0.1", port: allocatePort() },
        knownPeers: knownPeers.slice(0, 3),
        maxDirectInstances: 3,
        drainMs: 2000,
        configApplyMs: 2000,
        evacuationMs: 2000,
      });
      running.push(started);
      knownPeers.push(`127.0.0.1:${started.settings.peers.port}`);
    }
  });
  after(async () => {
    await Promise.all(running.map(({ instance }) => instance.close()));
    setTimeout(() => process.exit(), 500).unref();
  });

  const readGauge = async (index: number, name: string) => {
    const port = running[index]?.settings.metrics?.port ?? assert.fail();
    const { body } = await get(port, "/metrics");
    const match = new RegExp(`^gorsefold_${name} (.+)$`, "m").exec(body.toString());
    return Number(match?.[1]);
  };
  const readAll = (name: string, size = SIZE) =>
    Promise.all(Array.from({ length: size }, (_, index) => readGauge(index, name)));

  it("see each other, with two relays in each data centre", async () => {
    await waitUntil(async () => {
      const live = await readAll("live_instances");
      const roles = await readAll("relay_role");
      return (
        live.every((count) => count === SIZE) && roles.filter((role) => role === 1).length === 2
      );
    }, 10_000);
    const neighbours = await readAll("relay_neighbours");
    assert.ok(Math.max(...neighbours) <= SIZE - 1, neighbours.join(" "));
  });

  it("have a new configuration in force in time", async () => {
    store.configuration.put("config", Buffer.from(JSON.stringify(createConfig(2))));
    await waitUntil(async () => {
      const versions = await readAll("config_version");
      return versions.every((version) => version === 2);
    }, 3500);
  });

  it("know that one stopped", async () => {
    await running[SIZE - 1]?.instance.close();
    await waitUntil(async () => {
      const live = await readAll("live_instances", SIZE - 1);
      return live.every((count) => count === SIZE - 1);
    }, 4000);
  });
});
