/**
 * Reports records of the store that can't be used, so that each costs itself alone: one line in the log
 * and one count, however often the record is read.
 */
import { cutText } from "../../core/codec";
import type { Logger } from "../../core/log";
import type { Meter } from "../../forward/requests";
import type { NumberFaultListener } from "../../peer/numbers";
import { LOG_START } from "../position";
import type { FeedRecord } from "../store";

/** Maximum number of records that are remembered as reported. */
const MAX_REPORTED = 1024;
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
export type RecordName = Pick<FeedRecord, "key" | "position">;

/** Reports each record that can't be used once. */
export class RecordFaults {
  private readonly reported = new Set<string>();

  constructor(
    private readonly logger: Logger,
    private readonly meter: Pick<Meter, "unusableRecords">,
  ) {}

  /**
   * Reports a record, unless that was done.
   *
   * @param reason - why it can't be used
   * @param source - where it came from
   */
  report(topic: RecordTopic, record: RecordName, reason: string, source: string): void {
    const { key, position } = record;
    const { era, offset } = position;
    const name = `${topic} ${era} ${offset} ${cutText(key, MAX_KEY_CHARACTERS)}`;
    if (this.reported.has(name)) return;
    this.reported.add(name);
    if (this.reported.size > MAX_REPORTED) {
      const [oldest = ""] = this.reported;
      this.reported.delete(oldest);
    }
    this.meter.unusableRecords.inc({ topic });
    this.logger.warn("record not used", {
      topic,
      key: cutText(key, MAX_KEY_CHARACTERS),
      offset,
      era,
      source,
      reason: cutText(reason, MAX_REASON_CHARACTERS),
    });
  }
}

/**
 * Creates a listener that reports numbers in messages of a peer; each field of a peer once.
 *
 * @example
 * checkBeat(beat, createNumberReport(faults, "nizwa-1"));
 */
export function createNumberReport(
  faults: Pick<RecordFaults, "report">,
  peer: string,
): NumberFaultListener {
  return (field, value) => {
    const name = { key: `${peer} ${field}`, position: LOG_START };
    faults.report(RecordTopic.peers, name, `found ${String(value)}`, `peer ${peer}`);
  };
}
