/**
 * What an instance knows of the fleet: its members, the endpoints and the configuration.
 */
import { EndpointDirectory } from "../fleet/directory";
import { MemberList } from "../fleet/members";
import { ReaderRole } from "../fleet/readers";
import { Regions } from "../fleet/regions";
import { GrpcFleetTransport } from "../fleet/transport";
import { createReadPolicy } from "./reading";
import { StoreWatcher } from "../fleet/watcher";
import type { InstanceBase } from "./base";

/** The parts that know the fleet. */
export interface FleetView {
  readonly directory: EndpointDirectory;
  readonly members: MemberList;
  readonly transport: GrpcFleetTransport;
  readonly readerRole: ReaderRole;
  readonly watcher: StoreWatcher;
  readonly regions: Regions;
  /** Counts the live instances, including this one. */
  readonly countLive: () => number;
  /** Lists the names of the live instances, including this one. */
  readonly listLive: () => readonly string[];
}

/**
 * Creates the parts that know the fleet.
 *
 * @param sendHeartbeats - called when peers should hear at once what was read from the store
 * @example
 * const view = createFleetView(base, () => heartbeats.sendHeartbeats());
 */
export function createFleetView(base: InstanceBase, sendHeartbeats: () => void): FleetView {
  const { settings, adapter, clock, meter, logger, self } = base;
  const { instance, dataCentre } = self;
  const directory = new EndpointDirectory(adapter.decodeEndpoint);
  const members = new MemberList(self, logger, clock.now());
  const readerRole: ReaderRole = new ReaderRole(instance, (now) => {
    const peers = members.listReaderCandidates(now);
    if (!members.mayRead(now)) return peers;
    return [...peers, { instance, dataCentre, isStoreLost: watcher.isStoreLost }];
  });
  const watcher: StoreWatcher = new StoreWatcher(
    adapter.store,
    directory,
    adapter.decodeConfig,
    clock,
    logger,
    meter,
    {
      configMs: Math.min(settings.configApplyMs, settings.evacuationMs),
      endpointsMs: settings.drainMs,
    },
    createReadPolicy(base, members, readerRole),
    sendHeartbeats,
  );
  const listLive = () => members.listLive(clock.now());
  const countLive = () => listLive().length;
  const transport = new GrpcFleetTransport();
  const findPeer = (peer: string) => members.findDataCentre(peer);
  const regions = new Regions(settings.regions, dataCentre, findPeer);
  return { directory, members, transport, readerRole, watcher, regions, countLive, listLive };
}
