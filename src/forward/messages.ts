/**
 * A request that is forwarded whole, what endpoints answer to it, and the interfaces through which
 * an adapter speaks to callers and endpoints.
 */
import type { IncomingMessage } from "node:http";
import type * as E from "fp-ts/Either";
import type { FleetRoute, FleetWorkspace } from "../fleet/config";
import type { EndpointEntry } from "../fleet/directory";
import type { Refusal } from "../core/outcome";

/** The size of a generation. */
export interface GenerationSize {
  readonly promptTokens: number;
  /** The most that the caller takes. */
  readonly maxOutputTokens: number;
  /** What the caller expects; often far off. */
  readonly expectedOutputTokens: number;
}

/** What the head of a request says. */
export interface RequestHead {
  /** Given by the caller, new for each of its attempts. */
  readonly id: string;
  readonly method: string;
  readonly host: string;
  /** Path and query, as sent. */
  readonly target: string;
  /** Path without the query. */
  readonly path: string;
  readonly key: string | undefined;
  /** How long the caller will wait, in milliseconds; undefined where it does not say. */
  readonly callerTimeoutMs: number | undefined;
  readonly size: GenerationSize | undefined;
  /** The last event that the caller has; undefined for a stream from its start. */
  readonly lastEventId: string | undefined;
  /** Names and values, in turn, of the headers that go on to an endpoint. */
  readonly headers: readonly string[];
}

/** A request that has passed all checks. */
export interface ForwardRequest {
  readonly head: RequestHead;
  readonly body: Buffer;
  readonly route: FleetRoute;
  readonly service: string;
  /** Undefined on a route that is open to all. */
  readonly workspace: FleetWorkspace | undefined;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  /** True where its workspace is beyond its rate: others go first. */
  readonly isOverRate: boolean;
  /** By which copies of the request are recognised. */
  readonly fingerprint: string;
}

/** Reads requests of callers, and says what the router itself answers. */
export interface CallerCodec {
  /** Reads the head of a request, or says what is wrong with it. */
  readHead(request: IncomingMessage): E.Either<Refusal, RequestHead>;
  /** Lists the headers, as names and values in turn, of an answer of the router's own. */
  listRefusalHeaders(id: string | undefined, refusal: Refusal): readonly string[];
}

/** What a send asks of an endpoint. */
export const SendTask = {
  /** Run the request whole. */
  run: "run",
  /** Read the prompt and keep the KV cache for another engine. */
  prefill: "prefill",
} as const;
export type SendTask = (typeof SendTask)[keyof typeof SendTask];

/** One send of a request to an endpoint. */
export interface EndpointRequest {
  readonly request: ForwardRequest;
  readonly endpoint: EndpointEntry;
  readonly task: SendTask;
  /** What is left of the caller's time, in milliseconds. */
  readonly leftMs: number;
  /** Where the KV cache of the prompt lies. */
  readonly cacheSource: CacheSource | undefined;
  /** Memory that was reserved at the engine. */
  readonly hold: string | undefined;
  /** The event after which a stream goes on. */
  readonly lastEventId: string | undefined;
  /** Rank at the engine; 0 is first. */
  readonly urgency: number | undefined;
}

/** The KV cache of a prompt at the engine that read it. */
export interface CacheSource {
  readonly address: string;
  readonly handle: string;
}

/** What the head of an answer says of the request's fate. */
export const Verdict = {
  /** The endpoint answers the request. */
  answered: "answered",
  /** The endpoint says that it has not run the request, and will not. */
  notRun: "not run",
  /** The endpoint is another one than was meant, and has not run the request. */
  misdirected: "misdirected",
  /** The answer is not one of the protocol, or of another request. */
  mismatched: "foreign",
} as const;
export type Verdict = (typeof Verdict)[keyof typeof Verdict];

/** Load that an endpoint tells with its answers. */
export interface EndpointLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** The head of an answer. */
export interface ResponseHead {
  readonly status: number;
  /** Names and values, in turn, that go back to the caller. */
  readonly headers: readonly string[];
  readonly verdict: Verdict;
  readonly load: EndpointLoad | undefined;
}

/** A prefilled prompt. */
export interface PrefilledPrompt {
  readonly handle: string;
  readonly promptTokens: number;
}

/** A call that the router makes for itself. */
export interface EndpointCall {
  readonly method: "GET" | "POST" | "DELETE";
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
}

/** What an order to an engine came to. */
export const OrderResult = {
  accepted: "accepted",
  /** It holds already. */
  alreadyApplied: "holds",
  refused: "refused",
} as const;
export type OrderResult = (typeof OrderResult)[keyof typeof OrderResult];

/** An order that an engine change its stage. */
export interface StageOrder {
  readonly stage: string;
  readonly holder: string;
  readonly fence: number;
}

/** Writes calls to endpoints and reads their answers. */
export interface EndpointCodec {
  /** Lists the headers of a send, as names and values in turn. */
  listHeaders(send: EndpointRequest): string[];
  /** Reads the head of an answer to a send. */
  readResponseHead(send: EndpointRequest, status: number, headers: readonly string[]): ResponseHead;
  readPrefilledPrompt(body: Buffer): PrefilledPrompt | undefined;
  createReserveHoldCall(endpoint: EndpointEntry, tokens: number, ttlMs: number): EndpointCall;
  /** Tells of an answer to a call of the router's own whether another endpoint gave it. */
  isMisdirected(status: number): boolean;
  readHold(status: number, body: Buffer): string | undefined;
  createReleaseHoldCall(hold: string): EndpointCall;
  createReleaseHandleCall(handle: string): EndpointCall;
  createStageCall(endpoint: EndpointEntry, order: StageOrder): EndpointCall;
  readOrderResult(status: number): OrderResult;
}
