/**
 * Requests for grants over real connections, written in the moment in which the stream to their scheduler is opened.
 * Guards against a request that its scheduler never gets while its replies go on.
 */
import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import { createServer } from "node:net";
import { describe, it } from "node:test";
import { Server, ServerCredentials } from "@grpc/grpc-js";
import { createBlackboard } from "../src/board/board";
import { serveBookStream } from "../src/control/bookstream";
import type { PoolScheduler } from "../src/control/scheduler";
import { SchedulerClient } from "../src/control/schedulerclient";
import { MonotonicClock, pause } from "../src/core/clock";
import { SILENT_LOGGER } from "../src/core/log";
import type { Metrics } from "../src/core/metrics";
import { type BookReply, BookRequest, PeerService, Want } from "../src/peer/gen/peer";
import type { BookServerStream } from "../src/peer/server";
import { GrpcPeerTransport } from "../src/peer/transport";

const SELF = { instance: "n1", incarnation: "n1/1", dataCentre: "nizwa" };
const PEER = { instance: "n2", incarnation: "n2/1", dataCentre: "nizwa" };
const HEARTBEAT_MS = 300;
const IDS = ["w1", "w2", "w3", "w4", "w5", "w6"];
/** A missing acknowledgement counts after a second; the check after it, and the connection to another scheduler. */
const MOVED_MS = 1500;
/** A refusal counts at once; the scheduler that refused is tried again 1.5 s later. */
const REFUSED_MS = 500;

/** What a scheduler got. */
class Received {
  readonly ids: string[] = [];

  readonly scheduler = {
    openSession: () => undefined,
    closeSession: () => undefined,
    onBookRequest: (_session: string, { wants }: BookRequest) => {
      this.ids.push(...wants.map(({ id }) => id));
    },
  } as unknown as PoolScheduler;
}

async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const address = server.address();
  await new Promise((resolve) => server.close(resolve));
  return address !== null && typeof address === "object" ? address.port : 0;
}

function startServer(port: number, book: (stream: BookServerStream) => void): Promise<Server> {
  const server = new Server();
  server.addService(PeerService, { book } as never);
  return new Promise((resolve, reject) => {
    const credentials = ServerCredentials.createInsecure();
    server.bindAsync(`127.0.0.1:${port}`, credentials, (error) => {
      if (error === null) resolve(server);
      else reject(error);
    });
  });
}

/** Starts a client whose own scheduler is used only if the peer can't be. */
function startClient(port: number, atSelf: Received) {
  const board = createBlackboard();
  board.draining.write(true);
  board.members.set(PEER.instance, { ...PEER, deadline: Infinity, isDraining: false });
  const entry = { kind: "instance", address: `127.0.0.1:${port}`, state: "live" } as const;
  board.platformList.write([{ name: PEER.instance, dataCentre: "nizwa", ...entry }]);
  const transport = new GrpcPeerTransport();
  const metrics = { count: () => undefined } as unknown as Metrics;
  const clock = new MonotonicClock();
  const { scheduler } = atSelf;
  const client = new SchedulerClient(
    board,
    SELF,
    scheduler,
    transport,
    clock,
    SILENT_LOGGER,
    metrics,
  );
  client.start();
  return {
    request: (id: string) =>
      void client.requestGrant(Want.fromPartial({ id, pool: "drafter", patienceMs: 5000 })),
    close: () => {
      client.close();
      transport.close();
    },
  };
}

describe("requests for grants written while the stream to their scheduler opens", () => {
  it("all arrive there once, over turns, and stay there as they are acknowledged", async () => {
    const atPeer = new Received();
    const atSelf = new Received();
    const port = await findFreePort();
    const server = await startServer(port, (stream) => {
      serveBookStream("session-1", stream, atPeer.scheduler, SILENT_LOGGER);
    });
    const client = startClient(port, atSelf);
    for (const id of IDS) {
      client.request(id);
      await pause(0);
    }
    await pause(2 * MOVED_MS);
    client.close();
    server.forceShutdown();
    assert.deepEqual([atPeer.ids, atSelf.ids], [IDS, []]);
  });

  it("all go to another scheduler if the connection is refused", async () => {
    const atSelf = new Received();
    const client = startClient(await findFreePort(), atSelf);
    for (const id of IDS) {
      client.request(id);
      await pause(0);
    }
    await pause(REFUSED_MS);
    client.close();
    assert.deepEqual(atSelf.ids, IDS);
  });

  it("go to another scheduler if only the first is read while replies go on", async () => {
    const atSelf = new Received();
    const port = await findFreePort();
    const timers: NodeJS.Timeout[] = [];
    const server = await startServer(port, (stream) => {
      stream.once("data", ({ wants }: BookRequest) => {
        stream.pause();
        const received = wants.map(({ id }) => id);
        const reply = { grants: [], refusals: [], received, acknowledges: true };
        timers.push(setInterval(() => stream.write(reply), HEARTBEAT_MS));
      });
      stream.on("error", () => undefined);
    });
    const client = startClient(port, atSelf);
    for (const id of IDS) {
      client.request(id);
      await pause(20);
    }
    await pause(2 * MOVED_MS);
    client.close();
    timers.forEach(clearInterval);
    server.forceShutdown();
    assert.deepEqual(atSelf.ids, IDS);
  });
});

describe("the replies on a stream of requests for grants", () => {
  it("name each request once, in the one after it came", async () => {
    const replies: BookReply[] = [];
    const write = (reply: BookReply) => replies.push(reply);
    const stream = Object.assign(new EventEmitter(), { write, end: () => undefined });
    const { scheduler } = new Received();
    serveBookStream("session-1", stream as unknown as BookServerStream, scheduler, SILENT_LOGGER);
    stream.emit("data", BookRequest.fromPartial({ wants: [{ id: "w1" }, { id: "w2" }] }));
    while (replies.length < 2) await pause(HEARTBEAT_MS / 10);
    stream.emit("end");
    const received = replies.map((reply) => reply.received);
    assert.deepEqual(received, [["w1", "w2"], []]);
    assert.ok(replies.every(({ acknowledges }) => acknowledges));
  });
});
