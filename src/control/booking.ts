/**
 * Asks the keeper of a pool's book for engines, for the requests of this instance. When the keeper
 * is lost or silent, what waits is asked of the next one.
 */
import * as E from "fp-ts/Either";
import type { Board } from "../board/board";
import type { Clock, Moment } from "../core/clock";
import type { BookReply, BookRequest, Done, Grant, Refusal, Want } from "../peer/gen/peer";
import type { BookStream, PeerLink } from "../peer/link";
import { chooseKeeper } from "./election";
import type { Keeper } from "./keeper";
import { findAddress, type Self } from "./membership";

const CHECK_MS = 100;
/** A keeper sends something at least every few hundred milliseconds. */
const SILENCE_MS = 1000;
/** How long a keeper that was lost is passed over. */
const PASS_OVER_MS = 1500;

/** A request that waits for its grant. */
interface Asked {
  readonly want: Want;
  readonly askedAt: Moment;
  keeper: string;
  readonly resolve: (answer: E.Either<Refusal, Grant>) => void;
}

/** The way to one keeper. */
interface KeeperLine {
  send(request: BookRequest): void;
  readonly heardAt: () => Moment;
  close(): void;
}

/** Asks keepers. */
export class Booking {
  private readonly asked = new Map<string, Asked>();
  private readonly lines = new Map<string, KeeperLine>();
  private readonly keeperOf = new Map<string, string>();
  private readonly passedOver = new Map<string, Moment>();
  private readonly outgoing = new Map<string, BookRequest>();
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly board: Board,
    private readonly self: Self,
    private readonly keeper: Keeper,
    private readonly link: PeerLink,
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
  ask(want: Want): Promise<E.Either<Refusal, Grant>> {
    return new Promise((resolve) => {
      const keeper = this.choose(want.pool);
      this.asked.set(want.id, { want, askedAt: this.clock.now(), keeper, resolve });
      this.sendWant(want, keeper);
    });
  }

  /** Tells the keeper how far a granted request has come. */
  report(done: Done): void {
    const keeper = this.keeperOf.get(done.id);
    if (done.stage !== "decoding") this.keeperOf.delete(done.id);
    if (keeper === undefined) return;
    this.post(keeper, { wants: [], done: [done] });
  }

  /** Takes back what was asked; a grant that comes later is given back. */
  cancel(id: string): void {
    this.asked.delete(id);
    this.report({ id, stage: "ended", fault: "cancelled", engine: "" });
  }

  private choose(pool: string): string {
    const now = this.clock.now();
    const passedOver = new Set(
      [...this.passedOver].filter(([, deadline]) => deadline > now).map(([name]) => name),
    );
    return chooseKeeper(this.board, this.self, pool, now, passedOver);
  }

  private sendWant(want: Want, keeper: string): void {
    this.keeperOf.set(want.id, keeper);
    this.post(keeper, { wants: [want], done: [] });
  }

  /** What is sent in one turn travels in one message. */
  private post(keeper: string, request: BookRequest): void {
    const waiting = this.outgoing.get(keeper);
    if (waiting !== undefined) {
      waiting.wants.push(...request.wants);
      waiting.done.push(...request.done);
      return;
    }
    this.outgoing.set(keeper, { wants: [...request.wants], done: [...request.done] });
    queueMicrotask(() => {
      const message = this.outgoing.get(keeper);
      this.outgoing.delete(keeper);
      if (message !== undefined) this.findLine(keeper)?.send(message);
    });
  }

  private findLine(keeper: string): KeeperLine | undefined {
    const known = this.lines.get(keeper);
    if (known !== undefined) return known;
    const line = keeper === this.self.instance ? this.createOwnLine() : this.createFarLine(keeper);
    if (line !== undefined) this.lines.set(keeper, line);
    return line;
  }

  private createOwnLine(): KeeperLine {
    const name = this.self.incarnation;
    this.keeper.openSession({
      name,
      send: (reply) => {
        this.takeReply(reply);
      },
    });
    return {
      send: (request) => {
        this.keeper.onRequest(name, request);
      },
      heardAt: () => this.clock.now(),
      close: () => {
        this.keeper.closeSession(name);
      },
    };
  }

  private createFarLine(keeper: string): KeeperLine | undefined {
    const address = findAddress(this.board, keeper);
    if (address === undefined) return undefined;
    const stream: BookStream = this.link.openBook(address);
    let heardAt = this.clock.now();
    stream.on("data", (reply: BookReply) => {
      heardAt = this.clock.now();
      this.takeReply(reply);
    });
    stream.on("error", () => {
      this.loseLine(keeper);
    });
    stream.on("end", () => {
      this.loseLine(keeper);
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
        this.report({ id: grant.id, stage: "ended", fault: "cancelled", engine: "" });
      }
    }
    for (const refusal of reply.refusals) {
      this.keeperOf.delete(refusal.id);
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

  private loseLine(keeper: string): void {
    const line = this.lines.get(keeper);
    if (line === undefined) return;
    this.lines.delete(keeper);
    line.close();
    this.passedOver.set(keeper, this.clock.now() + PASS_OVER_MS);
    this.check();
  }

  /** Gives up silent keepers, and asks again what another keeper has to answer now. */
  private check(): void {
    const now = this.clock.now();
    for (const [keeper, line] of this.lines) {
      if (now - line.heardAt() > SILENCE_MS) this.loseLine(keeper);
    }
    for (const [name, deadline] of this.passedOver)
      if (deadline <= now) this.passedOver.delete(name);
    for (const asked of this.asked.values()) this.moveAsked(asked, now);
  }

  private moveAsked(asked: Asked, now: Moment): void {
    const keeper = this.choose(asked.want.pool);
    const isLost = asked.keeper !== this.self.instance && !this.lines.has(asked.keeper);
    if (keeper === asked.keeper && !isLost) return;
    this.report({ id: asked.want.id, stage: "ended", fault: "cancelled", engine: "" });
    asked.keeper = keeper;
    const waited = Math.round(now - asked.askedAt);
    this.sendWant(
      {
        ...asked.want,
        firstTokenMs: Math.max(0, asked.want.firstTokenMs - waited),
        patienceMs: Math.max(0, asked.want.patienceMs - waited),
      },
      keeper,
    );
  }
}
