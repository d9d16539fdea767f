/**
 * Holds back what this instance would send to endpoints that asked for a pause, announced that they
 * leave, are in an evacuated data centre, or named a limit that is used up. Every request and call to an endpoint passes here,
 * whatever its purpose.
 */
import type { Clock, Moment } from "../../core/clock";
import type { Logger } from "../../core/log";
import type { EndpointDirectory } from "../../fleet/directory";
import type { EndpointEntry } from "../../fleet/entries";
import type { Evacuations } from "../../fleet/evacuations";
import type { EndpointNotice } from "../requests";
import type { EndedSend } from "./pacing";
import type { Permits } from "./permits";
import type { LimitSources } from "./sources";

/** The endpoint that a call is for. */
export interface EndpointTarget {
  readonly id: string;
  /** IP address and port. */
  readonly address: string;
  /** When its process started, in milliseconds of its own wall clock. */
  readonly processStartedAt: number;
  /** Absent where it is not known. */
  readonly service?: string;
}

/** An endpoint's answer, as far as it matters for what the endpoint says of its limit. */
export interface LimitAnswer {
  /** When the request or call was sent. */
  readonly sentAt: Moment;
  /** True if an answer without a limit says that there is none; answers to calls may lack it. */
  readonly canEndLimit: boolean;
}

/**
 * Longest pause that is honoured, in milliseconds; a longer one would take the endpoint out of
 * service because of one malformed response.
 */
const MAX_PAUSE_MS = 60_000;
/**
 * After which time callers may try again if only evacuated data centres are left, in milliseconds:
 * an operator withdraws an evacuation by hand, and most retries before that are in vain.
 */
const EVACUATION_RETRY_MS = 2000;

/** Dependencies of a gate. */
export interface GateParts {
  readonly directory: EndpointDirectory;
  readonly evacuations: Pick<Evacuations, "isEvacuated">;
  readonly sources: LimitSources;
  readonly permits: Permits;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called when an endpoint begins or ceases to name a limit, names another one, or is cold. */
  readonly onLimitChange: () => void;
}

/** Tracks pauses by endpoint id, leaving endpoints in the directory, evacuations, and limits. */
export class EndpointGate {
  private readonly pauseEnds = new Map<string, Moment>();
  /** By endpoint: the start of the process whose unreadable limit was logged. */
  private readonly unreadable = new Map<string, number>();

  constructor(private readonly parts: GateParts) {}

  /** Applies what an endpoint said about itself in a response. */
  onNotice(target: EndpointTarget, { pauseMs, isLeaving }: EndpointNotice): void {
    if (pauseMs !== undefined) this.recordPause(target.id, pauseMs);
    if (!isLeaving) return;
    const { directory, clock, logger } = this.parts;
    const entry = directory.find(target.id);
    if (entry === undefined || entry.address !== target.address) return;
    if (!directory.markLeaving(entry, clock.now())) return;
    logger.info("endpoint leaving", { endpoint: target.id, source: "response" });
  }

  /**
   * Applies what an endpoint said about its limit in an answer of its own: not in a late copy, whose
   * time is not known, and not where another process answered at its address.
   */
  onLimitNotice(target: EndpointTarget, notice: EndpointNotice, answer: LimitAnswer): void {
    const { limitPerSecond: perSecond, unreadableLimit, coldMs } = notice;
    if (coldMs !== undefined) this.recordCold(target, coldMs);
    if (unreadableLimit !== undefined) {
      this.reportUnreadable(target, unreadableLimit);
      return;
    }
    const { sources, clock, logger, onLimitChange } = this.parts;
    const { limits } = sources;
    const { id: endpoint, processStartedAt } = target;
    const isEnd = perSecond === undefined;
    const hasLimit = limits.findWord(endpoint)?.perSecond !== undefined;
    if (isEnd && !(hasLimit && answer.canEndLimit)) return;
    const at = isEnd ? answer.sentAt : clock.now();
    if (!limits.record({ endpoint, processStartedAt, perSecond, at, isOwn: true })) return;
    logger.info("endpoint limit", { endpoint, perSecond, source: "response" });
    onLimitChange();
  }

  /** Acquires the permits for sends to an endpoint; at once if it has no limit. */
  acquirePermits(target: EndpointTarget, count: number): Promise<boolean> | true {
    const { permits } = this.parts;
    return permits.isLimited(target) ? permits.acquire(target, count) : true;
  }

  /** Reports how sends ended to the owners of the limits. */
  flushOutcomes(): Promise<void> {
    return this.parts.permits.flushOutcomes();
  }

  /** Records how a send ended, by which the pace of an endpoint that started is found. */
  recordSend(send: EndedSend): void {
    this.parts.sources.pacing?.record(send);
  }

  /** True if the endpoint has lately named a limit or is cold, so that others are preferred. */
  isLimited({ id: endpoint, processStartedAt }: EndpointTarget): boolean {
    const { sources, clock } = this.parts;
    return sources.isAvoided({ endpoint, processStartedAt }, clock.now());
  }

