/**
 * Charges requests at the holder of the own data centre, or of another one where that cannot be
 * reached.
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

const CHARGE_CALL_MS = 1500;
const SETTLE_CALL_MS = 1000;
/** How long a holder that did not answer is passed over. */
const PAUSE_MS = 1000;
const NO_HOLDER_RETRY_MS = 1000;
/** How long after a refusal the charges of a workspace are not taken to be likely. */
const OVER_MS = 2000;

/** A request that has been charged. */
export interface ChargeReceipt {
  readonly id: string;
  readonly workspace: string;
  readonly tokens: number;
  readonly holder: string;
}

/** Charges requests and gives back what they did not use. */
export class RateLimitClient {
  private readonly paused = new Map<string, Moment>();
  /** Until when a workspace that was over its rate is not taken to be inside it. */
  private readonly overUntil = new Map<string, Moment>();

  constructor(
    private readonly board: Blackboard,
    private readonly self: InstanceIdentity,
    private readonly rateLimiter: RateLimiter,
    private readonly transport: PeerTransport,
    private readonly clock: Clock,
  ) {}

  /** Checks whether the holder of the own data centre is known and can be asked. */
  isHolderReachable(): boolean {
    const holder = findAssignment(this.board.duties.read(), Duty.holder, this.self.dataCentre);
    if (holder === undefined) return false;
    return (
      holder.incarnation === this.self.incarnation ||
      this.findAddressOf(holder.incarnation) !== undefined
    );
  }

  /**
   * Charges a request before anything is sent for it.
   *
   * @param tokens - the prompt and the longest answer
   * @returns the charge, or a refusal that says when to come back
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
    const deadline = this.clock.now() + CHARGE_CALL_MS;
    let retryAfterMs: number | undefined;
    for (const holder of this.listHolders()) {
      const left = computeRemainingMs(deadline, this.clock.now());
      if (left === 0) break;
      const reply = await this.ask(
        holder,
        { chargeId: id, workspace, tokens, remainingMs: left },
        left,
      );
      if (E.isLeft(reply)) {
        this.paused.set(holder, this.clock.now() + PAUSE_MS);
        this.refund({ id, workspace, tokens, holder }, tokens);
        continue;
      }
      if (reply.right.granted) return E.right({ id, workspace, tokens, holder });
      if (reply.right.reason === NOT_THE_HOLDER) continue;
      retryAfterMs = reply.right.retryAfterMs;
      break;
    }
    if (retryAfterMs !== undefined) {
      this.overUntil.set(workspace, this.clock.now() + OVER_MS);
      return E.left(
        createNotRunRefusal(429, Reason.overRate, "the workspace is over its rate", retryAfterMs),
      );
    }
    const message = "no holder of the workspace's rate can be reached";
    return E.left(createNotRunRefusal(503, Reason.notReady, message, NO_HOLDER_RETRY_MS));
  }

  /** Checks whether a charge is likely to be granted: none was refused lately. */
  isChargeLikely(workspace: string): boolean {
    return (this.overUntil.get(workspace) ?? 0) <= this.clock.now();
  }

  /**
   * Closes a charge.
   *
   * @param unused - tokens charged and not used; below zero where more were used
   */
  refund(charge: ChargeReceipt, unused: number): void {
    const { id, workspace, holder } = charge;
    const request: SettleRequest = { chargeId: id, workspace, spent: false, closed: true, unused };
    if (holder === this.self.incarnation) {
      this.rateLimiter.settle(request);
      return;
    }
    const address = this.findAddressOf(holder);
    if (address !== undefined) void this.transport.settle(address, request, SETTLE_CALL_MS)();
  }

  private async ask(
    holder: string,
    request: ChargeRequest,
    timeoutMs: number,
  ): Promise<E.Either<Error, ChargeReply>> {
    if (holder === this.self.incarnation) return E.right(await this.rateLimiter.charge(request));
    const address = this.findAddressOf(holder);
    if (address === undefined)
      return E.right({ granted: false, retryAfterMs: 0, reason: NOT_THE_HOLDER });
    return this.transport.charge(address, request, Math.min(timeoutMs, CHARGE_CALL_MS / 2))();
  }

  private findAddressOf(holder: string): string | undefined {
    return findInstanceAddress(this.board, parseInstance(holder));
  }

  /** The own data centre's holder first; those that did not answer lately are left out. */
  private listHolders(): readonly string[] {
    const now = this.clock.now();
    const all = [...this.board.duties.read().values()].filter((item) => item.duty === Duty.holder);
    const answering = all.filter((item) => (this.paused.get(item.incarnation) ?? 0) <= now);
    // After a pause of this process none may have answered in time: then all are asked again.
    const holders = answering.length > 0 ? answering : all;
    const near = holders.filter((item) => item.dataCentre === this.self.dataCentre);
    const far = holders.filter((item) => item.dataCentre !== this.self.dataCentre);
    return [...near, ...far].map((item) => item.incarnation);
  }
}
