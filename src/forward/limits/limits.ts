/**
 * Keeps what endpoints say of the requests that they take from all instances together. The newest
 * word of a process counts, whoever heard it; a new process has said nothing yet.
 */
import type { Moment } from "../../core/clock";

/** What a process of an endpoint said last of its limit. */
export interface LimitWord {
  readonly endpoint: string;
  /** When the process started, in milliseconds of the endpoint's wall clock. */
  readonly processStartedAt: number;
  /** Requests a second from all instances together; undefined once it names no limit any more. */
  readonly perSecond: number | undefined;
  /**
   * When the endpoint said it. A limit counts from when its answer arrived, the end of one from when
   * the request was sent: where answers overlap, the limit stays.
   */
  readonly at: Moment;
  /**
   * True if the endpoint said it to this instance. Peers are told only such words, so that none comes
   * back with the time on its way added to its moment.
   */
  readonly isOwn: boolean;
}

/** The process of an endpoint. */
export type EndpointProcess = Pick<LimitWord, "endpoint" | "processStartedAt">;

/**
 * How long a limit is told, and other endpoints are preferred for it, without its being heard again,
 * in milliseconds; far longer than the gap between the requests that even a very low limit allows.
 */
const LIMIT_TTL_MS = 60_000;
/** How long the end of a limit is told, in milliseconds; covers several heartbeats. */
const END_TTL_MS = 10_000;
/** Maximum number of words that are kept; more than a fleet has endpoints. */
const MAX_WORDS = 8192;
/** Maximum number of words that are told at once, which bounds heartbeats. */
const MAX_TOLD_WORDS = 256;

/** The limits of endpoints, by the newest word of each. */
export class EndpointLimits {
  /** By endpoint, the word that was heard last behind the others. */
  private readonly words = new Map<string, LimitWord>();
  /** In the same order, those that peers may have to hear; each heartbeat lists them. */
  private readonly ownWords = new Map<string, LimitWord>();

  /**
   * Learns a word, from the endpoint itself or from a peer.
   *
   * @returns true if it changed the limit
   */
  record(word: LimitWord): boolean {
    const known = this.words.get(word.endpoint);
    if (known !== undefined && !isNewer(word, known)) return false;
    addLast(this.words, word, MAX_WORDS);
    if (word.isOwn) addLast(this.ownWords, word, MAX_TOLD_WORDS);
    else this.ownWords.delete(word.endpoint);
    return known?.perSecond !== word.perSecond;
  }

  /**
   * Finds the limit of a process, in requests a second; undefined if it names none. Only an answer
   * ends a limit: an endpoint that is sent nothing cannot say that its limit still holds.
   */
  find({ endpoint, processStartedAt }: EndpointProcess): number | undefined {
    const word = this.words.get(endpoint);
    return word?.processStartedAt === processStartedAt ? word.perSecond : undefined;
  }

  /** Checks whether a process has lately named a limit. */
  isRecent(process: EndpointProcess, now: Moment): boolean {
    const word = this.words.get(process.endpoint);
    return word !== undefined && this.find(process) !== undefined && !isOutdated(word, now);
  }

  /** Finds the newest word of any process of an endpoint. */
  findWord(endpoint: string): LimitWord | undefined {
    return this.words.get(endpoint);
  }

  /** Lists the words that peers should hear from this instance, of many those that were heard last. */
  list(now: Moment): readonly LimitWord[] {
    return [...this.ownWords.values()].filter((word) => !isOutdated(word, now));
  }

  /** Forgets what is out of date: the ends of limits, and the limits of endpoints that are gone. */
  prune(isListed: (endpoint: string) => boolean, now: Moment): void {
    for (const [endpoint, word] of this.words) {
      if (!isOutdated(word, now)) continue;
      this.ownWords.delete(endpoint);
      if (word.perSecond === undefined || !isListed(endpoint)) this.words.delete(endpoint);
    }
  }
}

function addLast(words: Map<string, LimitWord>, word: LimitWord, maxWords: number): void {
  words.delete(word.endpoint);
  words.set(word.endpoint, word);
  if (words.size <= maxWords) return;
  const [oldest] = words.keys();
  if (oldest !== undefined) words.delete(oldest);
}

function isOutdated({ perSecond, at }: LimitWord, now: Moment): boolean {
  return now - at > (perSecond === undefined ? END_TTL_MS : LIMIT_TTL_MS);
}

function isNewer(word: LimitWord, known: LimitWord): boolean {
  if (word.processStartedAt !== known.processStartedAt)
    return word.processStartedAt > known.processStartedAt;
  return word.at > known.at;
}
