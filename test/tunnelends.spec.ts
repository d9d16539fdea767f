/**
 * What the two sides of a tunnel record of its end. Guards against ends whose record does not tell who made them.
 */
import assert from "node:assert/strict";
import { once } from "node:events";
import type { Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { ConnectionEnder } from "../src/core/connectionender";
import type { EndpointSocket } from "../src/forward/tunnels/openers";
import { waitUntil } from "./harness/forward";
import { TunnelScene } from "./harness/tunnels";

describe("the record of the end of a tunnel", () => {
  const scene = new TunnelScene();
  afterEach(() => scene.close());

  /** Opens a tunnel on which the endpoint has answered a request. */
  async function openAnswered() {
    const pair = await scene.startPair();
    let endpoint: Socket | undefined;
    const address = await scene.listen((socket) => {
      endpoint = socket;
      socket.once("data", () => socket.write("answer"));
    });
    const tunnel = await pair.open(pair.list(address));
    tunnel.write("ask");
    await once(tunnel, "data");
    return { pair, tunnel, endpoint: endpoint ?? assert.fail() };
  }

  function readRecord({ pair, tunnel }: Awaited<ReturnType<typeof openAnswered>>) {
    const [{ reason, endedBy, takenBytes, relayedBytes } = assert.fail()] = pair.ends;
    return { reason, endedBy, takenBytes, relayedBytes, heard: (tunnel as EndpointSocket).endedBy };
  }

  const bytes = { takenBytes: 3, relayedBytes: 6 };

  it("names an endpoint that ended its connection", async () => {
    const opened = await openAnswered();
    opened.endpoint.end();
    await once(opened.tunnel.resume(), "end");
    await waitUntil(() => opened.pair.ends.length === 1);
    const heard = ConnectionEnder.endpoint;
    const expected = { reason: "endpoint end", endedBy: heard, ...bytes, heard };
    assert.deepEqual(readRecord(opened), expected);
  });

  it("names nobody where the endpoint reset its connection", async () => {
    const opened = await openAnswered();
    opened.endpoint.resetAndDestroy();
    await once(opened.tunnel.resume(), "error");
    await waitUntil(() => opened.pair.ends.length === 1);
    const expected = { reason: "broken", endedBy: ConnectionEnder.nobody, ...bytes };
    assert.deepEqual(readRecord(opened), { ...expected, heard: undefined });
  });

  it("names the peer that relays where it has stopped", async () => {
    const opened = await openAnswered();
    opened.pair.server.close();
    await once(opened.tunnel.resume(), "error");
    const heard = ConnectionEnder.relay;
    const expected = { reason: "stopped", endedBy: heard, ...bytes, heard };
    assert.deepEqual(readRecord(opened), expected);
  });

  it("names nobody where the side that asked has left", async () => {
    const opened = await openAnswered();
    opened.tunnel.destroy();
    await waitUntil(() => opened.pair.ends.length === 1);
    const expected = { reason: "peer gone", endedBy: ConnectionEnder.nobody, ...bytes };
    assert.deepEqual(readRecord(opened), { ...expected, heard: undefined });
  });
});
