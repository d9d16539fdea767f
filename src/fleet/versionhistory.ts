/**
 * Watches which software versions the endpoints of each service have, so that an instance can tell
 * that a service had only one for some time.
 */
import type { Moment } from "../core/clock";
import type { EndpointEntry } from "./entries";

/**
 * Longest time between two observations, in milliseconds. After a longer one, such as a freeze or a
 * cut, an endpoint may have come and gone unseen.
 */
const MAX_GAP_MS = 3000;
/** How long a version that is listed no more is remembered, in milliseconds. */
const MEMORY_MS = 300_000;
/** Stands for the version of entries that name none. */
const UNNAMED = "";

/** The versions that one service has had. */
interface ServiceVersions {
  /** When the first endpoint of the service was seen. */
  readonly since: Moment;
  /** By version: when an endpoint was last listed with it. */
  readonly lastSeen: Map<string, Moment>;
}

/** The versions that services have had, as far as this instance has seen. */
export class VersionHistory {
  private readonly services = new Map<string, ServiceVersions>();
  private observedAt: Moment = Number.NEGATIVE_INFINITY;

  /** Records the listed endpoints; called every second or so while the list is current. */
  record(endpoints: readonly EndpointEntry[], now: Moment): void {
    if (now - this.observedAt > MAX_GAP_MS) this.services.clear();
    this.observedAt = now;
    for (const { service, version } of endpoints) {
      const known = this.services.get(service) ?? { since: now, lastSeen: new Map() };
      known.lastSeen.set(version ?? UNNAMED, now);
      this.services.set(service, known);
    }
    for (const [service, { lastSeen }] of this.services) {
      for (const [version, at] of lastSeen) if (now - at > MEMORY_MS) lastSeen.delete(version);
      if (lastSeen.size === 0) this.services.delete(service);
    }
  }

  /**
   * Finds the version of a service that was the only one for a time; undefined if there were others,
   * or the service was not watched for so long.
   */
  findOnly(service: string, forMs: number, now: Moment): string | undefined {
    const known = this.services.get(service);
    if (known === undefined || now - known.since < forMs) return undefined;
    if (now - this.observedAt > MAX_GAP_MS) return undefined;
    const recent = [...known.lastSeen].filter(([, at]) => now - at <= forMs);
    const [only] = recent;
    return recent.length === 1 && only !== undefined && only[0] !== UNNAMED ? only[0] : undefined;
  }
}
