/**
 * Timers on peers in a process that stood still, while bytes came in time. Guards against a late reader that takes a
 * peer for silent: an answer given up, an endpoint passed over, a caller's connection closed under its request.
 */
import assert from "node:assert/strict";
import { after, describe, it } from "node:test";
import { setImmediate } from "node:timers/promises";
import * as E from "fp-ts/Either";
import { Client } from "undici";
import { ByteBudget } from "../src/core/bytebudget";
import { MonotonicClock, pause } from "../src/core/clock";
import { SILENT_LOGGER } from "../src/core/log";
import { AbortCause, DeadlineSignal } from "../src/forward/requests/abort";
import { HttpEndpointClient, type OpenResponse } from "../src/forward/endpoints/client";
import type { EndpointGate } from "../src/forward/limits/gate";
import { Verdict } from "../src/forward/requests/messages";
import { Meter } from "../src/forward/requests/meter";
import { Dialer } from "../src/forward/tunnels/dialer";
import { TcpOpener } from "../src/forward/tunnels/directopener";
import { PathTracker } from "../src/forward/tunnels/paths";
import { RelayEnd, relayEvents } from "../src/forward/generations/relay";
import { SilenceWatch } from "../src/core/silence";
import { ForwardServer } from "../src/forward/callers/server";
import { HttpServiceClient } from "../src/endpoint/service";
import { GrpcFleetTransport } from "../src/fleet/transport";
import { Beat, FleetService } from "../src/peer/gen/fleet";
import { createConnector } from "../src/store/connector";
import { createSender } from "../src/store/http";
import { createEntry, testCodecs } from "./harness/forward";
import { createEntryRun } from "./harness/entryrun";
import { allocatePort } from "./harness/ports";
import { SOUND_LINK } from "./harness/ways";
import {
  blockAfter,
  blockFor,
  type PeerStep,
  runCaller,
  startEndpoint,
  startGrpcEcho,
} from "./harness/standstill";

after(() => {
  setTimeout(() => process.exit(), 500).unref();
});

const clock = new MonotonicClock();
const TIMEOUT_MS = 150;
const BLOCK_MS = 400;
const HEAD = "HTTP/1.1 200 OK\r\nx-id: $ID\r\ntransfer-encoding: chunked\r\n\r\n";
const END = "0\r\n\r\n";

const createEvent = (id: number) => {
  const text = `id: ${id}\ndata: t${id}\n\n`;
  return `${text.length.toString(16)}\r\n${text}\r\n`;
};

/** Relays the stream of an endpoint, with a block of this process soon after its beginning. */
async function relayBlocked(steps: readonly PeerStep[]) {
  const endpoint = await startEndpoint(steps);
  const client = new Client(`http://127.0.0.1:${endpoint.port}`);
  const { statusCode, body } = await client.request({ path: "/", method: "GET" });
  const deadlineSignal = new DeadlineSignal(clock, undefined, new AbortController().signal);
  const ids: string[] = [];
  const response: OpenResponse = {
    head: { status: statusCode, headers: [], verdict: Verdict.answered, load: undefined },
    body,
    isFramed: true,
    openedAt: 0,
    peer: undefined,
    findEnder: () => "nobody",
    isBroken: () => false,
    containsCopy: () => false,
    isFilledUp: () => Promise.resolve(false),
    length: undefined,
    lease: new ByteBudget(clock).open("endpoint e"),
  };
  blockAfter(20, BLOCK_MS);
  const watch = new SilenceWatch({
    clock,
    logger: SILENT_LOGGER,
    timeoutMs: TIMEOUT_MS,
    finder: { find: () => Promise.resolve(true) },
    onSilent: () => undefined,
    onResumed: () => undefined,
  });
  const { end } = await relayEvents({
    response,
    deadlineSignal,
    replaced: watch.signal,
    lastId: undefined,
    follows: () => true,
    onEvents: (events) => {
      watch.onProgress();
      ids.push(...events.map(({ id }) => id ?? ""));
    },
  });
  watch.close();
  await client.destroy();
  await endpoint.close();
  return { end, ids };
}

