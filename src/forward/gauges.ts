/**
 * Gauges of an instance, whose values are read at each scrape.
 */
import type { TrafficCount } from "../fleet/relay/traffic";
import type { Meter } from "./requests";

/** What the gauges of relaying read. */
export interface RelayGaugeSource {
  readonly isActive: boolean;
  readonly isRelay: boolean;
  listNeighbours(): readonly string[];
  /** Time since the most silent neighbour was heard, in milliseconds; 0 without neighbours. */
  computeSilenceMs(): number;
  readonly traffic: { readonly sent: TrafficCount; readonly received: TrafficCount };
}

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
  countHeldBytes(): number;
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
  meter.addGauge("held_bytes", "Bytes held of answers of endpoints", () => source.countHeldBytes());
  meter.addGauge(
    "paced_endpoints",
    "Endpoints that started or recovered and get few requests",
    () => source.countPaced(),
  );
}

/**
 * Adds the gauges of relaying to a meter. Counts of messages and bytes rise from the start on.
 *
 * @example
 * addRelayGauges(meter, network);
 */
export function addRelayGauges(meter: Meter, source: RelayGaugeSource): void {
  meter.addGauge("relay_role", "0 without relays, 1 for a member, 2 for a relay", () => {
    if (!source.isActive) return 0;
    return source.isRelay ? 2 : 1;
  });
  meter.addGauge(
    "relay_neighbours",
    "Neighbours that are heard on relay streams",
    () => source.listNeighbours().length,
  );
  meter.addGauge("relay_silence_ms", "Time since the most silent neighbour was heard", () =>
    source.computeSilenceMs(),
  );
  for (const direction of ["sent", "received"] as const) {
    const count = source.traffic[direction];
    const add = (name: string, help: string, read: () => number) => {
      meter.addGauge(`relay_${direction}_${name}`, `${help} that were ${direction}`, read);
    };
    add("messages", "Messages on relay streams", () => count.messages);
    add("bytes", "Bytes of messages on relay streams", () => count.bytes);
    add("keep_alives", "Messages without records and sums", () => count.keepAlives);
    add("records", "Records on relay streams", () => count.records);
    add("reports", "Sums of load on relay streams", () => count.reports);
  }
}
