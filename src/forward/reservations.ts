/**
 * Where generations wait for memory at a decode engine. The engine itself has the last word: its
 * memory is reserved before a prompt is read, so that no prompt is read in vain.
 */
import * as E from "fp-ts/Either";
import type { Moment } from "../core/clock";
import type { EngineLimits } from "../fleet/config";
import type { EndpointEntry } from "../fleet/directory";
import type { ForwardContext } from "./context";
import { chooseDecode, type EngineLoadTracker, type EngineView } from "./engines";
import { limitCapacity } from "./overload";
import { type UrgentQueueItem, UrgentQueue } from "../core/urgentqueue";

/** How often waiting generations are looked at, in milliseconds. */
const DISPATCH_INTERVAL_MS = 20;
/** How long an engine may take to answer a reservation, in milliseconds. */
const HOLD_CALL_TIMEOUT_MS = 500;

/** Memory reserved at a decode engine. */
export interface Reservation {
  readonly endpoint: EndpointEntry;
  readonly hold: string;
  readonly needTokens: number;
}

/** A generation that waits for memory. */
export interface ReservationRequest extends UrgentQueueItem {
  readonly service: string;
  readonly limits: EngineLimits;
  readonly needTokens: number;
  /** An engine that has the prompt in its cache. */
  readonly preferred: string | undefined;
  readonly caller: AbortSignal;
}

interface WaitingRequest extends ReservationRequest {
  readonly resolve: (reservation: Reservation | undefined) => void;
}

/** Hands out memory at decode engines. */
export class ReservationQueue {
  private readonly queue = new UrgentQueue<WaitingRequest>();
  private readonly enginesInCall = new Set<string>();
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly context: ForwardContext,
    private readonly engineLoad: EngineLoadTracker,
  ) {}

  /** Generations that wait. */
  get size(): number {
    return this.queue.size;
  }

  /**
   * Reserves memory.
   *
   * @returns undefined where none was had by the request's give-up time, or its caller left
   */
  reserve(request: ReservationRequest): Promise<Reservation | undefined> {
    return new Promise((resolve) => {
      const waitingRequest: WaitingRequest = { ...request, resolve };
      this.queue.push(waitingRequest);
      request.caller.addEventListener(
        "abort",
        () => {
          if (this.queue.remove(waitingRequest.id) !== undefined) resolve(undefined);
        },
        { once: true },
      );
      this.dispatchWaiting();
    });
  }

  /** Looks whether a waiting generation can go. */
  dispatchWaiting(): void {
    const now = this.context.clock.now();
    for (const waitingRequest of this.queue.removeExpired(now)) waitingRequest.resolve(undefined);
    for (const waitingRequest of this.queue.listHeads(now)) {
      const view = this.chooseEngine(waitingRequest, now);
      if (view === undefined) break;
      this.queue.take(waitingRequest.id);
      void this.requestHold(waitingRequest, view.endpoint);
    }
    this.scheduleDispatch();
  }

  /** Lists the engines of a service. */
  listViews(service: string, now: Moment): readonly EngineView[] {
    const { directory } = this.context;
    return directory
      .listUsable(now)
      .filter((endpoint) => endpoint.service === service && endpoint.stage !== undefined)
      .map((endpoint) => this.engineLoad.readView(endpoint, directory.isInDoubt(endpoint.id), now));
  }

  /** Ends all waits: the instance stops, and others have as much room. */
  stop(): void {
    for (const waitingRequest of this.queue.listHeads(this.context.clock.now())) {
      this.queue.remove(waitingRequest.id);
      waitingRequest.resolve(undefined);
    }
  }

  /** Stops looking. */
  close(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
  }

  private chooseEngine(waitingRequest: WaitingRequest, now: Moment): EngineView | undefined {
    const views = this.listViews(waitingRequest.service, now).filter(
      (view) => !this.enginesInCall.has(view.endpoint.id),
    );
    const preferred = views.filter((view) => view.endpoint.id === waitingRequest.preferred);
    const limits = limitCapacity(waitingRequest.limits, waitingRequest.targetDeadline <= now);
    return (
      chooseDecode(preferred, limits, waitingRequest.needTokens) ??
      chooseDecode(views, limits, waitingRequest.needTokens)
    );
  }

  /** One question at a time to an engine, so that its answer counts for the next. */
  private async requestHold(
    waitingRequest: WaitingRequest,
    endpoint: EndpointEntry,
  ): Promise<void> {
    const { client, codec, clock, logger } = this.context;
    const { id } = endpoint;
    this.enginesInCall.add(id);
    this.engineLoad.addLocalWork(id, waitingRequest.needTokens, 0, 1);
    const call = codec.createReserveHoldCall(
      endpoint,
      waitingRequest.needTokens,
      waitingRequest.limits.holdTtlMs,
    );
    const answer = await client.call(endpoint.address, call, HOLD_CALL_TIMEOUT_MS);
    this.enginesInCall.delete(id);
    const hold = E.isRight(answer)
      ? codec.readHold(answer.right.status, answer.right.body)
      : undefined;
    const now = clock.now();
    if (hold !== undefined && !waitingRequest.caller.aborted) {
      logger.info("reserved", {
        request: waitingRequest.id,
        engine: id,
        needTokens: waitingRequest.needTokens,
        waitedMs: Math.round(now - waitingRequest.arrivedAt),
        waiting: this.queue.size,
      });
      waitingRequest.resolve({ endpoint, hold, needTokens: waitingRequest.needTokens });
      this.dispatchWaiting();
      return;
    }
    this.engineLoad.addLocalWork(id, -waitingRequest.needTokens, 0, -1);
    if (hold !== undefined) this.release({ endpoint, hold, needTokens: 0 });
    else if (E.isLeft(answer)) this.engineLoad.markUnavailable(id, now);
    else if (codec.isMisdirected(answer.right.status)) {
      this.context.directory.markMisdirected(endpoint);
    } else this.engineLoad.markFull(id, now);
    logger.debug("no room", {
      request: waitingRequest.id,
      endpoint: id,
      answer: E.isRight(answer) ? answer.right.status : answer.left.message,
    });
    if (waitingRequest.caller.aborted) waitingRequest.resolve(undefined);
    else this.queue.push(waitingRequest);
    this.dispatchWaiting();
  }

  /** Gives memory back that is not used. */
  release(reservation: Reservation): void {
    const { client, codec, logger } = this.context;
    const { endpoint, hold } = reservation;
    const call = codec.createReleaseHoldCall(hold);
    void client.call(endpoint.address, call, HOLD_CALL_TIMEOUT_MS).then((answer) => {
      if (E.isRight(answer)) return;
      logger.warn("hold not released", { endpoint: endpoint.id, error: answer.left.message });
    });
  }

  private scheduleDispatch(): void {
    if (this.timer !== undefined || this.queue.size === 0) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.dispatchWaiting();
    }, DISPATCH_INTERVAL_MS);
  }
}
