/**
 * Stand-in for a client: sends one request at a time, with an id of its own.
 */
import { Agent, request } from "node:http";
import { performance } from "node:perf_hooks";

let sentCount = 0;

/** Creates the id of a client attempt. */
export function createId() {
  sentCount += 1;
  return `${process.pid.toString(16)}${String(sentCount).padStart(8, "0")}`;
}

/** Creates the connections of a client, which it keeps open. */
export function createAgent() {
  return new Agent({ keepAlive: true });
}

/**
 * Sends a request and reads the whole answer.
 *
 * @param options - host, port, method, path, headers, body, agent, timeoutMs (the time budget), id
 * @returns sentAt, answeredAt, status (0 if the connection ended without an answer), headers, body
 */
export function send(options) {
  const { host, port, method, path, headers = {}, body, agent, timeoutMs } = options;
  const { id = createId() } = options;
  const sentAt = performance.now();
  return new Promise((resolve) => {
    const finish = (end) => resolve({ id, sentAt, answeredAt: performance.now(), ...end });
    const call = request(
      {
        host,
        port,
        method,
        path,
        agent: agent ?? false,
        headers: {
          host: "ficu95.example",
          "gorsefold-request-id": id,
          "gorsefold-deadline-ms": String(timeoutMs),
          ...(body === undefined ? {} : { "content-length": body.length }),
          ...headers,
        },
      },
      (response) => {
        const chunks = [];
        response.on("data", (chunk) => chunks.push(chunk));
        response.on("end", () => {
          const text = chunks.map((chunk) => chunk.toString()).join("");
          finish({ status: response.statusCode, headers: response.headers, body: text });
        });
        response.on("error", (error) => finish({ status: 0, error: error.message }));
      },
    );
    call.on("error", (error) => finish({ status: 0, error: error.message }));
    call.end(body);
  });
}
