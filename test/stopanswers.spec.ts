/**
 * Answers that are under way while an instance stops. Guards against one that is cut though its request was served, and
 * against a cut one that looks whole.
 */
import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { describe, it } from "node:test";
import { pause } from "../src/core/clock";
import { EngineStage } from "../src/fleet/entries";
import { addEndpoint, get, instance, port, prepareEach, start } from "./harness/fixture";
import { encodeChunk, writeStreamHead } from "./harness/handover";
import { writeAnswer } from "./harness/raw";
import { blockAfter, runCaller } from "./harness/standstill";

prepareEach();

/** Far more than the buffers of two sockets hold, in bytes. */
const LARGE_BYTES = 14 * 1024 * 1024;
const EVENT_BYTES = 200_000;
/** How long a slow caller reads nothing: longer than connections are kept open for requests, in milliseconds. */
const SLOW_MS = 3200;
/** A grace that ends soon after the time for which connections are kept open, in milliseconds. */
const SHORT_GRACE_MS = 3600;
/** How long an instance that stops keeps connections open for requests, in milliseconds. */
const NOTICE_MS = 2600;
const ENGINE = { service: "models", stage: EngineStage.decode };

const readId = (head: string) => /x-id: (\S+)/i.exec(head)?.[1] ?? "";

/** Answers holds, and runs by `run`. */
const runBy = (run: (head: string, socket: Socket) => void) => (head: string, socket: Socket) => {
  if (head.startsWith("POST /hold")) writeAnswer(socket, head, "h1");
  else run(head, socket);
};

type Write = (head: string, socket: Socket) => void;

const writeDone: Write = (head, socket) => {
  writeAnswer(socket, head, "done");
};

const writeOneEvent: Write = (head, socket) => {
  writeStreamHead(head, socket);
  socket.write(`${encodeChunk("id: 1\ndata: t1\n\n")}0\r\n\r\n`);
};

/** Answers the first request, and none after it. */
function answerFirst(write: Write): Write {
  let isFirst = true;
  return (head, socket) => {
    if (isFirst) write(head, socket);
    isFirst = false;
  };
}

/** Sends a request on a connection of its own, and reads all that comes, from a moment on. */
async function readFrom(path: string, afterMs: number, more = "") {
  const socket = connect(port, "127.0.0.1");
  let bytes = 0;
  let text = "";
  let wasReset = false;
  socket.on("error", () => (wasReset = true));
  const closed = new Promise((resolve) => socket.on("close", resolve));
  socket.pause();
  socket.write(`GET ${path} HTTP/1.1\r\nhost: test\r\nx-id: r1\r\n${more}\r\n`);
  await pause(afterMs);
  socket.on("data", (part: Buffer) => {
    if (bytes === 0) text = part.toString("latin1").slice(0, 1000);
    bytes += part.length;
  });
  socket.resume();
  await closed;
  const headBytes = text.indexOf("\r\n\r\n") + 4;
  return { status: Number(text.slice(9, 12)), bodyBytes: bytes - headBytes, wasReset };
}

describe("an answer under way while its instance stops", { concurrency: false }, () => {
  it("is read whole by a slow caller", async () => {
    await addEndpoint("a", (head, socket) => {
      writeAnswer(socket, head, "x".repeat(LARGE_BYTES));
    });
    await start();
    const answer = readFrom("/once/7", SLOW_MS);
    await pause(400);
    const closing = instance.close();
    assert.deepEqual(await answer, { status: 200, bodyBytes: LARGE_BYTES, wasReset: false });
    await closing;
  });

  it("is read whole by a slow caller, though its endpoint gave it no length", async () => {
    await addEndpoint("a", (head, socket) => {
      socket.end(
        `HTTP/1.1 200 OK\r\nx-id: ${readId(head)}\r\nconnection: close\r\n\r\n${"x".repeat(LARGE_BYTES)}`,
      );
    });
    await start();
    const answer = readFrom("/once/7", SLOW_MS);
    await pause(400);
    const closing = instance.close();
    assert.deepEqual(await answer, { status: 200, bodyBytes: LARGE_BYTES, wasReset: false });
    await closing;
  });

  it("is read whole by a slow caller if it is a stream", async () => {
    const body = Array.from(
      { length: Math.floor(LARGE_BYTES / EVENT_BYTES) },
      (_, id) => `id: ${id}\ndata: ${"x".repeat(EVENT_BYTES)}\n\n`,
    );
    await addEndpoint(
      "d",
      runBy((head, socket) => {
        writeStreamHead(head, socket);
        for (const event of body) socket.write(encodeChunk(event));
        socket.write("0\r\n\r\n");
      }),
      ENGINE,
    );
    await start();
    const answer = readFrom("/draft/1", SLOW_MS, "x-tokens: 30\r\n");
    await pause(400);
    const closing = instance.close();
    const { status, bodyBytes } = await answer;
    assert.equal(status, 200);
    assert.ok(bodyBytes > body.join("").length, `${bodyBytes} bytes`);
    await closing;
  });
});

