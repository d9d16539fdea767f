/**
 * Applies the regions in which a request may be run to the sends of the request.
 */
import type { RegionRule, Regions } from "../../fleet/regions";
import type { EndpointRequest } from "../requests";
import type { ForwardContext } from "./context";

/**
 * Checks whether an endpoint is in a region in which a request may be run.
 *
 * @example
 * endpoints.filter((endpoint) => isInRegions(context, request.allowedRegions, endpoint));
 */
export function isInRegions(
  context: ForwardContext,
  rule: RegionRule,
  { dataCentre }: { readonly dataCentre: string },
): boolean {
  return rule === undefined || context.regions.isAllowed(dataCentre, rule);
}

/**
 * Checks right before a send that neither the request nor the prompt that its engine fetches crosses
 * the border of the allowed regions; without known regions no restricted request is sent.
 *
 * @example
 * if (!canSendByRegions(send, regions)) return false;
 */
export function canSendByRegions(
  { request, endpoint, cacheSource }: EndpointRequest,
  regions: Regions | undefined,
): boolean {
  const { allowedRegions: rule } = request;
  if (rule === undefined) return true;
  const dataCentres = [endpoint, ...(cacheSource === undefined ? [] : [cacheSource.endpoint])];
  return dataCentres.every(({ dataCentre }) => regions?.isAllowed(dataCentre, rule) === true);
}

/**
 * Creates the check whether a peer may carry the body of a request; undefined if all may.
 *
 * @example
 * pool.acquireForRequest({ id, needsNewConnection, maxConnections, mayUsePeer });
 */
export function createPeerCheck(
  rule: RegionRule,
  regions: Regions | undefined,
): ((peer: string) => boolean) | undefined {
  if (rule === undefined) return undefined;
  return (peer) => regions?.canCarry(peer, rule) === true;
}
