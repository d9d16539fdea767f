/**
 * Requests for grants that move between schedulers whose connections stay open, against schedulers that are plain lists
 * of what waits and runs. Guards against a run whose scheduler has ended its grant, against a grant that nobody
 * returns, and against a refusal by a scheduler that has nothing to say any more.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { type AnyStep, Move, Play, Step } from "./harness/grantplay";

/**
 * Plays moves between peers, and asserts that each run is tracked by the scheduler that granted it. What is written
 * arrives before the next check, so that no request comes back to a scheduler before its cancel has arrived there.
 */
async function assertRunsTracked(steps: readonly AnyStep[], isPrompt = true): Promise<Play> {
  const run = new Play(true, true, isPrompt);
  for (const step of steps) await run.take(step);
  await run.finish();
  assert.deepEqual(run.listUntracked(), []);
  const isAnswered = (id: string) => run.takenFrom.has(id) || run.declinedBy.has(id);
  const expected = run.ids.map((id) => (isAnswered(id) ? 0 : 1));
  assert.deepEqual(run.countKept(), expected);
  assert.equal(await run.endRuns(), 0);
  return run;
}

describe("requests for grants that move between schedulers whose connections stay open", () => {
  it("run only under a grant that the scheduler which gave it still has", async () => {
    const { request, check, deliver, heal } = Step;
    const { join, ...moves } = Move;
    const faults = Object.values(Step).filter((name) => name !== Step.clog);
    const usual = [request, check, check, deliver, heal, join, ...Object.values(moves)];
    const step = fc.oneof(
      { weight: 4, arbitrary: fc.constantFrom<AnyStep>(...usual) },
      { weight: 1, arbitrary: fc.constantFrom<AnyStep>(...faults) },
    );
    const steps = fc.array(step, { minLength: 12, maxLength: 40 });
    const property = fc.asyncProperty(steps, async (taken) => {
      await assertRunsTracked(taken);
    });
    await fc.assert(property, { numRuns: 800, seed: 20261207 });
  });

  it("return a grant that comes from the one before, and take that of the present one", async () => {
    const { request, deliver, check } = Step;
    const { leaveOne, grant } = Move;
    const moved = [request, deliver, leaveOne, check];
    const run = await assertRunsTracked([...moved, grant, check, deliver, grant, check]);
    assert.deepEqual([...run.takenFrom], [["r0", "n2#1"]]);
  });

  it("take none of the one before though the present one has not granted", async () => {
    const { request, deliver, check } = Step;
    const { leaveOne, grant } = Move;
    const run = await assertRunsTracked([request, deliver, leaveOne, check, grant, check]);
    assert.deepEqual([...run.takenFrom], []);
  });

  it("are not refused by the one before", async () => {
    const { request, deliver, check } = Step;
    const { leaveOne, decline } = Move;
    const run = await assertRunsTracked([request, deliver, leaveOne, check, decline, check]);
    assert.deepEqual([...run.declinedBy], []);
  });

  it("are refused by the present one though the one before has granted", async () => {
    const { request, deliver, check } = Step;
    const { leaveOne, grant, decline } = Move;
    const moved = [request, deliver, leaveOne, check];
    const run = await assertRunsTracked([...moved, grant, deliver, decline, check]);
    assert.deepEqual([...run.declinedBy], [["r0", "n2#1"]]);
    assert.deepEqual([...run.takenFrom], []);
  });

  it("return a grant of the one before though their cancel was lost on the way there", async () => {
    const { request, deliver, check } = Step;
    const { leaveOne, grant } = Move;
    const run = new Play(true, true);
    for (const step of [request, deliver, leaveOne, check]) await run.take(step);
    const [before] = run.connections;
    before?.underWay.splice(0);
    for (const step of [grant, check, deliver]) await run.take(step);
    assert.deepEqual([before?.peer, before?.isOpen, before?.running.size], ["n3", true, 0]);
  });

  it("run under the grant of their second sending to a scheduler that they came back to", async () => {
    const { request, deliver, check } = Step;
    const { leaveOne, join, grant } = Move;
    const back = [request, deliver, leaveOne, check, join, check];
    await assertRunsTracked([...back, grant, check, deliver, grant, check], false);
  });
});
