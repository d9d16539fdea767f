/**
 * What all completion runs of an instance share.
 */
import type { Blackboard } from "../board/board";
import type { HoldTracker } from "../control/holds";
import type { RateLimitClient } from "../control/ratelimitclient";
import type { SchedulerClient } from "../control/schedulerclient";
import type { Clock } from "../core/clock";
import type { IdGenerator } from "../core/ids";
import type { Logger } from "../core/log";
import type { Metrics } from "../core/metrics";
import type { RetryBudget } from "../core/retrybudget";
import type { EngineClient } from "../endpoint/engine";

/** Dependencies that all completion runs of an instance share. */
export interface RunnerParts {
  readonly board: Blackboard;
  readonly clock: Clock;
  readonly ids: IdGenerator;
  readonly dataCentre: string;
  readonly schedulerClient: SchedulerClient;
  readonly rateLimits: RateLimitClient;
  readonly holdTracker: HoldTracker;
  readonly engines: EngineClient;
  readonly retries: RetryBudget;
  readonly logger: Logger;
  readonly metrics: Metrics;
}
