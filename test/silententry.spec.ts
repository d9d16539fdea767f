/**
 * Completions whose engine stands still for a while and goes on. Guards against a completion that fails though its
 * engine would have gone on, and against one that waits though another engine is at hand.
 */
import assert from "node:assert/strict";
import { after, describe, it } from "node:test";
import * as E from "fp-ts/Either";
import { Role } from "../src/core/config/objects";
import { MonotonicClock, pause } from "../src/core/clock";
import { HttpEngineClient } from "../src/endpoint/engine";
import { CompletionRun, type RunRequest } from "../src/entry/runner";
import type { RunnerParts } from "../src/entry/runnerparts";
import { StandingEngine } from "./harness/standingengine";

/** How long two engines may work on one completion side by side, in milliseconds. */
const MAX_BESIDE_MS = 400;
/** Time for the whole completion, in milliseconds. */
const TIMEOUT_MS = 10_000;

const ignore = () => undefined;

/** The engines of a run, and the retries that are left for it. */
interface Setting {
  readonly standing: StandingEngine;
  /** An engine that may take over; a grant names it if the standing one is excluded. */
  readonly spare?: StandingEngine;
  readonly retries: number;
  /** How long the engines go on after the end of the run, in milliseconds. */
  readonly settleMs?: number;
}

/** What a run did besides its answer. */
class RunRecord {
  readonly lines: string[] = [];
  readonly openHolds = new Set<string>();
  readonly openGrants = new Set<string>();
  usedRetries = 0;
}

/** Creates the dependencies of a run. */
async function createParts(setting: Setting, record: RunRecord): Promise<RunnerParts> {
  const { standing, spare, retries } = setting;
  const createEndpoints = (suffix: string, url: string) => {
    const endpoint = { url, models: ["m"], pool: "main", dataCentre: "nizwa" };
    return {
      [`d${suffix}`]: { ...endpoint, role: Role.decode },
      [`p${suffix}`]: { ...endpoint, role: Role.prefill },
    };
  };
  const endpoints = {
    ...createEndpoints("", await standing.listen()),
    ...(spare === undefined ? {} : createEndpoints("2", await spare.listen())),
  };
  const configuration = { endpoints, models: {}, keys: {}, workspaces: {} };
  let ids = 0;
  const requestGrant = ({ id, exclude }: { id: string; exclude: readonly string[] }) => {
    const names = ["", "2"].filter((suffix) => `d${suffix}` in endpoints);
    const suffix = names.find((name) => !exclude.includes(`d${name}`));
    if (suffix === undefined) return Promise.resolve(E.left({ id, reason: "no_endpoint" }));
    record.openGrants.add(id);
    const [prefill, decode] = [`p${suffix}`, `d${suffix}`];
    const processes = { prefillProcess: `${prefill}@i1`, decodeProcess: `${decode}@i1` };
    return Promise.resolve(E.right({ id, prefill, decode, ...processes, lateReserve: false }));
  };
  const endHold = (hold: string) => record.openHolds.delete(hold);
  const engines = new HttpEngineClient();
  const holdUrls = new Map<string, string>();
  const releaseHold = (hold: string) => {
    endHold(hold);
    void engines.releaseHolds(holdUrls.get(hold) ?? "", [hold])();
  };
  return {
    board: {
      config: { subscribe: () => ignore, read: () => ({ configuration }) },
      poison: { findBan: ignore },
    },
    clock: new MonotonicClock(),
    ids: { next: () => `nizwa-1/i:${(ids += 1)}` },
    dataCentre: "nizwa",
    schedulerClient: {
      requestGrant,
      reportProgress: ({ id, stage, fault }: { id: string; stage: string; fault: string }) => {
        if (stage !== "decoding") record.openGrants.delete(id);
        standing.add(`scheduler: ${id} ${stage} ${fault}`);
      },
      cancel: ignore,
    },
    rateLimits: { refund: ignore },
    holdTracker: {
      track: (hold: string, url: string) => {
        record.openHolds.add(hold);
        holdUrls.set(hold, url);
      },
      markReleased: endHold,
      release: releaseHold,
    },
    engines,
    retries: {
      canConsume: () => record.usedRetries < retries,
      tryConsume: () => {
        if (record.usedRetries >= retries) return false;
        record.usedRetries += 1;
        return true;
      },
    },
    logger: { info: ignore, warn: ignore, debug: ignore, error: ignore },
    metrics: { count: ignore, timing: ignore },
  } as unknown as RunnerParts;
}

