/**
 * Queues generations until they get memory at a decode engine. The engine decides whether it has
 * room: its memory is reserved before a prompt is read, so that no prompt is read in vain.
 */
import type { Moment } from "../../core/clock";
import type { Suspect } from "../../core/crashes/suspects";
import { formatStack } from "../../core/log";
import type { EngineLimits } from "../../fleet/config";
import { type EndpointEntry, EngineStage } from "../../fleet/entries";
import type { RegionRule } from "../../fleet/regions";
import { createProcessId, createWorkKind, type ForwardContext, isInRegions } from "../endpoints";
import { Arrivals } from "./arrivals";
import { chooseDecode, type EngineLoadTracker, type EngineView } from "./load";
import { type GrantedHold, HoldCaller, HoldEnd } from "./holdcalls";
import { type StreamOrigin, canGoOn } from "../shared";
import { limitCapacity } from "./overload";
import { type UrgentQueueItem, UrgentQueue } from "../../core/queues/urgentqueue";
import { runTask } from "../../core/tasks";

/** How often the queue is checked for generations that can be dispatched, in milliseconds. */
const DISPATCH_INTERVAL_MS = 20;
/** A hold at a decode engine, which reserves memory for a generation. */
export interface Reservation extends GrantedHold {
  readonly needTokens: number;
}

/** A generation that needs memory. */
export interface ReservationRequest extends Omit<UrgentQueueItem, "id"> {
  /** Id that its caller chose, for the log: other generations may have the same. */
  readonly requestId: string;
  readonly service: string;
  readonly limits: EngineLimits;
  readonly needTokens: number;
  /** What the crash tracker knows the generation by. */
  readonly suspect: Suspect;
  /** Id of an engine that has the prompt in its cache. */
  readonly cachedEngineId: string | undefined;
  /** True if an engine may have written events of it already. */
  readonly hasStarted: boolean;
  /** True if a run of it goes on that is only silent. */
  readonly isSearch: boolean;
  /** Id of an engine that is silent, which takes none; undefined if each may. */
  readonly avoidedEngineId: string | undefined;
  /** The engine that began the stream, so that only its version goes on; undefined for a new one. */
  readonly origin: StreamOrigin | undefined;
  /** Regions in which it may be run. */
  readonly allowedRegions?: RegionRule;
  readonly caller: AbortSignal;
}

interface WaitingRequest extends ReservationRequest {
  /** Id in the queue, which no other generation of this instance has. */
  readonly id: string;
  readonly resolve: (reservation: Reservation | undefined) => void;
  readonly reject: (error: unknown) => void;
}

/** Queues generations and reserves memory for them at decode engines. */
export class ReservationQueue {
  private readonly queue = new UrgentQueue<WaitingRequest>();
  private readonly holdCaller: HoldCaller;
  private timer: NodeJS.Timeout | undefined;
  private queuedCount = 0;

  constructor(
    private readonly context: ForwardContext,
    private readonly engineLoad: EngineLoadTracker,
    private readonly arrivals: Pick<Arrivals, "estimateUnseen"> = new Arrivals(),
  ) {
    this.holdCaller = new HoldCaller(context);
  }

  /** Number of waiting generations. */
  get size(): number {
    return this.queue.size;
  }

  /**
   * Reserves memory at a decode engine; waits until there is room.
   *
   * @returns undefined if there was no room by the request's deadline, its caller left, it was
   *   found to crash engines, or the instance is stopping
   */
  reserve(request: ReservationRequest): Promise<Reservation | undefined> {
    // A signal that has fired does not fire again.
    if (request.caller.aborted) return Promise.resolve(undefined);
    return new Promise((resolve, reject) => {
      this.queuedCount += 1;
      const id = String(this.queuedCount);
      const waitingRequest: WaitingRequest = { ...request, id, resolve, reject };
      this.queue.push(waitingRequest);
      request.caller.addEventListener(
        "abort",
        () => {
          if (this.queue.remove(waitingRequest.id) !== undefined) resolve(undefined);
        },
        { once: true },
      );
      this.guard(waitingRequest, () => {
        this.dispatchWaiting();
      });
    });
  }

  /** Drops expired requests, and requests holds for those that can be placed now. */
  dispatchWaiting(): void {
    const now = this.context.clock.now();
    for (const waitingRequest of this.queue.removeExpired(now)) waitingRequest.resolve(undefined);
    this.dropBanned(now);
    /** Services without an engine for their most urgent generation: the others wait behind it. */
    const fullServices = new Set<string>();
    for (const waitingRequest of this.queue.listHeads(now)) {
      if (fullServices.has(waitingRequest.service)) continue;
      this.guard(waitingRequest, () => {
        if (!this.dispatch(waitingRequest, now)) fullServices.add(waitingRequest.service);
      });
    }
    this.scheduleDispatch();
  }

