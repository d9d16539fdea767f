/**
 * Spreads the choices of instances that have the same view of the engines. A view lacks what the others have
 * placed since it was reported: where all take the engine that has most room in it, that one refuses most of
 * them while others stay idle. So each takes it that a random part of that was placed before its own choice,
 * each at the engine that was best then.
 */
import type { EngineView } from "./load";

/** What a choice does not see. */
export interface UnseenWork {
  /** How many generations the other instances place between two reports: the view lacks up to as many. */
  readonly generations: number;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

/** How engines are compared, and what one more generation changes. */
export interface PlacementRule {
  /** The lowest cost is best. */
  readonly computeCost: (view: EngineView) => number;
  /** Returns the view with one more generation; undefined if it then has no room for another. */
  readonly addOne: (view: EngineView) => EngineView | undefined;
}

/**
 * Chooses an engine as if a random part of the unseen generations had been placed before.
 *
 * @returns undefined if there is no engine
 * @example
 * chooseBeyondUnseen(views, { generations: 12, random: Math.random }, rule);
 */
export function chooseBeyondUnseen(
  views: readonly EngineView[],
  { generations, random }: UnseenWork,
  rule: PlacementRule,
): EngineView | undefined {
  const costs = views.map(rule.computeCost);
  const filled: (EngineView | undefined)[] = [...views];
  let chosen = findLeast(costs);
  const placedBefore = Math.floor(random() * (1 + generations));
  for (let placed = 0; placed < placedBefore && chosen !== undefined; placed += 1) {
    const next = filled[chosen];
    const more = next === undefined ? undefined : rule.addOne(next);
    filled[chosen] = more;
    costs[chosen] = more === undefined ? Number.POSITIVE_INFINITY : rule.computeCost(more);
    const least = findLeast(costs);
    // With no room left for what others may have placed, any engine is as good as another.
    if (least === undefined) return views[Math.floor(random() * views.length)];
    chosen = least;
  }
  return chosen === undefined ? undefined : views[chosen];
}

/** Finds the place of the lowest finite number; undefined if there is none. */
function findLeast(costs: readonly number[]): number | undefined {
  let least: number | undefined;
  let leastCost = Number.POSITIVE_INFINITY;
  for (const [place, cost] of costs.entries()) {
    if (cost >= leastCost) continue;
    least = place;
    leastCost = cost;
  }
  return least;
}
