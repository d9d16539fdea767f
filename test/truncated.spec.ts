/**
 * Endpoints that cut an answer short and then write the whole of it again on the same connection. The tests guard
 * against a body or an event that the late copy fills up.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { containsOwnHead, isCutInHead } from "../src/forward/endpoints/copy";
import { EngineStage } from "../src/fleet/entries";
import { addEndpoint, get, port, prepareEach, start } from "./harness/fixture";

prepareEach();

const DECODE = { service: "models", stage: EngineStage.decode };
const TOKENS = { "x-tokens": "30" };
const SHEET = `${"sheet ".repeat(10)}end`;
/** How long after the cut answer its copy comes, in milliseconds. */
const COPY_DELAY_MS = 30;

const readId = (head: string) => /x-id: (\S+)/i.exec(head)?.[1] ?? "";
const event = (id: number, text = `t${id}`) => `id: ${id}\ndata: ${text}\n\n`;
const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const openAnswer = (head: string, more: string) =>
  `HTTP/1.1 200 OK\r\nx-id: ${readId(head)}\r\n${more}\r\n`;
const createAnswer = (head: string, body = SHEET) =>
  openAnswer(head, `content-length: ${body.length}\r\n`) + body;
const createChunked = (head: string, ...events: readonly string[]) =>
  `${openAnswer(head, "transfer-encoding: chunked\r\n")}${events.map(chunk).join("")}0\r\n\r\n`;

type Answer = (head: string, socket: Socket) => void;

/** Adds endpoints that give the answers in turn, whichever is asked. */
async function addInTurn(answers: readonly Answer[], more = {}): Promise<string[]> {
  const heads: string[] = [];
  const answer: Answer = (head, socket) => {
    if (head.startsWith("POST /hold")) {
      socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nh1");
      return;
    }
    heads.push(head);
    answers[heads.length - 1]?.(head, socket);
  };
  for (const id of ["e1", "e2"]) await addEndpoint(id, answer, more);
  return heads;
}

/** Leaves out the last bytes of an answer, and writes the whole of it later. */
const cut =
  (missing: number, create = (head: string) => createAnswer(head)): Answer =>
  (head, socket) => {
    const answer = create(head);
    socket.write(answer.slice(0, -missing));
    setTimeout(() => socket.write(answer), COPY_DELAY_MS);
  };
const answerWhole: Answer = (head, socket) => {
  socket.write(createAnswer(head));
};
const streamSecond: Answer = (head, socket) => {
  socket.write(createChunked(head, event(2)));
};

describe("an answer that was cut short, with its copy behind it", () => {
  for (const missing of [1, 6, 7, 10, 15, 16, 17, 20, 28, 40, 60]) {
    it(`is not filled up by the copy if ${missing} bytes are missing`, async () => {
      const heads = await addInTurn([cut(missing), answerWhole]);
      await start();
      const response = await get(port, "/once/7", { "x-id": "one" });
      assert.deepEqual([response.status, heads.length], [502, 1]);
      assert.ok(!response.body.includes("sheet"), response.body);
    });
  }

  it("is not filled up if the rest of the copy comes in a packet of its own", async () => {
    const heads = await addInTurn([
      (head, socket) => {
        const answer = createAnswer(head);
        socket.write(answer.slice(0, -20) + answer.slice(0, 20));
        setTimeout(() => socket.write(answer.slice(20)), 5);
      },
    ]);
    await start();
    const response = await get(port, "/once/7", { "x-id": "one" });
    assert.deepEqual([response.status, heads.length], [502, 1]);
  });

  it("is asked for again, once, if the request may be repeated", async () => {
    const heads = await addInTurn([cut(20), answerWhole]);
    await start();
    const response = await get(port, "/any/7", { "x-id": "one" });
    assert.deepEqual([response.status, response.body, heads.length], [200, SHEET, 2]);
  });

  it("is not asked for more often than the route allows", async () => {
    const heads = await addInTurn([cut(20), cut(20), answerWhole]);
    await start();
    const response = await get(port, "/any/7", { "x-id": "one" });
    assert.deepEqual([response.status, heads.length], [502, 2]);
  });

  it("is not passed on with the copy in it if it ends with its connection", async () => {
    await addInTurn([
      (head, socket) => {
        const answer = openAnswer(head, "") + SHEET;
        socket.write(answer.slice(0, -20));
        setTimeout(() => socket.end(answer), COPY_DELAY_MS);
      },
    ]);
    await start();
    assert.equal((await get(port, "/once/7", { "x-id": "one" })).status, 502);
  });
});

