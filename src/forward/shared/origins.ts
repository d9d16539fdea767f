/**
 * Remembers which engine began a stream: what engines of different software versions write does not
 * fit together, so a stream may go on only at the version of its first event.
 */
import type { Moment } from "../../core/clock";

/** Names a stream by the request that brought its first event. */
export interface StreamName {
  /** The caller's workspace, so that no other one can speak for the stream; empty if there is none. */
  readonly workspace: string;
  /** Id of the caller's request. */
  readonly request: string;
}

/** The engine that wrote the first event of a stream. */
export interface StreamOrigin {
  readonly service: string;
  /** Version of the engine's software; undefined if it is not known, so that no engine can go on. */
  readonly version: string | undefined;
  /** Id of the engine; empty if only the version is known. */
  readonly endpoint: string;
  /** When the engine's process started, in milliseconds of its own wall clock. */
  readonly processStartedAt: number;
  /** When the first event arrived, in milliseconds of the wall clock of the instance. */
  readonly beganAt: number;
}

/** The origin of a stream, with the stream's name. */
export interface NamedOrigin {
  readonly stream: StreamName;
  readonly origin: StreamOrigin;
}

/** How long an origin is remembered, in milliseconds; longer than callers wait over all their tries. */
const MEMORY_MS = 60_000;
/** Maximum number of origins that are remembered: a minute of streams of a busy instance. */
const MAX_ORIGINS = 20_000;
/** Longest request id that is remembered; a longer one stays unknown. */
const MAX_ID_LENGTH = 128;

interface RememberedOrigin {
  readonly origin: StreamOrigin;
  readonly forgetAt: Moment;
}

/** The origins of streams that this instance knows. */
export class StreamOrigins {
  /** In the order in which they were recorded. */
  private readonly origins = new Map<string, RememberedOrigin>();

  /** @param onUnknown - called for each recorded origin whose version is not known */
  constructor(private readonly onUnknown: (origin: StreamOrigin) => void = () => undefined) {}

  /**
   * Records an origin. Where a name is used twice, for streams of different versions, nobody can tell
   * which of them goes on.
   */
  record({ stream, origin }: NamedOrigin, now: Moment): void {
    if (origin.version === undefined) this.onUnknown(origin);
    if (stream.request.length > MAX_ID_LENGTH) return;
    const key = createKey(stream);
    const known = this.find(stream, now);
    const isSame = known === undefined || isSameVersion(known, origin);
    this.origins.delete(key);
    const recorded = isSame ? origin : { ...origin, version: undefined };
    this.origins.set(key, { origin: recorded, forgetAt: now + MEMORY_MS });
    this.removeOld(now);
  }

  /** Finds the origin of a stream. */
  find(stream: StreamName, now: Moment): StreamOrigin | undefined {
    const known = this.origins.get(createKey(stream));
    return known !== undefined && known.forgetAt > now ? known.origin : undefined;
  }

  /** Number of origins that are remembered. */
  get size(): number {
    return this.origins.size;
  }

  private removeOld(now: Moment): void {
    for (const [key, { forgetAt }] of this.origins) {
      if (forgetAt > now && this.origins.size <= MAX_ORIGINS) return;
      this.origins.delete(key);
    }
  }
}

/**
 * Checks whether two origins have the same known version.
 *
 * @example
 * isSameVersion(origin, { ...origin, version: undefined }); // false
 */
export function isSameVersion(a: StreamOrigin, b: StreamOrigin): boolean {
  return a.version !== undefined && a.version === b.version && a.service === b.service;
}

/**
 * Drops the version of an origin, as another process than the listed one began the stream.
 *
 * @param processStartedAt - when that one started, by its own wall clock; undefined if it does not tell
 * @example
 * dropVersion(origin, 1700000009000).version; // undefined
 */
export function dropVersion(
  origin: StreamOrigin,
  processStartedAt: number | undefined,
): StreamOrigin {
  const isTold = processStartedAt !== undefined;
  return { ...origin, version: undefined, processStartedAt: isTold ? processStartedAt : 0 };
}

function createKey({ workspace, request }: StreamName): string {
  return JSON.stringify([workspace, request]);
}
