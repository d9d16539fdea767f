/**
 * Computes how many engines of a service should prefill and how many should decode from the prompt
 * tokens that arrive, and chooses the engine that changes its stage.
 */
import { type EndpointEntry, EngineStage } from "../fleet/directory";

/** The engines and the load of a service. */
export interface StageLoad {
  /** Usable engines. */
  readonly engines: readonly EndpointEntry[];
  /** Prompt tokens that arrive per second on average, summed over all instances. */
  readonly promptTokensPerSecond: number;
}

/** A change of an engine's stage. */
export interface StageChange {
  readonly engine: EndpointEntry;
  readonly stage: EngineStage;
  readonly reason: string;
}

/**
 * Prompt tokens that a prefill engine reads per second while its queue stays short. The decode
 * engines read what exceeds it, at half the speed.
 */
const PREFILL_ENGINE_TOKENS_PER_SECOND = 33_000;
/**
 * Maximum share of engines that only prefill: a generation occupies a decode engine far longer than
 * its prompt occupies a prefill engine.
 */
const MAX_PREFILL_SHARE = 0.25;
/** Below this number of engines all decode, and read the prompts themselves. */
const MIN_ENGINES_FOR_PREFILL = 3;

/**
 * Computes how many engines should be in the prefill stage.
 *
 * @example
 * computePrefillEngines(6, 25_000); // 1
 */
export function computePrefillEngines(engines: number, promptTokensPerSecond: number): number {
  if (engines < MIN_ENGINES_FOR_PREFILL) return 0;
  const wanted = Math.round(promptTokensPerSecond / PREFILL_ENGINE_TOKENS_PER_SECOND);
  const max = Math.max(1, Math.floor(engines * MAX_PREFILL_SHARE));
  return Math.min(max, Math.max(1, wanted));
}

/**
 * Chooses the next change of an engine's stage.
 *
 * @returns undefined if no engine needs to change
 * @example
 * chooseStageChange({ engines, promptTokensPerSecond: 25_000 });
 */
export function chooseStageChange(load: StageLoad): StageChange | undefined {
  const { engines, promptTokensPerSecond } = load;
  const prefills = engines.filter((engine) => engine.stage === EngineStage.prefill);
  const decodes = engines.filter((engine) => engine.stage === EngineStage.decode);
  const wanted = computePrefillEngines(engines.length, promptTokensPerSecond);
  const reason = `${prefills.length} of ${engines.length} read prompts, ${wanted} should`;
  if (prefills.length > wanted) {
    const engine = findLastById(prefills);
    return engine && { engine, stage: EngineStage.decode, reason };
  }
  if (prefills.length < wanted && decodes.length > 1) {
    const engine = findLastById(decodes);
    return engine && { engine, stage: EngineStage.prefill, reason };
  }
  return undefined;
}

/**
 * Finds the engine with the last id, so that all instances that choose among the same engines
 * choose the same one.
 */
function findLastById(engines: readonly EndpointEntry[]): EndpointEntry | undefined {
  return [...engines].sort((a, b) => (a.id < b.id ? -1 : 1)).at(-1);
}
