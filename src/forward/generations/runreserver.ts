/**
 * Reserves memory at decode engines for the runs of one generation.
 */
import type { EngineLimits } from "../../fleet/config";
import { type ForwardContext, type RequestTimes, createSuspect } from "../endpoints";
import type { ForwardRequest } from "../requests";
import type { RefusalTracker, StreamOrigin } from "../shared";
import {
  computeReservationTokens,
  computeWaitLimits,
  type Reservation,
  type ReservationQueue,
} from "../engines";

/** How long a generation that runs waits for room at another engine, in milliseconds. */
const SEARCH_WAIT_MS = 1000;

/** A search for an engine in place of a silent one. */
export interface ReplacementSearch {
  readonly silentEngineId: string | undefined;
  /** True if it may be the silent engine itself. */
  readonly mayBeSame: boolean;
}

/** What the engine of the next run is chosen by. */
export interface RunDemand {
  /** True if an engine may have written events already. */
  readonly hasStarted: boolean;
  /** Id of an engine that has the prompt in its cache. */
  readonly cachedEngineId: string | undefined;
  /** The engine that began the stream; undefined for a new one. */
  readonly origin: StreamOrigin | undefined;
  /** Set if a run is silent that the reservation would replace. */
  readonly search: ReplacementSearch | undefined;
}

/** Dependencies of a reserver. */
export interface RunReserverParts {
  readonly context: ForwardContext;
  readonly reservations: ReservationQueue;
  readonly refusals: RefusalTracker;
}

/** Reserves memory for one generation. */
export class RunReserver {
  private readonly needTokens: number;
  /** True once a run was reserved for: later ones are due to a break in this answer. */
  private hasReserved = false;

  constructor(
    private readonly parts: RunReserverParts,
    private readonly request: ForwardRequest,
    private readonly limits: EngineLimits,
    private readonly times: RequestTimes,
  ) {
    const { size } = request.head;
    this.needTokens = size === undefined ? 0 : computeReservationTokens(size);
  }

  /**
   * Reserves memory for a run; waits until there is room.
   *
   * @param signal - aborted when the memory is no longer needed
   * @returns undefined if there was no room in time
   */
  async reserve(
    { hasStarted, cachedEngineId, origin, search }: RunDemand,
    signal: AbortSignal,
  ): Promise<Reservation | undefined> {
    const { clock, meter } = this.parts.context;
    if (origin !== undefined) await this.refreshList();
    this.hasReserved = true;
    const { head, service, priority, isOverRate } = this.request;
    const { arrivedAt } = this.times;
    const startedAt = clock.now();
    const isReturned = this.parts.refusals.wasRefused(this.request.fingerprint, arrivedAt);
    const wait = computeWaitLimits({ ...this.times, isReturned, hasStarted });
    this.logQueued(isReturned);
    const reservation = await this.parts.reservations.reserve({
      requestId: head.id,
      priority,
      isOverRate,
      arrivedAt,
      targetDeadline: wait.targetDeadline,
      deadline:
        search === undefined ? wait.deadline : Math.min(wait.deadline, startedAt + SEARCH_WAIT_MS),
      service,
      limits: this.limits,
      needTokens: this.needTokens,
      suspect: createSuspect(this.request),
      cachedEngineId,
      hasStarted,
      isSearch: search !== undefined,
      avoidedEngineId: search?.mayBeSame === true ? undefined : search?.silentEngineId,
      origin,
      allowedRegions: this.request.allowedRegions,
      caller: signal,
    });
    meter.recordWait(service, clock.now() - startedAt);
    return reservation;
  }

  /**
   * Reads the list again unless it was read since the stream broke: an engine may be another process
   * now, of another version. A stream that is taken up broke before the request came.
   */
  private async refreshList(): Promise<void> {
    const { listConfirmer, clock } = this.parts.context;
    const brokeAt = this.hasReserved ? clock.now() : this.times.arrivedAt;
    await listConfirmer.refresh(brokeAt);
  }

  private logQueued(isReturned: boolean): void {
    const { context, reservations } = this.parts;
    const { head, service, isOverRate } = this.request;
    context.logger.info("queued", {
      request: head.id,
      needTokens: this.needTokens,
      waiting: reservations.size,
      isReturned,
      isOverRate,
      engines: reservations.listViews(service, context.clock.now()).length,
      listOffset: context.directory.next.offset,
    });
  }
}
