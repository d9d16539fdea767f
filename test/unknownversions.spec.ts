/**
 * Services at which processes of unknown version began streams, whose callers may name their last event alone. Guards
 * against such a stream that goes on at the only listed version, and against sound ones that are refused for longer.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { ManualClock } from "../src/core/clock";
import { SILENT_LOGGER } from "../src/core/log";
import { UnknownVersions } from "../src/fleet/unknownversions";
import { VersionHistory } from "../src/fleet/versionhistory";
import { Meter } from "../src/forward/requests";
import { computeOpenMs, OpenQuestions } from "../src/forward/shared/openquestions";
import { StreamOrigins, type StreamOrigin } from "../src/forward/shared/origins";
import { UnknownOrigins } from "../src/forward/shared/unknownorigins";
import { createEntry } from "./harness/forward";

/** When a process that is not listed started; the listed one did at 1. */
const UNLISTED = 2;
const SERVICE = "models";
const VERSION = "v1";
/** How long after its first event a stream may be taken up, in milliseconds. */
const STREAM_MS = 6000;
/** How long an engine is asked, in milliseconds. */
const QUESTION_MS = 1000;
/** A time after which what was watched before does not count, in milliseconds. */
const FREEZE_MS = 3500;
/** How long a step takes that passes time, in milliseconds; many end as a stream's time does. */
const STEP_MS = [1, 50, 300, 900, STREAM_MS - 500, STREAM_MS, STREAM_MS + 1001] as const;

const Step = {
  /** The process that is not listed begins a stream, or the listed one does. */
  beginOther: "begin other",
  beginListed: "begin listed",
  /** The oldest question that is under way is answered; the withdrawal is sent to the other instance. */
  answer: "answer",
  /** The oldest withdrawal on the way arrives there. */
  deliver: "deliver",
  pass: "pass",
  freeze: "freeze",
  takeUpHere: "take up here",
  takeUpThere: "take up there",
} as const;
type Step = (typeof Step)[keyof typeof Step];

interface Stream {
  readonly isOther: boolean;
  readonly beganAt: number;
  isAnswered: boolean;
  isDelivered: boolean;
}

interface Question {
  readonly stream: Stream;
  readonly deadline: number;
  readonly end: () => void;
}

/** What one instance knows. */
class Instance {
  readonly history = new VersionHistory();
  readonly origins: StreamOrigins;
  readonly questions: OpenQuestions;

  constructor(private readonly clock: ManualClock) {
    const parts = {
      versionHistory: this.history,
      clock,
      meter: new Meter(),
      logger: SILENT_LOGGER,
    };
    const unknown = new UnknownOrigins({
      ...{ ...parts, readWallClock: () => clock.now() },
      computeStreamMs: () => STREAM_MS,
    });
    this.questions = new OpenQuestions(clock);
    this.origins = new StreamOrigins((origin) => {
      unknown.record(origin);
    });
  }

  observe(): void {
    const entry = createEntry("d1", "a:1", { service: SERVICE, version: VERSION });
    this.history.record([entry], this.clock.now());
  }

  /** Tells the version at which a stream goes on whose caller names its last event alone. */
  async takeUp(): Promise<string | undefined> {
    const openMs = await this.questions.wait(SERVICE, { maxWaitMs: 0 });
    if (openMs > 0) return undefined;
    return this.history.findOnly(SERVICE, STREAM_MS, this.clock.now());
  }
}

/** An instance at which streams begin, and another one that hears of it by messages. */
class Model {
  readonly clock = new ManualClock(1_000_000);
  readonly here = new Instance(this.clock);
  readonly there = new Instance(this.clock);
  sound = 0;
  refused = 0;
  private streams: Stream[] = [];
  private questions: Question[] = [];
  private messages: Stream[] = [];
  private watchedSince = this.clock.now();
  private streamCount = 0;

  constructor() {
    this.pass(2 * STREAM_MS);
  }

  async run(step: Step, ms: number): Promise<void> {
    switch (step) {
      case Step.beginOther:
      case Step.beginListed:
        this.begin(step === Step.beginOther);
        return;
      case Step.answer:
        await this.answer();
        return;
      case Step.deliver:
        this.deliver();
        return;
      case Step.pass:
        await this.endQuestions(ms);
        this.pass(ms);
        return;
      case Step.freeze:
        await this.endQuestions(FREEZE_MS);
        this.clock.advance(FREEZE_MS);
        this.watchedSince = this.clock.now();
        this.pass(0);
        return;
      case Step.takeUpHere:
        await this.check(this.here, ({ isOther }) => isOther);
        return;
      case Step.takeUpThere:
        await this.check(this.there, ({ isOther, isDelivered }) => isOther && isDelivered);
        return;
    }
  }

