/**
 * The book of one pool: what runs on its engines, and what waits. Soft state: a new keeper rebuilds
 * it from the engines' reports, and an engine refuses what is beyond its slots.
 */
import type { Blackboard } from "../board/board";
import type { Moment } from "../core/clock";
import { matchesSelector, mergeLabels, type Selector } from "../core/labels";
import type { PlacementCandidate, PlacementRequest } from "../core/placement";
import type { NamedEndpoint, Pool } from "../core/pools";
import type { FairQueueItem } from "../core/fairqueue";
import type { RunningRequest } from "../core/poison";
import { computePrefixBlockTokens } from "../core/tokens";
import type { Want } from "../peer/gen/peer";
import { isEndpointLeaving } from "./listpoller";

/** How long a finished grant is taken out of the lagging reports. */
const REPORT_LAG_MS = 3000;
/** How long a prime suspect keeps others away; what has run for less when an engine crashes is one. */
const PROBATION_MS = 1000;
/** How long a prime suspect waits for an engine without any suspect. */
const PRIME_WAIT_MS = 4000;
/** Crashes after which a suspect runs beside no other at all. */
const CRASHES_TO_ISOLATE = 2;
const MAX_CACHED_BLOCKS = 50_000;

/** A request that waits for a grant. */
export interface WaitingRequest extends FairQueueItem {
  readonly want: Want;
  readonly arrivedAt: Moment;
  /** Sends the grant or the refusal. */
  readonly session: string;
}

/** A request that has been granted its engines. */
export interface Granted {
  readonly want: Want;
  readonly session: string;
  readonly prefill: string;
  readonly decode: string;
  readonly prefillProcess: string;
  readonly decodeProcess: string;
  readonly grantedAt: Moment;
  readonly deadline: Moment;
  /** When the prefill was reported done. */
  decodingSince: Moment | undefined;
}

/** What runs on a pool's engines. */
export class GrantTable {
  private readonly granted = new Map<string, Granted>();
  /** The same grants by the engines that they are on. */
  private readonly byEngine = new Map<string, Set<Granted>>();
  private readonly ended = new Map<string, Moment>();
  private readonly fullUntil = new Map<string, Moment>();
  private readonly cachedOn = new Map<number, Set<string>>();

  constructor(private readonly board: Blackboard) {}

  /** Counts grants that have not ended. */
  get size(): number {
    return this.granted.size;
  }

  open(grant: Granted): void {
    this.granted.set(grant.want.id, grant);
    for (const engine of [grant.prefill, grant.decode]) {
      this.byEngine.set(engine, this.listOn(engine).add(grant));
    }
    for (const hash of grant.want.blocks) this.noteCached(hash, grant.prefill);
  }

  /** Notes that a prefill is done and its decode begins. */
  noteDecoding(id: string, now: Moment): void {
    const grant = this.granted.get(id);
    if (grant !== undefined) grant.decodingSince = now;
  }

  /** Ends a grant; the reports may still show it for a while. */
  end(id: string, now: Moment): Granted | undefined {
    const grant = this.granted.get(id);
    if (grant === undefined) return undefined;
    this.forget(grant);
    this.ended.set(id, now + REPORT_LAG_MS);
    return grant;
  }

  /** Ends what came over a session that is gone; the engines' reports still count it. */
  endSession(session: string): void {
    for (const grant of this.granted.values()) if (grant.session === session) this.forget(grant);
  }

  /** Passes an engine over that refused for want of room. */
  noteFull(engine: string, until: Moment): void {
    this.fullUntil.set(engine, until);
  }

  noteEvicted(engine: string, hashes: readonly number[]): void {
    for (const hash of hashes) this.cachedOn.get(hash)?.delete(engine);
  }

  /** Finds a grant that has not ended. */
  find(id: string): Granted | undefined {
    return this.granted.get(id);
  }

  /** Lists the requests that ran on an engine when it crashed. */
  listCrashed(engine: string, now: Moment): readonly RunningRequest[] {
    return this.listRunning(engine).map((grant) => ({
      fingerprint: grant.want.fingerprint,
      isNew: now - readStart(grant) < PROBATION_MS,
    }));
  }

  /** Forgets what has lapsed. */
  prune(now: Moment): void {
    for (const grant of this.granted.values()) if (grant.deadline <= now) this.forget(grant);
    for (const [id, deadline] of this.ended) if (deadline <= now) this.ended.delete(id);
  }

  /** Lists the engines of one part that may run a request, as placement sees them. */
  listViews(
    engines: readonly NamedEndpoint[],
    item: WaitingRequest,
    now: Moment,
  ): readonly PlacementCandidate[] {
    const selectors = readSelectors(this.board, item.want);
    return engines
      .filter((engine) => isAllowed(this.board, engine, item.want, selectors))
      .flatMap((engine) => this.createView(engine, item, now));
  }

  /** Creates what placement knows of a request. */
  createRequest(item: WaitingRequest, now: Moment): PlacementRequest {
    const { promptTokens, fingerprint, dataCentre } = item.want;
    return { promptTokens, dataCentre, isSuspect: this.board.poison.isSuspect(fingerprint, now) };
  }

