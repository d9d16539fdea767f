/**
 * Injects overlapping pairs of faults from a seeded schedule under traffic, and checks the guarantees over the merged
 * history of callers and stand-ins: complete streams, at most one run per issue, no leaked hold or key. Guards against
 * failures that need two faults at once. The seed is printed; GORSEFOLD_SEED sets another one.
 */
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { hashKey } from "../src/core/ids";
import { callService, draft, type Seen } from "./harness/callers";
import { type Fleet, startFleet } from "./harness/fleet";
import { KEYS, SMALL_FLEET } from "./harness/plan";
import { pause, readMachineClock } from "./standin/http";

const SEED = Number(process.env.GORSEFOLD_SEED ?? 20_261_203);
const PAIR_COUNT = 6;
const TRAFFIC_MS = 6000;
const HOLD_RELEASE_TIMEOUT_MS = 10_000;
const INSTANCES = ["nizwa-1", "nizwa-2", "bahla-1"] as const;
const ENGINES = ["prefill-1", "prefill-2", "decode-1", "decode-2"] as const;

/** A fault that can be injected and ended. */
interface Fault {
  readonly name: string;
  /** The instance that the fault kills; its callers may see broken streams. */
  readonly killedInstance?: string;
  begin(fleet: Fleet): Promise<void> | void;
  end(fleet: Fleet): Promise<void> | void;
}

function createFaults(pick: (most: number) => number): readonly Fault[] {
  const instance = INSTANCES[pick(INSTANCES.length)] ?? "nizwa-1";
  const engine = ENGINES[pick(ENGINES.length)] ?? "decode-1";
  const noop = () => undefined;
  return [
    {
      name: `kill ${instance}`,
      killedInstance: instance,
      begin: (fleet) => fleet.kill(instance),
      end: (fleet) => fleet.restart(instance),
    },
    {
      name: `kill ${engine}`,
      begin: (fleet) => fleet.kill(engine),
      end: (fleet) => fleet.restart(engine),
    },
    {
      name: `pause ${instance}`,
      begin: (fleet) => {
        fleet.signal(instance, "SIGSTOP");
      },
      end: (fleet) => {
        fleet.signal(instance, "SIGCONT");
      },
    },
    {
      name: `pause ${engine}`,
      begin: (fleet) => {
        fleet.signal(engine, "SIGSTOP");
      },
      end: (fleet) => {
        fleet.signal(engine, "SIGCONT");
      },
    },
    {
      name: `reset the connections of ${engine}`,
      begin: (fleet) => {
        fleet.proxies.get(engine)?.resetConnections();
      },
      end: noop,
    },
    {
      name: `stall the connections of ${engine}`,
      begin: (fleet) => {
        fleet.proxies.get(engine)?.stallConnections();
      },
      end: noop,
    },
    {
      name: "log unavailable",
      begin: (fleet) => fleet.setFaults({ down: true }),
      end: (fleet) => fleet.setFaults({ down: false }),
    },
    {
      name: "log loses responses",
      begin: (fleet) => fleet.setFaults({ loseAnswers: true }),
      end: (fleet) => fleet.setFaults({ loseAnswers: false }),
    },
    {
      name: "log slow",
      begin: (fleet) => fleet.setFaults({ slowMs: 1500 }),
      end: (fleet) => fleet.setFaults({ slowMs: 0 }),
    },
    {
      name: "bahla partitioned",
      begin: (fleet) => {
        fleet.setPartitioned("bahla", true);
      },
      end: (fleet) => {
        fleet.setPartitioned("bahla", false);
      },
    },
    {
      name: "key withdrawn",
      begin: async (fleet) =>
        void (await fleet.putObject("keys", hashKey(KEYS.other), {
          workspace: "other",
          withdrawn: true,
        })),
      end: async (fleet) =>
        void (await fleet.putObject("keys", hashKey(KEYS.other), { workspace: "other" })),
    },
  ];
}

interface SentRequest {
  readonly name: string;
  readonly at: string;
  readonly isCancelled: boolean;
  readonly seen: Seen;
}

