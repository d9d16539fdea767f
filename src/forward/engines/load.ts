/**
 * Tracks the load of the engines of the fleet from the work of this instance and the work that
 * peers report, and chooses engines by it.
 */
import type { Moment } from "../../core/clock";
import type { EngineLimits } from "../../fleet/config";
import { type EndpointEntry, EngineStage } from "../../fleet/entries";
import type { SpeedEstimate } from "../endpoints";
import {
  computeDecodeCost,
  computePrefillCost,
  computeSlots,
  computeSlowdown,
  usesExpectedTime,
} from "./expected";
import { computeDecodeReadMs, computePrefillMs } from "./model";
import { chooseBeyondUnseen, type PlacementRule, type UnseenWork } from "./spread";

/** Work in progress at an engine. */
export interface EngineWork {
  readonly engine: string;
  /** Memory that generations use or have reserved, in tokens. */
  readonly heldTokens: number;
  /** Prompt tokens that the engine has not read yet. */
  readonly promptTokens: number;
  readonly requests: number;
}

/**
 * How long the work that a peer last reported still counts when the peer goes silent, in
 * milliseconds.
 */
const PEER_WORK_TTL_MS = 3000;
/** How long an engine without room is skipped, in milliseconds. */
const FULL_COOLDOWN_MS = 60;
/**
 * How long an engine that granted a hold and then refused the request is skipped, in milliseconds;
 * doubles with every refusal in a row.
 */
const REFUSAL_COOLDOWN_MS = 400;
/** Maximum of REFUSAL_COOLDOWN_MS for an engine that refuses repeatedly, in milliseconds. */
const MAX_REFUSAL_COOLDOWN_MS = 3200;
/**
 * How long an engine that was unreachable, broke or went silent is avoided, in milliseconds: it
 * gets no prefill, and decodes only if no other engine has room.
 */
const UNAVAILABLE_COOLDOWN_MS = 1500;

/**
 * Share of the time left until the first event is late that reading the prompt may take at a prefill
 * engine; the rest is for the transfer and the first step of the decode engine.
 */
const MAX_PREFILL_TIME_SHARE = 0.6;

/** A prompt to be read. */
export interface PromptToRead {
  readonly promptTokens: number;
  /** Prompt tokens that a prefill engine reads per millisecond. */
  readonly tokensPerMs: number;
  /** Time until its first event is late, in milliseconds; zero or less if it is late already. */
  readonly leftMs: number;
  /** What others have placed meanwhile; nothing if undefined. */
  readonly unseen?: UnseenWork;
}

interface LocalWork {
  heldTokens: number;
  promptTokens: number;
  requests: number;
}

/** An engine that accepts no requests until a deadline. */
export interface EngineAbsence {
  readonly engine: string;
  readonly deadline: Moment;
}

interface PeerWork {
  readonly works: ReadonlyMap<string, EngineWork>;
  readonly receivedAt: Moment;
}

/** The load and the availability of an engine, as the choice of engines uses them. */
export interface EngineView {
  readonly endpoint: EndpointEntry;
  readonly heldTokens: number;
  readonly promptTokens: number;
  readonly requests: number;
  /**
   * True while it is skipped because it had no room, refused a request or is changing its stage.
   */
  readonly isFull: boolean;
  /**
   * True while it is avoided because it was unreachable, broke or went silent, or may be gone.
   */
  readonly isUnavailable: boolean;
  /** True if it has named a limit on requests. */
  readonly isLimited: boolean;
  /** How long its work takes in relation to other engines; absent if that is not known. */
  readonly estimate?: SpeedEstimate;
  /** What an engine that reports its slowness has just told; absent for any other. */
  readonly report?: EngineReport;
}

/** Requests at an engine, and its slots, as it reports them. */
export interface EngineReport {
  readonly requests: number;
  readonly slots: number;
}

