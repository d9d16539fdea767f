/**
 * Chooses engines by the time that the work is expected to take there. Applies where engines report their
 * slowness or their measured speeds differ clearly; elsewhere the engines are equals, and their free
 * memory and their queues decide.
 */
import type { EngineLimits } from "../../fleet/config";
import { hasSpeedDifference, type SpeedEstimate } from "../endpoints";
import type { DecodeDemand, EngineView, PromptToRead } from "./load";
import type { UnseenWork } from "./spread";

/** Expected time at an engine of another data centre, as a multiple: its streams cross a link. */
const OTHER_DATA_CENTRE_FACTOR = 1.15;
/**
 * Random share of the expected time. Instances learn of each other's choices with heartbeats; without
 * it, all that have the same view would choose the same engine until the next one.
 */
const JITTER = 0.2;
/** Highest usage that an expected time is computed for; time grows without bound towards 1. */
const MAX_USAGE = 0.95;

/**
 * Checks whether engines are chosen by expected time.
 *
 * @example
 * usesExpectedTime(views.filter((view) => view.endpoint.stage === EngineStage.decode));
 */
export function usesExpectedTime(views: readonly EngineView[]): boolean {
  const isKnown = (estimate: SpeedEstimate | undefined) => estimate !== undefined;
  return hasSpeedDifference(views.map(({ estimate }) => estimate).filter(isKnown));
}

/**
 * Computes by how much longer than usual work takes at an engine; 1 where engines are not chosen by
 * expected time.
 *
 * @example
 * computeSlowdown(view, prefills); // 2.5
 */
export function computeSlowdown(view: EngineView, views: readonly EngineView[]): number {
  return usesExpectedTime(views) ? readRatio(view) : 1;
}

/**
 * Computes the expected time of a generation at a decode engine, as a multiple of that at a free engine
 * of typical speed. It grows with the share of memory or slots in use, whichever is larger: steps take
 * longer, and the room may be taken by others before the generation arrives.
 *
 * @example
 * computeDecodeCost(view, limits, { needTokens: 3400, dataCentre: "nizwa" }); // 2 at half use
 */
export function computeDecodeCost(
  view: EngineView,
  limits: EngineLimits,
  { needTokens, dataCentre, unseen }: DecodeDemand,
): number {
  const requests = Math.max(view.requests, view.report?.requests ?? 0);
  const slotUsage = requests / computeSlots(view, limits);
  const memoryUsage = (view.heldTokens + needTokens / 2) / limits.capacityTokens;
  const usage = Math.min(MAX_USAGE, Math.max(slotUsage, memoryUsage));
  const distance = view.endpoint.dataCentre === dataCentre ? 1 : OTHER_DATA_CENTRE_FACTOR;
  return (readRatio(view) * distance * drawJitter(unseen)) / (1 - usage);
}

/** Computes how many requests an engine runs: as many as it reports, at most the configured number. */
export function computeSlots({ report }: EngineView, { slots }: EngineLimits): number {
  return report === undefined || report.slots === 0 ? slots : Math.min(slots, report.slots);
}

/** Computes the expected time until a prefill engine has read a prompt, with jitter. */
export function computePrefillCost(
  view: EngineView,
  { promptTokens, unseen }: PromptToRead,
): number {
  return (promptTokens + view.promptTokens) * readRatio(view) * drawJitter(unseen);
}

/** Draws a factor, so that instances with the same view don't all choose the same engine. */
function drawJitter(unseen: UnseenWork | undefined): number {
  return 1 + JITTER * (unseen?.random() ?? 0);
}

function readRatio({ estimate }: EngineView): number {
  return estimate?.ratio ?? 1;
}
