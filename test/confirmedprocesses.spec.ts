/**
 * Connections to an engine whose processes follow each other, in any order of restarts, entries, questions and answers.
 * Guards against one that is taken for the listed process's though a later one has it.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { ConfirmedProcesses } from "../src/forward/endpoints/confirmedprocesses";
import { createEntry } from "./harness/forward";

/** What happens at one moment. */
const Step = {
  restart: "restart",
  readEntry: "read entry",
  connect: "connect",
  ask: "ask",
  /** The question that was asked first reaches the engine. */
  answer: "answer",
  /** The answer that was given first arrives. */
  arrive: "arrive",
} as const;
type Step = (typeof Step)[keyof typeof Step];

interface Question {
  readonly listed: number;
  readonly askedAt: number;
}

/** An engine, its list as an instance reads it, and that instance's connections and questions. */
class Model {
  readonly confirmed = new ConfirmedProcesses();
  private now = 0;
  private process = 1;
  private listed = 1;
  private connections: { readonly process: number; readonly listed: number; openedAt: number }[] =
    [];
  private readonly asked: Question[] = [];
  private readonly answered: Question[] = [];

  play(step: Step): void {
    this.now += 1;
    if (step === Step.restart) this.restart();
    if (step === Step.readEntry) this.listed = this.process;
    if (step === Step.connect) this.connect();
    if (step === Step.ask) this.asked.push({ listed: this.listed, askedAt: this.now });
    if (step === Step.answer) this.answer();
    if (step === Step.arrive) this.arrive();
  }

  /** The open connections that count as the listed process's. */
  listCovered() {
    const { connections, confirmed } = this;
    return connections.filter(({ listed, openedAt }) =>
      confirmed.covers(createModelEntry(listed), openedAt),
    );
  }

  get openCount(): number {
    return this.connections.length;
  }

  private connect(): void {
    const { process, listed, now: openedAt } = this;
    this.connections.push({ process, listed, openedAt });
  }

  private restart(): void {
    this.process += 1;
    this.connections = [];
  }

  private answer(): void {
    const question = this.asked.shift();
    if (question?.listed === this.process) this.answered.push(question);
  }

  private arrive(): void {
    const question = this.answered.shift();
    if (question !== undefined)
      this.confirmed.record(createModelEntry(question.listed), question.askedAt);
  }
}

const createModelEntry = (processStartedAt: number) =>
  createEntry("d1", "127.0.0.1:1", { processStartedAt });

const steps = fc.array(fc.constantFrom(...Object.values(Step)), { maxLength: 40 });

describe("a connection to an engine", () => {
  it("counts as the listed process's only if it is", () => {
    fc.assert(
      fc.property(steps, (played) => {
        const model = new Model();
        for (const step of played) {
          model.play(step);
          for (const { process, listed } of model.listCovered()) assert.equal(process, listed);
        }
      }),
      { numRuns: 5000 },
    );
  });

  it("counts as the listed process's once that has answered a question asked later", () => {
    const model = new Model();
    for (const step of [Step.connect, Step.ask, Step.answer, Step.arrive]) model.play(step);
    assert.deepEqual([model.listCovered().length, model.openCount], [1, 1]);
  });
});

describe("the processes that have answered", () => {
  it("are bounded in number; the one that was asked first is forgotten first", () => {
    const confirmed = new ConfirmedProcesses(2);
    const engines = ["a", "b", "c"].map((id) => createEntry(id, "127.0.0.1:1"));
    engines.forEach((engine, index) => {
      confirmed.record(engine, index);
    });
    assert.deepEqual(
      engines.map((engine) => confirmed.covers(engine, 0)),
      [false, true, true],
    );
  });
});
