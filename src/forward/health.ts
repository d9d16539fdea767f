/**
 * What this instance has seen of each endpoint: load, failures, silence.
 */
import type { Moment } from "../core/clock";
import type { EndpointLoad } from "./messages";

/** How long an endpoint that could not be reached is passed over at first, in milliseconds. */
const UNREACHABLE_COOLDOWN_MS = 1500;
/** The longest, for one that cannot be reached again and again, in milliseconds. */
const MAX_UNREACHABLE_COOLDOWN_MS = 6000;
/** How long an endpoint that was full is passed over where another is left, in milliseconds. */
const FULL_COOLDOWN_MS = 150;
/** The share that one outcome has in the running failure rate. */
const FAILURE_WEIGHT = 0.15;
/** The share that one answer has in the running latency. */
const LATENCY_WEIGHT = 0.1;
/** How fast a failure rate fades while nothing is sent, as a half-life in milliseconds. */
const FAILURE_HALF_LIFE_MS = 4000;
/** How long the load that an endpoint told counts, in milliseconds. */
const LOAD_TTL_MS = 1500;
/** A call that takes this many times as long as usual counts as a silence. */
const OVERDUE_FACTOR = 5;
/** A call younger than this is never a silence, in milliseconds. */
const MIN_OVERDUE_MS = 450;
/** Latency that is taken before anything was measured, in milliseconds. */
const INITIAL_LATENCY_MS = 100;

interface Health {
  failureRate: number;
  failureAt: Moment;
  latencyMs: number;
  unreachableDeadline: Moment;
  /** How often in a row it could not be reached. */
  unreachableCount: number;
  fullDeadline: Moment;
  reportedLoad: EndpointLoad | undefined;
  reportedAt: Moment;
  sentSinceReport: number;
  readonly openCalls: Set<{ readonly startedAt: Moment }>;
}

/** A call under way at an endpoint. */
export interface OpenCall {
  /** Notes how it ended; only the first note counts. */
  end(outcome: CallOutcome, now: Moment): void;
}

/** How a call to an endpoint ended. */
export const CallOutcome = {
  success: "success",
  /** The endpoint failed it, or answered nothing that can be used. */
  failure: "failure",
  /** The endpoint had no room. */
  full: "full",
  /** No connection could be had. */
  unreachable: "unreachable",
  /** Nobody waits for it any more. */
  abandoned: "abandoned",
} as const;
export type CallOutcome = (typeof CallOutcome)[keyof typeof CallOutcome];

/** How an endpoint looks from here. */
export interface HealthView {
  /** Requests there, as far as is known. */
  readonly load: number;
  /** From 0 to 1. */
  readonly failureRate: number;
  readonly isUnreachable: boolean;
  readonly isFull: boolean;
  /** True where a call waits far longer than usual. */
  readonly hasOverdueCall: boolean;
}

/** The health of all endpoints, by their id. */
export class HealthTracker {
  private readonly known = new Map<string, Health>();

  /** Notes that a call begins. */
  beginCall(id: string, now: Moment): OpenCall {
    const health = this.find(id);
    const call = { startedAt: now };
    health.openCalls.add(call);
    health.sentSinceReport += 1;
    return {
      end: (outcome, endedAt) => {
        if (!health.openCalls.delete(call)) return;
        recordOutcome(health, outcome, endedAt, endedAt - call.startedAt);
      },
    };
  }

  /** Notes the load that an endpoint told. */
  recordLoad(id: string, load: EndpointLoad, now: Moment): void {
    const health = this.find(id);
    health.reportedLoad = load;
    health.reportedAt = now;
    health.sentSinceReport = 0;
  }

  /** Reads how an endpoint looks. */
  readView(id: string, now: Moment): HealthView {
    const health = this.known.get(id);
    if (health === undefined) {
      return {
        load: 0,
        failureRate: 0,
        isUnreachable: false,
        isFull: false,
        hasOverdueCall: false,
      };
    }
    const reportedLoad = health.reportedLoad;
    const isFresh = reportedLoad !== undefined && now - health.reportedAt < LOAD_TTL_MS;
    const reportedRequests = isFresh
      ? reportedLoad.running + reportedLoad.waiting + health.sentSinceReport
      : 0;
    const overdueMs = Math.max(MIN_OVERDUE_MS, health.latencyMs * OVERDUE_FACTOR);
    return {
      load: Math.max(health.openCalls.size, reportedRequests),
      failureRate: computeFailureRate(health, now),
      isUnreachable: health.unreachableDeadline > now,
      isFull: health.fullDeadline > now,
      hasOverdueCall: [...health.openCalls].some((call) => now - call.startedAt > overdueMs),
    };
  }

  /** Reads how long an answer usually takes, in milliseconds. */
  readLatencyMs(id: string): number {
    return this.known.get(id)?.latencyMs ?? INITIAL_LATENCY_MS;
  }

  /** Forgets endpoints that are no longer listed. */
  prune(isListed: (id: string) => boolean): void {
    for (const id of this.known.keys()) if (!isListed(id)) this.known.delete(id);
  }

  private find(id: string): Health {
    const known = this.known.get(id);
    if (known !== undefined) return known;
    const health: Health = {
      failureRate: 0,
      failureAt: 0,
      latencyMs: INITIAL_LATENCY_MS,
      unreachableDeadline: 0,
      unreachableCount: 0,
      fullDeadline: 0,
      reportedLoad: undefined,
      reportedAt: 0,
      sentSinceReport: 0,
      openCalls: new Set(),
    };
    this.known.set(id, health);
    return health;
  }
}

function recordOutcome(health: Health, outcome: CallOutcome, now: Moment, tookMs: number): void {
  if (outcome === CallOutcome.abandoned) return;
  if (outcome === CallOutcome.full) {
    health.fullDeadline = now + FULL_COOLDOWN_MS;
    return;
  }
  if (outcome === CallOutcome.unreachable) {
    const ms = Math.min(
      MAX_UNREACHABLE_COOLDOWN_MS,
      UNREACHABLE_COOLDOWN_MS * 2 ** health.unreachableCount,
    );
    health.unreachableDeadline = now + ms;
    health.unreachableCount += 1;
  }
  const isFailure = outcome !== CallOutcome.success;
  const rate = computeFailureRate(health, now);
  health.failureRate = rate + ((isFailure ? 1 : 0) - rate) * FAILURE_WEIGHT;
  health.failureAt = now;
  if (isFailure) return;
  health.unreachableDeadline = 0;
  health.unreachableCount = 0;
  health.latencyMs += (tookMs - health.latencyMs) * LATENCY_WEIGHT;
}

function computeFailureRate(health: Health, now: Moment): number {
  return health.failureRate * 2 ** (-(now - health.failureAt) / FAILURE_HALF_LIFE_MS);
}
