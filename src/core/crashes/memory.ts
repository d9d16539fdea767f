/**
 * Remembers recent crashes with their suspects. Every instance reports the requests that it had on
 * the crashed process, and passes on what peers reported; so a crash is merged by its process, and
 * neither the order nor the number of reports matters.
 */
import type { Moment } from "../clock";
import type { Suspect } from "./suspects";

/**
 * How long a crash counts, in milliseconds; long enough for copies of a poison request, since its
 * caller sends it again within its own timeout.
 */
export const CRASH_MEMORY_MS = 60_000;
const MAX_CRASHES = 128;
const MAX_SUSPECTS = 16;
const MAX_PARTS = 32;

/** A crash as an instance observed it or a peer told it. */
export interface CrashReport {
  /** The crashed process: its endpoint and its incarnation. */
  readonly process: string;
  /** None if all that ran there are bystanders. */
  readonly suspects: readonly Suspect[];
  /** Time since the crash, in milliseconds; absent if it happened just now. */
  readonly ageMs?: number | undefined;
}

/** A remembered crash. */
export interface Crash {
  readonly process: string;
  readonly at: Moment;
  /** By fingerprint. */
  readonly suspects: ReadonlyMap<string, Suspect>;
}

interface MutableCrash extends Crash {
  at: Moment;
  readonly suspects: Map<string, Suspect>;
}

/** What was not known of a report. */
export interface CrashNews {
  readonly isNew: boolean;
  readonly suspects: readonly Suspect[];
}

/** Recent crashes, by process. */
export class CrashMemory {
  private readonly crashes = new Map<string, MutableCrash>();

  /** Merges a report; says what of it was not known. */
  merge(report: CrashReport, now: Moment): CrashNews {
    const at = now - (report.ageMs ?? 0);
    if (at <= now - CRASH_MEMORY_MS) return { isNew: false, suspects: [] };
    const known = this.crashes.get(report.process);
    const crash = known ?? this.add(report.process, at);
    crash.at = Math.min(crash.at, at);
    const added = report.suspects.filter(({ fingerprint }) => !crash.suspects.has(fingerprint));
    const kept = added.slice(0, MAX_SUSPECTS - crash.suspects.size);
    for (const { fingerprint, parts } of kept) {
      crash.suspects.set(fingerprint, { fingerprint, parts: parts.slice(0, MAX_PARTS) });
    }
    this.prune(now);
    return { isNew: known === undefined || kept.length > 0, suspects: kept };
  }

  /** Lists the crashes that still count. */
  list(now: Moment): readonly Crash[] {
    this.prune(now);
    return [...this.crashes.values()];
  }

  private add(process: string, at: Moment): MutableCrash {
    const crash = { process, at, suspects: new Map<string, Suspect>() };
    this.crashes.set(process, crash);
    return crash;
  }

  private prune(now: Moment): void {
    for (const crash of this.crashes.values()) {
      if (crash.at <= now - CRASH_MEMORY_MS) this.crashes.delete(crash.process);
    }
    while (this.crashes.size > MAX_CRASHES) this.removeOldest();
  }

  private removeOldest(): void {
    const crashes = [...this.crashes.values()];
    const oldest = crashes.reduce((first, crash) => (crash.at < first.at ? crash : first));
    this.crashes.delete(oldest.process);
  }
}
