/**
 * Shared by the stand-ins: a JSON server, and an event history on disk that survives the kill of its process.
 */
import { appendFileSync } from "node:fs";
export { pause } from "../../src/core/clock";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";

/** One event of a process; `at` is of the machine's monotonic clock, in milliseconds. */
export interface HistoryEvent {
  readonly at: number;
  readonly who: string;
  readonly kind: string;
  readonly [member: string]: unknown;
}

/** Reads the machine's monotonic clock, in milliseconds; all processes share it. */
export function readMachineClock(): number {
  return Number(process.hrtime.bigint() / 1000n) / 1000;
}

/** Appends events to a file, synchronously, as JSON lines; an empty file name disables it. */
export class History {
  constructor(
    private readonly who: string,
    private readonly file: string,
  ) {}

  record(kind: string, members: Readonly<Record<string, unknown>> = {}): void {
    if (this.file === "") return;
    const event = { at: readMachineClock(), who: this.who, kind, ...members };
    appendFileSync(this.file, `${JSON.stringify(event)}\n`);
  }
}

/** A request whose body has been read. */
export interface JsonRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingMessage["headers"];
  readonly body: Record<string, unknown>;
  readonly text: string;
}

/** Handles a request and writes its response. */
export type JsonHandler = (request: JsonRequest, response: ServerResponse) => void | Promise<void>;

/** Serves JSON on a port of the loopback interface. */
export function serveJson(port: number, handler: JsonHandler): void {
  const server = createServer({ keepAliveTimeout: 15_000 }, (request, response) => {
    const chunks: Buffer[] = [];
    request.on("data", (chunk: Buffer) => chunks.push(chunk));
    request.on("end", () => {
      const text = Buffer.concat(chunks).toString("utf8");
      const url = new URL(request.url ?? "/", "http://local");
      const isJson = text.startsWith("{");
      void handler(
        {
          method: request.method ?? "GET",
          path: url.pathname,
          query: url.searchParams,
          headers: request.headers,
          body: isJson ? (JSON.parse(text) as Record<string, unknown>) : {},
          text,
        },
        response,
      );
    });
  });
  server.listen(port, "127.0.0.1");
}

/** Writes a JSON response; does nothing if the connection is gone. */
export function answerJson(
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  if (response.destroyed) return;
  response.writeHead(status, { "content-type": "application/json", ...headers });
  response.end(JSON.stringify(body));
}
