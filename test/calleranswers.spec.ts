/**
 * What is recorded of answers to callers: how each shows its end, and how it ended. Guards against an end of this process
 * amid answers of which nobody can tell which of them were under way.
 */
import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import * as E from "fp-ts/Either";
import { MonotonicClock } from "../src/core/clock";
import { type LogFields, SILENT_LOGGER } from "../src/core/log";
import { type CallerHandler, ForwardServer } from "../src/forward/callers/server";
import { Meter } from "../src/forward/requests/meter";
import { testCodecs, waitUntil } from "./harness/forward";
import { allocatePort } from "./harness/ports";

/** More than the operating system takes for a caller that does not read. */
const LARGE_BYTES = 12 * 1024 * 1024;

interface Line extends LogFields {
  readonly event: string;
}

const lines: Line[] = [];
let server: ForwardServer | undefined;
let caller: Socket | undefined;
let meter: Meter;

afterEach(() => {
  caller?.destroy();
  server?.close();
  lines.length = 0;
});

function record(event: string, fields: LogFields): void {
  if (event.startsWith("caller answer")) lines.push({ event, ...fields });
}

async function startServer(handler: CallerHandler): Promise<number> {
  const logger = { ...SILENT_LOGGER, info: record, warn: record };
  meter = new Meter();
  server = new ForwardServer(testCodecs.callerCodec, handler, new MonotonicClock(), logger, meter);
  const port = allocatePort();
  await server.listen("127.0.0.1", port);
  return port;
}

function ask(port: number, method = "GET"): Socket {
  caller = connect(port, "127.0.0.1");
  caller.on("error", () => undefined);
  caller.write(`${method} /any/1 HTTP/1.1\r\nhost: test\r\nx-id: a1\r\n\r\n`);
  return caller;
}

const answerWith =
  (bytes: number): CallerHandler =>
  () => {
    const head = { status: 200, headers: [], verdict: "answered", load: undefined } as const;
    return Promise.resolve(E.right({ head, body: Buffer.alloc(bytes, "a"), isFramed: true }));
  };

/** Begins a stream that does not end by itself. */
const stream: CallerHandler = ({ sink, caller: { aborted } }) => {
  assert.equal(aborted, false);
  sink.begin(200, [], true);
  sink.write(Buffer.from("id: 1\ndata: a\n\n"));
  return new Promise(() => undefined);
};

describe("an answer to a caller", () => {
  it("has no lines if it is taken at once, and counts as written", async () => {
    const port = await startServer(answerWith(100));
    const socket = ask(port);
    await new Promise((resolve) => socket.once("data", resolve));
    assert.deepEqual(lines, []);
    assert.match(
      await meter.renderMetrics(),
      /caller_answer_ends_total\{framing="length",end="written"\} 1/,
    );
  });

  it("has lines if its caller takes it late", async () => {
    const port = await startServer(answerWith(LARGE_BYTES));
    const socket = ask(port);
    await waitUntil(() => lines.length === 1);
    assert.equal(lines[0]?.event, "caller answer begun");
    assert.deepEqual([lines[0]["request"], lines[0]["framing"]], ["a1", "length"]);
    socket.resume();
    await waitUntil(() => lines.length === 2);
    assert.deepEqual([lines[1]?.["end"], lines[1]?.["untaken"]], ["written", 0]);
  });

  it("is recorded as cut if its caller leaves", async () => {
    const port = await startServer(stream);
    const socket = ask(port);
    await waitUntil(() => lines.length === 1);
    assert.equal(lines[0]?.["framing"], "chunks");
    socket.destroy();
    await waitUntil(() => lines.length === 2);
    assert.equal(lines[1]?.["end"], "cut");
  });

  it("is recorded as under way if the process closes", async () => {
    const port = await startServer(stream);
    ask(port);
    await waitUntil(() => lines.length === 1);
    server?.close();
    assert.deepEqual(
      lines.map(({ event, end }) => [event, end]),
      [
        ["caller answer begun", undefined],
        ["caller answer ended", "under way"],
      ],
    );
    assert.match(await meter.renderMetrics(), /end="under way"\} 1/);
  });
});
