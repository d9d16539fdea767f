/**
 * Permits for sends to endpoints that have named a limit for all instances together. One instance
 * owns each limit and grants its permits; an instance that cannot reach the owner sends nothing
 * there until the owner is replaced.
 */
import type { Clock, Moment } from "../../core/clock";
import type { Logger } from "../../core/log";
import type { MemberList } from "../../fleet/members";
import type { OwnerChooser } from "../../fleet/owners";
import type { GrpcFleetTransport } from "../../fleet/transport";
import type { PermitReply, PermitRequest } from "../../peer/gen/fleet";
import { boundRetryMs, isPermitRequest, type NumberFaultListener } from "../../peer/numbers";
import {
  type DecisionInput,
  decidePermit,
  type OwnerAccounts,
  type OwnerDecision,
} from "./decision";
import type { EndpointProcess, LimitWord } from "./limits";
import { combineLimits, type LimitSources, type SendLimit } from "./sources";
import { decodeCold, decodeLimit, decodePaced, encodePermitAsk } from "./wire";

/** How long an owner may take to answer, in milliseconds; far more than a round trip. */
const PERMIT_TIMEOUT_MS = 150;
/** How long an endpoint is passed over while the owner of its limit does not answer, in milliseconds. */
const SILENT_OWNER_RETRY_MS = 500;

/** What the owner of a limit is asked for. */
export interface PermitAsk extends DecisionInput {
  /** The limit that the endpoint names itself; undefined if it names none. */
  readonly word: LimitWord | undefined;
}

/** Calls to the owners of limits. */
export interface PermitTransport {
  /**
   * Asks the owner of a limit for a number of sends.
   *
   * @returns undefined if there was no answer in time
   */
  request(owner: string, ask: PermitAsk, timeoutMs: number): Promise<OwnerDecision | undefined>;
}

/** A process of an endpoint that something is to be sent to. */
export interface PermitTarget {
  readonly id: string;
  readonly processStartedAt: number;
}

/** Dependencies of the permits. */
export interface PermitParts extends OwnerAccounts {
  readonly instance: string;
  readonly sources: LimitSources;
  readonly owners: OwnerChooser;
  readonly transport: PermitTransport;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called with each decision of an owner. */
  readonly onDecision: (isGranted: boolean, limit: SendLimit) => void;
}

/** Asks for permits, and remembers which endpoints have none left for this instance. */
export class Permits {
  private readonly denialEnds = new Map<string, Moment>();

  constructor(private readonly parts: PermitParts) {}

  /** Checks whether a process has a limit. */
  isLimited(target: PermitTarget): boolean {
    return this.findLimit(target) !== undefined;
  }

  /** When permits for an endpoint may be asked for again; undefined if they may be now. */
  readDenialEnd(id: string): Moment | undefined {
    const { sources, clock } = this.parts;
    const end = this.denialEnds.get(id);
    if (end === undefined) return undefined;
    const now = clock.now();
    if (end > now && sources.hasLimit(id, now)) return end;
    this.denialEnds.delete(id);
    return undefined;
  }

  /** Acquires a number of permits; true also if the endpoint has no limit. */
  async acquire(target: PermitTarget, count: number): Promise<boolean> {
    const { clock, logger, onDecision } = this.parts;
    const limit = this.findLimit(target);
    if (limit === undefined || count === 0) return true;
    if (this.readDenialEnd(target.id) !== undefined) return false;
    const { id: endpoint, processStartedAt } = target;
    const ask = this.createAsk({ endpoint, processStartedAt }, limit, count);
    const { isGranted, retryAfterMs } = await this.requestFromOwner(ask);
    onDecision(isGranted, limit);
    if (isGranted) return true;
    this.denialEnds.set(endpoint, clock.now() + retryAfterMs);
    const { perSecond, cold, pacedSince } = limit;
    const state = { isCold: cold !== undefined, isPaced: pacedSince !== undefined };
    const forMs = Math.round(retryAfterMs);
    logger.debug("endpoint limit reached", { endpoint, perSecond, ...state, forMs });
    return false;
  }

  /** Forgets denials that are over. */
  prune(): void {
    for (const id of this.denialEnds.keys()) this.readDenialEnd(id);
  }

