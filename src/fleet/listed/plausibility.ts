/**
 * Tells entries that cannot be true, such as another writer may have left, from those of sound
 * processes: by the start that they name and the number of entries that they count.
 */
import { type EndpointEntry, EntryChange, isOutOfDate, isPlausible } from "../entries";

/** Maximum number of entries of a process between two that are read. */
const MAX_MISSED_ENTRIES = 100;

/** What an entry says of its process. */
export type ProcessClaim = Pick<EndpointEntry, "processStartedAt" | "sequence">;

/** Judges entries by this instance's wall clock. */
export class PlausibilityCheck {
  /** By endpoint: the last entry that cannot be true. */
  private readonly implausible = new Map<string, ProcessClaim>();

  /** @param readWallClock - in milliseconds; never steps back */
  constructor(private readonly readWallClock: () => number = readSteadyWallClock) {}

  /** Checks whether a process can have started and written as an entry says. */
  isPlausible(claim: ProcessClaim): boolean {
    return isPlausible(claim, this.readWallClock());
  }

  /**
   * Judges an entry by what is known of the processes of its endpoint.
   *
   * @returns why the entry is not applied; undefined if it is
   * @example
   * check.judge(entry, [latestEntry]); // "out of date"
   */
  judge(entry: EndpointEntry, known: readonly ProcessClaim[]): EntryChange | undefined {
    const plausible = known.filter((claim) => this.isPlausible(claim));
    const isSound = this.isPlausible(entry);
    if (plausible.length > 0 && !isSound && !this.isWrittenOn(entry)) {
      return EntryChange.implausible;
    }
    const comparable = isSound ? plausible : known;
    return comparable.some((claim) => isOutOfDate(entry, claim))
      ? EntryChange.outOfDate
      : undefined;
  }

  /**
   * Checks whether the writer of an implausible entry goes on writing, as a sound process does. One that
   * another writer left stands alone, so it is a clock that is wrong.
   */
  private isWrittenOn({ id, processStartedAt, sequence }: EndpointEntry): boolean {
    const last = this.implausible.get(id);
    this.implausible.set(id, { processStartedAt, sequence });
    const step = last?.processStartedAt === processStartedAt ? sequence - last.sequence : 0;
    return step > 0 && step <= MAX_MISSED_ENTRIES;
  }
}

/** Reads the wall clock, or what it would be by now if it had not been set back since the start. */
function readSteadyWallClock(): number {
  return Math.max(Date.now(), performance.timeOrigin + performance.now());
}
