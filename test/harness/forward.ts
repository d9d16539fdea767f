/**
 * A forwarding instance in this process, with an adapter for tests: a store in memory, and plain
 * header names of the tests' own.
 */
import {
  createServer as createNetServer,
  type AddressInfo,
  type Server,
  type Socket,
} from "node:net";
import type { IncomingMessage } from "node:http";
import * as E from "fp-ts/Either";
import { DecodeError } from "../../src/core/decode";
import { createNotRun, Reason, type Refusal } from "../../src/core/outcome";
import type { FleetConfig } from "../../src/fleet/catalog";
import { CostUnit, Repeat } from "../../src/fleet/catalog";
import type { EndpointEntry } from "../../src/fleet/directory";
import {
  type Feed,
  type FeedRecord,
  type OrderLog,
  type OrderRecord,
  type OwnFeed,
  type Store,
  StoreError,
  StoreFault,
} from "../../src/fleet/store";
import {
  type AnswerHead,
  type CallerCodec,
  type EndpointCodec,
  OrderResult,
  type OwnCall,
  type RequestHead,
  type Send,
  Task,
  Verdict,
} from "../../src/forward/exchange";
import { ForwardInstance } from "../../src/forward/instance";
import type { ForwardSettings } from "../../src/forward/settings";

/** A feed in memory, of which the newest of each key can be read. */
export class MemoryFeed implements OwnFeed {
  readonly records: FeedRecord[] = [];
  isDown = false;

  put(key: string, value: Buffer | undefined): void {
    this.records.push({ key, value, offset: this.records.length });
  }

  append: OwnFeed["append"] = (key, value) => () => {
    if (this.isDown) return Promise.resolve(E.left(createDown()));
    this.put(key, value);
    return Promise.resolve(E.right(undefined));
  };

  readNewest: Feed["readNewest"] = () => () => {
    if (this.isDown) return Promise.resolve(E.left(createDown()));
    const newest = new Map(this.records.map((record) => [record.key, record]));
    const records = [...newest.values()].filter((record) => record.value !== undefined);
    return Promise.resolve(E.right({ records, next: this.records.length }));
  };

  read: Feed["read"] = (from, waitMs) => async () => {
    if (this.records.length <= from) await pause(Math.min(waitMs, 20));
    if (this.isDown) return E.left(createDown());
    return E.right({ records: this.records.slice(from), next: this.records.length });
  };
}

/** A log in memory that takes records only at its end. */
export class MemoryOrders implements OrderLog {
  readonly records: OrderRecord[] = [];
  isDown = false;

  read: OrderLog["read"] = (from) => () =>
    Promise.resolve(
      this.isDown
        ? E.left(createDown())
        : E.right({ records: this.records.slice(from), end: this.records.length }),
    );

  appendAt: OrderLog["appendAt"] = (end, value) => () => {
    if (this.isDown) return Promise.resolve(E.left(createDown()));
    if (end !== this.records.length) {
      return Promise.resolve(E.left(new StoreError(StoreFault.moved, "moved")));
    }
    this.records.push({ value, offset: end });
    return Promise.resolve(E.right(end));
  };
}

/** A store in memory. */
export class MemoryStore implements Store {
  readonly configuration = new MemoryFeed();
  readonly endpoints = new MemoryFeed();
  readonly members = new MemoryFeed();
  readonly orders = new MemoryOrders();

  reset(): void {
    // Nothing to connect to.
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  publish(config: FleetConfig): void {
    this.configuration.put("config", Buffer.from(JSON.stringify(config)));
  }

  list(entry: EndpointEntry): void {
    this.endpoints.put(entry.id, Buffer.from(JSON.stringify(entry)));
  }
}

class TestCallerCodec implements CallerCodec {
  readHead(request: IncomingMessage): E.Either<Refusal, RequestHead> {
    const { headers, method = "", url = "" } = request;
    const id = readText(headers["x-id"]);
    if (id === undefined) return E.left(createNotRun(400, Reason.badRequest, "no id"));
    const tokens = Number(readText(headers["x-tokens"]) ?? "0");
    return E.right({
      id,
      method,
      host: "test",
      target: url,
      path: url.split("?", 1)[0] ?? url,
      key: readText(headers["x-key"]),
      patienceMs: Number(readText(headers["x-patience"]) ?? "5000"),
      size: { promptTokens: tokens, maxOutputTokens: 40, expectedOutputTokens: 20 },
      lastEventId: readText(headers["x-after"]),
      headers: ["x-id", id],
    });
  }

  listRefusalHeaders(id: string | undefined, refusal: Refusal): readonly string[] {
    return ["x-id", id ?? "", "x-retry-ms", String(refusal.retryAfterMs ?? "")];
  }
}

class TestEndpointCodec implements EndpointCodec {
  listHeaders(send: Send): string[] {
    const headers = ["x-id", send.request.head.id, "x-expect", send.endpoint.id];
    headers.push("x-task", send.task, "x-left", String(send.leftMs));
    if (send.source !== undefined) headers.push("x-source", send.source.handle);
    if (send.hold !== undefined) headers.push("x-hold", send.hold);
    if (send.lastEventId !== undefined) headers.push("x-after", send.lastEventId);
    return headers;
  }

  readAnswer(send: Send, status: number, headers: readonly string[]): AnswerHead {
    const text = headers.join("\n").toLowerCase();
    const isOwn = text.includes(`x-id\n${send.request.head.id.toLowerCase()}`);
    const verdict = text.includes("x-not-run")
      ? Verdict.notRun
      : status === 421
        ? Verdict.misdirected
        : isOwn || send.task === Task.prefill
          ? Verdict.answered
          : Verdict.foreign;
    return { status, headers: ["x-id", send.request.head.id], verdict, load: undefined };
  }

