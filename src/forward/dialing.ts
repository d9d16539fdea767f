/**
 * Creates the dialer of an instance, with log lines and metrics of ways to endpoints.
 */
import type { EndpointDirectory } from "../fleet/directory";
import type { ReplicaCandidate } from "../fleet/replicas";
import type { InstanceBase } from "./base";
import {
  Dialer,
  type WayListener,
  TcpOpener,
  DirectLinkChecker,
  type LinkChecker,
  type PathTracker,
  PeerTunnelOpener,
  type TunnelOpener,
} from "./tunnels";
import type { FleetView } from "./fleetview";
import type { EndpointTarget } from "./limits";
import { ConnectionWay } from "./endpoints";

/** The peers that open connections for this instance, and how they are asked. */
export interface PeerWays {
  readonly tunnels: TunnelOpener;
  /** Lists the live peers that are not leaving, without this instance. */
  readonly listPeers: () => readonly ReplicaCandidate[];
  /** Lists the live peers that are leaving. */
  readonly listLeavingPeers: () => readonly ReplicaCandidate[];
}

/**
 * Creates the ways over all peers.
 *
 * @example
 * const peerWays = createPeerWays(base, view);
 */
export function createPeerWays({ clock, self }: InstanceBase, { members }: FleetView): PeerWays {
  const tunnels = new PeerTunnelOpener((peer) => members.findAddress(peer));
  const listPeers = () =>
    members.listLiveMembers(clock.now()).filter(({ instance }) => instance !== self.instance);
  const listLeavingPeers = () => members.listLeavingMembers(clock.now());
  return { tunnels, listPeers, listLeavingPeers };
}

/** Told when a direct way is lost or back. */
export interface WayChangeListener {
  onWayLost(target: EndpointTarget): void;
  onWayBack(target: EndpointTarget): void;
}

/** What an instance knows of its links to endpoints, and how it checks them. */
export interface InstanceLinks {
  readonly paths: PathTracker;
  readonly links: LinkChecker;
  /** True for an endpoint to which no connection is opened only to learn about its way. */
  readonly isBarred: (endpoint: string) => boolean;
}

/**
 * Creates the link checker of an instance, which connects to no endpoint that asked for a pause.
 *
 * @example
 * const links = createLinkChecker(base, directory, paths, (id) => gate.isPaused(id));
 */
export function createLinkChecker(
  { clock }: InstanceBase,
  directory: EndpointDirectory,
  paths: PathTracker,
  isPaused: (id: string) => boolean,
): LinkChecker {
  return new DirectLinkChecker({
    direct: new TcpOpener(),
    listEndpoints: () => directory.listUsable(clock.now()).filter(({ id }) => !isPaused(id)),
    findDataCentre: (id) => directory.find(id)?.dataCentre,
    readHistory: (target) => paths.readDirectHistory(target),
  });
}

/**
 * Creates the dialer of an instance.
 *
 * @param listener - told of changes, after they were logged
 * @example
 * const links = { paths, links, isBarred: (id) => gate.isEvacuated(id) };
 * const dialer = createDialer(base, directory, links, createPeerWays(base, view), listener);
 */
export function createDialer(
  { clock, meter, logger }: InstanceBase,
  directory: EndpointDirectory,
  links: InstanceLinks,
  peerWays: PeerWays,
  listener: WayChangeListener,
): Dialer {
  return new Dialer({
    ...links,
    direct: new TcpOpener(),
    ...peerWays,
    clock,
    logger,
    listener: createLoggingListener(logger, listener),
    findDataCentre: (id) => directory.find(id)?.dataCentre,
    onConnection: ({ peer }) => {
      meter.connections.inc({
        way: peer === undefined ? ConnectionWay.direct : ConnectionWay.peer,
      });
    },
  });
}

/** Creates a listener that logs changes and passes them on. */
function createLoggingListener(
  logger: InstanceBase["logger"],
  listener: WayChangeListener,
): WayListener {
  return {
    onWayLost: (target, failure, asked) => {
      logger.warn("endpoint way lost", { endpoint: target.id, failure, asked });
      listener.onWayLost(target);
    },
    onWayBack: (target) => {
      logger.info("endpoint way back", { endpoint: target.id });
      listener.onWayBack(target);
    },
    onWayUnknown: ({ id }) => {
      logger.warn("endpoint unreachable by peers too", { endpoint: id });
    },
  };
}
