/**
 * Charges requests to the accounts of their workspaces over the whole fleet. The owner of an
 * account is chosen by rendezvous hashing among the live instances, by each instance for itself.
 * Requests for one account that arrive while a call to its owner is under way go out together in
 * the next call, so that a busy instance makes one call at a time for an account.
 */
import type { Clock } from "../../core/clock";
import type { Logger } from "../../core/log";
import { runTask } from "../../core/tasks";
import type { RateLimit } from "../../fleet/config";
import { OwnerChooser } from "../../fleet/owners";
import { type QuotaDecision, type Quotas, UNLIMITED } from "./quota";

/** How long an owner may take to answer, in milliseconds; far more than a round trip. */
const CHARGE_TIMEOUT_MS = 200;
/** Maximum number of requests in one call, which bounds its size. */
const MAX_BATCH = 256;

/** A charge of one or more requests to an account. */
export interface Charge {
  readonly workspace: string;
  /** Cost that the asking instance has admitted for the workspace since it started. */
  readonly totalCost: number;
  /** Costs of the requests, in their order. */
  readonly costs: readonly number[];
}

/** Calls to the owners of accounts. */
export interface ChargeTransport {
  /**
   * Asks an instance to decide on a charge as the owner of the account.
   *
   * @returns a decision for each request in their order, none if the owner leaves them to this instance, or
   *   undefined if there was no answer in time; any other number counts as no answer
   */
  charge(
    owner: string,
    charge: Charge,
    timeoutMs: number,
  ): Promise<readonly QuotaDecision[] | undefined>;
}

interface WaitingRequest {
  readonly limit: RateLimit;
  readonly cost: number;
  readonly resolve: (decision: QuotaDecision) => void;
  readonly reject: (error: Error) => void;
}

/** Dependencies of the charger. */
export interface ChargerParts {
  readonly instance: string;
  readonly quotas: Quotas;
  readonly transport: ChargeTransport;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Lists the live instances, including this one. */
  readonly listLive: () => readonly string[];
}

/** Decides on the requests of this instance by the rates of their workspaces. */
export class QuotaCharger {
  private readonly owners: OwnerChooser;
  /** By workspace: the requests that wait for the call under way to end. */
  private readonly waiting = new Map<string, WaitingRequest[]>();

  constructor(private readonly parts: ChargerParts) {
    this.owners = new OwnerChooser(parts.instance, parts.listLive, parts.clock);
  }

  /**
   * Admits a request and counts it, or refuses it.
   *
   * @param limit - undefined if the workspace has none
   */
  async admit(
    workspace: string,
    limit: RateLimit | undefined,
    cost: number,
  ): Promise<QuotaDecision> {
    if (limit === undefined) return UNLIMITED;
    const { instance, quotas, clock } = this.parts;
    const now = clock.now();
    const owner = this.owners.choose(workspace);
    if (owner === instance) return quotas.admitAsOwner(workspace, limit, cost, now);
    const unasked = quotas.admitUnasked(workspace, limit, cost, now);
    if (unasked !== undefined) return unasked;
    if (this.owners.isSilent(owner)) return quotas.admitByShare(workspace, limit, cost, now);
    return this.askOwner(workspace, limit, cost);
  }

  private askOwner(workspace: string, limit: RateLimit, cost: number): Promise<QuotaDecision> {
    return new Promise((resolve, reject) => {
      const request = { limit, cost, resolve, reject };
      const waiting = this.waiting.get(workspace);
      if (waiting !== undefined) {
        waiting.push(request);
        return;
      }
      this.waiting.set(workspace, []);
      void this.sendBatches(workspace, [request]);
    });
  }

  private async sendBatches(workspace: string, first: readonly WaitingRequest[]): Promise<void> {
    let batch = first;
    while (batch.length > 0) {
      await this.decideBatch(workspace, batch);
      batch = this.waiting.get(workspace)?.splice(0, MAX_BATCH) ?? [];
    }
    this.waiting.delete(workspace);
  }

  /** Has a batch decided by the owner, or alone where that fails in whatever way. */
  private async decideBatch(workspace: string, batch: readonly WaitingRequest[]): Promise<void> {
    const { logger, instance } = this.parts;
    let owner = instance;
    const isDecided = await runTask("charge", logger, () => {
      owner = this.owners.choose(workspace);
      return this.sendBatch(workspace, batch, owner);
    });
    if (isDecided) return;
    for (const request of batch) this.settleAlone(workspace, request, owner);
  }

  /** Ends the wait of a request in any case: its caller has no other way to learn of an error. */
  private settleAlone(workspace: string, request: WaitingRequest, owner: string): void {
    try {
      request.resolve(this.decideAlone(workspace, request, owner));
    } catch (error) {
      request.reject(error as Error);
    }
  }

  private async sendBatch(
    workspace: string,
    batch: readonly WaitingRequest[],
    owner: string,
  ): Promise<void> {
    const { quotas, transport, instance } = this.parts;
    const totalCost = quotas.readLocalCost(workspace);
    const costs = batch.map(({ cost }) => cost);
    const charge = { workspace, totalCost, costs };
    const isAsked = owner !== instance && !this.owners.isSilent(owner);
    const reply = isAsked ? await transport.charge(owner, charge, CHARGE_TIMEOUT_MS) : undefined;
    const decisions = reply?.length === batch.length || reply?.length === 0 ? reply : undefined;
    if (isAsked && decisions === undefined) this.recordSilence(owner, workspace);
    for (const [index, request] of batch.entries()) {
      const decision = decisions?.[index];
      request.resolve(
        decision === undefined
          ? this.decideAlone(workspace, request, owner)
          : this.applyDecision(workspace, request, decision),
      );
    }
  }

  private applyDecision(
    workspace: string,
    { limit, cost }: WaitingRequest,
    decision: QuotaDecision,
  ): QuotaDecision {
    const { quotas, clock } = this.parts;
    if (decision.isAdmitted) quotas.recordGrant(workspace, limit, cost, clock.now());
    return decision;
  }

  private decideAlone(
    workspace: string,
    { limit, cost }: WaitingRequest,
    owner: string,
  ): QuotaDecision {
    const { quotas, clock, instance } = this.parts;
    const now = clock.now();
    return owner === instance
      ? quotas.admitAsOwner(workspace, limit, cost, now)
      : quotas.admitByShare(workspace, limit, cost, now);
  }

  private recordSilence(owner: string, workspace: string): void {
    this.owners.recordSilence(owner);
    this.parts.logger.warn("rate owner silent", { owner, workspace });
  }
}
