/**
 * Turns of timers and calls that nobody waits for, where one throws an unexpected error. Guards against one error that ends
 * the process with all requests that it has read.
 */
import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import * as E from "fp-ts/Either";
import { ManualClock } from "../src/core/clock";
import { type LogFields, SILENT_LOGGER } from "../src/core/log";
import { HeartbeatExchanger } from "../src/fleet/heartbeat";
import { Joiner } from "../src/fleet/joiner";
import { Connection } from "../src/forward/endpoints/connection";
import { type ClientHost, HttpEndpointClient } from "../src/forward/endpoints/client";
import { Releaser } from "../src/forward/endpoints/releaser";
import { HoldCaller } from "../src/forward/engines/holdcalls";
import { StageRebalancer } from "../src/forward/engines/rebalancer";
import { ReservationQueue } from "../src/forward/engines/reservations";
import { Announcer } from "../src/forward/limits/announcer";
import { createRelayNetwork } from "../src/forward/relaying";
import { Dialer } from "../src/forward/tunnels/dialer";
import { DialRun } from "../src/forward/tunnels/dialrun";
import { createEntry, testCodecs } from "./harness/forward";

const FAULT = "a fault of this test";
const TARGET = createEntry("d1", "127.0.0.1:1");
/** Longer than any timer of the tasks here. */
const LONG_MS = 60_000;

type Part = Record<string, (...args: unknown[]) => unknown>;
/** Anything that takes parts which this test doesn't have. */
type Loose = new (...args: unknown[]) => Part;

let faults: unknown[] = [];
let errors: LogFields[] = [];
let calls = 0;
const clock = new ManualClock(0);
const logger = {
  ...SILENT_LOGGER,
  error: (_event: string, fields: LogFields) => void errors.push(fields),
};
const onFault = (error: unknown) => void faults.push(error);
const fail = () => {
  calls += 1;
  throw new Error(FAULT);
};
const failLater = () => {
  calls += 1;
  return Promise.reject(new Error(FAULT));
};

function create(Class: unknown, ...args: unknown[]): Part {
  return new (Class as Loose)(...args);
}

/** Waits for promises, and for the report of rejections that nobody handled. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 5; turn += 1) await new Promise((resolve) => setImmediate(resolve));
}

/** Passes time in a way that one turn that throws shows as a fault. */
async function pass(): Promise<void> {
  try {
    mock.timers.tick(LONG_MS);
  } catch (error) {
    onFault(error);
  }
  await settle();
}

