/**
 * Requests grants of engines from the schedulers of pools, for the requests of this instance. When
 * a scheduler is lost or silent, pending requests are sent to the next one.
 */
import * as E from "fp-ts/Either";
import type { Blackboard } from "../board/board";
import type { Clock, Moment } from "../core/clock";
import type { Logger } from "../core/log";
import { type Metrics, Metric } from "../core/metrics";
import { ReadFirstTimer } from "../core/readfirst";
import { runTask } from "../core/tasks";
import type { BookReply, BookRequest, Done, Grant, Refusal, Want } from "../peer/gen/peer";
import type { BookClientStream, PeerTransport } from "../peer/transport";
import { chooseScheduler } from "./ownership";
import type { PoolScheduler } from "./scheduler";
import { findInstanceAddress, type InstanceIdentity } from "./membership";
import { SentRequests } from "./sentrequests";

const CHECK_INTERVAL_MS = 100;
/**
 * A connection without any message for this long counts as lost: a scheduler sends an empty reply
 * every few hundred milliseconds.
 */
const SILENCE_TIMEOUT_MS = 1000;
/** How long a scheduler whose connection was lost is skipped. */
const SCHEDULER_COOLDOWN_MS = 1500;
/** Number of checks after which a request that was not acknowledged is overdue: as long as silence. */
const MAX_UNACKNOWLEDGED_CHECKS = SILENCE_TIMEOUT_MS / CHECK_INTERVAL_MS;

/** Why a connection to a scheduler was given up. */
const DropCause = { ended: "ended", silent: "silent", unacknowledged: "unacknowledged" } as const;
type DropCause = (typeof DropCause)[keyof typeof DropCause];

/** Why a request was sent again. */
const ResendCause = {
  /** Another scheduler is responsible for it. */
  moved: "moved",
  /** It was not sent on the connection that its scheduler has now. */
  lost: "lost",
} as const;
type ResendCause = (typeof ResendCause)[keyof typeof ResendCause];

/** A request that is waiting for its grant. */
interface PendingRequest {
  readonly want: Want;
  readonly requestedAt: Moment;
  scheduler: string;
  readonly resolve: (result: E.Either<Refusal, Grant>) => void;
}

/** A connection to one scheduler, which may be this instance itself. */
interface SchedulerConnection {
  /** Its place in the order of openings. */
  readonly number: number;
  send(request: BookRequest): void;
  readonly readLastReplyAt: () => Moment;
  /** Tells whether its scheduler acknowledges requests; older builds do not. */
  readonly readIsAcknowledging: () => boolean;
  close(): void;
}

/** Requests grants and reports the progress of granted requests. */
export class SchedulerClient {
  private readonly pendingRequests = new Map<string, PendingRequest>();
  private readonly connections = new Map<string, SchedulerConnection>();
  /** The scheduler of each pending or granted request, by request. */
  private readonly schedulerByRequest = new Map<string, string>();
  /** Until when a scheduler whose connection was lost is skipped, by instance. */
  private readonly skippedUntil = new Map<string, Moment>();
  /** Until when the address of a scheduler is waited for that the list does not name, by instance. */
  private readonly addressDeadlines = new Map<string, Moment>();
  private readonly outgoingMessages = new Map<string, BookRequest>();
  private readonly sentRequests = new SentRequests(MAX_UNACKNOWLEDGED_CHECKS);
  private openedCount = 0;
  private timer: ReadFirstTimer | undefined;

  constructor(
    private readonly board: Blackboard,
    private readonly self: InstanceIdentity,
    private readonly scheduler: PoolScheduler,
    private readonly transport: PeerTransport,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly metrics: Metrics,
  ) {}

  /** Checks connections at intervals, each time after sockets were read. */
  start(): void {
    this.timer = new ReadFirstTimer(CHECK_INTERVAL_MS, () => {
      this.start();
      void runTask("check schedulers", this.logger, () => {
        this.check();
      });
    });
  }

  close(): void {
    this.timer?.close();
    for (const connection of this.connections.values()) connection.close();
    this.connections.clear();
  }

  /** Requests engines; resolves when they are granted or refused. */
  requestGrant(want: Want): Promise<E.Either<Refusal, Grant>> {
    return new Promise((resolve) => {
      const scheduler = this.chooseSchedulerOf(want.pool);
      this.pendingRequests.set(want.id, {
        want,
        requestedAt: this.clock.now(),
        scheduler,
        resolve,
      });
      this.sendWant(want, scheduler);
    });
  }

  /** Reports the stage of a granted request to its scheduler. */
  reportProgress(done: Done): void {
    const scheduler = this.schedulerByRequest.get(done.id);
    if (done.stage !== "decoding") this.schedulerByRequest.delete(done.id);
    if (scheduler === undefined) return;
    this.queueMessage(scheduler, { wants: [], done: [done] });
  }

  /** Cancels a request; a grant that arrives later is returned at once. */
  cancel(id: string): void {
    this.pendingRequests.delete(id);
    this.sentRequests.forget(id);
    this.reportProgress(createCancel(id));
  }

