/**
 * Records with a service that a process of unknown version began a stream of it, so that nobody takes the only version
 * that the list names for that of a stream whose name its caller does not tell.
 */
import type { Clock } from "../../core/clock";
import type { Logger } from "../../core/log";
import type { VersionHistory } from "../../fleet/versionhistory";
import type { Meter } from "../requests";
import type { StreamOrigin } from "./origins";

/** Dependencies of the recorder. */
export interface UnknownOriginParts {
  readonly versionHistory: VersionHistory;
  /** Computes how long callers may take up a stream of a service after it began, in milliseconds. */
  readonly computeStreamMs: (service: string) => number;
  readonly clock: Clock;
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
  record({ service, endpoint, processStartedAt }: StreamOrigin): void {
    const { versionHistory, computeStreamMs, clock, meter, logger } = this.parts;
    const now = clock.now();
    const streamMs = computeStreamMs(service);
    const isNew = !versionHistory.hasUnknown(service, streamMs, now);
    versionHistory.recordUnknown(service, now, now + streamMs);
    meter.unknownOrigins.inc({ service });
    if (!isNew) return;
    logger.warn("unknown version", {
      service,
      engine: endpoint,
      processStartedAt,
      forMs: streamMs,
    });
  }
}
