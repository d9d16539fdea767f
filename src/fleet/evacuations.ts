/**
 * The data centres that operators have evacuated: nothing more is sent to their endpoints until the
 * evacuation is withdrawn. Records come from the feed of the configuration and from peers, in any
 * order; the one of the latest position counts. A store that was restored from an earlier copy may
 * lack an evacuation that it has acknowledged, so its absence alone withdraws none of an earlier era.
 */
import { isAfter, type LogPosition } from "./position";
import type { FeedPage, FeedRecord } from "./store";

/** What the keys of evacuations begin with, in the feed of the configuration; the data centre follows. */
const KEY_PREFIX = "evacuate/";
/** Maximum number of data centres about which something is kept; far more than a fleet has. */
const MAX_DATA_CENTRES = 256;

/** The last that is known of a data centre's evacuation. */
export interface EvacuationRecord {
  readonly dataCentre: string;
  /** False once it was withdrawn. */
  readonly isEvacuated: boolean;
  readonly position: LogPosition;
}

/**
 * The evacuations of data centres.
 *
 * @example
 * evacuations.apply(page, true);
 * evacuations.isEvacuated("nizwa");
 */
export class Evacuations {
  private readonly records = new Map<string, EvacuationRecord>();

  /** Checks whether a data centre is evacuated. */
  isEvacuated(dataCentre: string): boolean {
    return this.records.get(dataCentre)?.isEvacuated === true;
  }

  /** Lists the evacuated data centres. */
  listEvacuated(): readonly string[] {
    return [...this.records.values()]
      .filter(({ isEvacuated }) => isEvacuated)
      .map(({ dataCentre }) => dataCentre);
  }

  /** Checks whether just these data centres are evacuated. */
  isSame(dataCentres: readonly string[]): boolean {
    const evacuated = this.listEvacuated();
    const others = new Set(dataCentres);
    return evacuated.length === others.size && evacuated.every((one) => others.has(one));
  }

  /** Lists what is known, with the withdrawals, for peers. */
  list(): readonly EvacuationRecord[] {
    return [...this.records.values()];
  }

  /**
   * Applies a page of the feed of the configuration; other keys are ignored.
   *
   * @param isSnapshot - true if the page has the newest record of each key, else those that follow
   * @returns the records that changed whether a data centre is evacuated
   */
  apply(page: FeedPage, isSnapshot: boolean): readonly EvacuationRecord[] {
    const records = page.records.flatMap((record) => decodeRecord(record) ?? []);
    if (!isSnapshot) return this.merge(records);
    const present = records.filter(({ isEvacuated }) => isEvacuated);
    return this.merge([...this.listWithdrawn(records, page.next), ...present]);
  }

  /**
   * Merges records that follow those known, or that a peer knows.
   *
   * @returns the records that changed whether a data centre is evacuated
   */
  merge(records: readonly EvacuationRecord[]): readonly EvacuationRecord[] {
    return records.filter((record) => this.mergeRecord(record));
  }

  /**
   * Lists the withdrawals that a snapshot shows. Within one era, a key that is missing or dropped
   * was withdrawn. In a later era, the drop may be that of an earlier evacuation, which the copy
   * holds without the present one: only one at the offset of the present one or behind it is newer.
   */
  private listWithdrawn(
    records: readonly EvacuationRecord[],
    next: LogPosition,
  ): readonly EvacuationRecord[] {
    const listed = new Map(records.map((record) => [record.dataCentre, record]));
    const last = { era: next.era, offset: next.offset - 1 };
    return this.list().flatMap((known) => {
      const { dataCentre, position, isEvacuated } = known;
      const found = listed.get(dataCentre);
      if (!isEvacuated || found?.isEvacuated === true) return [];
      if (position.era === next.era) return { dataCentre, isEvacuated: false, position: last };
      return found !== undefined && found.position.offset >= position.offset ? found : [];
    });
  }

  private mergeRecord(record: EvacuationRecord): boolean {
    const { dataCentre, isEvacuated, position } = record;
    const known = this.records.get(dataCentre);
    if (known !== undefined && !isAfter(position, known.position)) return false;
    this.records.set(dataCentre, record);
    if (this.records.size > MAX_DATA_CENTRES) this.dropWithdrawn();
    return isEvacuated !== (known?.isEvacuated === true);
  }

  private dropWithdrawn(): void {
    const oldest = this.list().find(({ isEvacuated }) => !isEvacuated);
    if (oldest !== undefined) this.records.delete(oldest.dataCentre);
  }
}

function decodeRecord({ key, value, position }: FeedRecord): EvacuationRecord | undefined {
  if (!key.startsWith(KEY_PREFIX) || key.length === KEY_PREFIX.length) return undefined;
  const dataCentre = key.slice(KEY_PREFIX.length);
  return { dataCentre, isEvacuated: value !== undefined, position };
}
