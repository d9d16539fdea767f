/**
 * Messages that carry the bytes of a connection between two instances.
 */
import { ConnectionEnder } from "../../core/connectionender";
import { TunnelData } from "../../peer/gen/fleet";
import { TunnelFailureKind } from "./openers";

/**
 * Maximum number of bytes in one message. gRPC buffers up to 16 messages a stream in each direction,
 * whatever their size.
 */
const MAX_CHUNK_BYTES = 16 * 1024;

/** The message that says that its sender sends no more bytes. */
export const END_MESSAGE: TunnelData = TunnelData.create({ end: true });
/**
 * Creates the message that says that the endpoint sends no more bytes.
 *
 * @param takenBytes - how many bytes of the caller's the endpoint's connection has taken before
 * @example
 * call.write(createEndMessage(20_000));
 */
export function createEndMessage(takenBytes: number): TunnelData {
  return TunnelData.create({ end: true, takenBytes, endedBy: ConnectionEnder.endpoint });
}
/** The message that says that the peer is told to stop. */
export const LEAVING_MESSAGE: TunnelData = TunnelData.create({ leaving: true });
/** The message that says that the peer has stopped: whatever is under way breaks. */
export const STOPPED_MESSAGE: TunnelData = TunnelData.create({ endedBy: ConnectionEnder.relay });
/** The reply that says that the connection is open. */
export const OPENED_MESSAGE: TunnelData = TunnelData.create({ opened: true });

const failureKinds: ReadonlyMap<string, TunnelFailureKind> = new Map(
  Object.values(TunnelFailureKind).map((kind) => [kind, kind]),
);

/**
 * Encodes bytes as messages of limited size, in their order; at least one.
 *
 * @example
 * encodeBytes(Buffer.alloc(20_000)).length; // 2
 */
export function encodeBytes(bytes: Uint8Array): readonly TunnelData[] {
  const messages = [TunnelData.create({ data: bytes.subarray(0, MAX_CHUNK_BYTES) })];
  for (let start = MAX_CHUNK_BYTES; start < bytes.length; start += MAX_CHUNK_BYTES) {
    messages.push(TunnelData.create({ data: bytes.subarray(start, start + MAX_CHUNK_BYTES) }));
  }
  return messages;
}

/**
 * Decodes the first reply: undefined where the connection is open, else why it is not. A kind that
 * this build does not know counts as unreachable, so that the caller tries another way.
 *
 * @example
 * decodeFailure(OPENED_MESSAGE); // undefined
 */
export function decodeFailure({ opened, failure }: TunnelData): TunnelFailureKind | undefined {
  if (opened) return undefined;
  return failureKinds.get(failure) ?? TunnelFailureKind.unreachable;
}
