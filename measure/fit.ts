/**
 * Least-squares fits of what is measured at several sizes.
 */

const REPEATS = 5;

/** One measured slope: y = base + slope * size. */
export interface Slope {
  readonly what: string;
  readonly unit: string;
  readonly sizes: readonly number[];
  readonly values: readonly number[];
  readonly slope: number;
  readonly base: number;
  /** Root of the mean square of what the fit leaves, as a share of the largest value. */
  readonly residual: number;
}

/** Fits bytes that are counted. */
export function measureBytes(
  what: string,
  sizes: readonly number[],
  count: (size: number) => number,
): Slope {
  return fit(what, "bytes", sizes, sizes.map(count));
}

/** Fits the time of a prepared act, the least of some tries. */
export function measureMicros(
  what: string,
  sizes: readonly number[],
  prepare: (size: number) => () => void,
): Slope {
  const values = sizes.map((size) => {
    const act = prepare(size);
    const times = range(REPEATS).map(() => timeMicros(act));
    return Math.min(...times);
  });
  return fit(what, "us", sizes, values);
}

/** The mean of as many calls as fit into 20 ms. */
function timeMicros(act: () => void): number {
  const start = performance.now();
  let calls = 0;
  while (performance.now() - start < 20) {
    act();
    calls += 1;
  }
  return ((performance.now() - start) * 1000) / calls;
}

/** Fits the heap that what is created takes. */
export function measureMemory(
  what: string,
  sizes: readonly number[],
  create: (size: number) => unknown,
): Slope {
  const values = sizes.map((size) => {
    globalThis.gc?.();
    const before = process.memoryUsage().heapUsed;
    const kept = [create(size)];
    globalThis.gc?.();
    const used = process.memoryUsage().heapUsed - before;
    kept.pop();
    return used;
  });
  return fit(what, "bytes of heap", sizes, values);
}

function fit(
  what: string,
  unit: string,
  sizes: readonly number[],
  values: readonly number[],
): Slope {
  const mean = (items: readonly number[]) =>
    items.reduce((sum, item) => sum + item, 0) / items.length;
  const [meanSize, meanValue] = [mean(sizes), mean(values)];
  const covariance = mean(
    sizes.map((size, index) => (size - meanSize) * ((values[index] ?? 0) - meanValue)),
  );
  const slope = covariance / mean(sizes.map((size) => (size - meanSize) ** 2));
  const base = meanValue - slope * meanSize;
  const left = mean(sizes.map((size, index) => (base + slope * size - (values[index] ?? 0)) ** 2));
  const residual = Math.sqrt(left) / Math.max(...values.map(Math.abs));
  const round = (value: number) => Number(value.toPrecision(4));
  return {
    what,
    unit,
    sizes,
    values: values.map(round),
    slope: round(slope),
    base: round(base),
    residual: round(residual),
  };
}

/** Lists the whole numbers below a size. */
export function range(size: number): readonly number[] {
  return Array.from({ length: size }, (_, index) => index);
}
