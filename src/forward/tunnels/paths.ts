/**
 * What this instance knows of its direct way to each endpoint, and which peers reach the endpoint.
 * The direct way is lost if a direct connect failed while a peer reached the same process, so that
 * the fault is not the endpoint's. It has no network and no timer of its own.
 */
import type { Moment } from "../../core/clock";
import type { ReplicaCandidate } from "../../fleet/replicas";
import type { EndpointTarget } from "../limits";
import { TunnelFailureKind } from "./openers";

/** Maximum number of peers that one dial asks. */
const MAX_PEERS = 3;
/** Maximum number of peers that are asked to learn whether an endpoint is up. */
const MAX_THOROUGH_PEERS = 12;
/** Maximum number of endpoints that heartbeats report as lost. */
const MAX_REPORTED = 64;
/** Longest time between a direct failure and a peer's success that prove a lost way, in milliseconds. */
const EVIDENCE_TTL_MS = 2000;
/** How long an endpoint that a peer reported as lost counts as lost to it, in milliseconds. */
const REPORT_TTL_MS = 1800;
/** How long a peer that did not reach an endpoint is not asked for it again, in milliseconds. */
const MISS_TTL_MS = 1000;
/** Mean time between direct tries to lost endpoints, of all together, in milliseconds. */
const TRY_INTERVAL_MS = 500;
/** Share of TRY_INTERVAL_MS by which a try may be earlier or later. */
const TRY_JITTER = 0.3;
/** Time between direct tries while they succeed, in milliseconds. */
const HEALED_TRY_INTERVAL_MS = 50;

interface Way {
  readonly target: EndpointTarget;
  directOkAt: Moment;
  directFailedAt: Moment;
  peerReachedAt: Moment;
  /** How the last direct connect failed. */
  failure: string;
  /** When the way was found lost; undefined while it is not. */
  lostAt: Moment | undefined;
  triedAt: Moment;
}

/** The direct connects to a process of an endpoint; each moment is -Infinity if there was none. */
export interface DirectHistory {
  readonly okAt: Moment;
  /** When one last failed, unless one has succeeded since. */
  readonly failedAt: Moment;
}

interface PeerReport {
  readonly lostIds: ReadonlySet<string>;
  readonly receivedAt: Moment;
}

interface PeerMiss {
  readonly kind: TunnelFailureKind;
  readonly at: Moment;
}

/** Which peers are to be ranked, and for what. */
export interface PeerQuery {
  readonly target: EndpointTarget;
  /** The endpoint's data centre; undefined if it is not known. */
  readonly dataCentre: string | undefined;
  /** The live peers that are not leaving. */
  readonly live: readonly ReplicaCandidate[];
  /** True to learn whether the endpoint is up from all peers that may know, not only to reach it. */
  readonly isThorough: boolean;
}

/** The peers that may open a connection to an endpoint. */
export interface PeerRanking {
  /** Those to ask, the best first. */
  readonly peers: readonly string[];
  /** True if a peer that was asked a moment ago found that nothing listens. */
  readonly isRefused: boolean;
}

/** Tracks the ways to endpoints. */
export class PathTracker {
  private readonly ways = new Map<string, Way>();
  private readonly reports = new Map<string, PeerReport>();
  /** By process and peer. */
  private readonly misses = new Map<string, Map<string, PeerMiss>>();
  /** By peer: when it last did not answer, unless it has answered since. */
  private readonly silentPeers = new Map<string, Moment>();
  /** By peer: when it last answered. */
  private readonly answeredAt = new Map<string, Moment>();
  private nextTryAt: Moment = Number.NEGATIVE_INFINITY;

  /**
   * @param random - returns a random number in [0, 1)
   */
  constructor(private readonly random: () => number) {}

  /** Records that a direct connect succeeded; returns true if the way was lost until then. */
  recordDirectSuccess(target: EndpointTarget, now: Moment): boolean {
    const way = this.findOrCreate(target);
    const wasLost = way.lostAt !== undefined;
    way.directOkAt = now;
    way.directFailedAt = Number.NEGATIVE_INFINITY;
    way.lostAt = undefined;
    if (wasLost) this.nextTryAt = now + HEALED_TRY_INTERVAL_MS;
    return wasLost;
  }

