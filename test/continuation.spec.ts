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
  runSound,
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
  "events that leave one out": {
    status: "200 OK",
    type: STREAM,
    body: [4, 5].map(createEvent).join(""),
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
        const isPart = /^(id: \d+\ndata: t\d+\n\n)*$/.test(body) && isWithoutGap(body);
        assert.deepEqual(
          [status, isPart, isComplete && body !== WHOLE_BODY],
          [200, true, false],
          body,
        );
      });
    }
});

function isWithoutGap(body: string): boolean {
  const ids = [...body.matchAll(/id: (\d+)/g)].map(([, id]) => Number(id));
  return ids.every((id, index) => id === index + 1);
}

describe("a stream that broke after two events, where a third run is allowed", () => {
  it("is whole if only the second run leaves an event out", async () => {
    let runs = 0;
    const engine: Answer = (head, socket, count) => {
      runs += 1;
      const leavesOut = { status: "200 OK", type: STREAM, body: [4].map(createEvent).join("") };
      if (runs === 1) breakAfterTwo(head, socket, count);
      else if (runs === 2) writeForm(socket, head, leavesOut, Framing.chunks);
      else runSound(head, socket, count);
    };
    const engines = [{ run: engine }, { run: engine }, { run: engine }];
    const { response } = await runHandover({ engines, route: { maxAttempts: 3 } });
    assert.deepEqual([response.body, response.isComplete, runs], [WHOLE_BODY, true, 3]);
  });
});

describe("a stream that broke between its last event and the end of its framing", () => {
  const breakAtEnd: Answer = (head, socket) => {
    writeStreamHead(head, socket);
    socket.write([1, 2, 3, 4].map((id) => encodeChunk(createEvent(id))).join(""));
    setTimeout(() => {
      socket.resetAndDestroy();
    }, 30);
  };

  for (const framing of [Framing.length, Framing.chunks]) {
    it(`is whole once an engine answers that nothing follows, framed by ${framing}`, async () => {
      const nothing = { status: "200 OK", type: STREAM, body: "" };
      const engine: Answer = (head, socket, count) => {
        if (/x-after: /i.test(head)) writeForm(socket, head, nothing, framing);
        else breakAtEnd(head, socket, count);
      };
      const { response } = await runHandover({ engines: [{ run: engine }, { run: engine }] });
      assert.deepEqual([response.body, response.isComplete], [WHOLE_BODY, true]);
    });
  }
});

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

describe("where a run goes on with a stream", () => {
  /** Ids that one engine writes: the first, and the steps between them. */
  const ids = fc
    .tuple(
      fc.integer({ min: 1, max: 4 }),
      fc.array(fc.integer({ min: 1, max: 3 }), { maxLength: 4 }),
    )
    .map(([first, steps]) =>
      steps.reduce<readonly number[]>((all, step) => [...all, (all.at(-1) ?? 0) + step], [first]),
    );
  const toEvent = (id: number) => new EventSplitter().push(Buffer.from(createEvent(id)))[0];

  /** Plays runs of which each begins at an offset from the last id; returns the ids that are let through, run by run. */
  function playRuns(form: StreamForm, runs: readonly (readonly number[])[], lastId?: number) {
    let last = lastId;
    return runs.map((run) => {
      form.beginRun();
      const passed: number[] = [];
      const start = last ?? 0;
      for (const id of run.map((each) => start + each)) {
        if (!form.isNext(toEvent(id) ?? assert.fail(), last?.toString())) break;
        passed.push(id);
        last = id;
      }
      return passed;
    });
  }

  it("leaves no id out if the ids before it, two at least, rose by ones", () => {
    fc.assert(
      fc.property(fc.array(ids, { maxLength: 5 }), (runs) => {
        let before: readonly number[] = [];
        for (const passed of playRuns(new StreamForm(), runs)) {
          const roseByOnes = before.every((id, at) => at === 0 || id === (before[at - 1] ?? 0) + 1);
          const [first] = passed;
          if (first !== undefined && before.length >= 2 && roseByOnes)
            assert.equal(first, (before.at(-1) ?? 0) + 1);
          before = [...before, ...passed];
        }
      }),
      { numRuns: 3000 },
    );
  });

  it("refuses no run of engines whose ids rise by ones, wherever the runs before it ended", () => {
    const counts = fc.array(fc.integer({ min: 1, max: 4 }), { maxLength: 6 });
    fc.assert(
      fc.property(counts, fc.option(fc.nat(9), { nil: undefined }), (lengths, takenUpAt) => {
        const runs = lengths.map((length) => Array.from({ length }, (_, at) => at + 1));
        const passed = playRuns(new StreamForm(), runs, takenUpAt);
        assert.deepEqual(
          passed.map(({ length }) => length),
          lengths,
        );
      }),
    );
  });

  it("refuses no run for a gap where the ids before it had gaps", () => {
    fc.assert(
      fc.property(ids, ids, (first, second) => {
        const hasGap = first.some((id, at) => at > 0 && id !== (first[at - 1] ?? 0) + 1);
        fc.pre(hasGap);
        const [, passed] = playRuns(new StreamForm(), [first, second]);
        assert.equal(passed?.length, second.length);
      }),
    );
  });

  it("may leave ids out where nothing but a caller's last id is known: it says nothing of the steps", () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 9 }), ids, (takenUpAt, run) => {
        const [passed] = playRuns(new StreamForm(), [run], takenUpAt);
        assert.equal(passed?.length, run.length);
      }),
    );
  });
});
