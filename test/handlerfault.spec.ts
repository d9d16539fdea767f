/**
 * Requests whose handling throws an unexpected error, at a caller server or in a call to a peer. Guards against a request that stays open
 * without an answer, and against one error that ends the process with all other requests.
 */
import assert from "node:assert/strict";
import { Agent } from "node:http";
import { afterEach, beforeEach, describe, it } from "node:test";
import * as E from "fp-ts/Either";
import { MonotonicClock, pause } from "../src/core/clock";
import { type LogFields, SILENT_LOGGER } from "../src/core/log";
import { GrpcFleetTransport } from "../src/fleet/transport";
import { QuotaCharger } from "../src/forward/shared/charges";
import { Meter } from "../src/forward/requests/meter";
import { Quotas } from "../src/forward/shared/quota";
import {
  type CallerHandler,
  type CallerResponse,
  ForwardServer,
} from "../src/forward/callers/server";
import { ChargeRequest } from "../src/peer/gen/fleet";
import { get } from "./harness/fixture";
import { testCodecs, waitUntil } from "./harness/forward";
import { allocatePort } from "./harness/ports";

const FAULT = "a fault of the handler";

const ANSWER: CallerResponse = E.right({
  head: { status: 200, headers: [], verdict: "answered", load: undefined },
  body: Buffer.from("done"),
  isFramed: true,
});

describe("a request whose handler throws", () => {
  const errors: LogFields[] = [];
  const rejections: unknown[] = [];
  const onRejection = (error: unknown) => rejections.push(error);
  let server: ForwardServer;
  let agent: Agent;
  let at = 0;

  const listen = async (handler: CallerHandler) => {
    const logger = {
      ...SILENT_LOGGER,
      error: (_event: string, fields: LogFields) => void errors.push(fields),
    };
    server = new ForwardServer(
      testCodecs.callerCodec,
      handler,
      new MonotonicClock(),
      logger,
      new Meter(),
    );
    at = allocatePort();
    await server.listen("127.0.0.1", at);
  };
  const getFor = (path: string, id: string, ms = 500) =>
    Promise.race([get(at, path, { "x-id": id }, agent), pause(ms).then(() => undefined)]);

  beforeEach(() => {
    errors.length = 0;
    rejections.length = 0;
    agent = new Agent({ keepAlive: true, maxSockets: 1 });
    process.on("unhandledRejection", onRejection);
  });

  afterEach(() => {
    process.off("unhandledRejection", onRejection);
    agent.destroy();
    server.close();
  });

  const faults: readonly (readonly [string, CallerHandler])[] = [
    ["a rejection", () => Promise.reject(new Error(FAULT))],
    [
      "an exception before its first await",
      () => {
        throw new Error(FAULT);
      },
    ],
    [
      "a response that can't be written",
      () => {
        const head = { status: 7, headers: [], verdict: "answered", load: undefined } as const;
        return Promise.resolve(E.right({ head, body: Buffer.from(""), isFramed: true }));
      },
    ],
  ];

  for (const [kind, fault] of faults) {
    it(`is answered 502 at once after ${kind}, and its connection serves the next one`, async () => {
      await listen((request) =>
        request.head.path === "/bad" ? fault(request) : Promise.resolve(ANSWER),
      );
      assert.equal((await getFor("/bad", "r-bad"))?.status, 502);
      const next = await getFor("/good", "r-good");
      assert.deepEqual([next?.status, next?.body], [200, "done"]);
      assert.equal(server.inFlightCount, 0);
      assert.deepEqual(rejections, []);
    });
  }

  it("is logged with its id and where it was thrown, but the caller isn't told", async () => {
    await listen(() => Promise.reject(new Error(FAULT)));
    const answer = await getFor("/bad", "r-bad");
    assert.equal(errors.length, 1);
    assert.equal(errors[0]?.["request"], "r-bad");
    assert.match(String(errors[0]?.["stack"]), /a fault of the handler\n.*handlerfault\.spec/);
    assert.doesNotMatch(answer?.body ?? FAULT, /a fault of the handler/);
  });

  it("is cut if the head of its stream was sent, so that it doesn't look complete", async () => {
    await listen(async ({ sink }) => {
      sink.begin(200, ["content-type", "text/event-stream"], true);
      sink.write(Buffer.from("id: 1\ndata: t1\n\n"));
      await pause(20);
      throw new Error(FAULT);
    });
    const answer = await getFor("/stream", "r-stream");
    assert.deepEqual([answer?.status, answer?.isComplete], [200, false]);
    await waitUntil(() => server.inFlightCount === 0, 300);
    assert.deepEqual(rejections, []);
  });

  it("leaves the requests beside it alone", async () => {
    await listen(async ({ head }) => {
      await pause(50);
      if (head.path === "/bad") throw new Error(FAULT);
      await pause(50);
      return ANSWER;
    });
    const paths = ["/good/1", "/bad", "/good/2"];
    const answers = await Promise.all(
      paths.map((path, index) => get(at, path, { "x-id": `p${index}` }, undefined)),
    );
    assert.deepEqual(
      answers.map(({ status }) => status),
      [200, 502, 200],
    );
    assert.equal(server.inFlightCount, 0);
  });

  it("is answered if its head can't be read because of an error", async () => {
    await listen(() => Promise.resolve(ANSWER));
    const readHead = testCodecs.callerCodec.readHead.bind(testCodecs.callerCodec);
    testCodecs.callerCodec.readHead = () => {
      throw new Error(FAULT);
    };
    const answer = await getFor("/bad", "r-bad");
    testCodecs.callerCodec.readHead = readHead;
    assert.equal(answer?.status, 502);
    assert.equal((await getFor("/good", "r-good"))?.status, 200);
  });
});

describe("a call to a peer whose address can't be used", () => {
  it("counts as unanswered, so that what waits for it goes on", async () => {
    const transport = new GrpcFleetTransport();
    const charge = ChargeRequest.fromPartial({ workspace: "walls", costs: [1] });
    assert.equal(await transport.charge("", charge, 100), undefined);
    assert.equal(await transport.recall("", { stream: undefined }, 100), undefined);
    transport.close();
  });

  it("leaves a request that waits for its charge to the share of its instance", async () => {
    const quotas = new Quotas(
      { ratio: 0, slack: 9500, windowMs: 8000 },
      () => ({ heard: 2, missing: 0 }),
      0,
    );
    const transport = new GrpcFleetTransport();
    const charger = new QuotaCharger({
      instance: "nizwa-1",
      quotas,
      transport: {
        charge: async (_owner, charge, timeoutMs) => {
          const request = ChargeRequest.fromPartial({ ...charge, costs: [...charge.costs] });
          return (await transport.charge("", request, timeoutMs)) && [];
        },
      },
      clock: new MonotonicClock(),
      logger: SILENT_LOGGER,
      listLive: () => ["nizwa-2"],
    });
    const limit = { perSecond: 1000, burst: 1_000_000 };
    for (const turn of [1, 2]) {
      const decision = await Promise.race([charger.admit("walls", limit, 1), pause(500)]);
      assert.ok(decision !== undefined, `charge ${turn} is decided`);
    }
    transport.close();
  });
});
