/**
 * A request that an instance sends to a scheduler again and again, each time on a new session, while the messages of
 * the sessions before still arrive, in any order between sessions. Guards against a request that its scheduler has
 * forgotten though the session that sent it last is open, and against one that is answered without end.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { createBlackboard } from "../src/board/board";
import { RESERVING_POLICY } from "../src/control/policy";
import { PoolScheduler } from "../src/control/scheduler";
import { ManualClock } from "../src/core/clock";
import { type Endpoint, Role } from "../src/core/config/objects";
import { SILENT_LOGGER } from "../src/core/log";
import type { Metrics } from "../src/core/metrics";
import type { Want } from "../src/peer/gen/peer";

const PATIENCE_MS = 1000;
const TICKS = 5;
const REQUEST_ID = "r1";

const WANT: Want = {
  id: REQUEST_ID,
  workspace: "walls",
  class: "usual",
  model: "m",
  route: "draft",
  pool: "drafter",
  promptTokens: 10,
  outputTokens: 10,
  firstTokenMs: PATIENCE_MS,
  patienceMs: PATIENCE_MS,
  blocks: [],
  fingerprint: "f1",
  dataCentre: "nizwa",
  exclude: [],
  resumed: false,
  crashes: [],
};
const DONE = { id: REQUEST_ID, stage: "ended", fault: "cancelled", engine: "" };
const SILENT_METRICS = {
  gauge: () => undefined,
  count: () => undefined,
} as unknown as Metrics;

/** What a session brings, in order. */
type Message = "end" | "request" | "close";

function createEngine(role: Role): Endpoint {
  return { url: "http://127.0.0.1:1", role, models: ["m"], dataCentre: "nizwa", pool: "drafter" };
}

/** Creates a scheduler of engines that have reported nothing, so that each request waits for its whole patience. */
function createScheduler(clock: ManualClock): PoolScheduler {
  const board = createBlackboard();
  const state = board.config.read();
  const endpoints = { p: createEngine(Role.prefill), d: createEngine(Role.decode) };
  board.config.write({ ...state, configuration: { ...state.configuration, endpoints } });
  const onNewPool = () => undefined;
  return new PoolScheduler(
    board,
    clock,
    RESERVING_POLICY,
    SILENT_LOGGER,
    SILENT_METRICS,
    onNewPool,
  );
}

/** Lists what each session brings: an end of the wait before may be lost, and all but the last session close. */
function listMessages(keepsEnd: readonly boolean[]): Message[][] {
  return keepsEnd.map((hasEnd, index) => {
    const isLast = index === keepsEnd.length - 1;
    return [...(hasEnd ? ["end" as const] : []), "request", ...(isLast ? [] : ["close" as const])];
  });
}

/** Delivers a message of a session to the scheduler. */
function deliver(scheduler: PoolScheduler, session: string, message: Message): void {
  if (message === "close") scheduler.closeSession(session);
  else if (message === "end") scheduler.onBookRequest(session, { wants: [], done: [DONE] });
  else scheduler.onBookRequest(session, { wants: [WANT], done: [] });
}

/** Plays messages in the order of the picks; returns which sessions were answered. */
function play(keepsEnd: readonly boolean[], picks: readonly number[]): readonly string[] {
  const clock = new ManualClock(10_000);
  const scheduler = createScheduler(clock);
  const answers: string[] = [];
  const queues = listMessages(keepsEnd);
  for (const index of queues.keys()) {
    const name = `session-${index}`;
    const send = ({ refusals }: { refusals: readonly unknown[] }) => {
      answers.push(...refusals.map(() => name));
    };
    scheduler.openSession({ name, send });
  }
  const picksLeft = [...picks];
  for (;;) {
    const open = [...queues.entries()].filter(([, queue]) => queue.length > 0);
    const [index, queue] = open[(picksLeft.shift() ?? 0) % Math.max(1, open.length)] ?? [];
    const message = queue?.shift();
    if (message === undefined) break;
    deliver(scheduler, `session-${index}`, message);
  }
  clock.advance(PATIENCE_MS + 1);
  for (let tick = 0; tick < TICKS; tick += 1) scheduler["tick"]();
  return answers;
}

describe("a request that is sent on one session after the other", () => {
  it("is answered once, on the last, in whichever order the sessions' messages arrive", () => {
    const keepsEnd = fc.array(fc.boolean(), { minLength: 1, maxLength: 4 });
    const picks = fc.array(fc.nat(11), { maxLength: 12 });
    fc.assert(
      fc.property(keepsEnd, picks, (ends, order) => {
        assert.deepEqual(play(ends, order), [`session-${ends.length - 1}`]);
      }),
      { numRuns: 500, seed: 20261207 },
    );
  });
});
