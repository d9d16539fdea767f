/**
 * What supplies the state that relays carry, and applies that of others.
 */
import type { Moment } from "../../core/clock";
import type { Beat, RelayHead } from "../../peer/gen/fleet";
import type { KindState } from "./own";
import type { OwnedRecord } from "./records";
import type { Load } from "./sums";

/** The instance's state, by kinds of records. */
export interface RelayHost {
  /** Says how recent the configuration and the endpoint list are. */
  createHead(): RelayHead;
  /** Lists the current state of each kind that this instance tells. */
  listKinds(now: Moment): readonly KindState[];
  /** Applies what an instance says of one kind; its content is an encoded `Beat` with its fields. */
  applyRecord(record: OwnedRecord, now: Moment): void;
  /** Reads the load of this instance. */
  readLoad(now: Moment): Load;
  /** Applies the load of all other instances together. */
  applyPeerLoad(load: Load, now: Moment): void;
  /**
   * Applies what a neighbour says of its configuration and list.
   *
   * @param beat - a heartbeat with these fields and the neighbour's identity alone
   */
  applyHead(beat: Beat, sentAt: Moment | undefined): void;
}
