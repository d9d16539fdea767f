/**
 * Serves callers: parses, admits and dispatches their requests, and writes the responses.
 */
export { Admission } from "./admission";
export { Dispatcher } from "./dispatch";
export { StopAdmission } from "./stopadmission";
export { type CallerRequest, type CallerResponse, ForwardServer } from "./server";
