/**
 * Answers with neither a length nor chunks of which it takes long to find out who ended them. Guards against one that is
 * taken for whole, or waited for past all bounds, since its deadline passes or another send is answered meanwhile.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { after, describe, it } from "node:test";
import { pause } from "../src/core/clock";
import { EngineStage } from "../src/fleet/entries";
import type { EndpointCall } from "../src/forward/requests";
import type { OverdueRequests } from "../src/forward/callers/overdue";
import { OVERDUE_MS } from "../src/forward/callers/overdue";
import { ConnectState, type Dialer } from "../src/forward/tunnels";
import { addEndpoint, get, instance, port, prepareEach, start } from "./harness/fixture";
import { testCodecs } from "./harness/forward";
import { writeAnswer } from "./harness/raw";

prepareEach();

const PATIENCE_MS = 500;
/** When an answer ends that is still taken, in milliseconds after the deadline: amid the grace of 120 ms. */
const LATE_MS = 60;
const PROBE_MS = 1000;
const DECODE = { service: "models", stage: EngineStage.decode };
const WHOLE = "all of it";
const event = (id: number) => `id: ${id}\ndata: t${id}\n\n`;

interface InstanceParts {
  readonly callerServer: { readonly overdue: OverdueRequests };
  readonly parts: { readonly context: { readonly dialer: Dialer } };
}

const open = (head: string) =>
  `HTTP/1.1 200 OK\r\nx-id: ${/x-id: (\S+)/i.exec(head)?.[1] ?? ""}\r\nconnection: close\r\n\r\n`;

/** Does something amid the grace of each request that is admitted from now on. */
function onGrace(act: () => void): void {
  const { overdue } = (instance as unknown as InstanceParts).callerServer;
  const begin = overdue.begin.bind(overdue);
  overdue.begin = (...watch) => {
    const watched = begin(...watch);
    const setDeadline = watched.setDeadline.bind(watched);
    watched.setDeadline = (deadline) => {
      setDeadline(deadline);
      setTimeout(act, deadline + LATE_MS - performance.now());
    };
    return watched;
  };
}

/** Has each probe take long, and requests checked often for being overdue. */
function slowDown(state: ConnectState): () => void {
  const { callerServer, parts } = instance as unknown as InstanceParts;
  parts.context.dialer.probe = () => pause(PROBE_MS).then(() => state);
  const checks = setInterval(() => {
    callerServer.overdue.check();
  }, 25);
  return () => {
    clearInterval(checks);
  };
}

async function ask(path: string, headers: Record<string, string>) {
  const startedAt = performance.now();
  const response = await get(port, path, headers);
  return { ...response, tookMs: performance.now() - startedAt };
}

describe("a service answer whose end is asked after while its deadline passes", () => {
  const play = async (state: ConnectState) => {
    let end: () => void = () => assert.fail("the endpoint was not asked in time");
    const endpoint = await addEndpoint("a", (head, socket) => {
      socket.write(open(head));
      end = () => socket.end(WHOLE);
    });
    await start();
    onGrace(() => {
      end();
    });
    const close = slowDown(state);
    const response = await ask("/once/1", { "x-patience": String(PATIENCE_MS) });
    close();
    assert.equal(endpoint.requests.length, 1);
    return response;
  };

  it("is whole if its endpoint is up", async () => {
    const { status, body, isComplete } = await play(ConnectState.up);
    assert.deepEqual([status, body, isComplete], [200, WHOLE, true]);
  });

  it("is a 504 in time if its endpoint is gone", async () => {
    const { status, body, tookMs } = await play(ConnectState.refused);
    assert.equal(status, 504);
    assert.doesNotMatch(body, /all of/);
    assert.ok(tookMs < PATIENCE_MS + OVERDUE_MS, `${tookMs} ms`);
  });
});

describe("a service answer whose end is asked after while another send is answered", () => {
  for (const state of [ConnectState.up, ConnectState.refused]) {
    it(`gives way to the other answer, which comes without a wait: ${state}`, async () => {
      let count = 0;
      const inTurn = (head: string, socket: Socket) => {
        count += 1;
        if (count === 1) socket.end(open(head) + WHOLE);
        else writeAnswer(socket, head, "the other");
      };
      for (const id of ["a", "b"]) await addEndpoint(id, inTurn);
      await start();
      const close = slowDown(state);
      const { status, body, tookMs } = await ask("/any/1", { "x-patience": "1000" });
      await pause(PROBE_MS);
      close();
      assert.deepEqual([status, body, count], [200, "the other", 2]);
      assert.ok(tookMs < PROBE_MS, `${tookMs} ms`);
    });
  }
});

describe("a stream whose engine falls silent just after its end", () => {
  const codec = testCodecs.endpointCodec;
  const { createReportCall } = codec;
  after(() => {
    codec.createReportCall = createReportCall;
  });

  it("is cut before it counts as overdue, if its deadline has passed and connects hang", async () => {
    codec.createReportCall = (): EndpointCall => ({
      method: "GET",
      path: "/report",
      headers: [],
      body: undefined,
    });
    let end: () => void = () => assert.fail("the engine was not asked in time");
    const answer = (head: string, socket: Socket) => {
      if (head.startsWith("GET /report")) return;
      if (head.startsWith("POST /hold")) {
        writeAnswer(socket, head, "h1");
        return;
      }
      socket.write(open(head) + event(1));
      end = () => socket.end(event(2));
    };
    await addEndpoint("d1", answer, DECODE);
    await start();
    onGrace(() => {
      end();
    });
    const close = slowDown(ConnectState.unreachable);
    const headers = { "x-tokens": "30", "x-patience": String(PATIENCE_MS) };
    const { body, isComplete, tookMs } = await ask("/draft/1", headers);
    close();
    assert.deepEqual([body, isComplete], [event(1) + event(2), false]);
    assert.ok(tookMs < PATIENCE_MS + OVERDUE_MS, `${tookMs} ms`);
  });
});
