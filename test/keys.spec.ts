/**
 * API keys over a whole fleet: a request runs only for the workspace of its key, no endpoint and no log line gets the
 * key, and a withdrawn key stops working within seconds. Guards against keys that stay valid in caches, queues or open
 * connections, and against keys that leak through any part of a request.
 */
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { Agent, request } from "undici";
import { hashKey } from "../src/core/ids";
import { callService, draft } from "./harness/callers";
import { type Fleet, startFleet } from "./harness/fleet";
import { KEYS, MODEL, SMALL_FLEET } from "./harness/plan";
import { pause } from "./standin/http";

const WITHDRAWAL_TIMEOUT_MS = 3000;

describe("a key", () => {
  let fleet: Fleet;
  before(async () => {
    fleet = await startFleet(SMALL_FLEET);
  });
  after(() => fleet.close());

  const createKey = async (key: string, value: object = { workspace: "small" }) => {
    await fleet.putObject("keys", hashKey(key), value);
    await pause(500);
  };
  const withdrawKey = (key: string, more: object = {}) =>
    fleet.putObject("keys", hashKey(key), { workspace: "small", withdrawn: true, ...more });

  it("that is withdrawn stops working at every instance within three seconds, also on open connections", async () => {
    const key = "gf_withdrawn";
    await createKey(key);
    const agent = new Agent({ connections: 1 });
    const names = ["nizwa-1", "nizwa-2", "bahla-1"];
    const fetchStatus = async (name: string) => {
      const answer = await request(`${fleet.url(name)}/sheets/1`, {
        dispatcher: agent,
        headers: { authorization: `Bearer ${key}` },
      });
      await answer.body.text();
      return answer.statusCode;
    };
    assert.deepEqual(await Promise.all(names.map(fetchStatus)), [200, 200, 200]);
    await withdrawKey(key);
    assert.ok(
      await fleet.waitFor(
        async () => (await Promise.all(names.map(fetchStatus))).every((status) => status === 401),
        WITHDRAWAL_TIMEOUT_MS,
      ),
    );
    await agent.close();
  });

  it("that is withdrawn while its request is queued has the request refused as not run", async () => {
    const key = "gf_queued";
    await createKey(key);
    const fillers = Array.from({ length: 48 }, (_, index) =>
      draft({
        url: fleet.url("nizwa-1"),
        key: KEYS.large,
        prompt: `fill ${index}`,
        maxTokens: 300,
      }),
    );
    // The next request is queued only if every slot is taken.
    const isFull = await fleet.waitFor(async () => (await fleet.readHolds()).length >= 40, 2500);
    assert.ok(isFull, "the slots did not fill up");
    const queued = draft({
      url: fleet.url("nizwa-1"),
      key,
      prompt: "queued behind the others",
      maxTokens: 5,
    });
    await pause(50);
    await withdrawKey(key);
    const seen = await queued;
    assert.ok((await Promise.all(fillers)).every((item) => item.isWhole));
    assert.deepEqual([seen.status, seen.reason, seen.outcome], [401, "key_withdrawn", "not run"]);
  });

  it("that is withdrawn lets running requests finish, or cancels them if the withdrawal says so", async () => {
    for (const [key, cancelsRunning] of [
      ["gf_ends", false],
      ["gf_cut", true],
    ] as const) {
      await createKey(key);
      const running = draft({
        url: fleet.url("nizwa-2"),
        key,
        prompt: `running ${cancelsRunning}`,
        maxTokens: 250,
      });
      await pause(600);
      await withdrawKey(key, { cut: cancelsRunning });
      const seen = await running;
      assert.equal(
        seen.isWhole,
        !cancelsRunning,
        JSON.stringify({ ...seen, text: seen.text.length }),
      );
      if (cancelsRunning) assert.equal(seen.reason, "key_withdrawn");
    }
  });

  it("is passed on to no endpoint, whichever part of the request contains it", async () => {
    const key = "gf_leaky";
    await createKey(key);
    const url = fleet.url("bahla-1");
    const cookie = { cookie: `key=${key}`, "x-api-key": key, "x-other": key };
    const answers = await Promise.all([
      callService({ url, key, path: "/sheets/issues", body: { issue: "leak-1" }, headers: cookie }),
      callService({ url, key, path: `/sheets/1?key=${key}`, method: "GET" }),
      callService({ url, key, path: `/sheets/1?key=%67f_leaky`, method: "GET" }),
      callService({ url, key, path: "/sheets/issues", body: { note: key } }),
      callService({
        url,
        key,
        path: "/sheets/issues",
        body: {},
        headers: { "idempotency-key": key },
      }),
      callService({ url, key, path: "/notices", method: "GET" }),
      draft({ url, key, prompt: "a plain draft", maxTokens: 3, headers: cookie }),
    ]);
    assert.deepEqual(
      answers.map((answer) => answer.status),
      [200, 400, 400, 400, 400, 200, 200],
    );
    assert.equal(fleet.readHistory().filter((event) => event.kind === "leak").length, 0);
  });

  it("is required except on a public route, and does not allow classes that its workspace lacks", async () => {
    const url = fleet.url("nizwa-1");
    assert.equal((await callService({ url, path: "/notices", method: "GET" })).status, 200);
    assert.equal((await callService({ url, path: "/sheets/1", method: "GET" })).status, 401);
    await fleet.putObject("workspaces", "small", { rate: 1000, burst: 4000, classes: ["usual"] });
    await pause(500);
    const seen = await draft({
      url,
      key: KEYS.small,
      prompt: "a",
      maxTokens: 2,
      headers: { "x-priority-class": "urgent" },
    });
    assert.deepEqual([seen.status, seen.reason], [400, "unknown_class"]);
  });

  it("still works during an outage of the log, unless its workspace limits how long keys are trusted", async () => {
    await fleet.putObject("workspaces", "other", {
      rate: 1000,
      burst: 4000,
      classes: ["usual"],
      keyTrustMs: 1500,
    });
    await pause(500);
    await fleet.setFaults({ down: true });
    await pause(6500);
    const lenient = await draft({
      url: fleet.url("nizwa-1"),
      key: KEYS.large,
      prompt: "outage",
      maxTokens: 3,
    });
    const strict = await draft({
      url: fleet.url("nizwa-1"),
      key: KEYS.other,
      prompt: "outage",
      maxTokens: 3,
    });
    await fleet.setFaults({ down: false });
    assert.equal(lenient.isWhole, true);
    assert.deepEqual(
      [strict.status, strict.reason, strict.outcome],
      [503, "key_unverified", "not run"],
    );
  });

  it("is never written to the log lines of an instance, nor is a prompt", async () => {
    const prompt = "a prompt that nobody may read in a log";
    await draft({ url: fleet.url("nizwa-1"), key: KEYS.large, prompt, maxTokens: 3 });
    const { readFileSync } = await import("node:fs");
    const text = ["nizwa-1", "nizwa-2", "bahla-1"]
      .map((name) => readFileSync(fleet.workplace.path(`${name}.log`), "utf8"))
      .join("");
    assert.ok(text.includes('"event":"placement"'));
    for (const secret of ["gf_", prompt, MODEL.repeat(2)])
      assert.equal(text.includes(secret), false);
  });
});
