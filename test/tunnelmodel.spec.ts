/**
 * Both sides of a tunnel over random orders of bytes, ends, stops, breaks and standstills. Guards against an end that is
 * believed though the endpoint did not make it, and against a sound answer that is cut before the relay's grace is over.
 */
import assert from "node:assert/strict";
import { Duplex } from "node:stream";
import { describe, it } from "node:test";
import * as E from "fp-ts/Either";
import fc from "fast-check";
import { MonotonicClock } from "../src/core/clock";
import { SILENT_LOGGER } from "../src/core/log";
import { type TunnelCall, TunnelSocket } from "../src/forward/tunnels/socket";
import { ServedTunnel, type TunnelServerCall } from "../src/forward/tunnels/tunnel";
import { TunnelData } from "../src/peer/gen/fleet";

const RUNS = 500;

/** What may happen while an answer is under way. */
const Happening = {
  endpointWrites: "the endpoint writes",
  endpointEnds: "the endpoint ends its answer",
  endpointResets: "the endpoint resets its connection",
  relayLeaves: "the relay is told to stop",
  relayStops: "the grace of the relay is over",
  callBreaks: "the call breaks",
  relayFreezes: "nothing comes from the relay",
  relayThaws: "what the relay has sent comes",
} as const;
type Happening = (typeof Happening)[keyof typeof Happening];

const nextTurn = () => new Promise<void>((resolve) => setImmediate(resolve));

/** Lets the events of streams pass. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 3; turn += 1) await nextTurn();
}

/** One side of a call; what it writes is kept while its way stands still. */
class CallSide extends Duplex {
  private readonly kept: (TunnelData | null)[] = [];
  private isStill = false;
  private isBroken = false;
  other: CallSide | undefined;

  constructor() {
    super({ objectMode: true });
  }

  freeze(): void {
    this.isStill = true;
  }

  thaw(): void {
    this.isStill = false;
    for (const message of this.kept.splice(0)) this.deliver(message);
  }

  /** Breaks the call for this side, with what the other side has sent and was not delivered. */
  breakOff(event: string): void {
    if (this.isBroken) return;
    this.isBroken = true;
    this.emit(event, new Error("the call broke"));
    this.emit("status", {});
  }

  cancel(): void {
    this.other?.breakOff("cancelled");
  }

  sendMetadata(): void {
    // The opening is not played.
  }

  override _read(): void {
    // The other side pushes.
  }

  override _write(message: TunnelData, _encoding: string, callback: () => void): void {
    this.send(message);
    callback();
  }

  override _final(callback: () => void): void {
    this.send(null);
    callback();
  }

  private send(message: TunnelData | null): void {
    if (this.isStill) this.kept.push(message);
    else this.deliver(message);
  }

  private deliver(message: TunnelData | null): void {
    const { other } = this;
    if (other === undefined || other.isBroken || other.readableEnded) return;
    other.push(message);
    if (message === null) other.emit("status", {});
  }
}

/** The connection of the relay to the endpoint, as the relay has it. */
class EndpointConnection extends Duplex {
  constructor() {
    super({ allowHalfOpen: true });
    setImmediate(() => this.emit("connect"));
  }

  override _read(): void {
    // The endpoint pushes.
  }

  override _write(_bytes: Buffer, _encoding: string, callback: () => void): void {
    callback();
  }
}

/** A tunnel on which a request was sent, and the reference: what its endpoint has done. */
class Play {
  written = "";
  hasEnded = false;
  /** True once something has happened that may cost the answer. */
  isLost = false;
  received = "";
  hasSeenEnd = false;
  hasFailed = false;
  private readonly asker = new CallSide();
  private readonly relay = new CallSide();
  private readonly endpoint = new EndpointConnection();
  private readonly served: ServedTunnel;
  private tunnel: TunnelSocket | undefined;

  constructor() {
    this.asker.other = this.relay;
    this.relay.other = this.asker;
    this.asker.on("error", () => undefined);
    this.served = new ServedTunnel(this.relay as unknown as TunnelServerCall, {
      clock: new MonotonicClock(),
      logger: SILENT_LOGGER,
      connect: () => this.endpoint as never,
      findAddress: () => E.right("127.0.0.1:1"),
      links: { check: () => Promise.resolve(true) },
      onClose: () => undefined,
    });
  }

  async begin(): Promise<void> {
    this.asker.write(TunnelData.create({ target: { endpoint: "e1", processStartedAt: 1 } }));
    await settle();
    assert.equal((this.asker.read() as TunnelData).opened, true);
    const tunnel = new TunnelSocket(this.asker as unknown as TunnelCall);
    this.tunnel = tunnel;
    tunnel.checkAnswers();
    tunnel.on("data", (bytes: Buffer) => (this.received += bytes.toString()));
    tunnel.on("end", () => (this.hasSeenEnd = true));
    tunnel.on("error", () => (this.hasFailed = true));
    tunnel.write("the request");
    await settle();
  }

  async play(happening: Happening): Promise<void> {
    this.act(happening);
    await settle();
  }

  /** Has all that is on its way come, and then closes both sides. */
  async finish(): Promise<void> {
    this.relay.thaw();
    await settle();
  }

  close(): void {
    this.tunnel?.destroy();
    this.served.close();
  }

  private act(happening: Happening): void {
    switch (happening) {
      case Happening.endpointWrites:
        if (this.hasEnded || this.endpoint.destroyed) return;
        this.written += "x";
        this.endpoint.push("x");
        return;
      case Happening.endpointEnds:
        if (this.hasEnded || this.endpoint.destroyed) return;
        this.hasEnded = true;
        this.endpoint.push(null);
        return;
      case Happening.endpointResets:
        this.isLost ||= !this.hasEnded;
        this.endpoint.destroy(new Error("reset"));
        return;
      case Happening.relayLeaves:
        this.served.announceStop();
        return;
      case Happening.relayStops:
        this.isLost ||= !this.hasEnded;
        this.served.stop();
        return;
      case Happening.callBreaks:
        this.isLost ||= !this.hasSeenEnd;
        this.asker.breakOff("error");
        this.relay.breakOff("cancelled");
        return;
      case Happening.relayFreezes:
        this.relay.freeze();
        return;
      case Happening.relayThaws:
        this.relay.thaw();
    }
  }
}

/** Plays happenings in their order; resolves once all that was on its way has come. */
async function playAll(happenings: readonly Happening[]): Promise<Play> {
  const play = new Play();
  await play.begin();
  for (const happening of happenings) await play.play(happening);
  await play.finish();
  return play;
}

describe("both sides of a tunnel", () => {
  const happenings = fc.array(fc.constantFrom(...Object.values(Happening)), { maxLength: 10 });

  it("believe no end that the endpoint did not make, and none before its last byte", async () => {
    const property = fc.asyncProperty(happenings, async (played) => {
      const play = await playAll(played);
      if (play.hasSeenEnd) assert.ok(play.hasEnded && play.received === play.written);
      play.close();
    });
    await fc.assert(property, { numRuns: RUNS });
  });

  it("carry a sound answer whole, whenever the relay is told to stop and however long it stands still", async () => {
    const property = fc.asyncProperty(happenings, async (played) => {
      const play = await playAll([...played, Happening.endpointEnds]);
      if (!play.isLost) {
        assert.deepEqual([play.hasFailed, play.hasSeenEnd], [false, true]);
        assert.equal(play.received, play.written);
      }
      play.close();
    });
    await fc.assert(property, { numRuns: RUNS });
  });
});
