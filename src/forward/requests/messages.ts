/**
 * Types of forwarded requests and of endpoint responses, and the codec interfaces that an adapter
 * implements for callers and endpoints.
 */
import type { IncomingMessage } from "node:http";
import type * as E from "fp-ts/Either";
import type { Moment } from "../../core/clock";
import type { FleetConfigIndex, FleetRoute, FleetWorkspace } from "../../fleet/config";
import type { EndpointEntry } from "../../fleet/entries";
import type { RegionRule } from "../../fleet/regions";
import type { Refusal } from "../../core/outcome";

/** The size of a generation. */
export interface GenerationSize {
  readonly promptTokens: number;
  /** Maximum that the caller accepts. */
  readonly maxOutputTokens: number;
  /** Length that the caller expects; often far off. */
  readonly expectedOutputTokens: number;
}

/** The contents of a request head. */
export interface RequestHead {
  /** Request id from the caller, new for each of its attempts. */
  readonly id: string;
  readonly method: string;
  readonly host: string;
  /** Path and query, as sent. */
  readonly target: string;
  /** Path without the query. */
  readonly path: string;
  readonly key: string | undefined;
  /** How long the caller waits, in milliseconds; undefined if it does not say. */
  readonly callerTimeoutMs: number | undefined;
  readonly size: GenerationSize | undefined;
  /** Id of the last event that the caller has received; undefined for a stream from its start. */
  readonly lastEventId: string | undefined;
  /** Id of the caller's request that brought the first event of the stream that it takes up again. */
  readonly resumedId: string | undefined;
  /** Ids of the parts of the prompt, in order, without the last one, which is the request's own. */
  readonly promptParts: readonly string[];
  /** Names and values, alternating, of the headers that are forwarded to an endpoint. */
  readonly headers: readonly string[];
}

/** A request that was admitted. */
export interface ForwardRequest {
  readonly head: RequestHead;
  readonly body: Buffer;
  /** The configuration that admitted it, which decides it to its end. */
  readonly configIndex: FleetConfigIndex;
  readonly route: FleetRoute;
  readonly service: string;
  /** Undefined if the request has no known key, which only a public route admits. */
  readonly workspace: FleetWorkspace | undefined;
  /** Priority; 0 is the most urgent. */
  readonly priority: number;
  /** True if its workspace is over its rate: other requests go first. */
  readonly isOverRate: boolean;
  /** Regions in which it may be run, by its route and its workspace. */
  readonly allowedRegions: RegionRule;
  /** Hash by which copies of the same request are recognised. */
  readonly fingerprint: string;
}

/** Decodes requests of callers, and encodes the headers of refusals. */
export interface CallerCodec {
  /** Decodes a request head, or returns a refusal that says what is wrong with it. */
  readHead(request: IncomingMessage): E.Either<Refusal, RequestHead>;
  /** Lists the headers of a refusal, names and values alternating. */
  listRefusalHeaders(id: string | undefined, refusal: Refusal): readonly string[];
}

/** The task of a send. */
export const SendTask = {
  /** Run the whole request. */
  run: "run",
  /** Only read the prompt, and keep its KV cache for another engine. */
  prefill: "prefill",
} as const;
export type SendTask = (typeof SendTask)[keyof typeof SendTask];

/** One send of a request to an endpoint. */
export interface EndpointRequest {
  readonly request: ForwardRequest;
  readonly endpoint: EndpointEntry;
  readonly task: SendTask;
  /** Remaining time until the deadline, in milliseconds. */
  readonly leftMs: number;
  /**
   * The engine that has the prompt's KV cache; undefined if the endpoint reads the prompt itself or
   * has it cached.
   */
  readonly cacheSource: CacheSource | undefined;
  /** Id of the hold that reserves memory at the engine. */
  readonly hold: string | undefined;
  /** Id of the event after which a stream goes on. */
  readonly lastEventId: string | undefined;
  /** Priority at the engine; 0 is first. */
  readonly urgency: number | undefined;
  /**
   * True if it goes on a new connection, where no late copy of another answer can take the place of
   * its own: a costly request that may run once can't be sent again.
   */
  readonly needsNewConnection: boolean;
}

/** The KV cache of a prompt at the engine that read it. */
export interface CacheSource {
  /** The engine, as it was listed when it read the prompt. */
  readonly endpoint: EndpointEntry;
  readonly handle: string;
  /** When the engine drops the KV cache by itself. */
  readonly expiresAt: Moment;
}

