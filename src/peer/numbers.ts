/**
 * Bounds of numbers in messages of peers, which a faulty or a newer build may have written: one that
 * cannot be true costs what it stands in, and never the turn or what is computed from it later.
 */
import type { Beat, ChargeRequest, RelayReport } from "./gen/fleet";

/** The highest cost that is believed, in tokens; far more than a process admits in its life. */
const MAX_COST = 1e15;

/** Called with each number that is not used, and the field that it stands in. */
export type NumberFaultListener = (field: string, value: number | undefined) => void;

/** The numbers that an entry of a list may have. */
interface Bound<T> {
  readonly field: string;
  readonly read: (entry: T) => number | undefined;
  readonly min: number;
  readonly max: number;
}

const COST: Bound<{ readonly cost: number }> = {
  field: "cost",
  read: ({ cost }) => cost,
  min: 0,
  max: MAX_COST,
};

/**
 * Checks the time at which a peer sent a message, in milliseconds of the monotonic clock of its process.
 *
 * @example
 * isSendTime(Number.NaN); // false
 */
export function isSendTime(sentAtMs: number | undefined): sentAtMs is number {
  return sentAtMs !== undefined && isWithin(sentAtMs, 0, Number.MAX_SAFE_INTEGER);
}

/**
 * Drops the entries of a heartbeat, or of a record of a peer, whose numbers can't be true.
 *
 * @example
 * checkBeat(Beat.decode(content), (field, value) => log(field, value)).usages;
 */
export function checkBeat(beat: Beat, onFault: NumberFaultListener): Beat {
  return { ...beat, usages: keepEntries(beat.usages, COST, onFault) };
}

/**
 * Drops the entries of a neighbour's report whose numbers can't be true.
 *
 * @example
 * checkReport(message.report, onFault).usages;
 */
export function checkReport(report: RelayReport, onFault: NumberFaultListener): RelayReport {
  return { ...report, usages: keepEntries(report.usages, COST, onFault) };
}

/**
 * Checks the costs of a charge.
 *
 * @example
 * isCharge({ ...request, costs: [Number.NaN] }, onFault); // false
 */
export function isCharge(request: ChargeRequest, onFault: NumberFaultListener): boolean {
  const costs = [request.totalCost, ...request.costs].map((cost) => ({ cost }));
  return keepEntries(costs, COST, onFault).length === costs.length;
}

function keepEntries<T>(
  entries: readonly T[],
  { field, read, min, max }: Bound<T>,
  onFault: NumberFaultListener,
): T[] {
  return entries.filter((entry) => {
    const value = read(entry);
    const isSound = value === undefined || isWithin(value, min, max);
    if (!isSound) onFault(field, value);
    return isSound;
  });
}

/** False also for what is no number. */
function isWithin(value: number, min: number, max: number): boolean {
  return value >= min && value <= max;
}
