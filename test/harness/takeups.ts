/**
 * Callers that leave streams and take them up, at an instance that knows which versions were listed.
 */
import { request as httpRequest } from "node:http";
import { pause } from "../../src/core/clock";
import { get, port, start, store } from "./fixture";
import { createConfig } from "./forward";

const ROUTE_MS = 1500;
/** How long the list must have been watched, in milliseconds: a stream, its caller's return, and a margin. */
const WATCHED_MS = ROUTE_MS + 3500;
const HEADERS = { "x-tokens": "30", "x-patience": "5000" };

/** Starts the instance, and waits until it knows which version the service had while any stream may have begun. */
export async function startWatched(): Promise<void> {
  const config = createConfig(2);
  const routes = config.routes.map((route) => ({ ...route, timeoutMs: ROUTE_MS }));
  store.putConfig({ ...config, routes });
  await start();
  await pause(WATCHED_MS);
}

/** Leaves a stream after its first two events. */
export function readAndLeave(id: string): Promise<void> {
  return new Promise((resolve, reject) => {
    const headers = { ...HEADERS, "x-id": id };
    const to = { host: "127.0.0.1", port, path: "/summary/1", headers };
    const request = httpRequest(to, (response) => {
      response.on("error", () => undefined);
      response.on("data", (bytes: Buffer) => {
        if (!bytes.includes("t2")) return;
        request.destroy();
        resolve();
      });
    });
    request.on("error", reject);
    request.end();
  });
}

/** Takes a stream up after its second event. */
export function takeUp(of: Record<string, string>) {
  return get(port, "/summary/1", { ...HEADERS, ...of, "x-after": "2" });
}