/** How a response head relates to the request that was sent. */
export const Verdict = {
  /** The endpoint answers the request. */
  answered: "answered",
  /** The endpoint states that it has not run the request and will not. */
  notRun: "not run",
  /** The address belongs to another endpoint than intended, which has not run the request. */
  misdirected: "misdirected",
  /** A success that does not come from the endpoint itself, or was changed on the way. */
  unauthentic: "unauthentic",
} as const;
export type Verdict = (typeof Verdict)[keyof typeof Verdict];

/** Load that an endpoint reports in its responses. */
export interface EndpointLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /**
   * How long work takes on its machine now, as a multiple of the usual time; absent where the endpoint
   * does not report it, or reports a value out of range.
   */
  readonly slowness?: number;
}

/** The head of an endpoint's response. */
export interface ResponseHead {
  readonly status: number;
  /** Names and values, alternating, of the headers that are returned to the caller. */
  readonly headers: readonly string[];
  readonly verdict: Verdict;
  readonly load: EndpointLoad | undefined;
}

/** A whole response of an endpoint. */
export interface BufferedResponse {
  readonly head: ResponseHead;
  readonly body: Buffer;
  /**
   * False if the response had no length or chunks, so that only the end of its connection says that
   * it is whole, which may be wrong.
   */
  readonly isFramed: boolean;
}

/** What an endpoint says about itself in a response, besides the response to the request. */
export interface EndpointNotice {
  /**
   * How long the endpoint wants no requests from this instance, in milliseconds; undefined if it
   * does not ask for a pause.
   */
  readonly pauseMs: number | undefined;
  readonly isLeaving: boolean;
  /**
   * Requests a second that it takes from all instances together; undefined if it names no limit, or
   * one that can't be read.
   */
  readonly limitPerSecond: number | undefined;
  /** The limit that can't be read, as it was sent. */
  readonly unreadableLimit: string | undefined;
  /** Its load, if it tells it. */
  readonly load?: EndpointLoad | undefined;
  /** How long the endpoint is still cold, in milliseconds; absent if it does not say that it is. */
  readonly coldMs?: number;
}

/** A prompt that a prefill engine has read, with the handle of its KV cache. */
export interface PrefilledPrompt {
  readonly handle: string;
  readonly promptTokens: number;
}

/** A call that the router makes for itself, not for a caller. */
export interface EndpointCall {
  readonly method: "GET" | "POST" | "DELETE";
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  /** True if it must not go over a peer. */
  readonly isDirectOnly?: boolean;
  /** True if it only asks how a run has ended, so that a pause that the endpoint asks for doesn't hold it. */
  readonly isEndCheck?: boolean;
}

/** How an engine answered a stage order. */
export const OrderResult = {
  accepted: "accepted",
  /** The engine already applied this order. */
  alreadyApplied: "holds",
  refused: "refused",
} as const;
export type OrderResult = (typeof OrderResult)[keyof typeof OrderResult];

/** An order to an engine to change its stage, with its fencing token. */
export interface StageOrder {
  readonly stage: string;
  readonly holder: string;
  readonly fence: number;
}

/** Encodes requests and calls to endpoints, and decodes their responses. */
export interface EndpointCodec {
  /** Lists the headers of a request to an endpoint, names and values alternating. */
  listHeaders(send: EndpointRequest): string[];
  /** Reads the id of the request that a response names; undefined if it names none. */
  readAnsweredId(headers: readonly string[]): string | undefined;
  /** Decodes the head of a response to a request. */
  readResponseHead(send: EndpointRequest, status: number, headers: readonly string[]): ResponseHead;
  /** Decodes what the headers of any response, also to a router call, say about the endpoint. */
  readNotice(status: number, headers: readonly string[]): EndpointNotice;
  readPrefilledPrompt(body: Buffer): PrefilledPrompt | undefined;
  createReserveHoldCall(endpoint: EndpointEntry, tokens: number, ttlMs: number): EndpointCall;
  /**
   * Returns true if the status of a response to a router call says that another endpoint than
   * intended answered.
   */
  isMisdirected(status: number): boolean;
  readHold(status: number, body: Buffer): string | undefined;
  createReleaseHoldCall(endpoint: EndpointEntry, hold: string): EndpointCall;
  createReleaseHandleCall(endpoint: EndpointEntry, handle: string): EndpointCall;
  createStageCall(endpoint: EndpointEntry, order: StageOrder): EndpointCall;
  readOrderResult(status: number): OrderResult;
  /** Creates the call by which an endpoint tells which process it is; undefined if it has none. */
  createReportCall(endpoint: EndpointEntry): EndpointCall | undefined;
  /**
   * Reads when the process started that answers a report call, in milliseconds of its own wall clock;
   * undefined if it does not tell.
   */
  readProcessStart(status: number, body: Buffer): number | undefined;
}
