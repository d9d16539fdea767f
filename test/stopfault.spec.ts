/**
 * Steps of the stop of an instance that throw. Guards against a stop that ends before the requests that were read, or that
 * leaves the steps after it undone.
 */
import assert from "node:assert/strict";
import { Agent } from "node:http";
import { describe, it } from "node:test";
import { pause } from "../src/core/clock";
import {
  addEndpoint,
  get,
  instance,
  port,
  prepareEach,
  readyPort,
  start,
  store,
} from "./harness/fixture";
import { writeAnswer } from "./harness/raw";

prepareEach();

/** When after the signal to stop a request is sent, and how long it takes: beyond the time for further ones. */
const SENT_MS = 1000;
const ANSWER_MS = 2200;

type Part = Record<string, unknown>;

/** The parts of an instance that a test makes throw. */
interface Inner {
  readonly callerServer: Part;
  readonly tunnelServer: Part;
  readonly maintenance: Part;
  readonly parts: Record<string, Part>;
  readonly base: { readonly logger: Part };
}

/** Has methods of parts throw, if there are such methods. */
function breakMethods(methods: readonly (readonly [Part | undefined, string])[]): void {
  for (const [part, method] of methods) {
    assert.equal(typeof part?.[method], "function", method);
    if (part === undefined) continue;
    part[method] = () => {
      throw new Error("a fault of this test");
    };
  }
}

describe("an instance that stops", { concurrency: false }, () => {
  it("answers what it has read, though steps before that throw", async () => {
    await addEndpoint("a", (head, socket) => {
      setTimeout(() => {
        writeAnswer(socket, head, "done");
      }, ANSWER_MS);
    });
    await start();
    const { callerServer, tunnelServer, parts } = instance as unknown as Inner;
    breakMethods([
      [callerServer, "beginClose"],
      [tunnelServer, "beginClose"],
      [parts["heartbeats"], "sendHeartbeats"],
      [parts["reservations"], "stop"],
      [callerServer, "closeIdle"],
      [callerServer, "endRequests"],
    ]);
    const stopped = instance.close();
    await Promise.race([stopped, pause(SENT_MS)]);
    const answer = await get(port, "/once/7");
    assert.deepEqual([answer.status, answer.body], [200, "done"]);
    await stopped;
  });

  it("closes all other parts, though some of them throw, and names these", async () => {
    await addEndpoint("a", () => undefined);
    await start();
    const { tunnelServer, maintenance, parts, base } = instance as unknown as Inner;
    const failed: unknown[] = [];
    base.logger["error"] = (_event: string, { task }: Part) => void failed.push(task);
    breakMethods([
      [tunnelServer, "close"],
      [maintenance, "close"],
      [parts["heartbeats"], "close"],
      [parts["network"], "close"],
      [parts["reservations"], "close"],
    ]);
    let closed = 0;
    store.close = () => Promise.resolve(void (closed += 1));
    await instance.close();
    assert.equal(closed, 1);
    const names = ["tunnelServer", "maintenance", "heartbeats", "network", "reservations"];
    assert.deepEqual(failed.sort(), names.map((name) => `close ${name}`).sort());
    for (const at of [port, readyPort]) {
      await assert.rejects(get(at, "/", {}, new Agent()), { code: "ECONNREFUSED" });
    }
  });
});
