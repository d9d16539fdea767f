/**
 * Runs that go on with a stream, in any order of restarts, entries, checks and sends. Guards against events of two
 * versions in one stream, and against sound engines that a stream can't go on at.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import {
  compareProcess,
  isOtherProcess,
  ProcessState,
} from "../src/forward/endpoints/processcheck";
import { mayJoin, needsList } from "../src/forward/generations/joinguard";
import { createEntry } from "./harness/forward";

const ORIGIN_VERSION = "v1";
const VERSIONS = ["v1", "v2"];

/** What happens at the engine between two steps of the instance. */
const Happening = {
  sameVersion: "same version",
  otherVersion: "other version",
  entry: "entry",
} as const;
type Happening = (typeof Happening)[keyof typeof Happening];

/** How a check is answered: as it is, not in time, or without a start. */
type Answering = "tells" | "silent" | "untold";

interface EngineProcess {
  readonly startedAt: number;
  readonly version: string;
}

/** An engine, and the list as it is read: both only go forward. */
class ModelEngine {
  private current: EngineProcess = { startedAt: 1, version: ORIGIN_VERSION };
  private listed = this.current;

  constructor(private readonly publishesAtOnce: boolean) {}

  apply(happenings: readonly Happening[]): void {
    for (const happening of happenings) {
      if (happening === Happening.entry) this.listed = this.current;
      else this.restart(happening === Happening.sameVersion);
    }
  }

  get process(): EngineProcess {
    return this.current;
  }

  get entry() {
    const { startedAt: processStartedAt, version } = this.listed;
    return createEntry("d1", "127.0.0.1:1", { service: "models", version, processStartedAt });
  }

  check(listedAt: number, answering: Answering): ProcessState {
    if (answering === "silent") return ProcessState.silent;
    return compareProcess(listedAt, answering === "tells" ? this.current.startedAt : undefined);
  }

  private restart(isSame: boolean): void {
    const { startedAt, version } = this.current;
    const other = VERSIONS.find((each) => each !== version) ?? version;
    this.current = { startedAt: startedAt + 1, version: isSame ? version : other };
    if (this.publishesAtOnce) this.listed = this.current;
  }
}

interface Play {
  readonly publishesAtOnce: boolean;
  readonly gaps: readonly (readonly Happening[])[];
  readonly answers: readonly [Answering, Answering];
}

/** Plays one run that goes on; returns the process that wrote it if it was joined. */
function playRun({ publishesAtOnce, gaps, answers }: Play): EngineProcess | undefined {
  const engine = new ModelEngine(publishesAtOnce);
  engine.apply(gaps[0] ?? []);
  const chosen = engine.entry;
  if (chosen.version !== ORIGIN_VERSION) return undefined;
  engine.apply(gaps[1] ?? []);
  const beforeSend = engine.check(chosen.processStartedAt, answers[0]);
  if (beforeSend === ProcessState.other) return undefined;
  if (needsList(beforeSend) && isOtherProcess(chosen, engine.entry)) return undefined;
  engine.apply(gaps[2] ?? []);
  const writer = engine.process;
  engine.apply(gaps[3] ?? []);
  const beforeJoin = engine.check(chosen.processStartedAt, answers[1]);
  const isOtherListed = isOtherProcess(chosen, engine.entry);
  return mayJoin({ beforeSend, beforeJoin, isOtherListed }) ? writer : undefined;
}

const gaps = fc.array(fc.array(fc.constantFrom(...Object.values(Happening)), { maxLength: 3 }), {
  minLength: 4,
  maxLength: 4,
});
const answering = fc.constantFrom<Answering>("tells", "silent", "untold");

describe("a run that goes on with a stream", () => {
  it("is of the first version wherever its engine tells which process it is, however late its entries come", () => {
    fc.assert(
      fc.property(gaps, fc.boolean(), answering, (happenings, publishesAtOnce, first) => {
        const writer = playRun({ publishesAtOnce, gaps: happenings, answers: [first, "tells"] });
        assert.ok(writer === undefined || writer.version === ORIGIN_VERSION);
      }),
      { numRuns: 5000 },
    );
  });

  it("is of the first version where engines write their entries before they serve, whatever they tell", () => {
    fc.assert(
      fc.property(gaps, answering, answering, (happenings, first, second) => {
        const answers = [first, second] as const;
        const writer = playRun({ publishesAtOnce: true, gaps: happenings, answers: [...answers] });
        assert.ok(writer === undefined || writer.version === ORIGIN_VERSION);
      }),
      { numRuns: 5000 },
    );
  });

  it("is joined where its engine stays the same process, unless it answers neither check", () => {
    fc.assert(
      fc.property(answering, answering, (first, second) => {
        const writer = playRun({ publishesAtOnce: false, gaps: [], answers: [first, second] });
        assert.equal(writer !== undefined, first !== "silent" || second === "tells");
      }),
    );
  });
});
