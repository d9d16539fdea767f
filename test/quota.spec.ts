/**
 * Rates of workspaces over fleets of 2 to 200 instances, in virtual time, by the history of all admitted requests.
 * Guards against windows over a rate when the owner of an account is killed, frozen, cut off or doubled, and against
 * requests that are refused although their workspace is within its rate.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import type { RateLimit } from "../src/fleet/config";
import { Quotas } from "../src/forward/shared/quota";
import { computeMaxWindow, QuotaFleet } from "./harness/quotafleet";

const WINDOW_MS = 8000;
const TOLERANCE = { ratio: 0.1, slack: 72_000, windowMs: WINDOW_MS };
/** Mean costs of the requests: generations and plain requests. */
const COSTS = { generation: 5000, plain: 200 } as const;
const GENERATION_SHARE = 0.3;
const MEAN_COST = COSTS.generation * GENERATION_SHARE + COSTS.plain * (1 - GENERATION_SHARE);
const HOT = "hot";
const LIMITS: ReadonlyMap<string, RateLimit> = new Map(
  [
    ["large", 100_000],
    ["medium", 30_000],
    ["small", 8000],
    [HOT, 12_000],
  ].map(([name, perSecond]) => [name as string, { perSecond, burst: perSecond } as RateLimit]),
);

function computeBound({ perSecond, burst }: RateLimit): number {
  const { ratio, slack, windowMs } = TOLERANCE;
  return ((perSecond * windowMs) / 1000 + burst) * (1 + ratio) + slack;
}

/** Has callers send requests at `share` of each rate, and at seven times that of the hot workspace. */
function startTraffic(fleet: QuotaFleet, size: number, share: number, endsAt: number): void {
  for (const [workspace, { perSecond }] of LIMITS) {
    const costPerSecond = perSecond * (workspace === HOT ? 7 : share);
    const meanGapMs = (1000 * MEAN_COST) / costPerSecond;
    const sendNext = () => {
      if (fleet.now > endsAt) return;
      // Squared, so that some instances get far more requests than others.
      const index = Math.floor(fleet.draw() ** 2 * size);
      const mean = fleet.draw() < GENERATION_SHARE ? COSTS.generation : COSTS.plain;
      fleet.request(index, workspace, Math.round(mean * (0.4 + fleet.draw() * 1.2)));
      fleet.events.schedule(-Math.log(1 - fleet.draw()) * meanGapMs, sendNext);
    };
    fleet.events.schedule(fleet.draw() * meanGapMs, sendNext);
  }
}

function assertNoWindowOver(fleet: QuotaFleet): void {
  for (const [workspace, limit] of LIMITS) {
    const admitted = fleet.offered.filter(
      (request) => request.isAdmitted && request.workspace === workspace,
    );
    const used = computeMaxWindow(admitted, WINDOW_MS);
    const bound = computeBound(limit);
    assert.ok(used <= bound, `${workspace}: ${used} of ${bound} in one window`);
  }
}

/** Computes the share of the cost that one exact bucket would admit, and that was refused. */
function computeWrongfulShare(fleet: QuotaFleet, workspace: string, limit: RateLimit): number {
  let level = limit.burst;
  let refilledAt = 0;
  let inside = 0;
  let wrongful = 0;
  const offered = fleet.offered.filter((request) => request.workspace === workspace);
  for (const { at, cost, isAdmitted } of offered.sort((a, b) => a.at - b.at)) {
    level = Math.min(limit.burst, level + ((at - refilledAt) * limit.perSecond) / 1000);
    refilledAt = at;
    if (cost > level) continue;
    level -= cost;
    inside += cost;
    if (!isAdmitted) wrongful += cost;
  }
  return wrongful / Math.max(1, inside);
}

