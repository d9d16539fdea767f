/**
 * Knows which endpoints have just started or recovered, so that each send to them needs a permit of the
 * owner, and judges how sends to them end.
 */
import type { Clock, Moment } from "../../core/clock";
import type { Logger } from "../../core/log";
import type { EndpointProcess } from "./limits";
import type { SendOutcomes } from "./paceaccounts";
import { UsualTimes } from "./usualtimes";

/** How a send ended. */
export const SendEnding = {
  answered: "answered",
  /** The endpoint has no room and did not run it. */
  rejected: "rejected",
  /** There was no answer of the endpoint, or one that says that it failed. */
  failed: "failed",
  /** It was given up by this instance. */
  aborted: "aborted",
} as const;
export type SendEnding = (typeof SendEnding)[keyof typeof SendEnding];

/** A send that ended. */
export interface EndedSend extends EndpointProcess {
  readonly service: string;
  /** Sends of one kind and size usually take the same time. */
  readonly kind: string;
  /** Number of units, such as prompt tokens, that the time grows with; 1 for none. */
  readonly size: number;
  readonly ending: SendEnding;
  /** Time to the head of the answer, in milliseconds. */
  readonly tookMs: number;
}

/** An endpoint that started or recovered. */
export interface PaceWord extends EndpointProcess {
  readonly begunAt: Moment;
  /** True if this instance found it; peers are told only such words. */
  readonly isOwn: boolean;
}

/** Dependencies. */
export interface PacingParts {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called when an endpoint is found to have started or recovered, which peers should hear at once. */
  readonly onBegin: () => void;
  /** Called when outcomes wait to be reported to the owner of an endpoint's limit. */
  readonly onOutcome: () => void;
}

/** Endpoints that are first seen so soon after the start of the instance may be old, in milliseconds. */
const SETTLE_MS = 5000;
/** Number of failures in a row after which an answer means that the endpoint recovered. */
const FAILURES = 3;
/** Longest time that an endpoint is limited in its pace, in milliseconds. */
const MAX_PACED_MS = 30_000;
/** Moments of peers are this inexact, in milliseconds. */
const SAME_MS = 1000;
const MAX_TOLD_WORDS = 256;
const NO_OUTCOMES: SendOutcomes = { inTime: 0, slow: 0, rejected: 0, neutral: 0 };

interface Episode {
  readonly word: PaceWord;
  endedAt: Moment | undefined;
  pending: SendOutcomes;
}

/** The endpoints that are limited in their pace. */
export class Pacing {
  private readonly usual = new UsualTimes();
  private readonly createdAt: Moment;
  private readonly seen = new Map<string, number>();
  private readonly failures = new Map<string, number>();
  private readonly pauses = new Set<string>();
  private readonly episodes = new Map<string, Episode>();

  constructor(private readonly parts: PacingParts) {
    this.createdAt = parts.clock.now();
  }

  /** Number of endpoints that are limited in their pace. */
  get size(): number {
    const now = this.parts.clock.now();
    return [...this.episodes.values()].filter((episode) => isOpen(episode, now)).length;
  }

  /** Notes a listed process; one that was not listed before has just started. */
  observe({ endpoint, processStartedAt }: EndpointProcess, now: Moment): void {
    const known = this.seen.get(endpoint);
    if (known !== undefined && known >= processStartedAt) return;
    this.seen.set(endpoint, processStartedAt);
    if (now - this.createdAt >= SETTLE_MS) {
      this.begin({ endpoint, processStartedAt }, "started", now);
    }
  }

  /** Notes that an endpoint wants a pause, after which it begins slowly. */
  recordPause(endpoint: string): void {
    this.pauses.add(endpoint);
  }

  /** Finds when a process started or recovered; undefined once it performs like others. */
  find(process: EndpointProcess, now: Moment): Moment | undefined {
    const { endpoint } = process;
    this.observe(process, now);
    if (this.pauses.delete(endpoint)) this.begin(process, "paused", now);
    const episode = this.episodes.get(endpoint);
    if (episode?.word.processStartedAt !== process.processStartedAt) return undefined;
    return isOpen(episode, now) ? episode.word.begunAt : undefined;
  }

  /** Checks whether the newest process that started or recovered is limited in its pace. */
  isPaced(endpoint: string, now: Moment): boolean {
    const episode = this.episodes.get(endpoint);
    return episode !== undefined && isOpen(episode, now);
  }

  /** Learns from a peer that a process started or recovered. */
  recordPeer(word: PaceWord, now: Moment): void {
    const known = this.episodes.get(word.endpoint);
    if (known !== undefined) {
      const { processStartedAt, begunAt } = known.word;
      if (processStartedAt > word.processStartedAt) return;
      const isSame = processStartedAt === word.processStartedAt;
      if (isSame && word.begunAt <= (known.endedAt ?? begunAt) + SAME_MS) return;
    }
    this.open(word, "peer", now);
  }

