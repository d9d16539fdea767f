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
  type RememberRequest,
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
  ): Promise<boolean> {
    const address = this.members.findAddress(instance);
    if (address === undefined) return false;
    const request = { origins: origins.map(encodeNamedOrigin) };
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
 * Keeps the origins that a peer shares.
 *
 * @example
 * keepOrigins(origins, request, clock.now());
 */
export function keepOrigins(origins: StreamOrigins, request: RememberRequest, now: Moment): void {
  for (const { stream, origin } of request.origins) {
    if (stream === undefined || origin === undefined) continue;
    origins.record({ stream, origin: decodeOrigin(origin) }, now);
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
