/**
 * The grants of one pool: which requests run on which of its engines. Soft state: a new scheduler
 * rebuilds it from the engines' reports, and an engine refuses requests beyond its slots.
 */
import type { Blackboard } from "../board/board";
import type { Moment } from "../core/clock";
import { matchesSelector, mergeLabels, type Selector } from "../core/labels";
import type { PlacementCandidate, PlacementRequest } from "../core/placement";
import type { NamedEndpoint, Pool } from "../core/pools";
import type { FairQueueItem } from "../core/queues/fairqueue";
import type { RunningRequest } from "../core/crashes/poison";
import { computePrefixBlockTokens } from "../core/tokens";
import type { Want } from "../peer/gen/peer";
import { isEvacuated } from "../core/config/evacuations";
import { isEndpointLeaving } from "./listpoller";

/** How long the hold of an ended grant is ignored in the engines' reports, which lag behind. */
const REPORT_LAG_MS = 3000;
/**
 * A request that has run on an engine for less than this when the engine crashes is a prime
 * suspect. A prime suspect keeps other suspects off an engine for as long after its start there.
 */
const PRIME_SUSPECT_WINDOW_MS = 1000;
/** How long a prime suspect waits for an engine that runs no other suspect. */
const PRIME_SUSPECT_MAX_WAIT_MS = 4000;
/** Number of crashes after which a suspect never shares an engine with another suspect. */
const CRASHES_TO_ISOLATE = 2;
/**
 * Prefix blocks whose cache locations are tracked; the one recorded longest ago is evicted first.
 */
const MAX_TRACKED_BLOCKS = 50_000;

/** A request that waits for a grant. */
export interface WaitingRequest extends FairQueueItem {
  readonly want: Want;
  readonly arrivedAt: Moment;
  /** Name of the session over which the grant or the refusal is sent. */
  readonly session: string;
}

/** A request to which a prefill and a decode engine have been granted. */
export interface GrantedRequest {
  readonly want: Want;
  readonly session: string;
  readonly prefill: string;
  readonly decode: string;
  readonly prefillProcess: string;
  readonly decodeProcess: string;
  readonly grantedAt: Moment;
  readonly deadline: Moment;
  /** When the prefill was reported done; undefined before. */
  decodingSince: Moment | undefined;
}

/** Grants, full engines and cache locations of one pool. */
export class GrantTable {
  private readonly activeGrants = new Map<string, GrantedRequest>();
  /** The same grants by the engines that they use. */
  private readonly grantsByEngine = new Map<string, Set<GrantedRequest>>();
  /** Until when the hold of an ended grant is ignored in the engines' reports, by request. */
  private readonly recentlyEnded = new Map<string, Moment>();
  private readonly fullUntil = new Map<string, Moment>();
  /** Engines that have a prefix block cached, by the hash of the block. */
  private readonly enginesByBlock = new Map<number, Set<string>>();

  constructor(private readonly board: Blackboard) {}

  /** Number of grants that have not ended. */
  get size(): number {
    return this.activeGrants.size;
  }

  addGrant(grant: GrantedRequest): void {
    this.activeGrants.set(grant.want.id, grant);
    for (const engine of [grant.prefill, grant.decode]) {
      this.grantsByEngine.set(engine, this.listGrantsOn(engine).add(grant));
    }
    for (const hash of grant.want.blocks) this.recordCached(hash, grant.prefill);
  }

  /** Records that a request's prefill is done and its decode begins. */
  markDecoding(id: string, now: Moment): void {
    const grant = this.activeGrants.get(id);
    if (grant !== undefined) grant.decodingSince = now;
  }

  /** Ends a grant; its hold is ignored in reports that still show it. */
  end(id: string, now: Moment): GrantedRequest | undefined {
    const grant = this.activeGrants.get(id);
    if (grant === undefined) return undefined;
    this.removeGrant(grant);
    this.recentlyEnded.set(id, now + REPORT_LAG_MS);
    return grant;
  }

