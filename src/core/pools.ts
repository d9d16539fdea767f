/**
 * Groups the engines of a configuration into pools, each with one scheduler at a time.
 */
import { type Configuration, type Endpoint, Role } from "./config/objects";

/** An endpoint with its name in the configuration. */
export interface NamedEndpoint extends Endpoint {
  readonly name: string;
}

/** A group of engines that one scheduler places requests on. */
export interface Pool {
  readonly name: string;
  readonly models: ReadonlySet<string>;
  readonly dataCentres: ReadonlySet<string>;
  readonly prefills: readonly NamedEndpoint[];
  readonly decodes: readonly NamedEndpoint[];
}

const poolsByConfiguration = new WeakMap<Configuration, ReadonlyMap<string, Pool>>();

/**
 * Lists the pools of a configuration by name; cached for each configuration object.
 *
 * @example
 * listPools(configuration).get("drafter")?.decodes.length;
 */
export function listPools(configuration: Configuration): ReadonlyMap<string, Pool> {
  const known = poolsByConfiguration.get(configuration);
  if (known !== undefined) return known;
  const pools = new Map<string, Pool>();
  for (const [name, endpoint] of Object.entries(configuration.endpoints)) {
    if (endpoint.role === Role.service) continue;
    const poolName = readPoolName(endpoint);
    pools.set(poolName, addToPool(pools.get(poolName), poolName, { ...endpoint, name }));
  }
  poolsByConfiguration.set(configuration, pools);
  return pools;
}

/**
 * Lists the pools that serve a model; pools with engines in the given data centre come first.
 *
 * @example
 * listPoolsForModel(configuration, "drafter", "nizwa");
 */
export function listPoolsForModel(
  configuration: Configuration,
  model: string,
  dataCentre: string,
): readonly Pool[] {
  const servingPools = [...listPools(configuration).values()].filter((pool) =>
    pool.models.has(model),
  );
  const nearPools = servingPools.filter((pool) => pool.dataCentres.has(dataCentre));
  return [...nearPools, ...servingPools.filter((pool) => !pool.dataCentres.has(dataCentre))];
}

/**
 * Lists the data centres that share a pool with the given one. Only their instances can be
 * schedulers of these pools.
 *
 * @returns the data centres, the given one included; undefined where it has no engines and so uses
 *   the pools of all data centres
 * @example
 * listDataCentresSharingPools(configuration, "nizwa"); // Set { "nizwa", "bahla" }
 */
export function listDataCentresSharingPools(
  configuration: Configuration,
  dataCentre: string,
): ReadonlySet<string> | undefined {
  const sharedPools = [...listPools(configuration).values()].filter((pool) =>
    pool.dataCentres.has(dataCentre),
  );
  if (sharedPools.length === 0) return undefined;
  return new Set(sharedPools.flatMap((pool) => [...pool.dataCentres]));
}

function readPoolName(endpoint: Endpoint): string {
  return endpoint.pool ?? endpoint.models?.[0] ?? "";
}

function addToPool(pool: Pool | undefined, name: string, endpoint: NamedEndpoint): Pool {
  const isPrefill = endpoint.role === Role.prefill;
  return {
    name,
    models: new Set([...(pool?.models ?? []), ...(endpoint.models ?? [])]),
    dataCentres: new Set([...(pool?.dataCentres ?? []), endpoint.dataCentre]),
    prefills: [...(pool?.prefills ?? []), ...(isPrefill ? [endpoint] : [])],
    decodes: [...(pool?.decodes ?? []), ...(isPrefill ? [] : [endpoint])],
  };
}