  /** True while the data centre of an endpoint is evacuated; also if its entry was removed. */
  isEvacuated(id: string): boolean {
    const { directory, evacuations } = this.parts;
    const dataCentre = directory.findDataCentre(id);
    return dataCentre !== undefined && evacuations.isEvacuated(dataCentre);
  }

  /** True while the endpoint wants nothing from this instance, or its data centre is evacuated. */
  isPaused(id: string): boolean {
    return this.readPauseEnd(id) !== undefined;
  }

  /** True while nothing may be sent to the endpoint: it is paused, or its limit is used up. */
  isHeldBack(id: string): boolean {
    return this.readHoldEnd(id) !== undefined;
  }

  /** When something may be sent to the endpoint again; undefined if it may be now. */
  readHoldEnd(id: string): Moment | undefined {
    const pauseEnd = this.readPauseEnd(id);
    const denialEnd = this.parts.permits.readDenialEnd(id);
    if (pauseEnd === undefined || denialEnd === undefined) return pauseEnd ?? denialEnd;
    return Math.max(pauseEnd, denialEnd);
  }

  /**
   * When the pause of an endpoint ends; undefined if there is none. The end of an evacuation is not
   * known, so it is checked again after a while.
   */
  readPauseEnd(id: string): Moment | undefined {
    const askedEnd = this.readAskedPauseEnd(id);
    if (!this.isEvacuated(id)) return askedEnd;
    const checkAt = this.parts.clock.now() + EVACUATION_RETRY_MS;
    return askedEnd === undefined ? checkAt : Math.max(askedEnd, checkAt);
  }

  /** When the pause that an endpoint asked for ends; undefined if there is none. */
  private readAskedPauseEnd(id: string): Moment | undefined {
    const end = this.pauseEnds.get(id);
    if (end === undefined || end > this.parts.clock.now()) return end;
    this.pauseEnds.delete(id);
    return undefined;
  }

  /** Checks right before a send whether a caller's request may go to an endpoint. */
  isOpenForRequest(endpoint: EndpointEntry): boolean {
    return !this.isPaused(endpoint.id) && !this.parts.directory.hasLeft(endpoint);
  }

  /**
   * Computes how long it takes until something may be sent to the first of several endpoints.
   *
   * @returns milliseconds; undefined if it may be to at least one now, or there is none
   */
  computeSharedHoldMs(endpoints: readonly EndpointTarget[]): number | undefined {
    return this.computeLeastMs(endpoints.map(({ id }) => this.readHoldEnd(id)));
  }

  /**
   * Computes how long it takes until the first of several endpoints ends its pause.
   *
   * @returns milliseconds; undefined if at least one is not paused, or there is none
   */
  computeSharedPauseMs(endpoints: readonly EndpointTarget[]): number | undefined {
    return this.computeLeastMs(endpoints.map(({ id }) => this.readPauseEnd(id)));
  }

  /**
   * Forgets pauses and denials that are over, and the limits of endpoints that are gone. They outlast
   * the entry of an endpoint, which may lapse while the endpoint is up.
   */
  prune(isListed: (id: string) => boolean): void {
    for (const id of this.pauseEnds.keys()) this.readAskedPauseEnd(id);
    for (const id of this.unreadable.keys()) if (!isListed(id)) this.unreadable.delete(id);
    const { permits, sources, clock } = this.parts;
    const now = clock.now();
    permits.prune();
    sources.prune(isListed, now);
    for (const { id: endpoint, processStartedAt } of this.parts.directory.listAll()) {
      sources.pacing?.observe({ endpoint, processStartedAt }, now);
    }
  }

  private computeLeastMs(ends: readonly (Moment | undefined)[]): number | undefined {
    const known = ends.filter((end) => end !== undefined);
    if (known.length === 0 || known.length < ends.length) return undefined;
    return Math.ceil(Math.min(...known) - this.parts.clock.now());
  }

  private recordCold({ id: endpoint, processStartedAt }: EndpointTarget, coldMs: number): void {
    const { sources, clock, logger, onLimitChange } = this.parts;
    const now = clock.now();
    const word = { endpoint, processStartedAt, endsAt: now + coldMs, isOwn: true };
    if (!sources.cold.record(word, now)) return;
    logger.info("endpoint cold", { endpoint, remainingMs: coldMs, source: "response" });
    onLimitChange();
  }

  private reportUnreadable({ id, processStartedAt }: EndpointTarget, limit: string): void {
    if (this.unreadable.get(id) === processStartedAt) return;
    this.unreadable.set(id, processStartedAt);
    this.parts.logger.warn("endpoint limit unreadable", { endpoint: id, limit });
  }

  private recordPause(id: string, pauseMs: number): void {
    const ms = Math.min(pauseMs, MAX_PAUSE_MS);
    const end = this.parts.clock.now() + ms;
    const previousEnd = this.readAskedPauseEnd(id);
    if (previousEnd !== undefined && previousEnd >= end) return;
    this.pauseEnds.set(id, end);
    this.parts.sources.pacing?.recordPause(id);
    if (previousEnd === undefined) this.parts.logger.warn("endpoint paused", { endpoint: id, ms });
  }
}
