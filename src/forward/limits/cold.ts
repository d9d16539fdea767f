/**
 * Keeps which endpoints are cold, by their entries, by their responses and by what peers heard. A cold
 * endpoint that gets more than its limit from all instances together crashes, and a whole data centre
 * may become cold at once.
 */
import type { Moment } from "../../core/clock";
import type { ColdLimit } from "../../fleet/config";
import type { EndpointDirectory } from "../../fleet/directory";
import { MAX_COLD_MS } from "../../fleet/entries";
import type { EndpointProcess } from "./limits";

/** How far the requests in one second may exceed the limit of a cold endpoint. */
export interface ColdTolerance {
  readonly ratio: number;
  readonly slack: number;
}

/** What a process of an endpoint said in a response of its own, to this instance or a peer. */
export interface ColdWord extends EndpointProcess {
  /** Until when it is cold. */
  readonly endsAt: Moment;
  /** True if the endpoint said it to this instance; peers are told only such words. */
  readonly isOwn: boolean;
}

/** The limit of an endpoint that is cold. */
export interface ColdState {
  /** Requests a second from all instances together. */
  readonly perSecond: number;
  readonly endsAt: Moment;
  /** Number of requests that may be sent at once. */
  readonly burst: number;
}

/** Dependencies of the cold endpoints. */
export interface ColdParts {
  readonly directory: Pick<EndpointDirectory, "findCold">;
  /** Finds the limit of a service's cold endpoints in the configuration in force. */
  readonly findLimit: (service: string) => ColdLimit | undefined;
  readonly tolerance: ColdTolerance;
}

/**
 * The share of what the bound leaves above the limit that may be sent at once. The rest is for sends
 * that arrive closer together than they were granted, and for the time in which two instances take
 * themselves for the owner.
 */
const BURST_SHARE = 0.5;
/** How much longer than known an endpoint must stay cold to be told at once, in milliseconds. */
const CHANGE_TOLERANCE_MS = 1000;
/** Maximum number of words that are kept; more than a fleet has endpoints. */
const MAX_WORDS = 8192;
/** Maximum number of words in a heartbeat; more than a data centre has endpoints. */
const MAX_TOLD_WORDS = 512;

/** The cold endpoints. */
export class ColdEndpoints {
  private readonly words = new Map<string, ColdWord>();

  constructor(private readonly parts: ColdParts) {}

  /**
   * Learns that a process is cold, from the endpoint itself or from a peer.
   *
   * @returns true if it was not known, or stays cold for longer than was known
   */
  record(word: ColdWord, now: Moment): boolean {
    const { endpoint, processStartedAt, isOwn } = word;
    const endsAt = Math.min(word.endsAt, now + MAX_COLD_MS);
    const known = this.words.get(endpoint);
    if (endsAt <= now || (known?.processStartedAt ?? 0) > processStartedAt) return false;
    const isSameProcess = known?.processStartedAt === processStartedAt;
    if (isSameProcess && known.endsAt >= endsAt) return false;
    const knownEnd = isSameProcess ? known.endsAt : now;
    this.words.delete(endpoint);
    this.words.set(endpoint, { endpoint, processStartedAt, endsAt, isOwn });
    this.removeOldest();
    return endsAt > Math.max(knownEnd, now) + CHANGE_TOLERANCE_MS;
  }

  /**
   * Finds the limit of a process that is cold; undefined if it is warm, or needs no limit.
   *
   * @example
   * cold.find({ endpoint: "i-7f3a", processStartedAt: 17 }, clock.now())?.perSecond;
   */
  find(process: EndpointProcess, now: Moment): ColdState | undefined {
    const { directory, findLimit } = this.parts;
    const listed = directory.findCold(process.endpoint);
    const limit = listed && findLimit(listed.entry.service);
    const endsAt = this.findEnd(process);
    if (limit === undefined || endsAt <= now) return undefined;
    return this.createState(limit.perSecond, endsAt);
  }

  /** Finds the limit of the newest process of an endpoint, if it is cold. */
  findNewest(endpoint: string, now: Moment): ColdState | undefined {
    const processStartedAt = Math.max(
      this.parts.directory.findCold(endpoint)?.entry.processStartedAt ?? 0,
      this.words.get(endpoint)?.processStartedAt ?? 0,
    );
    return this.find({ endpoint, processStartedAt }, now);
  }

  /**
   * Finds the limit of a process that a peer takes for cold: the owner's configuration may not have
   * its service yet.
   */
  findForPeer(process: EndpointProcess, perSecond: number, now: Moment): ColdState | undefined {
    const known = this.find(process, now);
    if (known !== undefined) return known;
    const endsAt = this.findEnd(process);
    return endsAt > now && perSecond > 0 ? this.createState(perSecond, endsAt) : undefined;
  }

  /** Lists the words that peers should hear from this instance, of many the newest. */
  list(now: Moment): readonly ColdWord[] {
    const own = [...this.words.values()].filter(({ isOwn, endsAt }) => isOwn && endsAt > now);
    return own.slice(-MAX_TOLD_WORDS);
  }

  /** Forgets what is over. */
  prune(now: Moment): void {
    for (const [endpoint, { endsAt }] of this.words) {
      if (endsAt <= now) this.words.delete(endpoint);
    }
  }

  private findEnd({ endpoint, processStartedAt }: EndpointProcess): Moment {
    const listed = this.parts.directory.findCold(endpoint);
    const word = this.words.get(endpoint);
    const isListed = listed?.entry.processStartedAt === processStartedAt;
    const isHeard = word?.processStartedAt === processStartedAt;
    return Math.max(isListed ? listed.endsAt : 0, isHeard ? word.endsAt : 0);
  }

  private createState(perSecond: number, endsAt: Moment): ColdState {
    const { ratio, slack } = this.parts.tolerance;
    const above = Math.max(0, perSecond * (ratio - 1) + slack);
    return { perSecond, endsAt, burst: Math.max(1, above * BURST_SHARE) };
  }

  private removeOldest(): void {
    if (this.words.size <= MAX_WORDS) return;
    const [oldest] = this.words.keys();
    if (oldest !== undefined) this.words.delete(oldest);
  }
}
