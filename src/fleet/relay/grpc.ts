/**
 * Relay streams over gRPC. Messages are encoded by their senders, so that one that goes to several
 * neighbours is encoded once.
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
    const stream = new GrpcRelayStream(call, () => {
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
  const stream = new GrpcRelayStream(call, () => undefined);
  stream.listen(accept(stream));
}

/** One side of a stream. */
class GrpcRelayStream implements RelayStream {
  private isBlocked = false;
  private isOver = false;

  constructor(
    private readonly call: ClientDuplexStream<Uint8Array, ReceivedMessage> | RelayCall,
    private readonly release: () => void,
  ) {}

  listen(listener: RelayListener): void {
    const { call } = this;
    const finish = (isGraceful: boolean) => {
      if (this.isOver) return;
      this.end();
      listener.onClosed(isGraceful);
    };
    call.on("data", ({ message, bytes }: ReceivedMessage) => {
      if (!this.isOver) listener.onMessage(message, bytes);
    });
    call.on("drain", () => {
      this.isBlocked = false;
    });
    call.on("end", () => {
      finish(true);
    });
    call.on("error", () => {
      finish(false);
    });
    call.on("cancelled", () => {
      finish(false);
    });
    call.on("close", () => {
      finish(false);
    });
  }

  send(message: Uint8Array): void {
    if (this.isOver) return;
    this.isBlocked = !(this.call as ClientDuplexStream<Uint8Array, ReceivedMessage>).write(message);
  }

  isWritable(): boolean {
    return !this.isOver && !this.isBlocked;
  }

  close(): void {
    this.end();
  }

  private end(): void {
    if (this.isOver) return;
    this.isOver = true;
    this.call.end();
    this.release();
  }
}
