/**
 * Estimates how fast the engines of each service read prompts, from the times that prefills take at
 * this instance and from what peers estimate. Everything that depends on the speed of engines
 * follows from it: the mix of stages, the choice between prefill and decode engine, and timeouts.
 */
import type { Moment } from "../../core/clock";

/** Speed that is assumed until a prefill was measured, in prompt tokens per millisecond. */
const INITIAL_TOKENS_PER_MS = 30;
/** Shorter prompts say more of the network than of the engine. */
const MIN_SAMPLE_TOKENS = 500;
/** Number of measurements that are kept for a service. */
const MAX_SAMPLES = 32;
/** Number of measurements from which an instance trusts its own estimate. */
const MIN_SAMPLES = 4;
/** How long the estimate of a peer counts, in milliseconds. */
const PEER_ESTIMATE_TTL_MS = 10_000;
/**
 * Time that a decode engine takes to read a prompt, as a multiple of a prefill engine's: it reads at
 * half the speed, in smaller pieces, between the tokens of other generations.
 */
const DECODE_READ_FACTOR = 3;

/** The estimated speed of the engines of a service. */
export interface EngineSpeed {
  readonly service: string;
  /** Prompt tokens that a prefill engine reads per millisecond. */
  readonly tokensPerMs: number;
}

interface PeerEstimate {
  readonly tokensPerMs: number;
  readonly receivedAt: Moment;
}

/** Learns the speed of engines. */
export class EngineModel {
  private readonly samples = new Map<string, number[]>();
  /** By service and peer. */
  private readonly peerEstimates = new Map<string, Map<string, PeerEstimate>>();

  /**
   * Records a prefill at an engine that had nothing else to read.
   *
   * @param ms - from sending the request to its whole response
   */
  recordPrefill(service: string, promptTokens: number, ms: number): void {
    if (promptTokens < MIN_SAMPLE_TOKENS || ms <= 0) return;
    const samples = this.samples.get(service) ?? [];
    samples.push(promptTokens / ms);
    if (samples.length > MAX_SAMPLES) samples.shift();
    this.samples.set(service, samples);
  }

  /** Replaces the estimates that a peer reported before. */
  replacePeerEstimates(peer: string, speeds: readonly EngineSpeed[], now: Moment): void {
    for (const { service, tokensPerMs } of speeds) {
      if (!Number.isFinite(tokensPerMs) || tokensPerMs <= 0) continue;
      const estimates = this.peerEstimates.get(service) ?? new Map<string, PeerEstimate>();
      estimates.set(peer, { tokensPerMs, receivedAt: now });
      this.peerEstimates.set(service, estimates);
    }
  }

  /** Lists the services that this instance has measured, to be sent to peers. */
  listLocalEstimates(): readonly EngineSpeed[] {
    return [...this.samples]
      .filter(([, samples]) => samples.length >= MIN_SAMPLES)
      .map(([service, samples]) => ({ service, tokensPerMs: computeMedian(samples) }));
  }

  /**
   * Estimates the prompt tokens that a prefill engine reads per millisecond: by the median of the
   * own measurements, or of the peers' estimates while there are too few.
   */
  readTokensPerMs(service: string, now: Moment): number {
    const samples = this.samples.get(service) ?? [];
    if (samples.length >= MIN_SAMPLES) return computeMedian(samples);
    const estimates = [...(this.peerEstimates.get(service)?.values() ?? [])]
      .filter(({ receivedAt }) => now - receivedAt <= PEER_ESTIMATE_TTL_MS)
      .map(({ tokensPerMs }) => tokensPerMs);
    if (estimates.length > 0) return computeMedian(estimates);
    return samples.length > 0 ? computeMedian(samples) : INITIAL_TOKENS_PER_MS;
  }
}

/**
 * Computes how long a prefill engine takes to read a prompt behind others, in milliseconds.
 *
 * @example
 * computePrefillMs(3000, 6000, 30); // 300
 */
export function computePrefillMs(
  promptTokens: number,
  tokensAhead: number,
  tokensPerMs: number,
): number {
  return (promptTokens + tokensAhead) / tokensPerMs;
}

/**
 * Computes how long a decode engine takes to read a prompt itself, in milliseconds.
 *
 * @example
 * computeDecodeReadMs(3000, 30); // 300
 */
export function computeDecodeReadMs(promptTokens: number, tokensPerMs: number): number {
  return (promptTokens / tokensPerMs) * DECODE_READ_FACTOR;
}

function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
