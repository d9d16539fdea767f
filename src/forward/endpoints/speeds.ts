/**
 * Estimates how long work takes at an endpoint in relation to the other endpoints of its service, from
 * the times that this instance measured there and from the slowness that the endpoint reports. Endpoints
 * of one service differ in speed by more than two to one, and some slow down for tenths of a second.
 */
import type { Moment } from "../../core/clock";

/** Weight of one sample in the averages of an endpoint. */
const SAMPLE_WEIGHT = 0.2;
/** Weight of one sample in the average over all endpoints. */
const TYPICAL_WEIGHT = 0.05;
/** Half-life of what was learnt of an endpoint, in milliseconds: one that was slow is tried again. */
const LEARNT_HALF_LIFE_MS = 3000;
/** Half-life of a reported slowness, in milliseconds: it changes many times a second. */
const REPORT_HALF_LIFE_MS = 400;
/** Age from which a reported slowness no longer says that an endpoint reports any, in milliseconds. */
const REPORT_TTL_MS = 10_000;
/** Number of samples from which the measured times can contradict a report or show a difference. */
const MIN_SAMPLES = 8;
/** Squared error of the logarithm of a time, about 15 percent, below which no report is doubted. */
const TOLERATED_ERROR = 0.02;
/** Learnt times that differ by this factor differ clearly; less is within what load explains. */
const CLEAR_DIFFERENCE = 1.5;
/** Number of standard errors that a clear difference exceeds, so that chance rarely shows one. */
const CLEAR_ERRORS = 4;

/** A slowness that an endpoint reported. */
export interface SlownessReport {
  /** Multiple of the usual time that work takes. */
  readonly factor: number;
  readonly ageMs: number;
}

/** What is known of the speed of one endpoint for one kind of work. */
export interface SpeedEstimate {
  /** Expected time without a queue, as a multiple of the typical one of all endpoints. */
  readonly ratio: number;
  /** The expected time of one unit of work, in milliseconds; undefined before the first sample. */
  readonly ms: number | undefined;
  /** True if the endpoint reports its slowness. */
  readonly isReported: boolean;
  /** What was measured, for the comparison with other endpoints; undefined if it is too little. */
  readonly measured: MeasuredSpeed | undefined;
}

/** The measured time of an endpoint, as logarithms of milliseconds. */
export interface MeasuredSpeed {
  readonly mean: number;
  /** Variance of the mean. */
  readonly variance: number;
}

/** A measured piece of work at an endpoint. */
export interface SpeedSample {
  /** From the start of the work to its end, in milliseconds. */
  readonly ms: number;
  /** Amount of work, such as prompt tokens; with the work that was ahead of it. */
  readonly units: number;
}

interface Learnt {
  /** Moving average of the logarithms of the measured times. */
  mean: number;
  /** The same, of the times divided by the slowness that was reported with them. */
  normalMean: number;
  /** Moving averages of the squared errors with which the two averages predicted the times. */
  error: number;
  normalError: number;
  samples: number;
  at: Moment;
}

/** Averages over all endpoints, as logarithms of milliseconds. */
interface Typical {
  mean: number;
  normalMean: number;
}

/**
 * Creates the name of a kind of work: work of one kind takes the same time at endpoints of the same speed.
 *
 * @param task - the route of a plain service, or the stage of an engine
 * @example
 * createWorkKind("lookups", "job-sheets");
 */
export function createWorkKind(task: string, service: string): string {
  return `${task}@${service}`;
}

/** Learns the speeds of endpoints for each kind of work. */
export class SpeedTracker {
  /** By kind of work and endpoint. */
  private readonly learnt = new Map<string, Map<string, Learnt>>();
  private readonly typical = new Map<string, Typical>();

  /**
   * Records a piece of work that ended at an endpoint.
   *
   * @param kind - from `createWorkKind`
   * @param report - what the endpoint reported with its answer
   */
  recordSample(
    kind: string,
    endpoint: string,
    { ms, units }: SpeedSample,
    report: SlownessReport | undefined,
    now: Moment,
  ): void {
    if (!(ms > 0) || !(units > 0)) return;
    const time = Math.log(ms / units);
    const normalTime = time - Math.log(report?.factor ?? 1);
    const typical = this.typical.get(kind) ?? { mean: time, normalMean: normalTime };
    typical.mean += (time - typical.mean) * TYPICAL_WEIGHT;
    typical.normalMean += (normalTime - typical.normalMean) * TYPICAL_WEIGHT;
    this.typical.set(kind, typical);
    const byEndpoint = this.learnt.get(kind) ?? new Map<string, Learnt>();
    this.learnt.set(kind, byEndpoint);
    const known = byEndpoint.get(endpoint);
    if (known === undefined) {
      const fresh = { mean: time, normalMean: normalTime, error: 0, normalError: 0 };
      byEndpoint.set(endpoint, { ...fresh, samples: 1, at: now });
      return;
    }
    known.error += ((time - known.mean) ** 2 - known.error) * SAMPLE_WEIGHT;
    known.normalError += ((normalTime - known.normalMean) ** 2 - known.normalError) * SAMPLE_WEIGHT;
    known.mean += (time - known.mean) * SAMPLE_WEIGHT;
    known.normalMean += (normalTime - known.normalMean) * SAMPLE_WEIGHT;
    known.samples += 1;
    known.at = now;
  }