/** Runs a completion of two tokens, and returns its end, its text and how long it took. */
async function completeWith(setting: Setting) {
  const record = new RunRecord();
  const parts = await createParts(setting, record);
  const arrivedAt = parts.clock.now();
  const request: RunRequest = {
    id: "r1",
    caller: { keyHash: undefined, workspace: "w" },
    priorityClass: { name: "c", weight: 1, firstTokenMs: 1000, patienceMs: 1000 },
    route: "main",
    completion: {
      model: "m",
      prompt: "p",
      promptTokens: 1,
      maxTokens: 2,
      blocks: [],
      fingerprint: "f",
    },
    charge: Promise.resolve(E.right({ tokens: 10 })),
    isChargeLikely: false,
    arrivedAt,
    deadline: arrivedAt + TIMEOUT_MS,
  } as unknown as RunRequest;
  let end = "";
  let text = "";
  await new CompletionRun(parts, request, {
    write: (token) => {
      text += token;
      return true;
    },
    finish: () => (end = "finished"),
    fail: ({ status, message }) => (end = `failed ${status} ${message}`),
    close: ignore,
  }).run();
  const tookMs = parts.clock.now() - arrivedAt;
  await pause(setting.settleMs ?? 0);
  await parts.engines.close();
  setting.standing.close();
  setting.spare?.close();
  return { result: [end, text], log: setting.standing.log.join("\n"), tookMs, record };
}

/** Runs a completion at one engine only, without a retry. */
function complete(firstMs: number, amidMs: number) {
  return completeWith({ standing: new StandingEngine(firstMs, amidMs), retries: 0 });
}

after(() => {
  setTimeout(() => process.exit(), 500).unref();
});

describe("a completion whose only engine stands still, without retries", { concurrency: 4 }, () => {
  it("does not fail if it stands still for 2200 ms after the first token", async () => {
    const { result, log } = await complete(0, 2200);
    assert.deepEqual(result, ["finished", "ab"], log);
  });

  it("does not fail if it stands still for 3200 ms after the first token", async () => {
    const { result, log } = await complete(0, 3200);
    assert.deepEqual(result, ["finished", "ab"], log);
  });

  it("does not fail if it stands still for 1300 ms as its slot is reserved", async () => {
    const { result, log } = await complete(1300, 0);
    assert.deepEqual(result, ["finished", "ab"], log);
  });

  it("does not fail if its connection breaks and it stands still for 2500 ms", async () => {
    const standing = new StandingEngine(0, 2500);
    standing.breakFirstStream();
    const { result, log } = await completeWith({ standing, retries: 0 });
    assert.deepEqual(result, ["finished", "ab"], log);
  });
});

