/**
 * Decides whether anything may be sent to an endpoint now.
 */
export { LimitAccounts } from "./accounts";
export { Announcer } from "./announcer";
export { ColdEndpoints, type ColdTolerance } from "./cold";
export { EndpointGate, type EndpointTarget } from "./gate";
export { EndpointLimits } from "./limits";
export { PaceAccounts } from "./paceaccounts";
export { type EndedSend, Pacing, type PacingParts, SendEnding } from "./pacing";
export { PeerPermitTransport, Permits, answerPermit } from "./permits";
export { LimitSources } from "./sources";
export { decodeCold, decodeLimit, decodePaced, encodeCold, encodeLimit, encodePaced } from "./wire";