  /** Estimates the speed of an endpoint for a kind of work. */
  estimate(
    kind: string,
    endpoint: string,
    report: SlownessReport | undefined,
    now: Moment,
  ): SpeedEstimate {
    const typical = this.typical.get(kind);
    const learnt = this.learnt.get(kind)?.get(endpoint);
    const freshness = learnt === undefined ? 0 : 2 ** (-(now - learnt.at) / LEARNT_HALF_LIFE_MS);
    const learntLog = learnt && typical ? (learnt.mean - typical.mean) * freshness : 0;
    const isReported = report !== undefined && report.ageMs < REPORT_TTL_MS;
    let ratioLog = learntLog;
    if (isReported) {
      const machineLog = learnt && typical ? learnt.normalMean - typical.mean : 0;
      const unmeasuredLog = typical ? typical.normalMean - typical.mean : 0;
      const ownLog = learnt === undefined ? unmeasuredLog : machineLog;
      const weight = computeTrust(learnt) * 2 ** (-report.ageMs / REPORT_HALF_LIFE_MS);
      ratioLog = weight * (ownLog + Math.log(report.factor)) + (1 - weight) * learntLog;
    }
    const ratio = Math.exp(ratioLog);
    return {
      ratio,
      ms: typical === undefined ? undefined : Math.exp(typical.mean) * ratio,
      isReported,
      measured: readMeasured(learnt),
    };
  }

  /** Removes endpoints that are no longer listed. */
  prune(isListed: (endpoint: string) => boolean): void {
    for (const [kind, byEndpoint] of this.learnt) {
      for (const endpoint of byEndpoint.keys()) {
        if (!isListed(endpoint)) byEndpoint.delete(endpoint);
      }
      if (byEndpoint.size > 0) continue;
      this.learnt.delete(kind);
      this.typical.delete(kind);
    }
  }
}

/**
 * Checks whether endpoints are chosen by expected time: one of them reports its slowness, or their
 * measured times differ clearly. Where neither holds, the load alone decides, as nothing is gained from
 * chance differences.
 *
 * @param estimates - those of the endpoints to choose from
 * @example
 * hasSpeedDifference([fast, slow]); // true if one takes 1.5 times as long
 */
export function hasSpeedDifference(estimates: readonly SpeedEstimate[]): boolean {
  let fastest: MeasuredSpeed | undefined;
  let slowest: MeasuredSpeed | undefined;
  for (const { isReported, measured } of estimates) {
    if (isReported) return true;
    if (measured === undefined) continue;
    if (fastest === undefined || measured.mean < fastest.mean) fastest = measured;
    if (slowest === undefined || measured.mean > slowest.mean) slowest = measured;
  }
  if (fastest === undefined || slowest === undefined) return false;
  const error = Math.sqrt(fastest.variance + slowest.variance);
  const minDifference = Math.max(Math.log(CLEAR_DIFFERENCE), error * CLEAR_ERRORS);
  return slowest.mean - fastest.mean >= minDifference;
}

/** Computes the weight of a report, from 0 to 1: less where the times are predicted better without it. */
function computeTrust(learnt: Learnt | undefined): number {
  if (learnt === undefined || learnt.samples < MIN_SAMPLES) return 1;
  const { error, normalError } = learnt;
  return Math.min(1, (error + TOLERATED_ERROR) / (normalError + TOLERATED_ERROR)) ** 2;
}

function readMeasured(learnt: Learnt | undefined): MeasuredSpeed | undefined {
  if (learnt === undefined || learnt.samples < MIN_SAMPLES) return undefined;
  // The variance of a moving average of independent samples.
  const variance = (learnt.error * SAMPLE_WEIGHT) / (2 - SAMPLE_WEIGHT);
  return { mean: learnt.mean, variance };
}
