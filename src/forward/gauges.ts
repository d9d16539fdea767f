/**
 * Gauges of an instance, whose values are read at each scrape.
 */
import type { Meter } from "./requests";

/** Reads the values of the gauges. */
export interface GaugeSource {
  countOpenRequests(): number;
  countWaiting(): number;
  readConfigVersion(): number;
  countLive(): number;
  countDroppedLines(): number;
  computeLoopDelayMs(): number;
  isStoreReader(): boolean;
  computeConfigAgeMs(): number;
  computeEndpointsAgeMs(): number;
  countEvacuated(): number;
  countCold(): number;
  countPaced(): number;
}

/**
 * Adds all gauges to a meter.
 *
 * @example
 * addGauges(meter, source);
 */
export function addGauges(meter: Meter, source: GaugeSource): void {
  meter.addGauge("open_requests", "Requests without a final answer", () =>
    source.countOpenRequests(),
  );
  meter.addGauge("waiting_generations", "Generations that wait for memory", () =>
    source.countWaiting(),
  );
  meter.addGauge("config_version", "Version of the configuration in force", () =>
    source.readConfigVersion(),
  );
  meter.addGauge("live_instances", "Instances that are heard, this one too", () =>
    source.countLive(),
  );
  meter.addGauge("dropped_log_lines", "Log lines left out since the start", () =>
    source.countDroppedLines(),
  );
  meter.addGauge("loop_delay_ms", "Longest delay of the event loop in the last minute", () =>
    source.computeLoopDelayMs(),
  );
  meter.addGauge("store_reader", "1 while this instance reads the store for the fleet", () =>
    Number(source.isStoreReader()),
  );
  meter.addGauge("config_age_ms", "Time since the configuration was confirmed", () =>
    source.computeConfigAgeMs(),
  );
  meter.addGauge("endpoints_age_ms", "Time since the endpoint list was confirmed", () =>
    source.computeEndpointsAgeMs(),
  );
  meter.addGauge("evacuated_data_centres", "Data centres to which nothing is sent", () =>
    source.countEvacuated(),
  );
  meter.addGauge("cold_endpoints", "Listed endpoints that are cold", () => source.countCold());
  meter.addGauge(
    "paced_endpoints",
    "Endpoints that started or recovered and get few requests",
    () => source.countPaced(),
  );
}
