/**
 * Entries of the endpoint list, and how they are compared.
 */

/** The stages of an engine. */
export const EngineStage = { prefill: "prefill", decode: "decode" } as const;
export type EngineStage = (typeof EngineStage)[keyof typeof EngineStage];

/** Longest time that an endpoint is taken for cold after it said so once, in milliseconds. */
export const MAX_COLD_MS = 60_000;

/**
 * How far an endpoint's wall clock may be ahead of that of an instance, in milliseconds; far more than
 * clocks that are kept in step differ.
 */
const MAX_CLOCK_LEAD_MS = 3_600_000;

/** An endpoint's own description, published in the store. */
export interface EndpointEntry {
  readonly id: string;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly dataCentre: string;
  readonly slots: number;
  /** True where the endpoint has announced that it will leave. */
  readonly isLeaving: boolean;
  /** Undefined for an endpoint of a plain service. */
  readonly stage: EngineStage | undefined;
  /** Version of its software, not of the weights; undefined if the entry names none. */
  readonly version: string | undefined;
  /**
   * When the endpoint's process started, in milliseconds of its own wall clock; distinguishes
   * restarts.
   */
  readonly processStartedAt: number;
  /**
   * Sequence number of the entries that this process published; an entry with a lower number is out
   * of date.
   */
  readonly sequence: number;
  /** How long its process is still cold, in milliseconds from when it wrote the entry. */
  readonly coldRemainingMs?: number;
}

/** Decodes an endpoint's entry; undefined where it does not describe a usable endpoint. */
export type EndpointDecoder = (id: string, value: Buffer) => EndpointEntry | undefined;

/** What changed in an entry, as it is logged. */
export const EntryChange = {
  added: "added",
  changed: "changed",
  /** The endpoint became cold, or stays cold for longer than was known. */
  cold: "cold",
  leaving: "leaving",
  /** The entry expired around an outage of the store, and may return. */
  inDoubt: "in doubt",
  gone: "gone",
  unreadable: "unreadable",
  /** The entry is older than what is known of its endpoint, so it was not applied. */
  outOfDate: "out of date",
  /** The entry cannot be true, and one that can is known, so it was not applied. */
  implausible: "implausible",
} as const;
export type EntryChange = (typeof EntryChange)[keyof typeof EntryChange];

/** A change of the directory, as it is logged. */
export interface DirectoryChange {
  readonly endpoint: string;
  readonly change: EntryChange;
  readonly offset: number;
  /** What decoding or applying an unreadable entry threw; absent if it only is no valid entry. */
  readonly error?: string;
}

/**
 * Checks whether an entry is older than the latest known one. Sequence numbers grow within one
 * process; a process that started later begins anew.
 *
 * @example
 * isOutOfDate(entry, latestEntry); // false for a newer sequence number
 */
export function isOutOfDate(
  entry: EndpointEntry,
  last: Pick<EndpointEntry, "processStartedAt" | "sequence">,
): boolean {
  if (entry.processStartedAt !== last.processStartedAt)
    return entry.processStartedAt < last.processStartedAt;
  return entry.sequence <= last.sequence;
}

/**
 * Checks whether a process can have started when an entry says, and have written as many entries since:
 * at most one a millisecond. Of entries that other writers left, such as cannot be true must not make
 * those of sound processes count as older.
 *
 * @param wallNow - milliseconds of this instance's wall clock
 * @example
 * isPlausible({ processStartedAt: Date.now() + 86_400_000, sequence: 1 }, Date.now()); // false
 */
export function isPlausible(
  { processStartedAt, sequence }: Pick<EndpointEntry, "processStartedAt" | "sequence">,
  wallNow: number,
): boolean {
  const maxAgeMs = wallNow + MAX_CLOCK_LEAD_MS - processStartedAt;
  return maxAgeMs >= 0 && sequence <= maxAgeMs;
}

/**
 * Compares an entry with the one before; returns undefined if only its sequence number changed.
 *
 * @example
 * compareEntries(undefined, entry); // "added"
 */
export function compareEntries(
  before: EndpointEntry | undefined,
  after: EndpointEntry,
): EntryChange | undefined {
  if (before === undefined) return EntryChange.added;
  if (after.isLeaving && !before.isLeaving) return EntryChange.leaving;
  const isSame =
    before.address === after.address &&
    before.service === after.service &&
    before.stage === after.stage &&
    before.version === after.version &&
    before.processStartedAt === after.processStartedAt &&
    before.isLeaving === after.isLeaving;
  return isSame ? undefined : EntryChange.changed;
}
