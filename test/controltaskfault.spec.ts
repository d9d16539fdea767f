/**
 * Tasks of the product's own interface that throw an unexpected error. Guards against one error that ends the process
 * with all requests that it has accepted, and against a task that has no further turn.
 */
import assert from "node:assert/strict";
import { after, afterEach, beforeEach, describe, it } from "node:test";
import * as E from "fp-ts/Either";
import { createBlackboard } from "../src/board/board";
import { Appender, AppendResult } from "../src/control/appender";
import { EndpointController } from "../src/control/endpointcontroller";
import { DutyElector } from "../src/control/elector";
import { HoldTracker } from "../src/control/holds";
import { ListPoller } from "../src/control/listpoller";
import { LoanQueue } from "../src/control/loanqueue";
import { Membership } from "../src/control/membership";
import { RESERVING_POLICY } from "../src/control/policy";
import { Prober } from "../src/control/prober";
import { PoolScheduler } from "../src/control/scheduler";
import { SchedulerClient } from "../src/control/schedulerclient";
import { type StreamHandler, StreamReader } from "../src/control/streamreader";
import { Sweeper } from "../src/control/sweeper";
import { MonotonicClock, pause } from "../src/core/clock";
import { type Endpoint, Role } from "../src/core/config/objects";
import { type LogFields, SILENT_LOGGER } from "../src/core/log";
import type { Metrics } from "../src/core/metrics";
import { type BookReply, HeartbeatMessage, PullReply, Want } from "../src/peer/gen/peer";
import { GrpcPeerTransport } from "../src/peer/transport";
import { StreamName } from "../src/store/log";

const FAULT = "a fault of the task";
const SELF = { instance: "nizwa-1", incarnation: "nizwa-1/1", dataCentre: "nizwa" };
const PEER = { instance: "nizwa-2", incarnation: "nizwa-2/1", dataCentre: "nizwa" };
const LISTED = { ...PEER, name: PEER.instance, kind: "instance", address: "n2:1", state: "live" };
const CLOCK = new MonotonicClock();
const METRICS = {
  count: () => undefined,
  gauge: () => undefined,
  timing: () => undefined,
} as unknown as Metrics;
const ENGINE: Endpoint = {
  url: "http://d1",
  role: Role.decode,
  models: ["m"],
  dataCentre: "nizwa",
  pool: "drafter",
};

/** Throws on its first call, and does as `call` after it. */
function failOnce<A extends readonly unknown[], R>(call: (...args: A) => R): (...args: A) => R {
  let hasFailed = false;
  return (...args) => {
    if (hasFailed) return call(...args);
    hasFailed = true;
    throw new Error(FAULT);
  };
}

const faults: unknown[] = [];
const errors: LogFields[] = [];
const logger = {
  ...SILENT_LOGGER,
  error: (_event: string, fields: LogFields) => void errors.push(fields),
};
let components: { close(): void }[] = [];

function onFault(error: unknown): void {
  faults.push(error);
}

function start<C extends { start(): void; close(): void }>(component: C): C {
  components.push(component);
  component.start();
  return component;
}

/** Creates a blackboard that lists one peer and configures one engine. */
function createBoard() {
  const board = createBlackboard();
  const state = board.config.read();
  const configuration = { ...state.configuration, endpoints: { d1: ENGINE } };
  board.config.write({ ...state, version: 1, configuration });
  board.platformList.write([LISTED] as ReturnType<typeof board.platformList.read>);
  return board;
}

/** Stands for a component of which only some parts are used. */
function stub<T>(parts: object): T {
  return parts as unknown as T;
}

beforeEach(() => {
  faults.length = 0;
  errors.length = 0;
  process.on("unhandledRejection", onFault);
  process.on("uncaughtException", onFault);
});

afterEach(() => {
  for (const component of components) component.close();
  components = [];
  process.off("unhandledRejection", onFault);
  process.off("uncaughtException", onFault);
});

after(() => {
  setTimeout(() => process.exit(), 500).unref();
});

/** Asserts that a task went on after its fault, which was logged and reached nothing else. */
async function assertGoesOn(hasGoneOn: () => boolean): Promise<void> {
  const deadline = CLOCK.now() + 3000;
  while (!hasGoneOn() && CLOCK.now() < deadline) await pause(10);
  assert.deepEqual(faults, []);
  assert.equal(hasGoneOn(), true, "has no further turn");
  assert.ok(errors.length > 0, "no error was logged");
}

