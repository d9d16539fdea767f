/**
 * One instance that opens connections to endpoints for another, over gRPC on the loopback interface.
 */
import { type AddressInfo, createServer, type Socket } from "node:net";
import * as E from "fp-ts/Either";
import { MonotonicClock } from "../../src/core/clock";
import { SILENT_LOGGER } from "../../src/core/log";
import { EndpointDirectory } from "../../src/fleet/directory";
import type { EndpointEntry } from "../../src/fleet/entries";
import { type FleetHandler, type FleetServer, startFleetServer } from "../../src/fleet/transport";
import type { EndpointTarget } from "../../src/forward/limits/gate";
import type { EndedTunnel, EndpointConnector } from "../../src/forward/tunnels/tunnel";
import type { LinkChecker } from "../../src/forward/tunnels/linkcheck";
import { PeerTunnelOpener } from "../../src/forward/tunnels/peer";
import { TunnelServer } from "../../src/forward/tunnels/server";
import type { EndpointSocket } from "../../src/forward/tunnels/openers";
import { createEntry, testCodecs } from "./forward";
import { allocatePort } from "./ports";

/** Name of the instance that serves tunnels. */
export const PEER = "peer";
/** Id of the endpoint that the peer lists. */
const ENDPOINT = "e1";
/** How long tests wait for a tunnel, in milliseconds; tolerates a busy machine. */
const OPEN_TIMEOUT_MS = 2000;

function refuseCall(): never {
  throw new Error("only tunnels are served");
}

/** Listens for connections, whose directions end separately; `close` ends them too. */
export async function listenForSockets(onSocket: (socket: Socket) => void) {
  const sockets = new Set<Socket>();
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    onSocket(socket);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const close = () => {
    for (const socket of sockets) socket.destroy();
    server.close();
  };
  return { address, close };
}

/** What a pair is started with. */
interface PairOptions {
  readonly connect?: EndpointConnector;
  readonly relayAddress?: string;
  readonly peerAddress?: string;
  /** True for an endpoint to which the peer opens none. */
  readonly isBarred?: (endpoint: string) => boolean;
}

/** A peer that serves tunnels, and an opener that asks it. */
export class TunnelPair {
  readonly directory = new EndpointDirectory(testCodecs.decodeEndpoint);
  readonly server: TunnelServer;
  readonly opener: PeerTunnelOpener;
  /** Whether the peer reaches other endpoints. */
  isLinkSound = true;
  readonly links: LinkChecker = { check: () => Promise.resolve(this.isLinkSound) };
  readonly clock = new MonotonicClock();
  /** Events of the peer's error lines. */
  readonly errors: string[] = [];
  /** Tunnels of the peer that were open and have ended. */
  readonly ends: EndedTunnel[] = [];
  private offset = 0;

  private constructor(
    readonly peerAddress: string,
    { connect, isBarred }: PairOptions,
    dialledAddress: string,
  ) {
    const logger = { ...SILENT_LOGGER, error: (event: string) => void this.errors.push(event) };
    const { directory, clock, links } = this;
    this.server = new TunnelServer(
      directory,
      clock,
      links,
      logger,
      connect,
      isBarred,
      (ended) => void this.ends.push(ended),
    );
    this.opener = new PeerTunnelOpener((peer) => (peer === PEER ? dialledAddress : undefined));
  }

  private fleetServer: FleetServer | undefined;

  /** Starts the peer; the opener asks for it at another address where one is given. */
  static async start(options: PairOptions = {}): Promise<TunnelPair> {
    const peerAddress = options.peerAddress ?? `127.0.0.1:${allocatePort()}`;
    const pair = new TunnelPair(peerAddress, options, options.relayAddress ?? peerAddress);
    await pair.listen();
    return pair;
  }

  /** Lists an endpoint at the peer. */
  list(address: string, more: Partial<EndpointEntry> = {}): EndpointTarget {
    const entry = createEntry(ENDPOINT, address, more);
    const position = { era: 0, offset: this.offset };
    this.offset += 1;
    const value = Buffer.from(JSON.stringify(entry));
    const next = { era: 0, offset: this.offset };
    this.directory.apply({ records: [{ key: entry.id, value, position }], next }, 0);
    return entry;
  }

  /** Opens a tunnel; throws where the peer opened none. */
  async open(target: EndpointTarget): Promise<EndpointSocket> {
    const opened = await this.opener.open(PEER, target, OPEN_TIMEOUT_MS);
    if (E.isLeft(opened)) throw new Error(`no tunnel: ${opened.left}`);
    return opened.right;
  }

  /** Tries to open a tunnel; returns why none was opened. */
  async fail(target: EndpointTarget, timeoutMs = OPEN_TIMEOUT_MS): Promise<string | undefined> {
    const opened = await this.opener.open(PEER, target, timeoutMs);
    if (E.isLeft(opened)) return opened.left;
    opened.right.destroy();
    return undefined;
  }

  /** Ends the peer at once, as a crash does. */
  async stopPeer(): Promise<void> {
    await this.fleetServer?.close();
  }

  async close(): Promise<void> {
    this.opener.close();
    this.server.close();
    await this.fleetServer?.close();
  }

  private async listen(): Promise<void> {
    const handler: FleetHandler = {
      onBeat: refuseCall,
      onFetch: refuseCall,
      onCharge: refuseCall,
      onPermit: refuseCall,
      onRemember: refuseCall,
      onRecall: refuseCall,
      onRelay: refuseCall,
      onTunnel: (call) => {
        this.server.open(call);
      },
    };
    this.fleetServer = await startFleetServer(this.peerAddress, handler);
  }
}

/** The peers and listeners of one test, closed together. */
export class TunnelScene {
  private readonly closers: (() => unknown)[] = [];

  /** Has something closed with the scene. */
  onClose(close: () => unknown): void {
    this.closers.push(close);
  }

  async startPair(options: Parameters<typeof TunnelPair.start>[0] = {}): Promise<TunnelPair> {
    const pair = await TunnelPair.start(options);
    this.onClose(() => pair.close());
    return pair;
  }

  /** Listens as an endpoint does; resolves with its address. */
  async listen(onSocket: (socket: Socket) => void): Promise<string> {
    const listener = await listenForSockets(onSocket);
    this.onClose(() => {
      listener.close();
    });
    return listener.address;
  }

  /** Closes what was opened, the newest first. */
  async close(): Promise<void> {
    for (const close of this.closers.splice(0).reverse()) await close();
  }
}
