/**
 * Recognises generations that come back after a refusal, at whichever instance: they are late
 * already, so that they stand behind those that can still be on time.
 */
import type { Moment } from "../core/clock";

/** How long a refusal is remembered, in milliseconds; longer than callers are told to stay away. */
const REFUSAL_TTL_MS = 8000;
/** Characters of a fingerprint that are kept and told. */
const FINGERPRINT_PREFIX_LENGTH = 12;
/** How long a refusal is told to peers, in milliseconds; some beats. */
const ANNOUNCE_MS = 1600;

/** The refusals of late, over the whole fleet. */
export class RefusalTracker {
  private readonly refusalDeadlines = new Map<string, Moment>();
  private readonly announceDeadlines = new Map<string, Moment>();

  /** Notes a refusal of this instance. */
  recordRefusal(fingerprint: string, now: Moment): void {
    const prefix = fingerprint.slice(0, FINGERPRINT_PREFIX_LENGTH);
    this.refusalDeadlines.set(prefix, now + REFUSAL_TTL_MS);
    this.announceDeadlines.set(prefix, now + ANNOUNCE_MS);
  }

  /** Takes the refusals of a peer. */
  mergePeerRefusals(prefixes: readonly string[], now: Moment): void {
    for (const prefix of prefixes) {
      if (!this.refusalDeadlines.has(prefix))
        this.refusalDeadlines.set(prefix, now + REFUSAL_TTL_MS);
    }
  }

  /** Lists the refusals of this instance that peers may not know yet. */
  listLocalRefusals(now: Moment): readonly string[] {
    prune(this.announceDeadlines, now);
    prune(this.refusalDeadlines, now);
    return [...this.announceDeadlines.keys()];
  }

  /** Checks whether a copy of a generation was refused of late. */
  wasRefused(fingerprint: string, now: Moment): boolean {
    const deadline = this.refusalDeadlines.get(fingerprint.slice(0, FINGERPRINT_PREFIX_LENGTH));
    return deadline !== undefined && deadline > now;
  }
}

function prune(deadlines: Map<string, Moment>, now: Moment): void {
  for (const [prefix, deadline] of deadlines) if (deadline <= now) deadlines.delete(prefix);
}
