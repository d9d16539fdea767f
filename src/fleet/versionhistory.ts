/**
 * Watches which software versions the endpoints of each service have, so that an instance can tell
 * that a service had only one for some time.
 */
import type { Moment } from "../core/clock";
import type { EndpointEntry } from "./entries";
import type { HistoryProof } from "./historyproof";
import { advanceCounted, type LogPosition, type ReadRange } from "./position";
import { type ProcessName, UnknownVersions } from "./unknownversions";

/**
 * Longest time between two observations, in milliseconds. After a longer one, such as a freeze or a
 * cut, an endpoint may have come and gone unseen.
 */
const MAX_GAP_MS = 3000;
/** How long a version that is listed no more is remembered, in milliseconds. */
const MEMORY_MS = 300_000;
/** How long after its arrival a take-up may be decided on, in milliseconds; more than it waits for answers. */
const MAX_DECISION_MS = 2000;
/** Stands for the version of entries that name none. */
const UNNAMED = "";

/** The versions that one service has had. */
interface ServiceVersions {
  /** When the first endpoint of the service was seen. */
  readonly since: Moment;
  /** By version: when an endpoint was last listed with it. */
  readonly lastSeen: Map<string, Moment>;
}

/** What an observation of the list holds. */
export interface SeenList {
  /** The position up to which the list is known, though perhaps only the newest records. */
  readonly next: LogPosition;
  /** How often records may have been missed before. */
  readonly gaps: number;
  /** The part of the feed of which each record was read. */
  readonly read?: ReadRange | undefined;
}

/** The versions that services have had, as far as this instance has seen. */
export class VersionHistory {
  private readonly services = new Map<string, ServiceVersions>();
  /** Stays over gaps: what was there was there. */
  private readonly unknown = new UnknownVersions();
  private watchedSince: Moment = Number.POSITIVE_INFINITY;
  private observedAt: Moment = Number.NEGATIVE_INFINITY;
  private watchCount = 0;
  private gaps: number | undefined;
  private countedPosition: LogPosition | undefined;

  /**
   * @param staleMs - how long after a version's last endpoint was removed other instances may still
   *   begin streams there, in milliseconds
   */
  constructor(private readonly staleMs = 0) {}

  /**
   * Records the listed endpoints; called every second or so while the list is current.
   *
   * @param seen - the part of the feed that they stand for
   */
  record(endpoints: readonly EndpointEntry[], now: Moment, seen?: SeenList): void {
    if (seen !== undefined) this.recordSeen(seen, now);
    this.observe(now);
    this.unknown.removeOld(now - MAX_DECISION_MS);
    this.unknown.removeListed(endpoints);
    for (const { service, version } of endpoints) this.recordVersion(service, version, now, now);
    for (const [service, { lastSeen }] of this.services) {
      for (const [version, at] of lastSeen) if (now - at > MEMORY_MS) lastSeen.delete(version);
      if (lastSeen.size === 0) this.services.delete(service);
    }
  }

  /**
   * Records what the store's history of the endpoint feed proves, so that an instance that has just
   * started need not watch for as long itself.
   *
   * @param at - when the history was read
   * @param next - the end of the history
   */
  recordProof({ coveredMs, processes }: HistoryProof, at: Moment, next?: LogPosition): void {
    if (next !== undefined && this.isWatchOver(at)) this.countedPosition = next;
    this.observe(at);
    const since = at - coveredMs;
    this.watchedSince = Math.min(this.watchedSince, since);
    this.unknown.removeListed(processes.map(({ entry }) => entry));
    for (const { entry, lastListedMs } of processes) {
      this.recordVersion(entry.service, entry.version, since, at - lastListedMs);
    }
  }

  /**
   * Records that a process that is not listed, so of unknown version, began a stream of a service.
   *
   * @param seenAt - until when it is known to have been there
   * @param forgetAt - from when on no stream that began by then can be taken up
   * @param process - which one it was, if that is known; once it is listed, its version is
   */
  recordUnknown(service: string, seenAt: Moment, forgetAt: Moment, process?: ProcessName): void {
    this.unknown.record(service, seenAt, forgetAt, process);
  }

  /** Checks whether a process of unknown version was at a service within a time, in milliseconds. */
  hasUnknown(service: string, forMs: number, now: Moment): boolean {
    return this.unknown.hasSeen(service, forMs, now);
  }

  /**
   * The position up to which each record since the watch began is counted; only reads of the feed that
   * begin at or before it move it. Undefined before the first observation.
   */
  get position(): LogPosition | undefined {
    return this.countedPosition;
  }

  /** Number of the present watch; a new one begins after each gap. */
  get watch(): number {
    return this.watchCount;
  }

  /** Computes the time since the last observation, in milliseconds; infinite if there was none. */
  computeAgeMs(now: Moment): number {
    return now - this.observedAt;
  }

  /** Computes for how long the endpoints were watched without a gap, in milliseconds. */
  computeWatchedMs(now: Moment): number {
    return this.isWatchOver(now) ? 0 : Math.max(0, now - this.watchedSince);
  }

  /**
   * Finds the version of a service that was the only one for a time; undefined if there were others,
   * a process of unknown version, or the service was not watched for so long.
   */
  findOnly(service: string, forMs: number, now: Moment): string | undefined {
    const known = this.services.get(service);
    if (known === undefined || now - known.since < forMs) return undefined;
    if (this.isWatchOver(now) || this.hasUnknown(service, forMs, now)) return undefined;
    const recent = this.listVersions(service, forMs, now);
    const [only] = recent;
    return recent.length === 1 && only !== UNNAMED ? only : undefined;
  }

  /** Checks whether a service is known to have had several versions of late, or one that is not known. */
  hasSeveral(service: string, forMs: number, now: Moment): boolean {
    return (
      this.hasUnknown(service, forMs, now) || this.listVersions(service, forMs, now).length > 1
    );
  }

  private listVersions(service: string, forMs: number, now: Moment): readonly string[] {
    const lastSeen = [...(this.services.get(service)?.lastSeen ?? [])];
    return lastSeen.flatMap(([version, at]) => (now - at <= forMs + this.staleMs ? version : []));
  }

  /** After a gap, nothing that was seen before it counts. */
  private observe(now: Moment): void {
    if (this.isWatchOver(now)) {
      this.services.clear();
      this.watchedSince = now;
      this.watchCount += 1;
    }
    this.observedAt = Math.max(now, this.observedAt);
  }

  /** After records were missed, nothing that was seen before counts. */
  private recordSeen({ next, gaps, read }: SeenList, now: Moment): void {
    const isMissing = this.gaps !== undefined && this.gaps !== gaps;
    const isOtherEra = this.countedPosition !== undefined && next.era > this.countedPosition.era;
    if (isMissing || isOtherEra) this.observedAt = Number.NEGATIVE_INFINITY;
    this.gaps = gaps;
    if (this.countedPosition === undefined || this.isWatchOver(now)) this.countedPosition = next;
    else if (read !== undefined) {
      this.countedPosition = advanceCounted(this.countedPosition, read);
    }
  }

  private isWatchOver(now: Moment): boolean {
    return now - this.observedAt > MAX_GAP_MS;
  }

  private recordVersion(
    service: string,
    version: string | undefined,
    since: Moment,
    at: Moment,
  ): void {
    const known = this.services.get(service) ?? { since, lastSeen: new Map<string, Moment>() };
    const name = version ?? UNNAMED;
    known.lastSeen.set(name, Math.max(at, known.lastSeen.get(name) ?? at));
    this.services.set(service, { ...known, since: Math.min(since, known.since) });
  }
}
