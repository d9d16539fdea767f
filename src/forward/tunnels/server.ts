/**
 * Opens connections to endpoints for peers that are cut off from them. It connects to endpoints
 * directly, never through another peer, and only to those that its own directory lists.
 */
import * as E from "fp-ts/Either";
import type { Clock } from "../../core/clock";
import type { Logger } from "../../core/log";
import type { EndpointDirectory } from "../../fleet/directory";
import type { TunnelTarget } from "../../peer/gen/fleet";
import type { LinkChecker } from "./linkcheck";
import { openHalfOpenSocket } from "../../store/connector";
import { type EndpointConnector, ServedTunnel, type TunnelServerCall } from "./tunnel";
import { TunnelFailureKind } from "./openers";

/** Maximum number of tunnels that are served at a time; bounds memory and open files. */
export const MAX_TUNNELS = 512;
/**
 * How long a connection may be without traffic after an answer before an instance that stops ends
 * it, in milliseconds.
 */
const IDLE_TIMEOUT_MS = 500;

/** Serves tunnels to peers. */
export class TunnelServer {
  private readonly tunnels = new Set<ServedTunnel>();
  private isRefusing = false;

  /**
   * @param connect - opens connections to endpoints
   * @param isBarred - true for an endpoint to which none is opened
   */
  constructor(
    private readonly directory: EndpointDirectory,
    private readonly clock: Clock,
    private readonly links: LinkChecker,
    private readonly logger: Logger,
    private readonly connect: EndpointConnector = openHalfOpenSocket,
    private readonly isBarred: (endpoint: string) => boolean = () => false,
  ) {}

  /** Number of tunnels that are open or being opened. */
  get count(): number {
    return this.tunnels.size;
  }

  /** Serves the tunnel that a peer's call asks for. */
  open(call: TunnelServerCall): void {
    const tunnel = new ServedTunnel(call, {
      clock: this.clock,
      logger: this.logger,
      connect: this.connect,
      links: this.links,
      findAddress: (target) => this.findAddress(target),
      onClose: () => {
        this.tunnels.delete(tunnel);
      },
    });
    this.tunnels.add(tunnel);
  }

  /** Refuses new tunnels from now on, as the instance stops. */
  beginClose(): void {
    this.isRefusing = true;
  }

  /** Ends the tunnels that a peer keeps open without a request under way. */
  endIdle(): void {
    const idleSince = this.clock.now() - IDLE_TIMEOUT_MS;
    for (const tunnel of this.tunnels) if (tunnel.isIdleSince(idleSince)) tunnel.end();
  }

  /** Refuses new tunnels, and closes all that are open. */
  close(): void {
    this.beginClose();
    for (const tunnel of this.tunnels) tunnel.close();
  }

  private findAddress(target: TunnelTarget): E.Either<TunnelFailureKind, string> {
    if (this.isRefusing || this.tunnels.size > MAX_TUNNELS)
      return E.left(TunnelFailureKind.unreachable);
    if (this.isBarred(target.endpoint)) return E.left(TunnelFailureKind.unreachable);
    const entry = this.directory.find(target.endpoint);
    const isListed =
      entry?.processStartedAt === target.processStartedAt && this.directory.canUseMemory(entry);
    return isListed ? E.right(entry.address) : E.left(TunnelFailureKind.unlisted);
  }
}
