/**
 * Proves from the kept history of the endpoint feed which versions services had, and for how long
 * nothing is missing. Records carry no time; but each process writes its entries at a known interval
 * and numbers them, so the number of entries between two records proves a time. A number that is left
 * out proves that records are missing, so that nothing before it counts.
 */
import { compareEntries, type EndpointDecoder, type EndpointEntry } from "./entries";
import type { FeedRecord } from "./store";

/**
 * Shortest time between two entries of a process whose content is the same, in milliseconds. Processes
 * write one about every 1,200 ms; a change of content is written at once and counts for nothing.
 */
const MIN_INTERVAL_MS = 1100;
/** Highest sequence number of the first entry of a process. */
const FIRST_SEQUENCE = 1;
/**
 * Number of entries of another process by which each process that existed before the history has written
 * one; the first ones of a process that appears later are missing.
 */
const MAX_ROUNDS_UNSEEN = 3;

/** A process of an endpoint in the history. */
export interface ProvenProcess {
  readonly entry: EndpointEntry;
  /** How long ago it was listed last, at least, in milliseconds; 0 if it still is. */
  readonly lastListedMs: number;
}

/** What a history proves as of the moment at which it was read. */
export interface HistoryProof {
  /** For how long nothing is missing, at least, in milliseconds. */
  readonly coveredMs: number;
  readonly processes: readonly ProvenProcess[];
}

/** The entries of one process, by the indexes of their records. */
interface WrittenProcess {
  entry: EndpointEntry;
  /** False if the process wrote entries before the history begins. */
  readonly hasBegun: boolean;
  readonly firstIndex: number;
  lastIndex: number;
  /** Indexes of the records before which the shortest interval has passed since the one before. */
  readonly steps: number[];
  /** Index of the record that replaced or removed its entry; undefined while it is listed. */
  endIndex: number | undefined;
}

/** Scans the records of a history from the first one on, and proves what they show. */
export class HistoryScan {
  private readonly processes: WrittenProcess[] = [];
  /** By endpoint: its listed process. */
  private readonly listed = new Map<string, WrittenProcess>();
  /** Endpoints of which there was a record. */
  private readonly known = new Set<string>();
  /** Index of the first record from which on nothing is missing. */
  private coveredFrom = 0;
  /** Largest number of entries that a process wrote since then. */
  private mostSteps = 0;
  private nextIndex = 0;
  private unreadableCount = 0;

  constructor(private readonly decode: EndpointDecoder) {}

  /** Adds the next record. */
  add({ key, value }: FeedRecord): void {
    const index = this.nextIndex;
    this.nextIndex += 1;
    const before = this.listed.get(key);
    if (value === undefined) this.addRemoval(key, before, index);
    else {
      const entry = this.tryDecode(key, value);
      if (entry === undefined) this.discardBefore(index + 1);
      else this.addEntry(entry, before, index);
    }
    this.known.add(key);
  }

  /** Number of records whose entry could not be read. */
  get unreadable(): number {
    return this.unreadableCount;
  }

  /** Proves what the records show that were added. */
  prove(): HistoryProof {
    return {
      coveredMs: this.computeElapsedMs(this.coveredFrom),
      processes: this.processes.map(({ entry, endIndex }) => ({
        entry,
        lastListedMs: endIndex === undefined ? 0 : this.computeElapsedMs(endIndex),
      })),
    };
  }

  /** Decodes an entry; one whose decoder throws counts as one that is not valid. */
  private tryDecode(key: string, value: Buffer): EndpointEntry | undefined {
    let entry: EndpointEntry | undefined;
    try {
      entry = this.decode(key, value);
    } catch {
      entry = undefined;
    }
    if (entry === undefined) this.unreadableCount += 1;
    return entry;
  }

  /** The version of a removed endpoint is not known if no entry is kept, or some may be missing. */
  private addRemoval(key: string, before: WrittenProcess | undefined, index: number): void {
    if (before === undefined || before.lastIndex < this.coveredFrom) this.discardBefore(index + 1);
    if (before !== undefined) before.endIndex = index;
    this.listed.delete(key);
  }

  private addEntry(entry: EndpointEntry, before: WrittenProcess | undefined, index: number): void {
    if (before !== undefined && isSameProcess(before.entry, entry)) {
      if (entry.sequence !== before.entry.sequence + 1) this.discardBefore(index);
      else if (hasSameContent(before.entry, entry)) this.addStep(before, index);
      before.entry = entry;
      before.lastIndex = index;
      return;
    }
    const hasBegun = entry.sequence <= FIRST_SEQUENCE;
    const isLate = this.known.has(entry.id) || this.mostSteps >= MAX_ROUNDS_UNSEEN;
    if (!hasBegun && isLate) this.discardBefore(index);
    if (before !== undefined) before.endIndex = index;
    const written: WrittenProcess = {
      entry,
      hasBegun,
      firstIndex: index,
      lastIndex: index,
      steps: [],
      endIndex: undefined,
    };
    this.processes.push(written);
    this.listed.set(entry.id, written);
  }

  private addStep({ steps }: WrittenProcess, index: number): void {
    steps.push(index);
    this.mostSteps = Math.max(this.mostSteps, countAfter(steps, this.coveredFrom));
  }

  /** Records are missing before an index. */
  private discardBefore(index: number): void {
    this.coveredFrom = index;
    this.mostSteps = 0;
  }

  /**
   * Computes the time from a record to the end of the history, at least: the median of what the listed
   * processes show that existed at the record, as one may stand still or write late entries at once.
   */
  private computeElapsedMs(from: number): number {
    const counts = [...this.listed.values()]
      .filter(({ hasBegun, firstIndex }) => !hasBegun || firstIndex <= from)
      .map(({ steps }) => countAfter(steps, from))
      .sort((a, b) => a - b);
    return (counts[Math.floor((counts.length - 1) / 2)] ?? 0) * MIN_INTERVAL_MS;
  }
}

function countAfter(indexes: readonly number[], from: number): number {
  return indexes.filter((index) => index > from).length;
}

function isSameProcess(a: EndpointEntry, b: EndpointEntry): boolean {
  return (
    a.processStartedAt === b.processStartedAt && a.version === b.version && a.service === b.service
  );
}

function hasSameContent(a: EndpointEntry, b: EndpointEntry): boolean {
  return compareEntries(a, b) === undefined && a.slots === b.slots && a.dataCentre === b.dataCentre;
}