  /** Ends the limit of a process, as the owner says. */
  end({ endpoint }: EndpointProcess, now: Moment): void {
    const episode = this.episodes.get(endpoint);
    if (episode === undefined || episode.endedAt !== undefined) return;
    episode.endedAt = now;
    const afterMs = Math.round(now - episode.word.begunAt);
    this.parts.logger.info("endpoint at full pace", { endpoint, afterMs });
  }

  /** Records how a send ended. */
  record(send: EndedSend): void {
    const now = this.parts.clock.now();
    const { endpoint, processStartedAt, service, kind, size, tookMs, ending } = send;
    this.recordFailures(send, now);
    const episode = this.episodes.get(endpoint);
    const isPaced = episode?.word.processStartedAt === processStartedAt && isOpen(episode, now);
    if (!isPaced) {
      if (ending === SendEnding.answered) this.usual.record(`${service} ${kind}`, tookMs / size);
      const isRejected = ending === SendEnding.rejected;
      if (isRejected || ending === SendEnding.answered) {
        this.usual.recordRejection(service, isRejected, now);
      }
      return;
    }
    episode.pending = addOutcome(episode.pending, this.judge(send, now));
    this.parts.onOutcome();
  }

  /** Takes what is to be reported of a process. */
  takeOutcomes({ endpoint }: EndpointProcess): SendOutcomes {
    const episode = this.episodes.get(endpoint);
    if (episode === undefined) return NO_OUTCOMES;
    const { pending } = episode;
    episode.pending = NO_OUTCOMES;
    return pending;
  }

  /** Lists the processes of which something is to be reported. */
  listPending(): readonly EndpointProcess[] {
    return [...this.episodes.values()]
      .filter(({ pending }) => pending !== NO_OUTCOMES)
      .map(({ word }) => word);
  }

  /** Lists what peers should hear from this instance. */
  list(now: Moment): readonly PaceWord[] {
    const own = [...this.episodes.values()].filter(
      (episode) => episode.word.isOwn && isOpen(episode, now),
    );
    return own.slice(-MAX_TOLD_WORDS).map(({ word }) => word);
  }

  /** Forgets endpoints that are gone, and what is long over. */
  prune(isListed: (endpoint: string) => boolean, now: Moment): void {
    for (const [endpoint, { word }] of this.episodes) {
      if (now - word.begunAt > 2 * MAX_PACED_MS) this.episodes.delete(endpoint);
    }
    for (const known of [this.failures, this.pauses]) {
      for (const endpoint of known.keys()) if (!isListed(endpoint)) known.delete(endpoint);
    }
  }

  private judge(send: EndedSend, now: Moment): keyof SendOutcomes {
    const { service, kind, size, tookMs, ending } = send;
    const isSlow = this.usual.isSlow(`${service} ${kind}`, tookMs, size);
    if (ending === SendEnding.rejected) {
      return this.usual.isRejecting(service, now) ? "neutral" : "rejected";
    }
    if (ending === SendEnding.failed || isSlow) return "slow";
    return ending === SendEnding.answered ? "inTime" : "neutral";
  }

  private recordFailures({ endpoint, processStartedAt, ending }: EndedSend, now: Moment): void {
    const count = this.failures.get(endpoint) ?? 0;
    if (ending === SendEnding.failed) this.failures.set(endpoint, count + 1);
    if (ending === SendEnding.aborted || ending === SendEnding.failed || count === 0) return;
    this.failures.delete(endpoint);
    if (count >= FAILURES) this.begin({ endpoint, processStartedAt }, "recovered", now);
  }

  private begin(process: EndpointProcess, cause: string, now: Moment): void {
    const known = this.episodes.get(process.endpoint);
    const isSame = known?.word.processStartedAt === process.processStartedAt;
    if (isSame && isOpen(known, now)) return;
    const { endpoint, processStartedAt } = process;
    this.open({ endpoint, processStartedAt, begunAt: now, isOwn: true }, cause, now);
    this.parts.onBegin();
  }

  private open(word: PaceWord, cause: string, now: Moment): void {
    const episode = { word, endedAt: undefined, pending: NO_OUTCOMES };
    if (!isOpen(episode, now)) return;
    this.episodes.set(word.endpoint, episode);
    this.parts.logger.info("endpoint begins slowly", { endpoint: word.endpoint, cause });
  }
}

function isOpen({ word, endedAt }: Episode, now: Moment): boolean {
  return endedAt === undefined && now - word.begunAt < MAX_PACED_MS;
}

function addOutcome(outcomes: SendOutcomes, kind: keyof SendOutcomes): SendOutcomes {
  return { ...outcomes, [kind]: outcomes[kind] + 1 };
}
