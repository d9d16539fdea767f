/**
 * Does the periodic work of an instance: applies the limits for callers, logs the shares, watches
 * the versions of endpoints, closes idle connections to evacuated data centres, and forgets endpoints
 * that left.
 */
import { AlignedInterval } from "../core/aligned";
import type { Moment } from "../core/clock";
import { runSteps } from "../core/tasks";
import type { ForwardContext } from "./endpoints";
import type { FleetView } from "./fleetview";
import type { ForwardServer } from "./callers";

const MAINTENANCE_INTERVAL_MS = 1000;
/** Age up to which the list of endpoints counts as current, in milliseconds. */
const LIST_CURRENT_MS = 2000;
/** The version before a configuration is in force. */
const NO_VERSION = -1;

/** Maintains an instance. */
export class Maintenance {
  private timer: AlignedInterval | undefined;
  private appliedVersion = NO_VERSION;
  private versionsRecordedAt: Moment = Number.NEGATIVE_INFINITY;
  /** Number of live instances in the last log line on shares. */
  private loggedLiveCount = 0;

  constructor(
    private readonly view: FleetView,
    private readonly context: ForwardContext,
    private readonly callerServer: ForwardServer,
  ) {}

  /** The version of the configuration whose limits for callers are in force. */
  get configVersion(): number {
    return this.appliedVersion;
  }

  start(): void {
    this.timer = new AlignedInterval(MAINTENANCE_INTERVAL_MS, () => {
      this.maintain();
    });
  }

  close(): void {
    this.timer?.close();
  }

  /** Applies the limits for callers of a new configuration; called at each head of a request too. */
  applyCallerLimits(): void {
    const config = this.view.watcher.readConfigIndex()?.config;
    if (config === undefined || config.version === this.appliedVersion) return;
    this.appliedVersion = config.version;
    this.callerServer.setLimits(config.limits);
  }

  /** Does all the work; a step that fails keeps no other from being done. */
  private maintain(): void {
    const steps = {
      "apply limits": () => {
        this.applyCallerLimits();
      },
      "log shares": () => {
        this.logShares();
      },
      "record versions": () => {
        this.recordVersions();
      },
      "close evacuated": () => {
        this.closeEvacuated();
      },
      "maintain origins": () => {
        this.context.originPublisher.maintain();
      },
      prune: () => {
        this.prune();
      },
    };
    void runSteps(this.context.logger, steps);
  }

  /** Forgets endpoints that left. */
  private prune(): void {
    const { health, meter, directory, gate, dialer } = this.context;
    const isListed = (id: string) => directory.find(id) !== undefined;
    health.prune(isListed);
    meter.prune(isListed);
    gate.prune(isListed);
    dialer.prune(isListed);
    directory.processes.prune(isListed, this.context.clock.now());
  }

  /** Closes the idle connections to the endpoints of evacuated data centres. */
  private closeEvacuated(): void {
    const { evacuations } = this.view.watcher;
    for (const { dataCentre, address } of this.context.directory.listAll()) {
      if (evacuations.isEvacuated(dataCentre)) this.context.client.reset(address);
    }
  }

  /**
   * Watches the versions of endpoints while the list is current, also of processes that were listed
   * only since the last time.
   */
  private recordVersions(): void {
    const { versionHistory, directory, clock } = this.context;
    if (this.view.watcher.computeEndpointsAgeMs() > LIST_CURRENT_MS) return;
    const now = clock.now();
    const recent = directory.processes.listSince(this.versionsRecordedAt);
    const seen = { next: directory.next, gaps: directory.gaps, read: directory.ownReads.range };
    versionHistory.record([...directory.listAll(), ...recent], now, seen);
    this.versionsRecordedAt = now;
  }

  /**
   * Logs the number of live instances and the live ratio when the number changes; the shares of
   * rates and retries are computed from them at each moment.
   */
  private logShares(): void {
    const live = this.view.countLive();
    if (live === this.loggedLiveCount) return;
    const { clock, logger } = this.context;
    const { heard, missing } = this.view.members.readFleetSize(clock.now());
    const heardShare = Math.round((heard / (heard + missing)) * 100) / 100;
    logger.info("shares", { live, before: this.loggedLiveCount, heardShare });
    this.loggedLiveCount = live;
  }
}
