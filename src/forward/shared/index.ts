/**
 * What instances tell each other: accounts of workspaces, crashes, and origins of streams.
 */
export { PeerChargeTransport, answerCharge, createRelayedCharge } from "./chargepeer";
export { QuotaCharger } from "./charges";
export { createCrashTracker } from "./crashtracking";
export { decodeKnowledge, encodeKnowledge } from "./crashwire";
export { type ConfirmedList, FAILED_READ_PAUSE_MS, ListConfirmer } from "./listconfirmer";
export { OpenQuestions } from "./openquestions";
export { OriginPublisher } from "./originpublisher";
export { OriginWriter } from "./originwriter";
export { StoredOrigins } from "./storedorigins";
export { PeerOriginTransport, answerRecall, keepOrigins } from "./originpeer";
export {
  dropVersion,
  type NamedOrigin,
  type StreamName,
  type StreamOrigin,
  StreamOrigins,
} from "./origins";
export {
  PEER_COUNT_LAG_MS,
  type QuotaTolerance,
  Quotas,
  RELAYED_COUNT_LAG_MS,
  RELAYED_PEERS,
} from "./quota";
export { RefusalTracker } from "./refusals";
export { type FoundOrigin, OriginSource, SharedOrigins } from "./sharedorigins";
export { UnknownOrigins } from "./unknownorigins";
export { CLOCK_TOLERANCE_MS, canGoOn, canHaveBegun, confirmOrigin } from "./versions";
