/**
 * Counters, gauges and latency histograms of an instance, in the Prometheus text format.
 */
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { MS_PER_SECOND } from "../../core/clock";

const PREFIX = "gorsefold_";
/** Upper bounds of the latency buckets, in seconds: from a lookup to the longest stream. */
const LATENCY_BUCKETS_S = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 20];

/** How a request ended. */
export const RequestOutcome = {
  /** Answered by an endpoint, completely and without a failure status. */
  answered: "answered",
  /** Not run. */
  refused: "refused",
  /** The endpoint failed, the stream broke, or it is unknown whether the request ran. */
  failed: "failed",
  cancelled: "cancelled",
} as const;
export type RequestOutcome = (typeof RequestOutcome)[keyof typeof RequestOutcome];

/** Records the metrics of an instance. */
export class Meter {
  private readonly registry = new Registry();
  private readonly registers = [this.registry];
  /**
   * Labels of the send series, by endpoint and by service and outcome, so that they can be removed.
   */
  private readonly labelsByEndpoint = new Map<string, Map<string, SendLabels>>();

  /** Refusals, the final responses that the router creates itself. */
  readonly refusals = this.createCounter("refusals_total", "Answers of the router's own", [
    "reason",
  ]);
  readonly overdue = this.createCounter(
    "overdue_requests_total",
    "Requests that had no final response long after their deadline, by what they waited for",
    ["stage"],
  );
  readonly repeats = this.createCounter("repeats_total", "Requests sent once more", ["service"]);
  readonly timedChoices = this.createCounter(
    "expected_time_choices_total",
    "Endpoints that were chosen by expected time, not by load alone",
    ["service"],
  );
  readonly foreignAnswers = this.createCounter(
    "foreign_answers_total",
    "Answers that came where the answer to another exchange was due",
    ["service"],
  );
  readonly brokenAnswers = this.createCounter(
    "broken_answers_total",
    "Answers that were not passed on, as they are not known to be whole, or their status is none",
    ["service", "reason"],
  );
  readonly answerEnds = this.createCounter(
    "answer_ends_total",
    "Answers of endpoints whose bytes ended without an error, by what shows that they are whole, who ended their connection, its way, and what was found of their writer",
    ["service", "proof", "by", "way", "writer"],
  );
  readonly servedTunnelEnds = this.createCounter(
    "served_tunnel_ends_total",
    "Connections to endpoints that this instance kept for peers, by why they ended, who is said to have ended them, and whether they only asked the endpoint about itself",
    ["reason", "by", "use"],
  );
  readonly callerAnswers = this.createCounter(
    "caller_answers_total",
    "Answers to callers that began, by what shows their end: a length, chunks or their connection",
    ["framing"],
  );
  readonly callerAnswerEnds = this.createCounter(
    "caller_answer_ends_total",
    "Answers to callers that ended, by what shows their end, and whether all was written, they were cut or this process closed",
    ["framing", "end"],
  );
  readonly joinedRuns = this.createCounter(
    "joined_runs_total",
    "Runs that went on with a stream, by the version of the process that is listed, against the first run's",
    ["service", "version"],
  );
  readonly leftOutRuns = this.createCounter(
    "left_out_runs_total",
    "Runs that were to go on with a stream and left events out, so that none of theirs was passed on",
    ["service"],
  );
  readonly processChecks = this.createCounter(
    "process_checks_total",
    "Engines that were asked which process they are, as a stream was to go on there",
    ["service", "moment", "state"],
  );
  readonly permits = this.createCounter(
    "permits_total",
    "Permits for endpoints with a limit, by whether this instance got them and what limits them",
    ["outcome", "source"],
  );
  readonly connections = this.createCounter(
    "connections_total",
    "Connections opened to endpoints, by whether directly or over a peer",
    ["way"],
  );
  readonly resumed = this.createCounter(
    "resumed_total",
    "Streams that callers took up again, by where their origin was found",
    ["service", "source"],
  );
  readonly unconfirmedTakeUps = this.createCounter(
    "take_ups_unconfirmed_total",
    "Streams that callers could not take up as the list of endpoints was not confirmed in time",
    ["service"],
  );
  readonly unknownOrigins = this.createCounter(
    "unknown_origins_total",
    "Origins of streams, begun here or at peers, whose version is not known",
    ["service"],
  );
  readonly originsStored = this.createCounter(
    "origins_stored_total",
    "Origins of streams that this instance wrote to the store",
    [],
  );
  readonly storeCalls = this.createCounter("store_calls_total", "Calls to the store", []);
  readonly storeFailures = this.createCounter("store_failures_total", "Failed calls to it", []);
  readonly bodiesRefused = this.createCounter(
    "bodies_refused_total",
    "Bodies of callers that were not read, as too many others are",
    ["reason"],
  );
  readonly lastConnections = this.createCounter(
    "last_connections_total",
    "Connections that waited at the listener of a stopping instance, and were accepted before it closed",
    [],
  );
  readonly crowdedConnections = this.createCounter(
    "crowded_connections_total",
    "Connections of callers that were closed for too many requests behind each other",
    [],
  );
  readonly noRoom = this.createCounter(
    "no_room_total",
    "Answers and streams that were ended, as no room was left for what was held of them",
    [],
  );
  readonly listMoves = this.createCounter(
    "list_moves_total",
    "Reads, lists and heartbeats of peers that moved the position of the list of endpoints, or left it",
    ["by"],
  );
  readonly unusableRecords = this.createCounter(
    "unusable_records_total",
    "Records of the store or of peers that cannot be used",
    ["topic"],
  );
  private readonly requests = this.createHistogram(
    "request_duration_seconds",
    "From a request's arrival to the end of its answer",
    ["route", "priority", "outcome"],
  );
  private readonly sends = this.createHistogram(
    "send_duration_seconds",
    "From a send to an endpoint to the end of its answer",
    ["service", "endpoint", "outcome"],
  );
  private readonly firstEvents = this.createHistogram(
    "first_event_seconds",
    "From a generation's arrival to its first event",
    ["route", "priority"],
  );
  private readonly waits = this.createHistogram(
    "queue_wait_seconds",
    "How long generations wait for memory at an engine",
    ["service"],
  );
  private readonly loopDelays = this.createHistogram(
    "loop_delay_seconds",
    "How late the event loop runs",
    [],
  );
  private readonly prefills = this.createHistogram(
    "prefill_seconds",
    "How long engines take to read a prompt, its wait there included",
    ["service"],
  );

