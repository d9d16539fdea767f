/**
 * Opens connections to endpoints through peers over gRPC, on channels of their own: those of the
 * heartbeats are closed after a failed call, and wait behind no bytes of endpoints.
 */
import * as E from "fp-ts/Either";
import { type Clock, MonotonicClock } from "../../core/clock";
import { ReadFirstTimer } from "../../core/readfirst";
import { TunnelData, type TunnelTarget } from "../../peer/gen/fleet";
import type { EndpointTarget } from "../limits";
import { TunnelChannel } from "./channel";
import { type TunnelCall, TunnelSocket } from "./socket";
import { decodeFailure } from "./wire";
import { type EndpointSocket, TunnelFailureKind, type TunnelOpener } from "./openers";

type Opened = E.Either<TunnelFailureKind, EndpointSocket>;

/** Opens tunnels, with one channel for each peer's address. */
export class PeerTunnelOpener implements TunnelOpener {
  private readonly channels = new Map<string, TunnelChannel>();
  private isClosed = false;

  /** @param findAddress - returns the address at which an instance listens for its peers */
  constructor(
    private readonly findAddress: (peer: string) => string | undefined,
    private readonly clock: Clock = new MonotonicClock(),
  ) {}

  async open(
    peer: string,
    target: EndpointTarget,
    timeoutMs: number,
    isProbe = false,
  ): Promise<Opened> {
    const address = this.findAddress(peer);
    if (address === undefined) return E.left(TunnelFailureKind.silent);
    const channel = this.findOrCreateChannel(address);
    const startedAt = this.clock.now();
    const asked = {
      endpoint: target.id,
      processStartedAt: target.processStartedAt,
      probe: isProbe,
    };
    const opening = new TunnelOpening(channel.begin(), asked, () => {
      channel.recordAnswer();
      this.preferChannel(address, channel);
    });
    const opened = await opening.wait(timeoutMs);
    if (opening.isBroken || (!opening.isHeard && channel.isSilentSince(startedAt))) {
      this.replaceChannel(address, channel);
    }
    trackEnd(channel, opened);
    return opened;
  }

  /** Closes the channels once the connections on them are closed. */
  close(): void {
    this.isClosed = true;
    for (const channel of this.channels.values()) channel.drop();
    this.channels.clear();
  }

  private findOrCreateChannel(address: string): TunnelChannel {
    const known = this.channels.get(address);
    if (known !== undefined) return known;
    const channel = new TunnelChannel(address, this.clock);
    this.channels.set(address, channel);
    return channel;
  }

  /** Has the next opening go on another channel, as this one may have gone silent. */
  private replaceChannel(address: string, channel: TunnelChannel): void {
    if (this.channels.get(address) !== channel) return;
    this.channels.delete(address);
    channel.drop();
  }

  /** Returns to a channel that was only slow, unless the one that replaced it was answered too. */
  private preferChannel(address: string, channel: TunnelChannel): void {
    const current = this.channels.get(address);
    if (current === channel || current?.isHeard === true || this.isClosed) return;
    this.channels.set(address, channel);
    channel.restore();
    current?.drop();
  }
}

/** Has a channel count a tunnel until it is closed. */
function trackEnd(channel: TunnelChannel, opened: Opened): void {
  if (E.isLeft(opened) || opened.right.closed) {
    channel.end();
    return;
  }
  opened.right.once("close", () => {
    channel.end();
  });
}

/** A call on which the peer has not yet said whether the connection is open. */
class TunnelOpening {
  private hasPeerSign = false;
  private hasReply = false;
  private hasError = false;
  private hasEnded = false;

  /** @param onAnswer - called when the first word comes from the peer */
  constructor(
    private readonly call: TunnelCall,
    private readonly target: TunnelTarget,
    private readonly onAnswer: () => void,
  ) {}

  /** True once anything came from the peer, so that its channel works. */
  get isHeard(): boolean {
    return this.hasPeerSign;
  }

  /** True if the call failed before anything came from the peer: its channel has no connection. */
  get isBroken(): boolean {
    return this.hasError && !this.hasPeerSign;
  }

  /** Sends the target and waits for the reply; cancels the call if there is none in time. */
  wait(timeoutMs: number): Promise<Opened> {
    return new Promise((resolve) => {
      const finish = (opened: Opened) => {
        if (this.hasEnded) return;
        this.hasEnded = true;
        timer.close();
        this.call.off("data", onReply).off("end", onSilence);
        if (E.isLeft(opened)) this.leave();
        resolve(opened);
      };
      const onReply = (reply: TunnelData) => {
        finish(this.readReply(reply));
      };
      const onSilence = () => {
        finish(E.left(TunnelFailureKind.silent));
      };
      const timer = new ReadFirstTimer(timeoutMs, onSilence);
      this.call.once("metadata", () => {
        this.recordSign();
      });
      this.call.on("error", () => {
        this.hasError ||= !this.hasEnded;
        onSilence();
      });
      this.call.on("end", onSilence).on("data", onReply);
      this.sendTarget();
    });
  }

  private recordSign(): void {
    if (!this.hasPeerSign) this.onAnswer();
    this.hasPeerSign = true;
  }

  private readReply(reply: TunnelData): Opened {
    // Bytes that follow wait until the socket is read.
    this.call.pause();
    this.recordSign();
    this.hasReply = true;
    const failure = decodeFailure(reply);
    return failure === undefined ? E.right(new TunnelSocket(this.call)) : E.left(failure);
  }

  /** Gives the call up; one that the peer has answered ends by itself. */
  private leave(): void {
    if (this.hasReply) this.call.resume().end();
    else this.call.cancel();
  }

  private sendTarget(): void {
    this.call.write(TunnelData.create({ target: this.target }));
  }
}
