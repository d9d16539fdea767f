/**
 * Runs tasks that nobody waits for, such as polls and heartbeats. An unexpected error ends one turn of
 * its task: not the process, with all requests that it has accepted, and not the turns that follow.
 */
import { formatStack, type Logger } from "./log";

/**
 * Runs one turn of a task; logs an error that it throws.
 *
 * @param name - what the log calls the task
 * @returns true if the turn ended without an error; never rejects
 * @example
 * setInterval(() => void runTask("read members", logger, () => this.readMembers()), 20_000);
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
