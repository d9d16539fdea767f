/**
 * The two servers for callers, without a fleet behind them.
 */
import { connect, type Socket } from "node:net";
import * as E from "fp-ts/Either";
import { createBlackboard } from "../../src/board/board";
import { MonotonicClock } from "../../src/core/clock";
import { type LogFields, SILENT_LOGGER } from "../../src/core/log";
import { CallerServer } from "../../src/entry/server";
import type { RunnerParts } from "../../src/entry/runnerparts";
import type { ServiceRouter } from "../../src/entry/service";
import { Meter } from "../../src/forward/requests/meter";
import { ForwardServer } from "../../src/forward/callers/server";
import { testCodecs } from "./forward";
import { allocatePort } from "./ports";

const MAX_BODY_BYTES = 32 * 1024 * 1024;

/** A server for callers, and what it has done. */
export interface RunningServer {
  readonly port: number;
  readonly errors: LogFields[];
  close(): void;
}

/**
 * Starts a server.
 *
 * @param timeoutMs - how long a caller may be silent, in milliseconds
 * @param answer - creates the body of each answer; called once a request was read
 */
export type ServerStarter = (
  timeoutMs: number,
  answer: () => Buffer | Promise<Buffer>,
) => Promise<RunningServer>;

function createLogger(errors: LogFields[]) {
  return {
    ...SILENT_LOGGER,
    error: (_event: string, fields: LogFields) => void errors.push(fields),
  };
}

/** Starts the server of instances that forward requests whole. */
export const startForwardServer: ServerStarter = async (timeoutMs, answer) => {
  const errors: LogFields[] = [];
  const head = { status: 200, headers: [], verdict: "answered", load: undefined } as const;
  const server = new ForwardServer(
    testCodecs.callerCodec,
    async () => E.right({ head, body: await answer(), isFramed: true }),
    new MonotonicClock(),
    createLogger(errors),
    new Meter(),
  );
  server.setLimits({
    maxHeaderBytes: 16_384,
    maxBodyBytes: MAX_BODY_BYTES,
    headersTimeoutMs: 3000,
    idleTimeoutMs: timeoutMs,
  });
  const port = allocatePort();
  await server.listen("127.0.0.1", port);
  const close = () => {
    server.close();
  };
  return { port, errors, close };
};

/** Starts the server of the product's own interface, with one open route to a plain service. */
export const startCallerServer: ServerStarter = async (timeoutMs, answer) => {
  const errors: LogFields[] = [];
  const board = createBlackboard();
  const state = board.config.read();
  const routes = { any: { path: "/any", kind: "service", service: "s", open: true } as const };
  board.config.write({ ...state, version: 1, configuration: { ...state.configuration, routes } });
  let ids = 0;
  const parts = {
    board,
    clock: new MonotonicClock(),
    ids: { next: () => `r${(ids += 1)}` },
    retries: { recordRequest: () => undefined },
    logger: createLogger(errors),
    metrics: { count: () => undefined, timing: () => undefined },
  } as unknown as RunnerParts;
  const run = async () =>
    E.right({ status: 200, headers: {}, body: await answer(), isReplayed: false });
  const limits = {
    maxBodyBytes: MAX_BODY_BYTES,
    headersTimeoutMs: 3000,
    bodyTimeoutMs: timeoutMs,
  };
  const router = { run } as unknown as ServiceRouter;
  const server = new CallerServer(parts, router, limits, () => true);
  const port = allocatePort();
  await server.listen({ host: "127.0.0.1", port });
  return { port, errors, close: () => void server.close() };
};

/**
 * Sends a request, and takes of the answer what its caller wants.
 *
 * @param read - resolves once the caller takes the rest; until then nothing is taken but by it
 * @returns the number of bytes that the caller got
 */
export async function readSlowly(
  port: number,
  request: string,
  read: (socket: Socket) => Promise<void>,
): Promise<number> {
  const socket = connect({ host: "127.0.0.1", port, noDelay: true });
  socket.on("error", () => undefined);
  const isClosed = new Promise<void>((resolve) =>
    socket.once("close", () => {
      resolve();
    }),
  );
  socket.write(request);
  await read(socket);
  socket.resume();
  await isClosed;
  return socket.bytesRead;
}

/** What a caller got, and when its connection was closed, in milliseconds since its first byte. */
export interface CallerEnd {
  readonly text: string;
  /** Undefined if it was still open at the end. */
  readonly closedAfterMs: number | undefined;
}

/**
 * Sends texts at intervals over one connection.
 *
 * @param everyMs - time between the texts, in milliseconds
 * @param waitMs - how long the connection is left open at most, in milliseconds
 */
export async function sendSlowly(
  port: number,
  texts: readonly string[],
  everyMs: number,
  waitMs: number,
): Promise<CallerEnd> {
  const socket = connect({ host: "127.0.0.1", port, noDelay: true });
  socket.on("error", () => undefined);
  let text = "";
  socket.on("data", (bytes) => (text += bytes.toString("latin1")));
  const startedAt = performance.now();
  texts.forEach((part, index) => setTimeout(() => socket.write(part), index * everyMs));
  const closedAfterMs = await new Promise<number | undefined>((resolve) => {
    setTimeout(() => {
      resolve(undefined);
    }, waitMs);
    socket.once("close", () => {
      resolve(performance.now() - startedAt);
    });
  });
  socket.destroy();
  return { text, closedAfterMs };
}
