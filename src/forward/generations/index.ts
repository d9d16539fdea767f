/**
 * Runs generations: prefill, decode, and streams that go on at another engine.
 */
export type { StreamSink } from "./decode";
export { MAX_RETURN_MS, ResumeResolver, type StreamStart } from "./resume";
export { StreamRun } from "./stream";
export { createTakeUpCheck } from "./takeupcheck";