  /** Records the end of a request. */
  recordRequest(route: string, priority: number, outcome: RequestOutcome, ms: number): void {
    this.requests.observe({ route, priority, outcome }, ms / MS_PER_SECOND);
  }

  /** Records the end of a send to an endpoint. */
  recordSend(labels: SendLabels, ms: number): void {
    this.sends.observe({ ...labels }, ms / MS_PER_SECOND);
    let labelsByKey = this.labelsByEndpoint.get(labels.endpoint);
    if (labelsByKey === undefined) {
      labelsByKey = new Map();
      this.labelsByEndpoint.set(labels.endpoint, labelsByKey);
    }
    labelsByKey.set(`${labels.service}\n${labels.outcome}`, labels);
  }

  /** Records the first event of a generation. */
  recordFirstEvent(route: string, priority: number, ms: number): void {
    this.firstEvents.observe({ route, priority }, ms / MS_PER_SECOND);
  }

  /** Records how long a generation waited for memory. */
  recordWait(service: string, ms: number): void {
    this.waits.observe({ service }, ms / MS_PER_SECOND);
  }

  /** Records how late the event loop ran. */
  recordLoopDelay(ms: number): void {
    this.loopDelays.observe(ms / MS_PER_SECOND);
  }

  /** Records how long an engine took to read a prompt. */
  recordPrefill(service: string, ms: number): void {
    this.prefills.observe({ service }, ms / MS_PER_SECOND);
  }

  /** Adds a gauge whose value is read at each scrape. */
  addGauge(name: string, help: string, read: () => number): void {
    const gauge = new Gauge({
      name: `${PREFIX}${name}`,
      help,
      registers: this.registers,
      collect: () => {
        gauge.set(read());
      },
    });
  }

  /**
   * Removes the series of endpoints that are no longer listed, so that the number of series is
   * bounded.
   */
  prune(isListed: (endpoint: string) => boolean): void {
    for (const [endpoint, labelsByKey] of this.labelsByEndpoint) {
      if (isListed(endpoint)) continue;
      for (const labels of labelsByKey.values()) this.sends.remove({ ...labels });
      this.labelsByEndpoint.delete(endpoint);
    }
  }

  private createCounter<L extends string>(name: string, help: string, labelNames: readonly L[]) {
    return new Counter({ name: `${PREFIX}${name}`, help, labelNames, registers: this.registers });
  }

  private createHistogram<L extends string>(name: string, help: string, labelNames: readonly L[]) {
    return new Histogram({
      name: `${PREFIX}${name}`,
      help,
      labelNames,
      buckets: LATENCY_BUCKETS_S,
      registers: this.registers,
    });
  }

  /** Renders all metrics in the Prometheus text format. */
  renderMetrics(): Promise<string> {
    return this.registry.metrics();
  }
}

/** Labels of the metrics of a send. */
export interface SendLabels {
  readonly service: string;
  readonly endpoint: string;
  readonly outcome: string;
}
