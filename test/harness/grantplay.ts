/**
 * A client that requests grants over connections that fail at any moment, against schedulers that are plain lists of
 * what each session brought.
 */
import { EventEmitter } from "node:events";
import * as E from "fp-ts/Either";
import { createBlackboard } from "../../src/board/board";
import { SchedulerClient } from "../../src/control/schedulerclient";
import type { PoolScheduler } from "../../src/control/scheduler";
import { ManualClock } from "../../src/core/clock";
import { SILENT_LOGGER } from "../../src/core/log";
import type { Metrics } from "../../src/core/metrics";
import { BookReply, type BookRequest, Want } from "../../src/peer/gen/peer";
import type { PeerTransport } from "../../src/peer/transport";

const METRICS = { count: () => undefined } as unknown as Metrics;
const SELF = { instance: "n1", incarnation: "n1/1", dataCentre: "nizwa" };
const PEERS = ["n2", "n3"];
/** Of the peers, and of all where the client's own scheduler may be chosen. */
const PREFERRED_PEER = "n3";
const CHECK_MS = 100;
const STANDSTILL_MS = 2000;
/** Silence or a missing acknowledgement takes a second to count, for each of two connections in turn, and a rest. */
const CHECKS_TO_HEAL = 40;

export const Step = {
  request: "request",
  check: "check",
  /** The client's process stands still for longer than it skips a scheduler. */
  standStill: "stand still",
  deliver: "deliver",
  /** From now on nothing that the client writes on its open connections arrives, while replies go on. */
  clog: "clog",
  /** What the client wrote last arrives twice. */
  double: "double",
  reset: "reset",
  restart: "restart",
  /** No address is known of any peer. */
  hide: "hide",
  /** New connections throw. */
  refuse: "refuse",
  heal: "heal",
} as const;
export type Step = (typeof Step)[keyof typeof Step];

/** What moves requests between schedulers whose connections stay open, and what these answer meanwhile. */
export const Move = {
  /** The peer that is preferred, or both, are heard no more; their connections stay. */
  leaveOne: "leave: one",
  leaveAll: "leave: all",
  join: "join",
  /** Each peer grants all that waits there; the client reads it before its next check. */
  grant: "grant",
  /** Each peer refuses all that waits there; read likewise. */
  decline: "decline",
} as const;
export type Move = (typeof Move)[keyof typeof Move];
export type AnyStep = Step | Move;

/** A connection to a peer: what it wrote is on the way until it is delivered. */
export class Connection extends EventEmitter {
  readonly underWay: BookRequest[] = [];
  readonly kept = new Set<string>();
  /** Granted requests whose end has not arrived. */
  readonly running = new Set<string>();
  private granted: string[] = [];
  private declined: string[] = [];
  received: string[] = [];
  isClogged = false;
  isOpen = true;

  constructor(
    readonly peer: string,
    /** Unlike that of any other connection. */
    readonly name: string,
  ) {
    super();
  }

  write(request: BookRequest): void {
    if (this.isOpen) this.underWay.push(structuredClone(request));
  }

  /** The client gives it up; its end is told later. */
  cancel(): void {
    this.close();
    queueMicrotask(() => this.emit("error", new Error("cancelled")));
  }

  close(): void {
    this.isOpen = false;
    this.kept.clear();
    this.running.clear();
  }

  deliver(times: number): void {
    const messages = this.underWay.splice(0);
    if (this.isClogged || !this.isOpen) return;
    for (const { wants, done } of messages.flatMap(
      (message) => Array(times).fill(message) as BookRequest[],
    )) {
      for (const { id, stage } of done) this.handleDone(id, stage);
      for (const { id } of wants) if (!this.running.has(id)) this.kept.add(id);
      this.received.push(...wants.map(({ id }) => id));
    }
  }

  grant(): void {
    for (const id of this.kept) this.running.add(id);
    this.granted.push(...this.kept);
    this.kept.clear();
  }

  decline(): void {
    this.declined.push(...this.kept);
    this.kept.clear();
  }

  reply(acknowledges: boolean): void {
    const received = acknowledges ? this.received : [];
    const grants = this.granted.map((id) => ({ id, prefill: this.name }));
    const refusals = this.declined.map((id) => ({ id, reason: this.name }));
    this.received = [];
    this.granted = [];
    this.declined = [];
    const reply = { received, acknowledges, grants, refusals };
    if (this.isOpen) this.emit("data", BookReply.fromPartial(reply));
  }

  private handleDone(id: string, stage: string): void {
    this.kept.delete(id);
    if (stage !== "decoding") this.running.delete(id);
  }
}

/** One client, its own scheduler and two peers. */
export class Play {
  readonly connections: Connection[] = [];
  readonly keptAtSelf = new Set<string>();
  readonly ids: string[] = [];
  /** The connections whose grants were taken, by request. */
  readonly takenFrom = new Map<string, string>();
  /** The connections whose refusals were believed, by request. */
  readonly declinedBy = new Map<string, string>();
  private isRefusing = false;
  private readonly clock = new ManualClock(10_000);
  private readonly board = createBlackboard();
  private readonly client: SchedulerClient;

