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
const PUMP_MS = 20;
/** How long an engine may take to answer a reservation, in milliseconds. */
const HOLD_CALL_MS = 500;

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

interface Ticket extends ReservationRequest {
  readonly resolve: (reservation: Reservation | undefined) => void;
}

/** Hands out memory at decode engines. */
export class ReservationQueue {
  private readonly queue = new UrgentQueue<Ticket>();
  private readonly asking = new Set<string>();
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
      const ticket: Ticket = { ...request, resolve };
      this.queue.push(ticket);
      request.caller.addEventListener(
        "abort",
        () => {
          if (this.queue.remove(ticket.id) !== undefined) resolve(undefined);
        },
        { once: true },
      );
      this.dispatchWaiting();
    });
  }

  /** Looks whether a waiting generation can go. */
  dispatchWaiting(): void {
    const now = this.context.clock.now();
    for (const ticket of this.queue.removeExpired(now)) ticket.resolve(undefined);
    for (const ticket of this.queue.listHeads(now)) {
      const view = this.choose(ticket, now);
      if (view === undefined) break;
      this.queue.take(ticket.id);
      void this.ask(ticket, view.endpoint);
    }
    this.schedule();
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
    for (const ticket of this.queue.listHeads(this.context.clock.now())) {
      this.queue.remove(ticket.id);
      ticket.resolve(undefined);
    }
  }

  /** Stops looking. */
  close(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
  }

  private choose(ticket: Ticket, now: Moment): EngineView | undefined {
    const views = this.listViews(ticket.service, now).filter(
      (view) => !this.asking.has(view.endpoint.id),
    );
    const preferred = views.filter((view) => view.endpoint.id === ticket.preferred);
    const limits = limitCapacity(ticket.limits, ticket.targetDeadline <= now);
    return (
      chooseDecode(preferred, limits, ticket.needTokens) ??
      chooseDecode(views, limits, ticket.needTokens)
    );
  }

  /** One question at a time to an engine, so that its answer counts for the next. */
  private async ask(ticket: Ticket, endpoint: EndpointEntry): Promise<void> {
    const { client, codec, clock, logger } = this.context;
    const { id } = endpoint;
    this.asking.add(id);
    this.engineLoad.addLocalWork(id, ticket.needTokens, 0, 1);
    const call = codec.createReserveHoldCall(endpoint, ticket.needTokens, ticket.limits.holdTtlMs);
    const answer = await client.call(endpoint.address, call, HOLD_CALL_MS);
    this.asking.delete(id);
    const hold = E.isRight(answer)
      ? codec.readHold(answer.right.status, answer.right.body)
      : undefined;
    const now = clock.now();
    if (hold !== undefined && !ticket.caller.aborted) {
      logger.info("reserved", {
        request: ticket.id,
        engine: id,
        needTokens: ticket.needTokens,
        waitedMs: Math.round(now - ticket.arrivedAt),
        waiting: this.queue.size,
      });
      ticket.resolve({ endpoint, hold, needTokens: ticket.needTokens });
      this.dispatchWaiting();
      return;
    }
    this.engineLoad.addLocalWork(id, -ticket.needTokens, 0, -1);
    if (hold !== undefined) this.drop({ endpoint, hold, needTokens: 0 });
    else if (E.isLeft(answer)) this.engineLoad.markUnavailable(id, now);
    else if (codec.isMisdirected(answer.right.status)) {
      this.context.directory.markMisdirected(endpoint);
    } else this.engineLoad.markFull(id, now);
    logger.debug("no room", {
      request: ticket.id,
      endpoint: id,
      answer: E.isRight(answer) ? answer.right.status : answer.left.message,
    });
    if (ticket.caller.aborted) ticket.resolve(undefined);
    else this.queue.push(ticket);
    this.dispatchWaiting();
  }

  /** Gives memory back that is not used. */
  drop(reservation: Reservation): void {
    const { client, codec, logger } = this.context;
    const { endpoint, hold } = reservation;
    const call = codec.createReleaseHoldCall(hold);
    void client.call(endpoint.address, call, HOLD_CALL_MS).then((answer) => {
      if (E.isRight(answer)) return;
      logger.warn("hold not released", { endpoint: endpoint.id, error: answer.left.message });
    });
  }

  private schedule(): void {
    if (this.timer !== undefined || this.queue.size === 0) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.dispatchWaiting();
    }, PUMP_MS);
  }
}
