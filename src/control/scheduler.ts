/**
 * Schedules the requests of pools: queues them fairly, and grants each a prefill and a decode
 * engine once both have room, so that no prefill runs without a decode slot for its result.
 */
import type { Blackboard } from "../board/board";
import type { Clock, Moment } from "../core/clock";
import type { RequestQueue } from "../core/queues/queue";
import { listEvacuated } from "../core/config/evacuations";
import type { Logger } from "../core/log";
import { type Metrics, Metric } from "../core/metrics";
import { Reason } from "../core/outcome";
import type { Placement, PlacementPolicy } from "../core/placement";
import { listPools, type Pool } from "../core/pools";
import { PeriodicTask, runTask } from "../core/tasks";
import type { EngineReport } from "../endpoint/engine";
import { EngineFault } from "../endpoint/fault";
import {
  BookReply,
  type BookRequest,
  type Done,
  type Grant,
  type Refusal,
  type Want,
} from "../peer/gen/peer";
import { type GrantedRequest, GrantTable, hasCandidates, type WaitingRequest } from "./grants";
import type { SchedulerPolicy } from "./policy";
import { UNREACHABLE_COOLDOWN_MS } from "./prober";
import { type SchedulerSession, SessionList } from "./sessions";
import { createWaitingRequest } from "./waiting";

const TICK_INTERVAL_MS = 25;
/** How long an idle pool is still scheduled here after the last request for it. */
const IDLE_POOL_TTL_MS = 5000;
/** How long an engine that reported itself full is skipped. */
const FULL_COOLDOWN_MS = 150;
/** How long until a grant expires if its end is never reported. */
const GRANT_TTL_MS = 120_000;
const MIN_RETRY_AFTER_MS = 250;
const MAX_RETRY_AFTER_MS = 10_000;

/** The stages of a granted request that its instance reports. */
export const GrantStage = {
  decoding: "decoding",
  ended: "ended",
  /** The engine's process is gone. */
  crashed: "crashed",
  /** The connections to the engine broke, and new ones break too. */
  likelyCrashed: "likely crashed",
} as const;
export type GrantStage = (typeof GrantStage)[keyof typeof GrantStage];

/** Faults after which an engine is skipped for `UNREACHABLE_COOLDOWN_MS`. */
const COOLDOWN_FAULTS: ReadonlySet<string> = new Set([
  EngineFault.unreachable,
  EngineFault.down,
  EngineFault.silent,
  EngineFault.draining,
]);

/** A pool that is scheduled here. */
interface ScheduledPool {
  readonly name: string;
  readonly queue: RequestQueue<WaitingRequest>;
  readonly grants: GrantTable;
  readonly placement: PlacementPolicy;
  lastRequestedAt: Moment;
}

/** Where a request waits or runs, and for whom. */
interface KnownRequest {
  readonly pool: string;
  readonly session: string;
}

/** Schedules the pools for which instances request grants here. */
export class PoolScheduler {
  private readonly pools = new Map<string, ScheduledPool>();
  private readonly requests = new Map<string, KnownRequest>();
  private readonly sessions = new SessionList();
  private readonly task: PeriodicTask;

  constructor(
    private readonly board: Blackboard,
    private readonly clock: Clock,
    private readonly policy: SchedulerPolicy,
    private readonly logger: Logger,
    private readonly metrics: Metrics,
    /** Called when a pool is first scheduled here, to fetch fresh reports. */
    private readonly onNewPool: () => void,
  ) {
    this.task = new PeriodicTask("schedule", TICK_INTERVAL_MS, logger, () => {
      this.tick();
    });
  }

  start(): void {
    this.task.start();
  }

  close(): void {
    this.task.close();
  }

  /** Lists the pools that are scheduled here. */
  listScheduledPools(): ReadonlySet<string> {
    return new Set(this.pools.keys());
  }

  openSession(session: SchedulerSession): void {
    this.sessions.open(session);
  }

  /** Removes the requests and grants of a session; the engines' reports still show what runs. */
  closeSession(name: string): void {
    this.sessions.close(name);
    for (const pool of this.pools.values()) {
      for (const [id, request] of this.requests) {
        if (request.pool !== pool.name || request.session !== name) continue;
        if (pool.queue.remove(id) !== undefined) this.requests.delete(id);
      }
      pool.grants.endSession(name);
    }
  }

  /** Handles the requests and progress reports of an instance. */
  onBookRequest(session: string, request: BookRequest): void {
    for (const done of request.done) {
      void runTask("handle the end of a grant", this.logger, () => {
        this.handleDone(session, done);
      });
    }
    for (const want of request.wants) void this.handleWantOrRefuse(session, want);
    for (const pool of this.pools.values()) this.grantWaiting(pool);
  }

  /** Handles a request; one that can't be handled is refused, as nothing else would answer it. */
  private async handleWantOrRefuse(session: string, want: Want): Promise<void> {
    const isHandled = await runTask("handle a request for engines", this.logger, () => {
      this.handleWant(session, want);
    });
    if (isHandled) return;
    await runTask("refuse a request for engines", this.logger, () => {
      this.requests.delete(want.id);
      this.refuse(session, want, Reason.noEndpoint, MIN_RETRY_AFTER_MS);
    });
  }

