/**
 * Finds out at which software version a stream goes on that a caller takes up again. Where that is
 * not known, the request is refused as not run: never a guess.
 */
import * as E from "fp-ts/Either";
import { createNotRunRefusal, Reason, type Refusal } from "../../core/outcome";
import type { Clock, Moment } from "../../core/clock";
import { waitAtMost } from "../../core/readfirst";
import type { EndpointDirectory } from "../../fleet/directory";
import type { HistoryReader } from "../../fleet/historyreader";
import type { VersionHistory } from "../../fleet/versionhistory";
import type { Logger } from "../../core/log";
import type { ForwardRequest, RequestHead, Meter } from "../requests";
import {
  type StreamOrigin,
  type ConfirmedList,
  type FoundOrigin,
  CLOCK_TOLERANCE_MS,
  FAILED_READ_PAUSE_MS,
  type OpenQuestions,
  type ListConfirmer,
  OriginSource,
  type SharedOrigins,
  type StoredOrigins,
  type StreamName,
  confirmOrigin,
  dropVersion,
} from "../shared";
import { type FoundWriter, type TakeUpCheck, WriterState } from "./takeupcheck";

/**
 * How long after the end of a caller's request it may take up the stream again, in milliseconds:
 * enough for several of its pauses between tries.
 */
export const MAX_RETURN_MS = 2000;
/** Retry delay where an instance or the store, which may know, did not answer, in milliseconds. */
const UNCLEAR_RETRY_MS = FAILED_READ_PAUSE_MS;

/**
 * How long a request waits for the store, in milliseconds; a read that takes longer goes on for the
 * caller's next try.
 */
const STORE_TIMEOUT_MS = 150;

/** A generation to run, with the origin of its stream if a caller takes one up again. */
export interface StreamStart {
  readonly request: ForwardRequest;
  readonly origin: StreamOrigin | undefined;
}

/** Dependencies of the resolver. */
export interface ResumeParts {
  readonly sharedOrigins: SharedOrigins;
  readonly storedOrigins: StoredOrigins;
  readonly directory: EndpointDirectory;
  readonly versionHistory: VersionHistory;
  readonly historyReader: HistoryReader;
  readonly listConfirmer: ListConfirmer;
  readonly takeUpCheck: TakeUpCheck;
  readonly openQuestions: OpenQuestions;
  readonly clock: Clock;
  readonly readWallClock: () => number;
  readonly meter: Meter;
  readonly logger: Logger;
}

/** Resolves requests that take up a stream. */
export class ResumeResolver {
  constructor(private readonly parts: ResumeParts) {}

  /** Finds the origin of the stream that a request takes up, or refuses the request. */
  async resolve(request: ForwardRequest): Promise<E.Either<Refusal, StreamStart>> {
    if (!isResume(request.head)) return E.right({ request, origin: undefined });
    const { directory, clock } = this.parts;
    const found = await this.find(request, clock.now());
    if (found.origin !== undefined) await this.refreshList(found.origin);
    const listed =
      found.origin && confirmOrigin(found.origin, directory.processes.list(found.origin.endpoint));
    const { writer, startedAt } = await this.findWriter(request, listed);
    const isOther = listed !== undefined && writer === WriterState.other;
    const origin = isOther ? this.dropVersion(request, listed, startedAt) : listed;
    this.report(request, found, { origin, writer });
    if (origin?.version === undefined) {
      return E.left(createUnknownOriginRefusal(found.source, found.unclearForMs));
    }
    if (writer === WriterState.unsettled) {
      const settledInMs = this.parts.takeUpCheck.computeSettledInMs(origin);
      return E.left(createUnknownOriginRefusal(OriginSource.unclear, settledInMs));
    }
    const isServed = request.route.services.some(({ service }) => service === origin.service);
    if (!isServed) return E.left(createUnknownOriginRefusal(OriginSource.nowhere));
    return E.right({ request: { ...request, service: origin.service }, origin });
  }