  /**
   * Records that a direct connect failed; returns true if the way is found lost by this. One that
   * began before another succeeded proves nothing.
   */
  recordDirectFailure(
    target: EndpointTarget,
    failure: string,
    startedAt: Moment,
    now: Moment,
  ): boolean {
    const way = this.findOrCreate(target);
    if (way.directOkAt > startedAt) return false;
    way.directFailedAt = now;
    way.failure = failure;
    return this.applyEvidence(way, now);
  }

  /** Records that a peer reached an endpoint; returns true if the way is found lost by this. */
  recordPeerSuccess(target: EndpointTarget, peer: string, now: Moment): boolean {
    const way = this.findOrCreate(target);
    way.peerReachedAt = now;
    this.misses.get(createProcessKey(target))?.delete(peer);
    this.recordAnswer(peer, now);
    return this.applyEvidence(way, now);
  }

  /** Records that a peer answered that it does not reach an endpoint. */
  recordPeerFailure(
    target: EndpointTarget,
    peer: string,
    kind: TunnelFailureKind,
    now: Moment,
  ): void {
    this.recordAnswer(peer, now);
    const key = createProcessKey(target);
    const misses = this.misses.get(key) ?? new Map<string, PeerMiss>();
    misses.set(peer, { kind, at: now });
    this.misses.set(key, misses);
  }

  /**
   * Records that a peer did not answer in time, which says nothing about an endpoint. One that has
   * answered since it was asked is not silent.
   */
  recordPeerSilence(peer: string, askedAt: Moment, now: Moment): void {
    const answeredAt = this.answeredAt.get(peer) ?? Number.NEGATIVE_INFINITY;
    if (answeredAt < askedAt) this.silentPeers.set(peer, now);
  }

  /**
   * Records that neither this instance nor the peers that it asked reach an endpoint, so that the
   * endpoint may be at fault; returns true if its way was lost until then.
   */
  recordAllFailed(target: EndpointTarget): boolean {
    const way = this.findOrCreate(target);
    const wasLost = way.lostAt !== undefined;
    way.lostAt = undefined;
    way.peerReachedAt = Number.NEGATIVE_INFINITY;
    return wasLost;
  }

  /** True while connections to this process of an endpoint are opened by peers. */
  isDirectLost(target: EndpointTarget): boolean {
    return this.findWay(target)?.lostAt !== undefined;
  }

  /** True while at least one way is lost. */
  get hasLost(): boolean {
    return this.listLostWays().length > 0;
  }

  /** Returns when direct connects to this process of an endpoint last succeeded and failed. */
  readDirectHistory(target: EndpointTarget): DirectHistory {
    const way = this.findWay(target);
    return {
      okAt: way?.directOkAt ?? Number.NEGATIVE_INFINITY,
      failedAt: way?.directFailedAt ?? Number.NEGATIVE_INFINITY,
    };
  }

  /** Returns how the last direct connect to an endpoint failed. */
  readFailure(target: EndpointTarget): string {
    return this.findWay(target)?.failure ?? "";
  }

  /**
   * Takes the lost endpoint that is due for a direct try, the one tried longest ago; undefined if
   * none is due yet.
   */
  takeDirectTry(now: Moment): EndpointTarget | undefined {
    if (now < this.nextTryAt) return undefined;
    const [way] = this.listLostWays().sort((a, b) => a.triedAt - b.triedAt);
    if (way === undefined) return undefined;
    way.triedAt = now;
    this.nextTryAt = now + TRY_INTERVAL_MS * (1 + TRY_JITTER * (2 * this.random() - 1));
    return way.target;
  }

  /** Lists the ids of endpoints whose direct way is lost, for heartbeats; those lost last first. */
  listLost(): readonly string[] {
    const ways = this.listLostWays().sort((a, b) => (b.lostAt ?? 0) - (a.lostAt ?? 0));
    return ways.slice(0, MAX_REPORTED).map(({ target }) => target.id);
  }

  /** Applies which endpoints a peer does not reach directly. */
  applyPeerLost(peer: string, ids: readonly string[], now: Moment): void {
    this.reports.set(peer, { lostIds: new Set(ids), receivedAt: now });
  }