describe("the rates of workspaces over a fleet", () => {
  for (const [size, seconds] of [
    [2, 40],
    [6, 40],
    [60, 20],
    [200, 10],
  ] as const) {
    it(`are given whole and never exceeded by ${size} instances with uneven load`, async () => {
      const fleet = new QuotaFleet(size, 7 + size, TOLERANCE, LIMITS);
      const startedAt = fleet.now + 12_000;
      await fleet.events.runUntil(startedAt);
      startTraffic(fleet, size, 0.75, startedAt + seconds * 1000);
      await fleet.events.runUntil(startedAt + seconds * 1000 + 1000);
      assertNoWindowOver(fleet);
      for (const [workspace, limit] of LIMITS) {
        if (workspace === HOT) continue;
        const share = computeWrongfulShare(fleet, workspace, limit);
        assert.ok(share < 0.01, `${workspace}: ${share} refused inside the rate`);
      }
      const hot = fleet.offered.filter(({ workspace }) => workspace === HOT);
      const admitted = hot
        .filter(({ isAdmitted }) => isAdmitted)
        .reduce((sum, { cost }) => sum + cost, 0);
      const rate = LIMITS.get(HOT)?.perSecond ?? 0;
      assert.ok(admitted >= 0.99 * rate * seconds, `${admitted} of ${rate * seconds}`);
    });
  }

  const event = fc.record({
    kind: fc.constantFrom("kill", "freeze", "cut", "heal", "restart", "restart all", "owner"),
    node: fc.nat(59),
    forMs: fc.integer({ min: 300, max: 6000 }),
    gapMs: fc.nat(3000),
  });
  for (const [size, numRuns] of [
    [2, 20],
    [6, 25],
    [60, 4],
  ] as const) {
    it(`are never exceeded while some of ${size} instances fail, whatever the schedule`, async () => {
      await fc.assert(
        fc.asyncProperty(
          fc.array(event, { maxLength: 10 }),
          fc.nat(1_000_000),
          async (schedule, seed) => {
            const fleet = new QuotaFleet(size, seed, TOLERANCE, LIMITS);
            const startedAt = fleet.now + 3000;
            const endsAt = startedAt + 16_000;
            await fleet.events.runUntil(startedAt);
            startTraffic(fleet, size, 1.5, endsAt);
            let at = 1000;
            for (const { kind, node, forMs, gapMs } of schedule) {
              at += gapMs;
              fleet.events.schedule(at, () => {
                const index = node % size;
                if (kind === "kill") fleet.kill(index);
                if (kind === "restart") fleet.restart(index);
                if (kind === "freeze") fleet.freeze(index, forMs);
                if (kind === "owner") fleet.freeze(0, forMs);
                if (kind === "cut") fleet.cut(index, 1);
                if (kind === "heal") fleet.cut(index, 0);
                if (kind === "restart all") {
                  for (let other = 0; other < size; other += 1) fleet.kill(other);
                  fleet.events.schedule(1000, () => {
                    for (let other = 0; other < size; other += 1) fleet.restart(other);
                  });
                }
              });
            }
            await fleet.events.runUntil(endsAt);
            assertNoWindowOver(fleet);
          },
        ),
        { numRuns, seed: 41 },
      );
    });
  }
});

