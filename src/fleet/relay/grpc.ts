/**
 * Relay streams over gRPC. Messages are encoded by their senders, so that one that goes to several
 * neighbours is encoded once.
 *
 * Each side ends a stream by a word of its own: the serving side by the status of the call, the opener by a goodbye,
 * since the end of its direction alone also comes from the machine of a process that died.
 */
import {
  Client,
  type ClientDuplexStream,
  credentials,
  type MethodDefinition,
  type ServerDuplexStream,
} from "@grpc/grpc-js";
import { FleetService, RelayMessage } from "../../peer/gen/fleet";
import { QUIET_CHANNEL_OPTIONS } from "../../peer/transport";
import type { RelayListener, RelayStream } from "./transport";

/** A message that was received, with its size. */
interface ReceivedMessage {
  readonly message: RelayMessage;
  readonly bytes: number;
}

const serialize = (message: Uint8Array): Buffer => Buffer.from(message);
const deserialize = (bytes: Buffer): ReceivedMessage => ({
  message: RelayMessage.decode(bytes),
  bytes: bytes.length,
});

/** The word by which an opener ends its stream; builds that don't know it find an empty message. */
const GOODBYE = RelayMessage.encode(RelayMessage.fromPartial({ goodbye: true })).finish();

/** The call of relay streams, with encoded messages. */
export const RELAY_DEFINITION: MethodDefinition<Uint8Array, ReceivedMessage> = {
  path: FleetService.relay.path,
  requestStream: true,
  responseStream: true,
  requestSerialize: serialize,
  requestDeserialize: deserialize as unknown as (bytes: Buffer) => Uint8Array,
  responseSerialize: serialize as unknown as (message: ReceivedMessage) => Buffer,
  responseDeserialize: deserialize,
};

/** The server side of a relay stream. */
export type RelayCall = ServerDuplexStream<ReceivedMessage, Uint8Array>;

/**
 * Opens a stream on a connection of its own.
 *
 * @returns undefined if the address, which a peer has named, can't be parsed
 * @example
 * const stream = openRelayStream("127.0.0.1:7500", listener);
 */
export function openRelayStream(address: string, listener: RelayListener): RelayStream | undefined {
  try {
    const client = new Client(address, credentials.createInsecure(), QUIET_CHANNEL_OPTIONS);
    const call: ClientDuplexStream<Uint8Array, ReceivedMessage> = client.makeBidiStreamRequest(
      RELAY_DEFINITION.path,
      RELAY_DEFINITION.requestSerialize,
      RELAY_DEFINITION.responseDeserialize,
    );
    const stream = new OpenedStream(call, () => {
      client.close();
    });
    stream.listen(listener);
    return stream;
  } catch {
    return undefined;
  }
}

/**
 * Serves a stream that a peer opened.
 *
 * @example
 * serveRelayStream(call, (stream) => network.accept(stream));
 */
export function serveRelayStream(
  call: RelayCall,
  accept: (stream: RelayStream) => RelayListener,
): void {
  const stream = new ServedStream(call, () => undefined);
  stream.listen(accept(stream));
}

/** One side of a stream. */
abstract class GrpcRelayStream implements RelayStream {
  private isBlocked = false;
  private isOver = false;
  private hasGoodbye = false;

  constructor(
    private readonly call: ClientDuplexStream<Uint8Array, ReceivedMessage> | RelayCall,
    private readonly release: () => void,
  ) {}

  /** Says that this side ends the stream. */
  protected abstract sayGoodbye(): void;

  /** Checks whether the end of the call, without an error, is the peer's own word. */
  protected abstract isEndedByPeer(hasGoodbye: boolean): boolean;

  listen(listener: RelayListener): void {
    const { call } = this;
    const finish = (isGraceful: boolean) => {
      if (this.isOver) return;
      this.end();
      listener.onClosed(isGraceful);
    };
    const breakOff = () => {
      finish(this.hasGoodbye);
    };
    call.on("data", ({ message, bytes }: ReceivedMessage) => {
      if (message.goodbye) this.hasGoodbye = true;
      else if (!this.isOver) listener.onMessage(message, bytes);
    });
    call.on("drain", () => {
      this.isBlocked = false;
    });
    call.on("end", () => {
      finish(this.isEndedByPeer(this.hasGoodbye));
    });
    for (const event of ["error", "cancelled", "close"]) call.on(event, breakOff);
  }

  send(message: Uint8Array): void {
    if (this.isOver) return;
    this.isBlocked = !(this.call as ClientDuplexStream<Uint8Array, ReceivedMessage>).write(message);
  }

  isWritable(): boolean {
    return !this.isOver && !this.isBlocked;
  }

  close(): void {
    if (this.isOver) return;
    this.sayGoodbye();
    this.end();
  }

  private end(): void {
    if (this.isOver) return;
    this.isOver = true;
    this.call.end();
    this.release();
  }
}

/** The side that opened the stream. */
class OpenedStream extends GrpcRelayStream {
  protected sayGoodbye(): void {
    this.send(GOODBYE);
  }

  /** Without an error the call ends only by a status, which the serving process writes itself. */
  protected isEndedByPeer(): boolean {
    return true;
  }
}

/** The side that serves the stream. */
class ServedStream extends GrpcRelayStream {
  /** The end of the call carries its status. */
  protected sayGoodbye(): void {
    return undefined;
  }

  /** An opener of a build without a goodbye counts as lost, which a stream of its that follows takes back. */
  protected isEndedByPeer(hasGoodbye: boolean): boolean {
    return hasGoodbye;
  }
}
