/**
 * Runs a completion of the product's own interface at one decode engine, without a fleet.
 */
import * as E from "fp-ts/Either";
import type { Clock, Moment } from "../../src/core/clock";
import { Role } from "../../src/core/config/objects";
import { HttpEngineClient } from "../../src/endpoint/engine";
import { CompletionRun, type RunRequest } from "../../src/entry/runner";
import type { RunnerParts } from "../../src/entry/runnerparts";

const ignore = () => undefined;

/**
 * Creates a completion of one token. Its slot and its prefill are answered at once; the decode is sent to the engine.
 * Its attempt is called "a1".
 *
 * @returns a function that runs it, and returns how it ended and the text that the caller got
 */
export function createEntryRun(url: string, clock: Clock, timeoutMs: number) {
  const arrivedAt = clock.now();
  const engines = new HttpEngineClient();
  const request = createEntryRequest(arrivedAt, timeoutMs);
  return async (): Promise<string> => {
    let text = "";
    let end = "";
    await new CompletionRun(createEntryParts(url, clock, engines), request, {
      write: (token) => {
        text += token;
        return true;
      },
      finish: () => (end = "finished"),
      fail: ({ status }) => (end = `failed ${status}`),
      close: ignore,
    }).run();
    await engines.close();
    return `${end} ${text}`;
  };
}

/** Creates the request of such a run. */
export function createEntryRequest(arrivedAt: Moment, timeoutMs: number): RunRequest {
  const completion = { model: "m", prompt: "p", promptTokens: 1, maxTokens: 1, blocks: [] };
  return {
    id: "r1",
    caller: { keyHash: undefined, workspace: "w" },
    priorityClass: { name: "c", weight: 1, firstTokenMs: 1000, patienceMs: 1000 },
    route: "main",
    completion: { ...completion, fingerprint: "f" },
    charge: Promise.resolve(E.right({ tokens: 10 })),
    isChargeLikely: false,
    arrivedAt,
    deadline: arrivedAt + timeoutMs,
  } as unknown as RunRequest;
}

/** Creates the dependencies of such a run. */
export function createEntryParts(
  url: string,
  clock: Clock,
  engines: HttpEngineClient,
): RunnerParts {
  const endpoint = { url, models: ["m"], pool: "main", dataCentre: "nizwa" };
  const endpoints = {
    d: { ...endpoint, role: Role.decode },
    p: { ...endpoint, role: Role.prefill },
  };
  const configuration = { endpoints, models: {}, keys: {}, workspaces: {} };
  const processes = { prefillProcess: "p@i1", decodeProcess: "d@i1" };
  const grant = { id: "a1", prefill: "p", decode: "d", ...processes, lateReserve: false };
  const prefilled = { attempt: "a1", exportId: "x", promptTokens: 1, cachedTokens: 0 };
  return {
    board: {
      config: { subscribe: () => ignore, read: () => ({ configuration }) },
      poison: { findBan: ignore },
    },
    clock,
    ids: { next: () => "a1" },
    dataCentre: "nizwa",
    schedulerClient: {
      requestGrant: () => Promise.resolve(E.right(grant)),
      reportProgress: ignore,
      cancel: ignore,
    },
    rateLimits: { refund: ignore },
    holdTracker: { track: ignore, markReleased: ignore, release: ignore },
    engines: {
      reserve: () => () => Promise.resolve(E.right(undefined)),
      prefill: () => () => Promise.resolve(E.right(prefilled)),
      decode: engines.decode.bind(engines),
      fetchReport: engines.fetchReport.bind(engines),
    },
    retries: { tryConsume: () => false, canConsume: () => false },
    logger: { info: ignore, warn: ignore, debug: ignore, error: ignore },
    metrics: { count: ignore, timing: ignore },
  } as unknown as RunnerParts;
}
