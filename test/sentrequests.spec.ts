/**
 * Requests for grants on connections that fail at any moment, against a scheduler that is a plain list of what each
 * session brought. Guards against a request that waits for an answer nobody will give, and against one that two
 * sessions of schedulers keep.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { BookReply } from "../src/peer/gen/peer";
import { SentRequests } from "../src/control/sentrequests";
import { Play, Step } from "./harness/grantplay";

const MAX_CHECKS = 10;

async function assertEachKeptOnce(
  steps: readonly Step[],
  acknowledges: boolean,
  isDraining = false,
): Promise<void> {
  const run = new Play(acknowledges, isDraining);
  for (const step of steps) await run.take(step);
  await run.finish();
  const kept = run.countKept();
  assert.deepEqual(
    kept,
    kept.map(() => 1),
  );
}

describe("requests for grants on connections that fail", () => {
  it("each wait at one scheduler once the faults are over", async () => {
    const step = fc.constantFrom(...Object.values(Step), Step.request, Step.request, Step.check);
    const steps = fc.array(step, { maxLength: 16 });
    const property = fc.asyncProperty(steps, (taken) => assertEachKeptOnce(taken, true));
    await fc.assert(property, { numRuns: 400, seed: 20261207 });
  });

  it("each wait at one scheduler though connections to two peers fail at once", async () => {
    const step = fc.constantFrom(...Object.values(Step), Step.request, Step.request, Step.check);
    const steps = fc.array(step, { maxLength: 16 });
    const property = fc.asyncProperty(steps, (taken) => assertEachKeptOnce(taken, true, true));
    await fc.assert(property, { numRuns: 400, seed: 20261207 });
  });

  it("wait once at a scheduler of an older build, which acknowledges nothing", async () => {
    const others = Object.values(Step).filter((name) => name !== Step.clog);
    const step = fc.constantFrom(...others, Step.request, Step.request, Step.check);
    const steps = fc.array(step, { maxLength: 16 });
    const property = fc.asyncProperty(steps, (taken) => assertEachKeptOnce(taken, false));
    await fc.assert(property, { numRuns: 400, seed: 20261207 });
  });

  it("are sent on a new connection where what is written does not arrive while replies go on", async () => {
    const { request, deliver, clog } = Step;
    await assertEachKeptOnce([request, deliver, clog, request, request, request], true);
  });

  it("are sent again if they were not sent, whatever opened the connection since", async () => {
    const { hide, request, standStill, heal, check } = Step;
    await assertEachKeptOnce([hide, request, request, standStill, heal, request, check], true);
  });

  it("wait at none if they were cancelled in the turn in which they were made", async () => {
    const run = new Play(true);
    await run.requestAndCancel();
    await run.finish();
    assert.deepEqual(run.countKept(), [0]);
  });

  it("wait once though they were sent and cancelled in the turn in which two peers are given up", async () => {
    const { request, reset, standStill, restart } = Step;
    await assertEachKeptOnce([request, reset, standStill, request, restart], true, true);
  });

  it("stay on a connection though the end of the one before comes after it was opened", async () => {
    const run = new Play(true);
    for (const step of [Step.request, Step.deliver, Step.restart]) await run.take(step);
    await run.finish();
    await run.take(Step.request);
    const [before] = run.connections;
    assert.ok(before !== undefined);
    const after = run.connections.findLast(({ peer }) => peer === before.peer);
    assert.notEqual(after, before);
    before.emit("end");
    assert.equal(after?.isOpen, true);
  });

  it("go to another scheduler at the next check where no connection can be opened", async () => {
    const run = new Play(true);
    for (const step of [Step.refuse, Step.request, Step.check]) await run.take(step);
    assert.deepEqual(run.countKept(), [1]);
  });

  it("take no grant that comes late on a connection that was given up for a newer one", async () => {
    const run = new Play(true);
    for (const step of [Step.request, Step.deliver, Step.restart]) await run.take(step);
    await run.finish();
    const [before, after] = run.connections;
    assert.deepEqual([before?.peer, after?.isOpen], [after?.peer, true]);
    before?.emit("data", BookReply.fromPartial({ grants: [{ id: "r0" }] }));
    await run.finish();
    assert.deepEqual([run.takenFrom.size, ...run.countKept()], [0, 1]);
  });
});

describe("a request that one connection acknowledges", () => {
  it("is overdue if it was sent on another one", () => {
    const sent = new SentRequests(MAX_CHECKS);
    sent.recordQueued("r1");
    sent.recordSent("r1", 7);
    sent.acknowledge("r1", 8);
    for (let check = 0; check < MAX_CHECKS; check += 1) assert.deepEqual(sent.checkOverdue(7), []);
    assert.deepEqual(sent.checkOverdue(7), ["r1"]);
  });
});