/** Tracks the work and the availability of all engines. */
export class EngineLoadTracker {
  private readonly localWork = new Map<string, LocalWork>();
  /** In the order in which the reports arrived. */
  private readonly peerWork = new Map<string, PeerWork>();
  /**
   * Sums over all peers by engine, kept as reports arrive: with hundreds of peers, to add them up for
   * each engine at each choice takes too long.
   */
  private readonly peerSums = new Map<string, LocalWork>();
  private readonly fullDeadlines = new Map<string, Moment>();
  private readonly unavailableDeadlines = new Map<string, Moment>();
  private readonly refusalCounts = new Map<string, number>();
  private readonly absences = new Map<string, Moment>();
  private readonly orderDeadlines = new Map<string, Moment>();

  /**
   * @param onUnavailable - called when an engine becomes unavailable, with the cooldown in
   *   milliseconds
   */
  constructor(
    private readonly onUnavailable: (engine: string, forMs: number) => void = () => undefined,
  ) {}

  /** Adds work of this instance; negative amounts remove it. */
  addLocalWork(engine: string, heldTokens: number, promptTokens: number, requests: number): void {
    const work = this.localWork.get(engine) ?? { heldTokens: 0, promptTokens: 0, requests: 0 };
    work.heldTokens += heldTokens;
    work.promptTokens += promptTokens;
    work.requests += requests;
    if (work.requests <= 0 && work.heldTokens <= 0 && work.promptTokens <= 0) {
      this.localWork.delete(engine);
    } else this.localWork.set(engine, work);
  }

  /** Replaces the work that a peer reported before. */
  replacePeerWork(peer: string, works: readonly EngineWork[], now: Moment): void {
    this.removePeerWork(peer);
    const worksByEngine = new Map(works.map((work) => [work.engine, work]));
    for (const [engine, work] of worksByEngine) this.addPeerSum(engine, work, 1);
    this.peerWork.set(peer, { works: worksByEngine, receivedAt: now });
  }

  /** Counts the requests of this instance at an engine, with those that have only a hold. */
  countLocalRequests(engine: string): number {
    return this.localWork.get(engine)?.requests ?? 0;
  }

  /** Lists the work of this instance, to be sent to peers. */
  listLocalWork(): readonly EngineWork[] {
    return [...this.localWork].map(([engine, work]) => ({ engine, ...work }));
  }

  /** Skips an engine that had no room. */
  markFull(engine: string, now: Moment): void {
    this.fullDeadlines.set(engine, now + FULL_COOLDOWN_MS);
  }

  /** Avoids an engine that was unreachable, broke or went silent. */
  markUnavailable(engine: string, now: Moment): void {
    if ((this.unavailableDeadlines.get(engine) ?? 0) <= now)
      this.onUnavailable(engine, UNAVAILABLE_COOLDOWN_MS);
    this.unavailableDeadlines.set(engine, now + UNAVAILABLE_COOLDOWN_MS);
  }

  /**
   * Skips an engine that refused a request although it had granted a hold for it; the cooldown
   * doubles with every refusal in a row.
   */
  recordRefusal(engine: string, now: Moment): void {
    const refusalCount = (this.refusalCounts.get(engine) ?? 0) + 1;
    this.refusalCounts.set(engine, refusalCount);
    const ms = Math.min(MAX_REFUSAL_COOLDOWN_MS, REFUSAL_COOLDOWN_MS * 2 ** (refusalCount - 1));
    this.fullDeadlines.set(engine, now + ms);
  }

  /** Records that an engine accepts no requests until a deadline, because it changes its stage. */
  markAbsent(engine: string, deadline: Moment): void {
    this.absences.set(engine, Math.max(deadline, this.absences.get(engine) ?? 0));
  }

  /**
   * Records a stage order by this instance, and the deadline until which the engine accepts no
   * requests.
   */
  recordOrder(engine: string, deadline: Moment): void {
    this.orderDeadlines.set(engine, deadline);
    this.markAbsent(engine, deadline);
  }

