/**
 * Runs a forwarding instance in this process, with test codecs that use short header names in place of the platform's.
 */
import type { IncomingMessage } from "node:http";
import * as E from "fp-ts/Either";
import { pause } from "../../src/core/clock";
import { DecodeError } from "../../src/core/codec";
import { createNotRunRefusal, Reason, type Refusal } from "../../src/core/outcome";
import type { FleetConfig } from "../../src/fleet/config";
import { CostUnit, RetryMode } from "../../src/fleet/config";
import type { EndpointEntry } from "../../src/fleet/entries";
import {
  type ResponseHead,
  type CallerCodec,
  type EndpointCodec,
  type EndpointLoad,
  type EndpointNotice,
  OrderResult,
  type EndpointCall,
  type RequestHead,
  type EndpointRequest,
  SendTask,
  Verdict,
} from "../../src/forward/requests/messages";
import { ForwardInstance } from "../../src/forward/instance";
import { MemoryStore } from "./memory";
import { allocatePort } from "./ports";
import type { ForwardSettings } from "../../src/forward/settings";

class TestCallerCodec implements CallerCodec {
  readHead(request: IncomingMessage): E.Either<Refusal, RequestHead> {
    const { headers, method = "", url = "" } = request;
    const id = readHeaderValue(headers["x-id"]);
    if (id === undefined) return E.left(createNotRunRefusal(400, Reason.badRequest, "no id"));
    const tokens = Number(readHeaderValue(headers["x-tokens"]) ?? "0");
    return E.right({
      id,
      method,
      host: "test",
      target: url,
      path: url.split("?", 1)[0] ?? url,
      key: readHeaderValue(headers["x-key"]),
      callerTimeoutMs: Number(readHeaderValue(headers["x-patience"]) ?? "5000"),
      size: { promptTokens: tokens, maxOutputTokens: 40, expectedOutputTokens: 20 },
      lastEventId: readHeaderValue(headers["x-after"]),
      resumedId: readHeaderValue(headers["x-of"]),
      promptParts: (readHeaderValue(headers["x-parts"]) ?? "").split(",").slice(0, -1),
      headers: ["x-id", id],
    });
  }

  listRefusalHeaders(id: string | undefined, refusal: Refusal): readonly string[] {
    return ["x-id", id ?? "", "x-retry-ms", String(refusal.retryAfterMs ?? "")];
  }
}

/** Reads the header `x-load` of an endpoint: requests that run and wait, slots, and its slowness if it tells it. */
function readLoad(text: string): EndpointLoad | undefined {
  const value = /x-load\n([\d.,]+)/.exec(text)?.[1];
  if (value === undefined) return undefined;
  const [running = 0, waiting = 0, slots = 0, slowness] = value.split(",").map(Number);
  return { running, waiting, slots, ...(slowness === undefined ? {} : { slowness }) };
}

/** Codec of endpoints that tell nothing of their process; a test has them do so by a codec of its own. */
export class TestEndpointCodec implements EndpointCodec {
  listHeaders(send: EndpointRequest): string[] {
    const headers = ["x-id", send.request.head.id, "x-expect", send.endpoint.id];
    headers.push("x-task", send.task, "x-left", String(send.leftMs));
    if (send.cacheSource !== undefined) headers.push("x-source", send.cacheSource.handle);
    if (send.hold !== undefined) headers.push("x-hold", send.hold);
    if (send.lastEventId !== undefined) headers.push("x-after", send.lastEventId);
    return headers;
  }

  readAnsweredId(headers: readonly string[]): string | undefined {
    const ids = headers.filter(
      (_, at) => at % 2 === 1 && headers[at - 1]?.toLowerCase() === "x-id",
    );
    return new Set(ids).size > 1 ? " several" : ids[0];
  }

