/**
 * A model engine: reserves decode slots, prefills prompts, imports KV cache, streams tokens, and
 * takes orders.
 */
import * as E from "fp-ts/Either";
import type * as TE from "fp-ts/TaskEither";
import * as t from "io-ts";
import type { PrefixBlock } from "../core/tokens";
import { decodeValue } from "../core/codec";
import { createSender, type JsonResponse, type Sender, type SendError } from "../store/http";
import { openTokenStream, type TokenStream, type TokenStreamListener } from "./stream";

/** How long a short call to an engine may take, in milliseconds. */
const CALL_MS = 1000;

/** How a call to an engine failed. */
export const EngineFault = {
  /** No byte of the call can have reached the engine. */
  unreachable: "unreachable",
  /** No process listens there; no byte can have reached one. */
  down: "down",
  /** The engine has no room. */
  full: "full",
  /** The engine is leaving. */
  draining: "draining",
  /** The engine no longer has the hold or the prefill's result. */
  lost: "lost",
  /** The connection broke. */
  broken: "broken",
  /** Nothing came for too long. */
  silent: "silent",
  /** An answer to another request came. */
  mismatch: "mismatch",
  /** The engine said no. */
  refused: "refused",
  /** The caller went away or the deadline passed. */
  cancelled: "cancelled",
} as const;
export type EngineFault = (typeof EngineFault)[keyof typeof EngineFault];

/** A failed call to an engine. */
export class EngineError extends Error {
  override readonly name = "EngineError";

  constructor(
    readonly fault: EngineFault,
    message: string,
  ) {
    super(message);
  }
}

const reportCodec = t.type({
  name: t.string,
  incarnation: t.string,
  role: t.string,
  models: t.array(t.string),
  slots: t.number,
  holds: t.array(t.string),
  queuedTokens: t.number,
  draining: t.boolean,
  /** Fencing number of the last order taken. */
  fence: t.number,
  /** Hashes of prefixes that left the cache since the last reports. */
  evicted: t.array(t.number),
});

/** What an endpoint says of itself; it lags. */
export type EngineReport = t.TypeOf<typeof reportCodec>;

/** A decode slot to be held for a request. */
export interface HoldRequest {
  readonly hold: string;
  readonly owner: string;
  /** The engine releases the hold by itself after this, in milliseconds. */
  readonly ttlMs: number;
}

/** A prompt to be prefilled. */
export interface PrefillRequest {
  readonly attempt: string;
  readonly model: string;
  readonly prompt: string;
  /** Text that was generated before, on another engine. */
  readonly continued: string;
  readonly blocks: readonly PrefixBlock[];
  readonly priority: number;
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

const prefillCodec = t.type({
  attempt: t.string,
  exportId: t.string,
  promptTokens: t.number,
  cachedTokens: t.number,
});

/** A prefill's result, alive on its engine for a moment. */
export type PrefillResult = t.TypeOf<typeof prefillCodec>;

/** A decode to be run in a held slot. */
export interface DecodeRequest {
  readonly attempt: string;
  readonly hold: string;
  readonly model: string;
  /** Where the KV cache comes from; absent to go on with a hold whose connection was lost. */
  readonly import?: { readonly url: string; readonly exportId: string };
  /** Index of the first token that is wanted. */
  readonly from: number;
  readonly maxTokens: number;
  readonly priority: number;
}

/** A state that an endpoint is ordered into. */
export interface Order {
  readonly fence: number;
  readonly role: string;
  readonly models: readonly string[];
}

/** All model engines, by their URL. */
export interface EngineClient {
  fetchReport(url: string): TE.TaskEither<EngineError, EngineReport>;
  reserve(url: string, request: HoldRequest): TE.TaskEither<EngineError, void>;
  prefill(url: string, request: PrefillRequest): TE.TaskEither<EngineError, PrefillResult>;
  decode(url: string, request: DecodeRequest, listener: TokenStreamListener): TokenStream;
  releaseHolds(url: string, holds: readonly string[]): TE.TaskEither<EngineError, void>;
  sendOrder(url: string, order: Order): TE.TaskEither<EngineError, void>;
  close(): Promise<void>;
}

/** Model engines over HTTP. */
export class HttpEngineClient implements EngineClient {
  private readonly work: Sender = createSender();
  /** Reports and releases go over connections of their own, which work may not freeze. */
  private readonly control: Sender = createSender();

