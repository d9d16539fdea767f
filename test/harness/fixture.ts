/**
 * One instance with its endpoints for each test, and a caller that sees what is on the wire.
 */
import { type Agent, request as httpRequest } from "node:http";
import { after, afterEach, beforeEach } from "node:test";
import type { ForwardInstance } from "../../src/forward/instance";
import { createConfig, createEntry, startInstance, waitUntil } from "./forward";
import { MemoryStore } from "./memory";
import { RawEndpoint } from "./raw";

/** An answer as its caller got it. */
export interface ReceivedResponse {
  readonly status: number;
  readonly body: string;
  /** True where the answer ended as a complete one. */
  readonly isComplete: boolean;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** The store of the test under way. */
export let store: MemoryStore;
/** The instance of the test under way. */
export let instance: ForwardInstance;
/** Where callers connect. */
export let port = 0;
/** Where the balancer asks. */
export let readyPort = 0;
let openedEndpoints: RawEndpoint[] = [];
let requestCount = 0;

/** Starts the instance, and waits until it is ready. */
export async function start(): Promise<void> {
  const started = await startInstance(store, "nizwa-1");
  instance = started.instance;
  port = started.settings.callers.port;
  readyPort = started.settings.ready.port;
  await waitUntil(async () => (await get(readyPort, "/")).status === 200);
}

/** Adds an endpoint to the list. */
export async function addEndpoint(
  id: string,
  answer: ConstructorParameters<typeof RawEndpoint>[0],
  more = {},
): Promise<RawEndpoint> {
  const endpoint = new RawEndpoint(answer);
  openedEndpoints.push(endpoint);
  store.putEndpoint(createEntry(id, await endpoint.listen(), more));
  return endpoint;
}

/** Sends a request, and reads its answer. */
export function get(
  at: number,
  path: string,
  headers: Record<string, string> = {},
  agent?: Agent,
): Promise<ReceivedResponse> {
  requestCount += 1;
  const id = `r${requestCount}`;
  return new Promise((resolve, reject) => {
    const request = httpRequest(
      { host: "127.0.0.1", port: at, path, agent, headers: { "x-id": id, ...headers } },
      (response) => {
        let body = "";
        response.on("data", (bytes: Buffer) => (body += bytes.toString()));
        const finish = () => {
          const { statusCode = 0, headers: got, complete } = response;
          resolve({ status: statusCode, body, isComplete: complete, headers: got });
        };
        response.on("end", finish);
        response.on("error", finish);
      },
    );
    request.on("error", reject);
    request.end();
  });
}

/** Prepares each test of a file, and cleans up after it. */
export function prepareEach(): void {
  beforeEach(() => {
    store = new MemoryStore();
    store.putConfig(createConfig(1));
    openedEndpoints = [];
  });

  afterEach(async () => {
    await instance.close();
    for (const endpoint of openedEndpoints) endpoint.close();
  });

  after(() => {
    setTimeout(() => process.exit(), 500).unref();
  });
}
