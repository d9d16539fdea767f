/**
 * The pace of endpoints that start or recover, without a network. Guards against an endpoint that starts slow and is
 * given more than it answers in time, a healthy one that is held back, and one that is limited for good.
 */
import assert from "node:assert/strict";
import { describe, it, type TestContext } from "node:test";
import { ManualClock } from "../src/core/clock";
import { SILENT_LOGGER } from "../src/core/log";
import { PaceAccounts, type SendOutcomes } from "../src/forward/limits/paceaccounts";
import { type EndedSend, Pacing } from "../src/forward/limits/pacing";
import { type CallerResults, PaceFleet } from "./harness/pacefleet";

const RESTART_AT_MS = 8000;
const NONE: SendOutcomes = { inTime: 0, slow: 0, rejected: 0, neutral: 0 };
const process = { endpoint: "e0", processStartedAt: 2 };

interface Scenario {
  readonly perSecond: number;
  readonly slowness: number;
  readonly slowMs: number;
  readonly instances?: number;
}

/** Runs 6 s from the restart of one of six endpoints. */
async function runScenario(isPaced: boolean, scenario: Scenario) {
  const { perSecond, slowness, slowMs, instances = 12 } = scenario;
  const fleet = new PaceFleet({ isPaced, instances, endpoints: 6, slots: 6, seed: 11 });
  const restartAt = fleet.now + RESTART_AT_MS;
  fleet.startTraffic(perSecond, restartAt + 6000);
  await fleet.events.runUntil(restartAt);
  fleet.results = { onTime: 0, late: 0, refused: 0 };
  fleet.arrivals.clear();
  fleet.restart(0, slowness, slowMs);
  await fleet.events.runUntil(restartAt + 6000);
  const parAt = fleet.parAt.get("e0");
  const parMs = parAt === undefined ? undefined : parAt - restartAt;
  return { ...fleet.results, parMs, arrivals: fleet.arrivals.get("e0") ?? 0 };
}

function describeResults(name: string, { onTime, late, refused }: CallerResults): string {
  return `${name}: ${onTime} on time, ${late} late, ${refused} refused`;
}

async function compare(t: TestContext, scenario: Scenario) {
  const without = await runScenario(false, scenario);
  const paced = await runScenario(true, scenario);
  t.diagnostic(describeResults("without pace", without));
  t.diagnostic(describeResults("with pace", paced));
  t.diagnostic(`at full pace after ${paced.parMs ?? "more than 6000"} ms`);
  return { without, paced };
}

describe("callers, as one of 6 endpoints restarts", () => {
  for (const instances of [3, 12, 72, 590]) {
    it(`are late far less often if it is slow at first, with ${instances} instances`, async (t) => {
      const scenario = { perSecond: 480, slowness: 12, slowMs: 5000, instances };
      const { without, paced } = await compare(t, scenario);
      assert.ok(paced.late * 2 <= without.late, `${paced.late} late, ${without.late} without pace`);
      assert.ok(paced.refused <= without.refused + 5, `${paced.refused} refused`);
      assert.ok(paced.onTime > without.onTime);
      assert.ok(paced.arrivals > 5, "it is asked now and then");
    });
  }

  it("are served as before if it is healthy, and it is at full pace in two seconds", async (t) => {
    const { without, paced } = await compare(t, { perSecond: 480, slowness: 1, slowMs: 0 });
    assert.ok(paced.onTime >= without.onTime * 0.99);
    assert.ok((paced.parMs ?? Number.POSITIVE_INFINITY) <= 2000, `${paced.parMs} ms`);
  });

  it("get its work while the other endpoints are full", async (t) => {
    const { without, paced } = await compare(t, { perSecond: 760, slowness: 1, slowMs: 0 });
    const served = ({ onTime, late }: CallerResults) => onTime + late;
    assert.ok(served(paced) >= served(without) * 0.95);
    assert.ok((paced.parMs ?? Number.POSITIVE_INFINITY) <= 2500, `${paced.parMs} ms`);
  });
});

