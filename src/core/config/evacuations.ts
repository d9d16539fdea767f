/**
 * The data centres that a configuration says are evacuated: nothing is sent to their endpoints.
 */
import type { Configuration } from "./objects";

interface Evacuated {
  readonly dataCentres: ReadonlySet<string>;
  /** URLs of the endpoints there. */
  readonly urls: ReadonlySet<string>;
}

const evacuatedByConfiguration = new WeakMap<Configuration, Evacuated>();

/**
 * Checks whether a data centre is evacuated.
 *
 * @example
 * isEvacuated(board.config.read().configuration, "nizwa");
 */
export function isEvacuated(configuration: Configuration, dataCentre: string): boolean {
  return findEvacuated(configuration).dataCentres.has(dataCentre);
}

/**
 * Checks whether the endpoint at a URL is in an evacuated data centre.
 *
 * @example
 * isUrlEvacuated(board.config.read().configuration, "http://10.0.0.7:8000");
 */
export function isUrlEvacuated(configuration: Configuration, url: string): boolean {
  return findEvacuated(configuration).urls.has(url);
}

/**
 * Lists the evacuated data centres by name.
 *
 * @example
 * listEvacuated(board.config.read().configuration); // ["nizwa"]
 */
export function listEvacuated(configuration: Configuration): readonly string[] {
  return [...findEvacuated(configuration).dataCentres].sort();
}

function findEvacuated(configuration: Configuration): Evacuated {
  const known = evacuatedByConfiguration.get(configuration);
  if (known !== undefined) return known;
  const names = Object.entries(configuration.dataCentres)
    .filter(([, dataCentre]) => dataCentre.evacuated === true)
    .map(([name]) => name);
  const dataCentres = new Set(names);
  const endpoints = Object.values(configuration.endpoints);
  const urls = endpoints.filter((each) => dataCentres.has(each.dataCentre)).map(({ url }) => url);
  const evacuated = { dataCentres, urls: new Set(urls) };
  evacuatedByConfiguration.set(configuration, evacuated);
  return evacuated;
}