  /**
   * Removes the grants of a closed session; what still runs is counted from the engines' reports.
   */
  endSession(session: string): void {
    for (const grant of this.activeGrants.values())
      if (grant.session === session) this.removeGrant(grant);
  }

  /** Skips an engine that refused a request because it is full. */
  markFull(engine: string, until: Moment): void {
    this.fullUntil.set(engine, until);
  }

  recordEvicted(engine: string, hashes: readonly number[]): void {
    for (const hash of hashes) this.enginesByBlock.get(hash)?.delete(engine);
  }

  /** Finds a grant that has not ended. */
  find(id: string): GrantedRequest | undefined {
    return this.activeGrants.get(id);
  }

  /** Lists the requests that ran on an engine when it crashed. */
  listCrashed(engine: string, now: Moment): readonly RunningRequest[] {
    return this.listRunning(engine).map((grant) => ({
      fingerprint: grant.want.fingerprint,
      isNew: now - findStart(grant) < PRIME_SUSPECT_WINDOW_MS,
    }));
  }

  /** Removes expired grants. */
  prune(now: Moment): void {
    for (const grant of this.activeGrants.values())
      if (grant.deadline <= now) this.removeGrant(grant);
    for (const [id, deadline] of this.recentlyEnded)
      if (deadline <= now) this.recentlyEnded.delete(id);
  }

  /** Lists the candidates for a request among engines of one role, as placement weighs them. */
  listCandidates(
    engines: readonly NamedEndpoint[],
    item: WaitingRequest,
    now: Moment,
  ): readonly PlacementCandidate[] {
    const selectors = listSelectors(this.board, item.want);
    return engines
      .filter((engine) => isAllowed(this.board, engine, item.want, selectors))
      .flatMap((engine) => this.createCandidate(engine, item, now));
  }

  /** Creates the view of a request that placement uses. */
  createPlacementRequest(item: WaitingRequest, now: Moment): PlacementRequest {
    const { promptTokens, fingerprint, dataCentre } = item.want;
    return { promptTokens, dataCentre, isSuspect: this.board.poison.isSuspect(fingerprint, now) };
  }

  private createCandidate(
    engine: NamedEndpoint,
    item: WaitingRequest,
    now: Moment,
  ): readonly PlacementCandidate[] {
    const { want } = item;
    const report = this.board.endpoints.get(engine.name);
    const isSkipped =
      isEndpointLeaving(this.board, engine.name, now) ||
      (this.board.unreachable.get(engine.name)?.deadline ?? 0) > now ||
      (this.fullUntil.get(engine.name) ?? 0) > now;
    if (report === undefined || isSkipped) return [];
    if (report.role !== engine.role || !report.models.includes(want.model)) return [];
    const engineGrants = [...this.listGrantsOn(engine.name)];
    const prefillGrants = engineGrants.filter(
      (grant) => grant.prefill === engine.name && grant.decodingSince === undefined,
    );
    const decodeGrants = engineGrants.filter((grant) => grant.decode === engine.name);
    const isPrefill = engine.role === "prefill";
    const untrackedHolds = report.holds.filter(
      (hold) => !this.activeGrants.has(hold) && !this.recentlyEnded.has(hold),
    ).length;
    return [
      {
        name: engine.name,
        dataCentre: engine.dataCentre,
        slots: report.slots,
        usedSlots: untrackedHolds + (isPrefill ? prefillGrants.length : decodeGrants.length),
        tokensAhead: prefillGrants.reduce((sum, grant) => sum + grant.want.promptTokens, 0),
        transfers: isPrefill
          ? prefillGrants.length
          : decodeGrants.filter((grant) => grant.decodingSince === undefined).length,
        cachedTokens: this.countCached(engine.name, want),
        hasSuspect: this.isBlockedBySuspects(engine.name, item, now),
      },
    ];
  }

  /** Lists the grants whose current stage runs on an engine. */
  private listRunning(engine: string): readonly GrantedRequest[] {
    return [...this.listGrantsOn(engine)].filter((grant) =>
      grant.decodingSince === undefined ? grant.prefill === engine : grant.decode === engine,
    );
  }

