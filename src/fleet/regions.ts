/**
 * Regions of data centres, and the restriction of requests to some of them: operators list for a
 * route or a workspace in which regions its requests may be run.
 */

/** The regions in which a request may be run; undefined if it may be run everywhere. */
export type RegionRule = ReadonlySet<string> | undefined;

/**
 * Combines the regions that a route and a workspace allow: both apply. A list without a region is
 * none: a request that may run nowhere could only be refused.
 *
 * @example
 * combineRegions(["east", "west"], ["west"]); // Set { "west" }
 */
export function combineRegions(
  routeRegions: readonly string[] | undefined,
  workspaceRegions: readonly string[] | undefined,
): RegionRule {
  const lists = [routeRegions ?? [], workspaceRegions ?? []].filter((list) => list.length > 0);
  const [first, second] = lists;
  if (first === undefined) return undefined;
  return new Set(first.filter((region) => second?.includes(region) ?? true));
}

/**
 * The regions of the data centres, by the settings.
 *
 * @example
 * new Regions({ nizwa: "dakhiliyah" }, "nizwa", findDataCentre).isAllowed("nizwa", rule);
 */
export class Regions {
  /**
   * @param byDataCentre - region by data centre
   * @param ownDataCentre - the data centre of the instance
   * @param findPeerDataCentre - finds the data centre of a live peer
   */
  constructor(
    private readonly byDataCentre: Readonly<Record<string, string>>,
    private readonly ownDataCentre: string,
    private readonly findPeerDataCentre: (peer: string) => string | undefined,
  ) {}

  /** Checks whether a request may be run in a data centre; one of unknown region allows no restricted one. */
  isAllowed(dataCentre: string, rule: RegionRule): boolean {
    if (rule === undefined) return true;
    const region = this.findRegion(dataCentre);
    return region !== undefined && rule.has(region);
  }

  /**
   * Checks whether a peer may carry the body of a request: in an allowed region, or in that of this
   * instance, which has the body already.
   */
  canCarry(peer: string, rule: RegionRule): boolean {
    if (rule === undefined) return true;
    const dataCentre = this.findPeerDataCentre(peer);
    if (dataCentre === undefined) return false;
    if (dataCentre === this.ownDataCentre || this.isAllowed(dataCentre, rule)) return true;
    const region = this.findRegion(dataCentre);
    return region !== undefined && region === this.findRegion(this.ownDataCentre);
  }

  private findRegion(dataCentre: string): string | undefined {
    return Object.hasOwn(this.byDataCentre, dataCentre) ? this.byDataCentre[dataCentre] : undefined;
  }
}
