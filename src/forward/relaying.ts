/**
 * Creates the part of an instance that takes part in relaying, in fleets that are large enough.
 */
import { runTask } from "../core/tasks";
import type { RelayHost } from "../fleet/relay/host";
import { RelayNetwork } from "../fleet/relay/network";
import type { InstanceBase } from "./base";
import type { FleetView } from "./fleetview";

/**
 * Creates the relay network of an instance; it does nothing until it is activated.
 *
 * @param host - supplies and applies the state that relays carry
 * @example
 * const network = createRelayNetwork(base, view, peerState, () => isStopping);
 */
export function createRelayNetwork(
  { settings, clock, logger, faults, self }: InstanceBase,
  { members, transport, watcher }: FleetView,
  host: RelayHost,
  isLeaving: () => boolean,
): RelayNetwork {
  return new RelayNetwork({
    self,
    generation: Date.now(),
    clock,
    logger,
    transport,
    members,
    faults,
    host,
    isLeaving,
    isStoreLost: () => watcher.isStoreLost,
    listSeeds: () => settings.knownPeers,
    random: Math.random,
    schedule: (ms, run) => {
      setTimeout(() => void runTask("relay news", logger, run), ms);
    },
  });
}