describe("a task of the own interface that throws", () => {
  it("reads the list again", async () => {
    const board = createBoard();
    board.platformList.write([]);
    const read = failOnce(() => () => Promise.resolve(E.right([LISTED])));
    start(new ListPoller(board, stub({ read }), CLOCK, logger));
    await assertGoesOn(() => board.platformList.read().length === 1);
  });

  const createPages = () => {
    let reads = 0;
    const read = () => async () => {
      reads += 1;
      await pause(5);
      return E.right({ records: [], next: 0, earliest: 0, end: 0 });
    };
    return { read, countReads: () => reads };
  };

  it("reads the log again after a fault of the read", async () => {
    let pages = 0;
    const handler: StreamHandler = { next: 0, onPage: () => (pages += 1) };
    const read = failOnce(createPages().read);
    start(new StreamReader(stub({ read }), StreamName.control, handler, CLOCK, logger));
    await assertGoesOn(() => pages > 1);
  });

  it("reads the log again after a fault with a page", async () => {
    let pages = 0;
    const handler: StreamHandler = { next: 0, onPage: failOnce(() => (pages += 1)) };
    const log = createPages();
    start(new StreamReader(stub(log), StreamName.control, handler, CLOCK, logger));
    await assertGoesOn(() => pages > 1);
  });

  it("answers an append of which nothing is known, and appends again", async () => {
    const append = failOnce(() => () => Promise.resolve(E.right(undefined)));
    const appender = new Appender(stub({ append }), StreamName.control, logger);
    const results: AppendResult[] = [];
    for (const id of ["a", "b"])
      void appender.append({ id }).then((result) => results.push(result));
    await assertGoesOn(() => results.length === 2);
    assert.deepEqual(results, [AppendResult.unknown, AppendResult.sent]);
  });

  it("releases holds again", async () => {
    const releaseHolds = failOnce(() => () => Promise.resolve(E.right(undefined)));
    const holds = start(new HoldTracker(stub({ releaseHolds }), CLOCK, METRICS, logger));
    holds.track("h1", "http://d1", CLOCK.now() + 10_000);
    holds.release("h1");
    await assertGoesOn(() => holds.size === 0);
  });

  const createMembership = (
    heartbeat: () => HeartbeatMessage,
    pull: () => Promise<E.Either<never, PullReply>>,
    applyPullReply: () => void,
  ) => {
    const transport = stub<GrpcPeerTransport>({
      heartbeat: () => () => Promise.resolve(E.right(heartbeat())),
      pull: () => pull,
    });
    const control = { next: 1, recordCaughtUp: () => undefined, applyPullReply };
    return start(new Membership(createBoard(), SELF, transport, control, CLOCK, logger));
  };

  it("sends the next heartbeat, and counts the first round as done", async () => {
    const heartbeat = failOnce(() => HeartbeatMessage.fromPartial({ from: PEER, controlNext: 1 }));
    const pull = () => Promise.resolve(E.right(PullReply.fromPartial({})));
    const membership = createMembership(heartbeat, pull, () => undefined);
    await assertGoesOn(() => membership.isCaughtUp);
  });

  it("pulls records again", async () => {
    let pulls = 0;
    const heartbeat = () => HeartbeatMessage.fromPartial({ from: PEER, controlNext: 5 });
    const pull = () => Promise.resolve(E.right(PullReply.fromPartial({})));
    const apply = failOnce(() => (pulls += 1));
    createMembership(heartbeat, pull, apply);
    await assertGoesOn(() => pulls > 0);
  });

  it("probes an endpoint again", async () => {
    const report = { name: "d1", incarnation: "i1", role: Role.decode, models: ["m"], slots: 1 };
    const more = { holds: [], queuedTokens: 0, draining: false, fence: 0, evicted: [] };
    const fetchReport = failOnce(() => () => Promise.resolve(E.right({ ...report, ...more })));
    const board = createBoard();
    const owned = stub<never>({ list: () => new Set(["d1"]) });
    const no = () => false;
    const pools = () => new Set<string>();
    const engines = stub<never>({ fetchReport });
    const prober = start(new Prober(board, SELF, engines, CLOCK, owned, pools, no, logger));
    let reports = 0;
    prober.onReport(failOnce(() => (reports += 1)));
    await assertGoesOn(() => reports > 0);
    assert.equal(errors.length, 2);
  });

  it("sweeps holds again", async () => {
    let sweeps = 0;
    const releaseHolds = failOnce(() => () => {
      sweeps += 1;
      return Promise.resolve(E.right(undefined));
    });
    const board = createBoard();
    board.endpoints.set("d1", stub({ holds: ["gone-1/1:1"] }));
    const owned = stub<never>({ list: () => new Set(["d1"]) });
    const engines = stub<never>({ releaseHolds });
    start(new Sweeper(board, SELF, engines, CLOCK, owned, logger));
    await assertGoesOn(() => sweeps > 0);
  });

  it("checks duties again", async () => {
    let appends = 0;
    const append = () => () => {
      appends += 1;
      return Promise.resolve(E.right(undefined));
    };
    const ids = stub<never>({ next: failOnce(() => "r1") });
    start(new DutyElector(createBoard(), SELF, stub({ append }), CLOCK, ids, logger));
    await assertGoesOn(() => appends > 0);
  });

  it("checks endpoints again", async () => {
    let checks = 0;
    const readFencingToken = failOnce(() => {
      checks += 1;
      return undefined;
    });
    const elector = stub<never>({ readFencingToken });
    start(new EndpointController(createBoard(), SELF, elector, stub({}), CLOCK, logger));
    await assertGoesOn(() => checks > 0);
  });

  it("schedules again", async () => {
    let ticks = 0;
    const metrics = stub<Metrics>({ gauge: failOnce(() => (ticks += 1)) });
    const ignore = () => undefined;
    start(new PoolScheduler(createBoard(), CLOCK, RESERVING_POLICY, logger, metrics, ignore));
    await assertGoesOn(() => ticks > 0);
  });

  it("asks another scheduler if one can't be sent anything", async () => {
    const board = createBoard();
    board.draining.write(true);
    board.members.set(PEER.instance, { ...PEER, deadline: Infinity, isDraining: false });
    const wants: string[] = [];
    const scheduler = stub<PoolScheduler>({
      openSession: () => undefined,
      closeSession: () => undefined,
      onBookRequest: (_session: string, request: { wants: Want[] }) => {
        wants.push(...request.wants.map(({ id }) => id));
      },
    });
    const openBookStream = () => {
      throw new Error(FAULT);
    };
    const transport = stub<GrpcPeerTransport>({ openBookStream });
    const client = start(
      new SchedulerClient(board, SELF, scheduler, transport, CLOCK, logger, METRICS),
    );
    void client.requestGrant(Want.fromPartial({ id: "w1", pool: "drafter" }));
    await assertGoesOn(() => wants.includes("w1"));
  });

  it("refuses alone the request for engines that it can't handle", async () => {
    const replies: BookReply[] = [];
    const board = createBoard();
    const onNewPool = failOnce(() => undefined);
    const scheduler = new PoolScheduler(board, CLOCK, RESERVING_POLICY, logger, METRICS, onNewPool);
    const { configuration } = board.config.read();
    const endpoints = { ...configuration.endpoints, p1: { ...ENGINE, role: Role.prefill } };
    board.config.write({ ...board.config.read(), configuration: { ...configuration, endpoints } });
    scheduler.openSession({ name: "s1", send: (reply) => replies.push(reply) });
    const wants = ["w1", "w2"].map((id) =>
      Want.fromPartial({ id, pool: "drafter", model: "m", patienceMs: 1000 }),
    );
    scheduler.onBookRequest("s1", { wants, done: [] });
    await assertGoesOn(() => replies.length > 0);
    const refused = replies.flatMap(({ refusals }) => refusals.map(({ id }) => id));
    assert.deepEqual(refused, ["w1"]);
  });

  it("lends nothing in place of a call that throws, and calls the lender again", async () => {
    const call = failOnce(() => Promise.resolve([{ tokens: 5 }]));
    const queue = new LoanQueue<{ tokens: number }>(CLOCK, logger, call);
    const loans: (number | undefined)[] = [];
    const request = (id: string) => {
      const deadline = CLOCK.now() + 1000;
      void queue
        .request({ id, lender: "n2", workspace: "w", tokens: 5, deadline })
        .then((loan) => loans.push(loan?.tokens));
    };
    request("l1");
    await pause(20);
    request("l2");
    await assertGoesOn(() => loans.length === 2);
    assert.deepEqual(loans, [undefined, 5]);
  });

  it("gets an error for a peer whose address is empty", async () => {
    const transport = new GrpcPeerTransport();
    const reply = await transport.readStatus("", 100)();
    transport.close();
    assert.equal(E.isLeft(reply), true);
    assert.deepEqual(faults, []);
  });
});
