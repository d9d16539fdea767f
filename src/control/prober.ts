/**
 * Reads the reports of the endpoints that this instance keeps the book of, controls or looks after.
 */
import * as E from "fp-ts/Either";
import type { Blackboard } from "../board/board";
import type { Clock, Moment } from "../core/clock";
import { Role } from "../core/config";
import { type EngineReport, type EngineClient, EngineFault } from "../endpoint/engine";
import type { OwnedEndpoints } from "./ownership";
import type { InstanceIdentity } from "./membership";

const PROBE_INTERVAL_MS = 250;
/** How long an endpoint that did not answer is passed over. */
export const UNREACHABLE_COOLDOWN_MS = 1000;
/** How long a word that an endpoint leaves holds without being said again. */
const LEAVING_TTL_MS = 5000;

/** Faults that come with an answer. */
const ANSWERED_FAULTS: ReadonlySet<EngineFault> = new Set([EngineFault.lost, EngineFault.refused]);

/** Hears of reports. */
export type ReportListener = (report: EngineReport) => void;

/** Reads reports again and again. */
export class Prober {
  private timer: NodeJS.Timeout | undefined;
  private readonly probesInFlight = new Set<string>();
  private readonly listeners: ReportListener[] = [];

  constructor(
    private readonly board: Blackboard,
    private readonly self: InstanceIdentity,
    private readonly engines: EngineClient,
    private readonly clock: Clock,
    private readonly ownedEndpoints: OwnedEndpoints,
    /** Tells which pools this instance keeps the book of. */
    private readonly listScheduledPools: () => ReadonlySet<string>,
    /** Tells whether this instance controls the endpoints of its data centre. */
    private readonly isController: () => boolean,
  ) {}

  start(): void {
    this.timer = setInterval(() => {
      this.probe();
    }, PROBE_INTERVAL_MS);
  }

  close(): void {
    clearInterval(this.timer);
  }

  /** Calls `listener` with every report that comes. */
  onReport(listener: ReportListener): void {
    this.listeners.push(listener);
  }

  /** Reads the reports of all watched endpoints now. */
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
        void this.probeEndpoint(name, endpoint.url);
      }
    }
    for (const name of this.board.endpoints.keys()) {
      if (!Object.hasOwn(endpoints, name)) this.board.endpoints.delete(name);
    }
  }

  private async probeEndpoint(name: string, url: string): Promise<void> {
    if (this.probesInFlight.has(name)) return;
    this.probesInFlight.add(name);
    const askedAt = this.clock.now();
    const report = await this.engines.fetchReport(url)();
    this.probesInFlight.delete(name);
    if (E.isLeft(report)) {
      // A plain service may have no reports; that it answers is enough.
      if (ANSWERED_FAULTS.has(report.left.fault)) return;
      this.board.unreachable.set(name, { deadline: this.clock.now() + UNREACHABLE_COOLDOWN_MS });
      return;
    }
    this.applyReport({ ...report.right, name }, askedAt);
  }

  private applyReport(report: EngineReport, askedAt: Moment): void {
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
      reportedAt: askedAt,
    });
    for (const listener of this.listeners) listener(report);
  }
}
