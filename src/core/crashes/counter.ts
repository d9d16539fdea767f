/**
 * Counts the processes that crashed while they ran a request, for the detection of poison requests
 * by `PoisonDetector`.
 */
import type { Moment } from "../clock";

/** Number of processes that a request may crash before its copies are refused. */
export const CRASHES_TO_BAN = 2;
/**
 * How long a crash counts, in milliseconds; long enough for copies of a poison request, since its
 * caller sends it again within its own timeout.
 */
const CRASH_TTL_MS = 60_000;

/** A crash of a process while it ran a request. */
export interface CrashRecord {
  readonly fingerprint: string;
  /** The crashed process: its endpoint and its incarnation. */
  readonly process: string;
}

/** Recent crashes, by request. */
export class CrashCounter {
  /** By fingerprint and process: until when the crash counts. */
  private readonly crashes = new Map<string, Map<string, Moment>>();

  /**
   * @param ttlMs - how long a crash counts, in milliseconds
   */
  constructor(private readonly ttlMs: number = CRASH_TTL_MS) {}

  /** Records a crash; returns whether it was not known yet. A known crash keeps its expiry. */
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

  /** Checks whether a request has crashed enough processes for its copies to be refused. */
  isBanned(fingerprint: string, now: Moment): boolean {
    return this.listProcesses(fingerprint, now).length >= CRASHES_TO_BAN;
  }

  /** Lists the processes that crashed while running a request and still count. */
  listProcesses(fingerprint: string, now: Moment): readonly string[] {
    const processes = [...(this.crashes.get(fingerprint) ?? [])];
    return processes.filter(([, deadline]) => deadline > now).map(([process]) => process);
  }

  /** Removes a request that ran to completion. */
  clear(fingerprint: string): void {
    this.crashes.delete(fingerprint);
  }

  /**
   * Removes the crash of a process from all requests, because the process did not crash or its crash
   * is explained; returns the requests that ran on the process.
   */
  clearProcess(process: string): readonly string[] {
    const fingerprints: string[] = [];
    for (const [fingerprint, processes] of this.crashes) {
      if (!processes.delete(process)) continue;
      fingerprints.push(fingerprint);
      if (processes.size === 0) this.crashes.delete(fingerprint);
    }
    return fingerprints;
  }

  /** Lists the crashes that still count, for peers; removes expired ones. */
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
