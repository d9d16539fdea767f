/**
 * Remembers until when processes of unknown version began streams of a service: the list names another version for their
 * engines, so what it says does not tell which versions the service had. Once it names the process itself, it does.
 */
import type { Moment } from "../core/clock";
import type { EndpointEntry } from "./entries";

/** Maximum number of processes that are remembered, over all services. */
const MAX_PROCESSES = 1024;

/** A process, as it names itself. */
export interface ProcessName {
  readonly endpoint: string;
  /** When it started, in milliseconds of its own wall clock. */
  readonly startedAt: number;
}

interface UnknownVersion {
  readonly service: string;
  /** Undefined if it is not known which process it was. */
  readonly process: ProcessName | undefined;
  /** When such a process was there last. */
  readonly seenAt: Moment;
  readonly forgetAt: Moment;
}

/** The processes of unknown version that were at services. */
export class UnknownVersions {
  /** In the order in which they were recorded last. */
  private readonly processes = new Map<string, UnknownVersion>();

  /**
   * Records that a process of unknown version was there.
   *
   * @param seenAt - until when it is known to have been there
   * @param forgetAt - from when on no stream that began by then can be taken up
   * @param process - which one it was, if that is known
   */
  record(service: string, seenAt: Moment, forgetAt: Moment, process?: ProcessName): void {
    const key = JSON.stringify([service, process?.endpoint, process?.startedAt]);
    const known = this.processes.get(key);
    this.processes.delete(key);
    this.processes.set(key, {
      service,
      process,
      seenAt: Math.max(seenAt, known?.seenAt ?? seenAt),
      forgetAt: Math.max(forgetAt, known?.forgetAt ?? forgetAt),
    });
    const [oldest] = this.processes.keys();
    if (this.processes.size > MAX_PROCESSES && oldest !== undefined) this.processes.delete(oldest);
  }

  /** Forgets the processes that the list names at their services: their versions are known. */
  removeListed(entries: readonly EndpointEntry[]): void {
    for (const [key, unknown] of this.processes) {
      const isListed = entries.some(
        ({ service, id, processStartedAt }) =>
          service === unknown.service &&
          id === unknown.process?.endpoint &&
          processStartedAt === unknown.process.startedAt,
      );
      if (isListed) this.processes.delete(key);
    }
  }

  /**
   * Checks whether such a process was there within a time.
   *
   * @param forMs - the time up to now, in milliseconds
   * @example
   * unknownVersions.hasSeen("models", 16_000, clock.now());
   */
  hasSeen(service: string, forMs: number, now: Moment): boolean {
    return [...this.processes.values()].some(
      (known) => known.service === service && now - known.seenAt <= forMs,
    );
  }

  /** Forgets what is not needed any more. */
  removeOld(now: Moment): void {
    for (const [key, { forgetAt }] of this.processes) {
      if (now > forgetAt) this.processes.delete(key);
    }
  }

  /** Number of processes that are remembered. */
  get size(): number {
    return this.processes.size;
  }
}