  /** Finds out whether the engine that an origin names as listed began the stream. */
  private async findWriter(
    { head }: ForwardRequest,
    origin: StreamOrigin | undefined,
  ): Promise<FoundWriter> {
    if (origin?.version === undefined || origin.endpoint === "")
      return { writer: WriterState.settled };
    return await this.parts.takeUpCheck.check(origin, head.id);
  }

  /** Has nobody go on with a stream that a process of unknown version began. */
  private dropVersion(
    request: ForwardRequest,
    origin: StreamOrigin,
    startedAt: number | undefined,
  ): StreamOrigin {
    const dropped = dropVersion(origin, startedAt);
    const stream = getStreamName(request);
    if (stream !== undefined) this.parts.sharedOrigins.withdraw({ stream, origin: dropped });
    return dropped;
  }

  /** Asks memory and peers, then the own watch and the store. */
  private async find(request: ForwardRequest, arrivedAt: Moment): Promise<FoundOrigin> {
    const stream = getStreamName(request);
    const shared = stream && (await this.parts.sharedOrigins.find(stream));
    if (shared?.origin !== undefined) return shared;
    const { listConfirmer } = this.parts;
    const confirming = waitAtMost(listConfirmer.confirm(arrivedAt), STORE_TIMEOUT_MS);
    const watched = await this.findByOnlyVersion(request, arrivedAt, confirming);
    if (watched !== undefined) return watched;
    const stored = await this.findInStore(stream, confirming);
    if (stored.origin !== undefined) return stored;
    const proven = await this.findByOnlyVersion(request, arrivedAt, confirming);
    if (proven !== undefined) return proven;
    const source = shared?.source ?? stored.source;
    return stored.source === OriginSource.unclear ? stored : { ...stored, source };
  }

  /** Reads the list again if it is older than the stream: it may name another process of its engine. */
  private async refreshList({ endpoint, beganAt }: StreamOrigin): Promise<void> {
    const { listConfirmer, clock, readWallClock } = this.parts;
    if (endpoint === "") return;
    const ageMs = Math.max(0, readWallClock() - beganAt - CLOCK_TOLERANCE_MS);
    await listConfirmer.refresh(clock.now() - ageMs);
  }

  /** Reads the store's records of origins and, for what the own watch lacks, its history of the list. */
  private async findInStore(
    stream: StreamName | undefined,
    confirming: Promise<ConfirmedList | undefined>,
  ): Promise<FoundOrigin> {
    const { storedOrigins } = this.parts;
    const [stored, isHistoryRead, confirmed] = await Promise.all([
      stream && waitAtMost(storedOrigins.find(stream), STORE_TIMEOUT_MS),
      this.readHistory(confirming),
      confirming,
    ]);
    const origin = stored?.origin;
    if (confirmed !== undefined && origin !== undefined && this.isEngineKnown(origin)) {
      return { origin, source: OriginSource.store };
    }
    const isRead = isHistoryRead && (stream === undefined || stored?.isRead === true);
    const source = isRead ? OriginSource.nowhere : OriginSource.unclear;
    return { origin: undefined, source, ...(confirmed && { confirmed }) };
  }

  /** Reads the history once the store has answered: a gap in the watch is known only then. */
  private async readHistory(confirming: Promise<ConfirmedList | undefined>): Promise<boolean> {
    if ((await confirming) === undefined) return false;
    return (await waitAtMost(this.parts.historyReader.read(), STORE_TIMEOUT_MS)) ?? false;
  }

  /**
   * Checks whether it is known which processes the engine of an origin has had since the stream began:
   * it is still the same one, or the list was watched since.
   */
  private isEngineKnown({ endpoint, processStartedAt, beganAt }: StreamOrigin): boolean {
    const { directory, versionHistory, clock, readWallClock } = this.parts;
    if (directory.find(endpoint)?.processStartedAt === processStartedAt) return true;
    return versionHistory.computeWatchedMs(clock.now()) >= readWallClock() - beganAt;
  }

