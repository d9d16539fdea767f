/**
 * The way to other instances: gRPC with a deadline on every call, and a new connection after one
 * that went silent.
 */
import {
  type CallOptions,
  type ChannelOptions,
  type ClientDuplexStream,
  credentials,
  Metadata,
  type ServiceError,
  status,
} from "@grpc/grpc-js";
import * as E from "fp-ts/Either";
import type * as TE from "fp-ts/TaskEither";
import {
  type BookReply,
  type BookRequest,
  type ChargeReply,
  type ChargeRequest,
  type HandOverReply,
  type HandOverRequest,
  type HeartbeatMessage,
  type LendReply,
  type LendRequest,
  PeerClient,
  type PullReply,
  type PullRequest,
  type SettleReply,
  type SettleRequest,
  type StatusReply,
} from "./gen/peer";

const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

/** Options of every channel: own connections, no retries by the library, silence noticed. */
export const CHANNEL_OPTIONS: ChannelOptions = {
  "grpc.use_local_subchannel_pool": 1,
  "grpc.enable_retries": 0,
  "grpc.service_config_disable_resolution": 1,
  "grpc.keepalive_time_ms": 2000,
  "grpc.keepalive_timeout_ms": 1000,
  "grpc.keepalive_permit_without_calls": 1,
  "grpc.initial_reconnect_backoff_ms": 100,
  "grpc.max_reconnect_backoff_ms": 1000,
  "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
  "grpc.max_send_message_length": MAX_MESSAGE_BYTES,
};

/** A call to a peer that got no answer; the peer may have acted on it. */
export class PeerError extends Error {
  override readonly name = "PeerError";
}

/** A stream to the keeper of a pool's book. */
export type BookClientStream = ClientDuplexStream<BookRequest, BookReply>;

/** What one instance asks of another, by the other's address. */
export interface PeerTransport {
  heartbeat(
    address: string,
    message: HeartbeatMessage,
    timeoutMs: number,
  ): TE.TaskEither<PeerError, HeartbeatMessage>;
  pull(
    address: string,
    request: PullRequest,
    timeoutMs: number,
  ): TE.TaskEither<PeerError, PullReply>;
  charge(
    address: string,
    request: ChargeRequest,
    timeoutMs: number,
  ): TE.TaskEither<PeerError, ChargeReply>;
  lend(
    address: string,
    request: LendRequest,
    timeoutMs: number,
  ): TE.TaskEither<PeerError, LendReply>;
  settle(
    address: string,
    request: SettleRequest,
    timeoutMs: number,
  ): TE.TaskEither<PeerError, SettleReply>;
  handOver(
    address: string,
    request: HandOverRequest,
    timeoutMs: number,
  ): TE.TaskEither<PeerError, HandOverReply>;
  readStatus(address: string, timeoutMs: number): TE.TaskEither<PeerError, StatusReply>;
  openBookStream(address: string): BookClientStream;
  close(): void;
}

type Callback<R> = (error: ServiceError | null, reply: R) => void;

/** Peers over gRPC. */
export class GrpcPeerTransport implements PeerTransport {
  private readonly clients = new Map<string, PeerClient>();

  heartbeat(
    address: string,
    message: HeartbeatMessage,
    timeoutMs: number,
  ): TE.TaskEither<PeerError, HeartbeatMessage> {
    return this.call(address, timeoutMs, (client, metadata, options, done) =>
      client.heartbeat(message, metadata, options, done),
    );
  }

  pull(
    address: string,
    request: PullRequest,
    timeoutMs: number,
  ): TE.TaskEither<PeerError, PullReply> {
    return this.call(address, timeoutMs, (client, metadata, options, done) =>
      client.pull(request, metadata, options, done),
    );
  }

  charge(
    address: string,
    request: ChargeRequest,
    timeoutMs: number,
  ): TE.TaskEither<PeerError, ChargeReply> {
    return this.call(address, timeoutMs, (client, metadata, options, done) =>
      client.charge(request, metadata, options, done),
    );
  }

  lend(
    address: string,
    request: LendRequest,
    timeoutMs: number,
  ): TE.TaskEither<PeerError, LendReply> {
    return this.call(address, timeoutMs, (client, metadata, options, done) =>
      client.lend(request, metadata, options, done),
    );
  }

  settle(
    address: string,
    request: SettleRequest,
    timeoutMs: number,
  ): TE.TaskEither<PeerError, SettleReply> {
    return this.call(address, timeoutMs, (client, metadata, options, done) =>
      client.settle(request, metadata, options, done),
    );
  }

  handOver(
    address: string,
    request: HandOverRequest,
    timeoutMs: number,
  ): TE.TaskEither<PeerError, HandOverReply> {
    return this.call(address, timeoutMs, (client, metadata, options, done) =>
      client.handOver(request, metadata, options, done),
    );
  }

  readStatus(address: string, timeoutMs: number): TE.TaskEither<PeerError, StatusReply> {
    return this.call(address, timeoutMs, (client, metadata, options, done) =>
      client.status({}, metadata, options, done),
    );
  }

  openBookStream(address: string): BookClientStream {
    return this.findClient(address).book();
  }

  close(): void {
    for (const client of this.clients.values()) client.close();
    this.clients.clear();
  }

  private call<R>(
    address: string,
    timeoutMs: number,
    send: (
      client: PeerClient,
      metadata: Metadata,
      options: CallOptions,
      done: Callback<R>,
    ) => unknown,
  ): TE.TaskEither<PeerError, R> {
    return () =>
      new Promise((resolve) => {
        const client = this.findClient(address);
        send(client, new Metadata(), { deadline: Date.now() + timeoutMs }, (error, reply) => {
          if (error === null) {
            resolve(E.right(reply));
            return;
          }
          if (error.code === status.DEADLINE_EXCEEDED) this.dropClient(address, client);
          resolve(E.left(new PeerError(error.message)));
        });
      });
  }

  private findClient(address: string): PeerClient {
    const known = this.clients.get(address);
    if (known !== undefined) return known;
    const client = new PeerClient(address, credentials.createInsecure(), CHANNEL_OPTIONS);
    this.clients.set(address, client);
    return client;
  }

  /** The connection may have gone silent for good: the next call opens a new one. */
  private dropClient(address: string, client: PeerClient): void {
    if (this.clients.get(address) !== client) return;
    this.clients.delete(address);
    client.close();
  }
}