describe(`pairs of faults, seed ${SEED}`, () => {
  const random = xoroshiro128plus(SEED);
  const pick = (most: number) => uniformInt(random, 0, most - 1);
  let fleet: Fleet;
  let round = 0;
  before(async () => {
    fleet = await startFleet(SMALL_FLEET);
  });
  after(() => fleet.close());

  const sendDraft = async (index: number, sent: SentRequest[]): Promise<void> => {
    const at = INSTANCES[index % 3] ?? "nizwa-1";
    const abort = new AbortController();
    const isCancelled = index % 7 === 3;
    const timer = isCancelled
      ? setTimeout(
          () => {
            abort.abort();
          },
          50 + ((index * 37) % 400),
        )
      : undefined;
    const key = index % 5 === 0 ? KEYS.other : KEYS.large;
    const name = `${round}-draft-${index}`;
    const seen = await draft({
      url: fleet.url(at),
      key,
      prompt: `${name} `.repeat(30),
      maxTokens: 40,
      signal: abort.signal,
    });
    clearTimeout(timer);
    sent.push({ name, at, isCancelled, seen });
  };
  const sendIssue = async (index: number, sent: SentRequest[]): Promise<void> => {
    const name = `${round}-issue-${index}`;
    for (let attempt = 0; attempt < 2; attempt += 1) {
      const at = INSTANCES[(index + attempt) % 3] ?? "nizwa-1";
      const seen = await callService({
        url: fleet.url(at),
        path: "/sheets/issues",
        key: KEYS.small,
        body: { issue: name },
        headers: { "idempotency-key": name },
      });
      sent.push({ name, at, isCancelled: false, seen });
      if (seen.status === 200) return;
    }
  };
  const sendTraffic = async (): Promise<{ drafts: SentRequest[]; issues: SentRequest[] }> => {
    const drafts: SentRequest[] = [];
    const issues: SentRequest[] = [];
    const calls: Promise<void>[] = [];
    const end = readMachineClock() + TRAFFIC_MS;
    for (let index = 0; readMachineClock() < end; index += 1) {
      calls.push(sendDraft(index, drafts));
      if (index % 2 === 0) calls.push(sendIssue(index, issues));
      await pause(50);
    }
    await Promise.all(calls);
    return { drafts, issues };
  };

  for (let pair = 0; pair < PAIR_COUNT; pair += 1) {
    const faults = createFaults(pick);
    const first = faults[pick(faults.length)];
    const second = createFaults(pick)[pick(faults.length)];
    if (first === undefined || second === undefined) continue;
    it(`${first.name}, and ${second.name}`, async () => {
      round += 1;
      const earlierStrayEnds = fleet.listStrayEnds();
      const traffic = sendTraffic();
      await pause(1000);
      await first.begin(fleet);
      await pause(500);
      await second.begin(fleet);
      await pause(2000);
      await first.end(fleet);
      await second.end(fleet);
      const { drafts, issues } = await traffic;
      assert.deepEqual(
        fleet.listStrayEnds(),
        earlierStrayEnds,
        "a process ended that no fault had ended",
      );
      const killed = new Set([first.killedInstance, second.killedInstance]);
      const truncated = drafts.filter(
        (item) =>
          item.seen.status === 200 &&
          !item.seen.isWhole &&
          !item.isCancelled &&
          item.seen.reason === "" &&
          !killed.has(item.at),
      );
      assert.deepEqual(
        truncated.map((item) => item.name),
        [],
        "a stream ended early without an error event",
      );
      assertIssuesRanAtMostOnce(fleet, issues);
      const areHoldsReleased = await fleet.waitFor(
        async () => (await fleet.readHolds()).length === 0,
        HOLD_RELEASE_TIMEOUT_MS,
      );
      assert.ok(
        areHoldsReleased,
        `holds were not released: ${(await fleet.readHolds()).join(", ")}`,
      );
      assert.equal(fleet.readHistory().filter((event) => event.kind === "leak").length, 0);
      await fleet.waitReady();
      const finalResponses = await Promise.all(
        INSTANCES.map((name) =>
          draft({ url: fleet.url(name), key: KEYS.large, prompt: `after ${round}`, maxTokens: 5 }),
        ),
      );
      assert.deepEqual(
        finalResponses.map((seen) => seen.isWhole),
        [true, true, true],
        JSON.stringify(finalResponses.map((seen) => seen.reason)),
      );
    });
  }
});

function assertIssuesRanAtMostOnce(fleet: Fleet, issues: readonly SentRequest[]): void {
  const runs = new Map<unknown, number>();
  for (const event of fleet.readHistory()) {
    if (event.kind === "run") runs.set(event.issue, (runs.get(event.issue) ?? 0) + 1);
  }
  for (const name of new Set(issues.map((item) => item.name))) {
    const seen = issues.filter((item) => item.name === name).map((item) => item.seen);
    const count = runs.get(name) ?? 0;
    assert.ok(count <= 1, `${name} ran ${count} times`);
    if (seen.some((answer) => answer.status === 200))
      assert.equal(count, 1, `${name} was answered but did not run`);
    if (count === 1)
      assert.ok(
        seen.some((answer) => answer.outcome !== "not run"),
        `${name} ran, but every caller was told that it did not`,
      );
  }
}
