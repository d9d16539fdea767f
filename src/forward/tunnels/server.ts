/**
 * Opens connections to endpoints for peers that are cut off from them. It connects to endpoints
 * directly, never through another peer, and only to those that its own directory lists.
 */
import * as E from "fp-ts/Either";
import type { Clock, Moment } from "../../core/clock";
import type { Logger } from "../../core/log";
import type { EndpointDirectory } from "../../fleet/directory";
import type { TunnelTarget } from "../../peer/gen/fleet";
import type { LinkChecker } from "./linkcheck";
import { openHalfOpenSocket } from "../../store/connector";
import {
  type EndedTunnel,
  type EndpointConnector,
  ServedTunnel,
  TunnelEndReason,
  type TunnelServerCall,
} from "./tunnel";
import { TunnelFailureKind } from "./openers";

/** Maximum number of tunnels that are served at a time; bounds memory and open files. */
export const MAX_TUNNELS = 512;
/** How long after an endpoint's end of its connection a peer may ask about the endpoint, in milliseconds. */
const QUESTION_TIME_MS = 1000;

/** Serves tunnels to peers. */
export class TunnelServer {
  private readonly tunnels = new Set<ServedTunnel>();
  private isStopping = false;
  private isClosed = false;
  /** Until when peers may ask after the ends of endpoints that they were told of. */
  private askedUntil: Moment = Number.NEGATIVE_INFINITY;

  /**
   * @param connect - opens connections to endpoints
   * @param isBarred - true for an endpoint to which none is opened, but to ask it about itself at the end of a run
   * @param onEnd - called with each tunnel that was open and has ended
   */
  constructor(
    private readonly directory: EndpointDirectory,
    private readonly clock: Clock,
    private readonly links: LinkChecker,
    private readonly logger: Logger,
    private readonly connect: EndpointConnector = openHalfOpenSocket,
    private readonly isBarred: (endpoint: string) => boolean = () => false,
    private readonly onEnd: (ended: EndedTunnel) => void = () => undefined,
  ) {}

  /** Number of tunnels that are open or being opened. */
  get count(): number {
    return this.tunnels.size;
  }

  /**
   * True while a peer may need this instance: over a tunnel, or to ask whether the endpoint that ended its connection is
   * the process that it was, without which an answer that nothing else delimits counts as broken.
   */
  get isNeeded(): boolean {
    return this.tunnels.size > 0 || this.clock.now() < this.askedUntil;
  }

  /** Serves the tunnel that a peer's call asks for. */
  open(call: TunnelServerCall): void {
    const tunnel = new ServedTunnel(call, {
      clock: this.clock,
      logger: this.logger,
      connect: this.connect,
      links: this.links,
      findAddress: (target) => this.findAddress(target),
      onClose: (ended) => {
        this.tunnels.delete(tunnel);
        if (ended !== undefined) this.recordEnd(ended);
      },
    });
    this.tunnels.add(tunnel);
  }

  /**
   * Refuses new tunnels from now on, as the instance stops, but for those that only ask an endpoint about itself: an
   * answer over one that is open may end with nobody else to ask. Those that are open are their askers' to close.
   */
  beginClose(): void {
    this.isStopping = true;
    for (const tunnel of this.tunnels) tunnel.announceStop();
  }

  /** Refuses new tunnels, and closes all that are open. */
  close(): void {
    this.beginClose();
    this.isClosed = true;
    for (const tunnel of this.tunnels) tunnel.stop();
  }

  private recordEnd(ended: EndedTunnel): void {
    if (ended.reason === TunnelEndReason.endpointEnd && !ended.isQuestion)
      this.askedUntil = this.clock.now() + QUESTION_TIME_MS;
    this.logger.info("tunnel ended", { ...ended, silentMs: Math.round(ended.silentMs) });
    this.onEnd(ended);
  }

  private findAddress(target: TunnelTarget): E.Either<TunnelFailureKind, string> {
    const isRefused = this.isClosed || (this.isStopping && !target.probe);
    if (isRefused || this.tunnels.size > MAX_TUNNELS) return E.left(TunnelFailureKind.unreachable);
    if (this.isBarred(target.endpoint) && !target.probe)
      return E.left(TunnelFailureKind.unreachable);
    const entry = this.directory.find(target.endpoint);
    const isListed =
      entry?.processStartedAt === target.processStartedAt && this.directory.canUseMemory(entry);
    return isListed ? E.right(entry.address) : E.left(TunnelFailureKind.unlisted);
  }
}