  /**
   * Lists the engines that have an unexpired stage order by this instance, with their deadlines;
   * removes expired orders.
   */
  listOrderAbsences(now: Moment): readonly EngineAbsence[] {
    const absences: EngineAbsence[] = [];
    for (const [engine, deadline] of this.orderDeadlines) {
      if (deadline <= now) this.orderDeadlines.delete(engine);
      else absences.push({ engine, deadline });
    }
    return absences;
  }

  /** Marks an engine as available again after it served a request. */
  markAvailable(engine: string): void {
    this.unavailableDeadlines.delete(engine);
    this.refusalCounts.delete(engine);
  }

  /** Computes the load and the availability of an engine; removes the work of silent peers. */
  readView(endpoint: EndpointEntry, isInDoubt: boolean, now: Moment): EngineView {
    const { id } = endpoint;
    const sum = { heldTokens: 0, promptTokens: 0, requests: 0 };
    this.removeSilentPeers(now);
    addWork(sum, this.localWork.get(id));
    addWork(sum, this.peerSums.get(id));
    return {
      endpoint,
      ...sum,
      isFull: (this.fullDeadlines.get(id) ?? 0) > now || (this.absences.get(id) ?? 0) > now,
      isUnavailable: isInDoubt || (this.unavailableDeadlines.get(id) ?? 0) > now,
      isLimited: false,
    };
  }

  private removeSilentPeers(now: Moment): void {
    for (const [peer, { receivedAt }] of this.peerWork) {
      if (now - receivedAt <= PEER_WORK_TTL_MS) return;
      this.removePeerWork(peer);
    }
  }

  private removePeerWork(peer: string): void {
    const known = this.peerWork.get(peer);
    if (known === undefined) return;
    this.peerWork.delete(peer);
    for (const [engine, work] of known.works) this.addPeerSum(engine, work, -1);
  }

  private addPeerSum(engine: string, work: EngineWork, sign: 1 | -1): void {
    const sum = this.peerSums.get(engine) ?? { heldTokens: 0, promptTokens: 0, requests: 0 };
    sum.heldTokens += sign * work.heldTokens;
    sum.promptTokens += sign * work.promptTokens;
    sum.requests += sign * work.requests;
    const isZero = sum.heldTokens === 0 && sum.promptTokens === 0 && sum.requests === 0;
    if (isZero) this.peerSums.delete(engine);
    else this.peerSums.set(engine, sum);
  }
}

/** A generation that needs a decode engine. */
export interface DecodeDemand {
  /** Memory to reserve, in tokens. */
  readonly needTokens: number;
  /** The data centre of the instance that forwards its stream. */
  readonly dataCentre: string;
  /** What others have placed meanwhile; nothing if undefined. */
  readonly unseen?: UnseenWork;
}

/** Nothing was placed meanwhile. */
const NOTHING_UNSEEN: UnseenWork = { generations: 0, random: () => 0 };

/**
 * Chooses the decode engine with the most free memory that has room for a generation; an engine
 * without held memory has room for a generation of any size. An engine of the own data centre is
 * preferred unless it holds more than one such generation more: a cut between data centres breaks
 * the streams that cross it. Engines that differ in speed are chosen by expected time. What others have
 * placed meanwhile is reckoned with.
 *
 * @returns undefined if none has room
 * @example
 * chooseDecode(views, limits, { needTokens: 3400, dataCentre: "nizwa" });
 */