  private chooseSchedulerOf(pool: string): string {
    const now = this.clock.now();
    const skippedInstances = new Set(
      [...this.skippedUntil].filter(([, deadline]) => deadline > now).map(([name]) => name),
    );
    return chooseScheduler(this.board, this.self, pool, now, skippedInstances);
  }

  private sendWant(want: Want, scheduler: string): void {
    this.schedulerByRequest.set(want.id, scheduler);
    this.sentRequests.recordQueued(want.id);
    this.queueMessage(scheduler, { wants: [want], done: [] });
  }

  /** Queues a message; all messages of one event-loop turn to one scheduler are sent as one. */
  private queueMessage(scheduler: string, request: BookRequest): void {
    const queued = this.outgoingMessages.get(scheduler);
    if (queued !== undefined) {
      mergeMessage(queued, request);
      return;
    }
    this.outgoingMessages.set(scheduler, { wants: [...request.wants], done: [...request.done] });
    queueMicrotask(() => void this.sendQueued(scheduler));
  }

  /** Sends what is queued for a scheduler; one that can't be sent anything is skipped. */
  private async sendQueued(scheduler: string): Promise<void> {
    const message = this.outgoingMessages.get(scheduler);
    this.outgoingMessages.delete(scheduler);
    if (message === undefined) return;
    // Recorded as not sent until it is.
    for (const want of message.wants) this.sentRequests.recordSent(want.id, undefined);
    const isDone = await runTask("send to a scheduler", this.logger, () => {
      const connection = this.findOrOpenConnection(scheduler);
      if (connection === undefined) {
        this.awaitAddress(scheduler);
        return;
      }
      for (const want of message.wants) this.sentRequests.recordSent(want.id, connection.number);
      connection.send(message);
    });
    if (!isDone) this.skip(scheduler);
  }

  /**
   * Waits for an address as long as for a silent scheduler. A peer may be heard before the list is read
   * that names it; another scheduler for the same pool would know nothing of its crashes.
   */
  private awaitAddress(scheduler: string): void {
    if (this.addressDeadlines.has(scheduler)) return;
    this.addressDeadlines.set(scheduler, this.clock.now() + SILENCE_TIMEOUT_MS);
  }

  /** Ends the waits for addresses that are known now, or not in time. */
  private checkAddresses(now: Moment): void {
    for (const [scheduler, deadline] of this.addressDeadlines) {
      const isKnown = findInstanceAddress(this.board, scheduler) !== undefined;
      if (!isKnown && deadline > now) continue;
      this.addressDeadlines.delete(scheduler);
      if (!isKnown) this.skip(scheduler);
    }
  }

  private skip(scheduler: string): void {
    this.skippedUntil.set(scheduler, this.clock.now() + SCHEDULER_COOLDOWN_MS);
  }

  private findOrOpenConnection(scheduler: string): SchedulerConnection | undefined {
    const known = this.connections.get(scheduler);
    if (known !== undefined) return known;
    const connection =
      scheduler === this.self.instance
        ? this.openLocalConnection(scheduler)
        : this.openRemoteConnection(scheduler);
    if (connection !== undefined) this.connections.set(scheduler, connection);
    return connection;
  }

  private openLocalConnection(scheduler: string): SchedulerConnection {
    const name = this.self.incarnation;
    this.openedCount += 1;
    this.scheduler.openSession({
      name,
      send: (reply) => {
        this.handleReply(scheduler, reply);
      },
    });
    return {
      number: this.openedCount,
      send: (request) => {
        this.scheduler.onBookRequest(name, request);
      },
      readLastReplyAt: () => this.clock.now(),
      readIsAcknowledging: () => false,
      close: () => {
        this.scheduler.closeSession(name);
      },
    };
  }

  private openRemoteConnection(scheduler: string): SchedulerConnection | undefined {
    const address = findInstanceAddress(this.board, scheduler);
    if (address === undefined) return undefined;
    const stream: BookClientStream = this.transport.openBookStream(address);
    this.openedCount += 1;
    const number = this.openedCount;
    const isOpen = () => this.connections.get(scheduler)?.number === number;
    let lastReplyAt = this.clock.now();
    let isAcknowledging = false;
    stream.on("data", (reply: BookReply) => {
      // What comes on a connection that was given up is of a session that its scheduler closes.
      if (!isOpen()) return;
      lastReplyAt = this.clock.now();
      isAcknowledging ||= reply.acknowledges;
      for (const id of reply.received) this.sentRequests.acknowledge(id, number);
      void runTask("handle a scheduler's reply", this.logger, () => {
        this.handleReply(scheduler, reply);
      });
    });
    // A connection that was given up ends later, when another one may be open.
    const onEnd = () => {
      if (isOpen()) this.dropConnection(scheduler, DropCause.ended);
    };
    stream.on("error", onEnd);
    stream.on("end", onEnd);
    return {
      number,
      send: (request) => {
        stream.write(request);
      },
      readLastReplyAt: () => lastReplyAt,
      readIsAcknowledging: () => isAcknowledging,
      close: () => {
        stream.cancel();
      },
    };
  }

