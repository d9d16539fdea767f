/**
 * Streams that are taken from an engine, or wait for one, through a real instance. Guards against streams that are cut
 * by the replacement of an engine that would have gone on, and against holds that nobody uses or releases.
 */
import assert from "node:assert/strict";
import { after, describe, it } from "node:test";
import { EngineStage } from "../src/fleet/entries";
import {
  type Answer,
  CallKind,
  createEvent,
  createRun,
  encodeChunk,
  grantHold,
  type HandoverResult,
  Place,
  refuseHold,
  refuseRun,
  runHandover,
  runSound,
  WHOLE_BODY,
  writeStreamHead,
} from "./harness/handover";
import { writeAnswer } from "./harness/raw";

/** Budgets of retries that allow few, and none. */
const FEW_RETRIES = { retryLimit: { ratio: 0, slack: 4, windowMs: 20_000 } };
const NO_RETRIES = { retryLimit: { ratio: 0, slack: 0, windowMs: 20_000 } };

const once = (ms: number) => (run: number) => (run === 1 ? ms : 0);
const always = (ms: number) => () => ms;

/** Has room for the first request only. */
const grantFirst: Answer = (head, socket, count) => {
  (count === 1 ? grantHold : refuseHold)(head, socket, count);
};

/** Answers as another one does, but later. */
const delay =
  (ms: number, answer: Answer): Answer =>
  (head, socket, count) => {
    setTimeout(() => {
      if (!socket.destroyed) answer(head, socket, count);
    }, ms);
  };

const breakOff: Answer = (_, socket) => {
  socket.resetAndDestroy();
};

const answerError: Answer = (head, socket) => {
  writeAnswer(socket, head, "", "500 Failed");
};

/** Reads when something was first recorded, in milliseconds; Infinity if it was not. */
function readTime({ log }: HandoverResult, text: string): number {
  const line = log.find((other) => other.endsWith(text));
  return line === undefined ? Infinity : Number.parseInt(line, 10);
}

function assertWhole({ response, log }: HandoverResult): void {
  assert.deepEqual(
    [response.status, response.isComplete, response.body],
    [200, true, WHOLE_BODY],
    `${log.join("\n")}\n${response.body}`,
  );
}

after(() => {
  setTimeout(() => process.exit(), 500).unref();
});

describe("a stream that is taken from an engine or waits for one", { concurrency: 4 }, () => {
  it("is not cut if its replacement refuses the run and few retries are left", async () => {
    const silent = { run: createRun(Place.afterFirst, once(2000)) };
    assertWhole(
      await runHandover({ engines: [silent, { run: refuseRun }], settings: FEW_RETRIES }),
    );
  });

  it("is not cut if its replacement refuses the run and its silent engine is full by then", async () => {
    const silent = { run: createRun(Place.afterFirst, once(2000)), hold: grantFirst };
    assertWhole(await runHandover({ engines: [silent, { run: refuseRun }] }));
  });

  it("is not cut by runs anew at its only engine, each silent for 3000 ms after its first event", async () => {
    const engine = { run: createRun(Place.afterFirst, always(3000)) };
    assertWhole(await runHandover({ engines: [engine] }));
  });

  it("is not delayed by runs anew at its only engine, each silent for 6000 ms before its first event", async () => {
    const played = await runHandover({
      engines: [{ run: createRun(Place.beforeFirst, always(6000)) }],
      headers: { "x-patience": "10000" },
      timeoutMs: 15_000,
    });
    assertWhole(played);
    assert.ok(played.tookMs < 6500, played.log.join("\n"));
  });

  it("is not delayed by runs anew at its only engine, each silent for 6000 ms before its head", async () => {
    const played = await runHandover({
      engines: [{ run: delay(6000, runSound) }],
      headers: { "x-patience": "10000" },
      timeoutMs: 15_000,
    });
    assertWhole(played);
    assert.ok(played.tookMs < 6500, played.log.join("\n"));
  });

  it("is run anew at its only engine, if its connection brings nothing and a new one works", async () => {
    const run: Answer = (head, socket, count) => {
      if (count > 1) runSound(head, socket, count);
    };
    const played = await runHandover({ engines: [{ run }] });
    assertWhole(played);
    assert.ok(played.tookMs < 4500, played.log.join("\n"));
  });

  it("leaves no hold that a frozen engine grants late and that is neither used nor released", async () => {
    let frozenUntil = 0;
    const runSilent = createRun(Place.afterFirst, once(3200));
    const run: Answer = (head, socket, count) => {
      if (count === 1) frozenUntil = performance.now() + 3200;
      runSilent(head, socket, count);
    };
    const hold: Answer = (head, socket, count) => {
      setTimeout(
        () => {
          grantHold(head, socket, count);
        },
        Math.max(0, frozenUntil - performance.now()),
      );
    };
    const played = await runHandover({ engines: [{ run, hold }] });
    assertWhole(played);
    const { countCalls, log } = played;
    const settled = countCalls(CallKind.run) + countCalls(CallKind.release);
    assert.equal(countCalls(CallKind.hold), settled, log.join("\n"));
  });

  it("is not refused for a prefill that takes 1000 ms, if no retry is left in the budget", async () => {
    const prefill: Answer = (head, socket) => {
      setTimeout(() => {
        writeAnswer(socket, head, "p1");
      }, 1000);
    };
    const engines = [{}, { stage: EngineStage.prefill, prefill }];
    assertWhole(await runHandover({ engines, settings: NO_RETRIES }));
  });

  it("is not refused for a prefill that breaks off, if no retry is left in the budget", async () => {
    const prefill: Answer = (_, socket) => socket.resetAndDestroy();
    const engines = [{}, { stage: EngineStage.prefill, prefill }];
    assertWhole(await runHandover({ engines, settings: NO_RETRIES }));
  });

  it("is not sent beyond the budget after a prefill that was rejected", async () => {
    const prefill: Answer = (head, socket) => {
      writeAnswer(socket, head, "", "503 Full");
    };
    const engines = [{}, { stage: EngineStage.prefill, prefill }];
    const { response, countCalls } = await runHandover({ engines, settings: NO_RETRIES });
    assert.deepEqual([response.status, countCalls(CallKind.run)], [503, 0]);
  });

  it("is not cut if it has begun and its only engine has room 2700 ms after it broke", async () => {
    const startedAt = performance.now();
    const run: Answer = (head, socket, count) => {
      if (count > 1) {
        runSound(head, socket, count);
        return;
      }
      writeStreamHead(head, socket);
      socket.write(encodeChunk(createEvent(1)));
      setTimeout(() => socket.resetAndDestroy(), 300);
    };
    const hold: Answer = (head, socket, count) => {
      const hasRoom = count === 1 || performance.now() > startedAt + 3000;
      (hasRoom ? grantHold : refuseHold)(head, socket, count);
    };
    assertWhole(await runHandover({ engines: [{ run, hold }] }));
  });
});

