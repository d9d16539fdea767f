/**
 * Runs generations: prefill, decode, and streams that go on at another engine.
 */
export type { StreamSink } from "./decode";
export { ResumeResolver, type StreamStart } from "./resume";
export { StreamRun } from "./stream";
