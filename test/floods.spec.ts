/**
 * Answers without end from several endpoints at once, and callers that don't read. Guards against memory that
 * nobody counts: an instance that keeps all bytes until the platform ends it, with the requests of others (LOST).
 */
import assert from "node:assert/strict";
import { PassThrough } from "node:stream";
import { afterEach, describe, it } from "node:test";
import * as E from "fp-ts/Either";
import fc from "fast-check";
import { ByteBudget } from "../src/core/bytebudget";
import { ManualClock, pause } from "../src/core/clock";
import { type OpenResponse, readWholeBody } from "../src/forward/endpoints";
import { Verdict } from "../src/forward/requests";
import { EndlessWriter } from "./harness/endless";
import { addEndpoint, get, port, prepareEach, start } from "./harness/fixture";
import { allocatePort } from "./harness/ports";
import { writeAnswer } from "./harness/raw";

const KB = 1024;
const MB = 1024 * KB;
const SMALL_BYTES = 64 * KB;
const MAX_HELD_BYTES = 2 * MB;
/** Requests that an endpoint has at once, each of which may hold a small answer and one more read. */
const CONNECTIONS = 8;

function openResponse(budget: ByteBudget, endpoint: string) {
  const body = new PassThrough({ highWaterMark: 4 * MB });
  const response: OpenResponse = {
    head: { status: 200, headers: [], verdict: Verdict.answered, load: undefined },
    body,
    isFramed: true,
    openedAt: 0,
    peer: undefined,
    findEnder: () => "nobody",
    isBroken: () => false,
    containsCopy: () => false,
    isFilledUp: () => Promise.resolve(false),
    length: undefined,
    lease: budget.open(endpoint),
  };
  return { body, whole: readWholeBody(response) };
}

describe("the bytes that are held of answers", () => {
  const step = fc.record({
    kind: fc.constantFrom("open", "write", "write", "write", "end", "break"),
    which: fc.nat(11),
    size: fc.constantFrom(1, 10 * KB, 60 * KB, 200 * KB),
  });

  it("stay within the budget in any order, small answers are whole, and nothing stays behind", async () => {
    const plays = fc.array(step, { minLength: 10, maxLength: 60, size: "max" });
    await fc.assert(
      fc.asyncProperty(plays, async (steps) => {
        const budget = new ByteBudget(new ManualClock(0), 100 * KB);
        const answers: {
          body: PassThrough;
          whole: Promise<E.Either<Error, Buffer>>;
          bytes: number;
        }[] = [];
        let isBroken = new Set<number>();
        for (const { kind, which, size } of steps) {
          const at = which % Math.max(1, answers.length);
          const answer = answers[at];
          if (kind === "open") answers.push({ ...openResponse(budget, `e${which % 3}`), bytes: 0 });
          else if (answer === undefined || answer.body.writableEnded || answer.body.destroyed)
            continue;
          else if (kind === "write") {
            answer.bytes += size;
            answer.body.write(Buffer.alloc(size));
          } else if (kind === "end") answer.body.end();
          else {
            isBroken = isBroken.add(at);
            answer.body.destroy(new Error("broken"));
          }
          await new Promise((resolve) => setImmediate(resolve));
          assert.ok(budget.held <= 100 * KB + answers.length * SMALL_BYTES, `${budget.held} held`);
        }
        for (const { body } of answers) if (!body.destroyed) body.end();
        for (const [at, { whole, bytes }] of answers.entries()) {
          const read = await whole;
          if (bytes > SMALL_BYTES || isBroken.has(at)) continue;
          assert.ok(E.isRight(read) && read.right.length === bytes, `${bytes} bytes are not whole`);
        }
        assert.equal(budget.held, 0);
      }),
      { numRuns: 200 },
    );
  });
});

describe("endpoints whose bodies never end, beside a sound one", () => {
  prepareEach();
  const writer = new EndlessWriter();
  afterEach(() => {
    writer.stop();
  });

  it("cost their own requests only, and no more memory than the budget", async () => {
    for (const id of ["f1", "f2", "f3"])
      await addEndpoint(id, (head, socket) => {
        const request = /x-id: (\S+)/i.exec(head)?.[1] ?? "";
        writer.flood(socket, `HTTP/1.1 200 OK\r\nx-id: ${request}\r\n\r\n`, "a");
      });
    await addEndpoint("sound", (head, socket) => {
      writeAnswer(socket, head, "fine");
    });
    const metrics = { host: "127.0.0.1", port: allocatePort() };
    await start({ maxHeldBytes: MAX_HELD_BYTES, metrics });
    const read = async (name: string) => {
      const { body } = await get(metrics.port, "/metrics");
      return Number(new RegExp(`^gorsefold_${name} (\\S+)$`, "m").exec(body)?.[1]);
    };
    let most = 0;
    let isOver = false;
    const sampling = (async () => {
      while (!isOver) {
        most = Math.max(most, await read("held_bytes"));
        await pause(2);
      }
    })();
    const flooded = await Promise.all(
      Array.from({ length: 24 }, () => get(port, "/once/1", { "x-patience": "4000" })),
    );
    isOver = true;
    await sampling;
    const statuses = new Set(flooded.map(({ status }) => status));
    assert.deepEqual(
      [...statuses].filter((status) => ![200, 502, 503, 504].includes(status)),
      [],
    );
    const bound = MAX_HELD_BYTES + 3 * CONNECTIONS * SMALL_BYTES;
    assert.ok(most <= bound, `${most} bytes were held`);
    assert.ok((await read("no_room_total")) > 0);
    assert.equal(await read("held_bytes"), 0);
  });
});
