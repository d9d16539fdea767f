/**
 * Load of instances and its sums. Reports between neighbours carry only values that changed since the
 * last report on the stream. The usage of workspaces is counted in differences, so that totals only
 * rise, whichever neighbours come and go.
 */
import { roundCount } from "../../peer/count";
import { RelayScope, type RelayReport, type Work } from "../../peer/gen/fleet";
import { chooseBaseline } from "../../peer/numbers";

/** Load of one instance or of several. */
export interface Load {
  /** By engine. */
  readonly works: ReadonlyMap<string, Work>;
  /** Cost since the start of the counting process, by workspace. */
  readonly usages: ReadonlyMap<string, number>;
  readonly arrivingTokens: number;
  readonly waiting: number;
}

/** The load of an instance that does nothing. */
export const NO_LOAD: Load = {
  works: new Map(),
  usages: new Map(),
  arrivingTokens: 0,
  waiting: 0,
};

/**
 * Adds up loads.
 *
 * @param usages - the usages of the sum, which are counted separately
 * @example
 * sumLoads([own, ...members], usages).works.get("decode-1")?.requests;
 */
export function sumLoads(loads: Iterable<Load>, usages: ReadonlyMap<string, number>): Load {
  const works = new Map<string, Work>();
  let arrivingTokens = 0;
  let waiting = 0;
  for (const load of loads) {
    arrivingTokens += load.arrivingTokens;
    waiting += load.waiting;
    for (const [engine, work] of load.works)
      works.set(engine, combineWork(works.get(engine), work, 1));
  }
  return { works, usages, arrivingTokens, waiting };
}

/**
 * Subtracts a part from a sum that contains it; never below zero.
 *
 * @example
 * subtractLoad(fleet, own).waiting;
 */
export function subtractLoad(sum: Load, part: Load): Load {
  const works = new Map(sum.works);
  for (const [engine, work] of part.works) {
    const known = works.get(engine);
    if (known !== undefined) works.set(engine, combineWork(known, work, -1));
  }
  return {
    works,
    usages: sum.usages,
    arrivingTokens: Math.max(0, sum.arrivingTokens - part.arrivingTokens),
    waiting: Math.max(0, sum.waiting - part.waiting),
  };
}

function combineWork(a: Work | undefined, b: Work, sign: 1 | -1): Work {
  if (a === undefined) return b;
  return {
    engine: b.engine,
    heldTokens: Math.max(0, a.heldTokens + sign * b.heldTokens),
    promptTokens: Math.max(0, a.promptTokens + sign * b.promptTokens),
    requests: Math.max(0, a.requests + sign * b.requests),
  };
}

/**
 * Encodes the work at an engine for peers.
 *
 * @example
 * engineLoad.listLocalWork().map(encodeWork);
 */
export function encodeWork({ engine, heldTokens, promptTokens, requests }: Work): Work {
  return {
    engine,
    heldTokens: roundCount(heldTokens),
    promptTokens: roundCount(promptTokens),
    requests: roundCount(requests),
  };
}

/**
 * Creates a report of what changed between two loads.
 *
 * @param before - what the neighbour knows; undefined for a report with all values
 * @returns undefined if nothing changed
 * @example
 * createReport(RelayScope.RELAY_SCOPE_FLEET, sent, current);
 */
export function createReport(
  scope: RelayScope,
  before: Load | undefined,
  load: Load,
): RelayReport | undefined {
  const known = before ?? NO_LOAD;
  const works = [...load.works.values()].filter(
    (work) => !isSameWork(known.works.get(work.engine), work),
  );
  for (const engine of known.works.keys()) {
    if (!load.works.has(engine)) {
      works.push({ engine, heldTokens: 0, promptTokens: 0, requests: 0 });
    }
  }
  const usages = [...load.usages]
    .filter(([workspace, cost]) => known.usages.get(workspace) !== cost)
    .map(([workspace, cost]) => ({ workspace, cost }));
  const { arrivingTokens, waiting } = load;
  const isSame =
    works.length + usages.length === 0 &&
    known.arrivingTokens === arrivingTokens &&
    known.waiting === waiting;
  if (before !== undefined && isSame) return undefined;
  return {
    scope,
    whole: before === undefined,
    works: works.map(encodeWork),
    usages,
    arrivingTokens: roundCount(arrivingTokens),
    waiting: roundCount(waiting),
  };
}

function isSameWork(a: Work | undefined, b: Work): boolean {
  return (
    a?.heldTokens === b.heldTokens && a.promptTokens === b.promptTokens && a.requests === b.requests
  );
}

/**
 * Applies a report to what is known from the same stream.
 *
 * @example
 * load = applyReport(load, report);
 */
export function applyReport(before: Load, report: RelayReport): Load {
  const known = report.whole ? NO_LOAD : before;
  const works = new Map(known.works);
  for (const work of report.works) {
    if (work.requests + work.heldTokens + work.promptTokens === 0) works.delete(work.engine);
    else works.set(work.engine, work);
  }
  const usages = new Map(known.usages);
  for (const { workspace, cost } of report.usages) usages.set(workspace, cost);
  const { arrivingTokens, waiting } = report;
  return { works, usages, arrivingTokens, waiting };
}

/** Totals of usage that only rise, counted from the differences between reports of sources. */
export class UsageCounter {
  private readonly totals = new Map<string, number>();
  /** By source and workspace: the highest count that was added, or UNREAD_COST. */
  private readonly sources = new Map<string, Map<string, number>>();

  /** The totals, by workspace. */
  read(): ReadonlyMap<string, number> {
    return this.totals;
  }

  /**
   * Counts what a source has used since its last report.
   *
   * @param isBaseline - true if the counts include use from before the source was followed here,
   *   which is not counted
   */
  count(source: string, usages: ReadonlyMap<string, number>, isBaseline: boolean): void {
    const known = isBaseline ? undefined : this.sources.get(source);
    const counted = known ?? new Map<string, number>();
    for (const [workspace, cost] of usages) {
      const before = chooseBaseline(counted.get(workspace), cost, known === undefined);
      if (cost > before) {
        this.totals.set(workspace, (this.totals.get(workspace) ?? 0) + cost - before);
      }
      counted.set(workspace, Number.isNaN(cost) ? before : Math.max(cost, before));
    }
    this.sources.set(source, counted);
  }

  /** True if a source was followed before. */
  isKnown(source: string): boolean {
    return this.sources.has(source);
  }

  /** Forgets a source; its use stays counted. */
  forget(source: string): void {
    this.sources.delete(source);
  }
}