  private createView(
    engine: NamedEndpoint,
    item: WaitingRequest,
    now: Moment,
  ): readonly PlacementCandidate[] {
    const { want } = item;
    const report = this.board.endpoints.get(engine.name);
    const isPassedOver =
      isEndpointLeaving(this.board, engine.name, now) ||
      (this.board.unreachable.get(engine.name)?.deadline ?? 0) > now ||
      (this.fullUntil.get(engine.name) ?? 0) > now;
    if (report === undefined || isPassedOver) return [];
    if (report.role !== engine.role || !report.models.includes(want.model)) return [];
    const own = [...this.listOn(engine.name)];
    const onPrefill = own.filter(
      (grant) => grant.prefill === engine.name && grant.decodingSince === undefined,
    );
    const onDecode = own.filter((grant) => grant.decode === engine.name);
    const isPrefill = engine.role === "prefill";
    const foreign = report.holds.filter(
      (hold) => !this.granted.has(hold) && !this.ended.has(hold),
    ).length;
    return [
      {
        name: engine.name,
        dataCentre: engine.dataCentre,
        slots: report.slots,
        usedSlots: foreign + (isPrefill ? onPrefill.length : onDecode.length),
        tokensAhead: onPrefill.reduce((sum, grant) => sum + grant.want.promptTokens, 0),
        transfers: isPrefill
          ? onPrefill.length
          : onDecode.filter((grant) => grant.decodingSince === undefined).length,
        cachedTokens: this.countCached(engine.name, want),
        hasSuspect: this.isKeptFrom(engine.name, item, now),
      },
    ];
  }

  private listRunning(engine: string): readonly Granted[] {
    return [...this.listOn(engine)].filter((grant) =>
      grant.decodingSince === undefined ? grant.prefill === engine : grant.decode === engine,
    );
  }

  /** Whether a suspect may not run on an engine now, because of the suspects that run there. */
  private isKeptFrom(engine: string, item: WaitingRequest, now: Moment): boolean {
    const { poison } = this.board;
    const { fingerprint } = item.want;
    const others = this.listBound(engine).filter((grant) =>
      poison.isSuspect(grant.want.fingerprint, now),
    );
    const isWaiting = poison.isPrimeSuspect(fingerprint) && now - item.arrivedAt < PRIME_WAIT_MS;
    if (isWaiting || poison.countCrashes(fingerprint, now) >= CRASHES_TO_ISOLATE) {
      return others.length > 0;
    }
    return others.some((grant) => this.isKeptApart(grant, engine, now));
  }

  private isKeptApart(grant: Granted, engine: string, now: Moment): boolean {
    const { poison } = this.board;
    const { fingerprint } = grant.want;
    if (poison.countCrashes(fingerprint, now) >= CRASHES_TO_ISOLATE) return true;
    const start = grant.decode === engine ? grant.decodingSince : grant.grantedAt;
    return poison.isPrimeSuspect(fingerprint) && now - (start ?? now) < PROBATION_MS;
  }

  /** Lists the requests that run on an engine, or will when their prefill is done. */
  private listBound(engine: string): readonly Granted[] {
    return [...this.listOn(engine)].filter(
      (grant) =>
        grant.decode === engine || (grant.prefill === engine && grant.decodingSince === undefined),
    );
  }

  private listOn(engine: string): Set<Granted> {
    return this.byEngine.get(engine) ?? new Set();
  }

  private forget(grant: Granted): void {
    this.granted.delete(grant.want.id);
    for (const engine of [grant.prefill, grant.decode]) this.byEngine.get(engine)?.delete(grant);
  }

  private countCached(engine: string, want: Want): number {
    for (let position = want.blocks.length - 1; position >= 0; position -= 1) {
      const hash = want.blocks[position] ?? 0;
      if (this.cachedOn.get(hash)?.has(engine) === true) return computePrefixBlockTokens(position);
    }
    return 0;
  }

  private noteCached(hash: number, engine: string): void {
    const engines = this.cachedOn.get(hash) ?? new Set<string>();
    this.cachedOn.delete(hash);
    this.cachedOn.set(hash, engines.add(engine));
    if (this.cachedOn.size <= MAX_CACHED_BLOCKS) return;
    const oldest = this.cachedOn.keys().next().value;
    if (oldest !== undefined) this.cachedOn.delete(oldest);
  }
}

/**
 * Checks whether a pool has an engine of each part that the configuration allows a request to use.
 *
 * @example
 * hasCandidates(board, pool, want);
 */
export function hasCandidates(board: Blackboard, pool: Pool, want: Want): boolean {
  const selectors = readSelectors(board, want);
  const isFit = (engine: NamedEndpoint) => isAllowed(board, engine, want, selectors);
  return pool.prefills.some(isFit) && pool.decodes.some(isFit);
}

/** When a request began on the engine that it runs on. */
function readStart(grant: Granted): Moment {
  return grant.decodingSince ?? grant.grantedAt;
}

function readSelectors(board: Blackboard, want: Want): readonly Selector[] {
  const { routes, workspaces, classes, selectors } = board.config.read().configuration;
  const names = [
    routes[want.route]?.selector,
    workspaces[want.workspace]?.selector,
    classes[want.class]?.selector,
  ];
  return names.flatMap((name) => (name === undefined ? [] : [selectors[name] ?? {}]));
}

function isAllowed(
  board: Blackboard,
  engine: NamedEndpoint,
  want: Want,
  selectors: readonly Selector[],
): boolean {
  if (!(engine.models ?? []).includes(want.model) || want.exclude.includes(engine.name))
    return false;
  const model = board.config.read().configuration.models[want.model];
  const labels = mergeLabels(model?.labels ?? {}, engine.labels ?? {});
  return selectors.every((selector) => matchesSelector(selector, labels));
}