  readResponseHead(
    send: EndpointRequest,
    status: number,
    headers: readonly string[],
  ): ResponseHead {
    const text = headers.join("\n").toLowerCase();
    const hasRequestId = text.includes(`x-id\n${send.request.head.id.toLowerCase()}`);
    const verdict = text.includes("x-not-run")
      ? Verdict.notRun
      : status === 421
        ? Verdict.misdirected
        : hasRequestId || send.task === SendTask.prefill
          ? Verdict.answered
          : Verdict.unauthentic;
    const load = readLoad(text);
    const type = /content-type\n(.*)/.exec(text)?.[1];
    const returned = ["x-id", send.request.head.id, ...(type ? ["content-type", type] : [])];
    return { status, headers: returned, verdict, load };
  }

  readNotice(status: number, headers: readonly string[]): EndpointNotice {
    const text = headers.join("\n").toLowerCase();
    const pauseMs = /x-pause-ms\n(\d+)/.exec(text)?.[1];
    const cold = /x-cold\n(\d+)/.exec(text)?.[1];
    const limit = /x-limit\n([\d.]+)/.exec(text)?.[1];
    return {
      pauseMs: status === 503 && pauseMs !== undefined ? Number(pauseMs) : undefined,
      isLeaving: text.includes("x-leaving\n1"),
      limitPerSecond: limit === undefined ? undefined : Number(limit),
      unreadableLimit: undefined,
      ...(cold === undefined ? {} : { coldMs: Number(cold) }),
      load: readLoad(text),
    };
  }

  readPrefilledPrompt(body: Buffer) {
    return { handle: body.toString(), promptTokens: 0 };
  }

  createReserveHoldCall(endpoint: EndpointEntry, tokens: number): EndpointCall {
    const headers = ["x-expect", endpoint.id];
    return { method: "POST", path: "/hold", headers, body: Buffer.from(String(tokens)) };
  }

  isMisdirected(status: number): boolean {
    return status === 421;
  }

  readHold(status: number, body: Buffer): string | undefined {
    return status === 200 ? body.toString() : undefined;
  }

  createReleaseHoldCall(endpoint: EndpointEntry, hold: string): EndpointCall {
    const headers = ["x-expect", endpoint.id];
    return { method: "DELETE", path: `/hold/${hold}`, headers, body: undefined };
  }

  createReleaseHandleCall(endpoint: EndpointEntry, handle: string): EndpointCall {
    const headers = ["x-expect", endpoint.id];
    return { method: "DELETE", path: `/handle/${handle}`, headers, body: undefined };
  }

  createReportCall: EndpointCodec["createReportCall"] = () => undefined;

  readProcessStart: EndpointCodec["readProcessStart"] = () => undefined;

  createStageCall(endpoint: EndpointEntry, order: { stage: string; fence: number }): EndpointCall {
    const body = Buffer.from(JSON.stringify(order));
    return { method: "POST", path: "/stage", headers: ["x-expect", endpoint.id], body };
  }

  readOrderResult(status: number): OrderResult {
    return status === 202 ? OrderResult.accepted : OrderResult.refused;
  }
}

/** Codecs for tests: short headers on requests, JSON in the store. */
export const testCodecs = {
  callerCodec: new TestCallerCodec(),
  endpointCodec: new TestEndpointCodec(),
  decodeConfig: (value: Buffer): E.Either<DecodeError, FleetConfig> =>
    E.tryCatch(
      () => JSON.parse(value.toString()) as FleetConfig,
      (error) => new DecodeError("config", [String(error)]),
    ),
  decodeEndpoint: (_id: string, value: Buffer): EndpointEntry | undefined => {
    try {
      return JSON.parse(value.toString()) as EndpointEntry;
    } catch {
      return undefined;
    }
  },
};

