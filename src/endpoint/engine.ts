/**
 * Client of model engines: reserves decode slots, prefills prompts, streams the tokens of decodes
 * that import a KV cache, releases holds, fetches reports and sends orders.
 */
import * as E from "fp-ts/Either";
import type * as TE from "fp-ts/TaskEither";
import * as t from "io-ts";
import type { PrefixBlock } from "../core/tokens";
import { decodeValue } from "../core/codec";
import type { BrokenAnswerListener } from "../store/brokenanswer";
import { createSender, type JsonResponse, type Sender, type SendError } from "../store/http";
import { EngineError, EngineFault, isOfAnother, mapStatusToFault } from "./fault";
import {
  type DecodeRequest,
  openTokenStream,
  type TokenStream,
  type TokenStreamListener,
} from "./stream";

/** Timeout of all calls except prefill and decode, unless the caller states limits. */
export const CALL_TIMEOUT_MS = 1000;

const reportCodec = t.type({
  name: t.string,
  incarnation: t.string,
  role: t.string,
  models: t.array(t.string),
  slots: t.number,
  holds: t.array(t.string),
  queuedTokens: t.number,
  draining: t.boolean,
  /** Fencing token of the last order that the engine accepted. */
  fence: t.number,
  /** Hashes of prefix blocks that were evicted from the cache since the last reports. */
  evicted: t.array(t.number),
});

/** State that an engine reports about itself; it lags behind the actual state. */
export type EngineReport = t.TypeOf<typeof reportCodec>;

/** A request to reserve a decode slot. */
export interface HoldRequest {
  readonly hold: string;
  readonly owner: string;
  /** Time after which the engine releases the hold by itself, in milliseconds. */
  readonly ttlMs: number;
}

/** A prompt to prefill. */
export interface PrefillRequest {
  readonly attempt: string;
  readonly model: string;
  readonly prompt: string;
  /** Text that earlier attempts generated on other engines; empty on the first attempt. */
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

/** The result of a prefill; the engine keeps the exported KV cache only for a short time. */
export type PrefillResult = t.TypeOf<typeof prefillCodec>;

/** An order that sets the role and the models of an engine; `fence` is its fencing token. */
export interface Order {
  readonly fence: number;
  readonly role: string;
  readonly models: readonly string[];
}

/** How long a call may take, and what ends it before. */
export interface CallLimits {
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

const DEFAULT_LIMITS: CallLimits = { timeoutMs: CALL_TIMEOUT_MS };

/** Client of all model engines, addressed by URL. */
export interface EngineClient {
  fetchReport(url: string, limits?: CallLimits): TE.TaskEither<EngineError, EngineReport>;
  reserve(url: string, request: HoldRequest, limits?: CallLimits): TE.TaskEither<EngineError, void>;
  prefill(url: string, request: PrefillRequest): TE.TaskEither<EngineError, PrefillResult>;
  decode(url: string, request: DecodeRequest, listener: TokenStreamListener): TokenStream;
  releaseHolds(url: string, holds: readonly string[]): TE.TaskEither<EngineError, void>;
  sendOrder(url: string, order: Order): TE.TaskEither<EngineError, void>;
  close(): Promise<void>;
}

/**
 * Engine client over HTTP. The success of a prefill or decode names its attempt, which is
 * checked; a failure that names none is this call's because its connection carries no other.
 */
export class HttpEngineClient implements EngineClient {
  private readonly workSender: Sender;
  /**
   * Separate limits on connections, so that stalled work cannot block reports, releases and orders.
   */
  private readonly controlSender: Sender;

  /** @param onBroken - called with each answer that is broken */
  constructor(onBroken?: BrokenAnswerListener) {
    this.workSender = createSender(onBroken);
    this.controlSender = createSender(onBroken);
  }

  fetchReport(url: string, limits = DEFAULT_LIMITS): TE.TaskEither<EngineError, EngineReport> {
    return async () => {
      const result = await this.controlSender.sendJson({
        method: "GET",
        url: `${url}/report`,
        ...limits,
      })();
      return decodeResponse(result, reportCodec);
    };
  }

  reserve(
    url: string,
    request: HoldRequest,
    limits = DEFAULT_LIMITS,
  ): TE.TaskEither<EngineError, void> {
    return postCommand(this.workSender, `${url}/holds`, request, limits);
  }

  prefill(url: string, request: PrefillRequest): TE.TaskEither<EngineError, PrefillResult> {
    return async () => {
      const { timeoutMs, signal, ...body } = request;
      const result = await this.workSender.sendJson({
        method: "POST",
        url: `${url}/prefill`,
        headers: { "x-attempt-id": request.attempt },
        body,
        timeoutMs,
        signal,
      })();
      if (E.isRight(result) && isOfAnother(result.right.headers, request.attempt)) {
        return E.left(createMismatchError());
      }
      const prefilled = decodeResponse(result, prefillCodec);
      if (E.isLeft(prefilled) || prefilled.right.attempt === request.attempt) return prefilled;
      return E.left(createMismatchError());
    };
  }

  decode(url: string, request: DecodeRequest, listener: TokenStreamListener): TokenStream {
    return openTokenStream(this.workSender, url, request, listener);
  }

  releaseHolds(url: string, holds: readonly string[]): TE.TaskEither<EngineError, void> {
    return postCommand(this.controlSender, `${url}/holds/release`, { holds });
  }

  sendOrder(url: string, order: Order): TE.TaskEither<EngineError, void> {
    return postCommand(this.controlSender, `${url}/orders`, order);
  }

  async close(): Promise<void> {
    await Promise.all([this.workSender.close(), this.controlSender.close()]);
  }
}

function mapSendErrorToFault(error: SendError): EngineFault {
  if (error.isDown) return EngineFault.down;
  if (!error.isSent) return EngineFault.unreachable;
  return error.isTimeout ? EngineFault.silent : EngineFault.broken;
}

function createMismatchError(): EngineError {
  return new EngineError(EngineFault.mismatch, "the response belongs to another attempt");
}

function decodeResponse<A>(
  result: E.Either<SendError, JsonResponse>,
  codec: t.Type<A>,
): E.Either<EngineError, A> {
  if (E.isLeft(result)) {
    return E.left(new EngineError(mapSendErrorToFault(result.left), result.left.message));
  }
  const { status, body } = result.right;
  if (status >= 300) {
    return E.left(new EngineError(mapStatusToFault(status), `the engine answered ${status}`));
  }
  const decoded = decodeValue(codec, body, "engine");
  return E.isLeft(decoded)
    ? E.left(new EngineError(EngineFault.refused, decoded.left.message))
    : decoded;
}

/** Posts a request of whose response only the status matters. */
function postCommand(
  sender: Sender,
  url: string,
  body: unknown,
  limits = DEFAULT_LIMITS,
): TE.TaskEither<EngineError, undefined> {
  return async () => {
    const result = await sender.sendJson({ method: "POST", url, body, ...limits })();
    return decodeResponse(result, t.unknown) as E.Either<EngineError, undefined>;
  };
}
