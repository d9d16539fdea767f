/**
 * Chooses the instances that read the store for the whole fleet. Each instance chooses for itself
 * among those that it hears, so that after a failure or in a partition others take over. Views may
 * differ for a while: then more instances read, which does no harm.
 */
import type { Moment } from "../core/clock";
import { rankByRendezvousHash } from "../core/rendezvous";

/** Name by which readers are ranked. */
const READER_NAME = "store readers";
/** Number of readers, in different data centres where there are several. */
const READER_COUNT = 2;
/** How long a choice is kept, in milliseconds, as it costs a hash for each instance. */
const CHOICE_TTL_MS = 200;

/** An instance that may read the store. */
export interface ReaderCandidate {
  readonly instance: string;
  readonly dataCentre: string;
  /** True if its last call to the store failed. */
  readonly isStoreLost: boolean;
}

/**
 * Chooses the readers among the live instances.
 *
 * @example
 * chooseReaders(candidates).includes("nizwa-1");
 */
export function chooseReaders(candidates: readonly ReaderCandidate[]): readonly string[] {
  const able = candidates.filter(({ isStoreLost }) => !isStoreLost);
  const dataCentres = new Map(able.map(({ instance, dataCentre }) => [instance, dataCentre]));
  const ranked = rankByRendezvousHash(READER_NAME, [...dataCentres.keys()]);
  const readers: string[] = [];
  const used = new Set<string | undefined>();
  for (const instance of ranked) {
    const dataCentre = dataCentres.get(instance);
    if (used.has(dataCentre)) continue;
    used.add(dataCentre);
    readers.push(instance);
    if (readers.length === READER_COUNT) return readers;
  }
  return [...readers, ...ranked.filter((instance) => !readers.includes(instance))].slice(
    0,
    READER_COUNT,
  );
}

/** Tells which instances are readers, as one of them sees the fleet. */
export class ReaderRole {
  private chosen: readonly string[];
  private checkAgainAt: Moment = Number.NEGATIVE_INFINITY;

  /**
   * @param instance - the instance itself
   * @param listCandidates - lists the live instances, including this one
   */
  constructor(
    private readonly instance: string,
    private readonly listCandidates: (now: Moment) => readonly ReaderCandidate[],
  ) {
    this.chosen = [instance];
  }

  /** Checks whether the instance is a reader. */
  isReader(now: Moment): boolean {
    return this.readPlace(now) >= 0;
  }

  /** Returns the place of the instance among the readers, from 0 on; negative if it is none. */
  readPlace(now: Moment): number {
    return this.list(now).indexOf(this.instance);
  }

  /** Lists the readers; the choice is kept for a short time. */
  list(now: Moment): readonly string[] {
    if (now < this.checkAgainAt) return this.chosen;
    this.checkAgainAt = now + CHOICE_TTL_MS;
    this.chosen = chooseReaders(this.listCandidates(now));
    return this.chosen;
  }
}
