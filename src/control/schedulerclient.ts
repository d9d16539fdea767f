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

const CHECK_MS = 100;
/** A keeper sends something at least every few hundred milliseconds. */
const SILENCE_MS = 1000;
/** How long a keeper that was lost is passed over. */
const PASS_OVER_MS = 1500;

/** A request that waits for its grant. */
interface Asked {
  readonly want: Want;
  readonly askedAt: Moment;
  scheduler: string;
  readonly resolve: (answer: E.Either<Refusal, Grant>) => void;
}

/** The way to one keeper. */
interface SchedulerLine {
  send(request: BookRequest): void;
  readonly heardAt: () => Moment;
  close(): void;
}

/** Asks keepers. */
export class SchedulerClient {
  private readonly asked = new Map<string, Asked>();
  private readonly lines = new Map<string, SchedulerLine>();
  private readonly schedulerOf = new Map<string, string>();
  private readonly passedOver = new Map<string, Moment>();
  private readonly outgoing = new Map<string, BookRequest>();
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
    }, CHECK_MS);
  }

  close(): void {
    clearInterval(this.timer);
    for (const line of this.lines.values()) line.close();
    this.lines.clear();
  }

  /** Asks for engines; answered when they are granted or refused. */
  requestGrant(want: Want): Promise<E.Either<Refusal, Grant>> {
    return new Promise((resolve) => {
      const scheduler = this.choose(want.pool);
      this.asked.set(want.id, { want, askedAt: this.clock.now(), scheduler, resolve });
      this.sendWant(want, scheduler);
    });
  }

  /** Tells the keeper how far a granted request has come. */
  reportProgress(done: Done): void {
    const scheduler = this.schedulerOf.get(done.id);
    if (done.stage !== "decoding") this.schedulerOf.delete(done.id);
    if (scheduler === undefined) return;
    this.post(scheduler, { wants: [], done: [done] });
  }

  /** Takes back what was asked; a grant that comes later is given back. */
  cancel(id: string): void {
    this.asked.delete(id);
    this.reportProgress({ id, stage: "ended", fault: "cancelled", engine: "" });
  }

  private choose(pool: string): string {
    const now = this.clock.now();
    const passedOver = new Set(
      [...this.passedOver].filter(([, deadline]) => deadline > now).map(([name]) => name),
    );
    return chooseScheduler(this.board, this.self, pool, now, passedOver);
  }

  private sendWant(want: Want, scheduler: string): void {
    this.schedulerOf.set(want.id, scheduler);
    this.post(scheduler, { wants: [want], done: [] });
  }

  /** What is sent in one turn travels in one message. */
  private post(scheduler: string, request: BookRequest): void {
    const waiting = this.outgoing.get(scheduler);
    if (waiting !== undefined) {
      waiting.wants.push(...request.wants);
      waiting.done.push(...request.done);
      return;
    }
    this.outgoing.set(scheduler, { wants: [...request.wants], done: [...request.done] });
    queueMicrotask(() => {
      const message = this.outgoing.get(scheduler);
      this.outgoing.delete(scheduler);
      if (message !== undefined) this.findLine(scheduler)?.send(message);
    });
  }

  private findLine(scheduler: string): SchedulerLine | undefined {
    const known = this.lines.get(scheduler);
    if (known !== undefined) return known;
    const line =
      scheduler === this.self.instance ? this.createOwnLine() : this.createFarLine(scheduler);
    if (line !== undefined) this.lines.set(scheduler, line);
    return line;
  }

  private createOwnLine(): SchedulerLine {
    const name = this.self.incarnation;
    this.scheduler.openSession({
      name,
      send: (reply) => {
        this.takeReply(reply);
      },
    });
    return {
      send: (request) => {
        this.scheduler.onBookRequest(name, request);
      },
      heardAt: () => this.clock.now(),
      close: () => {
        this.scheduler.closeSession(name);
      },
    };
  }

  private createFarLine(scheduler: string): SchedulerLine | undefined {
    const address = findInstanceAddress(this.board, scheduler);
    if (address === undefined) return undefined;
    const stream: BookClientStream = this.transport.openBookStream(address);
    let heardAt = this.clock.now();
    stream.on("data", (reply: BookReply) => {
      heardAt = this.clock.now();
      this.takeReply(reply);
    });
    stream.on("error", () => {
      this.loseLine(scheduler);
    });
    stream.on("end", () => {
      this.loseLine(scheduler);
    });
    return {
      send: (request) => {
        stream.write(request);
      },
      heardAt: () => heardAt,
      close: () => {
        stream.cancel();
      },
    };
  }

  private takeReply(reply: BookReply): void {
    for (const grant of reply.grants) {
      if (!this.answer(grant.id, E.right(grant))) {
        this.reportProgress({ id: grant.id, stage: "ended", fault: "cancelled", engine: "" });
      }
    }
    for (const refusal of reply.refusals) {
      this.schedulerOf.delete(refusal.id);
      this.answer(refusal.id, E.left(refusal));
    }
  }

  private answer(id: string, answer: E.Either<Refusal, Grant>): boolean {
    const asked = this.asked.get(id);
    if (asked === undefined) return false;
    this.asked.delete(id);
    asked.resolve(answer);
    return true;
  }

  private loseLine(scheduler: string): void {
    const line = this.lines.get(scheduler);
    if (line === undefined) return;
    this.lines.delete(scheduler);
    line.close();
    this.passedOver.set(scheduler, this.clock.now() + PASS_OVER_MS);
    this.check();
  }

  /** Gives up silent keepers, and asks again what another keeper has to answer now. */
  private check(): void {
    const now = this.clock.now();
    for (const [scheduler, line] of this.lines) {
      if (now - line.heardAt() > SILENCE_MS) this.loseLine(scheduler);
    }
    for (const [name, deadline] of this.passedOver)
      if (deadline <= now) this.passedOver.delete(name);
    for (const asked of this.asked.values()) this.moveAsked(asked, now);
  }

  private moveAsked(asked: Asked, now: Moment): void {
    const scheduler = this.choose(asked.want.pool);
    const isLost = asked.scheduler !== this.self.instance && !this.lines.has(asked.scheduler);
    if (scheduler === asked.scheduler && !isLost) return;
    this.reportProgress({ id: asked.want.id, stage: "ended", fault: "cancelled", engine: "" });
    asked.scheduler = scheduler;
    const waited = Math.round(now - asked.askedAt);
    this.sendWant(
      {
        ...asked.want,
        firstTokenMs: Math.max(0, asked.want.firstTokenMs - waited),
        patienceMs: Math.max(0, asked.want.patienceMs - waited),
      },
      scheduler,
    );
  }
}
