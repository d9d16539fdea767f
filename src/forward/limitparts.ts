/**
 * Creates the parts that limit the sends to endpoints.
 */
import type { Logger } from "../core/log";
import { runTask } from "../core/tasks";
import { OwnerChooser } from "../fleet/owners";
import type { InstanceBase } from "./base";
import type { FleetView } from "./fleetview";
import {
  ColdEndpoints,
  EndpointLimits,
  LimitAccounts,
  LimitSources,
  PaceAccounts,
  Pacing,
  type PacingParts,
  PeerPermitTransport,
  Permits,
} from "./limits";

/** How long outcomes of sends wait for the next request for a permit, in milliseconds. */
const REPORT_DELAY_MS = 50;

/** What limits the sends to endpoints, and the accounts of the limits that this instance owns. */
export interface LimitState {
  readonly sources: LimitSources;
  readonly accounts: LimitAccounts;
  /** Undefined if endpoints that start are not limited in their pace. */
  readonly paceAccounts: PaceAccounts | undefined;
  readonly owners: OwnerChooser;
}

/**
 * Creates the state of limits. An instance that leaves owns none: its peers ask another one.
 *
 * @param isLeaving - returns whether the instance is stopping
 * @param hooks - called when peers should hear of an endpoint, and when outcomes are to be reported
 * @example
 * const { sources } = createLimitState(base, view, () => isStopping, hooks);
 */
export function createLimitState(
  base: InstanceBase,
  { directory, watcher, members, listLive }: FleetView,
  isLeaving: () => boolean,
  hooks: Pick<PacingParts, "onBegin" | "onOutcome">,
): LimitState {
  const { settings, clock, logger } = base;
  const { instance, coldTolerance: tolerance } = settings;
  const findLimit = (service: string) => watcher.readConfigIndex()?.findService(service)?.cold;
  const cold = new ColdEndpoints({ directory, findLimit, tolerance });
  const listOwners = () => listLive().filter((name) => name !== instance || !isLeaving());
  const isPaced = settings.pace === true;
  const pacing = isPaced ? new Pacing({ clock, logger, ...hooks }) : undefined;
  const readSlots = (id: string) => directory.find(id)?.slots;
  const paceAccounts = new PaceAccounts(readSlots, (endpoint, window, cause) => {
    logger.info("endpoint pace", { endpoint, window: Math.round(window), cause });
  });
  return {
    sources: new LimitSources(new EndpointLimits(), cold, pacing),
    paceAccounts: isPaced ? paceAccounts : undefined,
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
      const named = limit.perSecond === undefined ? "pace" : "named";
      const source = limit.cold === undefined ? named : "cold";
      meter.permits.inc({ outcome: isGranted ? "granted" : "denied", source });
    },
  });
}

/**
 * Creates a function that reports the outcomes of sends soon; several calls report once.
 *
 * @param flush - reports them
 * @example
 * const onOutcome = createOutcomeReporter(() => permits.flushOutcomes(), logger);
 */
export function createOutcomeReporter(flush: () => Promise<void>, logger: Logger): () => void {
  let isScheduled = false;
  return () => {
    if (isScheduled) return;
    isScheduled = true;
    setTimeout(() => {
      isScheduled = false;
      void runTask("report outcomes", logger, flush);
    }, REPORT_DELAY_MS).unref();
  };
}
