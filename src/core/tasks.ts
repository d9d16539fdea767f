/**
 * Runs tasks that nobody waits for, such as polls and heartbeats. An unexpected error ends one turn of
 * its task: not the process, with all requests that it has accepted, and not the turns that follow.
 */
import { AlignedInterval } from "./aligned";
import { formatStack, type Logger } from "./log";

/**
 * Runs one turn of a task; logs an error that it throws.
 *
 * @param name - what the log calls the task
 * @returns true if the turn ended without an error; never rejects
 * @example
 * void runTask("read members", logger, () => this.readMembers());
 */
export async function runTask(
  name: string,
  logger: Logger,
  turn: () => Promise<void> | void,
): Promise<boolean> {
  try {
    await turn();
    return true;
  } catch (error) {
    logger.error("task failed", { task: name, stack: formatStack(error) });
    return false;
  }
}

/**
 * A task that runs a turn at a fixed interval, whether or not the turn before has ended.
 *
 * @example
 * const sweep = new PeriodicTask("sweep holds", 500, logger, () => this.sweepHolds());
 * sweep.start();
 */
export class PeriodicTask {
  private timer: AlignedInterval | undefined;

  /**
   * @param name - what the log calls the task
   * @param intervalMs - from one turn to the next, in milliseconds
   */
  constructor(
    private readonly name: string,
    private readonly intervalMs: number,
    private readonly logger: Logger,
    private readonly turn: () => Promise<void> | void,
  ) {}

  /** Starts the interval; the first turn is due with the other periodic work of the process. */
  start(): void {
    this.timer = new AlignedInterval(this.intervalMs, () => {
      this.run();
    });
  }

  /** Runs one turn now. */
  run(): void {
    void runTask(this.name, this.logger, this.turn);
  }

  close(): void {
    this.timer?.close();
  }
}

/** The steps of a task, by what the log calls them. */
export type TaskSteps = Readonly<Record<string, () => Promise<void> | void>>;

/**
 * Runs steps in their order, without waiting for one before the next; one that fails keeps no other from
 * being done.
 *
 * @returns resolves once all have ended; never rejects
 * @example
 * await runSteps(logger, { "close the store": () => store.close() });
 */
export async function runSteps(logger: Logger, steps: TaskSteps): Promise<void> {
  await Promise.all(Object.entries(steps).map(([name, step]) => runTask(name, logger, step)));
}
