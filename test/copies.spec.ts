/**
 * Clients of engines, services, the log and the list against servers that write each answer twice, the second time
 * where the next answer on that connection is due. Guards against a copy that is taken for the answer to another call.
 */
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import * as E from "fp-ts/Either";
import { HttpEngineClient } from "../src/endpoint/engine";
import { EngineFault, type EngineError } from "../src/endpoint/fault";
import { HttpServiceClient } from "../src/endpoint/service";
import { HttpInstanceList } from "../src/store/list";
import { HttpLogClient, StreamName } from "../src/store/log";
import { CopyingEndpoint, formatAnswer, waitUntilReturned } from "./harness/copies";
import { waitUntil } from "./harness/forward";

const NEVER = new AbortController().signal;
/** Faults of the statuses with which an engine refuses. */
const FAULT_OF_STATUS = { 404: EngineFault.lost, 409: EngineFault.full, 503: EngineFault.draining };

type RefusalStatus = keyof typeof FAULT_OF_STATUS;

let server: CopyingEndpoint;
let url = "";
let answers: ((head: string) => Buffer)[] = [];
let engines: HttpEngineClient;

/** Sets the answers to the calls of a test, in order. */
function setAnswers(...next: (Buffer | ((head: string) => Buffer))[]): void {
  answers = next.map((answer) => (typeof answer === "function" ? answer : () => answer));
}

function formatJson(value: unknown, status = 200): Buffer {
  return formatAnswer(JSON.stringify(value), status);
}

/** Runs two calls one after the other, each on its own or on the connection of the other. */
async function callTwice<A>(call: (turn: number) => Promise<A>): Promise<readonly [A, A]> {
  const first = await call(0);
  await waitUntilReturned();
  return [first, await call(1)];
}

function describeResult(result: E.Either<EngineError, unknown>): string {
  return E.isRight(result) ? "done" : result.left.fault;
}

beforeEach(async () => {
  engines = new HttpEngineClient();
  server = new CopyingEndpoint((head) => answers.shift()?.(head) ?? formatAnswer("", 500));
  url = `http://${await server.listen()}`;
});

afterEach(async () => {
  await engines.close();
  server.close();
});

describe("an engine that repeats its answers", () => {
  const readAttempt = (head: string) => /x-attempt-id: (\S+)/i.exec(head)?.[1] ?? "";
  const answerPrefill = (head: string) => {
    const attempt = readAttempt(head);
    return formatJson({ attempt, exportId: attempt, promptTokens: 1, cachedTokens: 0 });
  };
  const answerStream = (head: string) => {
    const attempt = readAttempt(head);
    const body = `data: 0 "${attempt}"\n\nevent: end\ndata: done\n\n`;
    return formatAnswer(body, 200, { "x-attempt-id": attempt });
  };
  const prefill = (turn: number) => {
    const attempt = `attempt-${turn}`;
    const request = { attempt, model: "m", prompt: "p", continued: "", blocks: [], priority: 0 };
    return engines.prefill(url, { ...request, timeoutMs: 1000, signal: NEVER })();
  };
  const decode = (turn: number) => {
    const request = { attempt: `attempt-${turn}`, hold: "h", model: "m" };
    return new Promise<string>((resolve) => {
      let text = "";
      engines.decode(
        url,
        { ...request, from: 0, maxTokens: 1, priority: 0 },
        {
          onToken: (_index, token) => (text += token),
          onEnd: (error) => {
            resolve(error === undefined ? text : error.fault);
          },
        },
      );
    });
  };
  const reserve = () => engines.reserve(url, { hold: "h", owner: "o", ttlMs: 1000 })();

  it("does not give an older report for the current one", async () => {
    const report = { name: "e", incarnation: "i", role: "decode", models: [], slots: 1, holds: [] };
    const more = { draining: false, fence: 0, evicted: [] };
    setAnswers(...[1, 2].map((queuedTokens) => formatJson({ ...report, ...more, queuedTokens })));
    const reports = await callTwice(() => engines.fetchReport(url)());
    assert.deepEqual(
      reports.map((result) => E.isRight(result) && result.right.queuedTokens),
      [1, 2],
    );
  });

  it("does not count a slot as reserved that was refused", async () => {
    setAnswers(formatJson({}), formatJson({}, 409));
    assert.deepEqual((await callTwice(reserve)).map(describeResult), ["done", "full"]);
  });

  it("does not count a slot as refused that was reserved", async () => {
    setAnswers(formatJson({}, 409), formatJson({}));
    assert.deepEqual((await callTwice(reserve)).map(describeResult), ["full", "done"]);
  });

  it("does not count holds as released whose release failed", async () => {
    setAnswers(formatJson({}), formatJson({}, 500));
    const results = await callTwice(() => engines.releaseHolds(url, ["h"])());
    assert.deepEqual(results.map(describeResult), ["done", "refused"]);
  });

  it("does not count an order as accepted that was refused", async () => {
    setAnswers(formatJson({}), formatJson({}, 400));
    const order = { fence: 1, role: "decode", models: [] };
    const results = await callTwice(() => engines.sendOrder(url, order)());
    assert.deepEqual(results.map(describeResult), ["done", "refused"]);
  });

  it("does not fail a prefill that ran with another's refusal, or the reverse", async () => {
    for (const status of [409, 503] satisfies RefusalStatus[]) {
      setAnswers(formatJson({}, status), answerPrefill);
      const [refused, done] = await callTwice(prefill);
      assert.equal(describeResult(refused), FAULT_OF_STATUS[status]);
      assert.equal(E.isRight(done) && done.right.exportId, "attempt-1");
      setAnswers(answerPrefill, formatJson({}, status));
      const results = (await callTwice(prefill)).map(describeResult);
      assert.deepEqual(results, ["done", FAULT_OF_STATUS[status]]);
    }
  });

  it("does not end a stream because of the one before", async () => {
    setAnswers(answerStream, answerStream);
    assert.deepEqual(await callTwice(decode), ["attempt-0", "attempt-1"]);
  });

  it("does not end a stream with the refusal of another call", async () => {
    setAnswers(formatJson({}, 409), answerStream);
    const [refused, text] = await callTwice<unknown>((turn) =>
      turn === 0 ? reserve().then(describeResult) : decode(turn),
    );
    assert.deepEqual([refused, text], [EngineFault.full, "attempt-1"]);
    setAnswers(formatJson({}, 404), answerStream);
    assert.deepEqual(await callTwice(decode), [EngineFault.lost, "attempt-1"]);
  });

  it("does not pass on an answer or a refusal that names another attempt", async () => {
    const headers = { "x-attempt-id": "another" };
    const prefilled = { attempt: "another", exportId: "x", promptTokens: 1, cachedTokens: 0 };
    const foreign = [200, 409].map((status) =>
      formatAnswer(JSON.stringify(prefilled), status, headers),
    );
    setAnswers(...foreign, ...foreign);
    const prefills = (await callTwice(prefill)).map(describeResult);
    assert.deepEqual(prefills, [EngineFault.mismatch, EngineFault.mismatch]);
    assert.deepEqual(await callTwice(decode), [EngineFault.mismatch, EngineFault.mismatch]);
    await waitUntil(() => server.sockets.size === 0);
  });

  it("leaves no connection open after calls of all kinds", async () => {
    setAnswers(formatJson({}), answerPrefill, answerStream, formatJson({}), formatJson({}, 404));
    await reserve();
    await prefill(0);
    await decode(0);
    await engines.releaseHolds(url, ["h"])();
    await decode(1);
    await waitUntil(() => server.sockets.size === 0);
    assert.equal(server.copyCount, 0);
  });
});

