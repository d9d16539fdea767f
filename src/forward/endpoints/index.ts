/**
 * Sends requests and calls to endpoints, and tracks how they answer.
 */
export { discardBody, readWholeBody } from "./body";
export {
  type EndpointClient,
  HttpEndpointClient,
  type OpenResponse,
  SendFailure,
  SendFailureKind,
} from "./client";
export {
  type ForwardContext,
  type RequestTimes,
  computeTimes,
  resetDataCentreConnections,
} from "./context";
export { ConfirmedProcesses } from "./confirmedprocesses";
export { type AnswerEnd, confirmEnd, describeUnasserted } from "./endcheck";
export { CallOutcome, HealthTracker, type HealthView } from "./health";
export { findNotRunEvidence, type NotRunEvidence } from "./notrun";
export { ConnectionWay } from "./pool";
export {
  createWorkKind,
  hasSpeedDifference,
  type SlownessReport,
  type SpeedEstimate,
} from "./speeds";
export { EndpointState, createProcessId, createSuspect, probeEndpoint } from "./probe";
export {
  CheckMoment,
  checkProcess,
  isOtherProcess,
  type ProcessAnswer,
  ProcessState,
} from "./processcheck";
export { EndpointSubsets } from "./subset";
export { askWriter, type WriterQuestion } from "./writerquestion";
export { isInRegions } from "./restriction";
export { Releaser } from "./releaser";
