/**
 * Callers get complete responses, each token once, and all engine memory is released. Guards against cut streams,
 * repeated tokens and leaked holds when engines die, connections break or stall, callers leave, or instances are
 * killed or paused.
 */
import assert from "node:assert/strict";
import { after, afterEach, before, describe, it } from "node:test";
import { draft, type Seen } from "./harness/callers";
import { type Fleet, startFleet } from "./harness/fleet";
import { KEYS, SMALL_FLEET } from "./harness/plan";
import { pause } from "./standin/http";

const HOLD_RELEASE_TIMEOUT_MS = 6000;

describe("a whole answer", () => {
  let fleet: Fleet;
  before(async () => {
    fleet = await startFleet(SMALL_FLEET);
  });
  after(() => fleet.close());
  afterEach(async () => {
    assert.ok(
      await fleet.waitFor(
        async () => (await fleet.readHolds()).length === 0,
        HOLD_RELEASE_TIMEOUT_MS,
      ),
      "holds were not released",
    );
  });

  const names = ["nizwa-1", "nizwa-2", "bahla-1"];
  const send = (count: number, maxTokens: number, label: string): Promise<Seen[]> =>
    Promise.all(
      Array.from({ length: count }, (_, index) =>
        draft({
          url: fleet.url(names[index % 3] ?? ""),
          key: KEYS.large,
          prompt: `${label} ${index} `.repeat(40),
          maxTokens,
        }),
      ),
    );
  const countWhole = (seen: readonly Seen[]) => seen.filter((item) => item.isWhole).length;

  it("arrives when a decode engine is killed in the middle", async () => {
    const answers = send(12, 100, "killed");
    await pause(500);
    await fleet.kill("decode-1");
    const seen = await answers;
    await fleet.restart("decode-1");
    assert.equal(countWhole(seen), 12);
  });

  it("arrives when a prefill engine is killed in the middle", async () => {
    const answers = send(24, 20, "prefill killed");
    await pause(60);
    await fleet.kill("prefill-1");
    const seen = await answers;
    await fleet.restart("prefill-1");
    assert.equal(countWhole(seen), 24);
  });

  it("arrives when every connection to the engines is reset", async () => {
    const answers = send(12, 100, "cut");
    await pause(500);
    for (const name of ["decode-1", "decode-2", "prefill-1", "prefill-2"])
      fleet.proxies.get(name)?.resetConnections();
    assert.equal(countWhole(await answers), 12);
  });

  it("arrives when open connections go silent while new ones work", async () => {
    const answers = send(8, 100, "silent");
    await pause(500);
    for (const name of ["decode-1", "decode-2"]) fleet.proxies.get(name)?.stallConnections();
    assert.equal(countWhole(await answers), 8);
  });

  it("arrives when an engine process is stopped for a while", async () => {
    const answers = send(8, 100, "frozen");
    await pause(500);
    fleet.signal("decode-2", "SIGSTOP");
    const seen = await answers;
    fleet.signal("decode-2", "SIGCONT");
    assert.equal(countWhole(seen), 8);
  });

  it("leaves no hold when callers leave at any stage", async () => {
    const calls = Array.from({ length: 30 }, async (_, index) => {
      const abort = new AbortController();
      const call = draft({
        url: fleet.url(names[index % 3] ?? ""),
        key: KEYS.large,
        prompt: `cancel ${index} `.repeat(200),
        maxTokens: 100,
        signal: abort.signal,
      });
      await pause(index * 12);
      abort.abort();
      return call;
    });
    await Promise.all(calls);
  });

  it("leaves no hold when callers leave while the connections to the engines are silent", async () => {
    const abort = new AbortController();
    const calls = Array.from({ length: 6 }, (_, index) =>
      draft({
        url: fleet.url("nizwa-1"),
        key: KEYS.large,
        prompt: `silent cancel ${index}`,
        maxTokens: 2000,
        signal: abort.signal,
      }),
    );
    await pause(600);
    for (const name of ["decode-1", "decode-2"]) fleet.proxies.get(name)?.stallConnections();
    abort.abort();
    await Promise.all(calls);
  });
});

describe("the holds of an instance", () => {
  it("are released if it is killed, and kept while it is only paused", async () => {
    const fleet = await startFleet(SMALL_FLEET);
    const calls = ["nizwa-2", "bahla-1"].flatMap((name) =>
      [0, 1, 2].map((index) =>
        draft({
          url: fleet.url(name),
          key: KEYS.large,
          prompt: `owner ${name} ${index}`,
          maxTokens: 400,
        }),
      ),
    );
    await pause(1000);
    fleet.signal("bahla-1", "SIGSTOP");
    await fleet.kill("nizwa-2");
    // Longer than any lease and any membership timeout.
    await pause(8000);
    const held = await fleet.readHolds();
    fleet.signal("bahla-1", "SIGCONT");
    const seen = await Promise.all(calls);
    const areHoldsReleased = await fleet.waitFor(
      async () => (await fleet.readHolds()).length === 0,
      HOLD_RELEASE_TIMEOUT_MS,
    );
    const history = fleet.readHistory();
    await fleet.close();
    assert.equal(held.filter((hold) => hold.startsWith("nizwa-2/")).length, 0);
    const released = history.filter(
      (event) => event.kind === "release" && String(event.hold).startsWith("bahla-1/"),
    );
    assert.equal(released.length, 0, "a paused owner's hold was released");
    assert.equal(seen.slice(3).filter((item) => item.isWhole).length, 3);
    assert.ok(areHoldsReleased);
  });
});
