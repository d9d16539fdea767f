/**
 * A gRPC channel to a peer on which tunnels are opened, and what tells a silent peer from a slow one. A channel is closed
 * only once all tunnels on it have ended: closing fails those that are not sent yet, and those that are open break at the
 * next keep-alive ping, which Node.js refuses to send on a connection that is being closed.
 */
import { type ChannelOptions, credentials } from "@grpc/grpc-js";
import type { Clock, Moment } from "../../core/clock";
import { FleetClient } from "../../peer/gen/fleet";
import { CHANNEL_OPTIONS } from "../../peer/transport";
import type { TunnelCall } from "./socket";

/**
 * Maximum number of bytes that a peer may have sent on a tunnel or a channel before they are taken,
 * in bytes. HTTP/2's own, of 64 KiB, lets too few bytes through between distant data centres.
 */
const FLOW_CONTROL_BYTES = 512 * 1024;

/** Options of the channels for tunnels: a silent peer is detected within two seconds. */
const TUNNEL_CHANNEL_OPTIONS: ChannelOptions = {
  ...CHANNEL_OPTIONS,
  "grpc.keepalive_time_ms": 1000,
  "grpc.keepalive_timeout_ms": 1000,
  "grpc.client_idle_timeout_ms": 10_000,
  "grpc-node.flow_control_window": FLOW_CONTROL_BYTES,
};

/** A channel to one address. */
export class TunnelChannel {
  private readonly client: FleetClient;
  /** When the peer last answered an opening on it. */
  private heardAt: Moment | undefined;
  /** Number of tunnels that are open or being opened. */
  private tunnels = 0;
  private isDropped = false;

  constructor(
    address: string,
    private readonly clock: Clock,
  ) {
    this.client = new FleetClient(address, credentials.createInsecure(), TUNNEL_CHANNEL_OPTIONS);
  }

  /** Begins the opening of a tunnel on it. */
  begin(): TunnelCall {
    this.tunnels += 1;
    return this.client.tunnel();
  }

  /** Records that the peer answered an opening. */
  recordAnswer(): void {
    this.heardAt = this.clock.now();
  }

  /** True once the peer has answered an opening on it. */
  get isHeard(): boolean {
    return this.heardAt !== undefined;
  }

  /** Checks whether the peer has answered no opening on it since a moment. */
  isSilentSince(moment: Moment): boolean {
    return this.heardAt === undefined || this.heardAt < moment;
  }

  /** Ends a tunnel that is closed, or was not opened. */
  end(): void {
    this.tunnels -= 1;
    this.closeUnused();
  }

  /** Has it stay open without tunnels, after {@link drop}. */
  restore(): void {
    this.isDropped = false;
  }

  /** Closes it once all tunnels on it have ended. */
  drop(): void {
    this.isDropped = true;
    this.closeUnused();
  }

  private closeUnused(): void {
    if (this.isDropped && this.tunnels === 0) this.client.close();
  }
}