  fetchReport(url: string): TE.TaskEither<EngineError, EngineReport> {
    return async () => {
      const result = await this.control.sendJson({
        method: "GET",
        url: `${url}/report`,
        timeoutMs: CALL_MS,
      })();
      return readAnswer(result, reportCodec);
    };
  }

  reserve(url: string, request: HoldRequest): TE.TaskEither<EngineError, void> {
    return async () => {
      const result = await this.work.sendJson({
        method: "POST",
        url: `${url}/holds`,
        body: request,
        timeoutMs: CALL_MS,
      })();
      return readAnswer(result, t.unknown) as E.Either<EngineError, undefined>;
    };
  }

  prefill(url: string, request: PrefillRequest): TE.TaskEither<EngineError, PrefillResult> {
    return async () => {
      const { timeoutMs, signal, ...body } = request;
      const result = await this.work.sendJson({
        method: "POST",
        url: `${url}/prefill`,
        headers: { "x-attempt-id": request.attempt },
        body,
        timeoutMs,
        signal,
      })();
      const answer = readAnswer(result, prefillCodec);
      if (E.isLeft(answer) || answer.right.attempt === request.attempt) return answer;
      return E.left(new EngineError(EngineFault.mismatch, "the answer belongs to another attempt"));
    };
  }

  decode(url: string, request: DecodeRequest, listener: TokenStreamListener): TokenStream {
    return openTokenStream(this.work, url, request, listener);
  }

  releaseHolds(url: string, holds: readonly string[]): TE.TaskEither<EngineError, void> {
    return async () => {
      const result = await this.control.sendJson({
        method: "POST",
        url: `${url}/holds/release`,
        body: { holds },
        timeoutMs: CALL_MS,
      })();
      return readAnswer(result, t.unknown) as E.Either<EngineError, undefined>;
    };
  }

  sendOrder(url: string, order: Order): TE.TaskEither<EngineError, void> {
    return async () => {
      const result = await this.control.sendJson({
        method: "POST",
        url: `${url}/orders`,
        body: order,
        timeoutMs: CALL_MS,
      })();
      return readAnswer(result, t.unknown) as E.Either<EngineError, undefined>;
    };
  }

  async close(): Promise<void> {
    await Promise.all([this.work.close(), this.control.close()]);
  }
}

/**
 * Reads the fault from an engine's status.
 *
 * @example
 * readFault(409); // "full"
 */
export function readFault(status: number): EngineFault {
  if (status === 409) return EngineFault.full;
  if (status === 503) return EngineFault.draining;
  if (status === 404 || status === 410) return EngineFault.lost;
  return EngineFault.refused;
}

function readSendFault(error: SendError): EngineFault {
  if (error.isDown) return EngineFault.down;
  if (!error.isSent) return EngineFault.unreachable;
  return error.isTimeout ? EngineFault.silent : EngineFault.broken;
}

function readAnswer<A>(
  result: E.Either<SendError, JsonResponse>,
  codec: t.Type<A>,
): E.Either<EngineError, A> {
  if (E.isLeft(result)) {
    return E.left(new EngineError(readSendFault(result.left), result.left.message));
  }
  const { status, body } = result.right;
  if (status >= 300) {
    return E.left(new EngineError(readFault(status), `the engine answered ${status}`));
  }
  const decoded = decodeValue(codec, body, "engine");
  return E.isLeft(decoded)
    ? E.left(new EngineError(EngineFault.refused, decoded.left.message))
    : decoded;
}
