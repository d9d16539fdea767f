/**
 * Streams that callers take up while it may not be known yet which process of an engine began them, in any order of
 * restarts, entries, answers and take-ups. Guards against the listed process taken for the writer though another wrote.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { ManualClock } from "../src/core/clock";
import type { EndpointEntry } from "../src/fleet/entries";
import { EndpointDirectory } from "../src/fleet/directory";
import { ConfirmedProcesses } from "../src/forward/endpoints/confirmedprocesses";
import { compareProcess, ProcessState } from "../src/forward/endpoints/processcheck";
import {
  decideWriter,
  computeAskingMs,
  TakeUpCheck,
  WriterState,
} from "../src/forward/generations/takeupcheck";
import type { StreamOrigin } from "../src/forward/shared";
import { createEntry, testCodecs } from "./harness/forward";
import { MemoryFeed } from "./harness/memory";

const ENGINE = "d1";
const SERVICE = "models";
/** Time from the begin of a stream from which nobody asks any more, in milliseconds. */
const SETTLED_MS = 1500;

/** What happens at one moment. */
const Step = {
  restart: "restart",
  readEntry: "read entry",
  begin: "begin",
  takeUp: "take up",
  /** The questions that are under way reach the engine, which answers them. */
  answer: "answer",
  /** The answers arrive. */
  arrive: "arrive",
  /** Questions that were not answered get none in time. */
  fail: "fail",
  pass: "pass",
} as const;
type Step = (typeof Step)[keyof typeof Step];

interface Stream {
  readonly writer: number;
  readonly origin: StreamOrigin;
}

interface Question {
  readonly listed: number;
  /** Undefined before the engine has answered. */
  state?: ProcessState;
  readonly arrive: (state: ProcessState) => void;
}

interface TakenUp {
  readonly stream: Stream;
  readonly takenUpAt: number;
  readonly state: WriterState;
}

/** An engine whose processes follow each other, and an instance at which its streams are taken up. */
class Model {
  readonly takenUp: TakenUp[] = [];
  questions = 0;
  private readonly clock = new ManualClock(10_000);
  private readonly feed = new MemoryFeed();
  private readonly directory = new EndpointDirectory(testCodecs.decodeEndpoint);
  private readonly confirmed = new ConfirmedProcesses();
  private readonly check: TakeUpCheck;
  private process = 1;
  private sequence = 0;
  private streams: Stream[] = [];
  private asked: Question[] = [];
  private readonly checks: Promise<void>[] = [];

  constructor() {
    const { clock, directory, confirmed } = this;
    this.check = new TakeUpCheck({
      ...{ clock, directory, readWallClock: () => clock.now() },
      askWriter: async (engine, wroteBy) => ({
        state: confirmed.covers(engine, wroteBy) ? ProcessState.same : await this.ask(engine),
      }),
    });
    this.readEntry();
  }

  async play(step: Step): Promise<void> {
    this.clock.advance(1);
    if (step === Step.restart) this.process += 1;
    if (step === Step.readEntry) this.readEntry();
    if (step === Step.begin) this.begin();
    if (step === Step.takeUp) this.takeUp();
    if (step === Step.answer) this.answer();
    if (step === Step.arrive) this.arrive();
    if (step === Step.fail) this.fail();
    if (step === Step.pass) this.clock.advance(400);
    await new Promise((resolve) => setImmediate(resolve));
  }

  async end(): Promise<void> {
    for (const step of [Step.arrive, Step.fail, Step.fail]) await this.play(step);
    await Promise.all(this.checks);
  }

  private readEntry(): void {
    this.sequence += 1;
    const more = { service: SERVICE, sequence: this.sequence, processStartedAt: this.process };
    const value = Buffer.from(JSON.stringify(createEntry(ENGINE, "127.0.0.1:1", more)));
    this.feed.put(ENGINE, value);
    const { feed, directory } = this;
    const records = feed.records.slice(directory.next.offset);
    directory.apply({ records, next: feed.next }, this.clock.now());
  }

  private begin(): void {
    const processStartedAt = this.directory.find(ENGINE)?.processStartedAt ?? 0;
    const origin = { service: SERVICE, version: "v", endpoint: ENGINE, processStartedAt };
    this.streams.push({ writer: this.process, origin: { ...origin, beganAt: this.clock.now() } });
  }

