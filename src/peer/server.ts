/**
 * What an instance offers to its peers.
 */
import {
  Server,
  ServerCredentials,
  type ServerDuplexStream,
  type sendUnaryData,
  type ServerUnaryCall,
} from "@grpc/grpc-js";
import type { Address } from "../core/settings";
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

/** The other end of a stream to the book. */
export type BookServerStream = ServerDuplexStream<BookRequest, BookReply>;

/** Answers what peers ask. */
export interface PeerHandler {
  onHeartbeat(message: HeartbeatMessage): HeartbeatMessage;
  onPull(request: PullRequest): PullReply;
  onCharge(request: ChargeRequest): Promise<ChargeReply>;
  onLend(request: LendRequest): LendReply;
  onSettle(request: SettleRequest): void;
  onHandOver(request: HandOverRequest): HandOverReply;
  onStatus(): StatusReply;
  onBook(session: BookServerStream): void;
}

/** A listening peer server. */
export interface PeerServer {
  /** Lets running calls end, for at most `graceMs`, and stops. */
  close(graceMs: number): Promise<void>;
}

/**
 * Listens for peers.
 *
 * @returns the server, once it listens; rejects where the address cannot be had
 * @example
 * const server = await startPeerServer({ host: "127.0.0.1", port: 7001 }, handler);
 */
export async function startPeerServer(address: Address, handler: PeerHandler): Promise<PeerServer> {
  const server = new Server(CHANNEL_OPTIONS);
  server.addService(PeerService, {
    heartbeat: answerUnary((request: HeartbeatMessage) => handler.onHeartbeat(request)),
    pull: answerUnary((request: PullRequest) => handler.onPull(request)),
    charge: answerUnary((request: ChargeRequest) => handler.onCharge(request)),
    lend: answerUnary((request: LendRequest) => handler.onLend(request)),
    settle: answerUnary((request: SettleRequest) => {
      handler.onSettle(request);
      return {};
    }),
    handOver: answerUnary((request: HandOverRequest) => handler.onHandOver(request)),
    status: answerUnary(() => handler.onStatus()),
    book: (session: BookServerStream) => {
      handler.onBook(session);
    },
  });
  await bindServer(server, address);
  return {
    close: (graceMs) => closeServer(server, graceMs),
  };
}

function answerUnary<Q, R>(
  answer: (request: Q) => R | Promise<R>,
): (call: ServerUnaryCall<Q, R>, done: sendUnaryData<R>) => void {
  return (call, done) => {
    void Promise.resolve(answer(call.request)).then(
      (reply) => {
        done(null, reply);
      },
      (error: unknown) => {
        done(error as Error);
      },
    );
  };
}

function bindServer(server: Server, address: Address): Promise<void> {
  return new Promise((resolve, reject) => {
    const name = `${address.host}:${address.port}`;
    server.bindAsync(name, ServerCredentials.createInsecure(), (error) => {
      if (error === null) resolve();
      else reject(error);
    });
  });
}

function closeServer(server: Server, graceMs: number): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => {
      server.forceShutdown();
      resolve();
    }, graceMs);
    server.tryShutdown(() => {
      clearTimeout(timer);
      resolve();
    });
  });
}
