/**
 * Placement policies: choose the prefill engine and the decode engine of a request.
 */

/** An engine that a request may be placed on, with its current load. */
export interface PlacementCandidate {
  readonly name: string;
  readonly dataCentre: string;
  /** Decode slots, or concurrent prefills. */
  readonly slots: number;
  /** Slots in use, including those granted since the engine's last report. */
  readonly usedSlots: number;
  /** Prompt tokens queued ahead of a new request on a prefill engine. */
  readonly tokensAhead: number;
  /** KV-cache transfers in progress out of a prefill engine or into a decode engine. */
  readonly transfers: number;
  /** Tokens of the request's prefix in the engine's cache. */
  readonly cachedTokens: number;
  /** True while a suspect runs there: a request that may crash the engine. */
  readonly hasSuspect: boolean;
}

/** The properties of a request that placement depends on. */
export interface PlacementRequest {
  readonly promptTokens: number;
  readonly isSuspect: boolean;
  /** Data centre of the instance that handles the request. */
  readonly dataCentre: string;
}

/** The chosen engines, with the number of pairs compared and the reason for the choice. */
export interface Placement {
  readonly prefill: string;
  readonly decode: string;
  readonly candidates: number;
  readonly reason: string;
}

/** Parameters of the cost model. */
export interface PlacementCosts {
  /** Prompt tokens that a prefill engine processes per millisecond. */
  readonly prefillTokensPerMs: number;
  /** Prompt tokens whose KV cache crosses an idle link per millisecond. */
  readonly transferTokensPerMs: number;
  /** Factor by which a transfer between data centres takes longer. */
  readonly crossDataCentreFactor: number;
}

/** Default parameters, for a typical pool. */
export const DEFAULT_PLACEMENT_COSTS: PlacementCosts = {
  prefillTokensPerMs: 20,
  transferTokensPerMs: 100,
  crossDataCentreFactor: 2,
};

/** A placement policy. */
export interface PlacementPolicy {
  readonly name: string;
  /** True where the policy requires a free decode slot before the prefill starts. */
  readonly reservesSlots: boolean;
  /** Chooses engines; undefined while no pair of engines is available. */
  choose(
    request: PlacementRequest,
    prefills: readonly PlacementCandidate[],
    decodes: readonly PlacementCandidate[],
  ): Placement | undefined;
}

/**
 * Chooses, among the engines with free slots, the pair with the lowest cost, computed from cached
 * prefix, queued prefill work, transfer time and load.
 */
export class ReservingPolicy implements PlacementPolicy {
  readonly name = "reserving";
  readonly reservesSlots = true;

  constructor(private readonly costs: PlacementCosts = DEFAULT_PLACEMENT_COSTS) {}

  choose(
    request: PlacementRequest,
    prefills: readonly PlacementCandidate[],
    decodes: readonly PlacementCandidate[],
  ): Placement | undefined {
    const freePrefills = prefills.filter((engine) => isEligible(engine, request));
    const freeDecodes = decodes.filter((engine) => isEligible(engine, request));
    let best: Placement | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    const candidates = freePrefills.length * freeDecodes.length;
    for (const prefill of freePrefills) {
      const prefillMs = this.computePrefillMs(request, prefill);
      for (const decode of freeDecodes) {
        const cost =
          prefillMs + this.computeTransferMs(request, prefill, decode) + computeLoadCostMs(decode);
        if (cost >= bestCost) continue;
        bestCost = cost;
        const reason = `lowest cost ${cost.toFixed(1)} ms; cached ${prefill.cachedTokens} tokens`;
        best = { prefill: prefill.name, decode: decode.name, candidates, reason };
      }
    }
    return best;
  }

  private computePrefillMs(request: PlacementRequest, engine: PlacementCandidate): number {
    const workTokens = engine.tokensAhead + Math.max(0, request.promptTokens - engine.cachedTokens);
    return workTokens / this.costs.prefillTokensPerMs;
  }

  private computeTransferMs(
    request: PlacementRequest,
    prefill: PlacementCandidate,
    decode: PlacementCandidate,
  ): number {
    const factor = prefill.dataCentre === decode.dataCentre ? 1 : this.costs.crossDataCentreFactor;
    const transfersOnLink = 1 + Math.max(prefill.transfers, decode.transfers);
    return (request.promptTokens * factor * transfersOnLink) / this.costs.transferTokensPerMs;
  }
}

/** Round robin that ignores load and slots: the baseline for comparisons. */
export class RoundRobinPolicy implements PlacementPolicy {
  readonly name = "round robin";
  readonly reservesSlots = false;
  private nextIndex = 0;

  choose(
    _request: PlacementRequest,
    prefills: readonly PlacementCandidate[],
    decodes: readonly PlacementCandidate[],
  ): Placement | undefined {
    const prefill = prefills[this.nextIndex % Math.max(1, prefills.length)];
    const decode = decodes[this.nextIndex % Math.max(1, decodes.length)];
    this.nextIndex += 1;
    if (prefill === undefined || decode === undefined) return undefined;
    const candidates = prefills.length * decodes.length;
    return { prefill: prefill.name, decode: decode.name, candidates, reason: "next in turn" };
  }
}

function isEligible(engine: PlacementCandidate, request: PlacementRequest): boolean {
  if (engine.usedSlots >= engine.slots) return false;
  return !(request.isSuspect && engine.hasSuspect);
}

/**
 * Adds one millisecond for each slot in use, to spread the load: the more slots of a decode engine
 * are in use, the longer its steps take.
 */
function computeLoadCostMs(engine: PlacementCandidate): number {
  return engine.usedSlots;
}
