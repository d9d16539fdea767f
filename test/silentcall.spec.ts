/**
 * Repeatable calls to a plain service that stands still for a while and goes on. Guards against a call that fails though
 * its service would have answered, and against one that waits though another endpoint is at hand.
 */
import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { after, describe, it } from "node:test";
import * as E from "fp-ts/Either";
import { MonotonicClock } from "../src/core/clock";
import { Role } from "../src/core/config/objects";
import { HttpServiceClient } from "../src/endpoint/service";
import {
  type RoutedServiceRequest,
  ServiceRouter,
  type ServiceRouterParts,
} from "../src/entry/service";

const ignore = () => undefined;
/** Time for the whole call, in milliseconds. */
const TIMEOUT_MS = 8000;

after(() => {
  setTimeout(() => process.exit(), 500).unref();
});

/** Starts a service that answers with its name after `delayMs` milliseconds. */
async function startService(name: string, delayMs: number) {
  const server = createServer((request, response) => {
    setTimeout(() => {
      response.setHeader("x-attempt-id", request.headers["x-attempt-id"] ?? "");
      response.end(name);
    }, delayMs);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const close = () => {
    server.closeAllConnections();
    server.close();
  };
  return { url: `http://127.0.0.1:${port}`, close };
}

/** Makes calls at once, which go to the first endpoint, and returns the answers. */
async function callService(delays: readonly number[], retries: number, calls = 1) {
  const services = await Promise.all(delays.map((ms, index) => startService(`s${index}`, ms)));
  const clock = new MonotonicClock();
  const entries = services.map(({ url }, index) => [
    `s${index}`,
    { url, role: Role.service, service: "sheets", dataCentre: index === 0 ? "nizwa" : "bahla" },
  ]);
  const endpoints = Object.fromEntries(entries) as Record<string, object>;
  const configuration = {
    endpoints,
    selectors: {},
    workspaces: {},
    keys: {},
    models: {},
    dataCentres: {},
  };
  let usedRetries = 0;
  const parts = {
    board: {
      config: { read: () => ({ configuration }) },
      poison: { findBan: ignore, isSuspect: () => false, clear: ignore },
      unreachable: new Map(),
      leaving: new Map(),
      platformList: { read: () => [] },
      endpoints: new Map(),
    },
    clock,
    ids: { next: () => `a${usedRetries}` },
    dataCentre: "nizwa",
    claimer: {},
    services: new HttpServiceClient(),
    retries: {
      canConsume: () => usedRetries < retries,
      tryConsume: () => {
        if (usedRetries >= retries) return false;
        usedRetries += 1;
        return true;
      },
    },
    logger: { info: ignore, warn: ignore, debug: ignore, error: ignore },
    metrics: { count: ignore, timing: ignore },
  } as unknown as ServiceRouterParts;
  const startedAt = clock.now();
  const request = {
    id: "r1",
    caller: { keyHash: undefined, workspace: "w" },
    routeName: "sheets",
    route: { path: "/sheets", kind: "service", service: "sheets" },
    method: "GET",
    path: "/sheets/1",
    headers: {},
    body: Buffer.alloc(0),
    deadline: startedAt + TIMEOUT_MS,
    signal: new AbortController().signal,
  } as unknown as RoutedServiceRequest;
  const router = new ServiceRouter(parts);
  const answers = await Promise.all(Array.from({ length: calls }, () => router.run(request)));
  for (const service of services) service.close();
  const texts = answers.map((answer) =>
    E.isRight(answer) ? answer.right.body.toString() : answer.left.message,
  );
  return { text: texts[0], texts, tookMs: clock.now() - startedAt, usedRetries };
}

describe("a repeatable call whose service stands still", { concurrency: 3 }, () => {
  it("does not fail if it is the only endpoint and answers after 3.5 s", async () => {
    const { text } = await callService([3500], 5);
    assert.equal(text, "s0");
  });

  it("does not fail if no retry is left and it answers after 3.5 s", async () => {
    const { text } = await callService([3500, 0], 0);
    assert.equal(text, "s0");
  });

  it("is answered by another endpoint if a retry is left", async () => {
    const { text, tookMs, usedRetries } = await callService([7000, 0], 5);
    assert.deepEqual([text, usedRetries], ["s1", 1]);
    assert.ok(tookMs < 3500, `${tookMs} ms`);
  });

  it("ends at its deadline if no endpoint answers", async () => {
    const { text, tookMs } = await callService([60_000], 5);
    assert.equal(text, "no endpoint answered");
    assert.ok(tookMs >= TIMEOUT_MS - 5 && tookMs < TIMEOUT_MS + 1500, `${tookMs} ms`);
  });

  it("does not fail if other calls that are silent as well use the last retry", async () => {
    const { texts } = await callService([3500, 0], 1, 3);
    assert.deepEqual(texts.toSorted(), ["s0", "s0", "s1"]);
  });
});