  /** Requests a hold if there is an engine; returns false if those behind it have to wait too. */
  private dispatch(waitingRequest: WaitingRequest, now: Moment): boolean {
    if (this.isTooLate(waitingRequest, now)) {
      this.queue.remove(waitingRequest.id);
      waitingRequest.resolve(undefined);
      return true;
    }
    const view = this.chooseEngine(waitingRequest, now);
    // A stream that waits for its version, or has a run, does not keep others from engines.
    if (view === undefined) return canBePassed(waitingRequest);
    this.queue.dequeue(waitingRequest.id);
    this.requestHold(waitingRequest, view.endpoint).catch((error: unknown) => {
      this.fail(waitingRequest, error);
    });
    return true;
  }

  /** Decides on one generation; an unexpected error ends its wait, and no other. */
  private guard(waitingRequest: WaitingRequest, decide: () => void): void {
    try {
      decide();
    } catch (error) {
      this.fail(waitingRequest, error);
    }
  }

  private fail(waitingRequest: WaitingRequest, error: unknown): void {
    const fields = { request: waitingRequest.requestId, stack: formatStack(error) };
    this.context.logger.error("reservation failed", fields);
    this.queue.remove(waitingRequest.id);
    waitingRequest.reject(error);
  }

  /** Lists the usable engines of a service outside evacuated data centres, with their load. */
  listViews(service: string, now: Moment): readonly EngineView[] {
    const { directory, gate } = this.context;
    return directory
      .listUsable(now)
      .filter((endpoint) => endpoint.service === service && endpoint.stage !== undefined)
      .filter(({ id }) => !gate.isEvacuated(id))
      .map((endpoint) => {
        const view = this.engineLoad.readView(endpoint, directory.isInDoubt(endpoint.id), now);
        const isFull = view.isFull || !this.canSend(endpoint);
        return {
          ...view,
          isFull,
          isLimited: gate.isLimited(endpoint),
          ...this.readSpeed(view, now),
        };
      });
  }

  /** Describes the speed of an engine that reports its slowness, for the log. */
  private describeSpeed({ id, service, stage }: EndpointEntry) {
    const { health, clock } = this.context;
    const kind = createWorkKind(stage ?? "", service);
    const { ratio, isReported } = health.estimateSpeed(kind, id, clock.now());
    return isReported ? { slowness: Math.round(ratio * 100) / 100 } : {};
  }

  private readSpeed({ endpoint }: EngineView, now: Moment): Partial<EngineView> {
    const { health } = this.context;
    const kind = createWorkKind(endpoint.stage ?? "", endpoint.service);
    const estimate = health.estimateSpeed(kind, endpoint.id, now);
    const load = health.readLoadReport(endpoint.id, now);
    if (load === undefined) return { estimate };
    return { estimate, report: { requests: load.running + load.waiting, slots: load.slots } };
  }

  /**
   * Computes how long nothing may be sent to any decode engine of a service.
   *
   * @returns milliseconds; undefined if something may be sent to one, or there is none
   */
  computeHoldMs(service: string, now: Moment, rule?: RegionRule): number | undefined {
    const decodes = this.listDecodes(service, now);
    return this.context.gate.computeSharedHoldMs(
      decodes.filter((engine) => isInRegions(this.context, rule, engine)),
    );
  }

  /**
   * Drops the waiting requests that have not started: the instance is stopping, and other instances
   * have as much room. A stream that has begun can go on here only.
   */
  stop(): void {
    for (const waitingRequest of this.queue.listHeads(this.context.clock.now())) {
      if (waitingRequest.hasStarted) continue;
      this.queue.remove(waitingRequest.id);
      waitingRequest.resolve(undefined);
    }
  }

  /** Stops the periodic check of the queue. */
  close(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
  }

  /**
   * Checks whether a request waits in vain: no engine may go on with its stream, or all are paused or
   * take nothing until it has given up.
   */
  private isTooLate(waitingRequest: WaitingRequest, now: Moment): boolean {
    const { gate } = this.context;
    const { service, deadline } = waitingRequest;
    const decodes = this.listDecodes(service, now).filter((engine) =>
      this.canUse(waitingRequest, engine),
    );
    if (decodes.length === 0 && canBePassed(waitingRequest)) return true;
    if (gate.computeSharedPauseMs(decodes) !== undefined) return true;
    const holdMs = gate.computeSharedHoldMs(decodes);
    return holdMs !== undefined && now + holdMs >= deadline;
  }

  /** Checks whether there is an engine that may run a generation, or go on with its stream. */
  hasEngine(service: string, origin: StreamOrigin | undefined, now: Moment): boolean {
    if (origin === undefined) return true;
    return this.listDecodes(service, now).some((engine) => canGoOn(origin, engine));
  }

  /** Checks whether there is a decode engine in the regions in which a generation may be run. */
  hasEngineInRegions(service: string, rule: RegionRule, now: Moment): boolean {
    if (rule === undefined) return true;
    return this.listDecodes(service, now).some((each) => isInRegions(this.context, rule, each));
  }

