/**
 * Simulates router instances in front of simulated engines. The queue, the engine load tracker and the engine
 * selection are the router's own code; instances learn of each other's work by simulated heartbeats.
 */
import { UrgentQueue, type UrgentQueueItem } from "../../src/core/queues/urgentqueue";
import type { EngineLimits } from "../../src/fleet/config";
import { type EndpointEntry, EngineStage } from "../../src/fleet/entries";
import {
  EngineModel as SpeedModel,
  chooseDecode,
  choosePrefill,
  EngineLoadTracker,
} from "../../src/forward/engines";
import { createWorkKind, HealthTracker } from "../../src/forward/endpoints";
import type * as overload from "../../src/forward/engines/overload";
import type { Arrival, Random } from "./arrivals";
import type { EngineModel } from "./engine";

const NETWORK_HOP_MS = 1;
const HEARTBEAT_INTERVAL_MS = 500;

/** The functions of src/forward/overload.ts, or replacements with the same signatures. */
export type OverloadDecisions = typeof overload;

/** A named set of overload decisions that is compared with others. */
export interface RouterPolicy {
  readonly name: string;
  readonly decisions: OverloadDecisions;
  /** False if engines are chosen by their free memory and queues alone, whatever their speeds. */
  readonly usesExpectedTime: boolean;
}

/** The only service of the simulated engines. */
const SERVICE = "models";
/** The data centres of the simulated engines, by stage. */
const PREFILL_DATA_CENTRE = "a";
export const DECODE_DATA_CENTRE = "b";

/** The latency target, timeout and output limit that the router assumes for each request. */
export interface RouterParameters {
  readonly targetLatencyMs: number;
  readonly deadlineMs: number;
  readonly outputTokenLimit: number;
  /** The data centre of the instance. */
  readonly dataCentre: string;
}

/** A generation request that was sent to a router instance, possibly again. */
export interface Attempt extends Arrival {
  /** When its caller first sent the request. */
  readonly requestedAt: number;
  /** True if it was refused before and its caller retries. */
  readonly isReturned: boolean;
  /** True if it ran on an engine that crashed. */
  readonly hasStarted: boolean;
}

/** The virtual clock, timers and random numbers of a simulation, and callbacks for the results of attempts. */
export interface RouterHost {
  readonly now: () => number;
  readonly schedule: (ms: number, action: () => void) => void;
  readonly random: Random;
  readonly onFirstToken: (attempt: Attempt) => void;
  readonly onEnd: (attempt: Attempt) => void;
  readonly onRefused: (attempt: Attempt) => void;
}

interface QueuedAttempt extends UrgentQueueItem {
  readonly attempt: Attempt;
  readonly reservationTokens: number;
}

/** A simulated router instance. */
export class RouterModel {
  readonly engineLoad = new EngineLoadTracker();
  private readonly speeds = new SpeedModel();
  private readonly health = new HealthTracker();
  private readonly queue = new UrgentQueue<QueuedAttempt>();
  private readonly pendingHoldEngines = new Set<string>();

  constructor(
    readonly name: string,
    private readonly engines: ReadonlyMap<string, EngineModel>,
    private readonly entries: readonly EndpointEntry[],
    private readonly limits: EngineLimits,
    private readonly parameters: RouterParameters,
    private readonly policy: RouterPolicy,
    private readonly host: RouterHost,
  ) {}

  get dataCentre(): string {
    return this.parameters.dataCentre;
  }

  /** Queues a generation until an engine has memory for it. */
  submit(attempt: Attempt): void {
    const now = this.host.now();
    const { targetLatencyMs, deadlineMs, outputTokenLimit } = this.parameters;
    const { decisions } = this.policy;
    const { promptTokens, outputTokens, requestedAt, isReturned, hasStarted } = attempt;
    const softDeadline = requestedAt + targetLatencyMs;
    const demand = {
      arrivedAt: now,
      softDeadline,
      deadline: requestedAt + deadlineMs,
      isReturned,
      hasStarted,
    };
    this.queue.push({
      id: attempt.id,
      attempt,
      reservationTokens: decisions.computeReservationTokens({
        promptTokens,
        maxOutputTokens: outputTokenLimit,
        expectedOutputTokens: outputTokens,
      }),
      priority: attempt.priority,
      isOverRate: attempt.isOverRate,
      arrivedAt: now,
      ...decisions.computeWaitLimits(demand),
    });
    this.dispatchWaiting();
  }

  /** Refuses expired generations, and requests holds for waiting ones in queue order while engines have room. */
  dispatchWaiting(): void {
    const now = this.host.now();
    for (const queued of this.queue.removeExpired(now)) this.host.onRefused(queued.attempt);
    for (const queued of this.queue.listHeads(now)) {
      const views = this.listViews(now).filter(
        (view) => !this.pendingHoldEngines.has(view.endpoint.id),
      );
      const isLate = queued.targetDeadline <= now;
      const limits = this.policy.decisions.limitCapacity(this.limits, isLate);
      const chosen = chooseDecode(views, limits, {
        needTokens: queued.reservationTokens,
        dataCentre: this.parameters.dataCentre,
        unseen: { generations: 0, random: this.host.random },
      });
      if (chosen === undefined) return;
      this.queue.dequeue(queued.id);
      this.requestHold(queued, chosen.endpoint.id);
    }
  }

  private listViews(now: number) {
    return this.entries.map((entry) => {
      const view = this.engineLoad.readView(entry, false, now);
      return this.policy.usesExpectedTime ? { ...view, ...this.readSpeed(entry, now) } : view;
    });
  }