describe("after the process stood still", () => {
  it("a stream is whole whose first event came in time", async () => {
    const { end, ids } = await relayBlocked([
      { afterMs: 0, text: HEAD },
      { afterMs: 100, text: createEvent(1) + END },
    ]);
    assert.deepEqual([end, ids], [RelayEnd.complete, ["1"]]);
  });

  it("a stream is whole whose engine went on writing in time", async () => {
    const { end, ids } = await relayBlocked([
      { afterMs: 0, text: HEAD + createEvent(1) },
      { afterMs: 100, text: createEvent(2) },
      { afterMs: 200, text: createEvent(3) },
      { afterMs: 300, text: createEvent(4) + END },
    ]);
    assert.deepEqual([end, ids], [RelayEnd.complete, ["1", "2", "3", "4"]]);
  });

  it("a stream is still silent whose engine wrote nothing", async () => {
    const { end, ids } = await relayBlocked([{ afterMs: 0, text: HEAD + createEvent(1) }]);
    assert.deepEqual([end, ids], [RelayEnd.replaced, ["1"]]);
  });

  it("an answer that came before its deadline is taken", async () => {
    const endpoint = await startEndpoint([{ afterMs: 100, text: HEAD + END }]);
    const client = new Client(`http://127.0.0.1:${endpoint.port}`);
    await client.connect({ path: "/" }).catch(() => undefined);
    const caller = new AbortController().signal;
    const signal = new DeadlineSignal(clock, clock.now() + TIMEOUT_MS, caller);
    blockAfter(20, BLOCK_MS);
    const status = await client
      .request({ path: "/", method: "GET", signal: signal.signal })
      .then(({ statusCode }) => statusCode)
      .catch((error: unknown) => String(error));
    signal.close();
    await client.destroy();
    await endpoint.close();
    assert.equal(status, 200);
  });

  it("a deadline ends a send that has no answer, and a caller that leaves ends it at once", async () => {
    const caller = new AbortController();
    const late = new DeadlineSignal(clock, clock.now() + 20, caller.signal);
    blockFor(50);
    await pause(30);
    // Sockets are read once between a timer that is late and the abort, also where `pause` is late in the same turn.
    await setImmediate();
    assert.deepEqual([late.cause, late.signal.aborted], [AbortCause.timeUp, true]);
    const left = new DeadlineSignal(clock, clock.now() + 20, caller.signal);
    caller.abort();
    assert.equal(left.cause, AbortCause.callerGone);
    left.close();
  });

  it("the answer to a call is taken that came before its timeout", async () => {
    const answer = HEAD + "2\r\n{}\r\n" + END;
    const endpoint = await startEndpoint([{ afterMs: 100, text: answer }]);
    const sender = createSender();
    const url = `http://127.0.0.1:${endpoint.port}/`;
    blockAfter(50, BLOCK_MS);
    const response = await sender.sendJson({ method: "GET", url, timeoutMs: TIMEOUT_MS })();
    await sender.close();
    await endpoint.close();
    assert.deepEqual(E.isRight(response) && response.right.body, {});
  });

  it("an endpoint's answer to a call of the router's own, such as for a hold, is taken likewise", async () => {
    const endpoint = await startEndpoint([{ afterMs: 100, text: HEAD + "2\r\nh1\r\n" + END }]);
    const gate = {
      isPaused: () => false,
      acquirePermits: () => Promise.resolve(true),
      onNotice: () => undefined,
      onLimitNotice: () => undefined,
      recordSend: () => undefined,
    } as unknown as EndpointGate;
    const host = {
      logger: SILENT_LOGGER,
      computeCheckMs: () => 60_000,
      computeMaxConnections: () => 8,
      onForeignAnswer: () => undefined,
    };
    const dialer = new Dialer({
      paths: new PathTracker(Math.random),
      direct: new TcpOpener(),
      tunnels: { open: () => Promise.resolve(E.left("silent")), close: () => undefined },
      links: SOUND_LINK,
      clock,
      logger: SILENT_LOGGER,
      listener: {
        onWayLost: () => undefined,
        onWayBack: () => undefined,
        onWayUnknown: () => undefined,
      },
      listPeers: () => [],
      findDataCentre: () => "nizwa",
      onConnection: () => undefined,
    });
    const client = new HttpEndpointClient(testCodecs.endpointCodec, gate, dialer, clock, host);
    const target = createEntry("d", `127.0.0.1:${endpoint.port}`);
    const call = testCodecs.endpointCodec.createReserveHoldCall(target, 10);
    blockAfter(50, BLOCK_MS);
    const response = await client.call(target, call, TIMEOUT_MS);
    await client.close();
    await endpoint.close();
    assert.equal(E.isRight(response) && response.right.body.toString(), "h1");
  });

  it("a connection is used that was established in time", async () => {
    const endpoint = await startEndpoint([]);
    const result = new Promise<unknown>((resolve) => {
      const options = { hostname: "127.0.0.1", port: String(endpoint.port), protocol: "http:" };
      createConnector(TIMEOUT_MS)(options, (error, socket) => {
        resolve(error);
        socket?.destroy();
      });
      // The socket connects in the first of these ticks.
      process.nextTick(() => {
        process.nextTick(() => {
          blockFor(BLOCK_MS);
        });
      });
    });
    const error = await result;
    await endpoint.close();
    assert.equal(error, null);
  });
});