  /** Handles a report of an engine. */
  onReport(report: EngineReport): void {
    this.resolveCrashes(report);
    for (const pool of this.pools.values()) {
      pool.grants.recordEvicted(report.name, report.evicted);
      this.grantWaiting(pool);
    }
  }

  /**
   * Confirms or retracts crashes: a report shows whether the process said to have crashed still
   * runs.
   */
  private resolveCrashes(report: EngineReport): void {
    const { poison } = this.board;
    const now = this.clock.now();
    for (const process of poison.listCrashedProcesses()) {
      if (!process.startsWith(`${report.name}@`)) continue;
      if (process === `${report.name}@${report.incarnation}`) poison.retractCrash(process, now);
      else poison.confirmCrash(process, now);
    }
  }

  private handleWant(session: string, want: Want): void {
    const now = this.clock.now();
    const known = this.requests.get(want.id);
    // It waits or runs already; granted twice, its end would be reported once.
    if (known?.session === session) return;
    if (known !== undefined && this.isLate(session, known, want.id, "request")) return;
    if (known !== undefined) this.forget(want.id, known, now);
    const pool = listPools(this.board.config.read().configuration).get(want.pool);
    if (pool === undefined || !hasCandidates(this.board, pool, want)) {
      this.refuse(session, want, Reason.noEndpoint, MIN_RETRY_AFTER_MS);
      return;
    }
    const scheduledPool = this.findOrCreatePool(want.pool, now);
    // The request carries its own crash history, so that a new scheduler knows it too.
    for (const process of want.crashes)
      this.board.poison.addSuspect(want.fingerprint, process, now);
    if (this.board.poison.isPoison(want.fingerprint, now)) {
      this.refuse(session, want, Reason.poison, 0);
      return;
    }
    this.requests.set(want.id, { pool: want.pool, session });
    scheduledPool.queue.push(createWaitingRequest(session, want, this.findClassWeight(want), now));
  }

  /** Checks whether a message on a request is of a session that its instance had given up by then. */
  private isLate(session: string, known: KnownRequest, id: string, message: string): boolean {
    if (!this.sessions.isSuperseded(session, known.session)) return false;
    this.metrics.count(Metric.lateMessage);
    this.logger.info("late message", { request: id, session, message, sentOn: known.session });
    return true;
  }

  /** Ends the wait or the grant of a request. */
  private forget(id: string, known: KnownRequest, now: Moment): GrantedRequest | undefined {
    this.requests.delete(id);
    const pool = this.pools.get(known.pool);
    pool?.queue.remove(id);
    return pool?.grants.end(id, now);
  }

  private handleDone(session: string, done: Done): void {
    const now = this.clock.now();
    const known = this.requests.get(done.id);
    const pool = this.pools.get(known?.pool ?? "");
    if (known === undefined || pool === undefined) return;
    if (this.isLate(session, known, done.id, done.stage)) return;
    if (done.stage === GrantStage.decoding) {
      pool.grants.markDecoding(done.id, now);
      return;
    }
    if (done.stage === GrantStage.crashed || done.stage === GrantStage.likelyCrashed) {
      this.handleCrash(pool, done, now);
    }
    if (done.fault === EngineFault.full) pool.grants.markFull(done.engine, now + FULL_COOLDOWN_MS);
    if (COOLDOWN_FAULTS.has(done.fault)) {
      this.board.unreachable.set(done.engine, { deadline: now + UNREACHABLE_COOLDOWN_MS });
    }
    const grant = this.forget(done.id, known, now);
    if (done.fault === "" && grant !== undefined) this.board.poison.clear(grant.want.fingerprint);
  }

  /**
   * Marks every request that ran on the crashed engine as suspect; only the first report of a crash
   * counts.
   */
  private handleCrash(pool: ScheduledPool, done: Done, now: Moment): void {
    const grant = pool.grants.find(done.id);
    if (grant === undefined) return;
    const process = grant.prefill === done.engine ? grant.prefillProcess : grant.decodeProcess;
    const running = pool.grants.listCrashed(done.engine, now);
    const isConfirmed = done.stage === GrantStage.crashed;
    const isNew = this.board.poison.recordCrash(process, running, now, isConfirmed);
    this.board.unreachable.set(done.engine, { deadline: now + UNREACHABLE_COOLDOWN_MS });
    if (isNew) this.logger.warn("crash", { process, isConfirmed, running: running.length });
  }

  private tick(): void {
    const now = this.clock.now();
    let waiting = 0;
    for (const pool of this.pools.values()) {
      for (const item of pool.queue.removeExpired(now)) {
        this.requests.delete(item.id);
        this.refuse(item.session, item.want, Reason.overloaded, this.estimateRetryAfterMs(pool));
      }
      pool.grants.prune(now);
      this.grantWaiting(pool);
      waiting += pool.queue.size;
      const isIdle = pool.queue.size === 0 && pool.grants.size === 0;
      if (isIdle && now - pool.lastRequestedAt > IDLE_POOL_TTL_MS) this.pools.delete(pool.name);
    }
    this.board.poison.prune(now);
    this.metrics.gauge(Metric.queueLength, waiting);
  }