  /**
   * Checks whether the suspects on an engine keep a suspect off it now. A suspect that is still
   * waiting as a prime suspect, or that has been through enough crashes, needs an engine without
   * other suspects; any other suspect is kept off only by suspects that are isolated there.
   */
  private isBlockedBySuspects(engine: string, item: WaitingRequest, now: Moment): boolean {
    const { poison } = this.board;
    const { fingerprint } = item.want;
    const others = this.listCommitted(engine).filter((grant) =>
      poison.isSuspect(grant.want.fingerprint, now),
    );
    const isWaiting =
      poison.isPrimeSuspect(fingerprint) && now - item.arrivedAt < PRIME_SUSPECT_MAX_WAIT_MS;
    if (isWaiting || poison.countCrashes(fingerprint, now) >= CRASHES_TO_ISOLATE) {
      return others.length > 0;
    }
    return others.some((grant) => this.isIsolatedOn(grant, engine, now));
  }

  /** Checks whether a suspect is kept apart from all other suspects on an engine now. */
  private isIsolatedOn(grant: GrantedRequest, engine: string, now: Moment): boolean {
    const { poison } = this.board;
    const { fingerprint } = grant.want;
    if (poison.countCrashes(fingerprint, now) >= CRASHES_TO_ISOLATE) return true;
    const start = grant.decode === engine ? grant.decodingSince : grant.grantedAt;
    return poison.isPrimeSuspect(fingerprint) && now - (start ?? now) < PRIME_SUSPECT_WINDOW_MS;
  }

  /** Lists the grants that run on an engine, or will once their prefill is done. */
  private listCommitted(engine: string): readonly GrantedRequest[] {
    return [...this.listGrantsOn(engine)].filter(
      (grant) =>
        grant.decode === engine || (grant.prefill === engine && grant.decodingSince === undefined),
    );
  }

  private listGrantsOn(engine: string): Set<GrantedRequest> {
    return this.grantsByEngine.get(engine) ?? new Set();
  }

  private removeGrant(grant: GrantedRequest): void {
    this.activeGrants.delete(grant.want.id);
    for (const engine of [grant.prefill, grant.decode])
      this.grantsByEngine.get(engine)?.delete(grant);
  }

  /** Counts the tokens of the longest prefix that an engine has cached. */
  private countCached(engine: string, want: Want): number {
    for (let position = want.blocks.length - 1; position >= 0; position -= 1) {
      const hash = want.blocks[position] ?? 0;
      if (this.enginesByBlock.get(hash)?.has(engine) === true)
        return computePrefixBlockTokens(position);
    }
    return 0;
  }

  private recordCached(hash: number, engine: string): void {
    const engines = this.enginesByBlock.get(hash) ?? new Set<string>();
    this.enginesByBlock.delete(hash);
    this.enginesByBlock.set(hash, engines.add(engine));
    if (this.enginesByBlock.size <= MAX_TRACKED_BLOCKS) return;
    const oldest = this.enginesByBlock.keys().next().value;
    if (oldest !== undefined) this.enginesByBlock.delete(oldest);
  }
}

/**
 * Checks whether a pool has an engine of each role that the configuration allows a request to use.
 *
 * @example
 * hasCandidates(board, pool, want);
 */
export function hasCandidates(board: Blackboard, pool: Pool, want: Want): boolean {
  const selectors = listSelectors(board, want);
  const isUsable = (engine: NamedEndpoint) => isAllowed(board, engine, want, selectors);
  return pool.prefills.some(isUsable) && pool.decodes.some(isUsable);
}

/** Finds when a request started on the engine that it runs on now. */
function findStart(grant: GrantedRequest): Moment {
  return grant.decodingSince ?? grant.grantedAt;
}

function listSelectors(board: Blackboard, want: Want): readonly Selector[] {
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
  const { configuration } = board.config.read();
  if (isEvacuated(configuration, engine.dataCentre)) return false;
  const model = configuration.models[want.model];
  const labels = mergeLabels(model?.labels ?? {}, engine.labels ?? {});
  return selectors.every((selector) => matchesSelector(selector, labels));
}