describe(
  "an answer that isn't whole at the end of its instance's grace",
  { concurrency: false },
  () => {
    it("does not look whole if only the end of its connection would say so", async () => {
      await addEndpoint(
        "d",
        runBy((head, socket) => {
          const open = `HTTP/1.1 200 OK\r\nx-id: ${readId(head)}\r\nconnection: close\r\n\r\n`;
          socket.write(`${open}id: 1\ndata: t1\n\n`);
        }),
        ENGINE,
      );
      await start({ graceMs: SHORT_GRACE_MS });
      const answer = get(port, "/draft/1", { "x-tokens": "30" });
      await pause(400);
      await instance.close();
      const { status, body, isComplete, headers } = await answer;
      assert.deepEqual([status, body, isComplete], [200, "id: 1\ndata: t1\n\n", false]);
      assert.equal(headers["transfer-encoding"], "chunked");
    });

    for (const path of ["/once/7", "/any/7", "/draft/1"]) {
      it(`is a refusal if it has not begun, ${path}`, async () => {
        await addEndpoint("a", answerFirst(writeDone));
        await addEndpoint("d", runBy(answerFirst(writeOneEvent)), ENGINE);
        await start({ graceMs: SHORT_GRACE_MS });
        // What is known to take long is not taken any more.
        await readFrom(path, 0, "connection: close\r\nx-tokens: 30\r\n");
        const closing = instance.close();
        await pause(2000);
        const answer = await readFrom(path, 0, "x-tokens: 30\r\n");
        assert.equal(answer.status, 502);
        await closing;
      });
    }
  },
);

describe("requests behind each other on one connection of a stopping instance", () => {
  it("are all answered", async () => {
    await addEndpoint("a", (head, socket) => {
      setTimeout(() => {
        writeAnswer(socket, head, "done");
      }, 300);
    });
    await start();
    const socket = connect(port, "127.0.0.1");
    let text = "";
    socket.on("data", (bytes: Buffer) => (text += bytes.toString("latin1")));
    const closed = new Promise((resolve) => socket.on("close", resolve));
    const requests = ["r1", "r2", "r3"].map(
      (id) => `GET /once/7 HTTP/1.1\r\nhost: test\r\nx-id: ${id}\r\n\r\n`,
    );
    socket.write(requests.join(""));
    await pause(100);
    const closing = instance.close();
    await closed;
    const ids = [...text.matchAll(/x-id: (\S+)/g)].map(([, id]) => id);
    assert.deepEqual(ids, ["r1", "r2", "r3"]);
    await closing;
  });
});

describe("an instance that is told to stop twice", () => {
  it("answers what it has accepted before it says that it has stopped", async () => {
    await addEndpoint("a", (head, socket) => {
      setTimeout(() => {
        writeAnswer(socket, head, "done");
      }, 1000);
    });
    await start();
    let isAnswered = false;
    const answer = readFrom("/once/7", 0).then(({ status }) => {
      isAnswered = true;
      return status;
    });
    await pause(200);
    const closing = instance.close();
    await instance.close();
    assert.equal(isAnswered, true);
    assert.equal(await answer, 200);
    await closing;
  });
});

describe("a request that came while its stopping instance stood still", () => {
  it("is answered though connections are closed then that nothing was read from", async () => {
    await addEndpoint("a", (head, socket) => {
      writeAnswer(socket, head, "done");
    });
    await start();
    const formatRequest = (id: string) =>
      `GET /once/7 HTTP/1.1\r\nhost: test\r\nx-id: ${id}\r\n\r\n`;
    let closing: Promise<void> | undefined;
    const next = [{ afterMs: NOTICE_MS - 100, text: formatRequest("r2") }];
    const beginStop = () => {
      closing = instance.close();
      blockAfter(NOTICE_MS - 200, 500);
    };
    const received = await runCaller(port, formatRequest("r1"), next, beginStop, 4000);
    assert.match(received, /^closed HTTP\/1\.1 \d+ .*x-id: r2/s);
    await closing;
  });
});