  private canUse(request: ReservationRequest, engine: EndpointEntry): boolean {
    return canUse(request, engine) && isInRegions(this.context, request.allowedRegions, engine);
  }

  private listDecodes(service: string, now: Moment): readonly EndpointEntry[] {
    return this.context.directory
      .listUsable(now)
      .filter((endpoint) => endpoint.service === service && endpoint.stage === EngineStage.decode);
  }

  /** Drops the requests that were found to crash engines while they waited. */
  private dropBanned(now: Moment): void {
    for (const waitingRequest of this.queue.listHeads(now)) {
      this.guard(waitingRequest, () => {
        if (this.context.crashes.findBan(waitingRequest.suspect, now) === undefined) return;
        this.queue.remove(waitingRequest.id);
        waitingRequest.resolve(undefined);
      });
    }
  }

  /** Checks that an engine has asked for no pause, and that a connection to it is left. */
  private canSend({ id, service }: EndpointEntry): boolean {
    const { gate, client } = this.context;
    if (gate.isHeldBack(id)) return false;
    return this.engineLoad.countLocalRequests(id) < client.computeMaxConnections(service);
  }

  private chooseEngine(waitingRequest: WaitingRequest, now: Moment): EngineView | undefined {
    const views = this.listViews(waitingRequest.service, now).filter(
      ({ endpoint }) =>
        !this.holdCaller.isInCall(endpoint.id) && this.canUse(waitingRequest, endpoint),
    );
    const preferred = views.filter((view) => view.endpoint.id === waitingRequest.cachedEngineId);
    const limits = limitCapacity(waitingRequest.limits, waitingRequest.targetDeadline <= now);
    const { needTokens } = waitingRequest;
    const { dataCentre } = this.context;
    const unseen = this.arrivals.estimateUnseen(needTokens, now);
    const demand = { needTokens, dataCentre, unseen };
    return chooseDecode(preferred, limits, demand) ?? chooseDecode(views, limits, demand);
  }

  /**
   * Requests a hold; a request without one goes back into the queue. Only one call at a time goes
   * to an engine, so that its result is known before the next choice.
   */
  private async requestHold(
    waitingRequest: WaitingRequest,
    endpoint: EndpointEntry,
  ): Promise<void> {
    const { clock, logger, directory, listConfirmer } = this.context;
    const { id } = endpoint;
    const { requestId, needTokens, limits, caller } = waitingRequest;
    this.engineLoad.addLocalWork(id, needTokens, 0, 1);
    const demand = { needTokens, holdTtlMs: limits.holdTtlMs };
    const answer = await this.holdCaller.request(endpoint, demand);
    const { granted } = answer;
    if (granted !== undefined && !caller.aborted && !directory.hasLeft(endpoint)) {
      waitingRequest.resolve({ ...granted, needTokens });
      logger.info("reserved", {
        request: requestId,
        engine: id,
        process: createProcessId(endpoint),
        listAgeMs: Math.round(listConfirmer.computeAgeMs()),
        ...this.describeSpeed(endpoint),
        needTokens,
        waitedMs: Math.round(clock.now() - waitingRequest.arrivedAt),
        waiting: this.queue.size,
      });
      this.dispatchWaiting();
      return;
    }
    this.engineLoad.addLocalWork(id, -needTokens, 0, -1);
    if (granted !== undefined) this.holdCaller.release(granted);
    else this.recordNoHold(endpoint, answer.end);
    logger.debug("no room", { request: requestId, endpoint: id, answer: answer.message });
    if (caller.aborted) waitingRequest.resolve(undefined);
    else this.queue.push(waitingRequest);
    this.dispatchWaiting();
  }

  private recordNoHold(endpoint: EndpointEntry, end: HoldEnd): void {
    const now = this.context.clock.now();
    if (end === HoldEnd.failed) this.engineLoad.markUnavailable(endpoint.id, now);
    if (end === HoldEnd.misdirected) this.context.directory.markMisdirected(endpoint, now);
    if (end === HoldEnd.refused) this.engineLoad.markFull(endpoint.id, now);
  }

  /** Releases the hold of a reservation that is not used. */
  release(reservation: Reservation): void {
    this.holdCaller.release(reservation);
  }

  private scheduleDispatch(): void {
    if (this.timer !== undefined || this.queue.size === 0) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      const turn = () => {
        this.dispatchWaiting();
      };
      void runTask("dispatch", this.context.logger, turn).then(() => {
        this.scheduleDispatch();
      });
    }, DISPATCH_INTERVAL_MS);
  }
}

/** Checks whether a generation may run at an engine. */
function canUse({ origin, avoidedEngineId }: ReservationRequest, engine: EndpointEntry): boolean {
  return engine.id !== avoidedEngineId && canGoOn(origin, engine);
}

/** Checks whether others may pass a generation that finds no engine. */
function canBePassed({ origin, isSearch, allowedRegions }: ReservationRequest): boolean {
  return origin !== undefined || isSearch || allowedRegions !== undefined;
}
