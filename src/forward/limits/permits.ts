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
import type { LimitAccounts, PermitDecision } from "./accounts";
import type { EndpointLimits, LimitWord } from "./limits";
import { decodeLimit, encodeLimit } from "./wire";

/** How long an owner may take to answer, in milliseconds; far more than a round trip. */
const PERMIT_TIMEOUT_MS = 150;
/** How long an endpoint is passed over while the owner of its limit does not answer, in milliseconds. */
const SILENT_OWNER_RETRY_MS = 500;

/** Calls to the owners of limits. */
export interface PermitTransport {
  /**
   * Asks the owner of a limit for a number of sends.
   *
   * @returns undefined if there was no answer in time
   */
  request(
    owner: string,
    word: LimitWord,
    count: number,
    timeoutMs: number,
  ): Promise<PermitDecision | undefined>;
}

/** A process of an endpoint that something is to be sent to. */
export interface PermitTarget {
  readonly id: string;
  readonly processStartedAt: number;
}

/** Dependencies of the permits. */
export interface PermitParts {
  readonly instance: string;
  readonly limits: EndpointLimits;
  readonly accounts: LimitAccounts;
  readonly owners: OwnerChooser;
  readonly transport: PermitTransport;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called with each decision of an owner. */
  readonly onDecision: (isGranted: boolean) => void;
}

/** Asks for permits, and remembers which endpoints have none left for this instance. */
export class Permits {
  private readonly denialEnds = new Map<string, Moment>();

  constructor(private readonly parts: PermitParts) {}

  /** Checks whether a process has named a limit. */
  isLimited(target: PermitTarget): boolean {
    return this.findLimit(target) !== undefined;
  }

  /** When permits for an endpoint may be asked for again; undefined if they may be now. */
  readDenialEnd(id: string): Moment | undefined {
    const { limits, clock } = this.parts;
    const end = this.denialEnds.get(id);
    const hasLimit = limits.findWord(id)?.perSecond !== undefined;
    if (end === undefined || (hasLimit && end > clock.now())) return end;
    this.denialEnds.delete(id);
    return undefined;
  }

  /** Acquires a number of permits; true also if the endpoint names no limit. */
  async acquire(target: PermitTarget, count: number): Promise<boolean> {
    const { limits, clock, logger, onDecision } = this.parts;
    const perSecond = this.findLimit(target);
    const word = limits.findWord(target.id);
    if (perSecond === undefined || word === undefined || count === 0) return true;
    if (this.readDenialEnd(target.id) !== undefined) return false;
    const { isGranted, retryAfterMs } = await this.requestFromOwner(word, perSecond, count);
    onDecision(isGranted);
    if (isGranted) return true;
    this.denialEnds.set(target.id, clock.now() + retryAfterMs);
    const ms = Math.round(retryAfterMs);
    logger.debug("endpoint limit reached", { endpoint: target.id, perSecond, forMs: ms });
    return false;
  }

  /** Forgets denials that are over. */
  prune(): void {
    for (const id of this.denialEnds.keys()) this.readDenialEnd(id);
  }

  private async requestFromOwner(
    word: LimitWord,
    perSecond: number,
    count: number,
  ): Promise<PermitDecision> {
    const { instance, accounts, owners, transport, clock, logger } = this.parts;
    const { endpoint } = word;
    const owner = owners.choose(`limit ${endpoint}`);
    if (owner === instance) return accounts.grant(endpoint, perSecond, count, clock.now());
    const denial = { isGranted: false, retryAfterMs: SILENT_OWNER_RETRY_MS };
    if (owners.isSilent(owner)) return denial;
    const decision = await transport.request(owner, word, count, PERMIT_TIMEOUT_MS);
    if (decision !== undefined) return decision;
    owners.recordSilence(owner);
    logger.warn("limit owner silent", { owner, endpoint });
    return denial;
  }

  private findLimit({ id, processStartedAt }: PermitTarget): number | undefined {
    return this.parts.limits.find({ endpoint: id, processStartedAt });
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
    word: LimitWord,
    count: number,
    timeoutMs: number,
  ): Promise<PermitDecision | undefined> {
    const address = this.members.findAddress(owner);
    if (address === undefined) return undefined;
    const limit = encodeLimit(word, this.clock.now());
    const reply = await this.transport.permit(address, { limit, count }, timeoutMs);
    return reply && { isGranted: reply.granted, retryAfterMs: reply.retryAfterMs };
  }
}

/**
 * Decides on the sends of a peer as the owner of the limit, by the newest word that either knows.
 *
 * @example
 * answerPermit(limits, accounts, request, clock.now()).granted;
 */
export function answerPermit(
  limits: EndpointLimits,
  accounts: LimitAccounts,
  { limit, count }: PermitRequest,
  now: Moment,
): PermitReply {
  if (limit === undefined) return { granted: false, retryAfterMs: SILENT_OWNER_RETRY_MS };
  limits.record(decodeLimit(limit, now));
  const perSecond = limits.findWord(limit.endpoint)?.perSecond;
  if (perSecond === undefined) return { granted: true, retryAfterMs: 0 };
  const { isGranted, retryAfterMs } = accounts.grant(limit.endpoint, perSecond, count, now);
  return { granted: isGranted, retryAfterMs: Math.ceil(retryAfterMs) };
}
