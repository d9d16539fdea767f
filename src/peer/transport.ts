/**
 * gRPC client for calls to other instances. Every unary call has a timeout; after a call exceeds
 * it, the next call opens a new connection, as the old one may have gone silent.
 */
import {
  type ChannelOptions,
  type ClientDuplexStream,
  type ClientUnaryCall,
  credentials,
  type ServiceError,
} from "@grpc/grpc-js";
import * as E from "fp-ts/Either";
import type * as TE from "fp-ts/TaskEither";
import { ReadFirstTimer } from "../core/readfirst";
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

/** Options of every channel: no connections shared with other channels, no retries by the library. */
const BASE_OPTIONS: ChannelOptions = {
  "grpc.use_local_subchannel_pool": 1,
  "grpc.enable_retries": 0,
  "grpc.service_config_disable_resolution": 1,
  "grpc.initial_reconnect_backoff_ms": 100,
  "grpc.max_reconnect_backoff_ms": 1000,
  "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
  "grpc.max_send_message_length": MAX_MESSAGE_BYTES,
};

/** Options with keep-alive pings, which detect a silent connection. */
export const CHANNEL_OPTIONS: ChannelOptions = {
  ...BASE_OPTIONS,
  "grpc.keepalive_time_ms": 2000,
  "grpc.keepalive_timeout_ms": 1000,
  "grpc.keepalive_permit_without_calls": 1,
};

/**
 * Options without pings, for connections whose users see silence themselves: every unary call between
 * forwarding instances has a timeout, after which its channel is replaced, and relay streams have
 * messages of their own. Pings of idle connections would wake each instance for each peer.
 */
export const QUIET_CHANNEL_OPTIONS: ChannelOptions = BASE_OPTIONS;

/** A call to a peer that got no reply; the peer may still have executed it. */
export class PeerError extends Error {
  override readonly name = "PeerError";
}

/** Client side of a book stream, on which grants are requested from the scheduler of a pool. */
export type BookClientStream = ClientDuplexStream<BookRequest, BookReply>;

/** Client for calls to other instances, by address. */
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

/** Peer transport over gRPC. */
export class GrpcPeerTransport implements PeerTransport {
  private readonly clients = new Map<string, PeerClient>();

  heartbeat(
    address: string,
    message: HeartbeatMessage,
    timeoutMs: number,
  ): TE.TaskEither<PeerError, HeartbeatMessage> {
    return this.call(address, timeoutMs, (client, callback) => client.heartbeat(message, callback));
  }

  pull(
    address: string,
    request: PullRequest,
    timeoutMs: number,
  ): TE.TaskEither<PeerError, PullReply> {
    return this.call(address, timeoutMs, (client, callback) => client.pull(request, callback));
  }

  charge(
    address: string,
    request: ChargeRequest,
    timeoutMs: number,
  ): TE.TaskEither<PeerError, ChargeReply> {
    return this.call(address, timeoutMs, (client, callback) => client.charge(request, callback));
  }

  lend(
    address: string,
    request: LendRequest,
    timeoutMs: number,
  ): TE.TaskEither<PeerError, LendReply> {
    return this.call(address, timeoutMs, (client, callback) => client.lend(request, callback));
  }

  settle(
    address: string,
    request: SettleRequest,
    timeoutMs: number,
  ): TE.TaskEither<PeerError, SettleReply> {
    return this.call(address, timeoutMs, (client, callback) => client.settle(request, callback));
  }

  handOver(
    address: string,
    request: HandOverRequest,
    timeoutMs: number,
  ): TE.TaskEither<PeerError, HandOverReply> {
    return this.call(address, timeoutMs, (client, callback) => client.handOver(request, callback));
  }

  readStatus(address: string, timeoutMs: number): TE.TaskEither<PeerError, StatusReply> {
    return this.call(address, timeoutMs, (client, callback) => client.status({}, callback));
  }

  openBookStream(address: string): BookClientStream {
    return this.findOrCreateClient(address).book();
  }

  close(): void {
    for (const client of this.clients.values()) client.close();
    this.clients.clear();
  }

  /**
   * Makes one call. A timer cancels it rather than the library's deadline, which follows the wall
   * clock and does not read sockets first.
   */
  private call<R>(
    address: string,
    timeoutMs: number,
    start: (client: PeerClient, callback: Callback<R>) => ClientUnaryCall,
  ): TE.TaskEither<PeerError, R> {
    return () =>
      new Promise((resolve) => {
        const client = this.tryFindClient(address);
        if (client === undefined) {
          resolve(E.left(new PeerError(`the address ${address} can't be used`)));
          return;
        }
        const call = start(client, (error, reply) => {
          timer.close();
          resolve(error === null ? E.right(reply) : E.left(new PeerError(error.message)));
        });
        const timer = new ReadFirstTimer(timeoutMs, () => {
          call.cancel();
          this.dropClient(address, client);
        });
      });
  }

  /** Returns undefined if the address, which the platform's list has named, can't be parsed. */
  private tryFindClient(address: string): PeerClient | undefined {
    try {
      return this.findOrCreateClient(address);
    } catch {
      return undefined;
    }
  }

  private findOrCreateClient(address: string): PeerClient {
    const existing = this.clients.get(address);
    if (existing !== undefined) return existing;
    const client = new PeerClient(address, credentials.createInsecure(), CHANNEL_OPTIONS);
    this.clients.set(address, client);
    return client;
  }

  /**
   * Closes a client whose connection may have gone silent for good; the next call opens a new one.
   */
  private dropClient(address: string, client: PeerClient): void {
    if (this.clients.get(address) !== client) return;
    this.clients.delete(address);
    client.close();
  }
}
