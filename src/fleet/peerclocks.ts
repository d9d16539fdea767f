/**
 * Estimates when peers sent their heartbeats, by their own clocks: a heartbeat may be long on its way,
 * or wait while this process stands still, so its arrival does not tell how old its contents are.
 */
import type { Moment } from "../core/clock";
import type { Beat } from "../peer/gen/fleet";
import { isSendTime } from "../peer/numbers";

/** What a heartbeat says of its sender's clock. */
export type ClockReading = Pick<Beat, "instance" | "incarnation" | "sentAtMs">;

interface PeerClock {
  /** The process whose clock it is. */
  readonly incarnation: string;
  /** What is added at least to its clock for a moment of this process's, in milliseconds. */
  readonly offsetMs: number;
}

/** The clocks of peers, compared with that of this process. */
export class PeerClocks {
  private readonly clocks = new Map<string, PeerClock>();

  /**
   * Compares a peer's clock by its reply to a heartbeat.
   *
   * @param askedAt - when the heartbeat that it replies to was sent
   */
  recordReply({ instance, incarnation, sentAtMs }: ClockReading, askedAt: Moment): void {
    if (!isSendTime(sentAtMs)) return;
    this.clocks.set(instance, { incarnation, offsetMs: askedAt - sentAtMs });
  }

  /**
   * Estimates when a peer sent a heartbeat: never later than it did.
   *
   * @returns undefined where the clock of its process was not compared yet, or the reading can't be true
   * @example
   * const sentAt = peerClocks.estimateSentAt(beat, clock.now());
   */
  estimateSentAt(reading: ClockReading, now: Moment): Moment | undefined {
    const clock = this.clocks.get(reading.instance);
    if (!isSendTime(reading.sentAtMs) || clock?.incarnation !== reading.incarnation) {
      return undefined;
    }
    return Math.min(now, reading.sentAtMs + clock.offsetMs);
  }
}