export function chooseDecode(
  views: readonly EngineView[],
  limits: EngineLimits,
  demand: DecodeDemand,
): EngineView | undefined {
  const { needTokens, dataCentre, unseen = NOTHING_UNSEEN } = demand;
  const hasRoom = (view: EngineView) =>
    view.requests < computeSlots(view, limits) &&
    (view.heldTokens === 0 || view.heldTokens + needTokens <= limits.capacityTokens);
  const eligible = views.filter(
    (view) => view.endpoint.stage === EngineStage.decode && !view.isFull && hasRoom(view),
  );
  const available = preferWhere(eligible, (view) => !view.isUnavailable);
  const candidates = preferWhere(available, (view) => !view.isLimited);
  const addOne = (view: EngineView) => {
    const { heldTokens, requests } = view;
    const more = { ...view, heldTokens: heldTokens + needTokens, requests: requests + 1 };
    return hasRoom(more) ? more : undefined;
  };
  if (usesExpectedTime(candidates)) {
    const computeCost = (view: EngineView) => computeDecodeCost(view, limits, demand);
    return chooseBeyondUnseen(candidates, unseen, { computeCost, addOne });
  }
  const rule = { computeCost: readHeldTokens, addOne };
  const least = chooseBeyondUnseen(candidates, unseen, rule);
  const near = candidates.filter(({ endpoint }) => endpoint.dataCentre === dataCentre);
  const leastNear = chooseBeyondUnseen(near, shareUnseen(unseen, near, candidates), rule);
  if (least === undefined || leastNear === undefined) return least;
  return leastNear.heldTokens <= least.heldTokens + needTokens ? leastNear : least;
}

/** Shares what is unseen among engines: those of each data centre get theirs. */
function shareUnseen(
  { generations, random }: UnseenWork,
  part: readonly EngineView[],
  all: readonly EngineView[],
): UnseenWork {
  return { generations: (generations * part.length) / Math.max(1, all.length), random };
}

/**
 * Chooses the prefill engine with the fewest prompt tokens waiting; of engines that differ in speed,
 * the one that is expected to be done first.
 *
 * @returns undefined if none is available, or if the generation would be late by its queue and the
 *   decode engine reads the prompt sooner
 * @example
 * choosePrefill(views, new Set(), { promptTokens: 3000, tokensPerMs: 33, leftMs: 850 });
 */
export function choosePrefill(
  views: readonly EngineView[],
  excluded: ReadonlySet<string>,
  prompt: PromptToRead,
): EngineView | undefined {
  const { promptTokens, tokensPerMs, leftMs, unseen = NOTHING_UNSEEN } = prompt;
  const eligible = views.filter(
    (view) =>
      view.endpoint.stage === EngineStage.prefill &&
      !view.isUnavailable &&
      !view.isFull &&
      !excluded.has(view.endpoint.id),
  );
  const preferred = preferWhere(eligible, (view) => !view.isLimited);
  const rule: PlacementRule = {
    computeCost: usesExpectedTime(preferred)
      ? (view) => computePrefillCost(view, prompt)
      : (view) => view.promptTokens,
    addOne: (view) => ({ ...view, promptTokens: view.promptTokens + promptTokens }),
  };
  const least = chooseBeyondUnseen(preferred, unseen, rule);
  if (least === undefined) return undefined;
  const slowdown = computeSlowdown(least, preferred);
  const prefillMs = computePrefillMs(promptTokens, least.promptTokens, tokensPerMs / slowdown);
  const decodeReadMs = computeDecodeReadMs(promptTokens, tokensPerMs);
  return prefillMs <= Math.max(decodeReadMs, leftMs * MAX_PREFILL_TIME_SHARE) ? least : undefined;
}

const readHeldTokens = ({ heldTokens }: EngineView) => heldTokens;

/** Returns the views that meet a condition, or all if none does. */
function preferWhere(
  views: readonly EngineView[],
  isPreferred: (view: EngineView) => boolean,
): readonly EngineView[] {
  const preferred = views.filter(isPreferred);
  return preferred.length > 0 ? preferred : views;
}

function addWork(sum: LocalWork, work: LocalWork | EngineWork | undefined): void {
  if (work === undefined) return;
  sum.heldTokens += work.heldTokens;
  sum.promptTokens += work.promptTokens;
  sum.requests += work.requests;
}
