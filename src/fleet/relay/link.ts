/**
 * One stream to a neighbour: numbers its messages, follows when it was heard, compares the clocks of
 * both processes, and queues the records that the neighbour does not have yet.
 */
import type { Moment } from "../../core/clock";
import { type RelayHello, RelayMessage, RelayScope } from "../../peer/gen/fleet";
import { isSendTime } from "../../peer/numbers";
import type { OwnedRecord } from "./records";
import { type Load, NO_LOAD } from "./sums";
import type { RelayStream } from "./transport";

/** How long a comparison of clocks counts, in milliseconds; drift is far below a millisecond in it. */
const OFFSET_TTL_MS = 5000;
/** Maximum number of sent messages whose acknowledgement is awaited; those of many seconds. */
const MAX_UNACKNOWLEDGED = 64;

/** A message that was sent and not acknowledged yet. */
interface SentMessage {
  readonly sequence: number;
  readonly sentAt: Moment;
  /** What it said of the load of this instance alone. */
  readonly ownLoad: Load;
}

/** The state of one stream. */
export class RelayLink {
  /** Who is at the other end; undefined until it said so. */
  peer: RelayHello | undefined;
  lastHeardAt: Moment;
  lastSentAt: Moment = Number.NEGATIVE_INFINITY;
  /** When it broke off; undefined while it is open. */
  brokenAt: Moment | undefined;
  /** Since when this instance does not want it. */
  unwantedSince: Moment | undefined;
  /** The scope of the reports that the neighbour wants. */
  wantedByPeer: RelayScope = RelayScope.RELAY_SCOPE_NONE;
  /** The scope of the reports that this instance wants. */
  wanted: RelayScope = RelayScope.RELAY_SCOPE_NONE;
  /** What the neighbour knows from reports of the scope it wants; undefined if nothing yet. */
  reported: Load | undefined;
  /** What is known from the neighbour's reports; `rest` is without the load of this instance. */
  received: { readonly scope: RelayScope; readonly load: Load; readonly rest: Load } | undefined;
  /** Load of this instance that the neighbour knew when it sent its last message. */
  ownLoadKnown: Load = NO_LOAD;
  private wantedSent: RelayScope = RelayScope.RELAY_SCOPE_NONE;
  private ownLoadSent: Load = NO_LOAD;
  private sequence = 0;
  private receivedSequence = 0;
  private unacknowledged: SentMessage[] = [];
  private readonly pending = new Map<string, OwnedRecord>();
  private offset: { readonly ms: number; readonly at: Moment } | undefined;
  private earlierOffset: { readonly ms: number; readonly at: Moment } | undefined;

  constructor(
    readonly stream: RelayStream,
    /** True if this instance opened the stream. */
    readonly isOutgoing: boolean,
    /** The address that it was opened to; empty for an incoming one. */
    readonly address: string,
    readonly openedAt: Moment,
  ) {
    this.lastHeardAt = openedAt;
  }

  /** Queues a record for the neighbour. */
  queue(record: OwnedRecord): void {
    this.pending.set(createKey(record), record);
  }

  /** Drops a queued record that the neighbour has sent itself, in a version at least as new. */
  dropKnown(record: OwnedRecord): void {
    const key = createKey(record);
    const queued = this.pending.get(key);
    if (queued === undefined || queued.generation > record.generation) return;
    if (queued.generation < record.generation || queued.version <= record.version) {
      this.pending.delete(key);
    }
  }

  get hasPending(): boolean {
    return this.pending.size > 0 || this.wanted !== this.wantedSent;
  }

  /** Takes the queued records. */
  takePending(): readonly OwnedRecord[] {
    const records = [...this.pending.values()];
    this.pending.clear();
    return records;
  }

  /** Records what the neighbour knows of this instance's load once it has the next message. */
  recordOwnLoad(load: Load): void {
    this.ownLoadSent = load;
  }

  /**
   * Sends a message.
   *
   * @param parts - encoded fields, which may be shared between neighbours
   * @returns its size in bytes
   */
  send(parts: readonly Uint8Array[], now: Moment): number {
    this.sequence += 1;
    const { sequence, receivedSequence: acknowledged, ownLoadSent: ownLoad } = this;
    const isWantChanged = this.wanted !== this.wantedSent;
    this.wantedSent = this.wanted;
    const header = RelayMessage.encode({
      sequence,
      acknowledged,
      sentAtMs: now,
      records: [],
      hello: undefined,
      head: undefined,
      report: undefined,
      wanted: isWantChanged ? this.wanted : undefined,
      goodbye: false,
    }).finish();
    const message = Buffer.concat([header, ...parts]);
    this.unacknowledged.push({ sequence, sentAt: now, ownLoad });
    if (this.unacknowledged.length > MAX_UNACKNOWLEDGED) this.unacknowledged.shift();
    this.lastSentAt = now;
    this.stream.send(message);
    return message.length;
  }

  /**
   * Records that a message arrived.
   *
   * @returns a moment before which it was not sent later; undefined while the clocks are not compared, or
   *   if it says a time that can't be true
   */
  recordMessage(message: RelayMessage, now: Moment): Moment | undefined {
    this.lastHeardAt = now;
    this.receivedSequence = message.sequence;
    if (message.wanted !== undefined && message.wanted !== this.wantedByPeer) {
      this.wantedByPeer = message.wanted;
      this.reported = undefined;
      this.ownLoadSent = NO_LOAD;
    }
    const acknowledged = this.takeAcknowledged(message.acknowledged);
    if (acknowledged !== undefined) this.ownLoadKnown = acknowledged.ownLoad;
    if (!isSendTime(message.sentAtMs)) return undefined;
    if (acknowledged !== undefined) {
      this.recordOffset(acknowledged.sentAt - message.sentAtMs, now);
    }
    const offsets = [this.offset, this.earlierOffset].filter((known) => known !== undefined);
    if (offsets.length === 0) return undefined;
    const offsetMs = Math.max(...offsets.map(({ ms }) => ms));
    return Math.min(now, message.sentAtMs + offsetMs);
  }

  private takeAcknowledged(sequence: number): SentMessage | undefined {
    const taken = this.unacknowledged.filter((sent) => sent.sequence <= sequence);
    if (taken.length > 0) this.unacknowledged = this.unacknowledged.slice(taken.length);
    return taken.at(-1);
  }

  /** Keeps the highest of the lower bounds of the last seconds. */
  private recordOffset(ms: number, now: Moment): void {
    if (this.offset !== undefined && now - this.offset.at > OFFSET_TTL_MS) {
      this.earlierOffset = this.offset;
      this.offset = undefined;
    }
    if (this.earlierOffset !== undefined && now - this.earlierOffset.at > 2 * OFFSET_TTL_MS) {
      this.earlierOffset = undefined;
    }
    if (this.offset === undefined) this.offset = { ms, at: now };
    else if (ms > this.offset.ms) this.offset = { ms, at: this.offset.at };
  }
}

function createKey({ instance, kind }: OwnedRecord): string {
  return `${kind} ${instance}`;
}