describe("after the process stood still, the product's own interface", () => {
  const callOnce = async (steps: readonly PeerStep[]) => {
    const endpoint = await startEndpoint(steps);
    blockAfter(50, BLOCK_MS);
    const answer = await new HttpServiceClient().call(`http://127.0.0.1:${endpoint.port}`, {
      attempt: "a1",
      method: "POST",
      path: "/",
      headers: {},
      body: Buffer.from("{}"),
      timeoutMs: TIMEOUT_MS,
      signal: new AbortController().signal,
    })();
    await endpoint.close();
    return E.isRight(answer) ? answer.right.body.toString() : answer.left.message;
  };
  const head = HEAD.replace("x-id: $ID", "x-attempt-id: a1");

  it("takes a service's answer that came before its timeout", async () => {
    assert.equal(await callOnce([{ afterMs: 100, text: `${head}2\r\nok\r\n${END}` }]), "ok");
  });

  it("still gives up a service that does not answer", async () => {
    assert.match(await callOnce([]), /timeout/);
  });

  /** Runs a completion of one token whose deadline passes as the process stands still. */
  const completeBlocked = async (steps: readonly PeerStep[]) => {
    const endpoint = await startEndpoint(steps);
    const run = createEntryRun(`http://127.0.0.1:${endpoint.port}`, clock, TIMEOUT_MS);
    blockAfter(50, BLOCK_MS);
    const end = await run();
    await endpoint.close();
    return end;
  };

  it("finishes a completion whose last token came before its deadline", async () => {
    const events = 'data: 0 "t"\n\nevent: end\ndata: done\n\n';
    const chunk = `${events.length.toString(16)}\r\n${events}\r\n`;
    const end = await completeBlocked([{ afterMs: 100, text: head + chunk + END }]);
    assert.equal(end, "finished t");
  });

  it("still ends a completion at its deadline", async () => {
    assert.equal(await completeBlocked([{ afterMs: 0, text: head }]), "failed 504 ");
  });
});

describe("after the process stood still, a call to another instance", () => {
  const exchange = async (afterMs: number) => {
    const peer = await startGrpcEcho(FleetService.exchange.path, afterMs);
    const transport = new GrpcFleetTransport();
    const address = `127.0.0.1:${peer.port}`;
    const beat = Beat.fromPartial({ instance: "bahla-1" });
    // The call whose time runs out is sent over a connection that is open.
    await transport.exchange(address, beat, 2000);
    blockAfter(50, BLOCK_MS);
    const reply = await transport.exchange(address, beat, TIMEOUT_MS);
    transport.close();
    await peer.close();
    return reply?.instance;
  };

  it("takes a reply that came before its timeout", async () => {
    assert.equal(await exchange(100), "bahla-1");
  });

  it("is still given up if no reply came", async () => {
    assert.equal(await exchange(1000), undefined);
  });
});

describe("after the process stood still, a caller", () => {
  const listen = async (idleTimeoutMs: number, headersTimeoutMs: number) => {
    const answer = { status: 200, headers: [], verdict: Verdict.answered, load: undefined };
    const server = new ForwardServer(
      testCodecs.callerCodec,
      ({ head }) =>
        Promise.resolve(E.right({ head: answer, body: Buffer.from(head.id), isFramed: true })),
      clock,
      SILENT_LOGGER,
      new Meter(),
    );
    const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 1000, idleTimeoutMs, headersTimeoutMs };
    server.setLimits(limits);
    const port = allocatePort();
    await server.listen("127.0.0.1", port);
    return { server, port };
  };
  const createRequest = (id: string) => `GET /any/1 HTTP/1.1\r\nhost: test\r\nx-id: ${id}\r\n\r\n`;
  const blockSoon = () => {
    blockAfter(30, BLOCK_MS);
  };

  it("gets the answer to a request that came on a kept connection before its idle timeout", async () => {
    const { server, port } = await listen(TIMEOUT_MS, 3000);
    const next = [{ afterMs: 80, text: createRequest("second") }];
    const received = await runCaller(port, createRequest("first"), next, () => {
      blockAfter(30, 1500);
    });
    server.close();
    assert.match(received, /200 OK[^]*second/);
  });

  it("loses a kept connection that was idle for its timeout", async () => {
    const { server, port } = await listen(TIMEOUT_MS, 3000);
    const received = await runCaller(port, createRequest("first"), [], blockSoon);
    server.close();
    assert.equal(received, "closed ");
  });

  it("gets the answer to a request whose head came in time", async () => {
    const { server, port } = await listen(15_000, 600);
    const next = [
      { afterMs: 0, text: "GET /any/1 HTTP/1.1\r\n" },
      { afterMs: 300, text: "host: test\r\nx-id: slow\r\n\r\n" },
    ];
    const received = await runCaller(port, "", next, () => {
      blockAfter(100, 1300);
    });
    server.close();
    assert.match(received, /200 OK[^]*slow/);
  });

  it("gets 408 if its head did not come", async () => {
    const { server, port } = await listen(15_000, 300);
    const next = [{ afterMs: 0, text: "GET /any/1 HTTP/1.1\r\n" }];
    const received = await runCaller(port, "", next, blockSoon);
    server.close();
    assert.match(received, /^closed HTTP\/1.1 408 /);
  });
});
