/**
 * Carries the origins of streams between instances over gRPC.
 */
import type { Moment } from "../../core/clock";
import type { MemberList } from "../../fleet/members";
import type { GrpcFleetTransport } from "../../fleet/transport";
import {
  type NamedOrigin as NamedOriginMessage,
  type RecallReply,
  type RecallRequest,
  RememberRequest,
  type StreamOrigin as StreamOriginMessage,
} from "../../peer/gen/fleet";
import type { NamedOrigin, StreamName, StreamOrigin, StreamOrigins } from "./origins";
import type { OriginTransport, RecalledOrigin } from "./sharedorigins";

/** Calls the instances that keep origins. */
export class PeerOriginTransport implements OriginTransport {
  constructor(
    private readonly members: MemberList,
    private readonly transport: GrpcFleetTransport,
  ) {}

  async remember(
    instance: string,
    origins: readonly NamedOrigin[],
    timeoutMs: number,
    forStore: boolean,
  ): Promise<boolean> {
    const address = this.members.findAddress(instance);
    if (address === undefined) return false;
    const request = { origins: origins.map(encodeNamedOrigin), forStore };
    return (await this.transport.remember(address, request, timeoutMs)) !== undefined;
  }

  async recall(
    instance: string,
    stream: StreamName,
    timeoutMs: number,
  ): Promise<RecalledOrigin | undefined> {
    const address = this.members.findAddress(instance);
    if (address === undefined) return undefined;
    const reply = await this.transport.recall(address, { stream }, timeoutMs);
    return reply && { origin: reply.origin && decodeOrigin(reply.origin) };
  }
}

/**
 * Keeps the origins that a peer shares, and has those stored that are for the store.
 *
 * @example
 * keepOrigins(origins, request, clock.now(), (named) => writer.add(named));
 */
export function keepOrigins(
  origins: StreamOrigins,
  request: RememberRequest,
  now: Moment,
  store: (named: readonly NamedOrigin[]) => void,
): void {
  const named = request.origins.flatMap(decodeNamedOrigin);
  for (const one of named) origins.record(one, now);
  if (request.forStore) store(named);
}

/**
 * Encodes origins for a record of the store.
 *
 * @example
 * await log.append(encodeOrigins([{ stream, origin }]))();
 */
export function encodeOrigins(origins: readonly NamedOrigin[]): Buffer {
  const message = { origins: origins.map(encodeNamedOrigin), forStore: false };
  return Buffer.from(RememberRequest.encode(message).finish());
}

/**
 * Decodes the origins in a record of the store; undefined if it can't be read.
 *
 * @example
 * decodeOrigins(encodeOrigins(origins)); // origins
 */
export function decodeOrigins(value: Uint8Array): readonly NamedOrigin[] | undefined {
  try {
    return RememberRequest.decode(value).origins.flatMap(decodeNamedOrigin);
  } catch {
    return undefined;
  }
}

/**
 * Answers a peer's lookup from what is known here.
 *
 * @example
 * answerRecall(origins, request, clock.now()).origin;
 */
export function answerRecall(
  origins: StreamOrigins,
  { stream }: RecallRequest,
  now: Moment,
): RecallReply {
  const origin = stream && origins.find(stream, now);
  return { origin: origin && encodeOrigin(origin) };
}

function encodeNamedOrigin({ stream, origin }: NamedOrigin): NamedOriginMessage {
  return { stream, origin: encodeOrigin(origin) };
}

function encodeOrigin({ version, ...origin }: StreamOrigin): StreamOriginMessage {
  return { ...origin, ...(version === undefined ? {} : { version }) };
}

function decodeOrigin(message: StreamOriginMessage): StreamOrigin {
  const { service, version, endpoint, processStartedAt, beganAt } = message;
  return { service, version, endpoint, processStartedAt, beganAt };
}

function decodeNamedOrigin({ stream, origin }: NamedOriginMessage): readonly NamedOrigin[] {
  if (stream === undefined || origin === undefined) return [];
  return [{ stream, origin: decodeOrigin(origin) }];
}