  private grantWaiting(scheduledPool: ScheduledPool): void {
    const pool = listPools(this.board.config.read().configuration).get(scheduledPool.name);
    if (pool === undefined) return;
    const now = this.clock.now();
    while (this.grantNext(scheduledPool, pool, now));
  }

  /** Grants or drops one waiting request; returns false where none can be granted now. */
  private grantNext(scheduledPool: ScheduledPool, pool: Pool, now: Moment): boolean {
    for (const item of scheduledPool.queue.listHeads(now)) {
      if (!this.sessions.has(item.session)) {
        scheduledPool.queue.remove(item.id);
        return true;
      }
      if (this.board.poison.isPoison(item.want.fingerprint, now)) {
        scheduledPool.queue.remove(item.id);
        this.refuse(item.session, item.want, Reason.poison, 0);
        return true;
      }
      const placement = scheduledPool.placement.choose(
        scheduledPool.grants.createPlacementRequest(item, now),
        scheduledPool.grants.listCandidates(pool.prefills, item, now),
        scheduledPool.grants.listCandidates(pool.decodes, item, now),
      );
      if (placement === undefined) {
        if (this.canBeServed(pool, item)) continue;
        scheduledPool.queue.remove(item.id);
        this.requests.delete(item.id);
        this.refuse(item.session, item.want, Reason.noEndpoint, MIN_RETRY_AFTER_MS);
        return true;
      }
      scheduledPool.queue.dequeue(item.id);
      this.grant(scheduledPool, item, placement, now);
      return true;
    }
    return false;
  }

  /** Checks whether a request that waits need not be refused since data centres were evacuated. */
  private canBeServed(pool: Pool, { want }: WaitingRequest): boolean {
    const isAnyEvacuated = listEvacuated(this.board.config.read().configuration).length > 0;
    return !isAnyEvacuated || hasCandidates(this.board, pool, want);
  }

  private grant(
    scheduledPool: ScheduledPool,
    item: WaitingRequest,
    placement: Placement,
    now: Moment,
  ): void {
    const { want, session } = item;
    const { prefill, decode, candidates, reason } = placement;
    const prefillProcess = this.formatProcessName(prefill);
    const decodeProcess = this.formatProcessName(decode);
    scheduledPool.grants.addGrant({
      want,
      session,
      prefill,
      decode,
      prefillProcess,
      decodeProcess,
      grantedAt: now,
      deadline: now + GRANT_TTL_MS,
      decodingSince: undefined,
    });
    const grant: Grant = {
      id: want.id,
      prefill,
      decode,
      candidates,
      reason,
      prefillProcess,
      decodeProcess,
      lateReserve: !scheduledPool.placement.reservesSlots,
    };
    this.metrics.timing(Metric.queueMs, now - item.arrivedAt, { class: want.class });
    this.logger.info("placement", {
      request: want.id,
      workspace: want.workspace,
      class: want.class,
      pool: scheduledPool.name,
      candidates,
      chosen: `${prefill}, ${decode}`,
      reason,
      waitedMs: Math.round(now - item.arrivedAt),
    });
    this.sessions.send(session, BookReply.fromPartial({ grants: [grant] }));
  }

  private refuse(session: string, want: Want, reason: Reason, retryAfterMs: number): void {
    const refusal: Refusal = { id: want.id, reason, retryAfterMs };
    this.logger.info("placement", {
      request: want.id,
      workspace: want.workspace,
      class: want.class,
      pool: want.pool,
      candidates: 0,
      chosen: "none",
      reason,
    });
    this.sessions.send(session, BookReply.fromPartial({ refusals: [refusal] }));
  }

  private findOrCreatePool(name: string, now: Moment): ScheduledPool {
    const known = this.pools.get(name);
    if (known !== undefined) {
      known.lastRequestedAt = now;
      return known;
    }
    const pool: ScheduledPool = {
      name,
      queue: this.policy.createQueue(),
      grants: new GrantTable(this.board),
      placement: this.policy.createPlacement(),
      lastRequestedAt: now,
    };
    this.pools.set(name, pool);
    this.onNewPool();
    return pool;
  }

  /** Names the process of an engine: its name and its incarnation. */
  private formatProcessName(engine: string): string {
    return `${engine}@${this.board.endpoints.get(engine)?.incarnation ?? ""}`;
  }

  private findClassWeight(want: Want): number {
    return this.board.config.read().configuration.classes[want.class]?.weight ?? 1;
  }

  /** Estimates when the present queue will have drained, in milliseconds with random jitter. */
  private estimateRetryAfterMs(pool: ScheduledPool): number {
    const estimate = MIN_RETRY_AFTER_MS * (1 + pool.queue.size / 4);
    return Math.round(Math.min(MAX_RETRY_AFTER_MS, estimate) * (1 + Math.random() / 2));
  }
}
