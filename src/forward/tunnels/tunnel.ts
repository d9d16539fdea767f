/**
 * One connection to an endpoint that this instance opens for a peer.
 */
import type { Socket } from "node:net";
import { Metadata, type ServerDuplexStream } from "@grpc/grpc-js";
import * as E from "fp-ts/Either";
import type { Clock, Moment } from "../../core/clock";
import { ConnectionEnder } from "../../core/connectionender";
import { EventGuard } from "../../core/guard";
import { formatStack, type Logger } from "../../core/log";
import { ReadFirstTimer } from "../../core/readfirst";
import { tryOpenSocket } from "../../store/connector";
import { TunnelData, type TunnelTarget } from "../../peer/gen/fleet";
import type { LinkChecker } from "./linkcheck";
import {
  createEndMessage,
  encodeBytes,
  LEAVING_MESSAGE,
  OPENED_MESSAGE,
  STOPPED_MESSAGE,
} from "./wire";
import { TunnelFailureKind } from "./openers";

/** The server's side of a call whose messages are the bytes of one connection. */
export type TunnelServerCall = ServerDuplexStream<TunnelData, TunnelData>;

/** Opens a connection to an IP address and port; its directions end separately. */
export type EndpointConnector = (host: string, port: number) => Socket;

/** Why a tunnel that was open has ended. */
export const TunnelEndReason = {
  /** The endpoint ended its connection. */
  endpointEnd: "endpoint end",
  /** The connection to the endpoint broke. */
  broken: "broken",
  /** The peer left, or the call to it broke. */
  peerGone: "peer gone",
  /** This instance has stopped. */
  stopped: "stopped",
} as const;
export type TunnelEndReason = (typeof TunnelEndReason)[keyof typeof TunnelEndReason];

/** What is known of a tunnel that has ended. */
export interface EndedTunnel {
  readonly endpoint: string;
  readonly reason: TunnelEndReason;
  /** True if it only asked the endpoint about itself. */
  readonly isQuestion: boolean;
  /** Who the peer was told to have ended the connection. */
  readonly endedBy: ConnectionEnder;
  /** Bytes that the endpoint was sent. */
  readonly takenBytes: number;
  /** Bytes that the peer was sent. */
  readonly relayedBytes: number;
  /** How long the endpoint had written nothing, in milliseconds. */
  readonly silentMs: number;
}

/** What a served tunnel needs. */
export interface ServedTunnelParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly connect: EndpointConnector;
  /** Finds the address of the process that a peer names, or says why none is opened. */
  readonly findAddress: (target: TunnelTarget) => E.Either<TunnelFailureKind, string>;
  /** Checks the link of this instance after an endpoint refused a connection. */
  readonly links: LinkChecker;
  /** Called once, when the tunnel is closed; of one that was open with what is known of its end. */
  readonly onClose: (ended: EndedTunnel | undefined) => void;
}

/** How long a call may take to name its target, in milliseconds. */
const TARGET_TIMEOUT_MS = 1000;
/** Timeout for connecting to the endpoint, in milliseconds; the peer's own wait is longer. */
const CONNECT_TIMEOUT_MS = 120;
/** How long bytes may take to drain to the endpoint after both sides ended, in milliseconds. */
const LINGER_MS = 1000;

/** A tunnel served to a peer, from its first message to the end of its connection. */
export class ServedTunnel {
  private socket: Socket | undefined;
  private isOpen = false;
  private isClosed = false;
  private hasPeerEnd = false;
  private hasEndpointEnd = false;
  private endpoint = "";
  private isQuestion = false;
  private endedBy: ConnectionEnder = ConnectionEnder.nobody;
  private relayedBytes = 0;
  /** When it opened or the endpoint last sent bytes. */
  private heardAt: Moment = 0;
  /** Bytes of the peer's that were written to the endpoint. */
  private takenBytes = 0;
  private isLeaving = false;
  /** Runs until the call has named its target, then until the endpoint has accepted. */
  private timer: ReadFirstTimer;
  /** An error in a handler costs this tunnel alone. */
  private readonly guard: EventGuard;
  /** An error in a step of the closing is logged, and keeps no step after it from being done. */
  private readonly closeGuard: EventGuard;

