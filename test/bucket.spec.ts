/**
 * Token buckets of holders that lend to each other. Guards against a workspace that gets more than its rate and burst
 * over all holders, whatever is charged, lent, spent late, refunded or lost.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { TokenBucket } from "../src/core/bucket";

/** The rate is high enough for a bucket to fill up while a loan is open. */
const LIMIT = { rate: 400, burst: 500 };
const LOAN_MS = 1000;
const MARGIN_MS = 500;
const FOREVER_MS = 1e9;
const ROUNDING_TOLERANCE = 1e-6;

/** Tokens that a workspace used at a time, counted for the holder that charged or lent them. */
interface TokenUse {
  readonly at: number;
  readonly holder: number;
  tokens: number;
}

/** A charge or spent loan that can still be partly refunded. */
interface OpenCharge {
  readonly id: string;
  readonly holder: number;
  readonly tokens: number;
  readonly use: TokenUse;
}

interface Loan {
  readonly id: string;
  readonly lender: number;
  readonly tokens: number;
  readonly deadline: number;
}

type Step =
  | { readonly kind: "wait"; readonly ms: number }
  | { readonly kind: "charge"; readonly holder: number; readonly tokens: number }
  | { readonly kind: "drain"; readonly holder: number }
  | { readonly kind: "lend"; readonly holder: number; readonly tokens: number }
  | { readonly kind: "spend"; readonly pick: number; readonly isReported: boolean }
  | { readonly kind: "return"; readonly pick: number }
  | { readonly kind: "settle"; readonly pick: number; readonly share: number };

const holder = fc.integer({ min: 0, max: 1 });
const pick = fc.nat(20);
const tokens = fc.integer({ min: 1, max: 500 });
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constant("wait" as const),
    ms: fc.oneof(fc.integer({ min: 0, max: 900 }), fc.integer({ min: 0, max: 4000 })),
  }),
  fc.record({ kind: fc.constant("charge" as const), holder, tokens }),
  fc.record({ kind: fc.constant("drain" as const), holder }),
  fc.record({ kind: fc.constant("lend" as const), holder, tokens }),
  fc.record({ kind: fc.constant("spend" as const), pick, isReported: fc.boolean() }),
  fc.record({ kind: fc.constant("return" as const), pick }),
  fc.record({
    kind: fc.constant("settle" as const),
    pick,
    share: fc.integer({ min: 0, max: 4 }),
  }),
);

/** Simulates two holders that lend to each other; tokens count as used when they are spent. */
class BucketSimulation {
  private now = 0;
  private count = 0;
  private readonly buckets = [0, 1].map(() => new TokenBucket(LIMIT, 0, LIMIT.burst));
  private loans: Loan[] = [];
  private openCharges: OpenCharge[] = [];
  readonly uses: TokenUse[] = [];

  run(next: Step): void {
    if (next.kind === "wait") this.now += next.ms;
    else if (next.kind === "charge") this.charge(next.holder, next.tokens);
    else if (next.kind === "drain") this.drain(next.holder);
    else if (next.kind === "lend") this.lend(next.holder, next.tokens);
    else if (next.kind === "spend") this.spend(next.pick, next.isReported);
    else if (next.kind === "return") this.returnLoan(next.pick);
    else this.settle(next.pick, next.share);
  }

  private charge(index: number, wanted: number): void {
    const id = this.createId();
    if (this.buckets[index]?.charge(id, wanted, FOREVER_MS, this.now) !== true) return;
    this.recordUse({ id, holder: index, tokens: wanted });
  }

  private drain(index: number): void {
    this.charge(index, Math.floor(this.buckets[index]?.computeLevel(this.now) ?? 0));
  }

  private lend(index: number, wanted: number): void {
    const id = this.createId();
    const deadline = this.now + LOAN_MS;
    const lent =
      this.buckets[index]?.lend(id, wanted, deadline + MARGIN_MS, FOREVER_MS, this.now) ?? 0;
    if (lent > 0) this.loans.push({ id, lender: index, tokens: lent, deadline });
  }

  private spend(at: number, isReported: boolean): void {
    const [loan] = this.loans.splice(at % Math.max(1, this.loans.length), 1);
    if (loan === undefined || loan.deadline <= this.now) return;
    if (isReported) this.buckets[loan.lender]?.markLoanSpent(loan.id, this.now);
    this.recordUse({ id: loan.id, holder: loan.lender, tokens: loan.tokens });
  }

