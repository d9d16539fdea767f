/**
 * Estimates how long work takes at an endpoint in relation to the other endpoints of its service, from
 * the times that this instance measured there and from the slowness that the endpoint reports. Endpoints
 * of one service differ in speed by more than two to one, and some slow down for tenths of a second.
 */
import type { Moment } from "../../core/clock";

/** Weight of one sample in the averages of an endpoint. */
const SAMPLE_WEIGHT = 0.2;
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
  /** True if the time may hold the opening of a connection; the first such time does not count. */
  readonly mayHoldConnect?: boolean;
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
  /** True while the one sample may be the time of a new connection rather than the endpoint's. */
  isProvisional: boolean;
  at: Moment;
}

/** Averages of the endpoints of a kind of work, as logarithms of milliseconds. */
interface Typical {
  readonly mean: number;
  readonly normalMean: number;
}

/** The endpoints that were measured for a kind of work. */
class LearntKind {
  readonly byEndpoint = new Map<string, Learnt>();
  private meanSum = 0;
  private normalMeanSum = 0;
  /** Number of endpoints of which the averages are in the sums. */
  private count = 0;

  /**
   * The averages of what is learnt of each endpoint now. One that was not measured counts as typical:
   * against an average over time, it would lose to all others whenever times have become shorter.
   */
  readTypical(): Typical | undefined {
    const { count } = this;
    if (count === 0) return this.readProvisional();
    return { mean: this.meanSum / count, normalMean: this.normalMeanSum / count };
  }

  add(endpoint: string, learnt: Learnt): void {
    this.byEndpoint.set(endpoint, learnt);
    if (!learnt.isProvisional) this.addToSums(learnt, 1);
  }

  remove(endpoint: string): void {
    const learnt = this.byEndpoint.get(endpoint);
    if (learnt === undefined) return;
    this.byEndpoint.delete(endpoint);
    if (!learnt.isProvisional) this.addToSums(learnt, -1);
  }

  /** Records a time at an endpoint that was measured before. */
  record(learnt: Learnt, time: number, normalTime: number, now: Moment): void {
    if (learnt.isProvisional) {
      Object.assign(learnt, { mean: time, normalMean: normalTime, isProvisional: false, at: now });
      this.addToSums(learnt, 1);
      return;
    }
    this.addToSums(learnt, -1);
    learnt.error += ((time - learnt.mean) ** 2 - learnt.error) * SAMPLE_WEIGHT;
    learnt.normalError +=
      ((normalTime - learnt.normalMean) ** 2 - learnt.normalError) * SAMPLE_WEIGHT;
    learnt.mean += (time - learnt.mean) * SAMPLE_WEIGHT;
    learnt.normalMean += (normalTime - learnt.normalMean) * SAMPLE_WEIGHT;
    learnt.samples += 1;
    learnt.at = now;
    this.addToSums(learnt, 1);
  }

  /** What is typical while all that was measured is provisional; undefined if nothing was. */
  private readProvisional(): Typical | undefined {
    const [first] = this.byEndpoint.values();
    return first && { mean: first.mean, normalMean: first.normalMean };
  }

  private addToSums({ mean, normalMean }: Typical, sign: 1 | -1): void {
    this.count += sign;
    this.meanSum += sign * mean;
    this.normalMeanSum += sign * normalMean;
  }
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
  private readonly kinds = new Map<string, LearntKind>();

  /**
   * Records a piece of work that ended at an endpoint.
   *
   * @param kind - from `createWorkKind`
   * @param report - what the endpoint reported with its answer
   */
  recordSample(
    kind: string,
    endpoint: string,
    { ms, units, mayHoldConnect = false }: SpeedSample,
    report: SlownessReport | undefined,
    now: Moment,
  ): void {
    if (!(ms > 0) || !(units > 0)) return;
    const time = Math.log(ms / units);
    const normalTime = time - Math.log(report?.factor ?? 1);
    const learntKind = this.kinds.get(kind) ?? new LearntKind();
    this.kinds.set(kind, learntKind);
    const known = learntKind.byEndpoint.get(endpoint);
    if (known !== undefined) {
      learntKind.record(known, time, normalTime, now);
      return;
    }
    const fresh = { mean: time, normalMean: normalTime, error: 0, normalError: 0 };
    learntKind.add(endpoint, { ...fresh, samples: 1, isProvisional: mayHoldConnect, at: now });
  }

  /** Estimates the speed of an endpoint for a kind of work. */
  estimate(
    kind: string,
    endpoint: string,
    report: SlownessReport | undefined,
    now: Moment,
  ): SpeedEstimate {
    const learntKind = this.kinds.get(kind);
    const typical = learntKind?.readTypical();
    const known = learntKind?.byEndpoint.get(endpoint);
    const learnt = known?.isProvisional === true ? undefined : known;
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
    for (const [kind, learntKind] of this.kinds) {
      for (const endpoint of learntKind.byEndpoint.keys()) {
        if (!isListed(endpoint)) learntKind.remove(endpoint);
      }
      if (learntKind.byEndpoint.size === 0) this.kinds.delete(kind);
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
