/**
 * Sends the origins of the streams that this instance begins to the instances that write them to the
 * store, unless their service is known to have had one version for as long as streams last.
 */
import type { Clock, Moment } from "../../core/clock";
import { rankByRendezvousHash } from "../../core/rendezvous";
import type { VersionHistory } from "../../fleet/versionhistory";
import type { NamedOrigin } from "./origins";

/** Maximum number of origins that are kept in case that another version appears. */
const MAX_RECENT = 4096;

interface RecentOrigin {
  readonly named: NamedOrigin;
  readonly at: Moment;
}

/** Dependencies of the publisher. */
export interface OriginPublisherParts {
  readonly versionHistory: VersionHistory;
  /** Computes how long callers may take up a stream of a service after it began, in milliseconds. */
  readonly computeStreamMs: (service: string) => number;
  /** Lists the instances that write to the store. */
  readonly listWriters: () => readonly string[];
  readonly send: (writer: string, named: NamedOrigin) => void;
  readonly clock: Clock;
}

/** Decides which origins are sent to the writers. */
export class OriginPublisher {
  /** Origins that were not sent, in the order in which their streams began. */
  private recent: RecentOrigin[] = [];

  constructor(private readonly parts: OriginPublisherParts) {}

  /** Publishes the origin of a stream that has just begun, or keeps it for a while. */
  publish(named: NamedOrigin): void {
    if (named.origin.version === undefined || this.trySend(named)) return;
    this.recent.push({ named, at: this.parts.clock.now() });
    if (this.recent.length > MAX_RECENT) this.recent.shift();
  }

  /** Publishes that the version of an origin is not known; one that was sent for it may be stored already. */
  publishUnknown(named: NamedOrigin): void {
    if (this.trySend(named)) return;
    this.recent.push({ named, at: this.parts.clock.now() });
    if (this.recent.length > MAX_RECENT) this.recent.shift();
  }

  /** Publishes the origins of streams that began before another version appeared; called every second. */
  maintain(): void {
    const { clock, computeStreamMs } = this.parts;
    const now = clock.now();
    this.recent = this.recent.filter(
      ({ named, at }) => now - at <= computeStreamMs(named.origin.service) && !this.trySend(named),
    );
  }

  /** Sends an origin to one writer, so that each writes a part. */
  private trySend(named: NamedOrigin): boolean {
    const { versionHistory, computeStreamMs, listWriters, send, clock } = this.parts;
    const { service } = named.origin;
    const only = versionHistory.findOnly(service, computeStreamMs(service), clock.now());
    if (only !== undefined) return false;
    const [writer] = rankByRendezvousHash(named.stream.request, listWriters());
    if (writer !== undefined) send(writer, named);
    return writer !== undefined;
  }
}
