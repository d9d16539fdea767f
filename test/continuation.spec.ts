/**
 * Answers of a second engine amid a stream that has begun. Guards against an answer that is taken for what it
 * isn't: the text of an error in the middle of a stream, or a stream that ends as if it were whole (ORDER, MIXED).
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { after, describe, it } from "node:test";
import fc from "fast-check";
import { EventSplitter } from "../src/forward/generations/events";
import { StreamForm } from "../src/forward/generations/streamform";
import { Verdict } from "../src/forward/requests";
import {
  type Answer,
  createEvent,
  encodeChunk,
  runHandover,
  WHOLE_BODY,
  writeStreamHead,
} from "./harness/handover";

const STREAM = "content-type: text/event-stream\r\n";
const PAGE = "<html>\n\n<p>Bad gateway</p>\n\n</html>";

/** Writes two events and breaks. */
const breakAfterTwo: Answer = (head, socket) => {
  writeStreamHead(head, socket);
  socket.write([1, 2].map((id) => encodeChunk(createEvent(id))).join(""));
  setTimeout(() => {
    socket.resetAndDestroy();
  }, 30);
};

const Framing = { length: "length", chunks: "chunks", end: "end" } as const;
type Framing = (typeof Framing)[keyof typeof Framing];

function writeForm(socket: Socket, head: string, form: Form, framing: Framing): void {
  const { status, type, body } = form;
  const id = /x-id: (\S+)/i.exec(head)?.[1] ?? "";
  const start = `HTTP/1.1 ${status}\r\nx-id: ${id}\r\n${type}`;
  if (framing === Framing.length)
    socket.write(`${start}content-length: ${body.length}\r\n\r\n${body}`);
  else if (framing === Framing.chunks)
    socket.write(
      `${start}transfer-encoding: chunked\r\n\r\n${body === "" ? "" : encodeChunk(body)}0\r\n\r\n`,
    );
  else socket.end(`${start}\r\n${body}`);
}

interface Form {
  readonly status: string;
  readonly type: string;
  readonly body: string;
}

const forms: Readonly<Record<string, Form>> = {
  "a page": { status: "200 OK", type: "content-type: text/html\r\n", body: PAGE },
  "a document": {
    status: "200 OK",
    type: "content-type: application/json\r\n",
    body: '{"error":1}\n\n',
  },
  "a page without a type": { status: "200 OK", type: "", body: PAGE },
  "another type and no body": { status: "200 OK", type: "content-type: text/plain\r\n", body: "" },
  "no content": { status: "204 No Content", type: "", body: "" },
  "reset content": { status: "205 Reset Content", type: "", body: "" },
  "a part": { status: "206 Partial", type: STREAM, body: createEvent(3) },
  "an error": { status: "500 Failed", type: STREAM, body: createEvent(3) },
  "an error in a stream's form": {
    status: "200 OK",
    type: STREAM,
    body: "event: error\ndata: full\n\n",
  },
  "a redirection": { status: "302 Found", type: STREAM, body: createEvent(3) },
  "events that come again": {
    status: "200 OK",
    type: STREAM,
    body: [2, 3, 4].map(createEvent).join(""),
  },
  "events that go back": { status: "200 OK", type: STREAM, body: [4, 3].map(createEvent).join("") },
};

after(() => {
  setTimeout(() => process.exit(), 500).unref();
});

describe("a stream that broke after two events", { concurrency: 4 }, () => {
  for (const [name, form] of Object.entries(forms))
    for (const framing of Object.values(Framing)) {
      it(`neither contains nor ends with what answers in place of the rest: ${name}, framed by ${framing}`, async () => {
        const second: Answer = (head, socket) => {
          writeForm(socket, head, form, framing);
        };
        const engine: Answer = (head, socket, count) => {
          const isFirst = !/x-after: /i.test(head);
          (isFirst ? breakAfterTwo : second)(head, socket, count);
        };
        const { response } = await runHandover({ engines: [{ run: engine }, { run: engine }] });
        const { status, body, isComplete } = response;
        const isPart = /^(id: \d+\ndata: t\d+\n\n)*$/.test(body) && isRising(body);
        assert.deepEqual(
          [status, isPart, isComplete && body !== WHOLE_BODY],
          [200, true, false],
          body,
        );
      });
    }
});

function isRising(body: string): boolean {
  const ids = [...body.matchAll(/id: (\d+)/g)].map(([, id]) => Number(id));
  return ids.every((id, index) => index === 0 || id > (ids[index - 1] ?? 0));
}

describe("the form of a stream, in any order of answers", () => {
  const event = fc.oneof(
    fc.nat(9).map(createEvent),
    fc.constantFrom(": alive\n\n", "data: x\n\n", "event: error\ndata: x\n\n", "<p>\n\n"),
  );
  const run = fc.record({
    status: fc.constantFrom(200, 200, 200, 201, 204, 205, 206, 302, 500),
    type: fc.constantFrom(
      "text/event-stream",
      "text/event-stream; charset=utf-8",
      "text/html",
      undefined,
    ),
    events: fc.array(event, { maxLength: 5 }),
  });

  it("lets the caller see one type, rising ids, and no event without one where a run goes on", () => {
    fc.assert(
      fc.property(fc.array(run, { maxLength: 6 }), (runs) => {
        const form = new StreamForm();
        const types = new Set<string | undefined>();
        let lastId: string | undefined;
        let hasEvents = false;
        for (const { status, type, events } of runs) {
          const headers = type === undefined ? [] : ["Content-Type", type];
          const head = { verdict: Verdict.answered, status, headers, load: undefined };
          form.beginRun();
          if (!form.matches(head)) continue;
          assert.equal(status, 200);
          let isFirst = true;
          for (const next of new EventSplitter().push(Buffer.from(events.join("")))) {
            const isComment = next.bytes.toString().startsWith(":");
            if (!form.isNext(next, lastId)) break;
            if (types.size === 0) form.begin(head);
            types.add(type?.split(";")[0]);
            if (isComment) continue;
            if (isFirst && hasEvents) assert.ok(next.id !== undefined && lastId !== undefined);
            if (next.id !== undefined && lastId !== undefined)
              assert.ok(Number(next.id) > Number(lastId));
            lastId = next.id ?? lastId;
            isFirst = false;
            hasEvents = true;
          }
        }
        assert.ok(types.size <= 1 && !types.has("text/html"));
      }),
      { numRuns: 2000 },
    );
  });
});
