/**
 * How full the engines of the fleet are, as far as this instance knows: what it has under way itself
 * and what its peers said they have; and the choice of engines by that.
 */
import type { Moment } from "../core/clock";
import type { EngineLimits } from "../fleet/config";
import { type EndpointEntry, EngineStage } from "../fleet/directory";

/** Work under way at an engine, in tokens. */
export interface EngineWork {
  readonly engine: string;
  /** Memory that generations take or have reserved. */
  readonly heldTokens: number;
  /** Prompt tokens that are still to be read. */
  readonly promptTokens: number;
  readonly requests: number;
}

/** How long the word of a silent peer on its work counts, in milliseconds. */
const PEER_WORK_TTL_MS = 3000;
/** How long an engine that had no room is passed over, in milliseconds. */
const FULL_COOLDOWN_MS = 60;
/** How long an engine that gave memory and then refused the request is passed over, milliseconds. */
const REFUSAL_COOLDOWN_MS = 400;
/** The longest, for one that refuses again and again, in milliseconds. */
const MAX_REFUSAL_COOLDOWN_MS = 3200;
/** How long an engine that could not be reached or broke is passed over, in milliseconds. */
const UNAVAILABLE_COOLDOWN_MS = 1500;

/**
 * Prompt tokens that may wait at a prefill engine before a decode engine reads a prompt itself: what
 * a prefill engine reads while a decode engine, at half the speed, reads a usual prompt.
 */
const MAX_TOKENS_AHEAD = 12_000;

interface LocalWork {
  heldTokens: number;
  promptTokens: number;
  requests: number;
}

/** An engine that takes nothing for a while. */
export interface EngineAbsence {
  readonly engine: string;
  readonly deadline: Moment;
}

interface PeerWork {
  readonly works: ReadonlyMap<string, EngineWork>;
  readonly heardAt: Moment;
}

/** An engine as a choice sees it. */
export interface EngineView {
  readonly endpoint: EndpointEntry;
  readonly heldTokens: number;
  readonly promptTokens: number;
  readonly requests: number;
  /** True while it had no room just now. */
  readonly isFull: boolean;
  /** True while it could not be reached, broke, or may be gone. */
  readonly isUnavailable: boolean;
}

/** The work of all engines. */
export class EngineLoadTracker {
  private readonly localWork = new Map<string, LocalWork>();
  private readonly peerWork = new Map<string, PeerWork>();
  private readonly fullDeadlines = new Map<string, Moment>();
  private readonly unavailableDeadlines = new Map<string, Moment>();
  private readonly refusalCounts = new Map<string, number>();
  private readonly absences = new Map<string, Moment>();
  private readonly orderDeadlines = new Map<string, Moment>();

  /**
   * @param onBroken - hears of an engine that is passed over from now on
   */
  constructor(
    private readonly onUnavailable: (engine: string, forMs: number) => void = () => undefined,
  ) {}

  /** Adds work of this instance; negative amounts take it away. */
  addLocalWork(engine: string, heldTokens: number, promptTokens: number, requests: number): void {
    const work = this.localWork.get(engine) ?? { heldTokens: 0, promptTokens: 0, requests: 0 };
    work.heldTokens += heldTokens;
    work.promptTokens += promptTokens;
    work.requests += requests;
    if (work.requests <= 0 && work.heldTokens <= 0 && work.promptTokens <= 0) {
      this.localWork.delete(engine);
    } else this.localWork.set(engine, work);
  }

  /** Takes what a peer has under way. */
  replacePeerWork(peer: string, works: readonly EngineWork[], now: Moment): void {
    this.peerWork.set(peer, {
      works: new Map(works.map((work) => [work.engine, work])),
      heardAt: now,
    });
  }

  /** Lists the work of this instance, for its peers. */
  listLocalWork(): readonly EngineWork[] {
    return [...this.localWork].map(([engine, work]) => ({ engine, ...work }));
  }

  /** Passes an engine over that had no room. */
  markFull(engine: string, now: Moment): void {
    this.fullDeadlines.set(engine, now + FULL_COOLDOWN_MS);
  }

  /** Passes an engine over that could not be reached or broke. */
  markUnavailable(engine: string, now: Moment): void {
    if ((this.unavailableDeadlines.get(engine) ?? 0) <= now)
      this.onUnavailable(engine, UNAVAILABLE_COOLDOWN_MS);
    this.unavailableDeadlines.set(engine, now + UNAVAILABLE_COOLDOWN_MS);
  }

