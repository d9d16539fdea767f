/**
 * Creates the parts that limit the sends to endpoints.
 */
import { OwnerChooser } from "../fleet/owners";
import type { InstanceBase } from "./base";
import type { FleetView } from "./fleetview";
import {
  ColdEndpoints,
  EndpointLimits,
  LimitAccounts,
  LimitSources,
  PeerPermitTransport,
  Permits,
} from "./limits";

/** What limits the sends to endpoints, and the accounts of the limits that this instance owns. */
export interface LimitState {
  readonly sources: LimitSources;
  readonly accounts: LimitAccounts;
  readonly owners: OwnerChooser;
}

/**
 * Creates the state of limits. An instance that leaves owns none: its peers ask another one.
 *
 * @param isLeaving - returns whether the instance is stopping
 * @example
 * const { sources } = createLimitState(base, view, () => isStopping);
 */
export function createLimitState(
  { settings, clock }: InstanceBase,
  { directory, watcher, members, listLive }: FleetView,
  isLeaving: () => boolean,
): LimitState {
  const { instance, coldTolerance: tolerance } = settings;
  const findLimit = (service: string) => watcher.readConfigIndex()?.findService(service)?.cold;
  const cold = new ColdEndpoints({ directory, findLimit, tolerance });
  const listOwners = () => listLive().filter((name) => name !== instance || !isLeaving());
  return {
    sources: new LimitSources(new EndpointLimits(), cold),
    accounts: new LimitAccounts(() => members.readFleetSize(clock.now())),
    owners: new OwnerChooser(instance, listOwners, clock),
  };
}

/**
 * Creates the permits of an instance.
 *
 * @example
 * const permits = createPermits(base, view, limitState);
 */
export function createPermits(
  { settings, clock, logger, meter }: InstanceBase,
  { members, transport }: FleetView,
  limitState: LimitState,
): Permits {
  return new Permits({
    instance: settings.instance,
    ...limitState,
    transport: new PeerPermitTransport(members, transport, clock),
    clock,
    logger,
    onDecision: (isGranted, limit) => {
      const source = limit.cold === undefined ? "named" : "cold";
      meter.permits.inc({ outcome: isGranted ? "granted" : "denied", source });
    },
  });
}
