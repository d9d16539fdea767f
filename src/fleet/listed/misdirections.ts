/**
 * Remembers entries that proved wrong: another endpoint responds at their address, or their stage differs.
 */
import type { Moment } from "../../core/clock";
import type { EndpointEntry } from "../entries";

/** How long an entry that proved wrong is ignored without a newer one, in milliseconds. */
const MISDIRECTED_MS = 3000;

interface MisdirectedEntry {
  readonly sequence: number;
  readonly deadline: Moment;
}

/** Remembers the last entry of each endpoint that proved wrong. */
export class MisdirectionTracker {
  private readonly entries = new Map<string, MisdirectedEntry>();

  /** Records that an entry proved wrong. */
  record({ id, sequence }: EndpointEntry, now: Moment): void {
    this.entries.set(id, { sequence, deadline: now + MISDIRECTED_MS });
  }

  /** Checks whether an entry proved wrong, however long ago. */
  isKnown({ id, sequence }: EndpointEntry): boolean {
    return this.entries.get(id)?.sequence === sequence;
  }

  /** Checks whether an entry is to be ignored now. */
  isIgnored(entry: EndpointEntry, now: Moment): boolean {
    return this.isKnown(entry) && (this.entries.get(entry.id)?.deadline ?? now) > now;
  }
}