  private handleReply(scheduler: string, reply: BookReply): void {
    for (const grant of reply.grants) this.handleGrant(scheduler, grant);
    for (const refusal of reply.refusals) this.handleRefusal(scheduler, refusal);
  }

  /** Takes a grant if its scheduler is the one that the request is at now; returns it there else. */
  private handleGrant(scheduler: string, grant: Grant): void {
    if (this.isPresent(scheduler, grant.id) && this.resolvePending(grant.id, E.right(grant)))
      return;
    this.logger.info("grant returned", { request: grant.id, scheduler });
    this.queueMessage(scheduler, { wants: [], done: [createCancel(grant.id)] });
  }

  /** Believes a refusal only of the scheduler that the request is at now. */
  private handleRefusal(scheduler: string, refusal: Refusal): void {
    if (!this.isPresent(scheduler, refusal.id)) {
      this.logger.info("refusal ignored", { request: refusal.id, scheduler });
      return;
    }
    this.schedulerByRequest.delete(refusal.id);
    this.resolvePending(refusal.id, E.left(refusal));
  }

  private isPresent(scheduler: string, id: string): boolean {
    return this.schedulerByRequest.get(id) === scheduler;
  }

  private resolvePending(id: string, result: E.Either<Refusal, Grant>): boolean {
    const pending = this.pendingRequests.get(id);
    if (pending === undefined) return false;
    this.pendingRequests.delete(id);
    this.sentRequests.forget(id);
    pending.resolve(result);
    return true;
  }

  private dropConnection(scheduler: string, cause: DropCause): void {
    const connection = this.connections.get(scheduler);
    if (connection === undefined) return;
    this.connections.delete(scheduler);
    connection.close();
    this.skip(scheduler);
    this.logger.info("scheduler lost", { scheduler, cause, waiting: this.pendingRequests.size });
    this.reassignPendingRequests();
  }

  /**
   * Drops silent connections, and reassigns pending requests for which another scheduler is
   * responsible now.
   */
  private check(): void {
    for (const [scheduler, connection] of this.connections) {
      const cause = this.findDropCause(connection);
      if (cause !== undefined) this.dropConnection(scheduler, cause);
    }
    this.checkAddresses(this.clock.now());
    this.reassignPendingRequests();
  }

  private findDropCause(connection: SchedulerConnection): DropCause | undefined {
    const overdue = this.sentRequests.checkOverdue(connection.number);
    if (this.clock.now() - connection.readLastReplyAt() > SILENCE_TIMEOUT_MS)
      return DropCause.silent;
    if (overdue.length === 0 || !connection.readIsAcknowledging()) return undefined;
    return DropCause.unacknowledged;
  }

  /** Unlike a check, may run before sockets are read: it takes no silence for a fault. */
  private reassignPendingRequests(): void {
    const now = this.clock.now();
    for (const [name, deadline] of this.skippedUntil)
      if (deadline <= now) this.skippedUntil.delete(name);
    for (const pending of this.pendingRequests.values()) this.reassignPending(pending, now);
  }

  /** Finds why a pending request has to be sent again; undefined if it need not be. */
  private findResendCause(pending: PendingRequest, scheduler: string): ResendCause | undefined {
    if (scheduler !== pending.scheduler) return ResendCause.moved;
    if (this.addressDeadlines.has(scheduler)) return undefined;
    const connection = this.connections.get(scheduler)?.number;
    return this.sentRequests.isLost(pending.want.id, connection) ? ResendCause.lost : undefined;
  }

  /**
   * Sends a pending request to its present scheduler where that has changed or has not got it, with its
   * targets reduced by the time waited.
   */
  private reassignPending(pending: PendingRequest, now: Moment): void {
    const scheduler = this.chooseSchedulerOf(pending.want.pool);
    const cause = this.findResendCause(pending, scheduler);
    if (cause === undefined) return;
    const waitedMs = Math.round(now - pending.requestedAt);
    this.metrics.count(Metric.resentWant, 1, { cause });
    this.logger.info("request sent again", {
      request: pending.want.id,
      cause,
      before: pending.scheduler,
      scheduler,
      waitedMs,
    });
    this.reportProgress(createCancel(pending.want.id));
    pending.scheduler = scheduler;
    this.sendWant(
      {
        ...pending.want,
        firstTokenMs: Math.max(0, pending.want.firstTokenMs - waitedMs),
        patienceMs: Math.max(0, pending.want.patienceMs - waitedMs),
      },
      scheduler,
    );
  }
}

function createCancel(id: string): Done {
  return { id, stage: "ended", fault: "cancelled", engine: "" };
}

/**
 * Merges a message into one that is queued. A scheduler handles the ends of a message before its requests, so a
 * request that ends before it was sent is taken out.
 */
function mergeMessage(queued: BookRequest, next: BookRequest): void {
  const ended = new Set(next.done.map(({ id }) => id));
  queued.wants = queued.wants.filter(({ id }) => !ended.has(id)).concat(next.wants);
  queued.done.push(...next.done);
}