  private returnLoan(at: number): void {
    const [loan] = this.loans.splice(at % Math.max(1, this.loans.length), 1);
    if (loan !== undefined) this.buckets[loan.lender]?.settle(loan.id, loan.tokens, this.now);
  }

  private settle(at: number, share: number): void {
    const [open] = this.openCharges.splice(at % Math.max(1, this.openCharges.length), 1);
    if (open === undefined) return;
    const unused = Math.floor((open.tokens * share) / 4);
    open.use.tokens -= unused;
    this.buckets[open.holder]?.settle(open.id, unused, this.now);
  }

  private recordUse(charge: {
    readonly id: string;
    readonly holder: number;
    readonly tokens: number;
  }): void {
    const use = { at: this.now, holder: charge.holder, tokens: charge.tokens };
    this.uses.push(use);
    this.openCharges.push({ ...charge, use });
  }

  private createId(): string {
    this.count += 1;
    return `c${this.count}`;
  }
}

/** Computes the maximum, over all windows, of the tokens used beyond what rate and burst allow. */
function computeMaxExcess(uses: readonly TokenUse[], rate: number, burst: number): number {
  let worst = Number.NEGATIVE_INFINITY;
  for (const [first, { at: from }] of uses.entries()) {
    let sum = 0;
    for (const use of uses.slice(first)) {
      sum += use.tokens;
      worst = Math.max(worst, sum - burst - (rate * (use.at - from)) / 1000);
    }
  }
  return worst;
}

describe("a token bucket", () => {
  it("keeps the charges and loans of each holder within rate and burst in every window", () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const simulation = new BucketSimulation();
        for (const next of steps) simulation.run(next);
        for (const index of [0, 1]) {
          const uses = simulation.uses.filter((use) => use.holder === index);
          assert.ok(computeMaxExcess(uses, LIMIT.rate, LIMIT.burst) <= ROUNDING_TOLERANCE);
        }
      }),
      { numRuns: 3000 },
    );
  });

  it("refunds all unused tokens while it is not full", () => {
    const bucket = new TokenBucket(LIMIT, 0, LIMIT.burst);
    assert.equal(bucket.charge("a", 400, FOREVER_MS, 0), true);
    bucket.settle("a", 300, 250);
    assert.equal(bucket.computeLevel(250), 500);
  });

  it("counts a repeated charge of one id once", () => {
    const bucket = new TokenBucket(LIMIT, 0, LIMIT.burst);
    bucket.charge("a", 400, FOREVER_MS, 0);
    assert.equal(bucket.charge("a", 400, FOREVER_MS, 0), true);
    assert.equal(bucket.computeLevel(0), 100);
  });

  it("computes the wait until a charge is possible, infinite beyond the burst", () => {
    const bucket = new TokenBucket(LIMIT, 0, 0);
    assert.equal(bucket.computeWaitMs(200, 0), 500);
    assert.equal(bucket.computeWaitMs(501, 0), Number.POSITIVE_INFINITY);
  });

  it("does not refill the tokens of a loan that may still be spent", () => {
    const bucket = new TokenBucket(LIMIT, 0, LIMIT.burst);
    assert.equal(bucket.lend("a", 300, LOAN_MS + MARGIN_MS, FOREVER_MS, 0), 300);
    assert.equal(bucket.computeLevel(1400), 200);
    assert.equal(bucket.computeLevel(1600), 240);
  });

  it("does not refund tokens that would have overflowed meanwhile", () => {
    const bucket = new TokenBucket(LIMIT, 0, LIMIT.burst);
    bucket.charge("a", 500, FOREVER_MS, 0);
    bucket.charge("b", 500, FOREVER_MS, 1250);
    bucket.settle("a", 500, 1250);
    assert.equal(bucket.computeLevel(1250), 0);
  });

  it("counts the refund of one charge against the refund of the next", () => {
    const bucket = new TokenBucket(LIMIT, 0, LIMIT.burst);
    bucket.charge("a", 200, FOREVER_MS, 0);
    bucket.charge("b", 200, FOREVER_MS, 0);
    bucket.charge("c", 300, FOREVER_MS, 500);
    bucket.settle("a", 200, 500);
    bucket.settle("b", 200, 500);
    assert.equal(bucket.computeLevel(500), 200);
  });
});
