/**
 * Measures bytes, time and memory at several sizes, and fits a line to each by least squares.
 */

const TIMING_REPEATS = 5;

/** A measured quantity and its fitted line: value = base + slope * size. */
export interface Slope {
  readonly what: string;
  readonly unit: string;
  readonly sizes: readonly number[];
  readonly values: readonly number[];
  readonly slope: number;
  readonly base: number;
  /** Root mean square of the residuals of the fit, as a share of the largest value. */
  readonly residual: number;
}

/** Counts bytes at each size, and fits a line to them. */
export function measureBytes(
  what: string,
  sizes: readonly number[],
  count: (size: number) => number,
): Slope {
  return fitSlope(what, "bytes", sizes, sizes.map(count));
}

/** Times a prepared operation at each size, and fits a line to the shortest of several timings. */
export function measureMicros(
  what: string,
  sizes: readonly number[],
  prepare: (size: number) => () => void,
): Slope {
  const values = sizes.map((size) => {
    const operation = prepare(size);
    const times = range(TIMING_REPEATS).map(() => measureCallMicros(operation));
    return Math.min(...times);
  });
  return fitSlope(what, "us", sizes, values);
}

/** Returns the mean duration of as many calls as fit into 20 ms, in microseconds. */
function measureCallMicros(operation: () => void): number {
  const start = performance.now();
  let calls = 0;
  while (performance.now() - start < 20) {
    operation();
    calls += 1;
  }
  return ((performance.now() - start) * 1000) / calls;
}

/**
 * Measures the heap that a created value occupies at each size, and fits a line to it. Needs `--expose-gc` for
 * exact values.
 */
export function measureMemory(
  what: string,
  sizes: readonly number[],
  create: (size: number) => unknown,
): Slope {
  const values = sizes.map((size) => {
    globalThis.gc?.();
    const before = process.memoryUsage().heapUsed;
    const retained = [create(size)];
    globalThis.gc?.();
    const used = process.memoryUsage().heapUsed - before;
    retained.pop();
    return used;
  });
  return fitSlope(what, "bytes of heap", sizes, values);
}

function fitSlope(
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
  const meanSquareResidual = mean(
    sizes.map((size, index) => (base + slope * size - (values[index] ?? 0)) ** 2),
  );
  const residual = Math.sqrt(meanSquareResidual) / Math.max(...values.map(Math.abs));
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

/** Lists the integers from 0 up to, but not including, a size. */
export function range(size: number): readonly number[] {
  return Array.from({ length: size }, (_, index) => index);
}
