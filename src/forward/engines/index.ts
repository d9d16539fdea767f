/**
 * Chooses decode engines and reserves memory there, and decides the stages of engines.
 */
export { Arrivals } from "./arrivals";
export { computeSlowdown } from "./expected";
export { EngineLoadTracker, type EngineView, chooseDecode, choosePrefill } from "./load";
export { EngineModel, computePrefillMs } from "./model";
export { computeReservationTokens, computeRetryAfterMs, computeWaitLimits } from "./overload";
export { StageRebalancer, type StageRebalancerParts } from "./rebalancer";
export { type Reservation, ReservationQueue } from "./reservations";
export type { StageLoad } from "./stages";
