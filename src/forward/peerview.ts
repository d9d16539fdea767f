/**
 * What an instance tells its peers of itself, and what it takes from what they tell.
 */
import { type Clock, computeLeftMs, type Moment } from "../core/clock";
import type { BeaconHost } from "../fleet/beacon";
import type { Directory } from "../fleet/directory";
import type { Self } from "../fleet/roster";
import type { Watcher } from "../fleet/watcher";
import type { Beat, FetchReply, FetchRequest } from "../peer/gen/fleet";
import type { CrashBook } from "../core/crashes";
import type { Desk } from "./desk";
import type { EngineBook } from "./engines";
import type { Quotas } from "./quota";
import type { ReturnBook } from "./returns";
import type { StageWork } from "./stages";
import { SlidingSum } from "../core/window";

/** The window over which arriving prompts are counted, in milliseconds. */
const ARRIVAL_WINDOW_MS = 1000;
/** How long the word of a peer on what arrives there counts, in milliseconds. */
const ARRIVALS_MS = 2000;
/** How old the list of endpoints must be before a peer's is asked for, in milliseconds. */
const LIST_STALE_MS = 2000;
/** The version that stands for no configuration. */
const NO_VERSION = -1;

/** What arrives at a peer. */
interface Arrivals {
  readonly arrivingTokens: number;
  readonly waiting: number;
  readonly heardAt: Moment;
}

/** What the view is made of. */
export interface PeerViewParts {
  readonly clock: Clock;
  readonly directory: Directory;
  readonly watcher: Watcher;
  readonly quotas: Quotas;
  readonly crashes: CrashBook;
  readonly returns: ReturnBook;
  readonly book: EngineBook;
  readonly desk: Desk;
  readonly isLeaving: () => boolean;
}

/** The side of an instance that its peers see. */
export class PeerView implements BeaconHost {
  private readonly arriving = new SlidingSum(ARRIVAL_WINDOW_MS);
  private readonly peerArrivals = new Map<string, Arrivals>();

  constructor(private readonly parts: PeerViewParts) {}

  /** Notes a prompt that came in here. */
  noteArrival(promptTokens: number, now: Moment): void {
    this.arriving.add(promptTokens, now);
  }

  describe(): Omit<Beat, keyof Self> {
    const { clock, directory, quotas, crashes, book, desk, isLeaving } = this.parts;
    const now = clock.now();
    return {
      configVersion: this.readVersion(),
      endpointsNext: directory.next,
      endpointsChange: directory.lastChange,
      leaving: isLeaving(),
      usages: [...quotas.listOwn()],
      works: [...book.listOwn()],
      crashes: [...crashes.list(now)],
      arrivingTokens: Math.round(this.arriving.read(now)),
      waiting: desk.size,
      refused: [...this.parts.returns.listOwn(now)],
      absences: book.listOrdered(now).map(({ engine, deadline }) => ({
        engine,
        remainingMs: computeLeftMs(deadline, now),
      })),
    };
  }

  takeBeat(beat: Beat, now: Moment): void {
    const { quotas, book, crashes, desk } = this.parts;
    const { instance, incarnation, arrivingTokens, waiting } = beat;
    quotas.take(instance, incarnation, beat.usages);
    book.take(instance, beat.works, now);
    this.peerArrivals.set(instance, { arrivingTokens, waiting, heardAt: now });
    for (const { engine, remainingMs } of beat.absences) {
      book.noteAbsent(engine, now + remainingMs);
    }
    this.parts.returns.take(beat.refused, now);
    for (const crash of beat.crashes) crashes.note(crash, now);
    desk.pump();
  }

  shouldFetch(beat: Beat): boolean {
    const { next } = this.parts.directory;
    if (beat.configVersion > this.readVersion() || beat.endpointsChange >= next) return true;
    const isStale = this.parts.watcher.computeEndpointsAgeMs() > LIST_STALE_MS;
    return isStale && beat.endpointsNext > next;
  }

  createFetchRequest(): FetchRequest {
    return { configVersion: this.readVersion(), endpointsNext: this.parts.directory.next };
  }

  takeFetched(reply: FetchReply, from: string): void {
    const { watcher, directory } = this.parts;
    const source = `peer ${from}`;
    if (reply.config !== undefined) watcher.takeConfig(Buffer.from(reply.config), source);
    if (reply.endpointsNext <= directory.next) return;
    const records = reply.endpoints.map(({ key, value, offset }) => ({
      key,
      value: value === undefined ? undefined : Buffer.from(value),
      offset,
    }));
    watcher.takeEndpoints({ records, next: reply.endpointsNext }, false, source);
  }

  /** Answers a peer that the store does not answer. */
  answerFetch(request: FetchRequest): FetchReply {
    const { watcher, directory } = this.parts;
    const isConfigNewer = this.readVersion() > request.configVersion;
    const value = isConfigNewer ? watcher.readConfigValue() : undefined;
    const isListNewer = directory.next > request.endpointsNext;
    return {
      ...(value === undefined ? {} : { config: value }),
      endpoints: isListNewer ? [...directory.listRecords()] : [],
      endpointsNext: directory.next,
    };
  }

  /** Reads what comes in and waits for a service, over all instances that are heard. */
  readWork(service: string): StageWork {
    const { clock, desk } = this.parts;
    const now = clock.now();
    let promptTokensPerSecond = this.arriving.read(now);
    for (const [peer, arrivals] of this.peerArrivals) {
      if (now - arrivals.heardAt > ARRIVALS_MS) this.peerArrivals.delete(peer);
      else promptTokensPerSecond += arrivals.arrivingTokens;
    }
    const engines = desk.listViews(service, now).map((view) => view.endpoint);
    return { engines, promptTokensPerSecond };
  }

  private readVersion(): number {
    return this.parts.watcher.readCatalog()?.config.version ?? NO_VERSION;
  }
}
