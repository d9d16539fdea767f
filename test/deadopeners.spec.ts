/**
 * Ends of streams between instances: with and without a word of the instance that ended them, and by openers of a build
 * that says none. Guards against a process that died and counts as one that ended its stream itself.
 */
import assert from "node:assert/strict";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { after, describe, it } from "node:test";
import { Client, credentials, Server, ServerCredentials } from "@grpc/grpc-js";
import { pause } from "../src/core/clock";
import {
  openRelayStream,
  RELAY_DEFINITION,
  type RelayCall,
  serveRelayStream,
} from "../src/fleet/relay/grpc";
import type { RelayStream } from "../src/fleet/relay/transport";
import { type OlderSide, RelayFleet } from "./harness/relayfleet";

const OPEN_MS = 400;
const FLEET_SIZE = 24;
const SETTLE_MS = 6000;
const STEPS = 80;
const STEP_MS = 250;

/**
 * Serves streams; collects what is told of their ends.
 *
 * @param served - collects the streams
 */
async function serve(
  told: boolean[],
  served: RelayStream[] = [],
): Promise<{ readonly server: Server; readonly port: number }> {
  const server = new Server();
  const listener = {
    onMessage: () => undefined,
    onClosed: (isGraceful: boolean) => void told.push(isGraceful),
  };
  const relay = (call: RelayCall) => {
    serveRelayStream(call, (stream) => {
      served.push(stream);
      return listener as never;
    });
  };
  server.addService({ relay: RELAY_DEFINITION }, { relay });
  const port = await new Promise<number>((resolve) => {
    server.bindAsync("127.0.0.1:0", ServerCredentials.createInsecure(), (_error, bound) => {
      resolve(bound);
    });
  });
  return { server, port };
}

// Sessions of gRPC stay open behind a proxy that was cut.
after(() => {
  setTimeout(() => process.exit(), 500).unref();
});

describe("a stream between instances whose connection ends without a word of its opener", () => {
  const ENDS = {
    "by FIN, as the machine of a process that dies ends it": (socket: Socket) => socket.end(),
    "by RST": (socket: Socket) => socket.resetAndDestroy(),
  } as const;

  for (const [name, end] of Object.entries(ENDS)) {
    it(`is not taken for one that its opener ended: ${name}`, async () => {
      const told: boolean[] = [];
      const { server, port } = await serve(told);
      const links: Socket[] = [];
      const proxy = createServer((client) => {
        const link = connect(port, "127.0.0.1");
        links.push(link);
        for (const socket of [client, link]) socket.on("error", () => undefined);
        client.pipe(link, { end: false });
        link.pipe(client, { end: false });
      });
      await new Promise<void>((resolve) => proxy.listen(0, "127.0.0.1", resolve));
      const { port: at } = proxy.address() as AddressInfo;
      const quiet = { onMessage: () => undefined, onClosed: () => undefined };
      const stream = openRelayStream(`127.0.0.1:${at}`, quiet as never);
      stream?.send(Buffer.from([]));
      await pause(OPEN_MS);
      for (const link of links) end(link);
      await pause(OPEN_MS);
      stream?.close();
      server.forceShutdown();
      proxy.close();
      assert.deepEqual(told, [false]);
    });
  }
});

/** A stream, with what each side was told of its end. */
async function openPair() {
  const told: boolean[] = [];
  const toldOpener: boolean[] = [];
  const served: RelayStream[] = [];
  const { server, port } = await serve(told, served);
  const onClosed = (isGraceful: boolean) => void toldOpener.push(isGraceful);
  const listener = { onMessage: () => undefined, onClosed };
  const stream = openRelayStream(`127.0.0.1:${port}`, listener as never) ?? assert.fail();
  stream.send(Buffer.from([]));
  await pause(OPEN_MS);
  return { told, toldOpener, stream, served: served[0] ?? assert.fail(), server, port };
}

describe("a stream between instances that one side ends by its own word", () => {
  it("is told as ended by its opener", async () => {
    const { told, toldOpener, stream, server } = await openPair();
    stream.close();
    await pause(OPEN_MS);
    server.forceShutdown();
    assert.deepEqual([told, toldOpener], [[true], []]);
  });

  it("is told as ended by the side that serves it", async () => {
    const { told, toldOpener, served, server } = await openPair();
    served.close();
    await pause(OPEN_MS);
    server.forceShutdown();
    assert.deepEqual([told, toldOpener], [[], [true]]);
  });

  it("is not told as ended by the side that serves it if that one breaks off", async () => {
    const { toldOpener, server } = await openPair();
    server.forceShutdown();
    await pause(OPEN_MS);
    assert.deepEqual(toldOpener, [false]);
  });
});

describe("a stream between instances of which one side knows no goodbye", () => {
  it("counts as broken off if the opener ends it, as a death looks the same", async () => {
    const told: boolean[] = [];
    const { server, port } = await serve(told);
    const client = new Client(`127.0.0.1:${port}`, credentials.createInsecure());
    const call = client.makeBidiStreamRequest(
      RELAY_DEFINITION.path,
      RELAY_DEFINITION.requestSerialize,
      RELAY_DEFINITION.responseDeserialize,
    );
    call.on("error", () => undefined).resume();
    call.write(Buffer.from([]));
    await pause(OPEN_MS);
    call.end();
    await pause(OPEN_MS);
    client.close();
    server.forceShutdown();
    assert.deepEqual(told, [false]);
  });

  const SIDES: readonly OlderSide[] = ["none", "opener", "server"];
  for (const side of SIDES) {
    it(`costs no live instance its place, older side: ${side}`, async () => {
      const fleet = new RelayFleet(FLEET_SIZE, 2, 58);
      fleet.olderSide = side;
      await fleet.runFor(SETTLE_MS);
      const relay = fleet.listRelays("dc0")[0] ?? assert.fail("no relay");
      const others = fleet.live.filter((node) => node !== relay);
      fleet.kill(relay);
      for (let step = 0; step < STEPS; step += 1) {
        await fleet.runFor(STEP_MS);
        if (step === STEPS / 2) fleet.start(relay);
        for (const { members, name } of others) {
          const seen = new Set(members.listLive(fleet.now));
          const missing = others.filter((other) => !seen.has(other.name));
          assert.deepEqual(missing, [], `at ${name}, ${step}`);
        }
      }
      assert.ok(fleet.closedByOpener > 0, "no stream was closed by its opener");
    });
  }
});
