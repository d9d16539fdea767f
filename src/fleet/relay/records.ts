/**
 * The records of a fleet: what each instance says of each kind of state, in its newest version. Records
 * are merged in any order and as often as they come; the newest process of an instance counts.
 */
import type { Moment } from "../../core/clock";
import { roundCount } from "../../peer/count";
import type { RelayRecord } from "../../peer/gen/fleet";

/** Kinds of records, by their numbers on the wire. */
export const RecordKind = {
  /** Address and state of the instance itself. */
  member: 1,
  /** Whom it hears, if it is a relay. */
  heard: 2,
  limits: 3,
  crashes: 4,
  departures: 5,
  absences: 6,
  lostEndpoints: 7,
  speeds: 8,
  refusals: 9,
  evacuations: 10,
  cold: 11,
  paced: 12,
} as const;
export type RecordKind = (typeof RecordKind)[keyof typeof RecordKind];

/** Maximum size of a record's content, in bytes; a list of 600 names takes a third of it. */
const MAX_CONTENT_BYTES = 64 * 1024;
/** Maximum number of owners, which bounds memory; several times the largest fleet. */
const MAX_OWNERS = 2048;
/** Maximum number of kinds of one owner; newer builds may have more than this one. */
const MAX_KINDS = 32;
/**
 * How long the records of an instance that is not heard are kept, in milliseconds: longer than most
 * partitions, after which they count again without being sent again.
 */
const UNHEARD_TTL_MS = 120_000;

/** What an instance says of one kind of state. */
export interface OwnedRecord {
  readonly instance: string;
  readonly incarnation: string;
  /** Rises with each process of the instance. */
  readonly generation: number;
  readonly kind: number;
  readonly version: number;
  readonly content: Uint8Array;
  /** When its owner wrote it, by the clock of this process. */
  readonly writtenAt: Moment;
}

interface Owner {
  readonly incarnation: string;
  readonly generation: number;
  readonly records: Map<number, OwnedRecord>;
  lastHeardAt: Moment;
}

/** The newest records of all instances. */
export class RecordTable {
  private readonly owners = new Map<string, Owner>();

  /** Number of instances that have records here. */
  get ownerCount(): number {
    return this.owners.size;
  }

  /**
   * Merges a record.
   *
   * @returns false if a version at least as new is known, or a newer process of the instance, or if
   *   the table has no room
   */
  merge(record: OwnedRecord, now: Moment): boolean {
    if (!this.isNew(record)) return false;
    const known = this.owners.get(record.instance);
    if (known?.incarnation === record.incarnation) {
      known.records.set(record.kind, record);
      return true;
    }
    const { incarnation, generation, instance, kind } = record;
    const records = new Map([[kind, record]]);
    this.owners.set(instance, { incarnation, generation, records, lastHeardAt: now });
    return true;
  }

  /** Checks whether a record would be merged. */
  isNew(record: OwnedRecord): boolean {
    if (record.content.length > MAX_CONTENT_BYTES) return false;
    const known = this.owners.get(record.instance);
    if (known === undefined) return this.owners.size < MAX_OWNERS;
    if (compareProcess(record, known) < 0) return false;
    if (known.incarnation !== record.incarnation) return true;
    const before = known.records.get(record.kind);
    if (before === undefined) return known.records.size < MAX_KINDS;
    return before.version < record.version;
  }

  find(instance: string, kind: number): OwnedRecord | undefined {
    return this.owners.get(instance)?.records.get(kind);
  }

  /** Lists all records. */
  listAll(): readonly OwnedRecord[] {
    return [...this.owners.values()].flatMap(({ records }) => [...records.values()]);
  }

  /** Lists the records of one kind. */
  listKind(kind: number): readonly OwnedRecord[] {
    const found: OwnedRecord[] = [];
    for (const { records } of this.owners.values()) {
      const record = records.get(kind);
      if (record !== undefined) found.push(record);
    }
    return found;
  }

  /** Removes the records of instances that were not heard for long. */
  prune(isHeard: (instance: string) => boolean, now: Moment): void {
    for (const [instance, owner] of this.owners) {
      if (isHeard(instance)) owner.lastHeardAt = now;
      else if (now - owner.lastHeardAt > UNHEARD_TTL_MS) this.owners.delete(instance);
    }
  }
}

/** Compares the processes of two records of an instance: negative if the first is the older one. */
function compareProcess(
  a: Pick<OwnedRecord, "generation" | "incarnation">,
  b: Pick<OwnedRecord, "generation" | "incarnation">,
): number {
  if (a.generation !== b.generation) return a.generation - b.generation;
  if (a.incarnation === b.incarnation) return 0;
  return a.incarnation < b.incarnation ? -1 : 1;
}

/**
 * Encodes a record for a neighbour.
 *
 * @example
 * encodeRecord(record, clock.now()).ageMs;
 */
export function encodeRecord(record: OwnedRecord, now: Moment): RelayRecord {
  const { instance, incarnation, generation, kind, version, content, writtenAt } = record;
  const ageMs = roundCount(now - writtenAt);
  return { instance, incarnation, generation, kind, version, ageMs, content };
}

/**
 * Decodes a record that a neighbour sent.
 *
 * @param sentAt - when it was sent, by the clock of this process
 * @example
 * table.merge(decodeRecord(message, sentAt), clock.now());
 */
export function decodeRecord(record: RelayRecord, sentAt: Moment): OwnedRecord {
  const { instance, incarnation, generation, kind, version, content, ageMs } = record;
  return { instance, incarnation, generation, kind, version, content, writtenAt: sentAt - ageMs };
}