  private begin(isOther: boolean): void {
    const now = this.clock.now();
    const stream = { isOther, beganAt: now, isAnswered: false, isDelivered: false };
    this.streams.push(stream);
    let end: () => void = () => undefined;
    const asking = new Promise<void>((resolve) => (end = resolve));
    const deadline = now + QUESTION_MS;
    this.here.questions.add(SERVICE, asking, deadline);
    this.questions.push({ stream, deadline, end });
  }

  private async answer(): Promise<void> {
    const question = this.questions.shift();
    if (question === undefined) return;
    const { stream } = question;
    stream.isAnswered = true;
    if (stream.isOther) {
      this.record(this.here, stream);
      this.messages.push(stream);
    }
    question.end();
    await Promise.resolve();
  }

  private deliver(): void {
    const stream = this.messages.shift();
    if (stream === undefined) return;
    this.record(this.there, stream);
    stream.isDelivered = true;
  }

  private record({ origins }: Instance, { beganAt }: Stream): void {
    this.streamCount += 1;
    const engine = { endpoint: "d1", processStartedAt: UNLISTED, beganAt };
    const origin: StreamOrigin = { service: SERVICE, version: undefined, ...engine };
    const stream = { workspace: "", request: `s${this.streamCount}` };
    origins.record({ stream, origin }, this.clock.now());
  }

  /** Questions are answered, and withdrawals arrive, before their time is over. */
  private async endQuestions(ms: number): Promise<void> {
    const until = this.clock.now() + ms;
    while ((this.questions[0]?.deadline ?? Number.POSITIVE_INFINITY) <= until) await this.answer();
    while ((this.messages[0]?.beganAt ?? until) + QUESTION_MS < until) this.deliver();
  }

  private pass(ms: number): void {
    const end = this.clock.now() + ms;
    for (;;) {
      this.here.observe();
      this.there.observe();
      const left = end - this.clock.now();
      if (left <= 0) return;
      this.clock.advance(Math.min(left, 1000));
    }
  }

  /** @param isKnown - whether the instance must know of a stream that nobody may go on with it */
  private async check(instance: Instance, isKnown: (stream: Stream) => boolean): Promise<void> {
    const now = this.clock.now();
    const version = await instance.takeUp();
    const canReturn = ({ beganAt }: Stream) => now - beganAt <= STREAM_MS;
    if (this.streams.some((stream) => canReturn(stream) && isKnown(stream))) {
      assert.equal(version, undefined, "a stream of unknown version goes on");
      this.refused += 1;
    }
    // Withdrawals are at both within a second of the stream's begin.
    const isNear = ({ isOther, beganAt }: Stream) =>
      isOther && now - beganAt <= STREAM_MS + QUESTION_MS;
    const isOpen = instance === this.here && this.questions.length > 0;
    const isWatched = now - this.watchedSince >= STREAM_MS;
    if (isOpen || !isWatched || this.streams.some(isNear)) return;
    assert.equal(version, VERSION, "a sound stream is refused");
    this.sound += 1;
  }
}

