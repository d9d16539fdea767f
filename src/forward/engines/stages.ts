/**
 * Computes how many engines of a service should prefill and how many should decode from the prompt
 * tokens that arrive, and chooses the engine that changes its stage.
 */
import { MS_PER_SECOND } from "../../core/clock";
import { type EndpointEntry, EngineStage } from "../../fleet/entries";

/** The engines and the load of a service. */
export interface StageLoad {
  /** Usable engines. */
  readonly engines: readonly EndpointEntry[];
  /** Prompt tokens that arrive per second on average, summed over all instances. */
  readonly promptTokensPerSecond: number;
  /** Prompt tokens that a prefill engine reads per millisecond. */
  readonly tokensPerMs: number;
}

/** A change of an engine's stage. */
export interface StageChange {
  readonly engine: EndpointEntry;
  readonly stage: EngineStage;
  readonly reason: string;
}

/**
 * Share of its speed up to which a prefill engine is loaded on average: its queue then stays short at
 * peaks. The decode engines read what exceeds it, far more slowly.
 */
const MAX_PREFILL_LOAD = 0.65;
/** Average load below which one prefill engine less is enough; lower, so that the mix settles. */
const MIN_PREFILL_LOAD = 0.45;
/**
 * Maximum share of engines that only prefill: a generation occupies a decode engine far longer than
 * its prompt occupies a prefill engine.
 */
const MAX_PREFILL_SHARE = 0.25;
/** Below this number of engines all decode, and read the prompts themselves. */
const MIN_ENGINES_FOR_PREFILL = 3;

/**
 * Computes how many engines should be in the prefill stage. Without load, the number is kept as far
 * as it is allowed, since nothing speaks for another one.
 *
 * @param load - the engines and the load of the service
 * @example
 * computePrefillEngines({ engines, promptTokensPerSecond: 25_000, tokensPerMs: 33 }); // 1
 */
export function computePrefillEngines(load: StageLoad): number {
  const { engines, promptTokensPerSecond, tokensPerMs } = load;
  if (engines.length < MIN_ENGINES_FOR_PREFILL) return 0;
  const max = Math.max(1, Math.floor(engines.length * MAX_PREFILL_SHARE));
  const current = engines.filter((engine) => engine.stage === EngineStage.prefill).length;
  const busyEngines = promptTokensPerSecond / (tokensPerMs * MS_PER_SECOND);
  const isIdle = promptTokensPerSecond <= 0;
  const canSpareOne = !isIdle && busyEngines <= MIN_PREFILL_LOAD * (current - 1);
  const needed = Math.ceil(busyEngines / MAX_PREFILL_LOAD);
  const wanted = canSpareOne ? needed : Math.max(needed, current);
  return Math.min(max, Math.max(1, wanted));
}

/**
 * Chooses the next change of an engine's stage. The last decode engine of a version stays one, as
 * no other can go on with its streams.
 *
 * @returns undefined if no engine needs to change
 * @example
 * chooseStageChange({ engines, promptTokensPerSecond: 25_000, tokensPerMs: 33 });
 */
export function chooseStageChange(load: StageLoad): StageChange | undefined {
  const { engines } = load;
  const prefills = engines.filter((engine) => engine.stage === EngineStage.prefill);
  const decodes = engines.filter((engine) => engine.stage === EngineStage.decode);
  const wanted = computePrefillEngines(load);
  const reason = `${prefills.length} of ${engines.length} read prompts, ${wanted} should`;
  if (prefills.length > wanted) {
    const engine = findLastById(selectLeastDecoded(prefills, decodes));
    return engine && { engine, stage: EngineStage.decode, reason };
  }
  if (prefills.length < wanted) {
    const engine = findLastById(
      decodes.filter(({ version }) => countVersion(decodes, version) > 1),
    );
    return engine && { engine, stage: EngineStage.prefill, reason };
  }
  return undefined;
}

/**
 * Selects the engines of the version that has the fewest decode engines: streams go on only at their
 * version.
 */
function selectLeastDecoded(
  engines: readonly EndpointEntry[],
  decodes: readonly EndpointEntry[],
): readonly EndpointEntry[] {
  const least = Math.min(...engines.map(({ version }) => countVersion(decodes, version)));
  return engines.filter(({ version }) => countVersion(decodes, version) === least);
}

function countVersion(engines: readonly EndpointEntry[], version: string | undefined): number {
  return engines.filter((engine) => engine.version === version).length;
}

/**
 * Finds the engine with the last id, so that all instances that choose among the same engines
 * choose the same one.
 */
function findLastById(engines: readonly EndpointEntry[]): EndpointEntry | undefined {
  return [...engines].sort((a, b) => (a.id < b.id ? -1 : 1)).at(-1);
}
