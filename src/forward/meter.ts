/**
 * Counters and latency histograms of an instance, served as text.
 */
import { build, type Histogram } from "hdr-histogram-js";

/** Counters. */
export const Counter = {
  requests: "gorsefold_requests_total",
  refusals: "gorsefold_refusals_total",
  sends: "gorsefold_sends_total",
  repeats: "gorsefold_repeats_total",
  storeCalls: "gorsefold_store_calls_total",
  storeFailures: "gorsefold_store_failures_total",
  droppedLines: "gorsefold_dropped_log_lines_total",
} as const;
export type Counter = (typeof Counter)[keyof typeof Counter];

/** Histograms, in milliseconds. */
export const Timing = {
  answer: "gorsefold_answer_ms",
  firstEvent: "gorsefold_first_event_ms",
  queue: "gorsefold_queue_ms",
  prefill: "gorsefold_prefill_ms",
} as const;
export type Timing = (typeof Timing)[keyof typeof Timing];

const HIGHEST_MS = 120_000;
const QUANTILES = [50, 90, 99] as const;

/** Counts and times. */
export class Meter {
  private readonly counters = new Map<string, number>();
  private readonly histograms = new Map<Timing, Histogram>();
  private readonly gauges = new Map<string, () => number>();

  /** Adds to a counter. */
  count(counter: Counter, labels: Readonly<Record<string, string>> = {}, by = 1): void {
    const name = printName(counter, labels);
    this.counters.set(name, (this.counters.get(name) ?? 0) + by);
  }

  /** Records a time in milliseconds. */
  record(timing: Timing, ms: number): void {
    let histogram = this.histograms.get(timing);
    if (histogram === undefined) {
      histogram = build({ highestTrackableValue: HIGHEST_MS, numberOfSignificantValueDigits: 2 });
      this.histograms.set(timing, histogram);
    }
    histogram.recordValue(Math.min(HIGHEST_MS, Math.max(0, Math.round(ms))));
  }

  /** Adds a value that is read when the metrics are. */
  addGauge(name: string, read: () => number): void {
    this.gauges.set(name, read);
  }

  /** Prints all in the text format that scrapers read. */
  print(): string {
    const lines: string[] = [];
    for (const [name, value] of this.counters) lines.push(`${name} ${value}`);
    for (const [name, read] of this.gauges) lines.push(`${name} ${read()}`);
    for (const [timing, histogram] of this.histograms) {
      for (const quantile of QUANTILES) {
        const value = histogram.getValueAtPercentile(quantile);
        lines.push(`${timing}{quantile="${quantile / 100}"} ${value}`);
      }
      lines.push(`${timing}_count ${histogram.totalCount}`);
    }
    return `${lines.join("\n")}\n`;
  }
}

function printName(counter: Counter, labels: Readonly<Record<string, string>>): string {
  const pairs = Object.entries(labels).map(([name, value]) => `${name}="${value}"`);
  return pairs.length === 0 ? counter : `${counter}{${pairs.join(",")}}`;
}
