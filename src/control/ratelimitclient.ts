/**
 * Charges requests to the rate limit of their workspace: at the holder of the local data centre, or
 * of another one where that holder cannot be reached.
 */
import * as E from "fp-ts/Either";
import type { Blackboard } from "../board/board";
import type { Clock, Moment } from "../core/clock";
import { computeRemainingMs } from "../core/clock";
import { Duty, findAssignment } from "../core/duties";
import { parseInstance } from "../core/ids";
import { createNotRunRefusal, Reason, type Refusal } from "../core/outcome";
import type { ChargeReply, ChargeRequest, SettleRequest } from "../peer/gen/peer";
import type { PeerTransport } from "../peer/transport";
import { type RateLimiter, NOT_THE_HOLDER } from "./ratelimiter";
import { findInstanceAddress, type InstanceIdentity } from "./membership";

/** Timeout of a charge over all holders; the call to one holder may take half of it. */
const CHARGE_TIMEOUT_MS = 1500;
const SETTLE_TIMEOUT_MS = 1000;
/** How long a holder that did not answer is skipped. */
const HOLDER_COOLDOWN_MS = 1000;
const NO_HOLDER_RETRY_AFTER_MS = 1000;
/** How long after a refusal further charges of a workspace are not expected to be granted. */
const OVER_RATE_COOLDOWN_MS = 2000;

/** A charge that was granted. */
export interface ChargeReceipt {
  readonly id: string;
  readonly workspace: string;
  readonly tokens: number;
  /** Incarnation of the holder that granted it. */
  readonly holder: string;
}

/** Charges requests, and refunds the tokens that they did not use. */
export class RateLimitClient {
  /** Until when a holder that did not answer is skipped, by incarnation. */
  private readonly skippedUntil = new Map<string, Moment>();
  /** Until when a workspace is expected to be still over its rate, after a refusal. */
  private readonly overRateUntil = new Map<string, Moment>();

  constructor(
    private readonly board: Blackboard,
    private readonly self: InstanceIdentity,
    private readonly rateLimiter: RateLimiter,
    private readonly transport: PeerTransport,
    private readonly clock: Clock,
  ) {}

  /** Checks whether the holder of the local data centre is known and has an address. */
  isHolderReachable(): boolean {
    const holder = findAssignment(this.board.duties.read(), Duty.holder, this.self.dataCentre);
    if (holder === undefined) return false;
    return (
      holder.incarnation === this.self.incarnation ||
      this.findHolderAddress(holder.incarnation) !== undefined
    );
  }

  /**
   * Charges a request; called before anything is sent for it.
   *
   * @param tokens - tokens of the prompt and of the longest possible output
   * @returns the charge, or a refusal that may say when to retry
   */
  async charge(
    id: string,
    workspace: string,
    tokens: number,
  ): Promise<E.Either<Refusal, ChargeReceipt>> {
    const burst = this.board.config.read().configuration.workspaces[workspace]?.burst ?? 0;
    if (tokens > burst) {
      const message = `the request counts ${tokens} tokens, and the burst is ${burst}`;
      return E.left(createNotRunRefusal(413, Reason.largerThanBurst, message));
    }
    const deadline = this.clock.now() + CHARGE_TIMEOUT_MS;
    let retryAfterMs: number | undefined;
    for (const holder of this.listHolders()) {
      const leftMs = computeRemainingMs(deadline, this.clock.now());
      if (leftMs === 0) break;
      const reply = await this.sendCharge(
        holder,
        { chargeId: id, workspace, tokens, remainingMs: leftMs },
        leftMs,
      );
      if (E.isLeft(reply)) {
        this.skippedUntil.set(holder, this.clock.now() + HOLDER_COOLDOWN_MS);
        this.refund({ id, workspace, tokens, holder }, tokens);
        continue;
      }
      if (reply.right.granted) return E.right({ id, workspace, tokens, holder });
      if (reply.right.reason === NOT_THE_HOLDER) continue;
      retryAfterMs = reply.right.retryAfterMs;
      break;
    }
    if (retryAfterMs !== undefined) {
      this.overRateUntil.set(workspace, this.clock.now() + OVER_RATE_COOLDOWN_MS);
      return E.left(
        createNotRunRefusal(429, Reason.overRate, "the workspace is over its rate", retryAfterMs),
      );
    }
    const message = "no holder of the workspace's rate can be reached";
    return E.left(createNotRunRefusal(503, Reason.notReady, message, NO_HOLDER_RETRY_AFTER_MS));
  }

  /**
   * Checks whether a charge is likely to be granted: no charge of the workspace was refused
   * recently.
   */
  isChargeLikely(workspace: string): boolean {
    return (this.overRateUntil.get(workspace) ?? 0) <= this.clock.now();
  }

  /**
   * Closes a charge and refunds its unused tokens.
   *
   * @param unused - tokens charged and not used; negative where more were used than charged
   */
  refund(charge: ChargeReceipt, unused: number): void {
    const { id, workspace, holder } = charge;
    const request: SettleRequest = { chargeId: id, workspace, spent: false, closed: true, unused };
    if (holder === this.self.incarnation) {
      this.rateLimiter.settle(request);
      return;
    }
    const address = this.findHolderAddress(holder);
    if (address !== undefined) void this.transport.settle(address, request, SETTLE_TIMEOUT_MS)();
  }

  private async sendCharge(
    holder: string,
    request: ChargeRequest,
    timeoutMs: number,
  ): Promise<E.Either<Error, ChargeReply>> {
    if (holder === this.self.incarnation) return E.right(await this.rateLimiter.charge(request));
    const address = this.findHolderAddress(holder);
    if (address === undefined)
      return E.right({ granted: false, retryAfterMs: 0, reason: NOT_THE_HOLDER });
    return this.transport.charge(address, request, Math.min(timeoutMs, CHARGE_TIMEOUT_MS / 2))();
  }

  private findHolderAddress(holder: string): string | undefined {
    return findInstanceAddress(this.board, parseInstance(holder));
  }

  /**
   * Lists holders, that of the local data centre first, without those that did not answer recently.
   */
  private listHolders(): readonly string[] {
    const now = this.clock.now();
    const all = [...this.board.duties.read().values()].filter((item) => item.duty === Duty.holder);
    const responsive = all.filter((item) => (this.skippedUntil.get(item.incarnation) ?? 0) <= now);
    // After a pause of this process every call may have timed out; then all holders are tried.
    const holders = responsive.length > 0 ? responsive : all;
    const local = holders.filter((item) => item.dataCentre === this.self.dataCentre);
    const remote = holders.filter((item) => item.dataCentre !== this.self.dataCentre);
    return [...local, ...remote].map((item) => item.incarnation);
  }
}
