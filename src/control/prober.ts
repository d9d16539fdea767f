/**
 * Fetches the reports of the endpoints that this instance schedules, controls or owns, and writes
 * them to the blackboard.
 */
import * as E from "fp-ts/Either";
import type { Blackboard } from "../board/board";
import type { Clock, Moment } from "../core/clock";
import { Role } from "../core/config/objects";
import type { Logger } from "../core/log";
import { PeriodicTask, runTask } from "../core/tasks";
import type { EngineReport, EngineClient } from "../endpoint/engine";
import { EngineFault } from "../endpoint/fault";
import type { OwnedEndpoints } from "./ownership";
import type { InstanceIdentity } from "./membership";

const PROBE_INTERVAL_MS = 250;
/** How long no requests are placed on an endpoint that did not answer. */
export const UNREACHABLE_COOLDOWN_MS = 1000;
/** How long an endpoint counts as leaving after the last report that said so. */
const LEAVING_TTL_MS = 5000;

/** Faults with which the endpoint did answer. */
const ANSWERED_FAULTS: ReadonlySet<EngineFault> = new Set([EngineFault.lost, EngineFault.refused]);

/** Called with each report. */
export type ReportListener = (report: EngineReport) => void;

/** Fetches reports at a fixed interval. */
export class Prober {
  private readonly task: PeriodicTask;
  private readonly probesInFlight = new Set<string>();
  private readonly listeners: ReportListener[] = [];

  constructor(
    private readonly board: Blackboard,
    private readonly self: InstanceIdentity,
    private readonly engines: EngineClient,
    private readonly clock: Clock,
    private readonly ownedEndpoints: OwnedEndpoints,
    /** Lists the pools that this instance schedules. */
    private readonly listScheduledPools: () => ReadonlySet<string>,
    /** Returns whether this instance controls the endpoints of its data centre. */
    private readonly isController: () => boolean,
    private readonly logger: Logger,
  ) {
    this.task = new PeriodicTask("probe endpoints", PROBE_INTERVAL_MS, logger, () => {
      this.probe();
    });
  }

  start(): void {
    this.task.start();
  }

  close(): void {
    this.task.close();
  }

  /** Calls `listener` with every report that arrives. */
  onReport(listener: ReportListener): void {
    this.listeners.push(listener);
  }

  /**
   * Fetches the reports of the endpoints that this instance schedules, controls or owns; removes
   * those of endpoints that are no longer configured.
   */
  probe(): void {
    const now = this.clock.now();
    const scheduledPools = this.listScheduledPools();
    const isController = this.isController();
    const owned = this.ownedEndpoints.list(now);
    const { endpoints } = this.board.config.read().configuration;
    for (const [name, endpoint] of Object.entries(endpoints)) {
      const poolName = endpoint.pool ?? endpoint.models?.[0] ?? "";
      const isScheduled = endpoint.role !== Role.service && scheduledPools.has(poolName);
      const isControlled = isController && endpoint.dataCentre === this.self.dataCentre;
      if (isScheduled || isControlled || owned.has(name)) {
        const probe = () => this.probeEndpoint(name, endpoint.url);
        void runTask("probe an endpoint", this.logger, probe);
      }
    }
    for (const name of this.board.endpoints.keys()) {
      if (!Object.hasOwn(endpoints, name)) this.board.endpoints.delete(name);
    }
  }

  private async probeEndpoint(name: string, url: string): Promise<void> {
    if (this.probesInFlight.has(name)) return;
    this.probesInFlight.add(name);
    try {
      await this.fetchReport(name, url);
    } finally {
      this.probesInFlight.delete(name);
    }
  }

  private async fetchReport(name: string, url: string): Promise<void> {
    const startedAt = this.clock.now();
    const report = await this.engines.fetchReport(url)();
    if (E.isLeft(report)) {
      // A plain service may have no reports; any response shows that it is reachable.
      if (ANSWERED_FAULTS.has(report.left.fault)) return;
      this.board.unreachable.set(name, { deadline: this.clock.now() + UNREACHABLE_COOLDOWN_MS });
      return;
    }
    this.applyReport({ ...report.right, name }, startedAt);
  }

  private applyReport(report: EngineReport, startedAt: Moment): void {
    const { name } = report;
    const known = this.board.endpoints.get(name);
    this.board.unreachable.delete(name);
    if (known !== undefined && known.incarnation !== report.incarnation)
      this.board.leaving.delete(name);
    if (report.draining) this.board.leaving.set(name, this.clock.now() + LEAVING_TTL_MS);
    this.board.endpoints.set(name, {
      name,
      incarnation: report.incarnation,
      role: report.role,
      models: report.models,
      slots: report.slots,
      holds: report.holds,
      queuedTokens: report.queuedTokens,
      isDraining: report.draining,
      fence: report.fence,
      reportedAt: startedAt,
    });
    for (const listener of this.listeners) listener(report);
  }
}
