/**
 * Chooses the prefill and the decode engine of a request.
 */

/** What placement knows of one engine. */
export interface PlacementCandidate {
  readonly name: string;
  readonly dataCentre: string;
  /** Decode slots, or prefills at a time. */
  readonly slots: number;
  /** Slots in use, with what was granted since the last report. */
  readonly usedSlots: number;
  /** Prompt tokens that are ahead of a new one on a prefill engine. */
  readonly tokensAhead: number;
  /** Transfers that run out of a prefill engine or into a decode engine. */
  readonly transfers: number;
  /** Tokens of the request's prefix that the engine has cached. */
  readonly cachedTokens: number;
  /** True while a request runs there that may crash it. */
  readonly hasSuspect: boolean;
}

/** What placement knows of the request. */
export interface PlacementRequest {
  readonly promptTokens: number;
  readonly isSuspect: boolean;
  /** Data centre of the instance that has the request. */
  readonly dataCentre: string;
}

/** A chosen pair of engines. */
export interface Placement {
  readonly prefill: string;
  readonly decode: string;
  readonly candidates: number;
  readonly reason: string;
}

/** The costs that placement weighs. */
export interface PlacementCosts {
  /** Prompt tokens that a prefill engine works off in a millisecond. */
  readonly prefillTokensPerMs: number;
  /** Prompt tokens whose KV cache crosses a free link in a millisecond. */
  readonly transferTokensPerMs: number;
  /** How much longer a transfer takes between data centres, as a factor. */
  readonly crossDataCentreFactor: number;
}

/** Costs of a usual pool. */
export const DEFAULT_PLACEMENT_COSTS: PlacementCosts = {
  prefillTokensPerMs: 20,
  transferTokensPerMs: 100,
  crossDataCentreFactor: 2,
};

/** A way to place requests. */
export interface PlacementPolicy {
  readonly name: string;
  /** True where a decode slot has to be free before the prefill starts. */
  readonly reservesSlots: boolean;
  /** Chooses engines, or nothing while none is free. */
  choose(
    request: PlacementRequest,
    prefills: readonly PlacementCandidate[],
    decodes: readonly PlacementCandidate[],
  ): Placement | undefined;
}

/** Reserves a slot and weighs cache, work ahead, transfer and load together. */
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
    const sharing = 1 + Math.max(prefill.transfers, decode.transfers);
    return (request.promptTokens * factor * sharing) / this.costs.transferTokensPerMs;
  }
}

/** Round robin with no regard to load or slots: the baseline. */
export class RoundRobinPolicy implements PlacementPolicy {
  readonly name = "round robin";
  readonly reservesSlots = false;
  private turn = 0;

  choose(
    _request: PlacementRequest,
    prefills: readonly PlacementCandidate[],
    decodes: readonly PlacementCandidate[],
  ): Placement | undefined {
    const prefill = prefills[this.turn % Math.max(1, prefills.length)];
    const decode = decodes[this.turn % Math.max(1, decodes.length)];
    this.turn += 1;
    if (prefill === undefined || decode === undefined) return undefined;
    const candidates = prefills.length * decodes.length;
    return { prefill: prefill.name, decode: decode.name, candidates, reason: "next in turn" };
  }
}

function isEligible(engine: PlacementCandidate, request: PlacementRequest): boolean {
  if (engine.usedSlots >= engine.slots) return false;
  return !(request.isSuspect && engine.hasSuspect);
}

/** A fuller decode engine has a longer step; a millisecond for each slot in use spreads the load. */
function computeLoadCostMs(engine: PlacementCandidate): number {
  return engine.usedSlots;
}
