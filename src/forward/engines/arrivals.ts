/**
 * Follows how many prompt tokens arrive at this instance and at its peers, and estimates from it what the
 * peers have placed at engines since their last reports.
 */
import { type Moment, MS_PER_SECOND } from "../../core/clock";
import { SlidingWindowSum } from "../../core/window";
import type { UnseenWork } from "./spread";

/**
 * Window over which arriving prompt tokens are averaged, in milliseconds; longer than the gaps
 * between large prompts at one instance.
 */
const ARRIVAL_WINDOW_MS = 4000;
/** How long the arrivals that a peer last reported still count, in milliseconds. */
const PEER_ARRIVALS_TTL_MS = 2000;

/** What arrives at a peer, as it last reported it. */
interface PeerArrivals {
  readonly tokensPerSecond: number;
  readonly receivedAt: Moment;
}

/** The prompt tokens that arrive at the instances of a fleet. */
export class Arrivals {
  private readonly arrivedTokens = new SlidingWindowSum(ARRIVAL_WINDOW_MS);
  private readonly peers = new Map<string, PeerArrivals>();

  /**
   * @param readLagMs - returns how old the reports of peers become, in milliseconds
   * @param random - returns a random number in [0, 1)
   */
  constructor(
    private readonly readLagMs: () => number = () => 0,
    private readonly random: () => number = Math.random,
  ) {}

  /** Records a prompt that arrived at this instance. */
  recordLocal(promptTokens: number, now: Moment): void {
    this.arrivedTokens.add(promptTokens, now);
  }

  /** Records what a peer reports. */
  recordPeer(peer: string, tokensPerSecond: number, now: Moment): void {
    this.peers.set(peer, { tokensPerSecond, receivedAt: now });
  }

  /** Computes the prompt tokens that arrive at this instance per second. */
  computeLocalRate(now: Moment): number {
    return (this.arrivedTokens.read(now) * MS_PER_SECOND) / ARRIVAL_WINDOW_MS;
  }

  /** Computes the prompt tokens that arrive at the live peers per second; forgets silent ones. */
  computePeerRate(now: Moment): number {
    let sum = 0;
    for (const [peer, { tokensPerSecond, receivedAt }] of this.peers) {
      if (now - receivedAt > PEER_ARRIVALS_TTL_MS) this.peers.delete(peer);
      else sum += tokensPerSecond;
    }
    return sum;
  }

  /**
   * Estimates what peers place until their next reports, as generations of a size.
   *
   * @param tokens - tokens of one generation
   */
  estimateUnseen(tokens: number, now: Moment): UnseenWork {
    const unseenTokens = (this.computePeerRate(now) * this.readLagMs()) / MS_PER_SECOND;
    return { generations: unseenTokens / Math.max(1, tokens), random: this.random };
  }
}
