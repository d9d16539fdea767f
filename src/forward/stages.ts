/**
 * How many engines of a service should read prompts and how many should decode, by the work that
 * comes in; and which engine to change.
 */
import { type EndpointEntry, EngineStage } from "../fleet/directory";

/** What the choice is made from. */
export interface StageLoad {
  /** Engines that can be used. */
  readonly engines: readonly EndpointEntry[];
  /** Prompt tokens that came in within a second, over all instances, on average. */
  readonly promptTokensPerSecond: number;
}

/** A change of an engine's stage. */
export interface StageChange {
  readonly engine: EndpointEntry;
  readonly stage: EngineStage;
  readonly reason: string;
}

/**
 * Prompt tokens that a prefill engine reads in a second while its queue stays short. What comes
 * beyond is read by the decode engines, at half the speed.
 */
const PREFILL_ENGINE_TOKENS_PER_SECOND = 33_000;
/** The most of the engines that read prompts only: a generation holds an engine far longer. */
const MAX_PREFILL_SHARE = 0.25;
/** From so few engines on all decode, and read the prompts themselves. */
const MIN_ENGINES_FOR_PREFILL = 3;

/**
 * Computes how many engines should only read prompts.
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
 * @returns undefined where the stages are as they should be
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

/** All who choose among the same engines choose the same one. */
function findLastById(engines: readonly EndpointEntry[]): EndpointEntry | undefined {
  return [...engines].sort((a, b) => (a.id < b.id ? -1 : 1)).at(-1);
}
