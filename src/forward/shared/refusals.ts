/**
 * Recognises generations that are sent again after a refusal by any instance. They are already
 * late, so they are queued behind those that can still be on time.
 */
import type { Moment } from "../../core/clock";

/**
 * How long a refusal is remembered, in milliseconds; longer than the retry delay that callers are
 * given.
 */
const REFUSAL_TTL_MS = 8000;
/** Characters of a fingerprint that are stored and sent to peers. */
const FINGERPRINT_PREFIX_LENGTH = 12;
/**
 * How long a refusal is included in heartbeats to peers, in milliseconds; covers several
 * heartbeats.
 */
const ANNOUNCE_MS = 1600;

/** Tracks recent refusals over the whole fleet. */
export class RefusalTracker {
  private readonly refusalDeadlines = new Map<string, Moment>();
  private readonly announceDeadlines = new Map<string, Moment>();

  /** Records a refusal by this instance. */
  recordRefusal(fingerprint: string, now: Moment): void {
    const prefix = fingerprint.slice(0, FINGERPRINT_PREFIX_LENGTH);
    this.refusalDeadlines.set(prefix, now + REFUSAL_TTL_MS);
    this.announceDeadlines.set(prefix, now + ANNOUNCE_MS);
  }

  /** Records refusals that a peer reported; those already known keep their expiry. */
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

  /** Returns true if a copy of a generation was refused recently. */
  wasRefused(fingerprint: string, now: Moment): boolean {
    const deadline = this.refusalDeadlines.get(fingerprint.slice(0, FINGERPRINT_PREFIX_LENGTH));
    return deadline !== undefined && deadline > now;
  }
}

function prune(deadlines: Map<string, Moment>, now: Moment): void {
  for (const [prefix, deadline] of deadlines) if (deadline <= now) deadlines.delete(prefix);
}
