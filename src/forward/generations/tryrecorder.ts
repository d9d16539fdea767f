/**
 * Records the tries of a generation in the log and in the metrics.
 */
import { computeRemainingMs, type Moment } from "../../core/clock";
import type { ForwardContext, RequestTimes } from "../endpoints";
import type { ForwardRequest } from "../requests";
import { TryEnd, type TryResult } from "./tries";
import type { TryStart } from "./sentrun";

/** How far the stream to the caller has come. */
export interface StreamProgress {
  /** The last event that was sent to the caller. */
  readonly lastEventId: string | undefined;
  /** When the first event was sent to the caller. */
  readonly firstEventAt: Moment | undefined;
}

/** Records the tries of one generation. */
export class TryRecorder {
  constructor(
    private readonly context: ForwardContext,
    private readonly request: ForwardRequest,
    private readonly times: RequestTimes,
  ) {}

  /** Records the end of a try. */
  record(start: TryStart, result: TryResult, progress: StreamProgress): void {
    const { clock, logger, meter } = this.context;
    const { service, head } = this.request;
    const { end, message, evidence, answerEnd, peer } = result;
    const { engine, startedAt, prefilledAt } = start;
    const { endpoint, needTokens } = engine.reservation;
    const ms = clock.now() - prefilledAt;
    meter.recordSend({ service, endpoint: endpoint.id, outcome: end }, ms);
    const fields = {
      request: head.id,
      engine: endpoint.id,
      prefill: engine.source?.endpoint.address ?? "none",
      end,
      evidence,
      proof: answerEnd?.proof,
      endedBy: answerEnd?.by,
      peer,
      message,
      lastEvent: progress.lastEventId ?? "",
      needTokens,
      waitedMs: Math.round(startedAt - this.times.arrivedAt),
      prefillMs: Math.round(prefilledAt - startedAt),
      firstMs: Math.round((progress.firstEventAt ?? prefilledAt) - prefilledAt),
      decodeMs: Math.round(ms),
    };
    if (end === TryEnd.complete || end === TryEnd.withdrawn) logger.info("try", fields);
    else logger.warn("try", fields);
  }

  /**
   * Records that a generation is tried once more.
   *
   * @param runs - number of runs that have ended
   */
  recordRetry(result: TryResult, runs: number, { lastEventId }: StreamProgress): void {
    const { clock, logger } = this.context;
    this.recordRepeat(result);
    logger.info("retry", {
      request: this.request.head.id,
      after: result.end,
      message: result.message,
      runs,
      lastEvent: lastEventId ?? "",
      leftMs: computeRemainingMs(this.times.deadline, clock.now()),
    });
  }

  /** Counts a run of which there is another one, unless it was none. */
  recordRepeat({ end }: TryResult): void {
    const { service } = this.request;
    if (end !== TryEnd.notRun) this.context.meter.repeats.inc({ service });
  }
}
