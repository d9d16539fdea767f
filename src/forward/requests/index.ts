/**
 * Types of requests, responses and calls, and what every part says of them.
 */
export { AbortCause, DeadlineSignal } from "./abort";
export { LoopDelaySampler } from "./loopdelay";
export {
  type BufferedResponse,
  type CacheSource,
  type CallerCodec,
  type EndpointCall,
  type EndpointCodec,
  type EndpointLoad,
  type EndpointNotice,
  type EndpointRequest,
  type ForwardRequest,
  type GenerationSize,
  OrderResult,
  type PrefilledPrompt,
  type RequestHead,
  type ResponseHead,
  SendTask,
  type StageOrder,
  Verdict,
} from "./messages";
export { Meter, RequestOutcome } from "./meter";
export { RequestStage, type StageRecorder } from "./waits";
