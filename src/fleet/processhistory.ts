/**
 * Remembers the processes that endpoints have had, also after their entries were replaced or removed:
 * a stream may have been begun by a process that the list named only later, and no longer names.
 */
import type { Moment } from "../core/clock";
import type { EndpointEntry } from "./entries";

/** How long a process that is listed no more is remembered, in milliseconds; as long as origins are. */
const MEMORY_MS = 60_000;
/** Maximum number of processes of one endpoint: one that crashes at its start is started again and again. */
const MAX_PROCESSES = 8;

interface ListedProcess {
  readonly entry: EndpointEntry;
  readonly lastListedAt: Moment;
}

/** The processes of endpoints, as they were listed. */
export class ProcessHistory {
  /** By endpoint: the newest entry of each process, the one that was listed last at the end. */
  private readonly endpoints = new Map<string, readonly ListedProcess[]>();

  /** Records that a process was listed at a moment; earlier moments may come later. */
  record(entry: EndpointEntry, at: Moment): void {
    const known = this.endpoints.get(entry.id) ?? [];
    const others = known.filter((process) => !isSameProcess(process.entry, entry));
    const before = known.find((process) => isSameProcess(process.entry, entry));
    const lastListedAt = Math.max(at, before?.lastListedAt ?? at);
    const listed = [...others, { entry, lastListedAt }];
    listed.sort((a, b) => a.lastListedAt - b.lastListedAt);
    this.endpoints.set(entry.id, listed.slice(-MAX_PROCESSES));
  }

  /** Lists the processes that an endpoint has had. */
  list(endpoint: string): readonly EndpointEntry[] {
    return (this.endpoints.get(endpoint) ?? []).map(({ entry }) => entry);
  }

  /** Lists the processes that were listed at some time since a moment. */
  listSince(since: Moment): readonly EndpointEntry[] {
    return [...this.endpoints.values()].flatMap((processes) =>
      processes.flatMap(({ entry, lastListedAt }) => (lastListedAt >= since ? entry : [])),
    );
  }

  /**
   * Forgets processes that were not listed for long.
   *
   * @param isListed - whether an endpoint is listed now, whose newest process is then kept
   */
  prune(isListed: (endpoint: string) => boolean, now: Moment): void {
    for (const [endpoint, processes] of this.endpoints) {
      const newest = isListed(endpoint) ? processes.at(-1) : undefined;
      const kept = processes.filter(
        (process) => process === newest || now - process.lastListedAt <= MEMORY_MS,
      );
      if (kept.length === 0) this.endpoints.delete(endpoint);
      else if (kept.length < processes.length) this.endpoints.set(endpoint, kept);
    }
  }
}

/** Entries without a start time tell processes apart by their version alone. */
function isSameProcess(a: EndpointEntry, b: EndpointEntry): boolean {
  return (
    a.processStartedAt === b.processStartedAt && a.version === b.version && a.service === b.service
  );
}
