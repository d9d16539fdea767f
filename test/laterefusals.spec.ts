/**
 * Endpoints that write an earlier refusal once more. Guards against callers that are told "not run", and against
 * requests that run at a second endpoint, while the first one runs them; and against refusals within an answer.
 */
import assert from "node:assert/strict";
import { request as httpRequest } from "node:http";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { pause } from "../src/core/clock";
import { EngineStage } from "../src/fleet/entries";
import { addEndpoint, get, port, prepareEach, start } from "./harness/fixture";

prepareEach();

const KEPT = "keep-alive: timeout=5\r\n";
const DECODE = { service: "models", stage: EngineStage.decode };
const PREFILL = { service: "models", stage: EngineStage.prefill };
const TOKENS = { "x-tokens": "300" };

const readId = (head: string) => /x-id: (\S+)/i.exec(head)?.[1] ?? "";
const event = (id: number) => `id: ${id}\ndata: t${id}\n\n`;
const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const createRefusal = (id: string, more = "") =>
  `HTTP/1.1 503 Full\r\nx-not-run: 1\r\n${KEPT}${more}${id === "" ? "" : `x-id: ${id}\r\n`}content-length: 0\r\n\r\n`;
const openAnswer = (head: string, more = "") =>
  `HTTP/1.1 200 OK\r\nx-id: ${readId(head)}\r\n${KEPT}${more}`;
const createAnswer = (head: string, body: string) =>
  `${openAnswer(head)}content-length: ${body.length}\r\n\r\n${body}`;

/** Sends a request that the endpoint refuses, so that its connection is kept. */
async function refuseFirst(): Promise<void> {
  assert.equal((await get(port, "/once/full", { "x-id": "earlier" })).status, 503);
  await pause(10);
}

/** Adds two endpoints that both refuse the first request, and then answer; returns the requests that they ran. */
async function addRefusing(answer: (head: string, socket: Socket) => void): Promise<string[]> {
  const runs: string[] = [];
  for (const id of ["a", "b"]) {
    await addEndpoint(id, (head, socket) => {
      if (head.includes("/once/full")) return void socket.write(createRefusal("earlier"));
      runs.push(readId(head));
      answer(head, socket);
    });
  }
  return runs;
}

const earlier = createRefusal("earlier");
/** What a faulty endpoint may write before its answer to the next request. */
const LATE_BYTES = {
  "of an earlier request": earlier,
  "that names no request": createRefusal(""),
  "with two ids": createRefusal("earlier", "x-id: next\r\n"),
  twice: earlier + earlier,
  "after an interim response": `HTTP/1.1 103 Early Hints\r\nx-id: next\r\n\r\n${earlier}`,
  "cut short in its status line": "HTTP/1.1 503 Fu",
  "cut short in a header": "HTTP/1.1 503 Full\r\nx-not-run: 1\r\ndate: Sat, 05 D",
  "cut short behind its id": earlier.slice(0, -20),
};

describe("a late refusal before the answer to the next request", () => {
  for (const [name, bytes] of Object.entries(LATE_BYTES)) {
    it(`is not taken for it: ${name}`, async () => {
      const runs = await addRefusing((head, socket) => {
        socket.write(bytes + createAnswer(head, "sheet"));
      });
      await start();
      await refuseFirst();
      const response = await get(port, "/once/7", { "x-id": "next" });
      assert.deepEqual(
        [response.status, response.body.includes("sheet"), runs],
        [502, false, ["next"]],
      );
    });
  }

  it("is not taken for it while the body of that request is being sent", async () => {
    const endpoint = await addEndpoint("a", (_head, socket) => {
      socket.write(createRefusal("earlier"));
      socket.on("data", () => {
        socket.write(createRefusal("earlier"));
        socket.pause();
      });
    });
    await start();
    await refuseFirst();
    const status = await new Promise((resolve, reject) => {
      const headers = { "x-id": "next" };
      const options = { host: "127.0.0.1", port, path: "/once/7", method: "POST", headers };
      const request = httpRequest(options, (response) => {
        response.resume();
        resolve(response.statusCode);
      });
      request.on("error", reject);
      request.end(Buffer.alloc(900_000));
    });
    assert.deepEqual([status, endpoint.requests.length], [502, 1]);
  });
});

