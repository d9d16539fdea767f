/**
 * Generations as they arrive: a rate that swings in waves and bursts, prompts and outputs of random sizes.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const MS_PER_SECOND = 1000;

/** A burst: so many times the usual rate for a while. */
export interface Burst {
  readonly atMs: number;
  readonly forMs: number;
  readonly factor: number;
}

/** What arrives. */
export interface LoadFigures {
  readonly perSecond: number;
  /** By how much the rate swings, as a share, and over how long. */
  readonly swing: number;
  readonly periodMs: number;
  readonly bursts: readonly Burst[];
  readonly lengthMs: number;
  readonly promptTokens: Size;
  readonly outputTokens: Size;
  readonly targetMs: number;
  readonly deadlineMs: number;
  /** What an answer on time and a late one are worth. */
  readonly worth: number;
  readonly lateWorth: number;
}

/** A size: mean, standard deviation as a share of the mean, greatest. */
export interface Size {
  readonly mean: number;
  readonly spread: number;
  readonly most: number;
}

/** A generation. */
export interface Arrival {
  readonly id: string;
  readonly at: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Gives numbers from 0 up to 1, the same for the same seed. */
export type Draw = () => number;

/**
 * Creates a source of random numbers.
 *
 * @example
 * createDraw(7)(); // the first of a fixed series
 */
export function createDraw(seed: number): Draw {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/**
 * Creates the arrivals of a load.
 *
 * @returns arrivals in order of time
 * @example
 * createArrivals(load, createDraw(7)).length;
 */
export function createArrivals(load: LoadFigures, draw: Draw): readonly Arrival[] {
  const arrivals: Arrival[] = [];
  const most = load.perSecond * (1 + load.swing) * computeMostFactor(load.bursts);
  let at = 0;
  for (;;) {
    at += (-Math.log(1 - draw()) * MS_PER_SECOND) / most;
    if (at >= load.lengthMs) return arrivals;
    if (draw() * most > computeRate(load, at)) continue;
    arrivals.push({
      id: `g${arrivals.length + 1}`,
      at,
      promptTokens: drawSize(load.promptTokens, draw),
      outputTokens: drawSize(load.outputTokens, draw),
    });
  }
}

function computeRate(load: LoadFigures, at: number): number {
  const wave = 1 + load.swing * Math.sin((2 * Math.PI * at) / load.periodMs);
  const burst = load.bursts.find((item) => at >= item.atMs && at < item.atMs + item.forMs);
  return load.perSecond * wave * (burst?.factor ?? 1);
}

function computeMostFactor(bursts: readonly Burst[]): number {
  return Math.max(1, ...bursts.map((burst) => burst.factor));
}

/** Log-normal, by Box and Muller. */
function drawSize(size: Size, draw: Draw): number {
  const sigma = Math.sqrt(Math.log(1 + size.spread ** 2));
  const mu = Math.log(size.mean) - sigma ** 2 / 2;
  const normal = Math.sqrt(-2 * Math.log(1 - draw())) * Math.cos(2 * Math.PI * draw());
  return Math.max(1, Math.min(size.most, Math.round(Math.exp(mu + sigma * normal))));
}
