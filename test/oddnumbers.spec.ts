/**
 * Numbers in messages of peers that cannot be true, as a faulty build may write them. Guards against one
 * that stays in what an instance computes, so that callers are refused long after the message.
 */
import assert from "node:assert/strict";
import { after, describe, it } from "node:test";
import { SILENT_LOGGER } from "../src/core/log";
import { EngineStage } from "../src/fleet/entries";
import { applyReport, NO_LOAD, UsageCounter } from "../src/fleet/relay/sums";
import type { MemberList } from "../src/fleet/members";
import { LOG_START } from "../src/fleet/position";
import type { GrpcFleetTransport } from "../src/fleet/transport";
import { createInstanceBase } from "../src/forward/base";
import { createParts } from "../src/forward/parts";
import { answerPermit, PeerPermitTransport } from "../src/forward/limits";
import { answerCharge, PeerChargeTransport, QuotaCharger } from "../src/forward/shared";
import type { ChargeTransport } from "../src/forward/shared/charges";
import { type QuotaDecision, Quotas } from "../src/forward/shared/quota";
import { Beat, PermitRequest, RelayReport } from "../src/peer/gen/fleet";
import { checkBeat, checkReport } from "../src/peer/numbers";
import { createEntry, createSettings, testCodecs } from "./harness/forward";
import { MemoryStore } from "./harness/memory";

const ODD = [NaN, Infinity, 1e300, -1e300, -Infinity];
const NO_TOLERANCE = { ratio: 0, slack: 0, windowMs: 10_000 };
/** Long enough for any account to be full again, in milliseconds. */
const LONG_MS = 3_600_000;

/** An instance that gets heartbeats of one peer. */
const settings = { ...createSettings("n1"), pace: true };
const base = createInstanceBase(settings, { store: new MemoryStore(), ...testCodecs });
const parts = createParts(base, () => false);
const start = base.clock.now();

function receive(content: Partial<Beat>, now: number): void {
  const beat = Beat.fromPartial({ instance: "n2", incarnation: "n2/1", ...content });
  parts.peerState.handleBeat(Beat.decode(Beat.encode(beat).finish()), now, now);
}

after(() => parts.context.client.close());

describe("a cost that cannot be true", () => {
  const limit = { perSecond: 1000, burst: 1000 };
  const { quotas } = parts;
  const charge = (workspace: string, more: { totalCost: number; costs: number[] }) =>
    answerCharge(quotas, { instance: "n3", incarnation: "n3/1", workspace, ...more }, limit, start);

  for (const cost of ODD) {
    it(`in a heartbeat does not use up the account of its workspace: ${cost}`, () => {
      const workspace = `beat ${cost}`;
      quotas.admitAsOwner(workspace, limit, 1, start);
      for (const told of [1, cost, 2]) receive({ usages: [{ workspace, cost: told }] }, start);
      assert.ok(quotas.admitAsOwner(workspace, limit, 1, start + LONG_MS).isAdmitted);
    });

    it(`as the first in heartbeats does not have all before the next one charged: ${cost}`, () => {
      const workspace = `first ${cost}`;
      const told = { instance: `first ${cost}`, incarnation: "1" };
      quotas.admitAsOwner(workspace, limit, 1, start);
      for (const total of [cost, 5e7])
        receive({ ...told, usages: [{ workspace, cost: total }] }, start);
      assert.ok(quotas.admitAsOwner(workspace, limit, 1, start + 1000).isAdmitted);
      receive({ ...told, usages: [{ workspace, cost: 5e7 + 1e5 }] }, start + 1000);
      assert.ok(!quotas.admitAsOwner(workspace, limit, 1, start + 1000).isAdmitted, "counts on");
    });

    it(`in the reports of a relay charges only what is used after it: ${cost}`, () => {
      const counter = new UsageCounter();
      const report = (total: number, whole: boolean) => {
        const usages = [{ workspace: "w", cost: total }];
        const content = checkReport(RelayReport.fromPartial({ usages, whole }), () => undefined);
        counter.count("relay", applyReport(NO_LOAD, content).usages, whole);
        return counter.read().get("w") ?? 0;
      };
      const totals = [report(cost, true), report(5e7, false), report(5e7 + 7, false)];
      assert.deepEqual([...totals, report(cost, false), report(5e7 + 9, false)], [0, 0, 7, 7, 9]);
    });

    it(`in a charge leaves the decision to its sender, and the account as it is: ${cost}`, () => {
      const workspace = `charge ${cost}`;
      assert.equal(charge(workspace, { totalCost: 1, costs: [1] }).decisions.length, 1);
      assert.deepEqual(charge(workspace, { totalCost: cost, costs: [1] }).decisions, []);
      assert.deepEqual(charge(workspace, { totalCost: 2, costs: [cost] }).decisions, []);
      assert.equal(charge(workspace, { totalCost: 2, costs: [1] }).decisions.length, 1);
      assert.ok(quotas.admitAsOwner(workspace, limit, 1, start + LONG_MS).isAdmitted);
    });
  }
});

