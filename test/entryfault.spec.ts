/**
 * Requests of the own interface whose handling throws an unexpected error. Guards against one error that ends the
 * process with all other requests, and against a request that stays open without an answer.
 */
import assert from "node:assert/strict";
import { after, afterEach, beforeEach, describe, it } from "node:test";
import { createBlackboard } from "../src/board/board";
import { MonotonicClock } from "../src/core/clock";
import { Role } from "../src/core/config/objects";
import type { Progress } from "../src/entry/attempt";
import { GrantRequester } from "../src/entry/grantrequest";
import type { RunRequest } from "../src/entry/runner";
import type { RunnerParts } from "../src/entry/runnerparts";
import { sendSlowly, startCallerServer } from "./harness/callerservers";

const FAULT = "a fault of the handler";
const createRequest = (path: string) => `GET ${path} HTTP/1.1\r\nhost: test\r\n\r\n`;

const rejections: unknown[] = [];
const onRejection = (error: unknown) => void rejections.push(error);

beforeEach(() => {
  rejections.length = 0;
  process.on("unhandledRejection", onRejection);
});

afterEach(() => {
  process.off("unhandledRejection", onRejection);
});

after(() => {
  setTimeout(() => process.exit(), 500).unref();
});

describe("a request of the own interface whose handling throws", () => {
  it("is answered 502, and its connection serves the next one", async () => {
    let runs = 0;
    const server = await startCallerServer(1000, () => {
      runs += 1;
      if (runs === 1) throw new Error(FAULT);
      return Buffer.from("done");
    });
    const requests = [createRequest("/any/1"), createRequest("/any/2")];
    const { text } = await sendSlowly(server.port, requests, 200, 600);
    server.close();
    assert.match(text, /^HTTP\/1.1 502 [^]*"outcome":"unknown"[^]*HTTP\/1.1 200 [^]*done/);
    assert.deepEqual([rejections, server.errors.length], [[], 1]);
  });

  it("ends with its own error if no grant of engines can be requested", async () => {
    const board = createBlackboard();
    const state = board.config.read();
    const engine = { url: "http://d", models: ["m"], pool: "main", dataCentre: "nizwa" };
    const endpoints = { d: { ...engine, role: Role.decode } };
    board.config.write({ ...state, configuration: { ...state.configuration, endpoints } });
    const parts = {
      board,
      clock: new MonotonicClock(),
      ids: { next: () => "g1" },
      dataCentre: "nizwa",
      schedulerClient: { requestGrant: () => Promise.reject(new Error(FAULT)) },
    } as unknown as RunnerParts;
    const request = {
      caller: { workspace: "w" },
      priorityClass: { name: "c", firstTokenMs: 1000, patienceMs: 1000 },
      completion: { model: "m", blocks: [] },
    } as unknown as RunRequest;
    const progress: Progress = { texts: [], mayHaveRun: false, openPrefills: 0, promptTokens: 1 };
    const grants = new GrantRequester(parts, request, progress);
    const signal = AbortSignal.timeout(1000);
    await assert.rejects(grants.requestGrant({ excluded: [], crashes: [] }, signal), /a fault/);
    assert.deepEqual(rejections, []);
  });
});
