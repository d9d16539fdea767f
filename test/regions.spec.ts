/**
 * Requests that operators restrict to regions. Guards against a request, its prompt or its body that leaves them on any
 * way, and against a restricted request that waits for an endpoint which may not run it.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import * as E from "fp-ts/Either";
import { EngineStage } from "../src/fleet/entries";
import { combineRegions, Regions } from "../src/fleet/regions";
import { ClientWays } from "./harness/clientways";
import { addEndpoint, get, port, prepareEach, start, store } from "./harness/fixture";
import { createConfig, waitUntil } from "./harness/forward";
import { RawEndpoint, writeAnswer } from "./harness/raw";
import { createPeers, WayState } from "./harness/ways";

const REGIONS = { nizwa: "west", bahla: "west", izki: "east" };
const GENERATION = { "x-tokens": "300" };
const EAST = new Set(["east"]);

const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;

function runAsEngine(head: string, socket: Socket): void {
  if (head.startsWith("POST /hold")) {
    socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nh1");
    return;
  }
  if (head.includes("x-task: prefill")) {
    socket.write("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nkv7");
    return;
  }
  const id = /x-id: (\S+)/i.exec(head)?.[1] ?? "";
  socket.write(
    `HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-type: text/event-stream\r\n` +
      `transfer-encoding: chunked\r\n\r\n${chunk("id: 1\ndata: t1\n\n")}0\r\n\r\n`,
  );
}

const engineAt = (dataCentre: string, stage: EngineStage = EngineStage.decode) => ({
  service: "models",
  stage,
  dataCentre,
});

/** Publishes the configuration with the same restriction of all routes, and starts the instance. */
async function startRestricted(
  allowedRegions: readonly string[] | undefined,
  workspaceRegions?: readonly string[],
): Promise<void> {
  const { routes, workspaces } = createConfig(2);
  store.putConfig(
    createConfig(2, {
      routes: routes.map((route) => ({ ...route, allowedRegions })),
      workspaces: workspaces.map((each) => ({ ...each, allowedRegions: workspaceRegions })),
    }),
  );
  await start({ regions: REGIONS });
}

describe("the allowed regions of a request", () => {
  it("are those of its route and its workspace, both if both have some", () => {
    assert.equal(combineRegions(undefined, undefined), undefined);
    assert.equal(combineRegions([], undefined), undefined);
    assert.deepEqual(combineRegions(["a", "b"], undefined), new Set(["a", "b"]));
    assert.deepEqual(combineRegions(undefined, ["b"]), new Set(["b"]));
    assert.deepEqual(combineRegions(["a", "b"], ["b", "c"]), new Set(["b"]));
    assert.deepEqual(combineRegions(["a"], ["c"]), new Set());
  });

  it("leave out a data centre of unknown region", () => {
    const regions = new Regions(REGIONS, "nizwa", () => undefined);
    assert.ok(regions.isAllowed("izki", EAST));
    assert.ok(!regions.isAllowed("nizwa", EAST));
    assert.ok(!regions.isAllowed("unknown", EAST));
    assert.ok(!regions.isAllowed("constructor", EAST));
    assert.ok(regions.isAllowed("unknown", undefined));
  });

  it("admit as carriers peers there and in the region of the instance itself", () => {
    const peers: Record<string, string> = { p1: "bahla", p2: "izki", p3: "adam", p4: "nizwa" };
    const regions = new Regions(REGIONS, "nizwa", (peer) => peers[peer]);
    const carriers = ["p1", "p2", "p3", "p4", "p5"].filter((peer) => regions.canCarry(peer, EAST));
    assert.deepEqual(carriers, ["p1", "p2", "p4"]);
    const north = new Set(["north"]);
    assert.ok(!regions.canCarry("p2", north));
  });
});