describe("the owner of an endpoint's pace", () => {
  const ask = (accounts: PaceAccounts, count: number, now: number, begunAt = 0) =>
    accounts.grant(process, begunAt, count, now);
  /** Sends as much as is granted, and reports it after 50 ms, for a time. */
  const run = (accounts: PaceAccounts, from: number, ms: number, ending: keyof SendOutcomes) => {
    let granted = 0;
    for (let now = from; now < from + ms; now += 50) {
      let sent = 0;
      while (sent < 40 && ask(accounts, 1, now).isGranted) sent += 1;
      accounts.report(process, { ...NONE, [ending]: sent }, now + 50);
      granted += sent;
    }
    return granted;
  };

  it("begins with two sends in flight, and doubles them with answers in time", () => {
    const accounts = new PaceAccounts();
    assert.equal(ask(accounts, 2, 0).isGranted, true, "a hold");
    const denied = ask(accounts, 1, 1);
    assert.equal(denied.isGranted, false);
    assert.ok(denied.retryAfterMs >= 20 && denied.retryAfterMs <= 1000);
    accounts.report(process, { ...NONE, inTime: 2 }, 50);
    assert.equal(ask(accounts, 4, 50).isGranted, true);
    assert.equal(ask(accounts, 1, 51).isGranted, false);
  });

  it("halves its window on rejections, once for those of one burst", () => {
    const accounts = new PaceAccounts();
    for (const [turn, sent] of [2, 4].entries()) {
      assert.equal(ask(accounts, sent, turn * 50).isGranted, true);
      accounts.report(process, { ...NONE, inTime: sent }, turn * 50 + 40);
    }
    assert.equal(ask(accounts, 8, 100).isGranted, true);
    accounts.report(process, { ...NONE, rejected: 4 }, 110);
    accounts.report(process, { ...NONE, rejected: 4 }, 120);
    let granted = 0;
    while (granted < 40 && ask(accounts, 1, 130).isGranted) granted += 1;
    assert.equal(granted, 4);
  });

  it("ends the limit on a par with others, and does not begin it again for the same start", () => {
    const accounts = new PaceAccounts();
    run(accounts, 0, 1500, "inTime");
    assert.equal(ask(accounts, 1, 1600).isOver, true);
    assert.equal(ask(accounts, 9, 5000, 0).isOver, true);
    assert.equal(ask(accounts, 9, 9000, 8900).isOver, false, "it recovered once more");
  });

  it("sends an endpoint that is slow, rejects or stands still a few a second", () => {
    for (const ending of ["slow", "rejected"] as const) {
      const granted = run(new PaceAccounts(), 0, 10_000, ending);
      assert.ok(granted >= 10 && granted <= 60, `${granted} in 10 s: ${ending}`);
    }
    const accounts = new PaceAccounts();
    let granted = 0;
    for (let now = 0; now < 10_000; now += 50) {
      if (ask(accounts, 1, now).isGranted) granted += 1;
    }
    assert.ok(granted >= 3 && granted <= 20, `${granted} in 10 s without an answer`);
  });

  it("goes on as if nothing was lost where reports repeat or an asker is gone", () => {
    const accounts = new PaceAccounts();
    ask(accounts, 2, 0);
    accounts.report(process, { ...NONE, neutral: 9 }, 10);
    assert.equal(ask(accounts, 2, 20).isGranted, true);
    assert.equal(ask(accounts, 1, 1900).isGranted, false, "still in flight");
    const later = ask(accounts, 1, 2600);
    assert.equal(later.isGranted || later.retryAfterMs <= 1000, true);
    assert.equal(ask(accounts, 1, 4000).isGranted, true, "their instance is gone");
  });

  it("limits no endpoint for longer than half a minute", () => {
    const accounts = new PaceAccounts();
    run(accounts, 0, 30_000, "slow");
    assert.equal(ask(accounts, 1, 30_001).isOver, true);
  });
});

describe("an instance", () => {
  const create = () => {
    const clock = new ManualClock(1000);
    let told = 0;
    const pacing = new Pacing({
      clock,
      logger: SILENT_LOGGER,
      onBegin: () => {
        told += 1;
      },
      onOutcome: () => undefined,
    });
    return { clock, pacing, countTold: () => told };
  };
  const send = (more: Partial<EndedSend>): EndedSend => ({
    ...process,
    service: "sheets",
    kind: "run",
    size: 1,
    ending: "answered",
    tookMs: 40,
    ...more,
  });

  it("takes a process that is new in the list for started, but not those of its own start", () => {
    const { clock, pacing, countTold } = create();
    pacing.observe({ endpoint: "e0", processStartedAt: 1 }, clock.now());
    assert.equal(pacing.find({ endpoint: "e0", processStartedAt: 1 }, clock.now()), undefined);
    clock.advance(6000);
    assert.equal(pacing.find(process, clock.now()), 7000);
    assert.equal(countTold(), 1);
    pacing.end(process, clock.now());
    assert.equal(pacing.find(process, clock.now()), undefined);
  });

  it("takes an endpoint for recovered that answers after failures or a pause", () => {
    const { clock, pacing } = create();
    pacing.observe(process, clock.now());
    for (let turn = 0; turn < 3; turn += 1) pacing.record(send({ ending: "failed" }));
    assert.equal(pacing.find(process, clock.now()), undefined, "it has not answered yet");
    pacing.record(send({}));
    assert.equal(pacing.find(process, clock.now()), 1000);
    const other = create();
    other.pacing.observe(process, other.clock.now());
    other.pacing.recordPause("e0");
    assert.equal(other.pacing.find(process, other.clock.now()), 1000);
  });

  it("hears of it from peers, and not again once it is over", () => {
    const { clock, pacing } = create();
    pacing.observe(process, clock.now());
    const word = { ...process, begunAt: 900, isOwn: false };
    pacing.recordPeer(word, clock.now());
    assert.equal(pacing.find(process, clock.now()), 900);
    assert.deepEqual(pacing.list(clock.now()), [], "peers heard it from the one that found it");
    pacing.end(process, clock.now());
    pacing.recordPeer(word, clock.now());
    assert.equal(pacing.find(process, clock.now()), undefined);
  });

  it("judges answers by those of the other endpoints, for their kind and size", () => {
    const { clock, pacing } = create();
    const others = { endpoint: "e1", processStartedAt: 1 };
    for (let turn = 0; turn < 20; turn += 1) {
      pacing.record(send({ ...others, kind: "prefill", size: 1000, tookMs: 200 }));
    }
    pacing.observe(process, clock.now());
    pacing.recordPause("e0");
    pacing.find(process, clock.now());
    pacing.record(send({ kind: "prefill", size: 3000, tookMs: 700 }));
    pacing.record(send({ kind: "prefill", size: 300, tookMs: 700 }));
    pacing.record(send({ kind: "unknown", tookMs: 7000 }));
    pacing.record(send({ ending: "rejected" }));
    pacing.record(send({ ending: "aborted" }));
    const expected = { inTime: 2, slow: 1, rejected: 1, neutral: 1 };
    assert.deepEqual(pacing.takeOutcomes(process), expected);
    assert.deepEqual(pacing.listPending(), []);
  });
});
