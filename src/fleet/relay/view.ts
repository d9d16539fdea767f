/**
 * Which instances are heard, directly or through relays. An instance is heard as of the moment at
 * which the neighbour was heard through which the news of it comes, so that news through a silent
 * neighbour grows old with it.
 */
import type { Moment } from "../../core/clock";

/** Whom a relay hears, as it says. */
export interface HeardReport {
  readonly heard: readonly string[];
  readonly lost: readonly string[];
}

/** Which instances are heard. */
export interface FleetHearing {
  /** By instance: when it was last heard, directly or through relays. */
  readonly heardAt: ReadonlyMap<string, Moment>;
  /** Instances that a relay lost and nobody hears. */
  readonly lost: ReadonlySet<string>;
}

/**
 * Computes which instances are heard.
 *
 * @param neighbours - when each neighbour was heard last
 * @param findReport - finds what an instance says that it hears
 * @example
 * computeHearing(new Map([["nizwa-1", now]]), (name) => reports.get(name)).heardAt.get("nizwa-7");
 */
export function computeHearing(
  neighbours: ReadonlyMap<string, Moment>,
  findReport: (instance: string) => HeardReport | undefined,
): FleetHearing {
  const heardAt = new Map<string, Moment>();
  const lost = new Set<string>();
  const fresh = [...neighbours].sort(([, a], [, b]) => b - a);
  for (const [neighbour, at] of fresh) {
    const open = [neighbour];
    for (let name = open.pop(); name !== undefined; name = open.pop()) {
      if (heardAt.has(name)) continue;
      heardAt.set(name, at);
      const report = findReport(name);
      if (report === undefined) continue;
      open.push(...report.heard);
      for (const gone of report.lost) lost.add(gone);
    }
  }
  for (const name of heardAt.keys()) lost.delete(name);
  return { heardAt, lost };
}