  /** Reports how sends ended to the owners of the limits, where no request for a permit did. */
  async flushOutcomes(): Promise<void> {
    const { sources, clock } = this.parts;
    const now = clock.now();
    for (const process of sources.pacing?.listPending() ?? []) {
      const limit = sources.find(process, now);
      if (limit !== undefined) await this.requestFromOwner(this.createAsk(process, limit, 0));
    }
  }

  private createAsk(process: EndpointProcess, limit: SendLimit, count: number): PermitAsk {
    const { limits, pacing } = this.parts.sources;
    const isNamed = limits.find(process) !== undefined;
    const word = isNamed ? limits.findWord(process.endpoint) : undefined;
    return { process, limit, word, count, outcomes: pacing?.takeOutcomes(process) };
  }

  private async requestFromOwner(ask: PermitAsk): Promise<OwnerDecision> {
    const decision = await this.decide(ask);
    const { sources, clock } = this.parts;
    if (decision.isPaceOver) sources.pacing?.end(ask.process, clock.now());
    return decision;
  }

  private async decide(ask: PermitAsk): Promise<OwnerDecision> {
    const { instance, owners, transport, clock, logger } = this.parts;
    const { endpoint } = ask.process;
    const owner = owners.choose(`limit ${endpoint}`);
    if (owner === instance) return decidePermit(this.parts, ask, clock.now());
    const retryAfterMs = SILENT_OWNER_RETRY_MS;
    const denial = { isGranted: false, retryAfterMs, isPaceOver: false };
    if (owners.isSilent(owner)) return denial;
    const decision = await transport.request(owner, ask, PERMIT_TIMEOUT_MS);
    if (decision !== undefined) return decision;
    owners.recordSilence(owner);
    logger.warn("limit owner silent", { owner, endpoint });
    return denial;
  }

  private findLimit({ id, processStartedAt }: PermitTarget): SendLimit | undefined {
    const { sources, clock } = this.parts;
    return sources.find({ endpoint: id, processStartedAt }, clock.now());
  }
}

/** Asks the owners of limits over gRPC. */
export class PeerPermitTransport implements PermitTransport {
  constructor(
    private readonly members: MemberList,
    private readonly transport: GrpcFleetTransport,
    private readonly clock: Clock,
  ) {}

  async request(
    owner: string,
    ask: PermitAsk,
    timeoutMs: number,
  ): Promise<OwnerDecision | undefined> {
    const address = this.members.findAddress(owner);
    if (address === undefined) return undefined;
    const request = encodePermitAsk(ask, this.clock.now());
    const reply = await this.transport.permit(address, request, timeoutMs);
    if (reply === undefined) return undefined;
    const { granted, retryAfterMs, paceOver } = reply;
    return { isGranted: granted, retryAfterMs: boundRetryMs(retryAfterMs), isPaceOver: paceOver };
  }
}

/**
 * Decides on the sends of a peer as the owner of the limit, by the newest that either knows. An ask
 * with numbers that can't be true is denied.
 *
 * @example
 * answerPermit(sources, { accounts }, request, clock.now()).granted;
 */
export function answerPermit(
  sources: LimitSources,
  accounts: OwnerAccounts,
  request: PermitRequest,
  now: Moment,
  onFault: NumberFaultListener = () => undefined,
): PermitReply {
  const { limit, count, cold, coldPerSecond, paced, outcomes } = request;
  if (limit === undefined || !isPermitRequest(request, onFault)) {
    return { granted: false, retryAfterMs: SILENT_OWNER_RETRY_MS, paceOver: false };
  }
  const { endpoint, processStartedAt } = limit;
  const process = { endpoint, processStartedAt };
  if (limit.perSecond !== undefined) sources.limits.record(decodeLimit(limit, now));
  if (cold !== undefined) sources.cold.record(decodeCold(cold, now), now);
  const named = sources.limits.findWord(endpoint)?.perSecond;
  const coldState = sources.cold.findForPeer(process, coldPerSecond, now);
  const known = combineLimits(named, coldState, paced && decodePaced(paced, now).begunAt);
  if (known === undefined) return { granted: true, retryAfterMs: 0, paceOver: false };
  const input = { process, limit: known, count, outcomes };
  const { isGranted, retryAfterMs, isPaceOver } = decidePermit(accounts, input, now);
  return { granted: isGranted, retryAfterMs: Math.ceil(retryAfterMs), paceOver: isPaceOver };
}