  readPrefilled(body: Buffer) {
    return { handle: body.toString(), promptTokens: 0 };
  }

  createHoldCall(endpoint: EndpointEntry, tokens: number): OwnCall {
    const headers = ["x-expect", endpoint.id];
    return { method: "POST", path: "/hold", headers, body: Buffer.from(String(tokens)) };
  }

  isMisdirected(status: number): boolean {
    return status === 421;
  }

  readHold(status: number, body: Buffer): string | undefined {
    return status === 200 ? body.toString() : undefined;
  }

  createDropHoldCall(hold: string): OwnCall {
    return { method: "DELETE", path: `/hold/${hold}`, headers: [], body: undefined };
  }

  createDropHandleCall(handle: string): OwnCall {
    return { method: "DELETE", path: `/handle/${handle}`, headers: [], body: undefined };
  }

  createStageCall(endpoint: EndpointEntry, order: { stage: string; fence: number }): OwnCall {
    const body = Buffer.from(JSON.stringify(order));
    return { method: "POST", path: "/stage", headers: ["x-expect", endpoint.id], body };
  }

  readOrderResult(status: number): OrderResult {
    return status === 202 ? OrderResult.accepted : OrderResult.refused;
  }
}

/** The codecs of the tests. */
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

let port = 23_000 + (process.pid % 400) * 20;

/** Takes a port that nothing else of this process uses. */
export function takePort(): number {
  port += 1;
  return port;
}

/** Starts an instance in this process. */
export async function startInstance(
  store: MemoryStore,
  name: string,
  overrides: Partial<ForwardSettings> = {},
): Promise<{ instance: ForwardInstance; settings: ForwardSettings }> {
  const at = () => ({ host: "127.0.0.1", port: takePort() });
  const settings: ForwardSettings = {
    instance: name,
    dataCentre: "nizwa",
    callers: at(),
    ready: at(),
    peers: at(),
    metrics: undefined,
    knownPeers: [],
    logLevel: "error",
    quotaTolerance: { ratio: 0, slack: 0, windowMs: 8000 },
    retryLimit: { ratio: 0.2, slack: 50, windowMs: 10_000 },
    drainMs: 300,
    graceMs: 8000,
    orderLeaseMs: 3000,
    ...overrides,
  };
  const instance = new ForwardInstance(settings, { store, ...testCodecs });
  await instance.start();
  return { instance, settings };
}

/** Waits until a condition holds; fails after `ms` milliseconds. */
export async function waitUntil(check: () => boolean | Promise<boolean>, ms = 4000) {
  const end = performance.now() + ms;
  while (!(await check())) {
    if (performance.now() > end) throw new Error("the condition did not come to hold");
    await pause(10);
  }
}

/** An endpoint that speaks in raw bytes, as `answer` says. */
export class RawEndpoint {
  readonly requests: string[] = [];
  readonly sockets = new Set<Socket>();
  private readonly server: Server;

  constructor(private readonly answer: (head: string, socket: Socket) => void) {
    this.server = createNetServer((socket) => {
      this.sockets.add(socket);
      socket.on("close", () => this.sockets.delete(socket));
      socket.on("error", () => undefined);
      let text = "";
      socket.on("data", (bytes) => {
        text += bytes.toString("latin1");
        for (;;) {
          const end = text.indexOf("\r\n\r\n");
          if (end < 0) return;
          const head = text.slice(0, end);
          const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? "0");
          if (text.length < end + 4 + length) return;
          text = text.slice(end + 4 + length);
          this.requests.push(head);
          this.answer(head, socket);
        }
      });
    });
  }

  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }
}

/** Writes a whole answer. */
export function writeAnswer(socket: Socket, head: string, body: string, status = "200 OK") {
  const id = /x-id: (\S+)/i.exec(head)?.[1] ?? "";
  socket.write(
    `HTTP/1.1 ${status}\r\nx-id: ${id}\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
  );
}

/** An entry for the list of endpoints. */
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
    bornAt: 1,
    sequence: 1,
    ...more,
  };
}

/** A configuration with one route of each kind. */
export function createConfig(version: number, more: Partial<FleetConfig> = {}): FleetConfig {
  const route = {
    host: "test",
    repeat: Repeat.once,
    isStream: false,
    isOpen: true,
    timeoutMs: 3000,
    targetMs: 500,
    priority: 1,
    maxAttempts: 1,
  };
  const sheets = [{ service: "sheets", weight: 1 }];
  const models = [{ service: "models", weight: 1 }];
  const stream = { isStream: true, targetMs: 1000, timeoutMs: 6000 };
  const again = { repeat: Repeat.resume, maxAttempts: 2 };
  return {
    version,
    routes: [
      { ...route, name: "once", pathPrefix: "/once/", services: sheets, maxAttempts: 2 },
      {
        ...route,
        name: "any",
        pathPrefix: "/any/",
        services: sheets,
        repeat: Repeat.any,
        maxAttempts: 2,
      },
      { ...route, name: "keyed", pathPrefix: "/keyed/", services: sheets, isOpen: false },
      { ...route, ...stream, name: "draft", pathPrefix: "/draft/", services: models },
      { ...route, ...stream, ...again, name: "summary", pathPrefix: "/summary/", services: models },
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
          handleMs: 500,
          holdMs: 2000,
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
        plainCost: 1,
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

function createDown(): StoreError {
  return new StoreError(StoreFault.refused, "down");
}

function readText(value: string | string[] | undefined): string | undefined {
  return typeof value === "string" && value !== "" ? value : undefined;
}

/** Waits. */
export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
