/**
 * Sessions of a pool's scheduler: each instance that waits for grants has one. Guards against requests of other
 * instances that are dropped when one session ends.
 */
import assert from "node:assert/strict";
import { after, describe, it } from "node:test";
import { createBlackboard } from "../src/board/board";
import { RESERVING_POLICY } from "../src/control/policy";
import { PoolScheduler } from "../src/control/scheduler";
import { SchedulerClient } from "../src/control/schedulerclient";
import { ManualClock, MonotonicClock, pause } from "../src/core/clock";
import { type Endpoint, Role } from "../src/core/config/objects";
import { SILENT_LOGGER } from "../src/core/log";
import type { Metrics } from "../src/core/metrics";
import type { BookReply, BookRequest, Want } from "../src/peer/gen/peer";
import type { PeerTransport } from "../src/peer/transport";

const PATIENCE_MS = 1000;

function createWant(id: string): Want {
  return {
    id,
    workspace: "walls",
    class: "usual",
    model: "m",
    route: "draft",
    pool: "drafter",
    promptTokens: 10,
    outputTokens: 10,
    firstTokenMs: PATIENCE_MS,
    patienceMs: PATIENCE_MS,
    blocks: [],
    fingerprint: id,
    dataCentre: "nizwa",
    exclude: [],
    resumed: false,
    crashes: [],
  };
}

function createEngine(role: Role): Endpoint {
  return { url: "http://127.0.0.1:1", role, models: ["m"], dataCentre: "nizwa", pool: "drafter" };
}

const SILENT_METRICS = {
  gauge: () => undefined,
  count: () => undefined,
} as unknown as Metrics;

describe("a scheduler whose session with one instance ends", () => {
  const clock = new ManualClock(10_000);
  const board = createBlackboard();
  const state = board.config.read();
  const endpoints = { p: createEngine(Role.prefill), d: createEngine(Role.decode) };
  board.config.write({ ...state, configuration: { ...state.configuration, endpoints } });
  const scheduler = new PoolScheduler(
    board,
    clock,
    RESERVING_POLICY,
    SILENT_LOGGER,
    SILENT_METRICS,
    () => undefined,
  );
  after(() => {
    scheduler.close();
  });

  it("still answers the requests of other instances that wait for the same pool", async () => {
    const replies: BookReply[] = [];
    for (const name of ["ended", "open"]) {
      scheduler.openSession({ name, send: (reply) => replies.push(reply) });
      scheduler.onBookRequest(name, { wants: [createWant(`${name}-1`)], done: [] });
    }
    scheduler.closeSession("ended");
    clock.advance(PATIENCE_MS + 1);
    scheduler.start();
    await pause(300);
    const answered = replies.flatMap(({ refusals }) => refusals.map(({ id }) => id));
    assert.deepEqual(answered, ["open-1"]);
  });

  it("answers a request once that one session has sent twice", async () => {
    const replies: BookReply[] = [];
    scheduler.openSession({ name: "twice", send: (reply) => replies.push(reply) });
    const wants = [createWant("twice-1"), createWant("twice-1")];
    scheduler.onBookRequest("twice", { wants, done: [] });
    clock.advance(PATIENCE_MS + 1);
    await pause(300);
    const answered = replies.flatMap(({ refusals }) => refusals.map(({ id }) => id));
    assert.deepEqual(answered, ["twice-1"]);
  });

  it("answers a request on the session that sent it last, though the end of an earlier wait comes after it", async () => {
    const replies: BookReply[] = [];
    scheduler.openSession({ name: "before", send: () => undefined });
    scheduler.openSession({ name: "after", send: (reply) => replies.push(reply) });
    scheduler.onBookRequest("after", { wants: [createWant("again-1")], done: [] });
    const done = { id: "again-1", stage: "ended", fault: "cancelled", engine: "" };
    scheduler.onBookRequest("before", { wants: [], done: [done] });
    clock.advance(PATIENCE_MS + 1);
    await pause(300);
    const answered = replies.flatMap(({ refusals }) => refusals.map(({ id }) => id));
    assert.deepEqual(answered, ["again-1"]);
  });

  it("answers a request once that waits on two sessions, on the one that sent it last", async () => {
    const replies: string[] = [];
    const openSession = (name: string) => {
      scheduler.openSession({
        name,
        send: ({ refusals }) => replies.push(...refusals.map(({ id }) => `${name}: ${id}`)),
      });
      scheduler.onBookRequest(name, { wants: [createWant("moved-1")], done: [] });
    };
    openSession("first");
    openSession("second");
    scheduler.closeSession("first");
    clock.advance(PATIENCE_MS + 1);
    await pause(300);
    assert.deepEqual(replies, ["second: moved-1"]);
  });
});

describe("a request whose scheduler is silent", () => {
  it("is sent once to the scheduler that is next", async () => {
    const self = { instance: "n1", incarnation: "n1/1", dataCentre: "nizwa" };
    const board = createBlackboard();
    board.draining.write(true);
    const peers = ["n2", "n3"].map((instance) => ({
      instance,
      incarnation: `${instance}/1`,
      dataCentre: "nizwa",
    }));
    for (const peer of peers)
      board.members.set(peer.instance, { ...peer, deadline: Infinity, isDraining: false });
    board.platformList.write(
      peers.map(({ instance, dataCentre }) => {
        const rest = { kind: "instance", address: instance, state: "live" } as const;
        return { name: instance, dataCentre, ...rest };
      }),
    );
    const sent: string[] = [];
    const openBookStream = (address: string) => ({
      on: () => undefined,
      cancel: () => undefined,
      write: ({ wants }: BookRequest) => sent.push(...wants.map(() => address)),
    });
    const transport = { openBookStream } as unknown as PeerTransport;
    const client = new SchedulerClient(
      board,
      self,
      {} as PoolScheduler,
      transport,
      new MonotonicClock(),
      SILENT_LOGGER,
      SILENT_METRICS,
    );
    client.start();
    void client.requestGrant(createWant("w1"));
    await pause(1500);
    client.close();
    assert.deepEqual(sent.toSorted(), ["n2", "n3"]);
  });
});