  /** Passes an engine over that refused a request that it had given memory. */
  recordRefusal(engine: string, now: Moment): void {
    const refusalCounts = (this.refusalCounts.get(engine) ?? 0) + 1;
    this.refusalCounts.set(engine, refusalCounts);
    const ms = Math.min(MAX_REFUSAL_COOLDOWN_MS, REFUSAL_COOLDOWN_MS * 2 ** (refusalCounts - 1));
    this.fullDeadlines.set(engine, now + ms);
  }

  /** Notes that an engine takes nothing until a deadline, since it changes its stage. */
  markAbsent(engine: string, deadline: Moment): void {
    this.absences.set(engine, Math.max(deadline, this.absences.get(engine) ?? 0));
  }

  /** Notes an order of this instance, for as long as its engine takes nothing. */
  recordOrder(engine: string, deadline: Moment): void {
    this.orderDeadlines.set(engine, deadline);
    this.markAbsent(engine, deadline);
  }

  /** Lists the engines that have an order of this instance, with the deadline of each. */
  listOrderAbsences(now: Moment): readonly EngineAbsence[] {
    const absences: EngineAbsence[] = [];
    for (const [engine, deadline] of this.orderDeadlines) {
      if (deadline <= now) this.orderDeadlines.delete(engine);
      else absences.push({ engine, deadline });
    }
    return absences;
  }

  /** Takes an engine back that serves. */
  markAvailable(engine: string): void {
    this.unavailableDeadlines.delete(engine);
    this.refusalCounts.delete(engine);
  }

  /** Views an engine. */
  readView(endpoint: EndpointEntry, isInDoubt: boolean, now: Moment): EngineView {
    const { id } = endpoint;
    const sum = { heldTokens: 0, promptTokens: 0, requests: 0 };
    addWork(sum, this.localWork.get(id));
    for (const [peer, { works, heardAt }] of this.peerWork) {
      if (now - heardAt > PEER_WORK_TTL_MS) this.peerWork.delete(peer);
      else addWork(sum, works.get(id));
    }
    return {
      endpoint,
      ...sum,
      isFull: (this.fullDeadlines.get(id) ?? 0) > now || (this.absences.get(id) ?? 0) > now,
      isUnavailable: isInDoubt || (this.unavailableDeadlines.get(id) ?? 0) > now,
    };
  }
}

/**
 * Chooses the decode engine with the most free memory that has room for a generation.
 *
 * @param needTokens - memory that it takes
 * @returns undefined while none has room
 * @example
 * chooseDecode(views, limits, 3400);
 */
export function chooseDecode(
  views: readonly EngineView[],
  limits: EngineLimits,
  needTokens: number,
): EngineView | undefined {
  const eligible = views.filter(
    (view) =>
      view.endpoint.stage === EngineStage.decode &&
      !view.isFull &&
      view.requests < limits.slots &&
      (view.heldTokens === 0 || view.heldTokens + needTokens <= limits.capacityTokens),
  );
  return findMinimum(preferAvailable(eligible), (view) => view.heldTokens);
}

/**
 * Chooses the prefill engine with the least to read.
 *
 * @returns undefined where none can be had, or the decode engine reads the prompt sooner
 * @example
 * choosePrefill(views, new Set());
 */
export function choosePrefill(
  views: readonly EngineView[],
  excluded: ReadonlySet<string>,
): EngineView | undefined {
  const eligible = views.filter(
    (view) =>
      view.endpoint.stage === EngineStage.prefill &&
      !view.isUnavailable &&
      !view.isFull &&
      !excluded.has(view.endpoint.id),
  );
  const least = findMinimum(eligible, (view) => view.promptTokens);
  return least !== undefined && least.promptTokens <= MAX_TOKENS_AHEAD ? least : undefined;
}

function preferAvailable(views: readonly EngineView[]): readonly EngineView[] {
  const available = views.filter((view) => !view.isUnavailable);
  return available.length > 0 ? available : views;
}

function findMinimum(
  views: readonly EngineView[],
  compute: (view: EngineView) => number,
): EngineView | undefined {
  let least: EngineView | undefined;
  for (const view of views) {
    if (least === undefined || compute(view) < compute(least)) least = view;
  }
  return least;
}

function addWork(sum: LocalWork, work: LocalWork | EngineWork | undefined): void {
  if (work === undefined) return;
  sum.heldTokens += work.heldTokens;
  sum.promptTokens += work.promptTokens;
  sum.requests += work.requests;
}
