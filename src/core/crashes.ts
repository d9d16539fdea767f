/**
 * The crashes that requests ran through: a request whose copies break one process after the other,
 * from whichever caller's attempt and at whichever instance, is refused.
 */
import type { Moment } from "./clock";

/** Processes that a request may break before its copies are refused. */
export const CRASHES_TO_BAN = 2;
/** How long a crash counts, in milliseconds; a culprit comes again within its caller's patience. */
const CRASH_TTL_MS = 60_000;

/** A crash of a process while it ran a request. */
export interface CrashRecord {
  readonly fingerprint: string;
  /** The endpoint and its incarnation. */
  readonly process: string;
}

/** The crashes of late. */
export class CrashTracker {
  /** By fingerprint: until when each crashed process counts. */
  private readonly crashes = new Map<string, Map<string, Moment>>();

  /**
   * @param ttlMs - how long a crash counts, in milliseconds
   */
  constructor(private readonly ttlMs: number = CRASH_TTL_MS) {}

  /** Notes a crash; true where it was not known. */
  recordCrash(crash: CrashRecord, now: Moment): boolean {
    let processes = this.crashes.get(crash.fingerprint);
    if (processes === undefined) {
      processes = new Map();
      this.crashes.set(crash.fingerprint, processes);
    }
    const isNew = !processes.has(crash.process);
    if (isNew) processes.set(crash.process, now + this.ttlMs);
    return isNew;
  }

  /** Checks whether a request has broken so many processes that its copies are refused. */
  isBanned(fingerprint: string, now: Moment): boolean {
    return this.listProcesses(fingerprint, now).length >= CRASHES_TO_BAN;
  }

  /** Lists the crashed processes that a request ran on. */
  listProcesses(fingerprint: string, now: Moment): readonly string[] {
    const processes = [...(this.crashes.get(fingerprint) ?? [])];
    return processes.filter(([, deadline]) => deadline > now).map(([process]) => process);
  }

  /** Forgets a request that ran to its end. */
  clear(fingerprint: string): void {
    this.crashes.delete(fingerprint);
  }

  /** Forgets a process that did not crash; returns the requests that had run on it. */
  retract(process: string): readonly string[] {
    const cleared: string[] = [];
    for (const [fingerprint, processes] of this.crashes) {
      if (!processes.delete(process)) continue;
      cleared.push(fingerprint);
      if (processes.size === 0) this.crashes.delete(fingerprint);
    }
    return cleared;
  }

  /** Lists the crashes that still count, for peers; forgets the others. */
  listCrashes(now: Moment): readonly CrashRecord[] {
    const records: CrashRecord[] = [];
    for (const [fingerprint, processes] of this.crashes) {
      for (const [process, deadline] of processes) {
        if (deadline <= now) processes.delete(process);
        else records.push({ fingerprint, process });
      }
      if (processes.size === 0) this.crashes.delete(fingerprint);
    }
    return records;
  }
}