  private readSpeed({ id, stage }: EndpointEntry, now: number) {
    const estimate = this.health.estimateSpeed(createWorkKind(stage ?? "", SERVICE), id, now);
    const load = this.health.readLoadReport(id, now);
    if (load === undefined) return { estimate };
    return { estimate, report: { requests: load.running + load.waiting, slots: load.slots } };
  }

  /** Records what an engine tells of its load in an answer. */
  private recordLoad(id: string): void {
    const now = this.host.now();
    const load = this.engines.get(id)?.readLoad(now);
    if (load !== undefined) this.health.recordLoadOfAnswer(id, load, now);
  }

  private recordWork(stage: EngineStage, id: string, ms: number, units: number): void {
    const sample = { ms, units };
    this.health.recordWork(createWorkKind(stage, SERVICE), id, sample, this.host.now());
  }

  private requestHold(queued: QueuedAttempt, id: string): void {
    this.pendingHoldEngines.add(id);
    this.engineLoad.addLocalWork(id, queued.reservationTokens, 0, 1);
    this.host.schedule(2 * NETWORK_HOP_MS, () => {
      this.pendingHoldEngines.delete(id);
      const now = this.host.now();
      const hold = this.engines.get(id)?.reserveHold(queued.reservationTokens, now);
      this.recordLoad(id);
      if (hold === undefined) {
        this.engineLoad.addLocalWork(id, -queued.reservationTokens, 0, -1);
        this.engineLoad.markFull(id, now);
        this.queue.push(queued);
      } else this.startPrefill(queued, id, hold);
      this.dispatchWaiting();
    });
  }

  private startPrefill(queued: QueuedAttempt, decodeId: string, hold: string): void {
    const now = this.host.now();
    const { promptTokens, requestedAt } = queued.attempt;
    const prompt = {
      promptTokens,
      tokensPerMs: this.speeds.readTokensPerMs(SERVICE, now),
      leftMs: requestedAt + this.parameters.targetLatencyMs - now,
      unseen: { generations: 0, random: this.host.random },
    };
    const chosen = choosePrefill(this.listViews(now), new Set([decodeId]), prompt);
    const engine = this.engines.get(chosen?.endpoint.id ?? "");
    if (engine === undefined) {
      this.startDecode(queued, decodeId, hold, false);
      return;
    }
    this.engineLoad.addLocalWork(engine.id, 0, promptTokens, 1);
    engine.prefill(promptTokens, now, (availableAt, handle) => {
      this.host.schedule(availableAt - this.host.now() + 2 * NETWORK_HOP_MS, () => {
        this.engineLoad.addLocalWork(engine.id, 0, -promptTokens, -1);
        const ms = this.host.now() - now;
        this.recordLoad(engine.id);
        this.recordWork(engine.stage, engine.id, ms, promptTokens + (chosen?.promptTokens ?? 0));
        if (chosen?.promptTokens === 0) {
          this.speeds.recordPrefill(SERVICE, promptTokens, ms);
        }
        const isTransferred = handle !== undefined && engine.consumeHandle(handle, this.host.now());
        this.startDecode(queued, decodeId, hold, isTransferred);
      });
    });
  }

  private startDecode(
    queued: QueuedAttempt,
    id: string,
    hold: string,
    isTransferred: boolean,
  ): void {
    const { attempt, reservationTokens } = queued;
    const { promptTokens, outputTokens } = attempt;
    let firstTokenAt = 0;
    const job = {
      id: attempt.id,
      promptTokens,
      outputTokens,
      isTransferred,
      onFirstToken: () => {
        firstTokenAt = this.host.now();
        this.recordLoad(id);
        this.host.onFirstToken(attempt);
      },
      onEnd: () => {
        this.engineLoad.addLocalWork(id, -reservationTokens, 0, -1);
        const ms = this.host.now() - firstTokenAt;
        if (outputTokens > 1) this.recordWork(EngineStage.decode, id, ms, outputTokens - 1);
        this.host.onEnd(attempt);
        this.dispatchWaiting();
      },
      onLost: () => {
        this.engineLoad.addLocalWork(id, -reservationTokens, 0, -1);
        this.engineLoad.markUnavailable(id, this.host.now());
        this.host.schedule(NETWORK_HOP_MS, () => {
          this.submit({ ...attempt, hasStarted: true });
        });
      },
    };
    this.engines.get(id)?.run(job, hold, this.host.now());
  }
}

/** Starts the periodic exchange of work reports between all instances. */
export function startHeartbeats(routers: readonly RouterModel[], host: RouterHost): void {
  const exchangeHeartbeats = () => {
    for (const sender of routers) {
      const work = sender.engineLoad.listLocalWork();
      for (const receiver of routers)
        if (receiver !== sender) receiver.engineLoad.replacePeerWork(sender.name, work, host.now());
    }
    host.schedule(HEARTBEAT_INTERVAL_MS, exchangeHeartbeats);
  };
  exchangeHeartbeats();
}

/** Creates the endpoint directory entries of the engines. */
export function createEndpointEntries(engines: readonly EngineModel[]): readonly EndpointEntry[] {
  return engines.map(({ id, stage, dataCentre }) => ({
    id,
    service: "model",
    address: `${id}:1`,
    dataCentre:
      dataCentre ?? (stage === EngineStage.prefill ? PREFILL_DATA_CENTRE : DECODE_DATA_CENTRE),
    slots: 1,
    isLeaving: false,
    stage,
    version: undefined,
    processStartedAt: 1,
    sequence: 1,
  }));
}
