/**
 * Recognises a request that crashes the endpoints that run it: its copies, from whichever caller's
 * attempt and at whichever instance, break one endpoint after the other.
 */
import type { Moment } from "../core/clock";

/** Endpoints that a request may break before its copies are refused. */
const CRASHES_TO_BAN = 2;
/** How long a crash counts, in milliseconds; a culprit comes again within its caller's patience. */
const CRASH_MS = 60_000;

/** A crash of an endpoint while it ran a request. */
export interface CrashNote {
  readonly fingerprint: string;
  /** The endpoint's process. */
  readonly process: string;
}

/** The crashes of late, over the whole fleet. */
export class CrashBook {
  /** By fingerprint: until when each crashed process counts. */
  private readonly crashes = new Map<string, Map<string, Moment>>();

  /** Notes a crash; true where it was not known. */
  note(crash: CrashNote, now: Moment): boolean {
    let processes = this.crashes.get(crash.fingerprint);
    if (processes === undefined) {
      processes = new Map();
      this.crashes.set(crash.fingerprint, processes);
    }
    const isNew = !processes.has(crash.process);
    if (isNew) processes.set(crash.process, now + CRASH_MS);
    return isNew;
  }

  /** Checks whether copies of a request are refused. */
  isBanned(fingerprint: string, now: Moment): boolean {
    const processes = this.crashes.get(fingerprint);
    if (processes === undefined) return false;
    const standing = [...processes.values()].filter((deadline) => deadline > now);
    return standing.length >= CRASHES_TO_BAN;
  }

  /** Forgets a request that ran to its end. */
  clear(fingerprint: string): void {
    this.crashes.delete(fingerprint);
  }

  /** Lists the crashes that still count, for peers. */
  list(now: Moment): readonly CrashNote[] {
    const notes: CrashNote[] = [];
    for (const [fingerprint, processes] of this.crashes) {
      for (const [process, deadline] of processes) {
        if (deadline <= now) processes.delete(process);
        else notes.push({ fingerprint, process });
      }
      if (processes.size === 0) this.crashes.delete(fingerprint);
    }
    return notes;
  }
}