  /**
   * Assumes the only version that the service has had while any stream of the route may have begun, up
   * to the arrival of the request; only a read of the list that began later shows that. While it is asked
   * here who began a stream of the service, or it is not read what was known before this instance started,
   * it is unclear.
   */
  private async findByOnlyVersion(
    request: ForwardRequest,
    arrivedAt: Moment,
    confirming: Promise<ConfirmedList | undefined>,
  ): Promise<FoundOrigin | undefined> {
    if (this.findOnlyVersion(request, arrivedAt) === undefined) return undefined;
    const { service } = request;
    const { openQuestions, storedOrigins } = this.parts;
    const [unclearForMs, isKnown, confirmed] = await Promise.all([
      openQuestions.wait(service, { request: request.head.resumedId }),
      waitAtMost(storedOrigins.readBefore(computeTakeUpMs(request)), STORE_TIMEOUT_MS),
      confirming,
    ]);
    const version = this.findOnlyVersion(request, arrivedAt);
    if (version === undefined || confirmed === undefined) return undefined;
    const unclear = { origin: undefined, source: OriginSource.unclear, confirmed };
    if (unclearForMs > 0) return { ...unclear, unclearForMs };
    if (isKnown !== true) return unclear;
    const origin = { service, version, endpoint: "", processStartedAt: 0, beganAt: 0 };
    return { origin, source: OriginSource.onlyVersion, confirmed };
  }

  private findOnlyVersion(
    { route, service }: ForwardRequest,
    arrivedAt: Moment,
  ): string | undefined {
    if (route.services.length > 1) return undefined;
    return this.parts.versionHistory.findOnly(service, computeTakeUpMs({ route }), arrivedAt);
  }

  private report(
    { head, service }: ForwardRequest,
    { source, confirmed, unclearForMs }: FoundOrigin,
    { origin, writer }: { readonly origin: StreamOrigin | undefined; readonly writer: WriterState },
  ): void {
    const { meter, logger, versionHistory, directory, clock } = this.parts;
    const now = clock.now();
    meter.resumed.inc({ service, source });
    const isUnconfirmed = source === OriginSource.unclear && confirmed === undefined;
    if (isUnconfirmed) meter.unconfirmedTakeUps.inc({ service });
    logger.info("resume", {
      request: head.id,
      resumedId: head.resumedId?.slice(0, 64),
      lastEvent: head.lastEventId?.slice(0, 64),
      source,
      version: origin?.version,
      engine: origin?.endpoint,
      writer,
      unclearForMs,
      streamAgeMs: origin && Math.round(this.parts.readWallClock() - origin.beganAt),
      watchedMs: Math.round(versionHistory.computeWatchedMs(now)),
      observedAgeMs: Math.round(versionHistory.computeAgeMs(now)),
      listOffset: directory.next.offset,
      confirmedAgeMs: confirmed && Math.round(now - confirmed.readAt),
    });
  }
}

/** The name of the stream that a request takes up; undefined if it does not say. */
function getStreamName({ head, workspace }: ForwardRequest): StreamName | undefined {
  if (head.resumedId === undefined) return undefined;
  return { workspace: workspace?.name ?? "", request: head.resumedId };
}

/** Computes for how long after its first event a stream of a route may be taken up, in milliseconds. */
function computeTakeUpMs({ route }: Pick<ForwardRequest, "route">): number {
  return route.timeoutMs + MAX_RETURN_MS;
}

/** Checks whether a request takes up a stream; either header alone says so. */
function isResume({ resumedId, lastEventId }: RequestHead): boolean {
  return resumedId !== undefined || lastEventId !== undefined;
}

function createUnknownOriginRefusal(
  source: OriginSource,
  unclearForMs = UNCLEAR_RETRY_MS,
): Refusal {
  const message = "it is not known which version began the stream";
  const retryAfterMs = source === OriginSource.unclear ? unclearForMs : undefined;
  return createNotRunRefusal(503, Reason.unknownStream, message, retryAfterMs);
}