  constructor(
    private readonly call: TunnelServerCall,
    private readonly parts: ServedTunnelParts,
  ) {
    this.guard = new EventGuard("served tunnel", parts.logger, () => {
      this.failOrClose();
    });
    this.closeGuard = new EventGuard("closing tunnel", parts.logger, () => undefined);
    this.timer = new ReadFirstTimer(TARGET_TIMEOUT_MS, () => {
      this.close();
    });
    call.on("error", () => {
      this.close(TunnelEndReason.peerGone);
    });
    // gRPC says so of every call that is over, whatever ended it.
    call.on("cancelled", () => {
      this.close(TunnelEndReason.peerGone);
    });
    call.on(
      "data",
      this.guard.wrap((message: TunnelData) => {
        this.receive(message);
      }),
    );
    // The peer has left; of the end of its bytes it sends a message.
    call.on("end", () => {
      this.close(TunnelEndReason.peerGone);
    });
    // The peer learns at once that this instance is there.
    call.sendMetadata(new Metadata());
  }

  /**
   * Tells the peer that this instance is told to stop. Only the peer knows whether a request is under way, so
   * it closes the connection, and not this side.
   */
  announceStop(): void {
    if (this.isLeaving) return;
    this.isLeaving = true;
    if (this.isOpen && !this.isClosed) this.writeControl(LEAVING_MESSAGE);
  }

  /** Breaks the connection as this instance has stopped, in words of its own: of the endpoint it is no end. */
  stop(): void {
    if (this.isOpen && !this.isClosed && !this.hasEndpointEnd) {
      this.endedBy = ConnectionEnder.relay;
      this.writeControl(STOPPED_MESSAGE);
    }
    this.close(TunnelEndReason.stopped);
  }

