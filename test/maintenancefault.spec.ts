/**
 * The periodic work of an instance where a part of it throws. Guards against one error, such as that of a new configuration's
 * limits, that ends the process with every request in it.
 */
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { pause } from "../src/core/clock";
import { addEndpoint, get, instance, port, prepareEach, start } from "./harness/fixture";
import { writeAnswer } from "./harness/raw";

const FAULT = "a fault of this test";
/** Longer than the pause between two turns of the work. */
const TURN_MS = 1200;

type Part = Record<string, unknown>;

describe("an instance whose periodic work throws", () => {
  prepareEach();
  const faults: unknown[] = [];
  const onFault = (error: unknown) => void faults.push(error);

  beforeEach(() => {
    faults.length = 0;
    process.on("uncaughtException", onFault);
  });

  afterEach(() => {
    process.off("uncaughtException", onFault);
  });

  it("goes on with the rest of it and with its requests", async () => {
    await addEndpoint("a", (head, socket) => {
      writeAnswer(socket, head, "done");
    });
    await start();
    const { callerServer, parts } = instance as unknown as {
      readonly callerServer: Part;
      readonly parts: { readonly network: Part; readonly context: { readonly health: Part } };
    };
    let prunes = 0;
    parts.context.health["prune"] = () => (prunes += 1);
    const fail = () => {
      throw new Error(FAULT);
    };
    callerServer["setLimits"] = fail;
    parts.network["tick"] = fail;
    (instance as unknown as { maintenance: Part }).maintenance["appliedVersion"] = 0;
    await pause(TURN_MS);
    assert.deepEqual(faults, []);
    assert.ok(prunes > 0, "the rest of the work was done");
    delete callerServer["setLimits"];
    assert.equal((await get(port, "/any/1")).status, 200);
  });
});
