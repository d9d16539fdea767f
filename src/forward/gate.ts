/**
 * Holds back what this instance would send to endpoints that asked for a pause or announced that
 * they leave. Every request and call to an endpoint passes here, whatever its purpose.
 */
import type { Clock, Moment } from "../core/clock";
import type { Logger } from "../core/log";
import type { EndpointDirectory, EndpointEntry } from "../fleet/directory";
import type { EndpointNotice } from "./messages";

/** The endpoint that a call is for. */
export interface EndpointTarget {
  readonly id: string;
  /** IP address and port. */
  readonly address: string;
}

/**
 * Longest pause that is honoured, in milliseconds; a longer one would take the endpoint out of
 * service because of one malformed response.
 */
const MAX_PAUSE_MS = 60_000;

/** Tracks pauses by endpoint id, and leaving endpoints in the directory. */
export class EndpointGate {
  private readonly pauseEnds = new Map<string, Moment>();

  constructor(
    private readonly directory: EndpointDirectory,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Applies what an endpoint said about itself in a response. */
  onNotice(target: EndpointTarget, { pauseMs, isLeaving }: EndpointNotice): void {
    if (pauseMs !== undefined) this.recordPause(target.id, pauseMs);
    if (!isLeaving) return;
    const entry = this.directory.find(target.id);
    if (entry === undefined || entry.address !== target.address) return;
    if (!this.directory.markLeaving(entry, this.clock.now())) return;
    this.logger.info("endpoint leaving", { endpoint: target.id, source: "response" });
  }

  /** True while the endpoint wants nothing from this instance. */
  isPaused(id: string): boolean {
    return this.readPauseEnd(id) !== undefined;
  }

  /** When the pause that an endpoint asked for ends; undefined if there is none. */
  readPauseEnd(id: string): Moment | undefined {
    const end = this.pauseEnds.get(id);
    if (end === undefined || end > this.clock.now()) return end;
    this.pauseEnds.delete(id);
    return undefined;
  }

  /** Checks right before a send whether a caller's request may go to an endpoint. */
  isOpenForRequest(endpoint: EndpointEntry): boolean {
    return !this.isPaused(endpoint.id) && !this.directory.hasLeft(endpoint);
  }

  /**
   * Computes how long it takes until the first of several endpoints accepts requests again.
   *
   * @returns milliseconds; undefined if at least one is not paused, or there is none
   */
  computeSharedPauseMs(endpoints: readonly EndpointTarget[]): number | undefined {
    if (endpoints.length === 0) return undefined;
    const now = this.clock.now();
    let least = Number.POSITIVE_INFINITY;
    for (const { id } of endpoints) {
      const end = this.readPauseEnd(id);
      if (end === undefined) return undefined;
      least = Math.min(least, end - now);
    }
    return Math.ceil(least);
  }

  private recordPause(id: string, pauseMs: number): void {
    const ms = Math.min(pauseMs, MAX_PAUSE_MS);
    const end = this.clock.now() + ms;
    const previousEnd = this.readPauseEnd(id);
    if (previousEnd !== undefined && previousEnd >= end) return;
    this.pauseEnds.set(id, end);
    if (previousEnd === undefined) this.logger.warn("endpoint paused", { endpoint: id, ms });
  }
}
