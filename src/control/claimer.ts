/**
 * Claims calls that may run at most once. Every instance that wants to run such a call appends a
 * claim to the log; only the instance whose claim comes first in the log may run it.
 */
import type { Blackboard } from "../board/board";
import type { Claims, ClaimState, RecordedResponse } from "../core/claims";
import { type Clock, type Moment, pause } from "../core/clock";
import { type IdGenerator, parseInstance, parseIncarnation } from "../core/ids";
import type { Logger } from "../core/log";
import type { LogClient, LogPage } from "../store/log";
import { StreamName } from "../store/log";
import { Appender, AppendResult } from "./appender";
import { isIncarnationGone } from "./listpoller";
import { type StreamHandler, StreamReader } from "./streamreader";

/** How long to wait until an appended claim is read back from the log. */
const CLAIM_TIMEOUT_MS = 3000;
const POLL_INTERVAL_MS = 50;
/** How long a repeated call waits for the outcome of the call that is already running. */
const OUTCOME_WAIT_MS = 2000;
/** Larger bodies are not stored; the record then only shows that the call was answered. */
const MAX_STORED_BODY_BYTES = 64 * 1024;

/** The result of a claim. */
export const ClaimResult = {
  /** This instance may run the call once. */
  won: "won",
  /** Another claim comes first in the log. */
  lost: "lost",
  /** Which claim is first cannot be determined; the call has not been sent. */
  unavailable: "unavailable",
} as const;
export type ClaimResult = (typeof ClaimResult)[keyof typeof ClaimResult];

/** The result of a claim, and the claim that is first in the log. */
export interface ClaimOutcome {
  readonly result: ClaimResult;
  readonly claimId: string;
  /** The claim that is first in the log; undefined where it is not known. */
  readonly state: ClaimState | undefined;
}

/** Appends claims, reads them back from the log, and records responses and releases. */
export class Claimer implements StreamHandler {
  next = 0;
  private isCaughtUp = false;
  private readonly reader: StreamReader;
  private readonly appender: Appender;
  private readonly claims: Claims;

  constructor(
    private readonly board: Blackboard,
    log: LogClient,
    private readonly clock: Clock,
    private readonly ids: IdGenerator,
    logger: Logger,
  ) {
    this.claims = board.claims;
    this.reader = new StreamReader(log, StreamName.claims, this, clock, logger);
    this.appender = new Appender(log, StreamName.claims, logger);
  }

  start(): void {
    this.reader.start();
  }

  close(): void {
    this.reader.close();
  }

  onPage(page: LogPage): void {
    for (const { offset, record } of page.records) {
      if (offset < this.next) continue;
      this.next = offset + 1;
      this.claims.fold(record);
    }
    this.next = Math.max(this.next, page.earliest);
    if (this.next >= page.end) this.isCaughtUp = true;
  }

  /** Finds the claim on a name without making one. */
  find(name: string): ClaimState | undefined {
    return this.claims.find(name);
  }

  /**
   * Claims a call by its name.
   *
   * @param name - hash of workspace, route and idempotency key
   * @param digest - hash of the request
   * @returns `won` only after this claim was read back from the log as the first one for the name
   */
  async claim(name: string, digest: string): Promise<ClaimOutcome> {
    const claimId = this.ids.next();
    const known = this.claims.find(name);
    if (known !== undefined) return this.waitForWinnerResponse(name, claimId, known);
    const unavailable = { result: ClaimResult.unavailable, claimId, state: undefined };
    if (!this.isCaughtUp) return unavailable;
    const appended = await this.appender.append({ id: claimId, claim: name, digest } as {
      id: string;
    });
    if (appended === AppendResult.refused) return unavailable;
    const state = await this.waitForClaim(name, this.clock.now() + CLAIM_TIMEOUT_MS);
    if (state === undefined) {
      this.release(name, claimId);
      return unavailable;
    }
    if (state.claimId !== claimId) return this.waitForWinnerResponse(name, claimId, state);
    return { result: ClaimResult.won, claimId, state };
  }

  /** Waits a short while for the winner's response, which spares the caller another attempt. */
  private async waitForWinnerResponse(
    name: string,
    claimId: string,
    winner: ClaimState,
  ): Promise<ClaimOutcome> {
    const deadline = this.clock.now() + OUTCOME_WAIT_MS;
    let state: ClaimState | undefined = winner;
    while (
      state?.response === undefined &&
      this.clock.now() < deadline &&
      !this.isOwnerGone(winner)
    ) {
      await pause(POLL_INTERVAL_MS);
      state = this.claims.find(name);
    }
    return { result: ClaimResult.lost, claimId, state: state ?? winner };
  }

  private isOwnerGone(state: ClaimState): boolean {
    const owner = parseIncarnation(state.claimId);
    return isIncarnationGone(this.board, parseInstance(owner), owner);
  }

  /** Records the response of a claimed call, with up to three attempts to append it. */
  async recordResponse(name: string, claimId: string, response: RecordedResponse): Promise<void> {
    const isBodyStored = Buffer.byteLength(response.body) <= MAX_STORED_BODY_BYTES;
    const body = isBodyStored ? response.body : "";
    const record = {
      id: this.ids.next(),
      outcomeOf: name,
      claimId,
      status: response.status,
      body,
      type: response.type,
    };
    for (let attempt = 0; attempt < 3; attempt += 1) {
      const result = await this.appender.append(record);
      if (result === AppendResult.sent) return;
      await pause(POLL_INTERVAL_MS * 4);
    }
  }

  /** Releases a claim whose call has not been sent. */
  release(name: string, claimId: string): void {
    const record = { id: this.ids.next(), released: name, claimId };
    void this.appender.append(record);
  }

  private async waitForClaim(name: string, deadline: Moment): Promise<ClaimState | undefined> {
    for (;;) {
      const state = this.claims.find(name);
      if (state !== undefined || this.clock.now() >= deadline) return state;
      await this.reader.readNow();
      if (this.claims.find(name) === undefined) await pause(POLL_INTERVAL_MS);
    }
  }
}