describe("a stream whose replacement was sent", { concurrency: 4 }, () => {
  for (const [fault, run] of [
    ["breaks off", breakOff],
    ["answers with an error", answerError],
    [
      "is refused as meant for another engine",
      (head, socket) => writeAnswer(socket, head, "", "421 Other"),
    ],
  ] as readonly (readonly [string, Answer])[]) {
    it(`is not cut if that ${fault}`, async () => {
      const silent = { run: createRun(Place.afterFirst, once(2000)) };
      assertWhole(await runHandover({ engines: [silent, { run }] }));
    });
  }

  it("stays with its silent run if too little time is left for another one", async () => {
    const silent = { run: createRun(Place.afterFirst, once(1500)) };
    const slow = { run: createRun(Place.beforeFirst, always(600)) };
    assertWhole(await runHandover({ engines: [silent, slow], headers: { "x-patience": "1700" } }));
  });

  it("stays with its silent run if that goes on first", async () => {
    const silent = { run: createRun(Place.afterFirst, once(1400)) };
    const played = await runHandover({ engines: [silent, { run: delay(300, runSound) }] });
    assertWhole(played);
    const { log, tookMs } = played;
    assert.ok(tookMs < 1500, log.join("\n"));
    assert.ok(readTime(played, "engine 1 run closed") < tookMs + 200, log.join("\n"));
  });

  it("goes on there with no further run if its silent run breaks off before the answer", async () => {
    const run: Answer = (head, socket) => {
      writeStreamHead(head, socket);
      socket.write(encodeChunk(createEvent(1)));
      setTimeout(() => socket.resetAndDestroy(), 1350);
    };
    const played = await runHandover({ engines: [{ run }, { run: delay(300, runSound) }] });
    assertWhole(played);
    assert.equal(played.countCalls(CallKind.run), 2, played.log.join("\n"));
  });
});

// Alone, as it asks for a time: the instances of tests beside it would share this process with its own.
describe("a stream whose replacement is late", () => {
  it("gives up its silent run within 400 ms, though that is not answered", async () => {
    const silent = { run: createRun(Place.afterFirst, always(60_000)) };
    const played = await runHandover({ engines: [silent, { run: delay(600, runSound) }] });
    assertWhole(played);
    const beside = readTime(played, "engine 0 run closed") - readTime(played, "engine 1 run");
    assert.ok(beside < 400, played.log.join("\n"));
  });
});