describe("a charge of several requests", () => {
  const limit = { perSecond: 1000, burst: 1000 };

  for (const cost of ODD) {
    it(`has each decided but the one whose cost cannot be true: ${cost}`, () => {
      const workspace = `batch ${cost}`;
      const peer = { instance: "n4", incarnation: "n4/1", workspace };
      const ask = { ...peer, totalCost: 1, costs: [1, cost, 5000, 2] };
      const { decisions } = answerCharge(parts.quotas, ask, limit, start + LONG_MS);
      assert.deepEqual(
        decisions.map(({ admitted }) => admitted),
        [true, false, false, true],
      );
      assert.ok(decisions.every(({ retryAfterMs }) => retryAfterMs <= 60_000));
    });
  }

  it("does not pair decisions with other requests: a reply with one too few, or too many", async () => {
    const admitted = { isAdmitted: true, isOverRate: false, levelBefore: 7, retryAfterMs: 0 };
    for (const more of [-1, 1]) {
      const lives = ["n2", "n3"];
      const transport: ChargeTransport = {
        charge: (_owner, { costs }) =>
          Promise.resolve(new Array<QuotaDecision>(costs.length + more).fill(admitted)),
      };
      const { clock } = base;
      const quotas = new Quotas(NO_TOLERANCE, () => ({ heard: 2, missing: 0 }), clock.now());
      const listLive = () => lives;
      const own = { instance: "n1", quotas, transport, clock, logger: SILENT_LOGGER, listLive };
      const charger = new QuotaCharger(own);
      const costs = [1000, 1000, 1000];
      const asked = costs.map((cost) => charger.admit("w", limit, cost));
      const decisions = await Promise.all(asked);
      assert.ok(decisions.every(({ isAdmitted }) => !isAdmitted));
    }
  });
});

describe("a reply to a charge that cannot be true", () => {
  for (const [odd, delay] of [...ODD, 2 ** 32].map((value) => [value, 60_000] as const)) {
    it(`does not send callers away for days: ${odd}`, async () => {
      const decision = { admitted: false, overRate: true, left: odd * 1e15, retryAfterMs: odd };
      const members = { findAddress: () => "127.0.0.1:1" } as unknown as MemberList;
      const charge = () => Promise.resolve({ decisions: [decision] });
      const transport = { charge } as unknown as GrpcFleetTransport;
      const charges = new PeerChargeTransport(base.self, members, transport);
      const ask = { workspace: "w", totalCost: 0, costs: [1] };
      const [read] = (await charges.charge("n2", ask, 100)) ?? [];
      assert.deepEqual([read?.retryAfterMs, read?.levelBefore], [delay, 0]);
    });
  }
});

describe("load that cannot be true", () => {
  const MAX_COUNT = 2 ** 32 - 1;
  const work = { engine: "e", heldTokens: 10, promptTokens: 10, requests: 1 };
  const sound = { works: [work], arrivingTokens: 1e6, waiting: 1000 };
  const odd = {
    works: [
      work,
      ...["heldTokens", "promptTokens", "requests"].map((field) => ({
        ...work,
        [field]: MAX_COUNT,
      })),
    ],
    arrivingTokens: MAX_COUNT,
    waiting: MAX_COUNT,
  };
  const read = ({ works, arrivingTokens, waiting }: typeof sound) => ({
    works,
    arrivingTokens,
    waiting,
  });

  it("is not believed, of an instance and of a fleet; what is beside it is", () => {
    const checks = [
      (content: typeof sound) => checkBeat(Beat.fromPartial(content), () => undefined),
      (content: typeof sound) => checkReport(RelayReport.fromPartial(content), () => undefined),
    ];
    for (const check of checks) {
      assert.deepEqual(read(check(sound)), sound);
      assert.deepEqual(read(check(odd)), { works: [work], arrivingTokens: 0, waiting: 0 });
    }
  });
});

describe("addresses that cannot be true", () => {
  it("are not dialled, nor more than a fleet has", () => {
    const made = Array.from(
      { length: 50_000 },
      (_, index) => `10.0.${index >> 8}.${index & 255}:1`,
    );
    const heardAddresses = ["", "x".repeat(100_000), ...made];
    const beat = { instance: "n2", incarnation: "n2/1", address: "127.0.0.1:1", heardAddresses };
    const { heartbeats, view, context } = createParts(base, () => false);
    heartbeats.onBeat(Beat.fromPartial(beat));
    const addresses = view.members.listAddresses();
    void context.client.close();
    assert.ok(addresses.includes("10.0.0.0:1") && addresses.length <= 10_001);
    assert.ok(addresses.every(({ length }) => length > 0 && length <= 512));
  });
});