describe("a service at which a process of unknown version was", () => {
  it("has no only version for as long as its streams may be taken up, in any order of streams, answers and messages", async () => {
    let sound = 0;
    let refused = 0;
    const common = [Step.pass, Step.takeUpHere, Step.takeUpThere, Step.answer, Step.deliver];
    const rare = [Step.beginListed, Step.beginOther, Step.freeze];
    const step = fc.tuple(
      fc.oneof(
        { weight: 14, arbitrary: fc.constantFrom(...common) },
        { weight: 1, arbitrary: fc.constantFrom(...rare) },
      ),
      fc.constantFrom(...STEP_MS),
    );
    await fc.assert(
      fc.asyncProperty(fc.array(step, { minLength: 20, maxLength: 90 }), async (steps) => {
        const model = new Model();
        for (const [name, ms] of steps) await model.run(name, ms);
        sound += model.sound;
        refused += model.refused;
      }),
      { numRuns: 500, seed: 20_261_207 },
    );
    assert.ok(sound > 100 && refused > 100, `${sound} sound, ${refused} refused take-ups`);
  });

  it("has one again once the list names that process, and none where that is another version", () => {
    for (const version of [VERSION, "v2"]) {
      const history = new VersionHistory();
      const listed = createEntry("d1", "a:1", { service: SERVICE, version: VERSION });
      const next = { ...listed, version, processStartedAt: UNLISTED };
      for (let now = 0; now <= 20_000; now += 1000) history.record([listed], now);
      const process = { endpoint: "d1", startedAt: UNLISTED };
      history.recordUnknown(SERVICE, 20_000, 36_000, process);
      history.record([listed], 20_500);
      assert.equal(history.findOnly(SERVICE, 16_000, 20_500), undefined);
      history.record([next], 21_000);
      const only = version === VERSION ? VERSION : undefined;
      assert.equal(history.findOnly(SERVICE, 16_000, 21_000), only);
    }
  });

  it("has none for as long as one of two such processes is not listed", () => {
    const history = new VersionHistory();
    const listed = createEntry("d1", "a:1", { service: SERVICE, version: VERSION });
    for (let now = 0; now <= 20_000; now += 1000) history.record([listed], now);
    for (const startedAt of [UNLISTED, UNLISTED + 1])
      history.recordUnknown(SERVICE, 20_000, 36_000, { endpoint: "d1", startedAt });
    history.record([{ ...listed, processStartedAt: UNLISTED }], 21_000);
    assert.equal(history.findOnly(SERVICE, 16_000, 21_000), undefined);
    history.record([{ ...listed, processStartedAt: UNLISTED + 1 }], 22_000);
    assert.equal(history.findOnly(SERVICE, 16_000, 22_000), VERSION);
  });

  it("is remembered over a time in which nothing was watched", () => {
    const history = new VersionHistory();
    const entry = createEntry("d1", "a:1", { service: SERVICE, version: VERSION });
    history.record([entry], 0);
    history.recordUnknown(SERVICE, 0, 16_000);
    const proof = { coveredMs: 60_000, processes: [{ entry, lastListedMs: 0 }] };
    history.recordProof(proof, 10_000);
    assert.equal(history.findOnly(SERVICE, 16_000, 10_000), undefined);
    history.recordProof(proof, 16_001);
    assert.equal(history.findOnly(SERVICE, 16_000, 16_001), VERSION);
  });

  it("has its origins written to the store", () => {
    const history = new VersionHistory();
    history.recordUnknown(SERVICE, 0, 16_000);
    assert.equal(history.hasSeveral(SERVICE, 16_000, 16_000), true);
    assert.equal(history.hasSeveral(SERVICE, 16_000, 16_001), false);
  });

  it("is forgotten in time, and among too many the first", () => {
    const unknown = new UnknownVersions();
    for (let index = 0; index < 1500; index += 1) unknown.record(`s${index}`, index, index + 100);
    assert.equal(unknown.size, 1024);
    assert.equal(unknown.hasSeen("s1499", 100, 1500), true);
    unknown.removeOld(1600);
    assert.equal(unknown.size, 0);
  });

  it("is not forgotten sooner for an earlier report that comes late", () => {
    const unknown = new UnknownVersions();
    unknown.record(SERVICE, 500, 1500);
    unknown.record(SERVICE, 100, 1100);
    unknown.removeOld(1400);
    assert.equal(unknown.hasSeen(SERVICE, 1000, 1500), true);
    assert.equal(unknown.hasSeen("others", 1000, 1500), false);
  });
});

describe("questions that are under way", () => {
  it("are told with the time after which none is", async () => {
    const clock = new ManualClock(1000);
    const questions = new OpenQuestions(clock);
    questions.add(SERVICE, new Promise(() => undefined), 1800);
    questions.add(SERVICE, new Promise(() => undefined), 1400);
    assert.equal(await questions.wait(SERVICE, { maxWaitMs: 0 }), 800);
    assert.equal(await questions.wait("others", { maxWaitMs: 0 }), 0);
    assert.equal(computeOpenMs([{ deadline: 900 }], 1000), 1);
  });

  it("are waited for, and are removed at their end", async () => {
    const questions = new OpenQuestions(new ManualClock(1000));
    const asking = new Promise<void>((resolve) => setTimeout(resolve, 20));
    questions.add(SERVICE, asking, 2000);
    assert.equal(await questions.wait(SERVICE), 0);
    assert.equal(questions.size, 0);
  });

  it("do not count for who came before them", async () => {
    const questions = new OpenQuestions(new ManualClock(1000));
    const asking = new Promise<void>((resolve) => setTimeout(resolve, 20));
    questions.add(SERVICE, asking, 2000);
    const waiting = questions.wait(SERVICE);
    questions.add(SERVICE, new Promise(() => undefined), 2000);
    assert.equal(await waiting, 0);
  });
});
