/**
 * Tracks the load, the failures and the overdue calls of each endpoint, as this instance sees them.
 */
import type { Moment } from "../../core/clock";
import type { EndpointLoad } from "../requests";
import { type SlownessReport, type SpeedEstimate, type SpeedSample, SpeedTracker } from "./speeds";

/**
 * How long an unreachable endpoint is avoided if there is another, in milliseconds; doubles with
 * every failure in a row to reach it.
 */
const UNREACHABLE_COOLDOWN_MS = 1500;
/**
 * Maximum of UNREACHABLE_COOLDOWN_MS for an endpoint that is unreachable repeatedly, in
 * milliseconds.
 */
const MAX_UNREACHABLE_COOLDOWN_MS = 6000;
/** How long an endpoint that was full is avoided if there is another, in milliseconds. */
const FULL_COOLDOWN_MS = 150;
/** Weight of one outcome in the moving average of failures. */
const FAILURE_WEIGHT = 0.15;
/** Weight of one response in the moving average of latency. */
const LATENCY_WEIGHT = 0.1;
/** Half-life of the failure rate while nothing is sent, in milliseconds. */
const FAILURE_HALF_LIFE_MS = 4000;
/** How long the load that an endpoint reported counts, in milliseconds. */
const LOAD_TTL_MS = 1500;
/**
 * How long the load that an engine with a slowness reported is compared with what peers report, in
 * milliseconds: their reports are as old.
 */
const LOAD_REPORT_TTL_MS = 500;
/** A call is overdue once it takes this many times the usual latency. */
const OVERDUE_FACTOR = 5;
/** A call younger than this is never overdue, in milliseconds. */
const MIN_OVERDUE_MS = 450;
/** Latency assumed before the first measurement, in milliseconds. */
const INITIAL_LATENCY_MS = 100;

interface Health {
  failureRate: number;
  failureAt: Moment;
  latencyMs: number;
  unreachableDeadline: Moment;
  /** Number of times in a row that it was unreachable. */
  unreachableCount: number;
  fullDeadline: Moment;
  reportedLoad: EndpointLoad | undefined;
  reportedAt: Moment;
  sentSinceReport: number;
  /** True if it last told its load without a slowness. */
  tellsPlainLoad: boolean;
  readonly openCalls: Set<{ readonly startedAt: Moment }>;
}

/** A call in progress at an endpoint. */
export interface OpenCall {
  /** Records how the call ended; only the first time counts. */
  end(outcome: CallOutcome, now: Moment): void;
}

/** How a call to an endpoint ended. */
export const CallOutcome = {
  success: "success",
  /** The endpoint failed the call, or sent no usable response. */
  failure: "failure",
  /** The endpoint had no room. */
  full: "full",
  /** No connection could be opened. */
  unreachable: "unreachable",
  /** The caller left, so the call says nothing about the endpoint. */
  abandoned: "abandoned",
} as const;
export type CallOutcome = (typeof CallOutcome)[keyof typeof CallOutcome];

/** The health of an endpoint as this instance sees it. */
export interface HealthView {
  /** Requests at the endpoint, as far as is known. */
  readonly load: number;
  /** Moving average of failures, from 0 to 1. */
  readonly failureRate: number;
  readonly isUnreachable: boolean;
  readonly isFull: boolean;
  /** True while a call takes far longer than usual. */
  readonly hasOverdueCall: boolean;
  /** What the endpoint last reported of its slowness; undefined if it reports none. */
  readonly slowness: SlownessReport | undefined;
}

/** Tracks the health of all endpoints by their id. */
export class HealthTracker {
  private readonly healthById = new Map<string, Health>();
  private readonly speeds = new SpeedTracker();

  /** Records the start of a call. */
  beginCall(id: string, now: Moment): OpenCall {
    const health = this.findOrCreate(id);
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

  /** Records the load that an endpoint reported. */
  recordLoad(id: string, load: EndpointLoad, now: Moment): void {
    const health = this.findOrCreate(id);
    health.reportedLoad = load;
    health.tellsPlainLoad = load.slowness === undefined;
    health.reportedAt = now;
    health.sentSinceReport = 0;
  }

  /**
   * Records the load that an endpoint told in an answer of any kind. One without a slowness counts in
   * answers to runs of plain services only.
   */
  recordLoadOfAnswer(id: string, load: EndpointLoad, now: Moment): void {
    if (load.slowness === undefined) this.findOrCreate(id).tellsPlainLoad = true;
    else this.recordLoad(id, load, now);
  }

  /** Reads the load of an endpoint that reports its slowness; undefined if it is too old. */
  readLoadReport(id: string, now: Moment): EndpointLoad | undefined {
    const health = this.healthById.get(id);
    const isFresh = health !== undefined && now - health.reportedAt < LOAD_REPORT_TTL_MS;
    return isFresh && health.reportedLoad?.slowness !== undefined ? health.reportedLoad : undefined;
  }

  /** Records how long a piece of work took at an endpoint. */
  recordWork(kind: string, id: string, sample: SpeedSample, now: Moment): void {
    const health = this.healthById.get(id);
    this.speeds.recordSample(kind, id, sample, health && readSlowness(health, now), now);
  }

  /**
   * Estimates the speed of an endpoint for a kind of work. One that tells its load without a slowness
   * is not compared with others by the measured times, as its load explains them.
   */
  estimateSpeed(kind: string, id: string, now: Moment): SpeedEstimate {
    const health = this.healthById.get(id);
    const estimate = this.speeds.estimate(kind, id, health && readSlowness(health, now), now);
    return health?.tellsPlainLoad === true ? { ...estimate, measured: undefined } : estimate;
  }

  /** Computes the health of an endpoint; one without calls counts as healthy. */
  readView(id: string, now: Moment): HealthView {
    const health = this.healthById.get(id);
    if (health === undefined) {
      return {
        load: 0,
        failureRate: 0,
        isUnreachable: false,
        isFull: false,
        hasOverdueCall: false,
        slowness: undefined,
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
      slowness: readSlowness(health, now),
    };
  }

  /** Returns the usual latency of an endpoint, in milliseconds. */
  readLatencyMs(id: string): number {
    return this.healthById.get(id)?.latencyMs ?? INITIAL_LATENCY_MS;
  }

  /** Removes endpoints that are no longer listed. */
  prune(isListed: (id: string) => boolean): void {
    for (const id of this.healthById.keys()) if (!isListed(id)) this.healthById.delete(id);
    this.speeds.prune(isListed);
  }

  private findOrCreate(id: string): Health {
    const known = this.healthById.get(id);
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
      tellsPlainLoad: false,
      openCalls: new Set(),
    };
    this.healthById.set(id, health);
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

function readSlowness(
  { reportedLoad, reportedAt }: Health,
  now: Moment,
): SlownessReport | undefined {
  const factor = reportedLoad?.slowness;
  return factor === undefined ? undefined : { factor, ageMs: now - reportedAt };
}

function computeFailureRate(health: Health, now: Moment): number {
  return health.failureRate * 2 ** (-(now - health.failureAt) / FAILURE_HALF_LIFE_MS);
}
