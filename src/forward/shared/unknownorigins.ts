/**
 * Records with a service that a process of unknown version began a stream of it, so that nobody takes the only version
 * that the list names for that of a stream whose name its caller does not tell.
 */
import type { Clock, Moment } from "../../core/clock";
import type { Logger } from "../../core/log";
import type { VersionHistory } from "../../fleet/versionhistory";
import type { Meter } from "../requests";
import type { StreamOrigin } from "./origins";
import { canHaveBegun } from "./versions";

/**
 * Within which time after a stream's first event its engine has said which process it is, by the wall clock of another
 * instance, in milliseconds: the second of the question, and the clocks.
 */
const ANSWERED_WITHIN_MS = 1500;

/** Dependencies of the recorder. */
export interface UnknownOriginParts {
  readonly versionHistory: VersionHistory;
  /** Computes how long callers may take up a stream of a service after it began, in milliseconds. */
  readonly computeStreamMs: (service: string) => number;
  readonly clock: Clock;
  readonly readWallClock: () => number;
  readonly meter: Meter;
  readonly logger: Logger;
}

/** Records services at which a process of unknown version was. */
export class UnknownOrigins {
  constructor(private readonly parts: UnknownOriginParts) {}

  /**
   * Records an origin whose version turned out here or at a peer not to be known. The process was there up to now: it
   * answered just before, and the wall clocks of instances have no part in it.
   */
  record(origin: StreamOrigin): void {
    this.recordSeen(origin, this.parts.clock.now());
  }

  /** Records an origin without a version that was read from the store, unless nobody can take its stream up any more. */
  recordStored(origin: StreamOrigin): void {
    const { computeStreamMs, clock, readWallClock } = this.parts;
    const agoMs = Math.max(0, readWallClock() - origin.beganAt - ANSWERED_WITHIN_MS);
    if (agoMs <= computeStreamMs(origin.service)) this.recordSeen(origin, clock.now() - agoMs);
  }

  /** A process that started after the stream did not begin it, so it tells nothing of the service's versions. */
  private recordSeen(origin: StreamOrigin, seenAt: Moment): void {
    const { service, endpoint, processStartedAt, beganAt } = origin;
    if (!canHaveBegun(processStartedAt, beganAt)) return;
    const { versionHistory, computeStreamMs, clock, meter, logger } = this.parts;
    const streamMs = computeStreamMs(service);
    const isNew = !versionHistory.hasUnknown(service, streamMs, clock.now());
    const process = { endpoint, startedAt: processStartedAt };
    const isTold = endpoint !== "" && processStartedAt !== 0;
    versionHistory.recordUnknown(service, seenAt, seenAt + streamMs, isTold ? process : undefined);
    meter.unknownOrigins.inc({ service });
    if (!isNew) return;
    const agoMs = Math.round(clock.now() - seenAt);
    const fields = { service, engine: endpoint, processStartedAt, agoMs, forMs: streamMs };
    logger.warn("unknown version", fields);
  }
}
