/**
 * Callers of an instance whose listener is closed as it stops: requests of which a part has come, processes that stand
 * still, and the server of the own interface. Guards against requests that get neither an answer nor a refusal.
 */
import assert from "node:assert/strict";
import { connect } from "node:net";
import { describe, it } from "node:test";
import { Worker } from "node:worker_threads";
import { pause } from "../src/core/clock";
import { startCallerServer } from "./harness/callerservers";
import { addEndpoint, instance, port, prepareEach, start } from "./harness/fixture";
import { writeAnswer } from "./harness/raw";
import { blockAfter } from "./harness/standstill";

prepareEach();

/** How long an instance that stops keeps its listener open, in milliseconds. */
const NOTICE_MS = 2600;
/** How long a process stands still, in milliseconds. */
const STILL_MS = 300;
/** How long before that moment callers connect, and how long after it they send the rest, in milliseconds. */
const EARLY_MS = 80;
const LATER_MS = EARLY_MS + 50;
/** From the stop until they connect, by a timer of their own thread, in milliseconds. */
const CONNECT_AFTER_MS = NOTICE_MS - EARLY_MS;
const CALLERS = 30;

const REQUEST = "GET /any/1 HTTP/1.1\r\nhost: test\r\nx-id: r1\r\n\r\n";

/** Callers in a thread of their own, which connect together some time after they are told to. */
const CALLERS_CODE = `
const { connect } = require("node:net");
const { parentPort, workerData } = require("node:worker_threads");
const { port, callers, texts, everyMs, afterMs } = workerData;
const endings = { answered: 0, refused: 0, lost: 0 };
let open = callers;
const call = () => {
  let isRefused = false;
  let text = "";
  const socket = connect({ host: "127.0.0.1", port, noDelay: true }, () => {
    texts.forEach((part, index) => setTimeout(() => socket.write(part), index * everyMs));
  });
  socket.on("data", (bytes) => { text += bytes.toString("latin1"); });
  socket.on("end", () => socket.end());
  socket.on("error", ({ code }) => { isRefused = code === "ECONNREFUSED"; });
  socket.on("close", () => {
    if (text.startsWith("HTTP/1.1 ")) endings.answered += 1;
    else if (isRefused) endings.refused += 1;
    else endings.lost += 1;
    open -= 1;
    if (open === 0) parentPort.postMessage(endings);
  });
};
parentPort.once("message", () => setTimeout(() => {
  for (let at = 0; at < callers; at += 1) call();
}, afterMs));
parentPort.postMessage("ready");
`;

/** How the requests of all callers ended. */
interface Endings {
  readonly answered: number;
  /** No connection came about, so that nothing was sent. */
  readonly refused: number;
  /** The connection was there, at least at the listener, and ended without an answer. */
  readonly lost: number;
}

interface CallerOptions {
  readonly at: number;
  /** What each caller writes, at intervals of `everyMs` milliseconds from its connection on. */
  readonly texts: readonly string[];
  readonly everyMs?: number;
  /** Time from the start to the connections, in milliseconds. */
  readonly afterMs?: number;
}

/** Creates callers in a thread of their own that is ready; they connect once the result is called. */
async function prepareCallers({ at, texts, everyMs = 0, afterMs = 0 }: CallerOptions) {
  const workerData = { port: at, callers: CALLERS, texts, everyMs, afterMs };
  const worker = new Worker(CALLERS_CODE, { eval: true, workerData });
  await new Promise((resolve) => worker.once("message", resolve));
  return async (): Promise<Endings> => {
    worker.postMessage("go");
    const endings = await new Promise<Endings>((resolve) => worker.once("message", resolve));
    await worker.terminate();
    return endings;
  };
}

async function startAnswering(): Promise<void> {
  await addEndpoint("a", (head, socket) => {
    writeAnswer(socket, head, "done");
  });
  await start();
}

const ALL_ANSWERED: Endings = { answered: CALLERS, refused: 0, lost: 0 };

describe("an instance that stops", () => {
  for (const [kind, texts, everyMs] of [
    ["send all of it later", ["", REQUEST], LATER_MS],
    [
      "had sent half of its head, and send the rest later",
      [REQUEST.slice(0, 20), REQUEST.slice(20)],
      LATER_MS,
    ],
  ] as const) {
    it(`answers callers that connected before it closes its listener, and ${kind}`, async () => {
      await startAnswering();
      const run = await prepareCallers({ at: port, texts, everyMs, afterMs: CONNECT_AFTER_MS });
      const closed = instance.close();
      const endings = await run();
      await closed;
      assert.deepEqual(endings, ALL_ANSWERED);
    });
  }

  it("answers callers that connected before it closes its listener, and send all of it as it stands still", async () => {
    await startAnswering();
    const texts = ["", REQUEST];
    const times = { everyMs: LATER_MS, afterMs: CONNECT_AFTER_MS };
    const run = await prepareCallers({ at: port, texts, ...times });
    const closed = instance.close();
    blockAfter(NOTICE_MS + 20, STILL_MS);
    const endings = await run();
    await closed;
    assert.deepEqual(endings, ALL_ANSWERED);
  });

  it("stops within 1.5 s after its notice where connections come that bring nothing", async () => {
    await startAnswering();
    const startedAt = performance.now();
    const closed = instance.close();
    const timer = setInterval(() => {
      connect({ host: "127.0.0.1", port }).on("error", () => undefined);
    }, 5);
    await closed;
    clearInterval(timer);
    const tookMs = Math.round(performance.now() - startedAt - NOTICE_MS);
    assert.ok(tookMs < 1500, `${tookMs} ms`);
  });
});

describe("the server of the own interface that is closed after a notice", () => {
  for (const stillMs of [0, STILL_MS]) {
    it(`answers all that wait at its listener, if it stood still for ${stillMs} ms`, async () => {
      await startAnswering();
      const server = await startCallerServer(3000, () => Buffer.from("done"));
      const run = await prepareCallers({ at: server.port, texts: [REQUEST], afterMs: 60 });
      const running = run();
      if (stillMs > 0) blockAfter(20, stillMs);
      await pause(STILL_MS);
      server.close();
      assert.deepEqual(await running, ALL_ANSWERED);
    });
  }
});