describe("a limit that cannot be true", () => {
  const MAX_COUNT = 2 ** 32 - 1;
  const { sources } = parts.limitState;
  const ask = (content: Partial<PermitRequest>, now: number) =>
    answerPermit(sources, parts.limitState, PermitRequest.fromPartial(content), now);

  for (const perSecond of ODD) {
    it(`in a heartbeat is not taken for one: ${perSecond}`, () => {
      const process = { endpoint: `told ${perSecond}`, processStartedAt: 1 };
      receive({ endpointLimits: [{ ...process, perSecond, ageMs: 0 }] }, start);
      assert.equal(sources.limits.find(process), undefined);
    });

    it(`in an ask is denied, and the asks after it are as before: ${perSecond}`, () => {
      const process = { endpoint: `asked ${perSecond}`, processStartedAt: 1 };
      const sound = { limit: { ...process, perSecond: 10, ageMs: 0 }, count: 1 };
      ask(sound, start);
      const odd = { limit: { ...process, perSecond, ageMs: 0 }, count: 1 };
      assert.equal(ask(odd, start + 1).granted, false);
      assert.ok(ask(sound, start + LONG_MS).granted);
    });

    it(`of a cold endpoint is denied as well: ${perSecond}`, () => {
      const process = { endpoint: `cold ${perSecond}`, processStartedAt: 1 };
      const cold = { ...process, remainingMs: 1000 };
      const odd = { limit: { ...process, ageMs: 0 }, count: 1, cold, coldPerSecond: perSecond };
      assert.equal(ask(odd, start).granted, false);
      const sound = { limit: { ...process, perSecond: 10, ageMs: 0 }, count: 1 };
      ask(sound, start);
      assert.ok(ask(sound, start + LONG_MS).granted);
    });
  }

  it("does not use up what the endpoint takes: a number of sends", () => {
    const limit = { endpoint: "count", processStartedAt: 1, perSecond: 10, ageMs: 0 };
    ask({ limit, count: 1 }, start);
    assert.equal(ask({ limit, count: MAX_COUNT }, start + 2000).granted, false);
    assert.ok(ask({ limit, count: 1 }, start + 2000).granted);
  });

  it("does not use up the memory of the process: a number of sends to an endpoint that begins", () => {
    const process = { endpoint: "paced", processStartedAt: 1, ageMs: 0 };
    const odd = { limit: process, paced: process, count: MAX_COUNT };
    assert.equal(ask(odd, start).granted, false);
  });
});

describe("a delay that cannot be true", () => {
  it("in the reply of the owner of a limit does not end the sends to the endpoint", async () => {
    const members = { findAddress: () => "127.0.0.1:1" } as unknown as MemberList;
    const reply = { granted: false, retryAfterMs: 2 ** 32 - 1, paceOver: false };
    const transport = { permit: () => Promise.resolve(reply) } as unknown as GrpcFleetTransport;
    const permits = new PeerPermitTransport(members, transport, base.clock);
    const process = { endpoint: "e", processStartedAt: 1 };
    const limit = { perSecond: 1, cold: undefined, pacedSince: undefined };
    const ask = { process, limit, word: undefined, count: 1, outcomes: undefined };
    const decision = await permits.request("n2", ask, 100);
    assert.ok(decision !== undefined && decision.retryAfterMs <= 60_000);
  });
});

describe("a remaining time that cannot be true", () => {
  it("does not keep an engine absent: that of an order", () => {
    const entry = createEntry("e1", "127.0.0.1:1", {
      service: "models",
      stage: EngineStage.decode,
    });
    const value = Buffer.from(JSON.stringify(entry));
    const record = { key: entry.id, value, position: { era: 0, offset: 1 } };
    parts.view.watcher.applyEndpoints({ records: [record], next: LOG_START }, 0, "test");
    const isFull = (now: number) => parts.reservations.listViews("models", now)[0]?.isFull;
    receive({ absences: [{ engine: entry.id, remainingMs: 2 ** 32 - 1 }] }, start);
    assert.equal(isFull(start), false);
    receive({ absences: [{ engine: entry.id, remainingMs: 6000 }] }, start);
    assert.deepEqual([isFull(start), isFull(start + 6001)], [true, false]);
  });
});

describe("a speed that cannot be true", () => {
  for (const tokensPerMs of [1e300, 1e-300]) {
    it(`does not change the stages of engines: ${tokensPerMs}`, () => {
      const read = () => parts.peerState.readStageLoad("models").tokensPerMs;
      receive({ engineSpeeds: [{ service: "models", tokensPerMs }] }, base.clock.now());
      assert.equal(read(), 30);
    });
  }
});

describe("a number of instances that cannot be true", () => {
  it("does not have the fleet use relays, nor is it told on", () => {
    const beat = { instance: "n2", incarnation: "n2/1", address: "127.0.0.1:1" };
    const told = Beat.fromPartial({ ...beat, fleetSize: 2 ** 32 - 1 });
    assert.ok((parts.heartbeats.onBeat(told).fleetSize ?? 0) < 10);
    assert.ok((parts.heartbeats.onBeat(told).fleetSize ?? 0) < 10);
  });
});