  private takeUp(): void {
    const takenUpAt = this.clock.now();
    for (const stream of this.streams) {
      const check = async () => {
        const { writer: state } = await this.check.check(stream.origin, "r");
        this.takenUp.push({ stream, takenUpAt, state });
      };
      this.checks.push(check());
    }
  }

  private ask(engine: EndpointEntry): Promise<ProcessState> {
    this.questions += 1;
    const askedAt = this.clock.now();
    return new Promise((resolve) => {
      const arrive = (state: ProcessState) => {
        if (state === ProcessState.same) this.confirmed.record(engine, askedAt);
        resolve(state);
      };
      this.asked.push({ listed: engine.processStartedAt, arrive });
    });
  }

  private answer(): void {
    for (const question of this.asked)
      question.state ??= compareProcess(question.listed, this.process);
  }

  private arrive(): void {
    const { asked } = this;
    this.asked = asked.filter(({ state }) => state === undefined);
    for (const { state, arrive } of asked) if (state !== undefined) arrive(state);
  }

  private fail(): void {
    const { asked } = this;
    this.asked = asked.filter(({ state }) => state !== undefined);
    for (const { state, arrive } of asked) if (state === undefined) arrive(ProcessState.silent);
  }

  /** Checks whether the list says by now that another process has the engine's place. */
  isListedAnew({ processStartedAt }: StreamOrigin): boolean {
    return this.directory.find(ENGINE)?.processStartedAt !== processStartedAt;
  }
}

const steps = fc.array(fc.constantFrom(...Object.values(Step)), { maxLength: 40 });

async function play(played: readonly Step[]): Promise<Model> {
  const model = new Model();
  for (const step of played) await model.play(step);
  await model.end();
  return model;
}

describe("a stream that a caller takes up", () => {
  it("is not taken for the listed process's if another one began it, unless nobody could say so in time", async () => {
    await fc.assert(
      fc.asyncProperty(steps, async (played) => {
        const model = await play(played);
        for (const { stream, takenUpAt, state } of model.takenUp) {
          const { writer, origin } = stream;
          const isYoung = takenUpAt - origin.beganAt < SETTLED_MS;
          const isWrong = writer !== origin.processStartedAt;
          if (isYoung && isWrong && !model.isListedAnew(origin))
            assert.notEqual(state, WriterState.settled);
        }
      }),
      { numRuns: 1000 },
    );
  });

  it("is its engine's once that has said that it is the listed process", async () => {
    const { takenUp } = await play([Step.begin, Step.takeUp, Step.answer, Step.arrive]);
    assert.deepEqual(
      takenUp.map(({ state }) => state),
      [WriterState.settled],
    );
  });

  it("is not taken for the listed process's by an answer that was given before the stream began", async () => {
    const before = [Step.begin, Step.takeUp, Step.answer, Step.restart];
    const { takenUp } = await play([...before, Step.begin, Step.takeUp, Step.arrive]);
    const later = takenUp.filter(({ stream }) => stream.writer === 2);
    assert.deepEqual(
      later.map(({ state }) => state),
      [WriterState.unsettled],
    );
  });

  it("is asked after on its own, whatever becomes of another one's question", async () => {
    const first = [Step.begin, Step.takeUp];
    const { takenUp } = await play([...first, Step.begin, Step.takeUp, Step.fail]);
    const { questions } = await play([...first, Step.fail, Step.takeUp, Step.answer, Step.arrive]);
    assert.deepEqual([takenUp.length, questions], [3, 2]);
  });

  it("is not asked after once the time for the question is over", async () => {
    const pass = Array.from({ length: 4 }, () => Step.pass);
    const { questions, takenUp } = await play([Step.begin, ...pass, Step.takeUp]);
    assert.deepEqual([questions, takenUp[0]?.state], [0, WriterState.settled]);
  });
});

describe("the answer to the question who began a stream", () => {
  it("is known only from one that answers", () => {
    const decided = Object.values(ProcessState).map((state) => [state, decideWriter(state)]);
    assert.deepEqual(Object.fromEntries(decided), {
      same: "settled",
      other: "other",
      untold: "settled",
      silent: "unsettled",
    });
  });

  it("is looked for as long as the first instance may be asking, by clocks that differ", () => {
    assert.deepEqual([-100, 0, 400, SETTLED_MS - 1, SETTLED_MS].map(computeAskingMs), [
      SETTLED_MS,
      SETTLED_MS,
      1100,
      1,
      0,
    ]);
  });
});
