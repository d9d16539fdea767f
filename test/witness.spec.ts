/**
 * What a second connection to a service says of the process that wrote an answer. Guards against a process that died by the
 * end of its answer and counts as alive, and against one that ends unused connections and counts as dead, over random lives.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { WriterState } from "../src/core/assertedend";
import {
  judgeReopened,
  judgeWitness,
  UNACCEPTED_TIMEOUT_MS,
  WITNESS_TIMEOUT_MS,
  type Witnessed,
  WitnessState,
} from "../src/core/witness";

const RUNS = 5000;
const ENDED_AT = 1000;
/** How much later than it was read an end behind an upload is decided on, in milliseconds. */
const LATE_RESET_MS = 50;
const LONG_AGO = ENDED_AT - WITNESS_TIMEOUT_MS - 1;

/** The reference: when a process wrote the end, died, and ended the witness for its own reasons, on one clock. */
interface Life {
  readonly openedAt: number;
  /** Undefined if the process lives on. */
  readonly diedAfterMs: number | undefined;
  /** When it ended the witness though it lived, before the end; undefined if it did not. */
  readonly droppedBeforeMs: number | undefined;
  /** How much later than the end of the answer that of the witness arrives where the process dies. */
  readonly spreadMs: number;
  /** How long after the end of the answer was read it is decided on: a moment behind an upload. */
  readonly decidedAfterMs: number;
}

/** What this side sees when it decides. */
function observe(life: Life): Witnessed {
  const { openedAt, diedAfterMs, droppedBeforeMs, spreadMs, decidedAfterMs } = life;
  const droppedAt = ENDED_AT - (droppedBeforeMs ?? -Infinity);
  const dropAt = droppedAt > openedAt ? droppedAt : Infinity;
  const dieAt = diedAfterMs === undefined ? Infinity : ENDED_AT + spreadMs;
  const since = Math.min(dropAt, dieAt);
  if (dieAt <= openedAt) {
    return { state: WitnessState.refused, since: openedAt };
  }
  const observedUntil = ENDED_AT + Math.max(WITNESS_TIMEOUT_MS, decidedAfterMs);
  const isOver = since > openedAt && since <= observedUntil;
  return isOver
    ? { state: WitnessState.ended, since, openedAt }
    : { state: WitnessState.open, since: openedAt };
}

const lives: fc.Arbitrary<Life> = fc.record({
  openedAt: fc.integer({ min: ENDED_AT - 500, max: ENDED_AT + 200 }),
  diedAfterMs: fc.option(fc.constant(0), { nil: undefined }),
  droppedBeforeMs: fc.option(fc.integer({ min: WITNESS_TIMEOUT_MS + 1, max: 500 }), {
    nil: undefined,
  }),
  spreadMs: fc.integer({ min: -WITNESS_TIMEOUT_MS, max: WITNESS_TIMEOUT_MS }),
  decidedAfterMs: fc.constantFrom(0, LATE_RESET_MS),
});

/** Lives of processes that die by the end of their answer and keep the witness until then. */
const deaths = lives
  .map((life): Life => ({ ...life, diedAfterMs: 0, droppedBeforeMs: undefined }))
  .filter(({ openedAt, spreadMs }) => openedAt < ENDED_AT + Math.min(0, spreadMs));

