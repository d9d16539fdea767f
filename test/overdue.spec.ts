/**
 * Requests whose handling never ends, whatever it waits for. Guards against a request that was read whole and gets neither an
 * answer nor a refusal.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as fc from "fast-check";
import * as E from "fp-ts/Either";
import { ManualClock, MonotonicClock, pause } from "../src/core/clock";
import { type LogFields, SILENT_LOGGER } from "../src/core/log";
import {
  CHECK_INTERVAL_MS,
  MAX_ADMISSION_MS,
  OVERDUE_MS,
  OverdueRequests,
  type OverdueReport,
} from "../src/forward/callers/overdue";
import { type CallerHandler, ForwardServer } from "../src/forward/callers/server";
import { Meter } from "../src/forward/requests/meter";
import { RequestStage } from "../src/forward/requests/waits";
import { get } from "./harness/fixture";
import { testCodecs } from "./harness/forward";
import { allocatePort } from "./harness/ports";

/** Watches requests in virtual time, with a check an interval. */
function createWatch() {
  const clock = new ManualClock(1000);
  const requests = new OverdueRequests(() => clock.now());
  const reports: (OverdueReport & { readonly at: number })[] = [];
  const begin = (deadline: number) =>
    requests.begin(deadline, (report) => reports.push({ ...report, at: clock.now() }));
  const pass = (ms: number) => {
    for (let left = ms; left > 0; left -= CHECK_INTERVAL_MS) {
      clock.advance(CHECK_INTERVAL_MS);
      requests.check();
    }
  };
  return { clock, requests, reports, begin, pass };
}

describe("a request that nobody answers", () => {
  it("is reported once, 1.5 s after its deadline, with what it waits for", () => {
    const { reports, begin, pass } = createWatch();
    const watched = begin(2000);
    watched.enter(RequestStage.reservation);
    pass(500);
    watched.enter(RequestStage.head);
    pass(10_000);
    assert.deepEqual(reports, [{ stage: "head", stageMs: 2000, overdueMs: 1500, at: 3500 }]);
  });

  it("counts from its own deadline once that is known, earlier or later", () => {
    for (const deadline of [1500, 60_000]) {
      const { reports, begin, pass } = createWatch();
      begin(1000 + MAX_ADMISSION_MS).setDeadline(deadline);
      pass(80_000);
      assert.deepEqual(
        reports.map(({ at }) => at),
        [deadline + OVERDUE_MS],
      );
    }
  });

  it("is never reported if it ends in time, or within 1.5 s after a standstill of any length", () => {
    const steps = fc.array(fc.integer({ min: 1, max: 20_000 }), { maxLength: 40 });
    fc.assert(
      fc.property(steps, (standstills) => {
        const { clock, requests, reports, begin } = createWatch();
        const watched = begin(3000);
        let checksAfter = 0;
        for (const ms of standstills) {
          clock.advance(ms);
          requests.check();
          if (clock.now() >= 3000) checksAfter += 1;
        }
        assert.equal(reports.length > 0, checksAfter > 6 && clock.now() >= 4500);
        requests.end(watched);
        assert.equal(requests.size, 0);
      }),
      { seed: 40 },
    );
  });
});

describe("a server whose handler never ends", () => {
  const errors: LogFields[] = [];
  const logger = {
    ...SILENT_LOGGER,
    error: (event: string, fields: LogFields) => void errors.push({ event, ...fields }),
  };
  const clock = new MonotonicClock();

  /** Sends a request; returns what its caller got within 2.5 s, and whether its work was aborted. */
  const send = async (handler: CallerHandler, meter = new Meter()) => {
    errors.length = 0;
    let wasAborted = false;
    const server = new ForwardServer(
      testCodecs.callerCodec,
      (request) => {
        request.caller.addEventListener("abort", () => (wasAborted = true));
        request.watched.setDeadline(clock.now());
        return handler(request);
      },
      clock,
      logger,
      meter,
    );
    const at = allocatePort();
    await server.listen("127.0.0.1", at);
    const answer = await Promise.race([get(at, "/any/1", { "x-id": "r1" }), pause(2500)]);
    await pause(50);
    const { inFlightCount } = server;
    server.close();
    return { answer, wasAborted, inFlightCount, metrics: await meter.renderMetrics() };
  };

  it("answers 504 in its place, says what it waits for and aborts its work", async () => {
    const got = await send(({ watched }) => {
      watched.enter(RequestStage.prefill);
      return new Promise(() => undefined);
    });
    assert.equal(got.answer?.status, 504);
    assert.match(got.answer.body, /"outcome":"unknown"/);
    assert.deepEqual([got.wasAborted, got.inFlightCount], [true, 0]);
    const [{ event, request, stage } = {}] = errors;
    assert.deepEqual(
      [errors.length, event, request, stage],
      [1, "request overdue", "r1", "prefill"],
    );
    assert.match(got.metrics, /overdue_requests_total\{stage="prefill"\} 1/);
  });

  it("answers 502, logs and aborts its work, where the report of it throws", async () => {
    const meter = new Meter();
    meter.overdue.inc = () => {
      throw new Error("a fault of this test");
    };
    const got = await send(() => new Promise(() => undefined), meter);
    assert.deepEqual([got.answer?.status, got.wasAborted, got.inFlightCount], [502, true, 0]);
    assert.deepEqual([errors.length, errors[0]?.["event"]], [1, "unexpected error"]);
  });

  it("cuts a stream that has begun", async () => {
    const got = await send(({ sink }) => {
      sink.begin(200, ["content-type", "text/event-stream"], true);
      sink.write(Buffer.from("id: 1\ndata: t1\n\n"));
      return new Promise(() => undefined);
    });
    assert.deepEqual([got.answer?.status, got.answer?.isComplete], [200, false]);
    assert.deepEqual([errors[0]?.["stage"], got.wasAborted], ["stream", true]);
  });

  it("passes nothing on that comes after the answer in its place", async () => {
    const got = await send(async ({ sink }) => {
      await pause(2000);
      sink.begin(200, [], true);
      sink.write(Buffer.from("late"));
      sink.cut();
      return E.left(new Error("late") as never);
    });
    assert.deepEqual([got.answer?.status, got.answer?.isComplete], [504, true]);
    assert.doesNotMatch(got.answer?.body ?? "", /late/);
  });
});
