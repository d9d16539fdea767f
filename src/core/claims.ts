/**
 * Folds the log's stream of claims. When several instances claim the same non-repeatable call, only
 * the one whose claim comes first in the log may run it.
 */
import * as E from "fp-ts/Either";
import * as t from "io-ts";
import { createClosed, decodeValue } from "./codec";

/** An instance's claim to run a call. */
const claimCodec = createClosed(
  "claim record",
  {
    id: t.string,
    claim: t.string,
    /** Hash of the request; shows when an idempotency key is reused for a different request. */
    digest: t.string,
  },
  {},
);

/** The recorded response of a claimed call. */
const outcomeCodec = createClosed(
  "outcome record",
  {
    id: t.string,
    outcomeOf: t.string,
    claimId: t.string,
    status: t.number,
    body: t.string,
    type: t.string,
  },
  {},
);

/** The release of a claim whose call was never sent. */
const releaseCodec = createClosed(
  "claim release",
  { id: t.string, released: t.string, claimId: t.string },
  {},
);

const claimRecordCodec = t.union([claimCodec, outcomeCodec, releaseCodec]);
export type ClaimRecord = t.TypeOf<typeof claimRecordCodec>;

/** The recorded response of a call, replayed to callers that repeat the call. */
export interface RecordedResponse {
  readonly status: number;
  readonly body: string;
  readonly type: string;
}

/** The claim in force for a call. */
export interface ClaimState {
  /** Identifier of the claim record that came first in the log. */
  readonly claimId: string;
  readonly digest: string;
  readonly response: RecordedResponse | undefined;
}

/** Claims by name: a hash of workspace, route and idempotency key. */
export class Claims {
  private readonly states = new Map<string, ClaimState>();
  /** Claims whose release came before them in the log; they never take effect. */
  private readonly releasedEarly = new Set<string>();

  /** Finds the claim in force under a name. */
  find(name: string): ClaimState | undefined {
    return this.states.get(name);
  }

  /** The number of names with a claim in force. */
  get size(): number {
    return this.states.size;
  }

  /**
   * Folds one record of the stream. Records must come in offset order.
   *
   * @param record - the record as it stands in the log; one that cannot be decoded is ignored
   */
  fold(record: unknown): void {
    const decoded = decodeValue(claimRecordCodec, record, "claims");
    if (E.isLeft(decoded)) return;
    const value = decoded.right;
    if ("claim" in value) this.foldClaim(value.claim, value.id, value.digest);
    else if ("outcomeOf" in value) this.foldOutcome(value.outcomeOf, value.claimId, value);
    else this.foldRelease(value.released, value.claimId);
  }

  private foldClaim(name: string, claimId: string, digest: string): void {
    if (this.states.has(name) || this.releasedEarly.delete(claimId)) return;
    this.states.set(name, { claimId, digest, response: undefined });
  }

  private foldOutcome(name: string, claimId: string, response: RecordedResponse): void {
    const state = this.states.get(name);
    if (state?.claimId !== claimId || state.response !== undefined) return;
    const { status, body, type } = response;
    this.states.set(name, { ...state, response: { status, body, type } });
  }

  private foldRelease(name: string, claimId: string): void {
    const state = this.states.get(name);
    if (state?.claimId !== claimId) this.releasedEarly.add(claimId);
    else if (state.response === undefined) this.states.delete(name);
  }
}
