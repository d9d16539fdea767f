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
import type { EndpointProcess, LimitWord } from "./limits";
import { combineLimits, type LimitSources, type SendLimit } from "./sources";
import { decodeCold, decodeLimit, encodePermitAsk } from "./wire";

/** How long an owner may take to answer, in milliseconds; far more than a round trip. */
const PERMIT_TIMEOUT_MS = 150;
/** How long an endpoint is passed over while the owner of its limit does not answer, in milliseconds. */
const SILENT_OWNER_RETRY_MS = 500;

/** What the owner of a limit is asked for. */
export interface PermitAsk {
  readonly process: EndpointProcess;
  /** What the asker knows of the limit. */
  readonly limit: SendLimit;
  /** The limit that the endpoint names itself; undefined if it names none. */
  readonly word: LimitWord | undefined;
  /** Number of sends. */
  readonly count: number;
}

/** Calls to the owners of limits. */
export interface PermitTransport {
  /**
   * Asks the owner of a limit for a number of sends.
   *
   * @returns undefined if there was no answer in time
   */
  request(owner: string, ask: PermitAsk, timeoutMs: number): Promise<PermitDecision | undefined>;
}

/** A process of an endpoint that something is to be sent to. */
export interface PermitTarget {
  readonly id: string;
  readonly processStartedAt: number;
}

/** Dependencies of the permits. */
export interface PermitParts {
  readonly instance: string;
  readonly sources: LimitSources;
  readonly accounts: LimitAccounts;
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
    const { sources, clock, logger, onDecision } = this.parts;
    const limit = this.findLimit(target);
    if (limit === undefined || count === 0) return true;
    if (this.readDenialEnd(target.id) !== undefined) return false;
    const { id: endpoint, processStartedAt } = target;
    const process = { endpoint, processStartedAt };
    const isNamed = sources.limits.find(process) !== undefined;
    const word = isNamed ? sources.limits.findWord(endpoint) : undefined;
    const ask = { process, limit, word, count };
    const { isGranted, retryAfterMs } = await this.requestFromOwner(ask);
    onDecision(isGranted, limit);
    if (isGranted) return true;
    this.denialEnds.set(endpoint, clock.now() + retryAfterMs);
    const { perSecond, cold } = limit;
    const isCold = cold !== undefined;
    const forMs = Math.round(retryAfterMs);
    logger.debug("endpoint limit reached", { endpoint, perSecond, isCold, forMs });
    return false;
  }

  /** Forgets denials that are over. */
  prune(): void {
    for (const id of this.denialEnds.keys()) this.readDenialEnd(id);
  }

  private async requestFromOwner(ask: PermitAsk): Promise<PermitDecision> {
    const { instance, accounts, owners, transport, clock, logger } = this.parts;
    const { limit, count } = ask;
    const { endpoint } = ask.process;
    const { perSecond, cold } = limit;
    const owner = owners.choose(`limit ${endpoint}`);
    const now = clock.now();
    if (owner === instance) return accounts.grant(endpoint, perSecond, count, now, cold?.burst);
    const denial = { isGranted: false, retryAfterMs: SILENT_OWNER_RETRY_MS };
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
  ): Promise<PermitDecision | undefined> {
    const address = this.members.findAddress(owner);
    if (address === undefined) return undefined;
    const request = encodePermitAsk(ask, this.clock.now());
    const reply = await this.transport.permit(address, request, timeoutMs);
    return reply && { isGranted: reply.granted, retryAfterMs: reply.retryAfterMs };
  }
}

/**
 * Decides on the sends of a peer as the owner of the limit, by the newest that either knows.
 *
 * @example
 * answerPermit(sources, accounts, request, clock.now()).granted;
 */
export function answerPermit(
  sources: LimitSources,
  accounts: LimitAccounts,
  { limit, count, cold, coldPerSecond }: PermitRequest,
  now: Moment,
): PermitReply {
  if (limit === undefined) return { granted: false, retryAfterMs: SILENT_OWNER_RETRY_MS };
  const { endpoint, processStartedAt } = limit;
  if (limit.perSecond !== undefined) sources.limits.record(decodeLimit(limit, now));
  if (cold !== undefined) sources.cold.record(decodeCold(cold, now), now);
  const named = sources.limits.findWord(endpoint)?.perSecond;
  const coldState = sources.cold.findForPeer({ endpoint, processStartedAt }, coldPerSecond, now);
  const known = combineLimits(named, coldState);
  if (known === undefined) return { granted: true, retryAfterMs: 0 };
  const burst = known.cold?.burst;
  const { isGranted, retryAfterMs } = accounts.grant(endpoint, known.perSecond, count, now, burst);
  return { granted: isGranted, retryAfterMs: Math.ceil(retryAfterMs) };
}