describe("a restricted request", () => {
  prepareEach();

  it("goes to endpoints in an allowed region only, though others are nearer", async () => {
    const near = await addEndpoint("a", (head, socket) => {
      writeAnswer(socket, head, "near");
    });
    const unknown = await addEndpoint(
      "u",
      (head, socket) => {
        writeAnswer(socket, head, "unknown");
      },
      { dataCentre: "adam" },
    );
    await addEndpoint(
      "b",
      (head, socket) => {
        writeAnswer(socket, head, "far");
      },
      { dataCentre: "izki" },
    );
    await startRestricted(["east"]);
    for (let turn = 0; turn < 8; turn += 1) {
      assert.equal((await get(port, "/any/1")).body, "far");
      assert.equal((await get(port, "/once/1")).body, "far");
    }
    assert.deepEqual([near.requests.length, unknown.requests.length], [0, 0]);
  });

  it("is held to the regions of its workspace as well", async () => {
    const near = await addEndpoint("a", (head, socket) => {
      writeAnswer(socket, head, "near");
    });
    await addEndpoint(
      "b",
      (head, socket) => {
        writeAnswer(socket, head, "far");
      },
      { dataCentre: "izki" },
    );
    await startRestricted(["east", "west"], ["east"]);
    assert.equal((await get(port, "/keyed/1", { "x-key": "k1" })).body, "far");
    assert.equal(near.requests.length, 0);
    assert.equal((await get(port, "/any/1")).body, "near", "no workspace, no further rule");
  });

  it("is refused at once as not run without an endpoint in an allowed region", async () => {
    const endpoints = [
      await addEndpoint("a", (head, socket) => {
        writeAnswer(socket, head, "near");
      }),
      await addEndpoint("d", runAsEngine, engineAt("nizwa")),
    ];
    await startRestricted(["east"]);
    for (const path of ["/any/1", "/once/1", "/draft/1", "/summary/1"]) {
      const startedAt = performance.now();
      const response = await get(port, path, GENERATION);
      assert.equal(response.status, 503, path);
      assert.ok(Number(response.headers["x-retry-ms"]) > 0, path);
      assert.ok(performance.now() - startedAt < 200, `${path} waits`);
    }
    for (const endpoint of endpoints) assert.deepEqual(endpoint.requests, []);
  });

  it("is prefilled and decoded in allowed regions only", async () => {
    const outside = [
      await addEndpoint("p1", runAsEngine, engineAt("nizwa", EngineStage.prefill)),
      await addEndpoint("d1", runAsEngine, engineAt("nizwa")),
    ];
    const inside = [
      await addEndpoint("p2", runAsEngine, engineAt("izki", EngineStage.prefill)),
      await addEndpoint("d2", runAsEngine, engineAt("izki")),
    ];
    await startRestricted(["east"]);
    for (let turn = 0; turn < 4; turn += 1) {
      assert.equal((await get(port, "/draft/1", GENERATION)).status, 200);
    }
    for (const endpoint of outside) assert.deepEqual(endpoint.requests, []);
    for (const endpoint of inside) assert.ok(endpoint.requests.length >= 4);
  });

  it("keeps no unrestricted one from engines while it finds none", async () => {
    await addEndpoint("d1", runAsEngine, engineAt("nizwa"));
    const { routes } = createConfig(2);
    const restricted = routes.map((route) =>
      route.name === "draft" ? { ...route, allowedRegions: ["east"] } : route,
    );
    store.putConfig(createConfig(2, { routes: restricted }));
    await start({ regions: REGIONS });
    const refused = get(port, "/draft/1", GENERATION);
    assert.equal((await get(port, "/summary/1", GENERATION)).status, 200);
    assert.equal((await refused).status, 503);
  });
});

describe("a restricted request over peers", () => {
  it("uses only those that may carry it, on new and on kept connections", async () => {
    const endpoint = new RawEndpoint((head, socket) => {
      const id = /x-id: (\S+)/i.exec(head)?.[1] ?? "";
      socket.write(
        `HTTP/1.1 200 OK\r\nkeep-alive: timeout=5\r\ncontent-length: 0\r\nx-id: ${id}\r\n\r\n`,
      );
    });
    const address = await endpoint.listen();
    let peerDataCentre = "izki";
    // The endpoint is in nizwa, and the instance in a third region.
    const regions = new Regions({ ...REGIONS, adam: "north" }, "adam", () => peerDataCentre);
    const ways = new ClientWays(address, regions);
    ways.peers = createPeers(2);
    ways.direct = WayState.reset;
    const west = new Set(["west"]);
    assert.equal(await ways.exchange(), undefined, "an unrestricted one goes over a peer");
    await waitUntil(() => ways.peerSockets.length === 1);
    const failure = await ways.exchange(west);
    assert.ok(failure !== undefined && !failure.isSent);
    assert.deepEqual([ways.peerSockets.length, endpoint.requests.length], [1, 1]);
    peerDataCentre = "bahla";
    assert.equal(await ways.exchange(west), undefined);
    assert.equal(endpoint.requests.length, 2);
    peerDataCentre = "izki";
    const outside = await ways.send(AbortSignal.timeout(1000), EAST);
    assert.ok(E.isLeft(outside) && !outside.left.isSent, "the endpoint is outside its regions");
    assert.equal(endpoint.requests.length, 2);
    await ways.close();
    endpoint.close();
  });
});
