/**
 * Asks the keeper of a pool's book for engines, for the requests of this instance. When the keeper
 * is lost or silent, what waits is asked of the next one.
 */
import * as E from "fp-ts/Either";
import type { Blackboard } from "../board/board";
import type { Clock, Moment } from "../core/clock";
import type { BookReply, BookRequest, Done, Grant, Refusal, Want } from "../peer/gen/peer";
import type { BookClientStream, PeerTransport } from "../peer/transport";
import { chooseScheduler } from "./ownership";
import type { PoolScheduler } from "./scheduler";
import { findInstanceAddress, type InstanceIdentity } from "./membership";

const CHECK_INTERVAL_MS = 100;
/** A keeper sends something at least every few hundred milliseconds. */
const SILENCE_TIMEOUT_MS = 1000;
/** How long a keeper that was lost is passed over. */
const SCHEDULER_COOLDOWN_MS = 1500;

/** A request that waits for its grant. */
interface PendingRequest {
  readonly want: Want;
  readonly requestedAt: Moment;
  scheduler: string;
  readonly resolve: (answer: E.Either<Refusal, Grant>) => void;
}

/** The way to one keeper. */
interface SchedulerConnection {
  send(request: BookRequest): void;
  readonly readLastReplyAt: () => Moment;
  close(): void;
}

/** Asks keepers. */
export class SchedulerClient {
  private readonly pendingRequests = new Map<string, PendingRequest>();
  private readonly connections = new Map<string, SchedulerConnection>();
  private readonly schedulerByRequest = new Map<string, string>();
  private readonly skippedUntil = new Map<string, Moment>();
  private readonly outgoingMessages = new Map<string, BookRequest>();
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly board: Blackboard,
    private readonly self: InstanceIdentity,
    private readonly scheduler: PoolScheduler,
    private readonly transport: PeerTransport,
    private readonly clock: Clock,
  ) {}

  start(): void {
    this.timer = setInterval(() => {
      this.check();
    }, CHECK_INTERVAL_MS);
  }

  close(): void {
    clearInterval(this.timer);
    for (const line of this.connections.values()) line.close();
    this.connections.clear();
  }

  /** Asks for engines; answered when they are granted or refused. */
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

  /** Tells the keeper how far a granted request has come. */
  reportProgress(done: Done): void {
    const scheduler = this.schedulerByRequest.get(done.id);
    if (done.stage !== "decoding") this.schedulerByRequest.delete(done.id);
    if (scheduler === undefined) return;
    this.queueMessage(scheduler, { wants: [], done: [done] });
  }

  /** Takes back what was asked; a grant that comes later is given back. */
  cancel(id: string): void {
    this.pendingRequests.delete(id);
    this.reportProgress({ id, stage: "ended", fault: "cancelled", engine: "" });
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
    this.queueMessage(scheduler, { wants: [want], done: [] });
  }

  /** What is sent in one turn travels in one message. */
  private queueMessage(scheduler: string, request: BookRequest): void {
    const waiting = this.outgoingMessages.get(scheduler);
    if (waiting !== undefined) {
      waiting.wants.push(...request.wants);
      waiting.done.push(...request.done);
      return;
    }
    this.outgoingMessages.set(scheduler, { wants: [...request.wants], done: [...request.done] });
    queueMicrotask(() => {
      const message = this.outgoingMessages.get(scheduler);
      this.outgoingMessages.delete(scheduler);
      if (message !== undefined) this.findOrOpenConnection(scheduler)?.send(message);
    });
  }

  private findOrOpenConnection(scheduler: string): SchedulerConnection | undefined {
    const known = this.connections.get(scheduler);
    if (known !== undefined) return known;
    const line =
      scheduler === this.self.instance
        ? this.openLocalConnection()
        : this.openRemoteConnection(scheduler);
    if (line !== undefined) this.connections.set(scheduler, line);
    return line;
  }

  private openLocalConnection(): SchedulerConnection {
    const name = this.self.incarnation;
    this.scheduler.openSession({
      name,
      send: (reply) => {
        this.handleReply(reply);
      },
    });
    return {
      send: (request) => {
        this.scheduler.onBookRequest(name, request);
      },
      readLastReplyAt: () => this.clock.now(),
      close: () => {
        this.scheduler.closeSession(name);
      },
    };
  }

  private openRemoteConnection(scheduler: string): SchedulerConnection | undefined {
    const address = findInstanceAddress(this.board, scheduler);
    if (address === undefined) return undefined;
    const stream: BookClientStream = this.transport.openBookStream(address);
    let heardAt = this.clock.now();
    stream.on("data", (reply: BookReply) => {
      heardAt = this.clock.now();
      this.handleReply(reply);
    });
    stream.on("error", () => {
      this.dropConnection(scheduler);
    });
    stream.on("end", () => {
      this.dropConnection(scheduler);
    });
    return {
      send: (request) => {
        stream.write(request);
      },
      readLastReplyAt: () => heardAt,
      close: () => {
        stream.cancel();
      },
    };
  }

  private handleReply(reply: BookReply): void {
    for (const grant of reply.grants) {
      if (!this.resolvePending(grant.id, E.right(grant))) {
        this.reportProgress({ id: grant.id, stage: "ended", fault: "cancelled", engine: "" });
      }
    }
    for (const refusal of reply.refusals) {
      this.schedulerByRequest.delete(refusal.id);
      this.resolvePending(refusal.id, E.left(refusal));
    }
  }

  private resolvePending(id: string, answer: E.Either<Refusal, Grant>): boolean {
    const pending = this.pendingRequests.get(id);
    if (pending === undefined) return false;
    this.pendingRequests.delete(id);
    pending.resolve(answer);
    return true;
  }

  private dropConnection(scheduler: string): void {
    const line = this.connections.get(scheduler);
    if (line === undefined) return;
    this.connections.delete(scheduler);
    line.close();
    this.skippedUntil.set(scheduler, this.clock.now() + SCHEDULER_COOLDOWN_MS);
    this.check();
  }

  /** Gives up silent keepers, and asks again what another keeper has to answer now. */
  private check(): void {
    const now = this.clock.now();
    for (const [scheduler, line] of this.connections) {
      if (now - line.readLastReplyAt() > SILENCE_TIMEOUT_MS) this.dropConnection(scheduler);
    }
    for (const [name, deadline] of this.skippedUntil)
      if (deadline <= now) this.skippedUntil.delete(name);
    for (const pending of this.pendingRequests.values()) this.reassignPending(pending, now);
  }

  private reassignPending(pending: PendingRequest, now: Moment): void {
    const scheduler = this.chooseSchedulerOf(pending.want.pool);
    const isLost =
      pending.scheduler !== this.self.instance && !this.connections.has(pending.scheduler);
    if (scheduler === pending.scheduler && !isLost) return;
    this.reportProgress({ id: pending.want.id, stage: "ended", fault: "cancelled", engine: "" });
    pending.scheduler = scheduler;
    const waitedMs = Math.round(now - pending.requestedAt);
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
