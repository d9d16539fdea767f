/**
 * The request path from callers to engines and back, in separate processes. Guards against incomplete responses,
 * repeated runs, and bad input that reaches an endpoint.
 */
import assert from "node:assert/strict";
import { connect } from "node:net";
import { after, before, describe, it } from "node:test";
import { callService, draft } from "./harness/callers";
import { type Fleet, startFleet } from "./harness/fleet";
import { KEYS, MODEL, SMALL_FLEET } from "./harness/plan";

describe("the request path", () => {
  let fleet: Fleet;
  before(async () => {
    const settings = { headersTimeoutMs: 1000, maxBodyBytes: 4096 };
    fleet = await startFleet({ ...SMALL_FLEET, settings });
  });
  after(() => fleet.close());

  it("returns complete completions at every instance, and releases all holds", async () => {
    const seen = await Promise.all(
      ["nizwa-1", "nizwa-2", "bahla-1"].flatMap((name) =>
        Array.from({ length: 5 }, (_, index) =>
          draft({
            url: fleet.url(name),
            key: KEYS.large,
            prompt: `survey ${name} ${index} `.repeat(50),
            maxTokens: 20,
          }),
        ),
      ),
    );
    assert.deepEqual(
      seen.map((item) => [item.status, item.isWhole]),
      seen.map(() => [200, true]),
    );
    assert.equal(
      await fleet.waitFor(async () => (await fleet.readHolds()).length === 0, 3000),
      true,
    );
  });

  it("runs a service call, and replays its response by idempotency key at another instance", async () => {
    const call = {
      path: "/sheets/issues",
      key: KEYS.small,
      body: { issue: "sarooj-1" },
      headers: { "idempotency-key": "k1" },
    };
    const first = await callService({ url: fleet.url("nizwa-1"), ...call });
    const again = await callService({ url: fleet.url("bahla-1"), ...call });
    assert.deepEqual(
      [first.status, first.replayed, again.status, again.replayed],
      [200, false, 200, true],
    );
    assert.equal(again.text, first.text);
    assert.equal(
      fleet.readHistory().filter((event) => event.kind === "run" && event.issue === "sarooj-1")
        .length,
      1,
    );
  });

  it("refuses bad input as not run, without sending anything to an endpoint", async () => {
    const url = fleet.url("nizwa-2");
    const before = fleet.readHistory().length;
    const post = (body: string, headers: Record<string, string>) =>
      fetch(`${url}/v1/completions`, {
        method: "POST",
        headers: { "content-type": "application/json", ...headers },
        body,
      });
    const validBody = JSON.stringify({ model: MODEL, prompt: "a", max_tokens: 2 });
    const key = { authorization: `Bearer ${KEYS.large}` };
    const answers = await Promise.all([
      post(validBody, {}),
      post(validBody, { authorization: "Bearer gf_nobody" }),
      post("{", key),
      post(JSON.stringify({ model: "none", prompt: "a" }), key),
      post(validBody, { ...key, "x-priority-class": "none" }),
      post(JSON.stringify({ model: MODEL, prompt: `a ${KEYS.large}` }), key),
      fetch(`${url}/nowhere`, { headers: key }),
    ]);
    assert.deepEqual(
      answers.map((answer) => answer.status),
      [401, 401, 400, 404, 400, 400, 404],
    );
    for (const answer of answers) {
      const { error } = (await answer.json()) as { error: { outcome: string } };
      assert.equal(error.outcome, "not run");
      assert.equal(answer.headers.get("x-gorsefold-outcome"), "not run");
    }
    assert.equal(fleet.readHistory().length, before);
  });

  it("refuses a body that is too large, and headers that arrive too slowly", async () => {
    const headers = { authorization: `Bearer ${KEYS.large}` };
    const url = `${fleet.url("nizwa-1")}/v1/completions`;
    const large = await fetch(url, { method: "POST", headers, body: "x".repeat(5000) });
    const { error } = (await large.json()) as { error: { type: string; outcome: string } };
    assert.deepEqual([large.status, error.type, error.outcome], [413, "body_too_large", "not run"]);
    const answer = await sendPartialHeaders(fleet.callerPorts.get("nizwa-1") ?? 0);
    assert.match(answer, /^HTTP\/1\.1 408 /);
    assert.match(answer, /"outcome":"not run"/);
  });

  it("does not refuse a call as not run that runs, because of bytes that follow it", async () => {
    const body = JSON.stringify({ issue: "followed", delayMs: 300 });
    const head = `POST /sheets/issues HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${KEYS.large}\r\n`;
    const call = `${head}content-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
    const port = fleet.callerPorts.get("nizwa-1") ?? 0;
    const answer = await sendRaw(port, `${call}no request\r\n\r\n`);
    assert.match(answer, /^HTTP\/1\.1 200 /);
    assert.equal(answer.match(/HTTP\/1\.1/g)?.length, 1);
  });
});

/** Sends the beginning of a request's headers and reads the response until the connection closes. */
function sendPartialHeaders(port: number): Promise<string> {
  return sendRaw(port, "POST /v1/completions HTTP/1.1\r\nhost: a\r\nx-slow: ");
}

/** Sends text and reads what comes back until the connection closes. */
function sendRaw(port: number, text: string): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(port, "127.0.0.1", () => {
      socket.write(text);
    });
    let received = "";
    socket.on("data", (chunk: Buffer) => (received += String(chunk)));
    socket.on("close", () => {
      resolve(received);
    });
  });
}