describe("a turn that nobody waits for and that throws", () => {
  beforeEach(() => {
    [faults, errors, calls] = [[], [], 0];
    mock.timers.enable({ apis: ["setTimeout", "setInterval"] });
    process.on("unhandledRejection", onFault);
    process.on("uncaughtException", onFault);
  });

  afterEach(async () => {
    await settle();
    process.off("unhandledRejection", onFault);
    process.off("uncaughtException", onFault);
    mock.timers.reset();
  });

  const createClient = (): Part =>
    create(HttpEndpointClient, testCodecs.endpointCodec, {}, { checkDirect: fail }, clock, {
      computeCheckMs: () => 100,
      logger,
    } as unknown as ClientHost);
  const createDialer = (parts: object = {}) =>
    create(Dialer, {
      clock,
      logger,
      listener: { onWayLost: () => undefined },
      paths: { readFailure: () => "", isDirectLost: () => false },
      ...parts,
    });

  const turns: Readonly<Record<string, () => unknown>> = {
    "an announcement at once": () => create(Announcer, clock, fail, logger)["report"]?.(),
    "an announcement after another": () => {
      const send = () => (calls > 0 ? fail() : (calls += 1));
      const announcer = create(Announcer, clock, send, logger);
      for (let turn = 0; turn < 2; turn += 1) announcer["report"]?.();
    },
    "an urgent flush of a relay": () => {
      const network = createRelayNetwork(
        { settings: {}, clock, logger, self: { instance: "n1" } } as never,
        { members: {}, transport: {}, watcher: {} } as never,
        {} as never,
        () => false,
      ) as unknown as { readonly parts: Part };
      network.parts["schedule"]?.(1, fail);
    },
    "news to peers": () => {
      const relay = { isActive: true, announce: fail };
      create(HeartbeatExchanger, {}, {}, {}, {}, clock, logger, relay)["sendHeartbeats"]?.();
    },
    "a fetch beside a slow one": () => {
      const transport = { fetch: () => new Promise(() => undefined) };
      const host = { createFetchRequest: () => ({}) };
      const exchanger = create(HeartbeatExchanger, {}, {}, transport, host, clock, logger);
      void exchanger["fetch"]?.("n2:1");
      exchanger["startFetch"] = fail;
    },
    "the first join, and a refresh of the members": () => {
      const policy = { mayWait: true, hasRelays: fail };
      const join = [{}, {}, {}, clock, {}, logger, fail, policy];
      create(Joiner, ...join)["start"]?.();
    },
    "a join after the store was restored": () => {
      const joiner = create(Joiner, {}, {}, {}, clock, {}, logger, fail, {
        hasRelays: () => false,
      });
      joiner["join"] = failLater;
      joiner["onStoreRestored"]?.();
    },
    "the removal of closed pools": () => (createClient()["removeClosed"] = fail),
    "the check of a silent endpoint": () =>
      createClient()["scheduleCheck"]?.(TARGET, { isAlive: true, peer: undefined }),
    "a try of a lost way": () => {
      const dialer = createDialer();
      dialer["tryLost"] = fail;
      dialer["reportLost"]?.(TARGET, 0);
    },
    "the check of a direct way": () => {
      const dialer = createDialer({ direct: { open: failLater } });
      dialer["takeCheck"] = () => true;
      dialer["checkDirect"]?.(TARGET);
    },
    "the check of a way that broke early": () => {
      const dialer = createDialer();
      dialer["onDirectFailure"] = fail;
      const socket = Object.assign(new EventEmitter(), { bytesRead: 0 });
      dialer["trackEarlyBreak"]?.(TARGET, socket);
      socket.emit("error", Object.assign(new Error("reset"), { errno: -104 }));
    },
    "a check of the stages": () => create(StageRebalancer, { listLive: fail, logger })["start"]?.(),
    "the queue's timer": () => {
      const queue = create(ReservationQueue, { logger, clock }, {});
      queue["dispatchWaiting"] = fail;
      (queue["queue"] as unknown as { push: (item: object) => void }).push({
        id: "1",
        service: "models",
        deadline: LONG_MS * 2,
      });
      queue["scheduleDispatch"]?.();
    },
    "the release of memory": () => {
      const parts = { directory: { isListedProcess: () => true }, clock, logger };
      const gate = { readPauseEnd: () => undefined, readHoldEnd: () => undefined };
      const releaser = create(Releaser, { ...parts, gate, client: { call: failLater } });
      releaser["release"]?.({ target: TARGET, call: { path: "/" }, expiresAt: 1, permits: 0 });
    },
    "a later release of memory": () => {
      const releaser = create(Releaser, { clock, logger });
      releaser["sendLater"]?.({ target: TARGET, call: {}, expiresAt: 9 }, 1);
      releaser["release"] = fail;
    },
    "a late answer to a call for a hold": () => {
      const holds = create(HoldCaller, { logger });
      holds["call"] = () => new Promise((resolve) => setTimeout(resolve, LONG_MS + 1, {}));
      holds["dropLate"] = fail;
      void holds["request"]?.(TARGET, {});
    },
  };

  for (const [what, run] of Object.entries(turns)) {
    it(`ends alone: ${what}`, async () => {
      try {
        run();
      } catch (error) {
        onFault(error);
      }
      for (let turn = 0; turn < 2; turn += 1) await pass();
      assert.ok(calls > 0, "it was run");
      assert.deepEqual(faults, []);
      assert.ok(errors.length > 0, "it was logged");
    });
  }

  it("fails its own dial, where a step of the dial throws", async () => {
    const plan = { canDialDirectly: true, isDirectFirst: true, peers: [], isRefusedByPeer: false };
    const run = create(DialRun, { clock, direct: { open: failLater } }, TARGET, plan);
    let result: unknown;
    void (run["run"]?.() as Promise<E.Either<Error, unknown>>).then((dialled) => {
      result = E.isLeft(dialled) ? dialled.left.message : "connected";
    });
    await pass();
    assert.match(String(result), new RegExp(FAULT));
    assert.deepEqual(faults, []);
  });

  it("fails the request alone for which a connection is dialled", async () => {
    const connection = create(Connection, TARGET, { dial: failLater }, { isDirectOnly: false });
    let result: unknown;
    const client = connection["client"] as unknown as Connection["client"];
    client.request({ path: "/", method: "GET" }).catch((error: unknown) => (result = error));
    await pass();
    assert.match(String(result), new RegExp(FAULT));
    assert.deepEqual(faults, []);
  });
});
