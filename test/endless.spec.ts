/**
 * Endpoints whose bytes never end, in a head or a body, until their connection is closed. The tests guard against
 * callers that get no answer, connections that stay open and memory that grows.
 */
import assert from "node:assert/strict";
import { request as httpRequest } from "node:http";
import type { Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { EngineStage } from "../src/fleet/entries";
import { MAX_SMALL_BODY_BYTES } from "../src/forward/endpoints/body";
import { MAX_FRAMED_BYTES, MAX_HEAD_BYTES } from "../src/forward/endpoints/connection";
import { MAX_EVENT_BYTES } from "../src/forward/generations/relay";
import { EndlessWriter } from "./harness/endless";
import { addEndpoint, get, port, prepareEach, start } from "./harness/fixture";
import { waitUntil } from "./harness/forward";
import { writeAnswer } from "./harness/raw";

prepareEach();

/** What the kernel and the sockets of both sides may hold beyond a bound, in bytes. */
const BUFFER_BYTES = 16 * 1024 * 1024;
/** By when a caller with 1 s of patience must have its answer, in milliseconds. */
const ANSWER_WITHIN_MS = 1500;
const PATIENCE = { "x-patience": "1000", "x-tokens": "30" };

const DECODE = { service: "models", stage: EngineStage.decode };
const PREFILL = { service: "models", stage: EngineStage.prefill };

const event = (id: number) => `id: ${id}\ndata: t${id}\n\n`;
const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const openChunked = (head: string, status = "200 OK", more = "") =>
  `HTTP/1.1 ${status}\r\nx-id: ${/x-id: (\S+)/i.exec(head)?.[1] ?? ""}\r\n${more}transfer-encoding: chunked\r\n\r\n`;
const endlessBody = chunk("a".repeat(1000));

let writer = new EndlessWriter();
let startedAt = 0;

function answerHold(head: string, socket: Socket): boolean {
  if (!head.startsWith("POST /hold")) return false;
  socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nh1");
  return true;
}

function writeStream(head: string, socket: Socket): void {
  const after = Number(/x-after: (\d+)/i.exec(head)?.[1] ?? "0");
  const events = [1, 2].slice(after).map((id) => chunk(event(id)));
  socket.write(`${openChunked(head)}${events.join("")}0\r\n\r\n`);
}

/** Adds two decode engines, of which the first that runs a generation answers it in a faulty way. */
async function addEngines(answerFaulty: (head: string, socket: Socket) => void): Promise<void> {
  let runs = 0;
  const answer = (head: string, socket: Socket) => {
    if (answerHold(head, socket)) return;
    runs += 1;
    if (runs === 1) answerFaulty(head, socket);
    else writeStream(head, socket);
  };
  for (const id of ["d1", "d2"]) await addEndpoint(id, answer, DECODE);
}

function assertInTime(withinMs = ANSWER_WITHIN_MS): void {
  const ms = performance.now() - startedAt;
  assert.ok(ms < withinMs, `answered after ${Math.round(ms)} ms`);
}

async function assertBounded(maxBytes: number, connections = 1): Promise<void> {
  await waitUntil(() => writer.closedConnections === connections, 2000);
  const { bytesWritten } = writer;
  const isBounded = bytesWritten < maxBytes + connections * BUFFER_BYTES;
  assert.ok(isBounded, `${bytesWritten} bytes were written`);
}

beforeEach(() => {
  writer = new EndlessWriter();
});

afterEach(() => {
  writer.stop();
});

const heads: Record<string, (id: string) => readonly [string, string]> = {
  "a reason phrase": () => ["HTTP/1.1 200 ", "a"],
  "a header line": (id) => [`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-a: `, "a"],
  headers: (id) => [`HTTP/1.1 200 OK\r\nx-id: ${id}\r\n`, "x-a: b\r\n"],
  "interim responses": () => ["", "HTTP/1.1 103 Early Hints\r\nx-a: b\r\n\r\n"],
  "bytes that are no HTTP": () => ["", "\x00\xfe\xff"],
};
const chunked = (id: string) =>
  `HTTP/1.1 200 OK\r\nx-id: ${id}\r\ntransfer-encoding: chunked\r\n\r\n`;
const bodies: Record<string, (id: string) => readonly [string, string]> = {
  "a chunk extension": (id) => [`${chunked(id)}5;`, "a"],
  "a chunk size": (id) => [chunked(id), "0"],
  trailers: (id) => [`${chunked(id)}1\r\nx\r\n0\r\n`, "x-a: b\r\n"],
  "a trailer line": (id) => [`${chunked(id)}1\r\nx\r\n0\r\nx-a: `, "a"],
  "a body with neither length nor chunks": (id) => [`HTTP/1.1 200 OK\r\nx-id: ${id}\r\n\r\n`, "a"],
  "a body in chunks": (id) => [chunked(id), endlessBody],
};
const forms = [
  ...Object.entries(heads).map((form) => [...form, MAX_HEAD_BYTES] as const),
  ...Object.entries(bodies).map((form) => [...form, MAX_FRAMED_BYTES] as const),
];

for (const [name, form, maxBytes] of forms) {
  describe(`${name} without end`, () => {
    const flood = (head: string, socket: Socket) => {
      writer.flood(socket, ...form(/x-id: (\S+)/i.exec(head)?.[1] ?? ""));
    };

    it("ends a request and a generation with 502, its connection closed", async () => {
      await addEndpoint("a", flood);
      await addEndpoint(
        "d",
        (head, socket) => {
          if (!answerHold(head, socket)) flood(head, socket);
        },
        DECODE,
      );
      await start();
      for (const path of ["/once/1", "/draft/1"]) {
        writer = new EndlessWriter();
        startedAt = performance.now();
        const response = await get(port, path, { "x-patience": "3000", "x-tokens": "30" });
        assertInTime(3200);
        assert.ok([502, 504].includes(response.status), `${path}: ${response.status}`);
        await assertBounded(maxBytes);
      }
    });

    it("in place of a hold and a prefill leaves the generation to other engines", async () => {
      let holds = 0;
      const answer = (head: string, socket: Socket) => {
        if (head.startsWith("POST /hold")) holds += 1;
        if (head.startsWith("POST /hold") && holds === 1) flood(head, socket);
        else if (!answerHold(head, socket)) writeStream(head, socket);
      };
      await addEndpoint("p", flood, PREFILL);
      for (const id of ["d1", "d2"]) await addEndpoint(id, answer, DECODE);
      await start();
      startedAt = performance.now();
      const response = await get(port, "/draft/1", { ...PATIENCE, "x-patience": "2000" });
      assertInTime();
      assert.deepEqual([response.body, response.isComplete], [event(1) + event(2), true]);
      await assertBounded(2 * (MAX_HEAD_BYTES + MAX_SMALL_BODY_BYTES), 2);
    });
  });
}

describe("an event without end", () => {
  it("is cut off at its maximum size, and the stream goes on at another engine", async () => {
    await addEngines((head, socket) => {
      writer.flood(socket, openChunked(head), endlessBody);
    });
    await start();
    startedAt = performance.now();
    const response = await get(port, "/summary/1", PATIENCE);
    assertInTime();
    assert.deepEqual([response.body, response.isComplete], [event(1) + event(2), true]);
    await assertBounded(MAX_EVENT_BYTES);
  });

  it("that trickles counts as silence, and the stream goes on at another engine", async () => {
    await addEngines((head, socket) => {
      writer.trickle(socket, openChunked(head) + chunk(event(1)), chunk("a"));
    });
    await start();
    startedAt = performance.now();
    const response = await get(port, "/summary/1", { "x-tokens": "30", "x-patience": "4000" });
    assertInTime(2500);
    assert.deepEqual([response.body, response.isComplete], [event(1) + event(2), true]);
    await assertBounded(MAX_EVENT_BYTES);
  });

  it("ends a stream that may run once by a cut within its deadline", async () => {
    await addEngines((head, socket) => {
      writer.trickle(socket, openChunked(head) + chunk(event(1)), chunk("a"));
    });
    await start();
    startedAt = performance.now();
    const response = await get(port, "/draft/1", PATIENCE);
    assertInTime();
    assert.deepEqual([response.body, response.isComplete], [event(1), false]);
    await assertBounded(MAX_EVENT_BYTES);
  });
});

for (const [pace, write] of [
  ["without end", "flood"],
  ["that trickles", "trickle"],
] as const) {
  describe(`a body ${pace}`, () => {
    const notRun = (head: string, socket: Socket) => {
      const open = openChunked(head, "503 Full", "x-not-run: 1\r\n");
      writer[write](socket, open, endlessBody);
    };
    const failure = (head: string, socket: Socket) => {
      writer[write](socket, openChunked(head, "500 Failed"), endlessBody);
    };

    it("of a refusal of an engine does not delay the next engine", async () => {
      await addEngines(notRun);
      await start();
      startedAt = performance.now();
      const response = await get(port, "/draft/1", PATIENCE);
      assertInTime(500);
      assert.deepEqual([response.body, response.isComplete], [event(1) + event(2), true]);
      await assertBounded(MAX_SMALL_BODY_BYTES);
    });

    it("of a refusal of a plain service does not delay the next endpoint", async () => {
      let runs = 0;
      for (const id of ["a", "b"]) {
        await addEndpoint(id, (head, socket) => {
          runs += 1;
          if (runs === 1) notRun(head, socket);
          else writeAnswer(socket, head, "done");
        });
      }
      await start();
      startedAt = performance.now();
      const response = await get(port, "/once/1");
      assertInTime(500);
      assert.deepEqual([response.status, response.body], [200, "done"]);
      await assertBounded(MAX_SMALL_BODY_BYTES);
    });

    it("of a failure of an engine ends at the deadline", async () => {
      await addEngines(failure);
      await start();
      startedAt = performance.now();
      const response = await get(port, "/draft/1", PATIENCE);
      assertInTime();
      assert.ok([502, 504].includes(response.status), `${response.status}`);
      await assertBounded(MAX_FRAMED_BYTES);
    });

    it("of a failure of an engine leaves a resumable generation to another run", async () => {
      await addEngines(failure);
      await start();
      startedAt = performance.now();
      const response = await get(port, "/summary/1", { "x-tokens": "30", "x-patience": "5000" });
      assertInTime(3500);
      assert.deepEqual([response.body, response.isComplete], [event(1) + event(2), true]);
      await assertBounded(MAX_FRAMED_BYTES);
    });

    it("of a failure of a plain service ends at the deadline", async () => {
      await addEndpoint("a", failure);
      await start();
      startedAt = performance.now();
      const response = await get(port, "/once/1", PATIENCE);
      assertInTime();
      assert.ok([502, 504].includes(response.status), `${response.status}`);
      await assertBounded(MAX_FRAMED_BYTES);
    });

    it("of the answer to a release is closed", async () => {
      await addEndpoint(
        "d",
        (head, socket) => {
          if (head.startsWith("DELETE")) failure(head, socket);
          else setTimeout(() => answerHold(head, socket), 200);
        },
        DECODE,
      );
      await start();
      const headers = { "x-id": "gone", ...PATIENCE };
      const call = httpRequest({ host: "127.0.0.1", port, path: "/draft/1", headers });
      call.on("error", () => undefined);
      call.end();
      setTimeout(() => call.destroy(), 100);
      await waitUntil(() => writer.bytesWritten > 0, 2000);
      await assertBounded(MAX_SMALL_BODY_BYTES);
    });
  });
}

describe("the bounds", () => {
  it("close a connection that brings bytes after its answer", async () => {
    await addEndpoint("a", (head, socket) => {
      writeAnswer(socket, head, "done");
      setTimeout(() => {
        writer.flood(socket, "", "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx");
      }, 50);
    });
    await start();
    const response = await get(port, "/once/1");
    assert.deepEqual([response.status, response.body], [200, "done"]);
    await assertBounded(0);
  });

  it("let a service answer of 15 MB pass whole", async () => {
    const body = "0123456789abcdef".repeat(960 * 1024);
    await addEndpoint("a", (head, socket) => {
      writeAnswer(socket, head, body);
    });
    await start();
    const response = await get(port, "/once/1");
    assert.equal(response.status, 200);
    assert.ok(response.body === body, `${response.body.length} bytes came`);
  });

  it("let a stream with 60,000 events and with large ones pass whole", async () => {
    const small = Array.from({ length: 60_000 }, (_, id) => event(id)).join("");
    const [large, larger] = [60_000, 60_001].map(
      (id) => `id: ${id}\ndata: ${"a".repeat(MAX_EVENT_BYTES - 100)}\n\n`,
    ) as [string, string];
    await addEndpoint(
      "d",
      (head, socket) => {
        if (answerHold(head, socket)) return;
        const pieces = small.match(/[^]{1,7}/g) ?? [];
        socket.write(openChunked(head) + pieces.map(chunk).join("") + chunk(large));
        socket.write(chunk(larger) + "0\r\n\r\n");
      },
      DECODE,
    );
    await start();
    const response = await get(port, "/draft/1", { "x-tokens": "30" });
    assert.equal(response.isComplete, true);
    assert.ok(response.body === small + large + larger, `${response.body.length} bytes came`);
  });
});
