/**
 * Finds requests that have no final response some time after their deadline: whatever they wait for has
 * not ended their wait, which is a fault of this program.
 */
import type { Moment } from "../../core/clock";
import { RequestStage, type StageRecorder } from "../requests";

/** How often requests are checked, in milliseconds. */
export const CHECK_INTERVAL_MS = 250;
/**
 * How long after its deadline a request counts as overdue, in milliseconds: longer than a response in
 * progress is awaited (120 ms) and its endpoint is probed after it (up to 1 s).
 */
export const OVERDUE_MS = 1500;
/** How long after it was read a request has to be admitted or refused, in milliseconds. */
export const MAX_ADMISSION_MS = 5000;
/**
 * Number of checks that have to find a request past its deadline: after the process stood still, what came
 * in time is still unread.
 */
const MIN_LATE_CHECKS = OVERDUE_MS / CHECK_INTERVAL_MS + 1;

/** A request that waits for longer than it may. */
export interface OverdueReport {
  /** What it waits for. */
  readonly stage: RequestStage;
  /** How long it has waited for that, in milliseconds. */
  readonly stageMs: number;
  /** How long ago its deadline was, in milliseconds. */
  readonly overdueMs: number;
}

/** One request that has no final response yet. */
export class WatchedRequest implements StageRecorder {
  private stage: RequestStage = RequestStage.admission;
  private lateChecks = 0;

  /**
   * @param deadline - when its final response is due
   * @param onOverdue - called once if it has none long after that
   */
  constructor(
    private readonly readNow: () => Moment,
    private deadline: Moment,
    readonly onOverdue: (report: OverdueReport) => void,
    private stageSince = readNow(),
  ) {}

  enter(stage: RequestStage): void {
    if (stage === this.stage) return;
    this.stage = stage;
    this.stageSince = this.readNow();
  }

  /** Sets the deadline once the request is admitted. */
  setDeadline(deadline: Moment): void {
    this.deadline = deadline;
    this.lateChecks = 0;
  }

  /** Checks the request; returns a report if it is overdue. */
  check(): OverdueReport | undefined {
    const now = this.readNow();
    const overdueMs = now - this.deadline;
    if (overdueMs < 0) return undefined;
    this.lateChecks += 1;
    if (overdueMs < OVERDUE_MS || this.lateChecks < MIN_LATE_CHECKS) return undefined;
    return { stage: this.stage, stageMs: now - this.stageSince, overdueMs };
  }
}

/**
 * Watches the requests of an instance.
 *
 * @example
 * const watched = requests.begin(clock.now() + MAX_ADMISSION_MS, ({ stage }) => answerFor(stage));
 * watched.setDeadline(times.deadline);
 * requests.end(watched); // its final response is known
 */
export class OverdueRequests {
  private readonly open = new Set<WatchedRequest>();

  constructor(private readonly readNow: () => Moment) {}

  /** Number of requests without a final response. */
  get size(): number {
    return this.open.size;
  }

  /** Begins to watch a request. */
  begin(deadline: Moment, onOverdue: (report: OverdueReport) => void): WatchedRequest {
    const watched = new WatchedRequest(this.readNow, deadline, onOverdue);
    this.open.add(watched);
    return watched;
  }

  /** Ends the watch of a request; returns false if it was reported as overdue. */
  end(watched: WatchedRequest): boolean {
    return this.open.delete(watched);
  }

  /** Checks all requests, and reports and forgets those that are overdue; once an interval. */
  check(): void {
    for (const watched of this.open) {
      const report = watched.check();
      if (report === undefined) continue;
      this.open.delete(watched);
      watched.onOverdue(report);
    }
  }
}
