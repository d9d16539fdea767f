/**
 * Answers to callers, byte by byte: a process may die after any of them. Guards against a part of an answer that looks
 * complete, as the operating system ends the connection like that of a process that has finished.
 */
import assert from "node:assert/strict";
import { connect } from "node:net";
import { after, before, describe, it } from "node:test";
import * as E from "fp-ts/Either";
import fc from "fast-check";
import { MonotonicClock } from "../src/core/clock";
import { SILENT_LOGGER } from "../src/core/log";
import { CallerFraming, decideFraming } from "../src/forward/callers/framing";
import { type CallerHandler, ForwardServer } from "../src/forward/callers/server";
import { Meter } from "../src/forward/requests/meter";
import { testCodecs } from "./harness/forward";
import { allocatePort } from "./harness/ports";

const SEED = 20261207;
const METHODS = ["GET", "POST", "HEAD"] as const;
const STATUSES = [200, 201, 204, 206, 304, 404, 500] as const;
const VERSIONS = ["1.0", "1.1"] as const;
const HEAD_END = "\r\n\r\n";

/** An answer that is asked for. */
interface Play {
  readonly method: string;
  readonly status: number;
  readonly version: string;
  readonly isStream: boolean;
  /** Whether the endpoint's answer had a length or chunks. */
  readonly isFramed: boolean;
  readonly pieces: readonly string[];
}

let play: Play;
let server: ForwardServer;
let port: number;

const answer: CallerHandler = ({ sink }) => {
  const { status, isStream, isFramed, pieces } = play;
  if (!isStream) {
    const head = { status, headers: [], verdict: "answered", load: undefined } as const;
    const hasBody = status !== 204 && status !== 304 && play.method !== "HEAD";
    const body = Buffer.from(hasBody ? pieces.join("") : "");
    return Promise.resolve(E.right({ head, body, isFramed }));
  }
  sink.begin(status, [], isFramed);
  for (const piece of pieces) sink.write(Buffer.from(piece));
  sink.end();
  return Promise.resolve(undefined);
};

before(async () => {
  port = allocatePort();
  const clock = new MonotonicClock();
  const meter = new Meter();
  server = new ForwardServer(testCodecs.callerCodec, answer, clock, SILENT_LOGGER, meter);
  await server.listen("127.0.0.1", port);
});

after(() => {
  server.close();
});

/** Asks twice on one connection, the second time as the last one; resolves with all that came. */
function askTwice({ method, version }: Play): Promise<string> {
  const format = (id: string, more: string) =>
    `${method} /any/1 HTTP/${version}\r\nhost: test\r\nx-id: ${id}\r\ncontent-length: 0\r\n${more}\r\n`;
  return new Promise((resolve, reject) => {
    const socket = connect(port, "127.0.0.1");
    let text = "";
    socket.on("data", (bytes: Buffer) => (text += bytes.toString("latin1")));
    socket.on("error", reject);
    socket.on("close", () => {
      resolve(text);
    });
    const keep = version === "1.0" ? "connection: keep-alive\r\n" : "";
    socket.write(format("first", keep) + format("second", "connection: close\r\n"));
  });
}

/** Finds where the first answer of what came ends for a caller; undefined if it is not complete. */
function findEnd(text: string, { method, status, version }: Play): number | undefined {
  const headEnd = text.indexOf(HEAD_END);
  if (headEnd < 0) return undefined;
  const head = text.slice(0, headEnd);
  const from = headEnd + HEAD_END.length;
  if (method === "HEAD" || status === 204 || status === 304) return from;
  const hasChunks = version === "1.1" && /^transfer-encoding: *chunked$/im.test(head);
  if (hasChunks) {
    const last = /(?:^|\r\n)0\r\n\r\n/.exec(text.slice(from));
    return last === null ? undefined : from + last.index + last[0].length;
  }
  const length = /^content-length: *(\d+)$/im.exec(head)?.[1];
  // Nothing but the end of the connection tells.
  if (length === undefined) return text.length;
  const end = from + Number(length);
  return text.length < end ? undefined : end;
}

const plays: fc.Arbitrary<Play> = fc.record({
  method: fc.constantFrom(...METHODS),
  status: fc.constantFrom(...STATUSES),
  version: fc.constantFrom(...VERSIONS),
  isStream: fc.boolean(),
  isFramed: fc.boolean(),
  pieces: fc.array(fc.stringMatching(/^[a-z]{1,20}$/), { maxLength: 4 }),
});

describe("an answer to a caller", () => {
  it("never looks complete before its last byte, and keeps its connection for the next one", async () => {
    await fc.assert(
      fc.asyncProperty(plays, async (next) => {
        play = next;
        const text = await askTwice(next);
        const end = findEnd(text, next);
        assert.ok(end !== undefined, text);
        for (let cut = 0; cut < end; cut += 1) {
          assert.equal(findEnd(text.slice(0, cut), next), undefined, text.slice(0, cut));
        }
        const second = text.slice(end);
        assert.match(second, /^HTTP\/1\.1 \d+ /, text);
        assert.equal(findEnd(second, next), second.length, text);
      }),
      { numRuns: 400, seed: SEED },
    );
  });

  it("is delimited by its length, its chunks, or its head where nothing follows", () => {
    const facts = fc.record({
      method: fc.constantFrom(...METHODS, "PUT", "DELETE"),
      status: fc.integer({ min: 200, max: 599 }),
      isWhole: fc.boolean(),
      versionMajor: fc.integer({ min: 0, max: 2 }),
      versionMinor: fc.integer({ min: 0, max: 9 }),
    });
    fc.assert(
      fc.property(facts, (answered) => {
        const { method, status, isWhole, versionMajor, versionMinor } = answered;
        const framing = decideFraming(answered);
        const isEmpty = method === "HEAD" || status === 204 || status === 304;
        assert.equal(framing === CallerFraming.head, isEmpty);
        if (isEmpty) return;
        assert.equal(framing === CallerFraming.length, isWhole);
        if (framing !== CallerFraming.chunks) return;
        assert.ok(versionMajor === 1 && versionMinor >= 1);
      }),
      { numRuns: 2000, seed: SEED },
    );
  });
});
