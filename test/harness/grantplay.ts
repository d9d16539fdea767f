/**
 * A client that requests grants over connections that fail at any moment, against schedulers that are plain lists of
 * what each session brought.
 */
import { EventEmitter } from "node:events";
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

/** A connection to a peer: what it wrote is on the way until it is delivered. */
export class Connection extends EventEmitter {
  readonly underWay: BookRequest[] = [];
  readonly kept = new Set<string>();
  received: string[] = [];
  isClogged = false;
  isOpen = true;

  constructor(readonly peer: string) {
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
  }

  deliver(times: number): void {
    const messages = this.underWay.splice(0);
    if (this.isClogged || !this.isOpen) return;
    for (const { wants, done } of messages.flatMap(
      (message) => Array(times).fill(message) as BookRequest[],
    )) {
      for (const { id } of done) this.kept.delete(id);
      for (const { id } of wants) this.kept.add(id);
      this.received.push(...wants.map(({ id }) => id));
    }
  }

  reply(acknowledges: boolean): void {
    const { received } = this;
    this.received = [];
    const reply = acknowledges ? { received, acknowledges } : {};
    if (this.isOpen) this.emit("data", BookReply.fromPartial(reply));
  }
}

/** One client, its own scheduler and two peers. */
export class Play {
  readonly connections: Connection[] = [];
  readonly keptAtSelf = new Set<string>();
  readonly ids: string[] = [];
  private isRefusing = false;
  private readonly clock = new ManualClock(10_000);
  private readonly board = createBlackboard();
  private readonly client: SchedulerClient;

  /** @param isDraining - whether the client's own scheduler is used only if no peer can be */
  constructor(
    private readonly acknowledges: boolean,
    isDraining = false,
  ) {
    this.board.draining.write(isDraining);
    for (const instance of PEERS)
      this.board.members.set(instance, {
        instance,
        incarnation: `${instance}/1`,
        dataCentre: "nizwa",
        deadline: Infinity,
        isDraining: false,
      });
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

  async take(step: Step): Promise<void> {
    const open = this.connections.filter(({ isOpen }) => isOpen);
    if (step === Step.request) this.request();
    if (step === Step.deliver) for (const connection of open) connection.deliver(1);
    if (step === Step.double) for (const connection of open) connection.deliver(2);
    if (step === Step.clog) for (const connection of open) connection.isClogged = true;
    if (step === Step.reset || step === Step.restart) this.end(open, step);
    if (step === Step.hide) this.list([]);
    if (step === Step.refuse) this.isRefusing = true;
    if (step === Step.heal) this.heal();
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

  private async check(): Promise<void> {
    this.clock.advance(CHECK_MS);
    for (const connection of this.connections) connection.reply(this.acknowledges);
    this.client["check"]();
    await settle();
  }

  private request(): void {
    const id = `r${this.ids.length}`;
    this.ids.push(id);
    void this.client.requestGrant(Want.fromPartial({ id, pool: "drafter", patienceMs: 60_000 }));
  }

  /** Ends connections by a reset, or silently as the peers are gone. */
  private end(open: readonly Connection[], step: Step): void {
    for (const connection of open) {
      connection.close();
      if (step === Step.reset) connection.emit("error", new Error("reset"));
    }
  }

  private heal(): void {
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
    const connection = new Connection(peer);
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
