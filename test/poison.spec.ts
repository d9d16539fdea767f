/**
 * A poison request, which crashes every endpoint that runs it, is stopped at its second crash; concurrent requests are
 * served, and later copies are refused at once. Guards against retries that carry the request from engine to engine.
 */
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { draft, type Seen } from "./harness/callers";
import { type Fleet, startFleet } from "./harness/fleet";
import { KEYS, SMALL_FLEET } from "./harness/plan";
import { pause } from "./standin/http";

const ENGINES = ["prefill-1", "prefill-2", "decode-1", "decode-2"] as const;
const INSTANCES = ["nizwa-1", "nizwa-2", "bahla-1"] as const;

for (const stage of ["prefill", "decode"] as const) {
  describe(`a request that crashes engines in ${stage}`, () => {
    let fleet: Fleet;
    let crashes = 0;
    let restartTimer: NodeJS.Timeout;
    before(async () => {
      fleet = await startFleet(SMALL_FLEET);
      // Stands in for the platform, which restarts crashed engines.
      restartTimer = setInterval(() => {
        for (const name of ENGINES) {
          if (fleet.processes.get(name)?.isRunning !== false) continue;
          crashes += 1;
          void fleet.restart(name);
        }
      }, 700);
    });
    after(async () => {
      clearInterval(restartTimer);
      await fleet.close();
    });

    it("crashes two engines at most, also if its caller sends it to every instance", async () => {
      const prompt = `a bylaw that nobody can read: crash:${stage}`;
      const neighbours: Promise<Seen>[] = Array.from({ length: 18 }, (_, index) =>
        draft({
          url: fleet.url(INSTANCES[index % 3] ?? ""),
          key: KEYS.small,
          prompt: `neighbour ${index}`,
          maxTokens: 120,
        }),
      );
      await pause(200);
      const first = await draft({
        url: fleet.url("nizwa-1"),
        key: KEYS.large,
        prompt,
        maxTokens: 20,
      });
      assert.deepEqual([first.status, first.reason], [422, "request_crashes_endpoints"]);
      await pause(1200);
      for (const name of INSTANCES) {
        const again = await draft({ url: fleet.url(name), key: KEYS.large, prompt, maxTokens: 20 });
        assert.deepEqual(
          [again.status, again.reason, again.outcome],
          [422, "request_crashes_endpoints", "not run"],
        );
        assert.ok(again.endedAt - again.startedAt < 500, "a later copy is refused within 500 ms");
      }
      const seen = await Promise.all(neighbours);
      await pause(800);
      const unserved = seen.filter((item) => !item.isWhole);
      assert.deepEqual(
        unserved.map(({ status, reason, outcome, requestId }) => ({
          status,
          reason,
          outcome,
          requestId,
        })),
        [],
      );
      assert.equal(crashes, 2);
    });
  });
}
