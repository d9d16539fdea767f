/**
 * What callers and endpoints of a soak saw, and what was done to the fleet meanwhile. Times are milliseconds from the
 * start of the traffic.
 */
import type { Fault } from "./faults";

/** The kinds of requests, by the path prefix of their route. */
export const CallKind = {
  /** A plain request that may run more than once. */
  any: "any",
  /** A plain request that may run once. */
  once: "once",
  /** As `once`, charged to a workspace. */
  keyed: "keyed",
  /** A generation that may run once. */
  draft: "draft",
  /** A generation that may be resumed. */
  summary: "summary",
} as const;
export type CallKind = (typeof CallKind)[keyof typeof CallKind];

/** The kinds that may run at most once. */
export const ONCE_KINDS: ReadonlySet<CallKind> = new Set([
  CallKind.once,
  CallKind.keyed,
  CallKind.draft,
]);

/** The kinds whose answers are streams. */
export const STREAM_KINDS: ReadonlySet<CallKind> = new Set([CallKind.draft, CallKind.summary]);

/** What a request takes up. */
export interface TakenUp {
  /** Id of the first request of the stream. */
  readonly stream: string;
  /** Number of the last event that the caller had. */
  readonly after: number;
}

/** A request of a caller, which is never sent again but to take a stream up, and how it ended. */
export interface Try {
  readonly id: string;
  readonly kind: CallKind;
  readonly instance: string;
  readonly sentAt: number;
  readonly endedAt: number;
  /** How long the caller waits, in milliseconds. */
  readonly patienceMs: number;
  /** Zero if there was no answer. */
  readonly status: number;
  /** The id that the answer names. */
  readonly answeredId: string | undefined;
  readonly body: string;
  /** Its content type; undefined if it names none. */
  readonly type?: string | undefined;
  /** True if the answer was received in full. */
  readonly isComplete: boolean;
  /** Code of the error that ended the connection, or how else it ended without an answer; empty if it did not. */
  readonly failure: string;
  /** The stream that it takes up; undefined if it begins one. */
  readonly takenUp?: TakenUp | undefined;
  /** True if its caller left before the end. */
  readonly isLeft?: boolean;
  /** True if its caller speaks HTTP/1.0, which has no chunks. */
  readonly isOldCaller?: boolean;
}

/**
 * Gets the name of the stream that a request begins or takes up.
 *
 * @example
 * getStream(takeUp); // "nizwa-1-summary-7", of "nizwa-1-summary-7.2"
 */
export function getStream({ id, takenUp }: Try): string {
  return takenUp?.stream ?? id;
}

/** A request as it reached an endpoint that began to run it. */
export interface Run {
  readonly id: string;
  readonly endpoint: string;
  readonly at: number;
  /** The request whose prompt the run goes on from; undefined if the run names none. */
  readonly promptOf: string | undefined;
}

/** An end of an instance's process. */
export interface ProcessEnd {
  readonly instance: string;
  readonly at: number;
  /** The exit code or the signal. */
  readonly cause: string;
  /** True if the soak had sent a signal that ends a process. */
  readonly isExpected: boolean;
}

/** All that a soak recorded. */
export interface History {
  readonly tries: readonly Try[];
  readonly runs: readonly Run[];
  /** Faults as they were played, with the actual times. */
  readonly faults: readonly Fault[];
  readonly ends: readonly ProcessEnd[];
  /** When the last fault had ended. */
  readonly calmAt: number;
}

/** A promise that was not kept. */
export interface Breach {
  readonly rule: string;
  readonly message: string;
  /** Ids of requests that show it. */
  readonly ids: readonly string[];
}

/** The refusal in the body of an answer. */
export interface RefusalBody {
  readonly reason: string;
  readonly outcome: string;
}

/**
 * Reads the refusal that an answer holds; undefined for any other answer.
 *
 * @example
 * readRefusal(answer)?.outcome; // "not run"
 */
export function readRefusal({ status, body }: Try): RefusalBody | undefined {
  if (status === 0 || status === 200) return undefined;
  const reason = /"type":"(\w+)"/.exec(body)?.[1] ?? "";
  const outcome = /"outcome":"([\w ]+)"/.exec(body)?.[1] ?? "";
  return { reason, outcome };
}
