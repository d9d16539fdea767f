/**
 * Completions whose pool is scheduled by an instance that is frozen. Guards against first tokens that wait for it for
 * longer than its silence counts.
 */
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { after, before, describe, it } from "node:test";
import { chooseByRendezvousHash } from "../src/core/rendezvous";
import { draft } from "./harness/callers";
import { type Fleet, startFleet } from "./harness/fleet";
import { KEYS, MODEL, SMALL_FLEET } from "./harness/plan";
import { pause } from "./standin/http";

/** How much later first tokens may come, in milliseconds. */
const MAX_DELAY_MS = 1200;
const INTERVAL_MS = 100;
const USUAL_COUNT = 15;

/** Counts the requests of one instance that another one, or itself, has placed on engines, by its log. */
function countPlacements(fleet: Fleet, scheduler: string, caller: string): number {
  return readFileSync(fleet.workplace.path(`${scheduler}.log`), "utf8")
    .split("\n")
    .filter((line) => line.includes('"event":"placement"'))
    .filter((line) => line.includes(`"request":"${caller}/`)).length;
}

describe("a completion whose pool is scheduled by a frozen instance", () => {
  let fleet: Fleet;
  before(async () => {
    fleet = await startFleet(SMALL_FLEET);
  });
  after(() => fleet.close());

  it("gets its first token at most 1.2 s later", async () => {
    const names = SMALL_FLEET.instances.map(({ name }) => name);
    const scheduler = chooseByRendezvousHash(MODEL, names) ?? "";
    // Of the other data centre, as the frozen instance may hold the rates of its own.
    const caller = scheduler.startsWith("nizwa") ? "bahla-1" : "nizwa-1";
    const url = fleet.url(caller);
    const send = async (label: string, count: number) => {
      const answers = [];
      for (let index = 0; index < count; index += 1) {
        const prompt = `${label} ${index}`;
        answers.push(draft({ url, key: KEYS.large, prompt, maxTokens: 5 }));
        await pause(INTERVAL_MS);
      }
      return Promise.all(answers);
    };
    const readWaits = (seen: Awaited<ReturnType<typeof send>>) =>
      seen.map(({ firstAt, startedAt }) => Math.round((firstAt ?? Infinity) - startedAt));
    const others = names.filter((name) => name !== scheduler);
    const countOthers = () =>
      others.reduce((sum, name) => sum + countPlacements(fleet, name, caller), 0);
    const usual = readWaits(await send("usual", USUAL_COUNT));
    const isScheduler = await fleet.waitFor(
      () => countPlacements(fleet, scheduler, caller) >= USUAL_COUNT,
    );
    const placedElsewhere = countOthers();
    const frozen = send("frozen", 40);
    await pause(INTERVAL_MS / 2);
    fleet.signal(scheduler, "SIGSTOP");
    const seen = await frozen;
    fleet.signal(scheduler, "SIGCONT");
    const waits = readWaits(seen);
    const text = `${scheduler}: usual ${usual.join(" ")}; frozen ${waits.join(" ")}`;
    assert.equal(seen.filter(({ isWhole }) => isWhole).length, seen.length, text);
    // Shown by the logs, not by the waits: the first request to an instance that has just started waits long, too.
    assert.ok(isScheduler && placedElsewhere === 0, `was not the scheduler: ${text}`);
    const isReplaced = await fleet.waitFor(() => countOthers() > 0);
    assert.ok(isReplaced, `no other instance took its place: ${text}`);
    assert.ok(Math.max(...waits) <= Math.max(...usual) + MAX_DELAY_MS, text);
  });
});
