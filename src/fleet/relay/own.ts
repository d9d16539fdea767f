/**
 * The records that this instance owns. A new version is written only when the content changes.
 */
import type { Moment } from "../../core/clock";
import { RelayHeard, RelayMember } from "../../peer/gen/fleet";
import type { MemberIdentity } from "../members";
import { type OwnedRecord, RecordKind } from "./records";

/** The current state of one kind. */
export interface KindState {
  readonly kind: RecordKind;
  /** Changes whenever peers should hear of the state again; ages are no part of it. */
  readonly signature: string;
  /** Encodes the content; called only for a new version. */
  readonly encode: () => Uint8Array;
}

/**
 * Creates the state of a member as it tells it itself.
 *
 * @example
 * createMemberState({ address, dataCentre, leaving: false, storeLost: false });
 */
export function createMemberState(member: RelayMember): KindState {
  return {
    kind: RecordKind.member,
    signature: JSON.stringify(member),
    encode: () => RelayMember.encode(member).finish(),
  };
}

/**
 * Creates the state of which instances one hears, and which it has lost.
 *
 * @example
 * createHeardState({ heard: ["n1"], lost: [] });
 */
export function createHeardState(report: RelayHeard): KindState {
  return {
    kind: RecordKind.heard,
    signature: `${report.heard.join(" ")}|${report.lost.join(" ")}`,
    encode: () => RelayHeard.encode(report).finish(),
  };
}

/** Writes versions of this instance's records. */
export class OwnRecords {
  private readonly records = new Map<number, OwnedRecord>();
  private readonly signatures = new Map<number, string>();
  private version = 0;

  /** @param currentGeneration - number of this process, higher than that of earlier ones */
  constructor(
    private readonly self: MemberIdentity,
    private currentGeneration: number,
  ) {}

  get generation(): number {
    return this.currentGeneration;
  }

  /** Updates one kind; returns its new version, or nothing if it is unchanged. */
  update(state: KindState, now: Moment): OwnedRecord | undefined {
    const before = this.signatures.get(state.kind) ?? "";
    if (before === state.signature) return undefined;
    this.signatures.set(state.kind, state.signature);
    return this.write(state.kind, state.encode(), now);
  }

  /**
   * Moves to a generation after one that peers know of an earlier process of this instance, whose
   * wall clock was ahead; writes all records again.
   */
  advance(generation: number): readonly OwnedRecord[] {
    if (generation < this.currentGeneration) return [];
    this.currentGeneration = generation + 1;
    return [...this.records.values()].map(({ kind, content, writtenAt }) =>
      this.write(kind, content, writtenAt),
    );
  }

  private write(kind: number, content: Uint8Array, writtenAt: Moment): OwnedRecord {
    const { instance, incarnation } = this.self;
    this.version += 1;
    const { version, currentGeneration: generation } = this;
    const record = { instance, incarnation, generation, kind, version, content, writtenAt };
    this.records.set(kind, record);
    return record;
  }
}
