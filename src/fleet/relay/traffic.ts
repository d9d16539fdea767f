/**
 * Counts messages and bytes of relay streams.
 */
import type { RelayMessage } from "../../peer/gen/fleet";

/** Messages and bytes since the start, in one direction. */
export interface TrafficCount {
  messages: number;
  bytes: number;
  /** Messages without records and reports. */
  keepAlives: number;
  records: number;
  reports: number;
}

function createCount(): TrafficCount {
  return { messages: 0, bytes: 0, keepAlives: 0, records: 0, reports: 0 };
}

/** The traffic of one instance. */
export class RelayTraffic {
  readonly sent = createCount();
  readonly received = createCount();

  recordSent(records: number, hasReport: boolean, bytes: number): void {
    addMessage(this.sent, records, hasReport, bytes);
  }

  recordReceived({ records, report }: RelayMessage, bytes: number): void {
    addMessage(this.received, records.length, report !== undefined, bytes);
  }
}

function addMessage(count: TrafficCount, records: number, hasReport: boolean, bytes: number): void {
  count.messages += 1;
  count.bytes += bytes;
  count.records += records;
  if (hasReport) count.reports += 1;
  if (records === 0 && !hasReport) count.keepAlives += 1;
}
