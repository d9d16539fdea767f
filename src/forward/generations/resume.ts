/**
 * Finds out at which software version a stream goes on that a caller takes up again. Where that is
 * not known, the request is refused as not run: never a guess.
 */
import * as E from "fp-ts/Either";
import { createNotRunRefusal, Reason, type Refusal } from "../../core/outcome";
import type { Clock } from "../../core/clock";
import type { EndpointDirectory } from "../../fleet/directory";
import type { VersionHistory } from "../../fleet/versionhistory";
import type { Logger } from "../../core/log";
import type { ForwardRequest, RequestHead, Meter } from "../requests";
import {
  type StreamOrigin,
  type FoundOrigin,
  OriginSource,
  type SharedOrigins,
  confirmOrigin,
} from "../shared";

/**
 * How long after the end of a caller's request it may take up the stream again, in milliseconds:
 * enough for several of its pauses between tries.
 */
const MAX_RETURN_MS = 2000;
/** Retry delay where an instance that may know the stream did not answer, in milliseconds. */
const UNCLEAR_RETRY_MS = 300;

/** A generation to run, with the origin of its stream if a caller takes one up again. */
export interface StreamStart {
  readonly request: ForwardRequest;
  readonly origin: StreamOrigin | undefined;
}

/** Dependencies of the resolver. */
export interface ResumeParts {
  readonly sharedOrigins: SharedOrigins;
  readonly directory: EndpointDirectory;
  readonly versionHistory: VersionHistory;
  readonly clock: Clock;
  readonly meter: Meter;
  readonly logger: Logger;
}

/** Resolves requests that take up a stream. */
export class ResumeResolver {
  constructor(private readonly parts: ResumeParts) {}

  /** Finds the origin of the stream that a request takes up, or refuses the request. */
  async resolve(request: ForwardRequest): Promise<E.Either<Refusal, StreamStart>> {
    if (!isResume(request.head)) return E.right({ request, origin: undefined });
    const { directory } = this.parts;
    const shared = await this.find(request);
    const found = shared.origin === undefined ? this.findByOnlyVersion(request, shared) : shared;
    const origin =
      found.origin && confirmOrigin(found.origin, directory.processes.list(found.origin.endpoint));
    this.report(request, found.source, origin);
    if (origin?.version === undefined) return E.left(createUnknownOriginRefusal(found.source));
    const isServed = request.route.services.some(({ service }) => service === origin.service);
    if (!isServed) return E.left(createUnknownOriginRefusal(OriginSource.nowhere));
    return E.right({ request: { ...request, service: origin.service }, origin });
  }

  private find({ head, workspace }: ForwardRequest): Promise<FoundOrigin> | FoundOrigin {
    if (head.resumedId === undefined) return { origin: undefined, source: OriginSource.nowhere };
    const stream = { workspace: workspace?.name ?? "", request: head.resumedId };
    return this.parts.sharedOrigins.find(stream);
  }

  /** Assumes the only version that the service has had while any stream of the route may have begun. */
  private findByOnlyVersion({ route, service }: ForwardRequest, shared: FoundOrigin): FoundOrigin {
    const { versionHistory, clock } = this.parts;
    const forMs = route.timeoutMs + MAX_RETURN_MS;
    const version = versionHistory.findOnly(service, forMs, clock.now());
    if (version === undefined || route.services.length > 1) return shared;
    const origin = { service, version, endpoint: "", processStartedAt: 0, beganAt: 0 };
    return { origin, source: OriginSource.onlyVersion };
  }

  private report(
    { head, service }: ForwardRequest,
    source: OriginSource,
    origin: StreamOrigin | undefined,
  ): void {
    const { meter, logger } = this.parts;
    meter.resumed.inc({ service, source });
    logger.info("resume", {
      request: head.id,
      resumedId: head.resumedId?.slice(0, 64),
      lastEvent: head.lastEventId?.slice(0, 64),
      source,
      version: origin?.version,
      engine: origin?.endpoint,
    });
  }
}

/** Checks whether a request takes up a stream; either header alone says so. */
function isResume({ resumedId, lastEventId }: RequestHead): boolean {
  return resumedId !== undefined || lastEventId !== undefined;
}

function createUnknownOriginRefusal(source: OriginSource): Refusal {
  const message = "it is not known which version began the stream";
  const retryAfterMs = source === OriginSource.unclear ? UNCLEAR_RETRY_MS : undefined;
  return createNotRunRefusal(503, Reason.unknownStream, message, retryAfterMs);
}
