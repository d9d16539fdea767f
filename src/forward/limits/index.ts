/**
 * Decides whether anything may be sent to an endpoint now.
 */
export { LimitAccounts } from "./accounts";
export { Announcer } from "./announcer";
export { EndpointGate, type EndpointTarget } from "./gate";
export { EndpointLimits } from "./limits";
export { PeerPermitTransport, Permits, answerPermit } from "./permits";
export { decodeLimit, encodeLimit } from "./wire";