  /**
   * @param isDraining - whether the client's own scheduler is used only if no peer can be
   * @param isPrompt - whether what the client writes at one check arrives before the next one
   */
  constructor(
    private readonly acknowledges: boolean,
    isDraining = false,
    private readonly isPrompt = false,
  ) {
    this.board.draining.write(isDraining);
    this.join();
    this.list(PEERS);
    this.client = new SchedulerClient(
      this.board,
      SELF,
      this.createLocalScheduler(),
      { openBookStream: (peer: string) => this.open(peer) } as unknown as PeerTransport,
      this.clock,
      SILENT_LOGGER,
      METRICS,
    );
  }

  async take(step: AnyStep): Promise<void> {
    const open = this.connections.filter(({ isOpen }) => isOpen);
    if (step === Step.request) this.request();
    if (step === Step.deliver) for (const connection of open) connection.deliver(1);
    if (step === Step.double) for (const connection of open) connection.deliver(2);
    if (step === Step.clog) for (const connection of open) connection.isClogged = true;
    if (step === Step.reset || step === Step.restart) this.end(open, step);
    if (step === Step.hide) this.list([]);
    if (step === Step.refuse) this.isRefusing = true;
    if (step === Step.heal) this.heal();
    if (step === Move.leaveOne) this.board.members.delete(PREFERRED_PEER);
    if (step === Move.leaveAll) this.board.members.clear();
    if (step === Move.join) this.join();
    if (step === Move.grant) for (const connection of open) connection.grant();
    if (step === Move.decline) for (const connection of open) connection.decline();
    if (step === Step.standStill) this.clock.advance(STANDSTILL_MS);
    if (step === Step.check) await this.check();
    await settle();
  }

  /** Ends all faults but those of connections that are open, and lets time pass. */
  async finish(): Promise<void> {
    this.heal();
    for (let check = 0; check < CHECKS_TO_HEAL; check += 1) {
      await this.check();
      for (const connection of this.connections) connection.deliver(1);
    }
  }

  /** Requests a grant and gives it up before anything of it was sent. */
  async requestAndCancel(): Promise<void> {
    this.request();
    this.client.cancel(this.ids.at(-1) ?? "");
    await settle();
  }

  /** Counts at how many schedulers each request waits. */
  countKept(): readonly number[] {
    const places = [this.keptAtSelf, ...this.connections.map(({ kept }) => kept)];
    return this.ids.map((id) => places.filter((place) => place.has(id)).length);
  }

  /**
   * Lists the requests whose grant was taken and is not the one that runs at their scheduler, unless the connection
   * has closed, which ends its grants.
   */
  listUntracked(): readonly string[] {
    const open = this.connections.filter(({ isOpen }) => isOpen);
    return [...this.takenFrom].flatMap(([id, taken]) => {
      const running = open.filter((connection) => connection.running.has(id));
      const expected = open.filter(({ name }) => name === taken);
      const [found, wanted] = [running, expected].map((list) =>
        list.map(({ name }) => name).join(),
      );
      return found === wanted ? [] : [`${id}: runs at ${wanted}, tracked at ${found}`];
    });
  }

  /** Tells the schedulers that all runs have ended; returns how many they take as running still. */
  async endRuns(): Promise<number> {
    for (const id of this.takenFrom.keys())
      this.client.reportProgress({ id, stage: "ended", fault: "", engine: "" });
    await settle();
    for (const connection of this.connections) connection.deliver(1);
    return this.connections.reduce((sum, { running }) => sum + running.size, 0);
  }

  private async check(): Promise<void> {
    this.clock.advance(CHECK_MS);
    for (const connection of this.connections) connection.reply(this.acknowledges);
    if (this.isPrompt) for (const connection of this.connections) connection.deliver(1);
    this.client["check"]();
    await settle();
  }

  private request(): void {
    const id = `r${this.ids.length}`;
    this.ids.push(id);
    const want = Want.fromPartial({ id, pool: "drafter", patienceMs: 60_000 });
    void this.client.requestGrant(want).then((reply) => {
      if (E.isRight(reply)) this.takenFrom.set(id, reply.right.prefill);
      else this.declinedBy.set(id, reply.left.reason);
    });
  }

  private join(): void {
    for (const instance of PEERS)
      this.board.members.set(instance, {
        instance,
        incarnation: `${instance}/1`,
        dataCentre: "nizwa",
        deadline: Infinity,
        isDraining: false,
      });
  }

  /** Ends connections by a reset, or silently as the peers are gone. */
  private end(open: readonly Connection[], step: Step): void {
    for (const connection of open) {
      connection.close();
      if (step === Step.reset) connection.emit("error", new Error("reset"));
    }
  }

  private heal(): void {
    this.join();
    this.list(PEERS);
    this.isRefusing = false;
  }

  private list(peers: readonly string[]): void {
    this.board.platformList.write(
      peers.map((name) => {
        const rest = { kind: "instance", address: name, state: "live" } as const;
        return { name, dataCentre: "nizwa", ...rest };
      }),
    );
  }

  private open(peer: string): Connection {
    if (this.isRefusing) throw new Error("refused");
    const connection = new Connection(peer, `${peer}#${this.connections.length}`);
    this.connections.push(connection);
    return connection;
  }

  private createLocalScheduler(): PoolScheduler {
    return {
      openSession: () => undefined,
      closeSession: () => undefined,
      onBookRequest: (_session: string, { wants, done }: BookRequest) => {
        for (const { id } of done) this.keptAtSelf.delete(id);
        for (const { id } of wants) this.keptAtSelf.add(id);
      },
    } as unknown as PoolScheduler;
  }
}

/** Waits until messages that were queued in this turn are sent. */
function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
