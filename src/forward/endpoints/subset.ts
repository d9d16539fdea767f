/**
 * Chooses the few endpoints of a service that an instance of a large fleet prefers, so that its requests
 * find kept-alive connections: with a connection from each of 72 instances to each of 48 endpoints, most
 * are closed as idle before the next request. The others are used as soon as those few have more to do.
 */
import { rankByRendezvousHash } from "../../core/rendezvous";
import type { EndpointEntry } from "../../fleet/entries";

/** Fleets up to this number of instances use all endpoints: each has enough requests for all. */
const MAX_INSTANCES_WITHOUT = 16;
/** A second endpoint takes over where the first one fails or is busy. */
const MIN_SUBSET = 2;
/** Each endpoint is preferred by this many instances on average, so that none is left without work. */
const MIN_INSTANCES_PER_ENDPOINT = 4;

/**
 * Computes how many endpoints of a service an instance prefers.
 *
 * @param endpoints - number of endpoints of the service
 * @param instances - number of live instances
 * @example
 * computeSubsetSize(6, 72); // 2
 */
export function computeSubsetSize(endpoints: number, instances: number): number {
  if (instances <= MAX_INSTANCES_WITHOUT) return endpoints;
  const size = Math.ceil((endpoints * MIN_INSTANCES_PER_ENDPOINT) / instances);
  return Math.min(endpoints, Math.max(MIN_SUBSET, size));
}

interface Subset {
  readonly ids: ReadonlySet<string>;
  /** What it was chosen from. */
  readonly endpoints: string;
  readonly size: number;
}

/** Keeps the subsets of one instance, by service. */
export class EndpointSubsets {
  private readonly subsets = new Map<string, Subset>();

  /**
   * @param countLive - counts the live instances, this one included
   */
  constructor(
    private readonly instance: string,
    private readonly dataCentre: string,
    private readonly countLive: () => number,
  ) {}

  /**
   * Finds the ids of the endpoints that this instance prefers, those of its data centre first; a change
   * of one endpoint changes at most one of them.
   *
   * @param endpoints - all listed endpoints of the service
   * @returns undefined if it prefers none, as it uses all
   */
  find(service: string, endpoints: readonly EndpointEntry[]): ReadonlySet<string> | undefined {
    const size = computeSubsetSize(endpoints.length, this.countLive());
    if (size >= endpoints.length) {
      this.subsets.delete(service);
      return undefined;
    }
    const key = endpoints.map(({ id, dataCentre }) => `${id}\0${dataCentre}`).join("\n");
    const known = this.subsets.get(service);
    if (known?.endpoints === key && known.size === size) return known.ids;
    const ids = new Set(this.rank(endpoints).slice(0, size));
    this.subsets.set(service, { ids, endpoints: key, size });
    return ids;
  }

  private rank(endpoints: readonly EndpointEntry[]): readonly string[] {
    const isNear = ({ dataCentre }: EndpointEntry) => dataCentre === this.dataCentre;
    const near = endpoints.filter(isNear).map(({ id }) => id);
    const far = endpoints.filter((endpoint) => !isNear(endpoint)).map(({ id }) => id);
    return [near, far].flatMap((ids) => rankByRendezvousHash(this.instance, ids));
  }
}