describe("an account", () => {
  const LIMIT = { perSecond: 1000, burst: 1000 };
  const createQuotas = (tolerance = { ...TOLERANCE, slack: 4000 }) =>
    new Quotas(tolerance, () => ({ heard: 1, missing: 0 }), -60_000);

  it("admits every request that is within the rate", () => {
    const quotas = createQuotas();
    for (let now = 0; now < 20_000; now += 100) {
      const { isAdmitted, isOverRate } = quotas.admitAsOwner("w", LIMIT, 99, now);
      assert.deepEqual([isAdmitted, isOverRate], [true, false]);
    }
  });

  it("marks requests beyond the rate, and says when to retry a refused one", () => {
    const quotas = createQuotas();
    assert.equal(quotas.admitAsOwner("w", LIMIT, 1000, 0).isOverRate, false);
    assert.equal(quotas.admitAsOwner("w", LIMIT, 1000, 0).isOverRate, true);
    let decision = quotas.admitAsOwner("w", LIMIT, 1000, 0);
    while (decision.isAdmitted) decision = quotas.admitAsOwner("w", LIMIT, 1000, 0);
    assert.ok(decision.retryAfterMs > 0);
    assert.ok(quotas.admitAsOwner("w", LIMIT, 1000, decision.retryAfterMs + 1).isAdmitted);
  });

  it("does not begin full, and less so if other instances may have begun too", () => {
    const countAdmitted = (missing: number) => {
      const quotas = new Quotas(TOLERANCE, () => ({ heard: 1, missing }), 0);
      let admitted = 0;
      while (quotas.admitAsOwner("w", LIMIT, 10, 0).isAdmitted) admitted += 10;
      return admitted;
    };
    const tolerance = computeBound(LIMIT) - (LIMIT.perSecond * WINDOW_MS) / 1000 - LIMIT.burst;
    const alone = countAdmitted(0);
    assert.ok(alone > 0 && alone <= 0.1 * tolerance, `${alone} of ${tolerance}`);
    assert.ok(countAdmitted(3) * 4 <= alone + 40, "all of them together");
  });

  it("is given once by the shares of all instances together while no owner answers", () => {
    const admitByShares = (heard: number, missing: number) => {
      let admitted = 0;
      for (let instance = 0; instance < heard + missing; instance += 1) {
        const quotas = new Quotas(TOLERANCE, () => ({ heard, missing }), -60_000);
        for (let now = 0; now < WINDOW_MS; now += 100)
          while (quotas.admitByShare("w", LIMIT, 10, now).isAdmitted) admitted += 10;
      }
      return admitted;
    };
    for (const [heard, missing] of [
      [4, 0],
      [1, 3],
      [1, 59],
    ] as const) {
      const admitted = admitByShares(heard, missing);
      const rated = (LIMIT.perSecond * WINDOW_MS) / 1000;
      assert.ok(admitted >= rated, `${admitted} of ${rated} by ${heard} and ${missing}`);
      assert.ok(admitted <= computeBound(LIMIT), `${admitted} by ${heard} and ${missing}`);
    }
  });

  it("applies a lowered limit to the next request", () => {
    const quotas = createQuotas({ ...TOLERANCE, slack: 0, ratio: 0 });
    assert.ok(quotas.admitAsOwner("w", LIMIT, 1, 0).isAdmitted);
    const lowered = { perSecond: 10, burst: 10 };
    assert.equal(quotas.admitAsOwner("w", lowered, 500, 1).isAdmitted, false);
  });

  it("charges what a peer asked for only once, also when the peer reports it", () => {
    const quotas = createQuotas();
    const peer = { instance: "p", incarnation: "p/1", totalCost: 300 };
    quotas.applyPeerUsage("p", "p/1", [{ workspace: "w", cost: 300 }]);
    const [first] = quotas.admitForPeer(peer, "w", LIMIT, [400], 0);
    assert.equal(first?.isAdmitted, true);
    const full = first.levelBefore;
    quotas.applyPeerUsage("p", "p/1", [{ workspace: "w", cost: 700 }]);
    assert.equal(quotas.admitAsOwner("w", LIMIT, 1, 0).levelBefore, full - 400);
    quotas.applyPeerUsage("p", "p/1", [{ workspace: "w", cost: 750 }]);
    assert.equal(
      quotas.admitAsOwner("w", LIMIT, 1, 0).levelBefore,
      full - 451,
      "what it admitted by itself",
    );
    quotas.applyPeerUsage("p", "p/2", [{ workspace: "w", cost: 20 }]);
    assert.equal(
      quotas.admitAsOwner("w", LIMIT, 1, 0).levelBefore,
      full - 452,
      "a new process begins anew",
    );
  });
});
