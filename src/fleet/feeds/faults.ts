/**
 * Reports records of the store that can't be used, so that each costs itself alone: one line in the log
 * and one count, however often the record is read. Numbers in messages of peers come again with each
 * message and from any number of peers: each is counted, and each field has a line a minute at most.
 */
import type { Clock, Moment } from "../../core/clock";
import { cutText } from "../../core/codec";
import type { LogFields, Logger } from "../../core/log";
import type { Meter } from "../../forward/requests";
import type { NumberFaultListener } from "../../peer/numbers";
import { LOG_START } from "../position";
import type { FeedRecord } from "../store";

/** Maximum number of records that are remembered as reported. */
const MAX_REPORTED = 1024;
/** Minimum time between two lines of a group, in milliseconds. */
const GROUP_LINE_MS = 60_000;
/** Maximum number of keys that a line of a group names besides its own. */
const MAX_OTHER_KEYS = 8;
/** Maximum length of a key and of a reason in the log, in characters. */
const MAX_KEY_CHARACTERS = 100;
const MAX_REASON_CHARACTERS = 300;

/** What kind of record can't be used: the label of the metric. */
export const RecordTopic = {
  configuration: "configuration",
  endpoints: "endpoints",
  /** State of another instance that relays carry. */
  peers: "peers",
} as const;
export type RecordTopic = (typeof RecordTopic)[keyof typeof RecordTopic];

/** What tells records of a topic apart. */
export interface RecordName extends Pick<FeedRecord, "key" | "position"> {
  /** Which faults share their lines; undefined if the record has a line of its own. One of few. */
  readonly group?: string;
}

/** What happened in a group since its last line. */
interface FaultGroup {
  readonly lineAt: Moment;
  unsaid: number;
  readonly keys: Set<string>;
}

/** Reports each record that can't be used once, and groups of faults from time to time. */
export class RecordFaults {
  private readonly reported = new Set<string>();
  private readonly groups = new Map<string, FaultGroup>();

  constructor(
    private readonly logger: Logger,
    private readonly meter: Pick<Meter, "unusableRecords">,
    private readonly clock: Clock,
  ) {}

  /**
   * Reports a record, unless that was done; a fault of a group is counted in any case, and has a line if the
   * group had none of late.
   *
   * @param reason - why it can't be used
   * @param source - where it came from
   */
  report(topic: RecordTopic, record: RecordName, reason: string, source: string): void {
    const { key, position, group } = record;
    const { era, offset } = position;
    if (group === undefined && !this.recordName(topic, record)) return;
    this.meter.unusableRecords.inc({ topic });
    const more = group === undefined ? {} : this.recordInGroup(`${topic} ${group}`, key);
    if (more === undefined) return;
    this.logger.warn("record not used", {
      topic,
      key: cutText(key, MAX_KEY_CHARACTERS),
      offset,
      era,
      source,
      reason: cutText(reason, MAX_REASON_CHARACTERS),
      ...more,
    });
  }

  /** @returns false if the record was reported before */
  private recordName(topic: RecordTopic, { key, position }: RecordName): boolean {
    const { era, offset } = position;
    const name = `${topic} ${era} ${offset} ${cutText(key, MAX_KEY_CHARACTERS)}`;
    if (this.reported.has(name)) return false;
    this.reported.add(name);
    if (this.reported.size > MAX_REPORTED) {
      const [oldest = ""] = this.reported;
      this.reported.delete(oldest);
    }
    return true;
  }

  /** @returns what its line tells besides, or undefined if the group had one of late */
  private recordInGroup(name: string, key: string): LogFields | undefined {
    const now = this.clock.now();
    const group = this.groups.get(name);
    if (group === undefined || now - group.lineAt >= GROUP_LINE_MS) {
      this.groups.set(name, { lineAt: now, unsaid: 0, keys: new Set() });
      return { unsaid: group?.unsaid ?? 0, unsaidKeys: [...(group?.keys ?? [])].join(", ") };
    }
    group.unsaid += 1;
    if (group.keys.size < MAX_OTHER_KEYS) group.keys.add(cutText(key, MAX_KEY_CHARACTERS));
    return undefined;
  }
}

/**
 * Creates a listener that reports numbers in messages of a peer; a field has a line a minute at most,
 * whichever peers it is odd in.
 *
 * @example
 * checkBeat(beat, createNumberReport(faults, "nizwa-1"));
 */
export function createNumberReport(
  faults: Pick<RecordFaults, "report">,
  peer: string,
): NumberFaultListener {
  return (field, value) => {
    const name = { key: `${peer} ${field}`, position: LOG_START, group: field };
    faults.report(RecordTopic.peers, name, `found ${String(value)}`, `peer ${peer}`);
  };
}