  /** Closes the connection to the endpoint at once, and the call. */
  close(reason: TunnelEndReason = TunnelEndReason.broken): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.timer.close();
    this.socket?.destroy();
    const endCall = () => {
      this.call.resume();
      this.call.end();
    };
    this.closeGuard.wrap(endCall)();
    this.report(reason);
  }

  /** Says that it is closed, and of one that was open what is known of its end. */
  private report(reason: TunnelEndReason): void {
    let ended: EndedTunnel | undefined;
    this.closeGuard.wrap(() => {
      if (this.isOpen) ended = this.describeEnd(reason);
    })();
    this.closeGuard.wrap(() => {
      this.parts.onClose(ended);
    })();
  }

  private describeEnd(reason: TunnelEndReason): EndedTunnel {
    const { endpoint, isQuestion, endedBy, takenBytes, relayedBytes } = this;
    const silentMs = this.parts.clock.now() - this.heardAt;
    const known = this.hasEndpointEnd ? TunnelEndReason.endpointEnd : reason;
    return { endpoint, reason: known, isQuestion, endedBy, takenBytes, relayedBytes, silentMs };
  }

  /** Writes a message that does not carry bytes to the peer, if the call takes it. */
  private writeControl(message: TunnelData): void {
    this.closeGuard.wrap(() => {
      this.call.write(message);
    })();
  }

  private receive({ target, data, end }: TunnelData): void {
    if (this.isClosed) return;
    if (this.socket === undefined) {
      this.open(target);
      return;
    }
    if (!this.isOpen || this.hasPeerEnd) {
      this.close();
      return;
    }
    if (data.length > 0) {
      this.takenBytes += data.length;
      if (!this.socket.write(data)) this.call.pause();
    }
    if (end) this.receivePeerEnd();
  }

  private open(target: TunnelTarget | undefined): void {
    if (target === undefined) {
      this.close();
      return;
    }
    this.isQuestion = target.probe;
    const address = this.parts.findAddress(target);
    if (E.isLeft(address)) this.fail(address.left);
    else this.connect(address.right, target.endpoint);
  }

  private connect(address: string, endpoint: string): void {
    this.endpoint = endpoint;
    const separator = address.lastIndexOf(":");
    const port = Number(address.slice(separator + 1));
    const opened = tryOpenSocket(this.parts.connect, address.slice(0, separator), port);
    if (E.isLeft(opened)) {
      this.fail(TunnelFailureKind.unreachable);
      return;
    }
    const socket = opened.right;
    this.socket = socket;
    this.timer.close();
    this.timer = new ReadFirstTimer(CONNECT_TIMEOUT_MS, () => {
      this.fail(TunnelFailureKind.unreachable);
    });
    socket.once(
      "connect",
      this.guard.wrap(() => {
        this.confirm(socket);
      }),
    );
    socket.on("error", (error: NodeJS.ErrnoException) => {
      if (!this.isOpen && error.code === "ECONNREFUSED") void this.failAsRefused(endpoint);
      else this.failOrClose();
    });
  }

  /** Tells the peer of a refusal, as one of the endpoint only if this instance reaches others. */
  private async failAsRefused(endpoint: string): Promise<void> {
    const isLinkSound = await this.checkLink(endpoint);
    this.fail(isLinkSound ? TunnelFailureKind.refused : TunnelFailureKind.unreachable);
  }

  /** Checks the link of this instance; a check that fails says nothing for it. */
  private async checkLink(endpoint: string): Promise<boolean> {
    const { links, logger } = this.parts;
    try {
      return await links.check(endpoint);
    } catch (error) {
      logger.error("link check failed", { endpoint, stack: formatStack(error) });
      return false;
    }
  }

  private confirm(socket: Socket): void {
    if (this.isClosed) return;
    this.timer.close();
    this.heardAt = this.parts.clock.now();
    this.isOpen = true;
    this.call.write(OPENED_MESSAGE);
    if (this.isLeaving) this.writeControl(LEAVING_MESSAGE);
    socket.on(
      "data",
      this.guard.wrap((bytes: Buffer) => {
        this.relay(bytes, socket);
      }),
    );
    socket.on("drain", () => {
      this.call.resume();
    });
    socket.on("end", () => {
      this.receiveEndpointEnd();
    });
    socket.on("close", () => {
      this.close();
    });
    this.call.on("drain", () => {
      socket.resume();
    });
  }

  private relay(bytes: Buffer, socket: Socket): void {
    if (this.isClosed) return;
    this.heardAt = this.parts.clock.now();
    this.relayedBytes += bytes.length;
    for (const message of encodeBytes(bytes)) {
      if (!this.call.write(message)) socket.pause();
    }
  }

  private receiveEndpointEnd(): void {
    if (this.isClosed) return;
    this.hasEndpointEnd = true;
    this.endedBy = ConnectionEnder.endpoint;
    this.writeControl(createEndMessage(this.takenBytes));
    this.startLinger();
  }

  private receivePeerEnd(): void {
    this.hasPeerEnd = true;
    this.socket?.end();
    this.startLinger();
  }

  /** Once both sides ended, the socket closes by itself, unless the endpoint takes no more bytes. */
  private startLinger(): void {
    if (!this.hasPeerEnd || !this.hasEndpointEnd) return;
    this.timer = new ReadFirstTimer(LINGER_MS, () => {
      this.close();
    });
  }

  /** Ends a tunnel that broke; of one that is not open the peer learns that it never was. */
  private failOrClose(): void {
    if (this.isOpen) this.close();
    else this.fail(TunnelFailureKind.unreachable);
  }

  private fail(failure: TunnelFailureKind): void {
    if (this.isClosed) return;
    this.writeControl(TunnelData.create({ failure }));
    this.close();
  }
}
