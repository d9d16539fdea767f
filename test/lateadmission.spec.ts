/**
 * Requests that come while an instance stops. Guards against work that is taken though it can't be ended in time,
 * and is cut with no answer at the end of the grace (LOST).
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { pause } from "../src/core/clock";
import { RetryMode } from "../src/fleet/config";
import { StopAdmission } from "../src/forward/callers";
import { addEndpoint, get, instance, port, prepareEach, start, store } from "./harness/fixture";
import { createConfig } from "./harness/forward";
import { writeAnswer } from "./harness/raw";

const WORK_MS = 1500;
const GRACE_MS = 3500;
/** When the late request comes after the signal: before new ones are refused, 1.2 s before the end. */
const LATE_MS = 1600;
const TIMEOUT_MS = 10_000;

describe("a request that comes late in the grace of a stop", () => {
  prepareEach();

  it("is refused as not run where it would be cut, and taken where it ends in time", async () => {
    let sent = 0;
    await addEndpoint("e", (head, socket) => {
      const isSlow = head.startsWith("GET /once/");
      if (isSlow) sent += 1;
      setTimeout(
        () => {
          if (!socket.destroyed) writeAnswer(socket, head, "done");
        },
        isSlow ? WORK_MS : 1,
      );
    });
    const { routes, ...config } = createConfig(2);
    const longer = routes.map((route) => ({ ...route, timeoutMs: TIMEOUT_MS }));
    store.putConfig({ ...config, routes: longer });
    await start({ graceMs: GRACE_MS });
    const before = await Promise.all([get(port, "/once/1"), get(port, "/any/1")]);
    const stopped = instance.close();
    await pause(LATE_MS);
    const late = await Promise.all([get(port, "/once/2"), get(port, "/any/2")]);
    await stopped;
    const statuses = [...before, ...late].map(({ status }) => status);
    assert.deepEqual([statuses, sent], [[200, 200, 503, 200], 1]);
    assert.match(late[0].body, /not[ _]run/i);
  });
});

describe("a stopping instance", () => {
  const route = fc.constantFrom("a", "b", "c");
  const step = fc.oneof(
    fc.record({ kind: fc.constant("answer" as const), route, ms: fc.nat(10_000) }),
    fc.record({
      kind: fc.constant("ask" as const),
      route,
      ms: fc.integer({ min: 1, max: 15_000 }),
      isOnce: fc.boolean(),
    }),
    fc.record({ kind: fc.constant("wait" as const), ms: fc.nat(2000) }),
    fc.record({ kind: fc.constant("stop" as const), ms: fc.nat(8000) }),
  );

  it("takes none that is due after its end and may take as long as one did before", () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60, size: "max" }), (steps) => {
        const admission = new StopAdmission();
        const last = new Map<string, number>();
        let now = 0;
        let stopAt = Number.POSITIVE_INFINITY;
        for (const next of steps) {
          if (next.kind === "wait") now += next.ms;
          if (next.kind === "stop") {
            admission.begin(now + next.ms);
            stopAt = Math.min(stopAt, now + next.ms);
          }
          if (next.kind === "answer") {
            admission.record(next.route, next.ms);
            last.set(next.route, next.ms);
          }
          if (next.kind !== "ask") continue;
          const retryMode = next.isOnce ? RetryMode.once : RetryMode.any;
          const request = { route: { name: next.route, retryMode }, deadline: now + next.ms };
          const isTaken = admission.refuse(request, now) === undefined;
          const needMs = Math.min(next.ms, last.get(next.route) ?? next.ms);
          if (isTaken) assert.ok(now + needMs <= stopAt);
          if (now + next.ms <= stopAt) assert.ok(isTaken);
        }
      }),
      { numRuns: 2000 },
    );
  });
});
