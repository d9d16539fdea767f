/**
 * The router's decisions on a model of the engines: the product's own queue, books and choices, at several
 * instances that hear of each other's work by heartbeats.
 */
import { UrgentQueue, type UrgentQueueItem } from "../../src/core/urgentqueue";
import type { EngineLimits } from "../../src/fleet/config";
import { type EndpointEntry, EngineStage } from "../../src/fleet/directory";
import { chooseDecode, choosePrefill, EngineLoadTracker } from "../../src/forward/engines";
import type * as overload from "../../src/forward/overload";
import type { Arrival, Draw } from "./arrivals";
import type { EngineModel } from "./engine";

const HOP_MS = 1;
const BEAT_MS = 500;

/** The decisions of src/forward/overload.ts, or others in their place. */
export type OverloadDecisions = typeof overload;

/** What is tried against what. */
export interface RouterPolicy {
  readonly name: string;
  readonly decisions: OverloadDecisions;
}

/** What the router knows of the load. */
export interface RouterFigures {
  readonly targetMs: number;
  readonly deadlineMs: number;
  readonly mostOutputTokens: number;
}

/** A generation on its way. */
export interface Attempt extends Arrival {
  /** When its caller first asked. */
  readonly askedAt: number;
  readonly isReturned: boolean;
  /** True where it ran on an engine that was lost. */
  readonly hasStarted: boolean;
}

/** What becomes of attempts. */
export interface RouterHost {
  readonly now: () => number;
  readonly after: (ms: number, act: () => void) => void;
  readonly draw: Draw;
  readonly onFirst: (attempt: Attempt) => void;
  readonly onEnd: (attempt: Attempt) => void;
  readonly onRefused: (attempt: Attempt) => void;
}

interface Ticket extends UrgentQueueItem {
  readonly attempt: Attempt;
  readonly needTokens: number;
}

/** One instance. */
export class RouterModel {
  readonly engineLoad = new EngineLoadTracker();
  private readonly queue = new UrgentQueue<Ticket>();
  private readonly asking = new Set<string>();

  constructor(
    readonly name: string,
    private readonly engines: ReadonlyMap<string, EngineModel>,
    private readonly entries: readonly EndpointEntry[],
    private readonly limits: EngineLimits,
    private readonly figures: RouterFigures,
    private readonly policy: RouterPolicy,
    private readonly host: RouterHost,
  ) {}

  /** Takes a generation from its caller. */
  take(attempt: Attempt): void {
    const now = this.host.now();
    const { targetMs, deadlineMs, mostOutputTokens } = this.figures;
    const { decisions } = this.policy;
    const { promptTokens, outputTokens, askedAt, isReturned, hasStarted } = attempt;
    const softDeadline = askedAt + targetMs;
    const demand = {
      arrivedAt: now,
      softDeadline,
      deadline: askedAt + deadlineMs,
      isReturned,
      hasStarted,
    };
    this.queue.push({
      id: attempt.id,
      attempt,
      needTokens: decisions.computeReservationTokens({
        promptTokens,
        maxOutputTokens: mostOutputTokens,
        expectedOutputTokens: outputTokens,
      }),
      priority: 1,
      isOverRate: false,
      arrivedAt: now,
      ...decisions.computeWaitLimits(demand, now),
    });
    this.pump();
  }

  /** Looks whether a waiting generation can go. */
  pump(): void {
    const now = this.host.now();
    for (const ticket of this.queue.removeExpired(now)) this.host.onRefused(ticket.attempt);
    for (const ticket of this.queue.listHeads(now)) {
      const views = this.listViews(now).filter((view) => !this.asking.has(view.endpoint.id));
      const isLate = ticket.targetDeadline <= now;
      const limits = this.policy.decisions.limitCapacity(this.limits, isLate);
      const chosen = chooseDecode(views, limits, ticket.needTokens);
      if (chosen === undefined) return;
      this.queue.take(ticket.id);
      this.ask(ticket, chosen.endpoint.id);
    }
  }

  private listViews(now: number) {
    return this.entries.map((entry) => this.engineLoad.readView(entry, false, now));
  }

  private ask(ticket: Ticket, id: string): void {
    this.asking.add(id);
    this.engineLoad.addLocalWork(id, ticket.needTokens, 0, 1);
    this.host.after(2 * HOP_MS, () => {
      this.asking.delete(id);
      const now = this.host.now();
      const hold = this.engines.get(id)?.takeHold(ticket.needTokens, now);
      if (hold === undefined) {
        this.engineLoad.addLocalWork(id, -ticket.needTokens, 0, -1);
        this.engineLoad.markFull(id, now);
        this.queue.push(ticket);
      } else this.prefill(ticket, id, hold);
      this.pump();
    });
  }

  private prefill(ticket: Ticket, decode: string, hold: string): void {
    const now = this.host.now();
    const { promptTokens } = ticket.attempt;
    const chosen = choosePrefill(this.listViews(now), new Set([decode]));
    const engine = this.engines.get(chosen?.endpoint.id ?? "");
    if (engine === undefined) {
      this.decode(ticket, decode, hold, false);
      return;
    }
    this.engineLoad.addLocalWork(engine.id, 0, promptTokens, 1);
    engine.prefill(promptTokens, now, (givenAt, handle) => {
      this.host.after(givenAt - this.host.now() + 2 * HOP_MS, () => {
        this.engineLoad.addLocalWork(engine.id, 0, -promptTokens, -1);
        const isThere = handle !== undefined && engine.takeHandle(handle, this.host.now());
        this.decode(ticket, decode, hold, isThere);
      });
    });
  }

  private decode(ticket: Ticket, id: string, hold: string, isTransferred: boolean): void {
    const { attempt, needTokens } = ticket;
    const { promptTokens, outputTokens } = attempt;
    const job = {
      id: attempt.id,
      promptTokens,
      outputTokens,
      isTransferred,
      onFirst: () => {
        this.host.onFirst(attempt);
      },
      onEnd: () => {
        this.engineLoad.addLocalWork(id, -needTokens, 0, -1);
        this.host.onEnd(attempt);
        this.pump();
      },
      onLost: () => {
        this.engineLoad.addLocalWork(id, -needTokens, 0, -1);
        this.engineLoad.markUnavailable(id, this.host.now());
        this.host.after(HOP_MS, () => {
          this.take({ ...attempt, hasStarted: true });
        });
      },
    };
    this.engines.get(id)?.run(job, hold, this.host.now());
  }
}

/** Has instances hear of each other's work, again and again. */
export function startBeats(routers: readonly RouterModel[], host: RouterHost): void {
  const beat = () => {
    for (const from of routers) {
      const works = from.engineLoad.listLocalWork();
      for (const to of routers)
        if (to !== from) to.engineLoad.replacePeerWork(from.name, works, host.now());
    }
    host.after(BEAT_MS, beat);
  };
  beat();
}

/** Creates the entries under which the router knows the engines. */
export function createEntries(engines: readonly EngineModel[]): readonly EndpointEntry[] {
  return engines.map(({ id, stage }) => ({
    id,
    service: "model",
    address: `${id}:1`,
    dataCentre: stage === EngineStage.prefill ? "a" : "b",
    slots: 1,
    isLeaving: false,
    stage,
    processStartedAt: 1,
    sequence: 1,
  }));
}
