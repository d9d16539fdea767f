/**
 * Reads what records on relay streams hold; a record whose content can't be read costs itself alone.
 */
import { Beat, RelayHeard, RelayMember } from "../../peer/gen/fleet";
import { type RecordFaults, RecordTopic } from "../feeds/faults";
import type { RelayedMember } from "../members";
import { type OwnedRecord, RecordKind } from "./records";
import type { HeardReport } from "./view";

/** Kinds that this build decodes; those of newer builds are passed on as they are. */
const KNOWN_KINDS: ReadonlySet<number> = new Set(Object.values(RecordKind));

/**
 * Decodes records, each once.
 *
 * @example
 * contents.readMember(record).isLeaving;
 */
export class RecordContents {
  private readonly members = new WeakMap<OwnedRecord, RelayedMember>();
  private readonly heardReports = new WeakMap<OwnedRecord, HeardReport>();

  constructor(private readonly faults: Pick<RecordFaults, "report">) {}

  /** Reads the state of a member; throws if it can't be decoded. */
  readMember(record: OwnedRecord): RelayedMember {
    const known = this.members.get(record);
    if (known !== undefined) return known;
    const { instance, content } = record;
    const { address, dataCentre, leaving, storeLost } = RelayMember.decode(content);
    const member = { instance, address, dataCentre, isLeaving: leaving, isStoreLost: storeLost };
    this.members.set(record, member);
    return member;
  }

  /** Reads which instances the owner hears; throws if that can't be decoded. */
  readHeard(record: OwnedRecord): HeardReport {
    const known = this.heardReports.get(record);
    if (known !== undefined) return known;
    const report = RelayHeard.decode(record.content);
    this.heardReports.set(record, report);
    return report;
  }

  /** Checks whether a record can be decoded; one that can't is reported. */
  isReadable(record: OwnedRecord, peer?: string): boolean {
    try {
      if (record.kind === RecordKind.member) this.readMember(record);
      else if (record.kind === RecordKind.heard) this.readHeard(record);
      else if (KNOWN_KINDS.has(record.kind)) Beat.decode(record.content);
      return true;
    } catch (error) {
      this.reportFault(record, error, peer);
      return false;
    }
  }

  /** Reports a record that can't be used, and the peer that it came from. */
  reportFault(record: OwnedRecord, error: unknown, peer = ""): void {
    const { instance, kind, generation, version } = record;
    const name = { key: `${instance} ${kind}`, position: { era: generation, offset: version } };
    this.faults.report(RecordTopic.peers, name, String(error), `peer ${peer}`);
  }
}