describe("the witness of an answer", () => {
  it("is never alive for a process that died by the end, and never gone for one that lives", () => {
    fc.assert(
      fc.property(lives, (life) => {
        const told = judgeWitness(observe(life), ENDED_AT);
        const isDead = life.diedAfterMs !== undefined;
        if (isDead) assert.notEqual(told, WriterState.alive);
        else assert.notEqual(told, WriterState.gone);
      }),
      { numRuns: RUNS },
    );
  });

  it("is gone for a process that died by the end and kept it until then, however late that is decided on", () => {
    fc.assert(
      fc.property(deaths, (life) => {
        assert.equal(judgeWitness(observe(life), ENDED_AT), WriterState.gone);
      }),
      { numRuns: RUNS },
    );
  });

  const CASES: readonly (readonly [string, Witnessed, WriterState | undefined])[] = [
    ["open since before the end", { state: "open", since: ENDED_AT }, WriterState.alive],
    ["opened after the end", { state: "open", since: ENDED_AT + 1 }, WriterState.untold],
    ["ended with the answer", { state: "ended", since: ENDED_AT + 3 }, WriterState.gone],
    [
      "established after the end and ended at once",
      { state: "ended", since: ENDED_AT + 4, openedAt: ENDED_AT + 2 },
      undefined,
    ],
    ["refused at the end", { state: "refused", since: ENDED_AT + 1 }, WriterState.gone],
    ["not established", { state: "unreachable", since: ENDED_AT + 200 }, WriterState.silent],
    ["ended long before", { state: "ended", since: LONG_AGO }, undefined],
    ["refused long before", { state: "refused", since: LONG_AGO }, undefined],
    ["not established long before", { state: "unreachable", since: LONG_AGO }, undefined],
  ];
  for (const [name, witnessed, told] of CASES) {
    it(`says ${told ?? "nothing"} if it was ${name}`, () => {
      assert.equal(judgeWitness(witnessed, ENDED_AT), told);
    });
  }
});

/** The reference for a second connection, opened when the first one had ended: who took it, and what became of it. */
interface SecondLife {
  readonly openedAt: number;
  /** True if the process was dying since the first one's end, and takes connections until it has ended all others. */
  readonly isDying: boolean;
  /** How much later than the end of the answer those are reset that it has not accepted. */
  readonly resetAfterMs: number;
  /** When a process that lives ends it, as it is not used; undefined if it keeps it. */
  readonly droppedAt: number | undefined;
}

function observeSecond({ openedAt, isDying, resetAfterMs, droppedAt }: SecondLife): Witnessed {
  if (isDying) return { state: WitnessState.reset, since: ENDED_AT + resetAfterMs, openedAt };
  return droppedAt !== undefined && droppedAt > openedAt
    ? { state: WitnessState.ended, since: droppedAt, openedAt }
    : { state: WitnessState.open, since: openedAt, openedAt };
}

describe("the second connection beside an answer, opened as its witness has ended", () => {
  const secondLives: fc.Arbitrary<SecondLife> = fc.record({
    openedAt: fc.integer({ min: ENDED_AT - 500, max: ENDED_AT }),
    isDying: fc.boolean(),
    resetAfterMs: fc.integer({ min: 0, max: UNACCEPTED_TIMEOUT_MS }),
    droppedAt: fc.option(
      fc.integer({ min: ENDED_AT - 500, max: ENDED_AT + UNACCEPTED_TIMEOUT_MS }),
      { nil: undefined },
    ),
  });

  it("is gone for a process that was dying, and never gone nor alive for one that ends unused ones", () => {
    fc.assert(
      fc.property(secondLives, (life) => {
        const told = judgeReopened(observeSecond(life), ENDED_AT);
        if (life.isDying) assert.equal(told, WriterState.gone);
        else assert.ok(told === undefined || told === WriterState.untold, told);
      }),
      { numRuns: RUNS },
    );
  });

  const CASES: readonly (readonly [string, Witnessed, WriterState | undefined])[] = [
    ["refused with the answer", { state: "refused", since: ENDED_AT }, WriterState.gone],
    ["refused long before", { state: "refused", since: LONG_AGO }, undefined],
    ["reset long before", { state: "reset", since: LONG_AGO, openedAt: LONG_AGO }, undefined],
  ];
  for (const [name, witnessed, told] of CASES) {
    it(`says ${told ?? "nothing"} if it was ${name}`, () => {
      assert.equal(judgeReopened(witnessed, ENDED_AT), told);
    });
  }
});