describe("a refusal that names no request", () => {
  for (const status of ["503 Full", "421 Other"]) {
    it(`does not say that the first request on a connection was not run: ${status}`, async () => {
      const refusal = `HTTP/1.1 ${status}\r\n${status.startsWith("503") ? "x-not-run: 1\r\n" : ""}content-length: 0\r\n\r\n`;
      let runs = 0;
      const endpoint = await addEndpoint("a", () => (runs += 1));
      endpoint.onAccept = (socket) => socket.write(refusal);
      await start();
      const response = await get(port, "/once/7");
      assert.deepEqual([response.status, runs], [502, 1]);
    });
  }
});

describe("a late refusal within an answer", () => {
  it("does not fill up a body", async () => {
    await addRefusing((head, socket) => {
      socket.write(createAnswer(head, `sheet ${createRefusal("earlier")}`));
    });
    await start();
    await refuseFirst();
    const response = await get(port, "/once/7");
    assert.deepEqual([response.status, response.body.includes("sheet")], [502, false]);
  });

  it("does not fill up a stream", async () => {
    const chunked = "transfer-encoding: chunked\r\n\r\n";
    await addEndpoint(
      "d",
      (head, socket) => {
        if (head.startsWith("POST /hold")) return void socket.write(createAnswer("", "h1"));
        if (head.startsWith("DELETE ")) return void socket.write(createAnswer("", ""));
        const rest = /x-after: 1/.test(head) ? chunk(event(2)) : chunk(event(1));
        const late = readId(head) === "next" && !head.includes("x-after") ? chunk(earlier) : "";
        socket.write(`${openAnswer(head, chunked)}${rest}${late}0\r\n\r\n`);
      },
      DECODE,
    );
    await start();
    assert.equal((await get(port, "/summary/1", { ...TOKENS, "x-id": "earlier" })).status, 200);
    await pause(10);
    const response = await get(port, "/summary/1", { ...TOKENS, "x-id": "next" });
    assert.deepEqual([response.status, response.body], [200, event(1) + event(2)]);
  });

  it("does not fill up the answer to a prefill", async () => {
    await addEndpoint(
      "p",
      (head, socket) => {
        const late = readId(head) === "next" ? earlier : "";
        socket.write(createAnswer(head, `kv-${readId(head)} ${late}`));
      },
      PREFILL,
    );
    const sources: string[] = [];
    await addEndpoint(
      "d",
      (head, socket) => {
        if (head.startsWith("POST /hold")) return void socket.write(createAnswer("", "h1"));
        if (head.startsWith("DELETE ")) return void socket.write(createAnswer("", ""));
        sources.push(/x-source: (.*)/.exec(head)?.[1]?.trim() ?? "none");
        socket.write(createAnswer(head, event(1)));
      },
      DECODE,
    );
    await start();
    for (const id of ["earlier", "next"]) {
      assert.equal((await get(port, "/draft/1", { ...TOKENS, "x-id": id })).status, 200);
      await pause(10);
    }
    assert.deepEqual(sources, ["kv-earlier", "none"]);
  });
});

describe("a late refusal with a pause", () => {
  it("does not hold back an endpoint that asks for none", async () => {
    const pauseMs = "x-pause-ms: 60\r\n";
    await addEndpoint("a", (head, socket) => {
      const id = readId(head);
      if (id === "earlier") return void socket.write(createRefusal(id, pauseMs));
      const late = id === "next" ? createRefusal("earlier", "x-pause-ms: 3000\r\n") : "";
      socket.write(late + createAnswer(head, "sheet"));
    });
    await start();
    await refuseFirst();
    await pause(100);
    assert.equal((await get(port, "/once/7", { "x-id": "next" })).status, 502);
    await pause(200);
    assert.equal((await get(port, "/once/7")).status, 200);
  });
});