  /**
   * Ranks the peers to ask for a connection: those that don't report the endpoint as lost first,
   * among these the ones that were not silent a moment ago, and then those in its data centre. Peers
   * that did not reach it a moment ago are left out; a thorough query leaves out only those that were
   * refused.
   */
  rankPeers(query: PeerQuery, now: Moment): PeerRanking {
    const { target, live, isThorough } = query;
    const misses = this.misses.get(createProcessKey(target));
    const findMiss = ({ instance }: ReplicaCandidate) => {
      const miss = misses?.get(instance);
      return isRecentMiss(miss, now) ? miss?.kind : undefined;
    };
    const ranked = live
      .filter((peer) => {
        const miss = findMiss(peer);
        return miss === undefined || (isThorough && miss !== TunnelFailureKind.refused);
      })
      .map((peer) => ({ peer: peer.instance, rank: this.computeRank(query, peer, now) }))
      .sort((a, b) => a.rank - b.rank);
    return {
      peers: ranked.slice(0, isThorough ? MAX_THOROUGH_PEERS : MAX_PEERS).map(({ peer }) => peer),
      isRefused: live.some((peer) => findMiss(peer) === TunnelFailureKind.refused),
    };
  }

  /** Forgets endpoints that are no longer listed, and what peers said too long ago. */
  prune(isListed: (id: string) => boolean, now: Moment): void {
    for (const id of this.ways.keys()) if (!isListed(id)) this.ways.delete(id);
    for (const [peer, { receivedAt }] of this.reports) {
      if (now - receivedAt > REPORT_TTL_MS) this.reports.delete(peer);
    }
    for (const moments of [this.silentPeers, this.answeredAt]) {
      for (const [peer, at] of moments) if (now - at > MISS_TTL_MS) moments.delete(peer);
    }
    for (const [key, misses] of this.misses) {
      for (const [peer, miss] of misses) if (!isRecentMiss(miss, now)) misses.delete(peer);
      if (misses.size === 0) this.misses.delete(key);
    }
  }

  private computeRank(
    { target, dataCentre }: PeerQuery,
    peer: ReplicaCandidate,
    now: Moment,
  ): number {
    const report = this.reports.get(peer.instance);
    const isCut =
      report !== undefined &&
      now - report.receivedAt <= REPORT_TTL_MS &&
      report.lostIds.has(target.id);
    const silentAt = this.silentPeers.get(peer.instance) ?? Number.NEGATIVE_INFINITY;
    const isSilent = now - silentAt <= MISS_TTL_MS;
    const isRemote = peer.dataCentre !== dataCentre;
    return (isCut ? 4 : 0) + (isSilent ? 2 : 0) + (isRemote ? 1 : 0) + this.random();
  }

  private recordAnswer(peer: string, now: Moment): void {
    this.silentPeers.delete(peer);
    this.answeredAt.set(peer, now);
  }

  private applyEvidence(way: Way, now: Moment): boolean {
    if (way.lostAt !== undefined) return false;
    const oldest = now - EVIDENCE_TTL_MS;
    if (way.directFailedAt < oldest || way.peerReachedAt < oldest) return false;
    if (!this.hasLost) this.nextTryAt = now + TRY_INTERVAL_MS;
    way.lostAt = now;
    way.triedAt = now;
    return true;
  }

  private listLostWays(): Way[] {
    return [...this.ways.values()].filter(({ lostAt }) => lostAt !== undefined);
  }

  private findWay(target: EndpointTarget): Way | undefined {
    const way = this.ways.get(target.id);
    return way !== undefined && isSameProcess(way.target, target) ? way : undefined;
  }

  private findOrCreate(target: EndpointTarget): Way {
    const known = this.findWay(target);
    if (known !== undefined) return known;
    const { id, address, processStartedAt } = target;
    const way: Way = {
      target: { id, address, processStartedAt },
      directOkAt: Number.NEGATIVE_INFINITY,
      directFailedAt: Number.NEGATIVE_INFINITY,
      peerReachedAt: Number.NEGATIVE_INFINITY,
      failure: "",
      lostAt: undefined,
      triedAt: Number.NEGATIVE_INFINITY,
    };
    this.ways.set(id, way);
    return way;
  }
}

/**
 * Checks whether two targets are the same process of an endpoint, at the same address.
 *
 * @example
 * isSameProcess(pool.target, target);
 */
export function isSameProcess(a: EndpointTarget, b: EndpointTarget): boolean {
  return a.id === b.id && a.address === b.address && a.processStartedAt === b.processStartedAt;
}

function createProcessKey({ id, processStartedAt }: EndpointTarget): string {
  return `${id}@${processStartedAt}`;
}

function isRecentMiss(miss: PeerMiss | undefined, now: Moment): boolean {
  return miss !== undefined && now - miss.at <= MISS_TTL_MS;
}
