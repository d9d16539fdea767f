/**
 * Callers that connect while an instance that stops closes its listener. Guards against requests that get neither an
 * answer nor a refusal, as the system resets connections that wait at a listener which is closed.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Worker } from "node:worker_threads";
import { pause } from "../src/core/clock";
import { addEndpoint, instance, port, prepareEach, start } from "./harness/fixture";
import { writeAnswer } from "./harness/raw";
import { blockAfter } from "./harness/standstill";

prepareEach();

/** How long an instance that stops keeps its listener open, in milliseconds. */
const NOTICE_MS = 2600;
/** How long the instance's process stands still around that moment, in milliseconds. */
const STILL_MS = 300;
/** Callers connect from this time before it stands still until this time before it goes on, in milliseconds. */
const MARGIN_MS = 100;

/** How the requests of one caller each ended. */
interface Endings {
  readonly answered: number;
  /** No connection came about, so that nothing was sent. */
  readonly refused: number;
  /** The connection was open, and ended without an answer. */
  readonly lost: number;
}

const CALLERS_CODE = `
const { connect } = require("node:net");
const { parentPort, workerData } = require("node:worker_threads");
const { port, forMs } = workerData;
const endings = { answered: 0, refused: 0, lost: 0 };
let sent = 0;
let open = 0;
let isOver = false;
const finish = () => { if (isOver && open === 0) parentPort.postMessage(endings); };
const send = () => {
  const id = "w" + (sent += 1);
  open += 1;
  let isOpen = false;
  let text = "";
  const socket = connect({ host: "127.0.0.1", port, noDelay: true }, () => {
    isOpen = true;
    socket.write("GET /any/1 HTTP/1.1\\r\\nhost: test\\r\\nx-id: " + id + "\\r\\n\\r\\n");
  });
  socket.on("data", (bytes) => { text += bytes.toString("latin1"); });
  socket.on("end", () => socket.end());
  socket.on("error", () => undefined);
  socket.on("close", () => {
    if (text.startsWith("HTTP/1.1 ")) endings.answered += 1;
    else if (isOpen) endings.lost += 1;
    else endings.refused += 1;
    open -= 1;
    finish();
  });
};
const timer = setInterval(send, 3);
setTimeout(() => { clearInterval(timer); isOver = true; finish(); }, forMs);
`;

/** Has callers connect, in a thread of their own, for a time in milliseconds. */
async function runCallers(forMs: number): Promise<Endings> {
  const worker = new Worker(CALLERS_CODE, { eval: true, workerData: { port, forMs } });
  const endings = await new Promise<Endings>((resolve) => worker.once("message", resolve));
  await worker.terminate();
  return endings;
}

describe("an instance that stops while callers connect", () => {
  it("answers all that wait at its listener, also if it stands still as it is to close it", async () => {
    await addEndpoint("a", (head, socket) => {
      writeAnswer(socket, head, "done");
    });
    await start();
    const closed = instance.close();
    const stillAtMs = NOTICE_MS - STILL_MS / 2;
    blockAfter(stillAtMs, STILL_MS);
    await pause(stillAtMs - MARGIN_MS);
    const { answered, refused, lost } = await runCallers(STILL_MS);
    await closed;
    assert.ok(answered > 0);
    assert.deepEqual({ refused, lost }, { refused: 0, lost: 0 }, `${answered} answered`);
  });
});
