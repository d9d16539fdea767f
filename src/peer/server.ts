/**
 * gRPC server that an instance runs for its peers.
 */
import {
  Server,
  type ServerDuplexStream,
  type sendUnaryData,
  type ServerUnaryCall,
} from "@grpc/grpc-js";
import type { Address } from "../core/settings";
import { bindServer, closeServer } from "./binding";
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
  PeerService,
  type PullReply,
  type PullRequest,
  type SettleRequest,
  type StatusReply,
} from "./gen/peer";
import { CHANNEL_OPTIONS } from "./transport";

/** Server side of a book stream, on which peers request grants from the scheduler of a pool. */
export type BookServerStream = ServerDuplexStream<BookRequest, BookReply>;

/** Handles the calls of peers. */
export interface PeerHandler {
  onHeartbeat(message: HeartbeatMessage): HeartbeatMessage;
  onPull(request: PullRequest): PullReply;
  onCharge(request: ChargeRequest): Promise<ChargeReply>;
  onLend(request: LendRequest): LendReply;
  onSettle(request: SettleRequest): void;
  onHandOver(request: HandOverRequest): HandOverReply;
  onStatus(): StatusReply;
  onBook(stream: BookServerStream): void;
}

/** A running peer server. */
export interface PeerServer {
  /** Waits up to `graceMs` milliseconds for running calls to end, then aborts the rest. */
  close(graceMs: number): Promise<void>;
}

/**
 * Starts the peer server.
 *
 * @returns the server, once it listens; rejects where the address cannot be bound
 * @example
 * const server = await startPeerServer({ host: "127.0.0.1", port: 7001 }, handler);
 */
export async function startPeerServer(address: Address, handler: PeerHandler): Promise<PeerServer> {
  const server = new Server(CHANNEL_OPTIONS);
  server.addService(PeerService, {
    heartbeat: createUnaryHandler((request: HeartbeatMessage) => handler.onHeartbeat(request)),
    pull: createUnaryHandler((request: PullRequest) => handler.onPull(request)),
    charge: createUnaryHandler((request: ChargeRequest) => handler.onCharge(request)),
    lend: createUnaryHandler((request: LendRequest) => handler.onLend(request)),
    settle: createUnaryHandler((request: SettleRequest) => {
      handler.onSettle(request);
      return {};
    }),
    handOver: createUnaryHandler((request: HandOverRequest) => handler.onHandOver(request)),
    status: createUnaryHandler(() => handler.onStatus()),
    book: (stream: BookServerStream) => {
      handler.onBook(stream);
    },
  });
  await bindServer(server, `${address.host}:${address.port}`);
  return {
    close: (graceMs) => closeServer(server, graceMs),
  };
}

function createUnaryHandler<Q, R>(
  handle: (request: Q) => R | Promise<R>,
): (call: ServerUnaryCall<Q, R>, callback: sendUnaryData<R>) => void {
  return (call, callback) => {
    void Promise.resolve(handle(call.request)).then(
      (reply) => {
        callback(null, reply);
      },
      (error: unknown) => {
        callback(error as Error);
      },
    );
  };
}