describe("the beginning of a copy at the end of a body", () => {
  const head = openAnswer("x-id: one", "content-length: 63\r\n");
  const isOwn = (headers: readonly string[]) => headers[headers.indexOf("x-id") + 1] === "one";
  const isNoticed = (text: string) =>
    isCutInHead(Buffer.from(text)) || containsOwnHead(Buffer.from(text), isOwn);

  it("is noticed however much of the copy's head it is", () => {
    for (let length = 1; length <= head.length; length += 1) {
      assert.ok(isNoticed(`sheet ${head.slice(0, length)}`), `${length} bytes`);
    }
  });

  it("is not seen in other bodies", () => {
    for (const text of ["", "sheet", "HTTP", "HTTP/1.1 200 OK and more\r\n\r\n", "HTTP/1.1 20x"]) {
      assert.equal(isNoticed(`${text}.`), false, text);
    }
  });
});

describe("a whole answer", () => {
  const bodies = {
    "talks about HTTP":
      "a head is HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\nx-id: two\r\n\r\nand a body",
    "ends in a status line": "it said HTTP/1.1 200 OK",
    "ends within a head": "it said HTTP/1.1 200 OK\r\nx-id: t",
  };
  for (const [name, body] of Object.entries(bodies)) {
    it(`is passed on if it ${name}`, async () => {
      await addInTurn([
        (head, socket) => {
          socket.write(createAnswer(head, body));
        },
      ]);
      await start();
      const response = await get(port, "/once/7", { "x-id": "one" });
      assert.deepEqual([response.status, response.body], [200, body]);
    });
  }

  it("is passed on if its copy comes right behind it", async () => {
    await addInTurn([
      (head, socket) => {
        socket.write(createAnswer(head) + createAnswer(head));
      },
    ]);
    await start();
    const response = await get(port, "/once/7", { "x-id": "one" });
    assert.deepEqual([response.status, response.body], [200, SHEET]);
  });
});

/** Writes an event and its whole copy, and then ends the connection, which alone ends the stream. */
const endAfterCopy: Answer = (head, socket) => {
  const answer = openAnswer(head, "") + event(1);
  socket.write(answer);
  setTimeout(() => socket.end(answer), COPY_DELAY_MS);
};
/** Cuts the chunk of the second event short, and writes the whole stream again. */
const cutChunk: Answer = (head, socket) => {
  const events = [event(1), event(2, "x".repeat(200))];
  cut(150, (text) => createChunked(text, ...events))(head, socket);
};

for (const [name, answer] of [
  ["without length and chunks", endAfterCopy],
  ["whose chunk was cut short", cutChunk],
] as const) {
  describe(`a stream ${name}, with its copy behind it`, () => {
    it("is cut before the copy if it may run once", async () => {
      const heads = await addInTurn([answer], DECODE);
      await start();
      const response = await get(port, "/draft/1", { ...TOKENS, "x-id": "one" });
      assert.deepEqual([response.body, response.isComplete, heads.length], [event(1), false, 1]);
    });

    it("is resumed after its last event where it may be", async () => {
      const heads = await addInTurn([answer, streamSecond], DECODE);
      await start();
      const response = await get(port, "/summary/1", { ...TOKENS, "x-id": "one" });
      assert.equal(response.body, event(1) + event(2));
      assert.match(heads[1] ?? "", /x-after: 1/);
    });
  });
}

describe("a whole stream", () => {
  const events = {
    "talks about HTTP": [
      event(1, "HTTP/1.1 200 OK"),
      "id: 2\ndata: HTTP/1.1 200 OK\nx-id: two\n\n",
    ],
    "has no ids": ["data: a\n\n", "data: a\n\n"],
    "repeats ids that are no numbers": ["id: a\ndata: 1\n\n", "id: a\ndata: 2\n\n"],
  };
  for (const [name, list] of Object.entries(events)) {
    it(`is passed on if it ${name}`, async () => {
      await addInTurn(
        [
          (head, socket) => {
            socket.write(createChunked(head, ...list));
          },
        ],
        DECODE,
      );
      await start();
      const response = await get(port, "/draft/1", { ...TOKENS, "x-id": "one" });
      assert.deepEqual([response.body, response.isComplete], [list.join(""), true]);
    });
  }
});
