/**
 * Sends the metrics of an instance over StatsD.
 */
import { StatsD } from "hot-shots";
import type { Address } from "./settings";

/** Names of the metrics that an instance sends; docs/OPERATIONS.md lists their units. */
export const Metric = {
  request: "request",
  firstTokenMs: "first_token_ms",
  queueMs: "queue_ms",
  attempt: "attempt",
  resumed: "resumed",
  wastedPrefill: "wasted_prefill",
  refusal: "refusal",
  holdsOpen: "holds_open",
  queueLength: "queue_length",
  lateMessage: "late_message",
  resentWant: "resent_want",
  eventLoopDelayMs: "event_loop_delay_p99_ms",
  configVersion: "config_version",
  configAgeMs: "config_age_ms",
  claim: "claim",
  brokenAnswer: "broken_answer",
  borrowed: "borrowed_tokens",
} as const;
export type Metric = (typeof Metric)[keyof typeof Metric];

/** A sink of metrics. */
export interface Metrics {
  count(metric: Metric, by?: number, tags?: Readonly<Record<string, string>>): void;
  gauge(metric: Metric, value: number): void;
  timing(metric: Metric, ms: number, tags?: Readonly<Record<string, string>>): void;
  close(): void;
}

/**
 * Creates the StatsD client of an instance. Send errors are ignored.
 *
 * @param instance - the instance name, sent as a tag
 * @param address - where StatsD listens; undefined to send nothing
 * @example
 * createMetrics("nizwa-1", { host: "127.0.0.1", port: 8125 }).count(Metric.request);
 */
export function createMetrics(instance: string, address: Address | undefined): Metrics {
  const client = new StatsD({
    prefix: "gorsefold.",
    globalTags: { instance },
    mock: address === undefined,
    ...(address === undefined ? {} : { host: address.host, port: address.port }),
    errorHandler: () => undefined,
  });
  return {
    count: (metric, by = 1, tags = {}) => {
      client.increment(metric, by, tags);
    },
    gauge: (metric, value) => {
      client.gauge(metric, value);
    },
    timing: (metric, ms, tags = {}) => {
      client.timing(metric, ms, tags);
    },
    close: () => {
      client.close(() => undefined);
    },
  };
}
