/**
 * Clients that make no call to a barred endpoint, such as one in an evacuated data centre. Whatever
 * a call is for, it is checked here right before it is made; what is under way goes on.
 */
import * as E from "fp-ts/Either";
import type * as TE from "fp-ts/TaskEither";
import type {
  CallLimits,
  EngineClient,
  EngineReport,
  HoldRequest,
  Order,
  PrefillRequest,
  PrefillResult,
} from "./engine";
import { EngineError, EngineFault } from "./fault";
import {
  type ServiceCall,
  type ServiceClient,
  ServiceError,
  type ServiceResponse,
} from "./service";
import type { DecodeRequest, TokenStream, TokenStreamListener } from "./stream";

/** Checks whether nothing may be sent to the endpoint at a URL. */
export type BarCheck = (url: string) => boolean;

const MESSAGE = "nothing is sent to the endpoint's data centre now";

/** Makes the calls of another engine client, unless the engine is barred. */
export class BarredEngineClient implements EngineClient {
  constructor(
    private readonly inner: EngineClient,
    private readonly isBarred: BarCheck,
  ) {}

  fetchReport(url: string, limits?: CallLimits): TE.TaskEither<EngineError, EngineReport> {
    return this.callUnlessBarred(url, () => this.inner.fetchReport(url, limits));
  }

  reserve(
    url: string,
    request: HoldRequest,
    limits?: CallLimits,
  ): TE.TaskEither<EngineError, void> {
    return this.callUnlessBarred(url, () => this.inner.reserve(url, request, limits));
  }

  prefill(url: string, request: PrefillRequest): TE.TaskEither<EngineError, PrefillResult> {
    return this.callUnlessBarred(url, () => this.inner.prefill(url, request));
  }

  /** Opens a token stream; none that would fetch a KV cache from a barred engine. */
  decode(url: string, request: DecodeRequest, listener: TokenStreamListener): TokenStream {
    const source = request.import?.url;
    const isSourceBarred = source !== undefined && this.isBarred(source);
    if (!isSourceBarred && !this.isBarred(url)) return this.inner.decode(url, request, listener);
    const fault = isSourceBarred ? EngineFault.lost : EngineFault.unreachable;
    let isClosed = false;
    queueMicrotask(() => {
      if (!isClosed) listener.onEnd(new EngineError(fault, MESSAGE));
    });
    return { close: () => (isClosed = true) };
  }

  releaseHolds(url: string, holds: readonly string[]): TE.TaskEither<EngineError, void> {
    return this.callUnlessBarred(url, () => this.inner.releaseHolds(url, holds));
  }

  sendOrder(url: string, order: Order): TE.TaskEither<EngineError, void> {
    return this.callUnlessBarred(url, () => this.inner.sendOrder(url, order));
  }

  close(): Promise<void> {
    return this.inner.close();
  }

  private callUnlessBarred<A>(
    url: string,
    createCall: () => TE.TaskEither<EngineError, A>,
  ): TE.TaskEither<EngineError, A> {
    return () => {
      if (!this.isBarred(url)) return createCall()();
      return Promise.resolve(E.left(new EngineError(EngineFault.unreachable, MESSAGE)));
    };
  }
}

/** Makes the calls of another service client, unless the service is barred. */
export class BarredServiceClient implements ServiceClient {
  constructor(
    private readonly inner: ServiceClient,
    private readonly isBarred: BarCheck,
  ) {}

  call(url: string, call: ServiceCall): TE.TaskEither<ServiceError, ServiceResponse> {
    return () => {
      if (!this.isBarred(url)) return this.inner.call(url, call)();
      return Promise.resolve(E.left(new ServiceError(MESSAGE, false)));
    };
  }
}