/** Creates the settings of an instance on ports of its own. */
export function createSettings(name: string): ForwardSettings {
  const at = () => ({ host: "127.0.0.1", port: allocatePort() });
  return {
    instance: name,
    dataCentre: "nizwa",
    regions: {},
    callers: at(),
    ready: at(),
    peers: at(),
    metrics: undefined,
    knownPeers: [],
    logLevel: "error",
    quotaTolerance: { ratio: 0, slack: 9500, windowMs: 8000 },
    retryLimit: { ratio: 0.2, slack: 50, windowMs: 10_000 },
    coldTolerance: { ratio: 1.5, slack: 5 },
    drainMs: 300,
    configApplyMs: 300,
    evacuationMs: 300,
    graceMs: 8000,
    orderLeaseMs: 3000,
  };
}

/** Starts an instance in this process and returns it with its settings. */
export async function startInstance(
  store: MemoryStore,
  name: string,
  overrides: Partial<ForwardSettings> = {},
): Promise<{ instance: ForwardInstance; settings: ForwardSettings }> {
  const settings = { ...createSettings(name), ...overrides };
  const instance = new ForwardInstance(settings, { store, ...testCodecs });
  await instance.start();
  return { instance, settings };
}

/** Polls a condition until it holds; throws after `ms` milliseconds. */
export async function waitUntil(check: () => boolean | Promise<boolean>, ms = 4000) {
  const end = performance.now() + ms;
  while (!(await check())) {
    if (performance.now() > end) throw new Error("the condition did not hold in time");
    await pause(10);
  }
}

/** Creates an entry of the endpoint list. */
export function createEntry(
  id: string,
  address: string,
  more: Partial<EndpointEntry> = {},
): EndpointEntry {
  return {
    id,
    service: "sheets",
    address,
    dataCentre: "nizwa",
    slots: 6,
    isLeaving: false,
    stage: undefined,
    version: "v1",
    processStartedAt: 1,
    sequence: 1,
    ...more,
  };
}

/** Creates a configuration with one route of each kind. */
export function createConfig(version: number, more: Partial<FleetConfig> = {}): FleetConfig {
  const route = {
    host: "test",
    retryMode: RetryMode.once,
    isStream: false,
    isPublic: true,
    timeoutMs: 3000,
    targetLatencyMs: 500,
    priority: 1,
    maxAttempts: 1,
  };
  const sheets = [{ service: "sheets", weight: 1 }];
  const models = [{ service: "models", weight: 1 }];
  const stream = { isStream: true, targetLatencyMs: 1000, timeoutMs: 6000 };
  const resumeOptions = { retryMode: RetryMode.resume, maxAttempts: 2 };
  return {
    version,
    routes: [
      { ...route, name: "once", pathPrefix: "/once/", services: sheets, maxAttempts: 2 },
      {
        ...route,
        name: "any",
        pathPrefix: "/any/",
        services: sheets,
        retryMode: RetryMode.any,
        maxAttempts: 2,
      },
      { ...route, name: "keyed", pathPrefix: "/keyed/", services: sheets, isPublic: false },
      { ...route, ...stream, name: "draft", pathPrefix: "/draft/", services: models },
      {
        ...route,
        ...stream,
        ...resumeOptions,
        name: "summary",
        pathPrefix: "/summary/",
        services: models,
      },
    ],
    services: [
      { name: "sheets", healthPath: "/health", maxConnections: 100, engine: undefined },
      {
        name: "models",
        healthPath: "/health",
        maxConnections: 100,
        engine: {
          slots: 8,
          capacityTokens: 10_000,
          handleTtlMs: 500,
          holdTtlMs: 2000,
          stageChangeMs: 1000,
        },
      },
    ],
    workspaces: [
      {
        name: "walls",
        keys: ["k1"],
        priority: undefined,
        limit: { perSecond: 100, burst: 1000 },
        unit: CostUnit.tokens,
        defaultCost: 1,
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headersTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    ...more,
  };
}

function readHeaderValue(value: string | string[] | undefined): string | undefined {
  return typeof value === "string" && value !== "" ? value : undefined;
}