describe("a service that repeats its answers", () => {
  it("does not answer a call with the response to another", async () => {
    const answer = (head: string) => {
      const attempt = /x-attempt-id: (\S+)/i.exec(head)?.[1] ?? "";
      return formatAnswer(attempt, 200, { "x-attempt-id": attempt });
    };
    setAnswers(answer, answer);
    const services = new HttpServiceClient();
    const responses = await callTwice((turn) => {
      const call = { method: "GET", path: "/", headers: {}, body: Buffer.alloc(0) };
      const attempt = `attempt-${turn}`;
      return services.call(url, { ...call, attempt, timeoutMs: 1000, signal: NEVER })();
    });
    const bodies = responses.map((result) => E.isRight(result) && result.right.body.toString());
    assert.deepEqual(bodies, ["attempt-0", "attempt-1"]);
    assert.equal(server.copyCount, 0);
  });
});

describe("a log that repeats its answers", () => {
  let log: HttpLogClient;

  beforeEach(() => {
    log = new HttpLogClient(url);
  });

  afterEach(async () => {
    await log.close();
  });

  it("does not count an append as done that was refused", async () => {
    setAnswers(formatJson({}), formatJson({}, 503));
    const results = await callTwice(() => log.append(StreamName.claims, [{ id: "a" }])());
    assert.deepEqual(results.map(E.isRight), [true, false]);
  });

  it("does not repeat a page of records in place of the next", async () => {
    const formatPage = (offset: number) =>
      formatJson({ records: [{ offset, record: {} }], next: offset + 1, earliest: 0, end: 2 });
    setAnswers(formatPage(0), formatPage(1));
    const pages = await callTwice((turn) => log.read(StreamName.control, turn, 0)());
    assert.deepEqual(
      pages.map((page) => E.isRight(page) && page.right.records[0]?.offset),
      [0, 1],
    );
  });
});

describe("a list that repeats its answers", () => {
  it("does not give an older list for the current one", async () => {
    const entry = { kind: "endpoint", dataCentre: "nizwa", address: "", state: "live" };
    setAnswers(...["a", "b"].map((name) => formatJson({ entries: [{ ...entry, name }] })));
    const list = new HttpInstanceList(url);
    const reads = await callTwice(() => list.read()());
    await list.close();
    assert.deepEqual(
      reads.map((read) => E.isRight(read) && read.right[0]?.name),
      ["a", "b"],
    );
  });
});
