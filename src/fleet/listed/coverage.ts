/**
 * How much of the endpoint feed a list stands for. All moves of the list's position are decided here: a
 * position claims that the newest record of each key before it is held, removals included, so a list
 * moves only to a position whose records it was given, or whose holder shows that it misses none.
 */
import { chooseLater, isAfter, LOG_START, type LogPosition } from "../position";

/** A position before that of any record. */
export const BEFORE_LOG: LogPosition = { ...LOG_START, offset: -1 };

/** What the holder of a list claims of it. */
export interface ListClaim {
  /** The position up to which the list is known. */
  readonly next: LogPosition;
  /** The newest position at which a record before `next` may have changed more than a sequence number. */
  readonly lastChange: LogPosition;
  /**
   * The position from which on the list holds removals too; a key that was removed before it is not
   * among its records.
   */
  readonly removalsFrom: LogPosition;
}

/** How a list that was received may be used. */
export const ListUse = {
  /** It is no newer than the one held. */
  ignored: "ignored",
  /** Its records follow those held. */
  merged: "merged",
  /** It may lack removals that are missed here, so what it does not hold is removed. */
  replaced: "replaced",
} as const;
export type ListUse = (typeof ListUse)[keyof typeof ListUse];

/**
 * Creates the claim of a snapshot, which has no removals: what changed last before its end is not known.
 *
 * @example
 * createSnapshotClaim({ era: 0, offset: 9 }).lastChange; // { era: 0, offset: 8 }
 */
export function createSnapshotClaim(next: LogPosition): ListClaim {
  return { next, lastChange: { ...next, offset: next.offset - 1 }, removalsFrom: next };
}

/**
 * How much of the endpoint feed the list of this instance stands for.
 *
 * @example
 * const coverage = new ListCoverage();
 * coverage.recordRead({ era: 0, offset: 0 }, { era: 0, offset: 5 }); // true: it moved to 5
 */
export class ListCoverage {
  private current: ListClaim = {
    next: LOG_START,
    lastChange: BEFORE_LOG,
    removalsFrom: LOG_START,
  };

  /** What this instance claims of its list. */
  get claim(): ListClaim {
    return this.current;
  }

  /** Checks whether all records before a position are accounted for. */
  hasReached(position: LogPosition): boolean {
    return !isAfter(position, this.current.next);
  }

  /** Decides how to use a peer's list. */
  classify({ next, removalsFrom }: ListClaim): ListUse {
    if (this.hasReached(next)) return ListUse.ignored;
    return this.hasUpTo(removalsFrom) ? ListUse.merged : ListUse.replaced;
  }

  /** Checks whether a peer's list holds nothing that is missed here, and its removals show that. */
  isConfirmedBy({ lastChange, removalsFrom }: ListClaim): boolean {
    return !this.isMissing(lastChange) && this.hasUpTo(removalsFrom);
  }

  /** Checks whether a change at a position is not known here. */
  isMissing(change: LogPosition): boolean {
    return !isAfter(this.current.next, change);
  }

  /** Records that a record at a position changed the list. */
  recordChange(position: LogPosition): void {
    this.set({ lastChange: chooseLater(position, this.current.lastChange) });
  }

  /**
   * Records that all records between two positions are applied.
   *
   * @returns false if the position stays: nothing new was read, or records before it are missed
   */
  recordRead(from: LogPosition, next: LogPosition): boolean {
    if (this.hasReached(next) || !this.hasUpTo(from)) return false;
    this.set({ next });
    return true;
  }

  /** Records that a list was merged whose records follow those held. */
  recordMerge({ next, lastChange, removalsFrom }: ListClaim): void {
    this.recordChange(lastChange);
    if (!this.recordRead(removalsFrom, next)) return;
    if (isAfter(this.current.removalsFrom, removalsFrom)) this.set({ removalsFrom });
  }

  /** Records that a list has replaced the one held; one that is older leaves the claim as it is. */
  recordReplacement({ next, lastChange, removalsFrom }: ListClaim): void {
    if (this.hasReached(next)) return;
    this.recordChange(lastChange);
    this.set({ next, removalsFrom });
  }

  /** Moves the position to that of a peer, if its list confirms this one. */
  recordConfirmation(claim: ListClaim): boolean {
    return this.isConfirmedBy(claim) && this.recordRead(this.current.next, claim.next);
  }

  /** Checks whether this list reaches a position of its era. */
  private hasUpTo(position: LogPosition): boolean {
    return position.era === this.current.next.era && this.hasReached(position);
  }

  private set(change: Partial<ListClaim>): void {
    this.current = { ...this.current, ...change };
  }
}