describe("a completion whose engine stands still, with another engine", { concurrency: 4 }, () => {
  const assertNothingOpen = (record: RunRecord, log: string) => {
    assert.deepEqual([...record.openHolds, ...record.openGrants], [], log);
  };

  it("goes on there, with one retry, if it stands still after the first token", async () => {
    const setting = { spare: new StandingEngine(0, 0), retries: 5 };
    const run = await completeWith({ ...setting, standing: new StandingEngine(0, 8000) });
    assert.deepEqual(run.result, ["finished", "ab"], run.log);
    assert.equal(run.record.usedRetries, 1);
    assert.ok(run.tookMs < 4000, `${run.tookMs} ms`);
    assertNothingOpen(run.record, run.log);
  });

  it("goes on there if it stands still as its slot is reserved, and leaves no slot that is granted late", async () => {
    const standing = new StandingEngine(0, 0);
    standing.delaySlots(2000);
    const spare = new StandingEngine(0, 0);
    const run = await completeWith({ standing, spare, retries: 5, settleMs: 1500 });
    assert.deepEqual(run.result, ["finished", "ab"], run.log);
    assert.equal(run.record.usedRetries, 1);
    assert.ok(run.tookMs < 1700, `${run.tookMs} ms`);
    assert.deepEqual([...standing.holds], [], run.log);
    assertNothingOpen(run.record, run.log);
  });

  it("does not fail if the other engine has no slot", async () => {
    const spare = new StandingEngine(0, 0);
    spare.refuseSlots();
    const run = await completeWith({ standing: new StandingEngine(0, 4500), spare, retries: 1 });
    assert.deepEqual(run.result, ["finished", "ab"], run.log);
    assert.equal(run.record.usedRetries, 0);
    assertNothingOpen(run.record, run.log);
  });

  it("does not fail if the other engine stands still as well, and the last retry is spent", async () => {
    const spare = new StandingEngine(9000, 0);
    const run = await completeWith({ standing: new StandingEngine(0, 5000), spare, retries: 1 });
    assert.deepEqual(run.result, ["finished", "ab"], run.log);
    assertNothingOpen(run.record, run.log);
  });

  it("does not fail if the other engine breaks each stream, and the last retry is spent", async () => {
    const spare = new StandingEngine(0, 0);
    spare.breakStreams();
    const run = await completeWith({ standing: new StandingEngine(0, 4000), spare, retries: 1 });
    assert.deepEqual(run.result, ["finished", "ab"], run.log);
    assertNothingOpen(run.record, run.log);
  });

  it("does not fail if the other engine has lost the prompt as its stream begins, and the last retry is spent", async () => {
    const spare = new StandingEngine(0, 0);
    spare.failStreams();
    const run = await completeWith({ standing: new StandingEngine(0, 4000), spare, retries: 1 });
    assert.deepEqual(run.result, ["finished", "ab"], run.log);
    assertNothingOpen(run.record, run.log);
  });

  it("gets each token once, and ends the other stream, if it goes on as that one has begun", async () => {
    const standing = new StandingEngine(0, 8000);
    const spare = new StandingEngine(0, 0);
    spare.delayStreams(5000);
    spare.onStream = () => {
      standing.goOn();
      spare.add("the first goes on");
    };
    const run = await completeWith({ standing, spare, retries: 1, settleMs: 300 });
    const log = [run.log, ...spare.log].join("\n");
    assert.deepEqual(run.result, ["finished", "ab"], log);
    const besideMs = spare.readTime("stream closed") - spare.readTime("the first goes on");
    assert.ok(besideMs < MAX_BESIDE_MS, log);
    assert.deepEqual([...spare.holds], [], log);
    assertNothingOpen(run.record, log);
  });

  it("does not fail if its connection breaks as the other stream has begun, and the last retry is spent", async () => {
    const standing = new StandingEngine(0, 8000);
    const spare = new StandingEngine(0, 0);
    spare.delayStreams(200);
    spare.onStream = () => {
      standing.breakOpenStreams();
    };
    const run = await completeWith({ standing, spare, retries: 1 });
    assert.deepEqual(run.result, ["finished", "ab"], run.log);
    assert.ok(run.tookMs < 5000, `${run.tookMs} ms`);
    assertNothingOpen(run.record, run.log);
  });

  it("does not stream for longer than 400 ms beside another one that is slow to begin", async () => {
    const standing = new StandingEngine(0, 8000);
    const spare = new StandingEngine(0, 0);
    spare.delayStreams(1000);
    spare.onStream = () => {
      standing.add("the other begins");
    };
    const run = await completeWith({ standing, spare, retries: 1 });
    assert.deepEqual(run.result, ["finished", "ab"], run.log);
    const besideMs = standing.readTime("stream closed") - standing.readTime("the other begins");
    assert.ok(besideMs < MAX_BESIDE_MS, run.log);
    assertNothingOpen(run.record, run.log);
  });
});
