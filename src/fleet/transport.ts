/**
 * gRPC client and server for calls between the instances of a fleet.
 */
import {
  type ClientUnaryCall,
  credentials,
  type sendUnaryData,
  Server,
  type ServerDuplexStream,
  type ServiceError,
  type ServerUnaryCall,
} from "@grpc/grpc-js";
import { ReadFirstTimer } from "../core/readfirst";
import { bindServer, closeServer } from "../peer/binding";
import {
  type Beat,
  type ChargeReply,
  type ChargeRequest,
  type FetchReply,
  type FetchRequest,
  FleetClient,
  FleetService,
  type PermitReply,
  type PermitRequest,
  type RecallReply,
  type RecallRequest,
  type RememberReply,
  type RememberRequest,
  type TunnelData,
} from "../peer/gen/fleet";
import { QUIET_CHANNEL_OPTIONS } from "../peer/transport";
import type { FleetTransport } from "./heartbeat";
import { openRelayStream, RELAY_DEFINITION, type RelayCall, serveRelayStream } from "./relay/grpc";
import type { RelayListener, RelayStream, RelayTransport } from "./relay/transport";

const SHUTDOWN_TIMEOUT_MS = 200;

type ReplyCallback<R> = (error: ServiceError | null, reply: R) => void;

/** Handles the calls of peers. */
export interface FleetHandler {
  onBeat(beat: Beat): Beat;
  onFetch(request: FetchRequest): FetchReply;
  onCharge(request: ChargeRequest): ChargeReply;
  onPermit(request: PermitRequest): PermitReply;
  onRemember(request: RememberRequest): void;
  onRecall(request: RecallRequest): RecallReply;
  onTunnel(call: ServerDuplexStream<TunnelData, TunnelData>): void;
  onRelay(stream: RelayStream): RelayListener;
}

/** A server that listens for peers. */
export interface FleetServer {
  close(): Promise<void>;
}

/** Calls peers over gRPC, with one channel per address. */
export class GrpcFleetTransport implements FleetTransport, RelayTransport {
  private readonly clients = new Map<string, FleetClient>();

  exchange(address: string, beat: Beat, timeoutMs: number): Promise<Beat | undefined> {
    return this.call(address, timeoutMs, (client, done) => client.exchange(beat, done));
  }

  fetch(
    address: string,
    request: FetchRequest,
    timeoutMs: number,
  ): Promise<FetchReply | undefined> {
    return this.call(address, timeoutMs, (client, done) => client.fetch(request, done));
  }

  openRelay(address: string, listener: RelayListener): RelayStream | undefined {
    return openRelayStream(address, listener);
  }

  /** Asks an instance to decide on requests; undefined where it does not answer in time. */
  charge(
    address: string,
    request: ChargeRequest,
    timeoutMs: number,
  ): Promise<ChargeReply | undefined> {
    return this.call(address, timeoutMs, (client, done) => client.charge(request, done));
  }

  /** Asks the owner of a limit for sends; undefined where it does not answer in time. */
  permit(
    address: string,
    request: PermitRequest,
    timeoutMs: number,
  ): Promise<PermitReply | undefined> {
    return this.call(address, timeoutMs, (client, done) => client.permit(request, done));
  }

  /** Has an instance remember origins of streams; undefined where it does not answer in time. */
  remember(
    address: string,
    request: RememberRequest,
    timeoutMs: number,
  ): Promise<RememberReply | undefined> {
    return this.call(address, timeoutMs, (client, done) => client.remember(request, done));
  }

  /** Asks an instance for the origin of a stream; undefined where it does not answer in time. */
  recall(
    address: string,
    request: RecallRequest,
    timeoutMs: number,
  ): Promise<RecallReply | undefined> {
    return this.call(address, timeoutMs, (client, done) => client.recall(request, done));
  }

  close(): void {
    for (const client of this.clients.values()) client.close();
    this.clients.clear();
  }

  /**
   * Makes one call. A timer cancels it rather than the library's deadline, which follows the wall
   * clock. A channel is replaced after a failed call, since its connection may have stopped
   * responding.
   */
  private call<R>(
    address: string,
    timeoutMs: number,
    startCall: (client: FleetClient, done: ReplyCallback<R>) => ClientUnaryCall,
  ): Promise<R | undefined> {
    return new Promise((resolve) => {
      const client = this.findOrCreateClient(address);
      if (client === undefined) {
        resolve(undefined);
        return;
      }
      const call = startCall(client, (error, reply) => {
        timer.close();
        if (error !== null && this.clients.get(address) === client) {
          this.clients.delete(address);
          client.close();
        }
        resolve(error === null ? reply : undefined);
      });
      const timer = new ReadFirstTimer(timeoutMs, () => {
        call.cancel();
      });
    });
  }

  /** Returns undefined if the address, which a peer has named, can't be parsed. */
  private findOrCreateClient(address: string): FleetClient | undefined {
    const known = this.clients.get(address);
    if (known !== undefined) return known;
    try {
      const client = new FleetClient(address, credentials.createInsecure(), QUIET_CHANNEL_OPTIONS);
      this.clients.set(address, client);
      return client;
    } catch {
      return undefined;
    }
  }
}

/**
 * Starts the server for peers.
 *
 * @param address - IP address and port
 * @returns the server, once it listens; rejects where it cannot bind the address
 * @example
 * const server = await startFleetServer("127.0.0.1:7500", handler);
 */
export async function startFleetServer(
  address: string,
  handler: FleetHandler,
): Promise<FleetServer> {
  const server = new Server(QUIET_CHANNEL_OPTIONS);
  server.addService(
    { ...FleetService, relay: RELAY_DEFINITION },
    {
      relay: (call: RelayCall) => {
        serveRelayStream(call, (stream) => handler.onRelay(stream));
      },
      exchange: (call: ServerUnaryCall<Beat, Beat>, done: sendUnaryData<Beat>) => {
        done(null, handler.onBeat(call.request));
      },
      fetch: (call: ServerUnaryCall<FetchRequest, FetchReply>, done: sendUnaryData<FetchReply>) => {
        done(null, handler.onFetch(call.request));
      },
      charge: (
        call: ServerUnaryCall<ChargeRequest, ChargeReply>,
        done: sendUnaryData<ChargeReply>,
      ) => {
        done(null, handler.onCharge(call.request));
      },
      permit: (
        call: ServerUnaryCall<PermitRequest, PermitReply>,
        done: sendUnaryData<PermitReply>,
      ) => {
        done(null, handler.onPermit(call.request));
      },
      remember: (
        call: ServerUnaryCall<RememberRequest, RememberReply>,
        done: sendUnaryData<RememberReply>,
      ) => {
        handler.onRemember(call.request);
        done(null, {});
      },
      recall: (
        call: ServerUnaryCall<RecallRequest, RecallReply>,
        done: sendUnaryData<RecallReply>,
      ) => {
        done(null, handler.onRecall(call.request));
      },
      tunnel: (call: ServerDuplexStream<TunnelData, TunnelData>) => {
        handler.onTunnel(call);
      },
    },
  );
  await bindServer(server, address);
  return { close: () => closeServer(server, SHUTDOWN_TIMEOUT_MS) };
}
