/**
 * Recognises generations that come back after a refusal, at whichever instance: they are late
 * already, so that they stand behind those that can still be on time.
 */
import type { Moment } from "../core/clock";

/** How long a refusal is remembered, in milliseconds; longer than callers are told to stay away. */
const REMEMBERED_MS = 8000;
/** Characters of a fingerprint that are kept and told. */
const KEPT_CHARACTERS = 12;
/** How long a refusal is told to peers, in milliseconds; some beats. */
const TOLD_MS = 1600;

/** The refusals of late, over the whole fleet. */
export class RefusalTracker {
  private readonly known = new Map<string, Moment>();
  private readonly own = new Map<string, Moment>();

  /** Notes a refusal of this instance. */
  recordRefusal(fingerprint: string, now: Moment): void {
    const name = fingerprint.slice(0, KEPT_CHARACTERS);
    this.known.set(name, now + REMEMBERED_MS);
    this.own.set(name, now + TOLD_MS);
  }

  /** Takes the refusals of a peer. */
  mergePeerRefusals(names: readonly string[], now: Moment): void {
    for (const name of names) {
      if (!this.known.has(name)) this.known.set(name, now + REMEMBERED_MS);
    }
  }

  /** Lists the refusals of this instance that peers may not know yet. */
  listLocalRefusals(now: Moment): readonly string[] {
    prune(this.own, now);
    prune(this.known, now);
    return [...this.own.keys()];
  }

  /** Checks whether a copy of a generation was refused of late. */
  wasRefused(fingerprint: string, now: Moment): boolean {
    const deadline = this.known.get(fingerprint.slice(0, KEPT_CHARACTERS));
    return deadline !== undefined && deadline > now;
  }
}

function prune(deadlines: Map<string, Moment>, now: Moment): void {
  for (const [name, deadline] of deadlines) if (deadline <= now) deadlines.delete(name);
}
