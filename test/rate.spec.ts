/**
 * Rates over a whole fleet: no workspace gets more than its rate and burst over all instances, and one that keeps
 * within them is served. Guards against double spending and lost tokens when a holder of the rates is killed, paused
 * or cut off from the log.
 */
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { draft, type Seen } from "./harness/callers";
import { type Fleet, startFleet } from "./harness/fleet";
import { KEYS, SMALL_FLEET } from "./harness/plan";
import { pause, readMachineClock } from "./standin/http";

const RATE = 400;
const BURST = 2000;
const OUTPUT_TOKENS = 10;
/** 40 bytes, counted as 10 tokens. */
const PROMPT = "measure the fort wall of Bahla, 40 byte.";
const REQUEST_TOKENS = 20;
const workspaceLimit = { rate: RATE, burst: BURST, classes: ["usual"] };
const plan = {
  ...SMALL_FLEET,
  configuration: {
    workspaces: {
      large: workspaceLimit,
      small: workspaceLimit,
      other: { ...workspaceLimit, rate: 100_000, burst: 400_000 },
    },
  },
};

/**
 * Computes the maximum, over all windows, of the tokens that answered requests use beyond what rate and burst allow. A
 * request was admitted between its sending and its first token, so a window counts it if it contains both.
 */
function computeMaxExcess(seen: readonly Seen[]): number {
  const used = seen.filter((item) => item.status === 200);
  let worst = Number.NEGATIVE_INFINITY;
  for (const { startedAt } of used) {
    const inside = used
      .filter((item) => item.startedAt >= startedAt)
      .map((item) => item.firstAt ?? item.endedAt)
      .sort((a, b) => a - b);
    for (const [index, end] of inside.entries()) {
      const allowed = BURST + (RATE * (end - startedAt)) / 1000;
      worst = Math.max(worst, (index + 1) * REQUEST_TOKENS - allowed);
    }
  }
  return worst;
}

describe("the rate of a workspace", () => {
  let fleet: Fleet;
  before(async () => {
    fleet = await startFleet(plan);
  });
  after(() => fleet.close());

  const send = (at: string, key: string, index: number) =>
    draft({
      url: fleet.url(at),
      key,
      prompt: PROMPT,
      maxTokens: OUTPUT_TOKENS,
      headers: { "x-turn": String(index) },
    });

  /** Sends a request every `everyMs` milliseconds to the instances in turn, for `forMs` milliseconds. */
  const sendTraffic = async (
    key: string,
    at: readonly string[],
    everyMs: number,
    forMs: number,
  ): Promise<Seen[]> => {
    const calls: Promise<Seen>[] = [];
    const end = readMachineClock() + forMs;
    for (let index = 0; readMachineClock() < end; index += 1) {
      calls.push(send(at[index % at.length] ?? "", key, index));
      await pause(everyMs);
    }
    return Promise.all(calls);
  };

  it("is given whole to callers who all reach one instance, and no more", async () => {
    const seen = await sendTraffic(KEYS.large, ["nizwa-2"], 10, 6000);
    assert.ok(computeMaxExcess(seen) <= 0, `over by ${computeMaxExcess(seen)}`);
    const served = seen.filter((item) => item.status === 200).length * REQUEST_TOKENS;
    const expected = BURST + RATE * 6;
    assert.ok(served >= 0.9 * expected, `${served} of ${expected} tokens were granted`);
    const refused = seen.filter((item) => item.status === 429);
    assert.ok(
      refused.length > 0 &&
        refused.every((item) => item.outcome === "not run" && (item.retryAfterMs ?? 0) > 0),
    );
  });

  it("admits a request as large as the burst, though no single holder has as many tokens", async () => {
    const prompt = "x".repeat((BURST - OUTPUT_TOKENS - 40) * 4);
    const answer = await draft({
      url: fleet.url("bahla-1"),
      key: KEYS.small,
      prompt,
      maxTokens: OUTPUT_TOKENS,
    });
    assert.equal(answer.status, 200);
    const over = await draft({
      url: fleet.url("bahla-1"),
      key: KEYS.small,
      prompt: `${prompt}${"x".repeat(400)}`,
      maxTokens: OUTPUT_TOKENS,
    });
    assert.deepEqual(
      [over.status, over.reason, over.outcome],
      [413, "larger_than_burst", "not run"],
    );
  });

  it("holds when callers use all instances at once", async () => {
    await pause(5500);
    const seen = await sendTraffic(KEYS.small, ["nizwa-1", "nizwa-2", "bahla-1"], 10, 4000);
    assert.ok(computeMaxExcess(seen) <= 0, `over by ${computeMaxExcess(seen)}`);
  });

  it("holds when a holder is paused for longer than any loan lasts", async () => {
    await pause(5500);
    const holder = await findHolder(fleet, "bahla");
    const calls = sendTraffic(KEYS.small, ["nizwa-1", "nizwa-2", "bahla-1"], 20, 8000);
    await pause(1500);
    fleet.signal(holder, "SIGSTOP");
    await pause(4000);
    fleet.signal(holder, "SIGCONT");
    const seen = await calls;
    assert.ok(computeMaxExcess(seen) <= 0, `over by ${computeMaxExcess(seen)}`);
  });

  it("holds when a holder is killed and replaced, after which requests within the rate are served again", async () => {
    await pause(5500);
    const holder = await findHolder(fleet, "nizwa");
    const others = ["nizwa-1", "nizwa-2", "bahla-1"].filter((name) => name !== holder);
    const calls = sendTraffic(KEYS.small, others, 20, 9000);
    await pause(1500);
    await fleet.kill(holder);
    const seen = await calls;
    await fleet.restart(holder);
    assert.ok(computeMaxExcess(seen) <= 0, `over by ${computeMaxExcess(seen)}`);
    const last = seen.filter(
      (item) => item.startedAt > (seen.at(-1)?.startedAt ?? 0) - 2000 && item.status === 200,
    );
    assert.ok(
      last.length * REQUEST_TOKENS >= 0.7 * RATE * 2,
      `${last.length * REQUEST_TOKENS} tokens in the last two seconds`,
    );
  });

  it("holds during an outage of the log, and is still granted", async () => {
    await fleet.waitReady();
    await pause(5500);
    await fleet.setFaults({ down: true });
    const seen = await sendTraffic(KEYS.small, ["nizwa-1", "bahla-1"], 20, 5000);
    await fleet.setFaults({ down: false });
    assert.ok(computeMaxExcess(seen) <= 0, `over by ${computeMaxExcess(seen)}`);
    const served = seen.filter((item) => item.status === 200).length * REQUEST_TOKENS;
    assert.ok(served >= 0.7 * (BURST + RATE * 5), `${served} tokens were granted`);
  });
});

async function findHolder(fleet: Fleet, dataCentre: string): Promise<string> {
  for (const name of fleet.callerPorts.keys()) {
    const status = await fleet.readStatus(name);
    if (((status?.duties ?? []) as string[]).includes(`holder of ${dataCentre}`)) return name;
  }
  throw new Error(`no instance holds the rates of ${dataCentre}`);
}
