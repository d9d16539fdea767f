/**
 * Generates the arrivals of a simulated load: a Poisson process whose rate follows a sine wave and bursts, with
 * log-normal prompt and output sizes.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const MS_PER_SECOND = 1000;

/** A burst: a multiple of the base rate for a limited time. */
export interface Burst {
  readonly startMs: number;
  readonly durationMs: number;
  readonly factor: number;
}

/** The arrival rate, the request sizes and the latency targets of a load. */
export interface LoadParameters {
  readonly requestsPerSecond: number;
  /** Amplitude of the sine wave of the rate, as a share of the base rate, and its period. */
  readonly rateAmplitude: number;
  readonly ratePeriodMs: number;
  readonly bursts: readonly Burst[];
  readonly durationMs: number;
  readonly promptTokens: SizeDistribution;
  readonly outputTokens: SizeDistribution;
  readonly targetLatencyMs: number;
  readonly deadlineMs: number;
  /** Worth of a response whose first token is within the latency target, and of a later one. */
  readonly worth: number;
  readonly lateWorth: number;
  /** A workspace that sends far more than its rate; undefined if there is none. */
  readonly flood?: Flood;
  /** Number of paid priorities that requests are spread over; 1 if undefined. */
  readonly priorities?: number;
}

/** A workspace that exceeds its rate for a limited time. */
export interface Flood {
  readonly startMs: number;
  readonly durationMs: number;
  /** Its rate as a multiple of its usual one. */
  readonly factor: number;
  /** Its usual share of the base rate. */
  readonly share: number;
}

/** A size in tokens: its mean, its standard deviation as a share of the mean, and its upper limit. */
export interface SizeDistribution {
  readonly mean: number;
  readonly coefficientOfVariation: number;
  readonly max: number;
}

/** A generation request; `arrivedAt` is in milliseconds of virtual time. */
export interface Arrival {
  readonly id: string;
  readonly arrivedAt: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Paid priority; 0 is the most urgent. */
  readonly priority: number;
  /** True if its workspace has exceeded its rate. */
  readonly isOverRate: boolean;
}

/** Returns numbers from 0 up to, but not including, 1; the same sequence for the same seed. */
export type Random = () => number;

/**
 * Creates a seeded random number generator.
 *
 * @example
 * createRandom(7)(); // the first number of a fixed sequence
 */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/**
 * Creates the arrivals of a load by thinning a Poisson process of the highest rate.
 *
 * @returns arrivals in ascending order of time
 * @example
 * createArrivals(load, createRandom(7)).length;
 */
export function createArrivals(load: LoadParameters, random: Random): readonly Arrival[] {
  const arrivals: Arrival[] = [];
  const maxRate = load.requestsPerSecond * (1 + load.rateAmplitude) * computeMaxFactor(load);
  let arrivedAt = 0;
  for (;;) {
    arrivedAt += (-Math.log(1 - random()) * MS_PER_SECOND) / maxRate;
    if (arrivedAt >= load.durationMs) return arrivals;
    if (random() * maxRate > computeRate(load, arrivedAt)) continue;
    arrivals.push({
      id: `g${arrivals.length + 1}`,
      arrivedAt,
      promptTokens: sampleSize(load.promptTokens, random),
      outputTokens: sampleSize(load.outputTokens, random),
      priority: samplePriority(load, random),
      isOverRate: sampleOverRate(load, arrivedAt, random),
    });
  }
}

function computeRate(load: LoadParameters, atMs: number): number {
  const wave = 1 + load.rateAmplitude * Math.sin((2 * Math.PI * atMs) / load.ratePeriodMs);
  const burst = load.bursts.find(
    (item) => atMs >= item.startMs && atMs < item.startMs + item.durationMs,
  );
  return load.requestsPerSecond * wave * ((burst?.factor ?? 1) + computeExcess(load, atMs));
}

function computeMaxFactor({ bursts, flood }: LoadParameters): number {
  const excess = flood === undefined ? 0 : flood.share * (flood.factor - 1);
  return Math.max(1, ...bursts.map((burst) => burst.factor)) + excess;
}

/** Computes the requests beyond the rate of the flooding workspace, as a share of the base rate. */
function computeExcess({ flood }: LoadParameters, atMs: number): number {
  if (flood === undefined) return 0;
  const isActive = atMs >= flood.startMs && atMs < flood.startMs + flood.durationMs;
  return isActive ? flood.share * (flood.factor - 1) : 0;
}

function samplePriority({ priorities }: LoadParameters, random: Random): number {
  return priorities === undefined ? 1 : Math.floor(random() * priorities);
}

function sampleOverRate(load: LoadParameters, atMs: number, random: Random): boolean {
  const excess = computeExcess(load, atMs);
  return excess > 0 && random() < excess / (1 + excess);
}

/** Samples a log-normal distribution by the Box-Muller transform, limited to between 1 and the maximum. */
function sampleSize(size: SizeDistribution, random: Random): number {
  const sigma = Math.sqrt(Math.log(1 + size.coefficientOfVariation ** 2));
  const mu = Math.log(size.mean) - sigma ** 2 / 2;
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return Math.max(1, Math.min(size.max, Math.round(Math.exp(mu + sigma * normal))));
}
